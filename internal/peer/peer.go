package peer

import (
	"cmp"
	"context"
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/encoding"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/status"

	"greengageline/internal/guard"
)

const (
	serviceName = "greengageline.Peer"
	// maxMessageBytes is the maximum size of a message between nodes.
	maxMessageBytes = 1 << 20
	// maxStreams bounds the requests in progress on a connection; a node has one or two connections to another, and
	// some ten requests on them.
	maxStreams = 256
	// windowBytes and connWindowBytes are how much a node sends before it waits for the reader. They are fixed, since
	// windows that grow by themselves reach 16 MB; at 20 ms between zones they allow 3 MB/s.
	windowBytes     = 64 << 10
	connWindowBytes = 256 << 10
	// maxHeaderBytes bounds the headers of a request, which are some 300 bytes.
	maxHeaderBytes = 8 << 10
	// handshakeTimeout bounds the opening of a connection.
	handshakeTimeout  = 5 * time.Second
	keepaliveInterval = 10 * time.Second
	keepaliveTimeout  = 3 * time.Second
)

func init() { encoding.RegisterCodec(codec{}) }

// Handlers are the functions that serve the requests of other nodes. All must be set.
type Handlers struct {
	Beat   func(ctx context.Context, in *Beat) (*Beat, error)
	Submit func(ctx context.Context, in *SubmitRequest) (*JobReply, error)
	Job    func(ctx context.Context, in *JobRequest) (*JobReply, error)
	Call   func(ctx context.Context, in *CallRequest) (*CallReply, error)
}

// NewServer returns a gRPC server that serves requests with h. Its connections are those of g.
func NewServer(g *guard.Peers, h *Handlers) *grpc.Server {
	return NewServerWithStreams(g, nil,
		Method("Beat", h.Beat), Method("Submit", h.Submit),
		Method("Job", h.Job), Method("Call", h.Call),
	)
}

// NewServerWithStreams returns a gRPC server with the given streams and methods, which the caller starts on a listener of
// g. A nil g bounds each message only.
func NewServerWithStreams(g *guard.Peers, streams []grpc.StreamDesc, methods ...grpc.MethodDesc) *grpc.Server {
	options := []grpc.ServerOption{
		grpc.MaxRecvMsgSize(maxMessageBytes), grpc.MaxConcurrentStreams(maxStreams), grpc.MaxHeaderListSize(maxHeaderBytes),
		grpc.StaticStreamWindowSize(windowBytes), grpc.StaticConnWindowSize(connWindowBytes), grpc.ConnectionTimeout(handshakeTimeout),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: keepaliveInterval / 2, PermitWithoutStream: true}),
	}
	if g != nil {
		options = append(options, grpc.StatsHandler(g))
	}
	s := grpc.NewServer(options...)
	s.RegisterService(&grpc.ServiceDesc{ServiceName: serviceName, HandlerType: (*any)(nil), Methods: methods, Streams: streams}, nil)
	return s
}

// Method returns the gRPC description of a typed handler, without generated code.
func Method[I, O any](name string, f func(context.Context, *I) (*O, error)) grpc.MethodDesc {
	size := new(atomic.Int64)
	return grpc.MethodDesc{
		MethodName: name,
		Handler: func(_ any, ctx context.Context, dec func(any) error, _ grpc.UnaryServerInterceptor) (any, error) {
			in := new(I)
			if err := dec(in); err != nil {
				return nil, status.Error(codes.InvalidArgument, err.Error())
			}
			out, err := f(ctx, in)
			if err != nil {
				return nil, err
			}
			return encodeReply(ctx, out, size)
		},
	}
}

// unknownReply is the size that the first reply of a method is taken to have, in bytes.
const unknownReply = 64 << 10

// encodeReply encodes a reply once the connection may take it. While it waits only the decoded form is kept, which often
// shares its memory with the node's state. size has the size of the method's last reply.
func encodeReply(ctx context.Context, out any, size *atomic.Int64) (encoded, error) {
	expected := cmp.Or(size.Load(), unknownReply)
	for sent := guard.ReserveReply(ctx, expected); sent != nil; sent = guard.ReserveReply(ctx, expected) {
		select {
		case <-sent:
		case <-ctx.Done():
			return nil, status.FromContextError(ctx.Err()).Err()
		}
	}
	data, err := codec{}.Marshal(out)
	guard.AdjustReply(ctx, int64(len(data))-expected)
	size.Store(int64(len(data)))
	return data, err
}

// Stream returns the gRPC description of a stream in both directions, which ends when f returns.
func Stream(name string, f func(grpc.ServerStream) error) grpc.StreamDesc {
	return grpc.StreamDesc{
		StreamName: name, ServerStreams: true, ClientStreams: true,
		Handler: func(_ any, s grpc.ServerStream) error { return f(s) },
	}
}

