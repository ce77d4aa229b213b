package guard

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/gofiber/fiber/v2"
	"github.com/matryer/is"
	"google.golang.org/grpc/stats"
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

// exhaustedListener has no descriptors left until freed is closed.
type exhaustedListener struct {
	net.Listener
	freed chan struct{}
}

func (l *exhaustedListener) Accept() (net.Conn, error) {
	select {
	case <-l.freed:
		return l.Listener.Accept()
	default:
		return nil, &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", syscall.EMFILE)}
	}
}

// Guards against a server that ends because the process has run out of descriptors.
func TestListenerOutlivesWantOfDescriptors(t *testing.T) {
	is := is.New(t)
	inner, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	defer inner.Close()
	freed := make(chan struct{})
	l := NewListener(&exhaustedListener{inner, freed}, 2, &Counters{})
	ours, theirs := net.Pipe()
	is.True(l.add(&Conn{Conn: ours, listener: l}))
	go func() {
		_, _ = theirs.Read(make([]byte, 1)) // the waiting connection gives way
		close(freed)
	}()
	client, err := net.Dial("tcp4", inner.Addr().String())
	is.NoErr(err)
	defer client.Close()
	_, err = l.Accept()
	is.NoErr(err)
	is.NoErr(inner.Close())
	_, err = l.Accept()
	is.True(errors.Is(err, net.ErrClosed)) // other errors are returned
}

// Guards against requests that wait for an event and shut out others, and against waits that go on without a connection.
func TestConnectionsThatWaitGiveWay(t *testing.T) {
	is := is.New(t)
	l := NewListener(nil, 2, &Counters{})
	add := func() *Conn {
		ours, _ := net.Pipe()
		c := &Conn{Conn: ours, listener: l}
		c.waitsSince.Store(time.Now().UnixNano())
		is.True(l.add(c))
		return c
	}
	waiting := add()
	waiting.busy.Store(true)
	ctx, cancel := waiting.park(t.Context())
	defer cancel()
	add()
	add() // the idle one gives way before one with a request
	is.NoErr(ctx.Err())
	for c := range l.conns {
		c.busy.Store(c != waiting)
	}
	add()
	is.True(ctx.Err() != nil) // the wait has ended
	_, open := l.conns[waiting]
	is.True(!open)
	waiting.unpark()
	ctx, cancel = waiting.park(t.Context())
	defer cancel()
	is.True(ctx.Err() != nil) // no wait begins on a closed connection
}

