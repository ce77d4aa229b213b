package peer

import (
	"context"
	"fmt"
	"net"
	"strings"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/encoding"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/status"
)

const (
	serviceName = "greengageline.Peer"
	// maxMessage bounds a message between nodes, in bytes.
	maxMessage = 1 << 20
	pingEvery  = 10 * time.Second
	pingWait   = 3 * time.Second
)

func init() { encoding.RegisterCodec(codec{}) }

// Handlers answer the requests of other nodes; all must be set.
type Handlers struct {
	Beat   func(ctx context.Context, in *Beat) (*Beat, error)
	Submit func(ctx context.Context, in *SubmitIn) (*JobOut, error)
	Job    func(ctx context.Context, in *JobIn) (*JobOut, error)
	Call   func(ctx context.Context, in *CallIn) (*CallOut, error)
}

// NewServer returns a gRPC server of h.
func NewServer(h *Handlers) *grpc.Server {
	return Serve(
		Method("Beat", h.Beat), Method("Submit", h.Submit),
		Method("Job", h.Job), Method("Call", h.Call),
	)
}

// Serve returns a gRPC server of the given methods.
func Serve(methods ...grpc.MethodDesc) *grpc.Server {
	s := grpc.NewServer(
		grpc.MaxRecvMsgSize(maxMessage),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: pingEvery / 2, PermitWithoutStream: true}),
	)
	s.RegisterService(&grpc.ServiceDesc{ServiceName: serviceName, HandlerType: (*any)(nil), Methods: methods}, nil)
	return s
}

// Method adapts a typed handler to gRPC without generated code.
func Method[I, O any](name string, f func(context.Context, *I) (*O, error)) grpc.MethodDesc {
	return grpc.MethodDesc{
		MethodName: name,
		Handler: func(_ any, ctx context.Context, dec func(any) error, _ grpc.UnaryServerInterceptor) (any, error) {
			in := new(I)
			if err := dec(in); err != nil {
				return nil, status.Error(codes.InvalidArgument, err.Error())
			}
			return f(ctx, in)
		},
	}
}

// Client talks to the node at one address; the zero value with Addr works.
type Client struct {
	Addr string
	// Invoke replaces the network, if set.
	Invoke func(ctx context.Context, addr, method string, in, out any) error

	mu sync.Mutex
	// conn is guarded by mu; nil until the next request dials.
	conn *grpc.ClientConn
}

func (c *Client) connection() (*grpc.ClientConn, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn != nil {
		return c.conn, nil
	}
	conn, err := grpc.NewClient("passthrough:///"+c.Addr,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithDefaultCallOptions(grpc.CallContentSubtype(codecName), grpc.MaxCallRecvMsgSize(maxMessage)),
		grpc.WithNoProxy(), grpc.WithDisableRetry(), grpc.WithDisableServiceConfig(),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: pingEvery, Timeout: pingWait}),
		grpc.WithContextDialer(func(ctx context.Context, addr string) (net.Conn, error) {
			var d net.Dialer
			return d.DialContext(ctx, "tcp", addr)
		}),
	)
	if err != nil {
		return nil, fmt.Errorf("connect to %s: %w: %w", c.Addr, ErrUnreached, err)
	}
	c.conn = conn
	return conn, nil
}

// Close drops the connection; the next request dials a new one, which tells a
// connection that went silent from a peer that is dead.
func (c *Client) Close() {
	c.mu.Lock()
	conn := c.conn
	c.conn = nil
	c.mu.Unlock()
	if conn != nil {
		_ = conn.Close()
	}
}

// Ask calls the named method of the node.
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
	return fmt.Errorf("%s at %s: %w: %w", name, c.Addr, kindOf(err), err)
}

// kindOf tells a request that never left from one that may have arrived; gRPC
// reports a failed dial as Unavailable with a text of its own, but also a
// connection that broke under way, so only the former may be told apart.
func kindOf(err error) error {
	s, ok := status.FromError(err)
	if ok && s.Code() == codes.Unavailable && dialFailed(s.Message()) {
		return ErrUnreached
	}
	return ErrNoAnswer
}

// Beat exchanges heartbeats.
func (c *Client) Beat(ctx context.Context, in *Beat) (*Beat, error) {
	out := new(Beat)
	return out, c.Ask(ctx, "Beat", in, out)
}

// Submit passes a job on.
func (c *Client) Submit(ctx context.Context, in *SubmitIn) (*JobOut, error) {
	out := new(JobOut)
	return out, c.Ask(ctx, "Submit", in, out)
}

// Job asks about a job.
func (c *Client) Job(ctx context.Context, in *JobIn) (*JobOut, error) {
	out := new(JobOut)
	return out, c.Ask(ctx, "Job", in, out)
}

// Call passes a short request on.
func (c *Client) Call(ctx context.Context, in *CallIn) (*CallOut, error) {
	out := new(CallOut)
	return out, c.Ask(ctx, "Call", in, out)
}

// dialFailed recognizes gRPC's report that no connection could be made.
func dialFailed(message string) bool {
	return strings.Contains(message, "connection error: desc = \"transport: Error while dialing")
}
