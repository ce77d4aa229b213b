package test

import (
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// proxy is a TCP relay that can bring about what happens between two ends.
type proxy struct {
	l      net.Listener
	target string
	// relayed counts the bytes both ways.
	relayed atomic.Int64

	mu sync.Mutex
	// All below is guarded by mu.
	silent bool // nothing is relayed, on new connections either
	mute   bool // answers are not relayed
	cut    bool // connections are refused
	delay  time.Duration
	conns  map[net.Conn]bool // true for those that went silent for good
}

func newProxy(t testing.TB, target string) *proxy {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &proxy{l: l, target: target, conns: map[net.Conn]bool{}}
	go p.accept()
	t.Cleanup(func() {
		_ = l.Close()
		p.closeAll()
	})
	return p
}

func (p *proxy) addr() string { return p.l.Addr().String() }

func (p *proxy) accept() {
	for {
		in, err := p.l.Accept()
		if err != nil {
			return
		}
		p.mu.Lock()
		cut := p.cut
		p.mu.Unlock()
		if cut {
			_ = in.Close()
			continue
		}
		go p.relay(in)
	}
}

func (p *proxy) relay(in net.Conn) {
	out, err := net.Dial("tcp", p.target)
	if err != nil {
		_ = in.Close()
		return
	}
	p.mu.Lock()
	p.conns[in] = false
	p.mu.Unlock()
	go p.pump(in, out, in, true)
	p.pump(in, in, out, false)
}

// pump relays one direction of the connection that the caller opened as key.
func (p *proxy) pump(key, from, to net.Conn, answers bool) {
	defer func() {
		_ = from.Close()
		_ = to.Close()
		p.mu.Lock()
		delete(p.conns, key)
		p.mu.Unlock()
	}()
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if err != nil {
			return
		}
		p.relayed.Add(int64(n))
		p.mu.Lock()
		drop := p.silent || p.conns[key] || (p.mute && answers)
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

// set changes what is wrong under the lock.
func (p *proxy) set(change func(*proxy)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	change(p)
}

// silenceOpen makes the open connections go silent for good; new ones work.
func (p *proxy) silenceOpen() {
	p.set(func(p *proxy) {
		for c := range p.conns {
			p.conns[c] = true
		}
	})
}

func (p *proxy) closeAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		_ = c.Close()
	}
}
