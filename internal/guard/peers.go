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

// CloseSlow closes the connections with an unfinished message on which none has been finished for RequestTime.
func (p *Peers) CloseSlow() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.conns {
		u := &c.unfinished
		if u.streams > 0 && u.bytes > u.streams*streamBytes+slackBytes && time.Since(u.progressAt) > RequestTime {
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
