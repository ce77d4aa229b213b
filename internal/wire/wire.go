package wire

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"
)

var (
	// ErrNotSent means that the request certainly did not reach the peer.
	ErrNotSent = errors.New("request not sent")
	// ErrNoAnswer means that no usable answer came; the request may have taken effect.
	ErrNoAnswer = errors.New("no answer")
	// ErrClosed means that no answer came because the peer closed the connection. It comes with ErrNoAnswer.
	ErrClosed = errors.New("connection closed by peer")
)

// StatusError is an answer of the peer with a status other than 2xx.
type StatusError struct {
	Status int
	Body   []byte
}

// Error returns the status and the first 200 characters of the body.
func (e *StatusError) Error() string {
	return fmt.Sprintf("status %d: %.200s", e.Status, e.Body)
}

const (
	defaultTimeout  = 2 * time.Second
	defaultMaxConns = 64
	maxResponseBody = 16 << 20 // bytes
	maxCopiedBody   = 64 << 10 // bytes
	idleTimeout     = 30 * time.Second
)

// Client sends requests to one address. The zero value with Addr set is ready to use,
// and its methods may be called concurrently.
type Client struct {
	Addr string
	// Timeout bounds each request, in addition to the deadline of its context; 0 means
	// 2 s.
	Timeout time.Duration
	// DialTimeout bounds the time to connect; 0 means Timeout.
	DialTimeout time.Duration
	// MaxConns bounds the connections to the address; 0 means 64.
	MaxConns int
	// IdleTimeout is how long a connection without a request is kept; 0 means 30 s.
	IdleTimeout time.Duration
	// Header is added to each request; it must not change after the first request.
	Header map[string]string
	// Count, if set, is called after each request that may have been sent, with its path and the bytes of the request
	// and of the answer, headers included.
	Count func(path string, sent, received int)
	// Send, if set, replaces the network; its errors wrap ErrNotSent or ErrNoAnswer.
	Send func(ctx context.Context, addr, method, path string, body []byte) (status int, answer []byte, err error)

	once sync.Once
	host *fasthttp.HostClient
}

func (c *Client) init() {
	c.host = &fasthttp.HostClient{
		Addr:                          c.Addr,
		MaxConns:                      c.MaxConns,
		MaxIdleConnDuration:           c.IdleTimeout,
		MaxResponseBodySize:           maxResponseBody,
		MaxIdemponentCallAttempts:     1,
		NoDefaultUserAgentHeader:      true,
		DisableHeaderNamesNormalizing: true,
		// By default, fasthttp repeats even a POST when a kept-alive connection
		// turns out to be closed. Only the caller may repeat a start or a
		// transaction.
		RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		Dial: func(addr string) (net.Conn, error) {
			return fasthttp.DialTimeout(addr, cmp.Or(c.DialTimeout, c.timeout()))
		},
	}
	if c.host.MaxConns == 0 {
		c.host.MaxConns = defaultMaxConns
	}
	if c.host.MaxIdleConnDuration == 0 {
		c.host.MaxIdleConnDuration = idleTimeout
	}
}

func (c *Client) timeout() time.Duration {
	if c.Timeout > 0 {
		return c.Timeout
	}
	return defaultTimeout
}

// Post sends in as JSON to path and decodes the answer into out, if out is not nil. Its
// error wraps ErrNotSent or ErrNoAnswer, or is a StatusError.
func (c *Client) Post(ctx context.Context, path string, in, out any) error {
	data, err := json.Marshal(in)
	if err != nil {
		return fmt.Errorf("encode %s: %w: %w", path, ErrNotSent, err)
	}
	body, err := c.do(ctx, fasthttp.MethodPost, path, data)
	if err != nil {
		return err
	}
	return decode(path, body, out)
}

// Get reads path and decodes the JSON answer into out; its errors are those of Post.
func (c *Client) Get(ctx context.Context, path string, out any) error {
	body, err := c.do(ctx, fasthttp.MethodGet, path, nil)
	if err != nil {
		return err
	}
	return decode(path, body, out)
}

// PutBytes stores data at path; its errors are those of Post.
func (c *Client) PutBytes(ctx context.Context, path string, data []byte) error {
	_, err := c.do(ctx, fasthttp.MethodPut, path, data)
	return err
}

// GetBytes returns the bytes at path; its errors are those of Post.
func (c *Client) GetBytes(ctx context.Context, path string) ([]byte, error) {
	return c.do(ctx, fasthttp.MethodGet, path, nil)
}

func decode(path string, body []byte, out any) error {
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(body, out); err != nil {
		return fmt.Errorf("decode answer of %s: %w: %w", path, ErrNoAnswer, err)
	}
	return nil
}

func (c *Client) do(ctx context.Context, method, path string, data []byte) ([]byte, error) {
	if err := ctx.Err(); err != nil {
		return nil, fmt.Errorf("%s %s: %w: %w", method, path, ErrNotSent, err)
	}
	send := c.Send
	if send == nil {
		send = c.sendHTTP
	}
	ctx, cancel := context.WithDeadline(ctx, c.deadline(ctx))
	defer cancel()
	status, body, err := send(ctx, c.Addr, method, path, data)
	if err != nil {
		return nil, fmt.Errorf("%s %s%s: %w", method, c.Addr, path, err)
	}
	if status/100 != 2 {
		return nil, &StatusError{Status: status, Body: body}
	}
	return body, nil
}

func (c *Client) sendHTTP(ctx context.Context, _, method, path string, data []byte) (int, []byte, error) {
	c.once.Do(c.init)
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(method)
	req.SetRequestURI("http://" + c.Addr + path)
	req.Header.SetContentType("application/json")
	for name, value := range c.Header {
		req.Header.Set(name, value)
	}
	req.SetBody(data)
	err := c.host.DoDeadline(req, resp, c.deadline(ctx))
	if c.Count != nil && !notSent(err) {
		c.Count(path, len(req.Header.Header())+len(data), len(resp.Header.Header())+len(resp.Body()))
	}
	if err != nil {
		return 0, nil, c.sendError(err)
	}
	if len(resp.Body()) > maxCopiedBody {
		return resp.StatusCode(), resp.SwapBody(nil), nil // the pool of responses would keep a large buffer
	}
	return resp.StatusCode(), append([]byte(nil), resp.Body()...), nil
}

func (c *Client) deadline(ctx context.Context) time.Time {
	limit := time.Now().Add(c.timeout())
	if d, ok := ctx.Deadline(); ok && d.Before(limit) {
		return d
	}
	return limit
}

// sendError wraps err in ErrNotSent if the request certainly never left, else in
// ErrNoAnswer. After a timeout it closes the idle connections, so that the next request
// dials, which distinguishes a dead connection from a dead peer.
func (c *Client) sendError(err error) error {
	if errors.Is(err, fasthttp.ErrTimeout) {
		c.host.CloseIdleConnections()
	}
	if notSent(err) {
		return fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	if closedByPeer(err) {
		return fmt.Errorf("%w: %w: %w", ErrNoAnswer, ErrClosed, err)
	}
	return fmt.Errorf("%w: %w", ErrNoAnswer, err)
}

func closedByPeer(err error) bool {
	return errors.Is(err, fasthttp.ErrConnectionClosed) || errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET)
}

func notSent(err error) bool {
	if errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, fasthttp.ErrNoFreeConns) {
		return true
	}
	var opErr *net.OpError
	return errors.As(err, &opErr) && opErr.Op == "dial"
}

// Close closes the idle connections; the client may still be used.
func (c *Client) Close() {
	if c.Send != nil {
		return
	}
	c.once.Do(c.init)
	c.host.CloseIdleConnections()
}
