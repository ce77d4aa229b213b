package guard

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
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
	// busy is set while a request is being served, and waitsSince is the Unix time in ns at which the connection began
	// to wait for the present request.
	busy       atomic.Bool
	waitsSince atomic.Int64
	// addr, the address of the client, and unfinished are used for connections of other nodes only.
	addr       string
	unfinished unfinished
}

// Accept waits for the next connection. Its errors are those of the network, as servers tell them apart by type.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
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
	if len(l.conns) >= l.Max {
		oldest := l.longestWaiting()
		if oldest == nil {
			return false
		}
		delete(l.conns, oldest)
		_ = oldest.Conn.Close()
		l.Counters.Crowded.Add(1)
	}
	if l.conns == nil {
		l.conns = map[*Conn]struct{}{}
	}
	l.conns[c] = struct{}{}
	return true
}

// longestWaiting returns the connection that has waited for the longest time, nil if none waits; the caller holds mu.
func (l *Listener) longestWaiting() *Conn {
	var oldest *Conn
	for c := range l.conns {
		if !c.busy.Load() && (oldest == nil || c.waitsSince.Load() < oldest.waitsSince.Load()) {
			oldest = c
		}
	}
	return oldest
}

// Read reads from the connection. Its errors are those of the network, by which servers tell an end from a fault.
func (c *Conn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	if p := c.listener.peers; p != nil && n > 0 {
		c.waitsSince.Store(time.Now().UnixNano())
		p.read(c, int64(n))
	}
	return n, err
}

// Close closes the connection.
func (c *Conn) Close() error {
	if p := c.listener.peers; p != nil {
		p.closed(c)
	}
	c.listener.mu.Lock()
	delete(c.listener.conns, c)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}
