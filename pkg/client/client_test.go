package client

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"greengageline/pkg/model"
)

// startNode starts an entry node and returns its address.
func startNode(t *testing.T, h http.HandlerFunc) string {
	t.Helper()
	srv := httptest.NewServer(h)
	t.Cleanup(srv.Close)
	return strings.TrimPrefix(srv.URL, "http://")
}

// refuse answers with an error.
func refuse(status int, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_, _ = io.WriteString(w, body)
	}
}

// dropAnswer closes the connection after the request has arrived.
func dropAnswer(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

// hang reads the request and never answers.
func hang(_ http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	<-r.Context().Done()
}

// unusedAddr is an address at which nothing listens: its port is not among those that the system gives out.
const unusedAddr = "127.0.0.1:1"

// A caller learns that nothing ran only if no attempt can have reached a node, whichever attempt is the last.
func TestErrorTellsWhetherTheRequestMayHaveRun(t *testing.T) {
	const (
		busy    = `{"error":"busy","message":"later","ran":"no","next":"wait"}`
		invalid = `{"error":"invalid-field","message":"no","ran":"no","next":"change the request"}`
		lost    = `{"error":"no-answer","message":"lost","ran":"unknown","next":"ask again"}`
	)
	down, dropping, hanging := unusedAddr, startNode(t, dropAnswer), startNode(t, hang)
	cases := map[string]struct {
		addrs   []string
		timeout time.Duration
		want    error
	}{
		"no node is up":                                     {[]string{down}, 300 * time.Millisecond, ErrUnreached},
		"time is over before the first attempt":             {[]string{hanging}, 0, ErrUnreached},
		"time ends as an attempt begins":                    {[]string{down}, retryInterval, ErrUnreached},
		"node does not answer in time":                      {[]string{hanging}, 300 * time.Millisecond, ErrNotKnown},
		"answer lost":                                       {[]string{dropping}, 300 * time.Millisecond, ErrNotKnown},
		"answer lost, time ends as the next attempt begins": {[]string{dropping}, retryInterval, ErrNotKnown},
		"answer lost, next node is down":                    {[]string{dropping, down}, 300 * time.Millisecond, ErrNotKnown},
		"answer lost, next node is busy":                    {[]string{dropping, startNode(t, refuse(503, busy))}, 300 * time.Millisecond, ErrNotKnown},
		"answer lost, next node refuses":                    {[]string{dropping, startNode(t, refuse(422, invalid))}, time.Second, ErrNotKnown},
		"outcome not known, next node is down":              {[]string{startNode(t, refuse(409, lost)), down}, time.Second, ErrNotKnown},
		"a proxy has no answer":                             {[]string{startNode(t, refuse(502, "bad gateway"))}, time.Second, ErrNotKnown},
		"refused":                                           {[]string{startNode(t, refuse(422, invalid))}, time.Second, nil},
		"busy all the time":                                 {[]string{startNode(t, refuse(503, busy))}, 300 * time.Millisecond, nil},
		"first node is down, next node refuses":             {[]string{down, startNode(t, refuse(422, invalid))}, time.Second, nil},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			ctx, cancel := context.WithTimeout(context.Background(), c.timeout)
			defer cancel()
			_, err := (&Client{Addrs: c.addrs}).Submit(ctx, model.JobSpec{Workspace: "a", Key: "k"})
			is.True(err != nil)
			is.Equal(errors.Is(err, ErrNotKnown), errors.Is(c.want, ErrNotKnown))
			is.Equal(errors.Is(err, ErrUnreached), errors.Is(c.want, ErrUnreached))
		})
	}
}

// The last answer about a job is final, whatever happened to earlier reads.
func TestReadIsNotUnknownForAnEarlierAttempt(t *testing.T) {
	is := is.New(t)
	absent := startNode(t, refuse(404, `{"error":"no-such-job","message":"absent","ran":"no","next":"check the id"}`))
	_, err := (&Client{Addrs: []string{startNode(t, dropAnswer), absent}}).Job(context.Background(), "j")
	var p *Problem
	is.True(errors.As(err, &p))
	is.Equal(p.Status, 404)
	is.True(!errors.Is(err, ErrNotKnown))
}

// lossyTransport sends nothing, reports no connection and loses the answer.
type lossyTransport struct{}

func (lossyTransport) RoundTrip(*http.Request) (*http.Response, error) {
	return nil, io.ErrUnexpectedEOF
}

// A transport that tells nothing of its connections may have sent the request.
func TestTransportWithoutTraceIsNotKnown(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	_, err := (&Client{Addrs: []string{"n:1"}, HTTP: &http.Client{Transport: lossyTransport{}}}).Submit(ctx, model.JobSpec{Workspace: "a", Key: "k"})
	is.True(errors.Is(err, ErrNotKnown))
	is.True(!errors.Is(err, ErrUnreached))
}

// endingContext ends after the first look at its error.
type endingContext struct{ looks atomic.Int32 }

func (c *endingContext) Deadline() (time.Time, bool) { return time.Time{}, false }

func (c *endingContext) Value(any) any { return nil }

func (c *endingContext) Err() error {
	if c.looks.Add(1) == 1 {
		return nil
	}
	return context.DeadlineExceeded
}

func (c *endingContext) Done() <-chan struct{} {
	done := make(chan struct{})
	close(done)
	return done
}

// A context may end after the last look at it and before the transport asks for a connection.
func TestTimeThatEndsBeforeTheConnectionIsUnreached(t *testing.T) {
	is := is.New(t)
	_, err := (&Client{Addrs: []string{startNode(t, dropAnswer)}}).Submit(&endingContext{}, model.JobSpec{Workspace: "a", Key: "k"})
	is.True(errors.Is(err, ErrUnreached))
	is.True(!errors.Is(err, ErrNotKnown))
}
