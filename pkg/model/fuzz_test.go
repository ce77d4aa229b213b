package model

import (
	"encoding/json"
	"errors"
	"testing"

	"github.com/matryer/is"
)

// checkDecodeRoundTrip checks that data that decodes passes Check and decodes again after encoding,
// and that any decoding error wraps ErrInvalid.
func checkDecodeRoundTrip[T any, P interface {
	*T
	Checker
}](t *testing.T, data []byte) {
	t.Helper()
	s := P(new(T))
	if err := Decode(data, s); err != nil {
		if !errors.Is(err, ErrInvalid) {
			t.Fatalf("Decode error does not wrap ErrInvalid: %v", err)
		}
		return
	}
	if err := s.Check(); err != nil {
		t.Fatalf("decoded value fails Check: %v", err)
	}
	encoded, err := json.Marshal(s)
	if err != nil {
		t.Fatal(err)
	}
	if err := Decode(encoded, P(new(T))); err != nil {
		t.Fatalf("encoded value does not decode again: %v", err)
	}
}

// FuzzJobSpec fuzzes the decoding of JobSpec.
func FuzzJobSpec(f *testing.F) {
	for _, seed := range []string{
		`{"workspace":"a","key":"k","shape":{"tasks":2,"each":8},"estimate_ms":5}`,
		`{"workspace":"a","workspace":"b"}`, `{"shape":{"tasks":1e9}}`, `[`, `{}{}`, `null`,
		`{"workspace":"a","key":"k","shape":{"tasks":1,"each":1},"estimate_ms":5,"payload":"aGk="}`,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		checkDecodeRoundTrip[JobSpec](t, data)
	})
}

// FuzzRequestSpec fuzzes the decoding of RequestSpec.
func FuzzRequestSpec(f *testing.F) {
	f.Add([]byte(`{"workspace":"a","key":"k","deadline_ms":5}`))
	f.Add([]byte(`{"workspace":"a","idempotent":true}`))
	f.Add([]byte(`{"workspace":"a"}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		checkDecodeRoundTrip[RequestSpec](t, data)
	})
}

func TestAnswerVerifyRejectsTruncatedOrChangedData(t *testing.T) {
	is := is.New(t)
	a := NewAnswer([]byte("proof"))
	is.True(a.Verify([]byte("proof")))
	is.True(!a.Verify([]byte("proo")))  // truncated
	is.True(!a.Verify([]byte("prook"))) // changed
	is.True(!a.Verify(nil))
}

func TestWithMethodsDoNotModifyTheReceiver(t *testing.T) {
	is := is.New(t)
	j := Job{State: Accepted}.WithState(Accepted, 1, "a")
	k := j.WithState(Done, 2, "b").WithFailedOn("w1")
	is.Equal(len(j.Notes), 1)
	is.Equal(j.State, Accepted)
	is.Equal(len(j.FailedOn), 0)
	is.Equal(k.EndedMs, int64(2))
}