// Guards against replies whose memory stays reserved after they have been sent or their connection has closed, and against a
// reply that has stalled and keeps its memory.
func TestMemoryOfReplies(t *testing.T) {
	is := is.New(t)
	b := &Budget{Size: func() int64 { return 1 << 20 }, Counters: &Counters{}}
	app := fiber.New(Config(fiber.Config{}))
	app.Use(Track)
	app.Get("/", func(c *fiber.Ctx) error {
		if err := HoldReply(c, b, 300<<10); err != nil {
			return c.SendStatus(fiber.StatusServiceUnavailable)
		}
		return c.Send(make([]byte, 16<<20)) // more than the buffers of the network hold
	})
	inner, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	go func() { _ = app.Listener(NewListener(inner, 10, b.Counters)) }()
	defer func() { _ = app.Shutdown() }()
	ask := func() net.Conn {
		conn, err := net.Dial("tcp4", inner.Addr().String())
		is.NoErr(err)
		_, err = conn.Write([]byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n"))
		is.NoErr(err)
		return conn
	}
	status := func(conn net.Conn) int {
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		is.NoErr(err)
		defer resp.Body.Close()
		return resp.StatusCode
	}
	awaitHeld := func(n int64) {
		for until := time.Now().Add(10 * time.Second); b.Held() != n && time.Now().Before(until); time.Sleep(time.Millisecond) {
		}
		is.Equal(b.Held(), n)
	}
	unread := ask()
	defer unread.Close()
	awaitHeld(600 << 10)
	refused := ask()
	is.Equal(status(refused), http.StatusServiceUnavailable)
	_ = refused.Close()
	time.Sleep(stalledAfter + 100*time.Millisecond)
	_ = ask().Close() // finds that the first reply has stalled
	awaitHeld(0)
	is.Equal(b.Counters.Stalled.Load(), int64(1))
	whole := ask()
	resp, err := http.ReadResponse(bufio.NewReader(whole), nil)
	is.NoErr(err)
	n, err := io.Copy(io.Discard, resp.Body)
	is.NoErr(errors.Join(err, resp.Body.Close()))
	is.Equal(n, int64(16<<20))
	awaitHeld(0) // the connection is open, and its reply has been sent
	_ = whole.Close()
}

// Guards against unfinished messages of nodes that hold memory without a bound, or for good, and against finished ones that
// still count.
func TestPeers(t *testing.T) {
	is := is.New(t)
	inner, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	defer inner.Close()
	p := &Peers{Bytes: 1 << 20, Counters: &Counters{}}
	l := p.Listen(inner, 10)
	connect := func() (net.Conn, *Conn, context.Context) {
		client, err := net.Dial("tcp4", inner.Addr().String())
		is.NoErr(err)
		t.Cleanup(func() { _ = client.Close() })
		server, err := l.Accept()
		is.NoErr(err)
		ctx := p.TagConn(t.Context(), &stats.ConnTagInfo{RemoteAddr: server.RemoteAddr()})
		p.HandleRPC(ctx, &stats.Begin{})
		return client, server.(*Conn), ctx
	}
	send := func(client net.Conn, server *Conn, n int) {
		_, err := client.Write(make([]byte, n))
		is.NoErr(err)
		_, err = io.ReadFull(server, make([]byte, n))
		is.NoErr(err)
	}
	isClosed := func(client net.Conn) bool {
		_ = client.SetReadDeadline(time.Now().Add(time.Second))
		_, err := client.Read(make([]byte, 1))
		return errors.Is(err, io.EOF)
	}
	finishing, server, ctx := connect()
	for range 5 {
		send(finishing, server, 100<<10)
		p.HandleRPC(ctx, &stats.InPayload{WireLength: 100 << 10})
	}
	is.Equal(p.Held(), int64(streamBytes))
	send(finishing, server, 100<<10)
	p.HandleRPC(ctx, &stats.End{})
	is.Equal(p.Held(), int64(0))

	large, server, _ := connect()
	send(large, server, 513<<10)
	is.True(isClosed(large)) // it has more than half

	slow, server, _ := connect()
	send(slow, server, 100<<10)
	p.CloseSlow()
	is.True(p.Held() > 100<<10) // a message may take RequestTime
	server.unfinished.progressAt = time.Now().Add(-2 * RequestTime)
	p.CloseSlow()
	is.True(isClosed(slow))
	is.Equal(p.Held(), int64(0))
}

// Pattern: a client calls and does not read the replies. Guards against replies that are all encoded and kept for it, against
// replies that wait although they could be sent, and against connections that stay for good.
func TestRepliesWaitForTheirClient(t *testing.T) {
	is := is.New(t)
	inner, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	defer inner.Close()
	p := &Peers{Counters: &Counters{}}
	l := p.Listen(inner, 10)
	client, err := net.Dial("tcp4", inner.Addr().String())
	is.NoErr(err)
	defer client.Close()
	server, err := l.Accept()
	is.NoErr(err)
	ctx := p.TagConn(t.Context(), &stats.ConnTagInfo{RemoteAddr: server.RemoteAddr()})
	is.True(ReserveReply(t.Context(), 1<<20) == nil) // a call that did not come through a listener
	is.True(ReserveReply(ctx, 64<<10) == nil)
	AdjustReply(ctx, 16<<10) // it was larger
	is.True(ReserveReply(ctx, smallReply) == nil)
	sent := ReserveReply(ctx, 2*smallReply)
	is.True(sent != nil)
	_, err = server.Write(make([]byte, 60<<10))
	is.NoErr(err)
	<-sent
	is.True(ReserveReply(ctx, 2*smallReply) == nil)
	sent = ReserveReply(ctx, 64<<10)
	is.True(sent != nil)
	p.CloseSlow()
	is.Equal(len(p.conns), 1)
	server.(*Conn).unfinished.waitsSince = time.Now().Add(-2 * unsentTime)
	p.CloseSlow()
	is.Equal(len(p.conns), 0)
	is.True(ReserveReply(ctx, 64<<10) == nil) // its calls end
}

// Guards against bounds that ordinary clients meet on the smallest VM, against bounds that exceed it together, and against
// none where a limit is not given.
func TestLimits(t *testing.T) {
	for name, l := range map[string]Limits{"smallest VM": {MemoryMB: 144, MaxFds: 3075}, "not given": {}} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.True(l.CallerConns() >= 256 && l.PeerConns() >= 128)
			is.True(l.Bodies(true) >= 4<<20 && l.Bodies(false) > l.Bodies(true))
			all := float64(l.Bodies(false)+l.PeerBytes()) + float64(l.CallerConns()*connBytes+l.PeerConns()*peerConnBytes)
			is.True(all <= l.memory()/2)
			is.True(float64(l.CallerConns()+l.PeerConns()+ReadinessConns) <= l.fds()/2)
		})
	}
}
