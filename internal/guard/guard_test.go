package guard

import (
	"errors"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against large bodies that shut out ordinary requests, and against stalled bodies that keep their memory for good.
func TestBudget(t *testing.T) {
	is := is.New(t)
	b := &Budget{Size: func() int64 { return 1 << 20 }, Counters: &Counters{}}
	ours, theirs := net.Pipe()
	large := b.begin(ours)
	is.NoErr(large.grow(384 << 10))                             // counts twice: 768 KB
	is.True(errors.Is(b.begin(nil).grow(64<<10), ErrNoMemory))  // a large body has three quarters
	is.NoErr(b.begin(nil).grow(8 << 10))                        // a small one has the rest
	is.Equal(b.Counters.Stalled.Load(), int64(0))               // the body may still be arriving
	large.began = time.Now().Add(-2 * stalledAfter)             // it has stalled
	is.True(errors.Is(b.begin(nil).grow(256<<10), ErrNoMemory)) // it gives way to later ones
	_, err := theirs.Read(make([]byte, 1))
	is.True(err != nil) // its connection is closed
	is.Equal(b.Counters.Stalled.Load(), int64(1))
	large.Release()
	large.Release()
	is.Equal(b.Held(), int64(16<<10)) // its memory is given back once
}

// Guards against silent connections that shut out others, and against the closing of connections in use.
func TestListener(t *testing.T) {
	is := is.New(t)
	inner, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	defer inner.Close()
	l := NewListener(inner, 2, &Counters{})
	connect := func() (net.Conn, *Conn) {
		client, err := net.Dial("tcp4", inner.Addr().String())
		is.NoErr(err)
		t.Cleanup(func() { _ = client.Close() })
		server, err := l.Accept()
		is.NoErr(err)
		return client, server.(*Conn)
	}
	_, inUse := connect()
	inUse.busy.Store(true)
	silent, _ := connect()
	newer, _ := connect()
	_, err = silent.Read(make([]byte, 1))
	is.True(err != nil) // the silent one is closed
	for _, c := range []net.Conn{newer, inUse} {
		is.NoErr(c.SetReadDeadline(time.Now().Add(time.Millisecond)))
		var netErr net.Error
		_, err = c.Read(make([]byte, 1))
		is.True(errors.As(err, &netErr) && netErr.Timeout()) // the others are open
	}
}
