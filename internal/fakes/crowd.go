package fakes

import (
	"context"
	"errors"
	"fmt"
	"net"
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
	// crowdHold is how long the connections stay open once all have sent.
	crowdHold = 500 * time.Millisecond
	// sampleInterval is the time between two looks at the descriptors of a process.
	sampleInterval = 20 * time.Millisecond
)

// Crowd is a number of clients that connect to Addr at once, send and don't read. They stay connected until all
// have sent.
type Crowd struct {
	Addr  string
	Conns int
	// Send is what each connection sends, over TCP.
	Send []byte
	// Method, Message and Calls are the gRPC method that each connection calls, with what message and how often at
	// once. A connection sends no more after SendLimit bytes if that is above 0.
	Method    string
	Message   []byte
	Calls     int
	SendLimit int64
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
				use.MB, use.Err = peakMemory(pid)
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
	if c.Method != "" {
		one = c.sendCalls
	}
	for range c.Conns {
		sent.Add(1)
		done.Go(func() {
			closeConn := one()
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

func (c *Crowd) sendRaw() func() {
	conn, err := net.DialTimeout("tcp", c.Addr, crowdSendLimit)
	if err != nil {
		return func() {}
	}
	_ = conn.SetWriteDeadline(time.Now().Add(crowdSendLimit))
	_, _ = conn.Write(c.Send)
	return func() { _ = conn.Close() }
}

// rawCodec sends byte slices under the name of the nodes' codec.
type rawCodec struct{}

func (rawCodec) Name() string                  { return "cbor" }
func (rawCodec) Marshal(v any) ([]byte, error) { return v.([]byte), nil }
func (rawCodec) Unmarshal([]byte, any) error   { return nil }

// errSendLimit means that a connection has sent its SendLimit.
var errSendLimit = errors.New("send limit reached")

// cutConn is a connection that takes left more bytes and then stands still until it is closed.
type cutConn struct {
	net.Conn
	left   atomic.Int64
	closed chan struct{}
	once   sync.Once
}

func (c *cutConn) Write(p []byte) (int, error) {
	n := min(int64(len(p)), c.left.Load())
	sent, err := c.Conn.Write(p[:n])
	if c.left.Add(-n); err == nil && sent < len(p) {
		<-c.closed
		err = errSendLimit
	}
	return sent, err
}

func (c *cutConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

func (c *Crowd) sendCalls() func() {
	conn, err := grpc.NewClient("passthrough:///"+c.Addr, grpc.WithTransportCredentials(insecure.NewCredentials()), grpc.WithNoProxy(),
		grpc.WithContextDialer(func(ctx context.Context, addr string) (net.Conn, error) {
			var d net.Dialer
			raw, err := d.DialContext(ctx, "tcp", addr)
			if err != nil || c.SendLimit == 0 {
				return raw, err
			}
			cut := &cutConn{Conn: raw, closed: make(chan struct{})}
			cut.left.Store(c.SendLimit)
			return cut, nil
		}))
	if err != nil {
		return func() {}
	}
	ctx, cancel := context.WithTimeout(context.Background(), crowdSendLimit)
	var calls sync.WaitGroup
	for range c.Calls {
		calls.Go(func() {
			var out struct{}
			_ = conn.Invoke(ctx, c.Method, c.Message, &out, grpc.ForceCodec(rawCodec{}))
		})
	}
	calls.Wait()
	return func() {
		cancel()
		_ = conn.Close()
	}
}

// peakMemory returns the largest resident memory that a process has had, in MB.
func peakMemory(pid int) (int, error) {
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
