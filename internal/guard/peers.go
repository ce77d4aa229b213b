package guard

import (
	"context"
	"net"
	"sync"
	"time"

	"google.golang.org/grpc/stats"
	"google.golang.org/grpc/tap"
)

const (
	// streamBytes is what an open stream counts beside its messages: a goroutine and the stream's state.
	streamBytes = 8 << 10
	// connShare is the part of the bound that the messages of one connection may take.
	connShare = 0.25
	// forgetPerSecond is how many bytes of a connection are forgotten in a second: those of pings and window updates,
	// which belong to no message and could not be told apart from an unfinished one.
	forgetPerSecond = 1 << 10
)

// Peers bounds the bytes of messages from other nodes that have not arrived in full, over all connections of a
// Listener. It is both the stats handler and the tap of their gRPC server. gRPC itself bounds each message only.
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
	at             time.Time
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
	p.conns[c.RemoteAddr().String()] = c
}

// closed removes a connection.
func (p *Peers) closed(c *Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if addr := c.RemoteAddr().String(); p.conns[addr] == c {
		delete(p.conns, addr)
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
	if p.conns[c.RemoteAddr().String()] != c {
		return
	}
	now := time.Now()
	if u := &c.unfinished; !u.at.IsZero() {
		p.add(c, -int64(now.Sub(u.at).Seconds()*forgetPerSecond))
	}
	c.unfinished.at = now
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
	p.Counters.Stalled.Add(1)
	delete(p.conns, worst.RemoteAddr().String())
	p.add(worst, -worst.unfinished.bytes)
	go func() { _ = worst.Close() }() // Close takes mu
}

// connKey and callKey are the keys of the connection and of the call in their contexts.
type (
	connKey struct{}
	callKey struct{}
)

// Tap bounds the time that a message of a unary call takes to arrive.
func (p *Peers) Tap(isStream func(method string) bool) tap.ServerInHandle {
	return func(ctx context.Context, info *tap.Info) (context.Context, error) {
		if isStream(info.FullMethodName) {
			return ctx, nil
		}
		ctx, cancel := context.WithCancel(ctx) // ends with the stream
		return context.WithValue(ctx, callKey{}, time.AfterFunc(RequestTime, cancel)), nil
	}
}

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
	c, _ := ctx.Value(connKey{}).(*Conn)
	if c == nil {
		return
	}
	stopTimer := func() {
		if t, _ := ctx.Value(callKey{}).(*time.Timer); t != nil {
			t.Stop()
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conns[c.RemoteAddr().String()] != c {
		return
	}
	switch s := s.(type) {
	case *stats.Begin:
		c.unfinished.streams++
		p.add(c, streamBytes)
		p.limit(c)
	case *stats.InPayload:
		stopTimer()
		p.add(c, -int64(s.WireLength))
	case *stats.End:
		stopTimer()
		c.unfinished.streams--
		p.add(c, -streamBytes)
		if c.unfinished.streams == 0 {
			p.add(c, -c.unfinished.bytes)
		}
	}
}

// Held returns the bytes of unfinished messages.
func (p *Peers) Held() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.total
}
