package fakes

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
)

const (
	// crowdSendLimit bounds the sending of one connection, whose peer may stop reading.
	crowdSendLimit = 2 * time.Second
	// crowdReplyLimit bounds the requests of one connection that reads the replies.
	crowdReplyLimit = 30 * time.Second
	// crowdHold is how long the connections stay open once all have sent.
	crowdHold = 500 * time.Millisecond
	// sampleInterval is the time between two looks at the descriptors of a process.
	sampleInterval = 20 * time.Millisecond
)

// Crowd is a number of clients that connect to Addr at once and send. They stay connected until all have sent.
type Crowd struct {
	Addr  string
	Conns int
	// Send is what each connection sends, over TCP, without reading.
	Send []byte
	// Request, if it is set, returns HTTP request number k of connection i. Each connection sends Requests of them, each
	// once the reply to the one before has arrived.
	Request  func(i, k int) []byte
	Requests int
	// Method, Message and Calls are the gRPC method that each connection calls, with what message and how often at
	// once. A connection sends no more after SendLimit bytes if that is above 0.
	Method    string
	Message   []byte
	Calls     int
	SendLimit int64
	// InTurn means that a connection calls once the reply to the call before has arrived, not all at once.
	InTurn bool
	// MessageOf, if it is set, returns the message of call k of connection i in place of Message.
	MessageOf func(i, k int) []byte
	// Streams means that each call opens a stream, on which it sends its message and reads nothing.
	Streams bool
	// ReadLimit, if it is above 0, is how many bytes a connection that calls a method reads before it stops reading.
	ReadLimit int64
}

// Use is what a process has used: the largest resident memory since its start, and the most descriptors that were
// open while a crowd was there. Err is set if the process has ended.
type Use struct {
	MB, Descriptors int
	Err             error
}

// Run connects, sends, and disconnects all at once. A connection that is refused or closed is no error. It returns
// what the process that the crowd comes to has used.
func (c *Crowd) Run(pid int) Use {
	var use Use
	done := make(chan struct{})
	go func() {
		defer close(done)
		c.come()
	}()
	for {
		open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
		use.Descriptors, use.Err = max(use.Descriptors, len(open)), err
		select {
		case <-done:
			if use.Err == nil {
				use.MB, use.Err = PeakMemory(pid)
			}
			return use
		case <-time.After(sampleInterval):
		}
	}
}

// come connects and sends, and disconnects once all have sent.
func (c *Crowd) come() {
	var sent, done sync.WaitGroup
	leave := make(chan struct{})
	one := c.sendRaw
	switch {
	case c.Method != "":
		one = c.sendCalls
	case c.Request != nil:
		one = c.sendRequests
	}
	for i := range c.Conns {
		sent.Add(1)
		done.Go(func() {
			closeConn := one(i)
			sent.Done()
			<-leave
			closeConn()
		})
	}
	sent.Wait()
	time.Sleep(crowdHold)
	close(leave)
	done.Wait()
}

func (c *Crowd) sendRaw(int) func() {
	conn, err := net.DialTimeout("tcp", c.Addr, crowdSendLimit)
	if err != nil {
		return func() {}
	}
	_ = conn.SetWriteDeadline(time.Now().Add(crowdSendLimit))
	_, _ = conn.Write(c.Send)
	return func() { _ = conn.Close() }
}

func (c *Crowd) sendRequests(i int) func() {
	conn, err := net.DialTimeout("tcp", c.Addr, crowdSendLimit)
	if err != nil {
		return func() {}
	}
	_ = conn.SetDeadline(time.Now().Add(crowdReplyLimit))
	r := bufio.NewReader(conn)
	for k := range c.Requests {
		if _, err := conn.Write(c.Request(i, k)); err != nil {
			break
		}
		resp, err := http.ReadResponse(r, nil)
		if err != nil {
			break
		}
		_, err = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		if err != nil || resp.Close {
			break
		}
	}
	return func() { _ = conn.Close() }
}

