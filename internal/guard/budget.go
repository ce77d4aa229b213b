package guard

import (
	"cmp"
	"container/list"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// ErrNoMemory means that the budget has no memory left for a body. Nothing was done.
var ErrNoMemory = errors.New("no memory for the request")

const (
	// smallBody is the size up to which a body may use the whole budget. Larger bodies leave a quarter of it, so that
	// a crowd of them does not shut out ordinary requests, which have a few KB.
	smallBody  = 16 << 10
	largeShare = 0.75
	// stalledAfter is how long a body may take before it gives way to others when the budget is used up. A body
	// within the limits arrives in a fraction of it.
	stalledAfter = time.Second
	// heldPerByte is what a byte counts by default: its buffer, and the decoded request made from it.
	heldPerByte = 2
)

// Counters count what was refused or closed since the start of the process.
type Counters struct {
	// TooLarge counts bodies over the limit, NoMemory bodies for which there was no memory, Stalled connections closed
	// because their body held memory that others needed, and Crowded connections closed for newer ones.
	TooLarge, NoMemory, Stalled, Crowded atomic.Int64
}

// Budget bounds the bytes that requests hold together. Size returns the bound, which may change over time; nil
// means that there is none.
type Budget struct {
	Size     func() int64
	Counters *Counters
	// PerByte is how many bytes of memory a byte of a body counts; 0 means 2.
	PerByte int64

	mu sync.Mutex
	// used and reading are guarded by mu: the bytes held, and the holds whose bodies are still arriving, oldest first.
	used    int64
	reading list.List
}

// Held returns the bytes that requests hold now.
func (b *Budget) Held() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// Hold is the memory of one request. Release must be called once the request has ended.
type Hold struct {
	budget  *Budget
	conn    net.Conn
	began   time.Time
	bytes   int64
	reading *list.Element
}

// begin returns a hold without memory for a body that arrives on conn.
func (b *Budget) begin(conn net.Conn) *Hold {
	return &Hold{budget: b, conn: conn, began: time.Now()}
}

// grow reserves memory for n more bytes of a body. If there is none, it returns ErrNoMemory and closes the connection
// of the body that has been arriving for the longest time, if that has stalled, so that later requests find memory.
func (h *Hold) grow(n int64) error {
	b := h.budget
	perByte := cmp.Or(b.PerByte, heldPerByte)
	n *= perByte
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.Size != nil {
		size := b.Size()
		if h.bytes+n > perByte*smallBody {
			size = int64(float64(size) * largeShare)
		}
		if b.used+n > size {
			b.closeStalled(h)
			return ErrNoMemory
		}
	}
	b.used += n
	h.bytes += n
	if h.reading == nil {
		h.reading = b.reading.PushBack(h)
	}
	return nil
}

// closeStalled closes the connection of the oldest body that has stalled, except that of h. The caller holds mu.
func (b *Budget) closeStalled(h *Hold) {
	for e := b.reading.Front(); e != nil; e = e.Next() {
		oldest, _ := e.Value.(*Hold)
		if oldest == h {
			continue
		}
		if time.Since(oldest.began) > stalledAfter && oldest.conn != nil {
			b.reading.Remove(e) // its memory is released by the goroutine that reads it
			_ = oldest.conn.Close()
			b.Counters.Stalled.Add(1)
		}
		return
	}
}

// complete records that the body has arrived in full.
func (h *Hold) complete() {
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if h.reading != nil {
		b.reading.Remove(h.reading)
	}
}

// Release gives the memory back; further calls and calls on nil do nothing.
func (h *Hold) Release() {
	if h == nil {
		return
	}
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	b.used -= h.bytes
	h.bytes = 0
	if h.reading != nil {
		b.reading.Remove(h.reading)
	}
}
