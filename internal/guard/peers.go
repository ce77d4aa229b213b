package guard

import (
	"context"
	"net"
	"sync"
	"time"

	"google.golang.org/grpc/stats"
)

const (
	// streamBytes is what an open stream counts beside its messages: a goroutine and the stream's state.
	streamBytes = 8 << 10
	// connShare is the part of the bound that the messages of one connection may take. On the smallest VM, of 144 MB, it
	// is twice what the most calls that a connection may have count.
	connShare = 0.5
	// forgetPerSecond is how many bytes of a connection are forgotten in a second: those of pings and window updates,
	// which belong to no message and could not be told apart from an unfinished one.
	forgetPerSecond = 1 << 10
	// slackBytes is what such bytes come to between two messages.
	slackBytes = 4 << 10
	// maxUnsent is how many bytes of replies may wait to be sent on a connection, beside replies of up to smallReply.
	maxUnsent  = 64 << 10
	smallReply = 1 << 10
	// unsentTime bounds the wait of replies for others that are not sent. Replies to calls that were cancelled meanwhile are
	// never sent, and stay counted until the connection is closed.
	unsentTime = 5 * time.Second
)

// Peers bounds the bytes of messages from other nodes that have not arrived in full, over all connections of a
// Listener. It is the stats handler of their gRPC server. gRPC itself bounds each message only.
type Peers struct {
	// Bytes is the bound.
	Bytes    int64
	Counters *Counters

	mu sync.Mutex
	// The fields below are guarded by mu: the bytes of all connections, and the open connections by address.
	total int64
	conns map[string]*Conn
}

// unfinished is what has been read on a connection and has not arrived in full; Peers.mu guards it.
type unfinished struct {
	bytes, streams int64
	// readAt is when the connection was read last, progressAt when a message or a call ended last.
	readAt, progressAt time.Time
	// unsent is how many bytes of replies have been handed to the connection and not been written, at most, and writtenAt
	// when something was written last. sent is closed when unsent falls to half of maxUnsent; it is nil if nobody waits for
	// that. waitsSince is when the first reply began to.
	unsent     int64
	writtenAt  time.Time
	sent       chan struct{}
	waitsSince time.Time
}

// ReserveReply counts a reply of about n bytes to the call of ctx, which is about to be encoded and handed to the connection,
// and returns nil; AdjustReply corrects the count. If other replies wait to be sent there, it counts nothing and returns a
// channel that is closed once they have been: the client of the connection decides when that is, so the reply should not
// be encoded before.
func ReserveReply(ctx context.Context, n int64) <-chan struct{} {
	c, _ := ctx.Value(connKey{}).(*Conn)
	if c == nil {
		return nil
	}
	p := c.listener.peers
	p.mu.Lock()
	defer p.mu.Unlock()
	u := &c.unfinished
	if n > smallReply && u.unsent > 0 && u.unsent+n > maxUnsent && p.conns[c.addr] == c {
		if u.sent == nil {
			u.sent, u.waitsSince = make(chan struct{}), time.Now()
		}
		return u.sent
	}
	if u.unsent == 0 {
		u.writtenAt = time.Now()
	}
	u.unsent += n
	return nil
}

// AdjustReply adds n bytes, which may be negative, to what ReserveReply has counted.
func AdjustReply(ctx context.Context, n int64) {
	if c, _ := ctx.Value(connKey{}).(*Conn); c != nil {
		p := c.listener.peers
		p.mu.Lock()
		defer p.mu.Unlock()
		p.addUnsent(c, n)
	}
}

// addUnsent changes the bytes that wait to be sent on c; the caller holds mu.
func (p *Peers) addUnsent(c *Conn, n int64) {
	u := &c.unfinished
	u.unsent = max(0, u.unsent+n)
	if u.unsent <= maxUnsent/2 && u.sent != nil {
		close(u.sent)
		u.sent = nil
	}
}

// wrote counts n bytes that were written to c.
func (p *Peers) wrote(c *Conn, n int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.unfinished.writtenAt = time.Now()
	p.addUnsent(c, -n)
}

// Listen returns l with its connections watched by p.
func (p *Peers) Listen(l net.Listener, most int) *Listener {
	out := NewListener(l, most, p.Counters)
	out.peers = p
	return out
}