// rawCodec sends byte slices under the name of the nodes' codec.
type rawCodec struct{}

func (rawCodec) Name() string                  { return "cbor" }
func (rawCodec) Marshal(v any) ([]byte, error) { return v.([]byte), nil }
func (rawCodec) Unmarshal([]byte, any) error   { return nil }

// errSendLimit means that a connection has sent its SendLimit.
var errSendLimit = errors.New("send limit reached")

// cutConn is a connection that takes and gives so many more bytes, if they are limited, and then stands still until it
// is closed.
type cutConn struct {
	net.Conn
	writes, reads     atomic.Int64
	writeCut, readCut bool
	closed            chan struct{}
	once              sync.Once
}

func (c *cutConn) Write(p []byte) (int, error) {
	if !c.writeCut {
		return c.Conn.Write(p)
	}
	n := min(int64(len(p)), c.writes.Load())
	sent, err := c.Conn.Write(p[:n])
	if c.writes.Add(-n); err == nil && sent < len(p) {
		<-c.closed
		err = errSendLimit
	}
	return sent, err
}

func (c *cutConn) Read(p []byte) (int, error) {
	if !c.readCut {
		return c.Conn.Read(p)
	}
	limit := c.reads.Load()
	if limit <= 0 {
		<-c.closed
		return 0, io.EOF
	}
	n, err := c.Conn.Read(p[:min(int64(len(p)), limit)])
	c.reads.Add(-int64(n))
	return n, err
}

func (c *cutConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

func (c *Crowd) sendCalls(i int) func() {
	conn, err := grpc.NewClient("passthrough:///"+c.Addr, grpc.WithTransportCredentials(insecure.NewCredentials()), grpc.WithNoProxy(),
		grpc.WithContextDialer(func(ctx context.Context, addr string) (net.Conn, error) {
			var d net.Dialer
			raw, err := d.DialContext(ctx, "tcp", addr)
			if err != nil || c.SendLimit == 0 && c.ReadLimit == 0 {
				return raw, err
			}
			cut := &cutConn{Conn: raw, closed: make(chan struct{}), writeCut: c.SendLimit > 0, readCut: c.ReadLimit > 0}
			cut.writes.Store(c.SendLimit)
			cut.reads.Store(c.ReadLimit)
			return cut, nil
		}))
	if err != nil {
		return func() {}
	}
	ctx, cancel := context.WithTimeout(context.Background(), crowdSendLimit)
	var calls sync.WaitGroup
	for k := range c.Calls {
		message := c.Message
		if c.MessageOf != nil {
			message = c.MessageOf(i, k)
		}
		calls.Go(func() { c.call(ctx, conn, message) })
		if c.InTurn {
			calls.Wait()
		}
	}
	calls.Wait()
	return func() {
		cancel()
		_ = conn.Close()
	}
}

// call calls the method once; errors don't matter to a crowd.
func (c *Crowd) call(ctx context.Context, conn *grpc.ClientConn, message []byte) {
	if !c.Streams {
		var out struct{}
		_ = conn.Invoke(ctx, c.Method, message, &out, grpc.ForceCodec(rawCodec{}))
		return
	}
	s, err := conn.NewStream(ctx, &grpc.StreamDesc{ClientStreams: true, ServerStreams: true}, c.Method, grpc.ForceCodec(rawCodec{}))
	if err == nil {
		_ = s.SendMsg(message)
	}
}

// PeakMemory returns the largest resident memory that a process has had, in MB.
func PeakMemory(pid int) (int, error) {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, fmt.Errorf("read the memory of process %d: %w", pid, err)
	}
	_, after, found := strings.Cut(string(status), "VmHWM:")
	kb := 0
	if _, err := fmt.Sscan(after, &kb); !found || err != nil {
		return 0, fmt.Errorf("process %d: %w", pid, os.ErrProcessDone)
	}
	return kb >> 10, nil
}
