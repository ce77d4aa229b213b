package guard

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// minAcceptPause and maxAcceptPause bound the pause after a connection could not be accepted for want of
	// descriptors or memory.
	minAcceptPause = 5 * time.Millisecond
	maxAcceptPause = 250 * time.Millisecond
)

// Listener bounds the open connections that it has accepted. When there are Max, it closes the one that has waited for
// a request for the longest time in favor of a new one, so that silent clients do not shut out others.
type Listener struct {
	net.Listener
	Max      int
	Counters *Counters
	// peers watches the connections of other nodes; these wait since their last message, as they serve several
	// requests at once.
	peers *Peers

	mu sync.Mutex
	// conns is guarded by mu.
	conns map[*Conn]struct{}
}

// Conn is a connection of a Listener.
type Conn struct {
	net.Conn
	listener *Listener
	// busy is set while a request is being served, unless it waits for an event, and waitsSince is the Unix time in ns at
	// which the connection began to wait for the present request or event.
	busy       atomic.Bool
	waitsSince atomic.Int64
	// parked is set while the request that is being served waits for an event. cancelWait, guarded by waitMu, then ends
	// the wait; it is nil otherwise.
	parked     atomic.Bool
	waitMu     sync.Mutex
	cancelWait context.CancelFunc
	closed     bool // guarded by waitMu
	// reply, guarded by waitMu, is the memory of the reply that is being sent; nil if none is reserved.
	reply *Hold
	// addr, the address of the client, and unfinished are used for connections of other nodes only.
	addr       string
	unfinished unfinished
}

// Accept waits for the next connection. While the process has no descriptors left, it closes the connection that has
// waited the longest and tries again, since a server ends with the first error. Other errors are those of the network, as
// servers tell them apart by type.
func (l *Listener) Accept() (net.Conn, error) {
	pause := minAcceptPause
	for {
		raw, err := l.Listener.Accept()
		if isExhausted(err) {
			l.closeLongestWaiting()
			time.Sleep(pause)
			pause = min(2*pause, maxAcceptPause)
			continue
		}
		if err != nil {
			return nil, err
		}
		pause = minAcceptPause
		c := &Conn{Conn: raw, listener: l}
		c.waitsSince.Store(time.Now().UnixNano())
		if l.add(c) {
			if l.peers != nil {
				l.peers.opened(c)
			}
			return c, nil
		}
		l.Counters.Crowded.Add(1)
		_ = raw.Close()
	}
}

// add adds a connection and closes another if there are too many. It returns false if all others are being served.
func (l *Listener) add(c *Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.conns) >= l.Max && !l.dropLongestWaiting() {
		return false
	}
	if l.conns == nil {
		l.conns = map[*Conn]struct{}{}
	}
	l.conns[c] = struct{}{}
	return true
}

// isExhausted reports whether a connection could not be accepted because the process or the system lacks descriptors or
// memory, which passes.
func isExhausted(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) || errors.Is(err, syscall.ENOBUFS) || errors.Is(err, syscall.ENOMEM)
}

func (l *Listener) closeLongestWaiting() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dropLongestWaiting()
}

// dropLongestWaiting closes the connection that has waited for the longest time and reports whether one waits; the caller
// holds mu.
func (l *Listener) dropLongestWaiting() bool {
	oldest := l.longestWaiting()
	if oldest == nil {
		return false
	}
	delete(l.conns, oldest)
	oldest.endWait()
	_ = oldest.Conn.Close()
	l.Counters.Crowded.Add(1)
	return true
}

// longestWaiting returns the connection that has waited for a request for the longest time, else the one whose request has
// waited for an event for the longest time, and nil if none waits; the caller holds mu.
func (l *Listener) longestWaiting() *Conn {
	var oldest, parked *Conn
	for c := range l.conns {
		switch {
		case c.busy.Load():
		case c.parked.Load():
			parked = c.earlier(parked)
		default:
			oldest = c.earlier(oldest)
		}
	}
	if oldest == nil {
		return parked
	}
	return oldest
}

// earlier returns which of c and o, which may be nil, has waited longer.
func (c *Conn) earlier(o *Conn) *Conn {
	if o == nil || c.waitsSince.Load() < o.waitsSince.Load() {
		return c
	}
	return o
}

// park marks that the request which is being served waits for an event until unpark is called. The returned context ends
// with the connection, if that gives way to another.
func (c *Conn) park(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	c.waitMu.Lock()
	defer c.waitMu.Unlock()
	if c.closed {
		cancel()
	}
	c.cancelWait = cancel
	c.waitsSince.Store(time.Now().UnixNano())
	c.parked.Store(true)
	c.busy.Store(false)
	return ctx, cancel
}

// unpark ends what park began.
func (c *Conn) unpark() {
	c.busy.Store(true)
	c.parked.Store(false)
	c.waitMu.Lock()
	defer c.waitMu.Unlock()
	c.cancelWait = nil
}

// endWait ends the wait of a parked request.
func (c *Conn) endWait() {
	c.waitMu.Lock()
	defer c.waitMu.Unlock()
	c.closed = true
	if c.cancelWait != nil {
		c.cancelWait()
	}
}

// setReply replaces the memory of the reply. What was held before is released: that reply has been sent.
func (c *Conn) setReply(h *Hold) {
	c.waitMu.Lock()
	old := c.reply
	c.reply = h
	c.waitMu.Unlock()
	old.Release()
}

// Read reads from the connection. Its errors are those of the network, by which servers tell an end from a fault.
func (c *Conn) Read(data []byte) (int, error) {
	c.setReply(nil)
	n, err := c.Conn.Read(data)
	if p := c.listener.peers; p != nil && n > 0 {
		c.waitsSince.Store(time.Now().UnixNano())
		p.read(c, int64(n))
	}
	return n, err
}

// Write writes to the connection.
func (c *Conn) Write(data []byte) (int, error) {
	n, err := c.Conn.Write(data)
	if p := c.listener.peers; p != nil && n > 0 {
		p.wrote(c, int64(n))
	}
	return n, err
}

// Close closes the connection.
func (c *Conn) Close() error {
	c.endWait()
	c.setReply(nil)
	if p := c.listener.peers; p != nil {
		p.closed(c)
	}
	c.listener.mu.Lock()
	delete(c.listener.conns, c)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}