// opened adds a connection.
func (p *Peers) opened(c *Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conns == nil {
		p.conns = map[string]*Conn{}
	}
	c.addr = c.RemoteAddr().String()
	if old := p.conns[c.addr]; old != nil { // its client has closed it and uses the port again
		p.add(old, -old.unfinished.bytes)
	}
	p.conns[c.addr] = c
}

// closed removes a connection.
func (p *Peers) closed(c *Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conns[c.addr] == c {
		delete(p.conns, c.addr)
		p.add(c, -c.unfinished.bytes)
	}
}

// add changes the bytes of a connection, which stay at least 0; the caller holds mu.
func (p *Peers) add(c *Conn, n int64) {
	n = max(n, -c.unfinished.bytes)
	c.unfinished.bytes += n
	p.total += n
}

// read counts n bytes that were read on c, and closes the connection with the most bytes if there are too many.
func (p *Peers) read(c *Conn, n int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conns[c.addr] != c {
		return
	}
	now := time.Now()
	if u := &c.unfinished; !u.readAt.IsZero() {
		p.add(c, -min(u.bytes-u.streams*streamBytes, int64(now.Sub(u.readAt).Seconds()*forgetPerSecond)))
	}
	c.unfinished.readAt = now
	p.add(c, n)
	p.limit(c)
}

// limit closes c if it has too many bytes, and the connection with the most if all together have; the caller holds mu.
func (p *Peers) limit(c *Conn) {
	if p.Bytes == 0 {
		return
	}
	worst := c
	if float64(c.unfinished.bytes) <= float64(p.Bytes)*connShare {
		if p.total <= p.Bytes {
			return
		}
		for _, other := range p.conns {
			if other.unfinished.bytes > worst.unfinished.bytes {
				worst = other
			}
		}
	}
	p.drop(worst)
}

// CloseSlow closes the connections with an unfinished message on which none has been finished for RequestTime, and those
// with replies that are not sent in time.
func (p *Peers) CloseSlow() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.conns {
		u := &c.unfinished
		stuck := u.streams > 0 && u.bytes > u.streams*streamBytes+slackBytes && time.Since(u.progressAt) > RequestTime
		unread := u.unsent > 0 && time.Since(u.writtenAt) > RequestTime || u.sent != nil && time.Since(u.waitsSince) > unsentTime
		if stuck || unread {
			p.drop(c)
		}
	}
}

// drop closes a connection; the caller holds mu.
func (p *Peers) drop(c *Conn) {
	p.Counters.Stalled.Add(1)
	delete(p.conns, c.addr)
	p.add(c, -c.unfinished.bytes)
	go func() { _ = c.Close() }() // Close takes mu
}

// connKey is the key of the connection in the contexts of its calls.
type connKey struct{}

// TagConn implements stats.Handler.
func (p *Peers) TagConn(ctx context.Context, info *stats.ConnTagInfo) context.Context {
	p.mu.Lock()
	defer p.mu.Unlock()
	return context.WithValue(ctx, connKey{}, p.conns[info.RemoteAddr.String()])
}

// HandleConn implements stats.Handler.
func (*Peers) HandleConn(context.Context, stats.ConnStats) {}

// TagRPC implements stats.Handler.
func (*Peers) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context { return ctx }

// HandleRPC implements stats.Handler.
func (p *Peers) HandleRPC(ctx context.Context, s stats.RPCStats) {
	var n int64
	var ended bool
	switch s := s.(type) {
	case *stats.Begin:
		n = streamBytes
	case *stats.InPayload:
		n = -int64(s.WireLength)
	case *stats.End:
		n, ended = -streamBytes, true
	default:
		return
	}
	c, _ := ctx.Value(connKey{}).(*Conn)
	p.mu.Lock()
	defer p.mu.Unlock()
	if c == nil || p.conns[c.addr] != c {
		return
	}
	p.add(c, n)
	if n < 0 || c.unfinished.streams == 0 {
		c.unfinished.progressAt = time.Now()
	}
	switch {
	case ended:
		if c.unfinished.streams--; c.unfinished.streams == 0 {
			p.add(c, -c.unfinished.bytes)
		}
	case n > 0:
		c.unfinished.streams++
		p.limit(c)
	}
}

// Held returns the bytes of unfinished messages.
func (p *Peers) Held() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.total
}
