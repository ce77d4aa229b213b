package event

import (
	"bytes"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
)

const (
	// ringLines is how many lines wait to be written: about a second of a
	// burst, some hundred bytes each.
	ringLines = 2048
	// ringChunk bounds the bytes of one write.
	ringChunk = 32 << 10
	// ringFlush bounds the wait for the last lines at the end.
	ringFlush = 300 * time.Millisecond
)

// Ring writes lines to an output without ever making the writer wait: when the
// output stands still, lines are dropped, those below warning first, and the
// number of dropped ones is reported once it moves again.
type Ring struct {
	lines   chan []byte
	dropped atomic.Int64 // since Dropped was last called
	total   atomic.Int64
	closed  sync.Once
	stop    chan struct{}
	done    chan struct{}
}

// NewRing returns a running Ring that writes to w.
func NewRing(w io.Writer) *Ring {
	r := &Ring{lines: make(chan []byte, ringLines), stop: make(chan struct{}), done: make(chan struct{})}
	go r.run(w)
	return r
}

// Write takes one line.
func (r *Ring) Write(p []byte) (int, error) { return r.WriteLevel(zerolog.InfoLevel, p) }

// WriteLevel takes one line of a level; lines below warning use only half of
// the ring.
func (r *Ring) WriteLevel(level zerolog.Level, p []byte) (int, error) {
	if level < zerolog.WarnLevel && len(r.lines) > ringLines/2 {
		r.drop()
		return len(p), nil
	}
	select {
	case r.lines <- bytes.Clone(p):
	default:
		r.drop()
	}
	return len(p), nil
}

func (r *Ring) drop() {
	r.dropped.Add(1)
	r.total.Add(1)
}

// Total returns the number of lines dropped in all.
func (r *Ring) Total() int64 { return r.total.Load() }

// Dropped returns the number of lines dropped since the last call.
func (r *Ring) Dropped() int64 { return r.dropped.Swap(0) }

func (r *Ring) run(w io.Writer) {
	defer close(r.done)
	for {
		select {
		case line := <-r.lines:
			r.write(w, line)
		case <-r.stop:
			for len(r.lines) > 0 {
				r.write(w, <-r.lines)
			}
			return
		}
	}
}

// write joins the lines that wait, so that a burst costs few system calls.
func (r *Ring) write(w io.Writer, chunk []byte) {
	for len(chunk) < ringChunk && len(r.lines) > 0 {
		chunk = append(chunk, <-r.lines...)
	}
	// The output is gone for good if a write fails; nothing can be told there.
	_, _ = w.Write(chunk)
}

// Close writes what waits, if the output takes it in time.
func (r *Ring) Close() {
	r.closed.Do(func() { close(r.stop) })
	select {
	case <-r.done:
	case <-time.After(ringFlush):
	}
}
