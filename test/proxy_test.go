package test

import (
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// proxy is a TCP relay that can drop, delay and refuse traffic between two ends. Its connections
// close when the test ends.
type proxy struct {
	listener net.Listener
	target   string
	// relayedBytes counts the bytes received from both ends, including those that are dropped.
	relayedBytes atomic.Int64

	mu          sync.Mutex        // guards all below
	dropAll     bool              // drop all data, on new connections too
	dropReplies bool              // drop the data from the target
	refuse      bool              // close new connections at once
	delay       time.Duration     // added before each relayed chunk
	openConns   map[net.Conn]bool // true if all further data of the connection is dropped
}

// newProxy starts a proxy for target on a free local port.
func newProxy(t testing.TB, target string) *proxy {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &proxy{listener: l, target: target, openConns: map[net.Conn]bool{}}
	go p.accept()
	t.Cleanup(func() {
		_ = l.Close()
		p.closeAll()
	})
	return p
}

func (p *proxy) addr() string { return p.listener.Addr().String() }

func (p *proxy) accept() {
	for {
		in, err := p.listener.Accept()
		if err != nil {
			return
		}
		p.mu.Lock()
		refuse := p.refuse
		p.mu.Unlock()
		if refuse {
			_ = in.Close()
			continue
		}
		go p.relay(in)
	}
}

// relay connects an accepted connection to the target and returns when it is closed.
func (p *proxy) relay(in net.Conn) {
	out, err := net.Dial("tcp", p.target)
	if err != nil {
		_ = in.Close()
		return
	}
	p.mu.Lock()
	p.openConns[in] = false
	p.mu.Unlock()
	go p.pump(in, out, in, true)
	p.pump(in, in, out, false)
}

// pump relays one direction of a connection; key is its client side in openConns. replies says that
// the direction is from the target to the client.
func (p *proxy) pump(key, from, to net.Conn, replies bool) {
	defer func() {
		_ = from.Close()
		_ = to.Close()
		p.mu.Lock()
		delete(p.openConns, key)
		p.mu.Unlock()
	}()
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if err != nil {
			return
		}
		p.relayedBytes.Add(int64(n))
		p.mu.Lock()
		drop := p.dropAll || p.openConns[key] || (p.dropReplies && replies)
		delay := p.delay
		p.mu.Unlock()
		if drop {
			continue
		}
		time.Sleep(delay)
		if _, err := to.Write(buf[:n]); err != nil {
			return
		}
	}
}

// update calls change with mu held.
func (p *proxy) update(change func(*proxy)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	change(p)
}

// stallOpenConns drops all further data on the connections that are open now, without closing them.
// New connections work.
func (p *proxy) stallOpenConns() {
	p.update(func(p *proxy) {
		for c := range p.openConns {
			p.openConns[c] = true
		}
	})
}

// closeAll closes the client side of all open connections, which ends both directions.
func (p *proxy) closeAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.openConns {
		_ = c.Close()
	}
}