// Client calls the node at one address. The zero value with Addr set is ready to use.
type Client struct {
	Addr string
	// Traffic is called with the bytes of each message of a stream, if it is set.
	Traffic func(sent, received int)
	// Invoke replaces the network call if it is set.
	Invoke func(ctx context.Context, addr, method string, in, out any) error

	mu sync.Mutex
	// conn is guarded by mu. It is nil until the next request dials.
	conn *grpc.ClientConn
}

func (c *Client) connection() (*grpc.ClientConn, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn != nil {
		return c.conn, nil
	}
	conn, err := grpc.NewClient("passthrough:///"+c.Addr, grpc.WithStatsHandler(traffic(c.Traffic)),
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithDefaultCallOptions(grpc.CallContentSubtype(codecName), grpc.MaxCallRecvMsgSize(maxMessageBytes)),
		grpc.WithNoProxy(), grpc.WithDisableRetry(), grpc.WithDisableServiceConfig(),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: keepaliveInterval, Timeout: keepaliveTimeout}),
		grpc.WithContextDialer(func(ctx context.Context, addr string) (net.Conn, error) {
			var d net.Dialer
			return d.DialContext(ctx, "tcp", addr)
		}),
	)
	if err != nil {
		return nil, fmt.Errorf("connect to %s: %w: %w", c.Addr, ErrNotReached, err)
	}
	c.conn = conn
	return conn, nil
}

// Close closes the connection. The next request dials a new one, which distinguishes a
// connection that stopped working from a peer that is down.
func (c *Client) Close() {
	c.mu.Lock()
	conn := c.conn
	c.conn = nil
	c.mu.Unlock()
	if conn != nil {
		_ = conn.Close()
	}
}

// Stream opens the named stream, which ends with ctx. Its error wraps ErrNotReached or ErrNoAnswer.
func (c *Client) Stream(ctx context.Context, name string) (grpc.ClientStream, error) {
	conn, err := c.connection()
	if err != nil {
		return nil, err
	}
	s, err := conn.NewStream(ctx, &grpc.StreamDesc{StreamName: name, ServerStreams: true, ClientStreams: true}, "/"+serviceName+"/"+name)
	if err != nil {
		return nil, fmt.Errorf("%s at %s: %w: %w", name, c.Addr, deliveryError(err), err)
	}
	return s, nil
}

// Ask calls the named method of the node. Its error wraps ErrNotReached or ErrNoAnswer.
func (c *Client) Ask(ctx context.Context, name string, in, out any) error {
	if c.Invoke != nil {
		return c.Invoke(ctx, c.Addr, name, in, out)
	}
	conn, err := c.connection()
	if err != nil {
		return err
	}
	err = conn.Invoke(ctx, "/"+serviceName+"/"+name, in, out)
	if err == nil {
		return nil
	}
	return fmt.Errorf("%s at %s: %w: %w", name, c.Addr, deliveryError(err), err)
}

// deliveryError returns ErrNotReached if the request was never sent and ErrNoAnswer if it may
// have arrived. gRPC reports Unavailable both for a failed dial and for a connection that
// broke during the request. Only a failed dial has a message of its own by which it can be
// recognized.
func deliveryError(err error) error {
	s, ok := status.FromError(err)
	if ok && s.Code() == codes.Unavailable && dialFailed(s.Message()) {
		return ErrNotReached
	}
	return ErrNoAnswer
}

// Beat sends a heartbeat and returns the peer's own.
func (c *Client) Beat(ctx context.Context, in *Beat) (*Beat, error) {
	out := new(Beat)
	return out, c.Ask(ctx, "Beat", in, out)
}

// Submit passes a job to the node.
func (c *Client) Submit(ctx context.Context, in *SubmitRequest) (*JobReply, error) {
	out := new(JobReply)
	return out, c.Ask(ctx, "Submit", in, out)
}

// Job asks the node for a job's state, or to cancel the job.
func (c *Client) Job(ctx context.Context, in *JobRequest) (*JobReply, error) {
	out := new(JobReply)
	return out, c.Ask(ctx, "Job", in, out)
}

// Call passes a short request to the node.
func (c *Client) Call(ctx context.Context, in *CallRequest) (*CallReply, error) {
	out := new(CallReply)
	return out, c.Ask(ctx, "Call", in, out)
}

// dialFailed reports whether a gRPC error message says that no connection could be
// established.
func dialFailed(message string) bool {
	return strings.Contains(message, "connection error: desc = \"transport: Error while dialing")
}
