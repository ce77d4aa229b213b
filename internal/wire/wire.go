package wire

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"
)

var (
	// ErrNotSent means that the request certainly did not reach the peer.
	ErrNotSent = errors.New("request not sent")
	// ErrNoAnswer means that the request may have taken effect.
	ErrNoAnswer = errors.New("no answer")
)

// StatusError is an answer of the peer that is not a success.
type StatusError struct {
	Status int
	Body   []byte
}

// Error returns the status and the start of the body.
func (e *StatusError) Error() string {
	return fmt.Sprintf("status %d: %.200s", e.Status, e.Body)
}

const (
	defaultTimeout = 2 * time.Second
	maxConns       = 64
	maxBody        = 16 << 20 // bytes
	idleTimeout    = 30 * time.Second
)

// Client talks to one address; the zero value with Addr set works.
type Client struct {
	Addr string
	// Timeout bounds a request whose context has no deadline.
	Timeout time.Duration
	// MaxConns bounds the connections to the address; 0 means 64.
	MaxConns int
	// Header is added to each request; it must not change after the first.
	Header map[string]string
	// Send replaces the network, if set; its errors wrap ErrNotSent or ErrNoAnswer.
	Send func(ctx context.Context, addr, method, path string, body []byte) (status int, answer []byte, err error)

	once sync.Once
	host *fasthttp.HostClient
}

func (c *Client) init() {
	c.host = &fasthttp.HostClient{
		Addr:                          c.Addr,
		MaxConns:                      c.MaxConns,
		MaxIdleConnDuration:           idleTimeout,
		MaxResponseBodySize:           maxBody,
		MaxIdemponentCallAttempts:     1,
		NoDefaultUserAgentHeader:      true,
		DisableHeaderNamesNormalizing: true,
		// fasthttp repeats even a POST when a kept connection is found closed;
		// a doubled start or transaction must be our own decision.
		RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		Dial: func(addr string) (net.Conn, error) {
			return fasthttp.DialTimeout(addr, c.timeout())
		},
	}
	if c.host.MaxConns == 0 {
		c.host.MaxConns = maxConns
	}
}

func (c *Client) timeout() time.Duration {
	if c.Timeout > 0 {
		return c.Timeout
	}
	return defaultTimeout
}

// Post sends in as JSON to path and decodes the answer into out, if not nil.
// An error wraps ErrNotSent, ErrNoAnswer or is a StatusError.
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

// Get reads path and decodes the answer into out.
func (c *Client) Get(ctx context.Context, path string, out any) error {
	body, err := c.do(ctx, fasthttp.MethodGet, path, nil)
	if err != nil {
		return err
	}
	return decode(path, body, out)
}

// PutBytes stores raw bytes at path.
func (c *Client) PutBytes(ctx context.Context, path string, data []byte) error {
	_, err := c.do(ctx, fasthttp.MethodPut, path, data)
	return err
}

// GetBytes reads raw bytes from path.
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
		send = c.overHTTP
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

func (c *Client) overHTTP(ctx context.Context, _, method, path string, data []byte) (int, []byte, error) {
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
	if err := c.host.DoDeadline(req, resp, c.deadline(ctx)); err != nil {
		return 0, nil, c.sendError(err)
	}
	return resp.StatusCode(), append([]byte(nil), resp.Body()...), nil
}

func (c *Client) deadline(ctx context.Context) time.Time {
	own := time.Now().Add(c.timeout())
	if d, ok := ctx.Deadline(); ok && d.Before(own) {
		return d
	}
	return own
}

// sendError tells a request that never left from one that may have arrived.
// After a timeout the kept connections are closed, so that the next request
// dials: a connection that went silent is thus told from a dead peer.
func (c *Client) sendError(err error) error {
	if errors.Is(err, fasthttp.ErrTimeout) {
		c.host.CloseIdleConnections()
	}
	if notSent(err) {
		return fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	return fmt.Errorf("%w: %w", ErrNoAnswer, err)
}

func notSent(err error) bool {
	if errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, fasthttp.ErrNoFreeConns) {
		return true
	}
	var opErr *net.OpError
	return errors.As(err, &opErr) && opErr.Op == "dial"
}

// Close closes idle connections.
func (c *Client) Close() {
	if c.Send != nil {
		return
	}
	c.once.Do(c.init)
	c.host.CloseIdleConnections()
}
