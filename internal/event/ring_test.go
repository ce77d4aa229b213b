package event

import (
	"bytes"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"
)

// blockedWriter is a fake output whose writes block until release is closed.
type blockedWriter struct {
	release chan struct{}
	out     bytes.Buffer
}

func (s *blockedWriter) Write(p []byte) (int, error) {
	<-s.release
	return s.out.Write(p)
}

func TestLogDoesNotBlockOnStalledOutput(t *testing.T) {
	is := is.New(t)
	w := &blockedWriter{release: make(chan struct{})}
	r := NewRing(w)
	log := New(r, "n1", zerolog.InfoLevel)
	began := time.Now()
	for range 3 * ringCapacity {
		log.Emit(JobAccepted).Str("job", "j").Send()
	}
	for range ringCapacity / 4 {
		log.Emit(StoreFailed).Str("op", "commit").Send()
	}
	is.True(time.Since(began) < time.Second) // no Emit blocked
	is.True(r.Dropped() > 0)
	close(w.release)
	r.Close()
	is.Equal(strings.Count(w.out.String(), `"name":"store-failed"`), ringCapacity/4) // warnings are kept
}

func TestRingWritesAllLinesInOrder(t *testing.T) {
	is := is.New(t)
	var b bytes.Buffer
	r := NewRing(&b)
	for i := range 100 {
		fmt.Fprintf(r, "%d\n", i)
	}
	r.Close()
	lines := strings.Split(strings.TrimSpace(b.String()), "\n")
	is.Equal(len(lines), 100)
	is.Equal(lines[99], "99")
}

// BenchmarkLine measures the cost of emitting one line with typical fields.
func BenchmarkLine(b *testing.B) {
	log := New(NewRing(io.Discard), "n1", zerolog.InfoLevel)
	for b.Loop() {
		log.Emit(TaskPlaced).Str("task", "5c0e7a21d94b36f8.0.1.17").Int64("run", 1000001).Str("worker", "i-7f3a91c2").
			Str("reason", "free room").Int64("epoch", 7).Uint64("plan", 12).Send()
	}
}
