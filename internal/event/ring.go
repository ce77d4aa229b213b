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
	// ringCapacity is the maximum number of buffered lines. It holds about one second of
	// a burst, at a few hundred bytes per line.
	ringCapacity = 2048
	// maxWriteBytes limits the batch of lines joined into one write, in bytes. The last line may exceed it.
	maxWriteBytes = 32 << 10
	// closeTimeout is how long Close waits for the buffered lines to be written.
	closeTimeout = 300 * time.Millisecond
)

// Ring is a bounded buffer of log lines that a goroutine writes to an output, so that logging never blocks.
// When the output stalls, lines are dropped, those below warning level first. The caller reads the number of
// dropped lines with Dropped and reports it. Ring is safe for concurrent use.
type Ring struct {
	lines        chan []byte
	unreported   atomic.Int64 // lines dropped since the last call of Dropped
	totalDropped atomic.Int64
	stopOnce     sync.Once
	stop         chan struct{}
	done         chan struct{}
}

// NewRing returns a Ring that writes to w, and starts its goroutine. Close ends it.
func NewRing(w io.Writer) *Ring {
	r := &Ring{lines: make(chan []byte, ringCapacity), stop: make(chan struct{}), done: make(chan struct{})}
	go r.run(w)
	return r
}

// Write buffers one line at info level. It never blocks and never returns an error.
func (r *Ring) Write(p []byte) (int, error) { return r.WriteLevel(zerolog.InfoLevel, p) }

// WriteLevel buffers one line of the given level, or drops it if there is no room. Lines below warning
// level are dropped once half of the buffer is in use, so that the other half remains for warnings.
func (r *Ring) WriteLevel(level zerolog.Level, p []byte) (int, error) {
	if level < zerolog.WarnLevel && len(r.lines) > ringCapacity/2 {
		r.countDropped()
		return len(p), nil
	}
	select {
	case r.lines <- bytes.Clone(p):
	default:
		r.countDropped()
	}
	return len(p), nil
}

func (r *Ring) countDropped() {
	r.unreported.Add(1)
	r.totalDropped.Add(1)
}

// Total returns the number of lines dropped since the start.
func (r *Ring) Total() int64 { return r.totalDropped.Load() }

// Dropped returns the number of lines dropped since the last call of Dropped.
func (r *Ring) Dropped() int64 { return r.unreported.Swap(0) }

func (r *Ring) run(w io.Writer) {
	defer close(r.done)
	for {
		select {
		case line := <-r.lines:
			r.writeBatch(w, line)
		case <-r.stop:
			for len(r.lines) > 0 {
				r.writeBatch(w, <-r.lines)
			}
			return
		}
	}
}

// writeBatch writes batch together with buffered lines, so that a burst needs few system calls.
func (r *Ring) writeBatch(w io.Writer, batch []byte) {
	for len(batch) < maxWriteBytes && len(r.lines) > 0 {
		batch = append(batch, <-r.lines...)
	}
	// A failed write means that the output is permanently gone, so the error cannot be reported there.
	_, _ = w.Write(batch)
}

// Close stops the goroutine after it has written the buffered lines. It waits at most closeTimeout;
// lines not written by then may be lost.
func (r *Ring) Close() {
	r.stopOnce.Do(func() { close(r.stop) })
	select {
	case <-r.done:
	case <-time.After(closeTimeout):
	}
}
