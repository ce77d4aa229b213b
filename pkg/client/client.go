package client

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strings"
	"sync/atomic"
	"time"

	"greengageline/pkg/model"
)

var (
	// ErrNotKnown means that the outcome is not known; retry with the same key.
	ErrNotKnown = errors.New("outcome is not known yet")
	// ErrUnreached means that no attempt had a connection to an entry node, so nothing ran.
	ErrUnreached = errors.New("no entry node answered")
)

// Problem is an error response of an entry node. Ran tells whether the request ran, and Next what
// the caller should do.
type Problem struct {
	Status  int    `json:"-"`
	Kind    string `json:"error"`
	Field   string `json:"field,omitempty"`
	Message string `json:"message"`
	Ran     string `json:"ran"`
	Next    string `json:"next"`
}

// Error returns the kind, status and message, and what to do next.
func (p *Problem) Error() string {
	return fmt.Sprintf("%s (%d): %s; %s", p.Kind, p.Status, p.Message, p.Next)
}

// Unwrap returns ErrNotKnown if the outcome of the request is not known, and nil otherwise.
func (p *Problem) Unwrap() error {
	if p.Ran == "unknown" {
		return ErrNotKnown
	}
	return nil
}

// retryInterval is the pause after all entry nodes have been tried, before they are tried again.
const retryInterval = 200 * time.Millisecond

// Client calls the entry nodes. A Client with only Addrs set is ready for use.
type Client struct {
	// Addrs are the addresses of the entry nodes, as host:port, in the order in which they are tried.
	Addrs []string
	// HTTP is the HTTP client; nil means http.DefaultClient.
	HTTP *http.Client
}

// Submit submits a job. It retries until the job is durable, the job is refused, or ctx ends.
func (c *Client) Submit(ctx context.Context, spec model.JobSpec) (model.Job, error) {
	var job model.Job
	err := c.doWithRetry(ctx, http.MethodPost, "/v1/jobs", spec, &job)
	return job, err
}

// Job returns the current record of a job.
func (c *Client) Job(ctx context.Context, id string) (model.Job, error) {
	var job model.Job
	err := c.doWithRetry(ctx, http.MethodGet, "/v1/jobs/"+url.PathEscape(id), nil, &job)
	return job, err
}

// longPollTimeout is how long one request waits on the server for the end of a job.
const longPollTimeout = 10 * time.Second

// Wait waits until the job has ended and returns it. If ctx ends first, Wait returns the last
// record seen and an error.
func (c *Client) Wait(ctx context.Context, id string) (model.Job, error) {
	var job model.Job
	path := "/v1/jobs/" + url.PathEscape(id) + "?wait=" + longPollTimeout.String()
	for {
		var next model.Job
		err := c.doWithRetry(ctx, http.MethodGet, path, nil, &next)
		if err != nil {
			return job, err
		}
		job = next
		if job.State.Final() || ctx.Err() != nil {
			return job, ctx.Err()
		}
	}
}

// Cancel requests the cancellation of a job and returns its current record.
func (c *Client) Cancel(ctx context.Context, id string) (model.Job, error) {
	var job model.Job
	err := c.doWithRetry(ctx, http.MethodPost, "/v1/jobs/"+url.PathEscape(id)+"/cancel", nil, &job)
	return job, err
}

// Answer returns the answer of a completed job. It returns an error that wraps ErrNotKnown if the
// bytes do not match the recorded length and checksum.
func (c *Client) Answer(ctx context.Context, id string) ([]byte, error) {
	job, err := c.Job(ctx, id)
	if err != nil {
		return nil, err
	}
	var data []byte
	if err := c.doWithRetry(ctx, http.MethodGet, "/v1/jobs/"+url.PathEscape(id)+"/answer", nil, &data); err != nil {
		return nil, err
	}
	if job.Answer != nil && !job.Answer.Verify(data) {
		return nil, fmt.Errorf("answer of job %q is damaged: %w", id, ErrNotKnown)
	}
	return data, nil
}

// Request sends a short request and returns its answer.
func (c *Client) Request(ctx context.Context, spec model.RequestSpec) ([]byte, error) {
	var data []byte
	err := c.doWithRetry(ctx, http.MethodPost, "/v1/requests", spec, &data)
	return data, err
}

// Do sends one request to the entry nodes in turn, each at most once, until one gives a final
// response, and decodes that into out. Operator tools use it.
func (c *Client) Do(ctx context.Context, method, path string, in, out any) error {
	var o outcome
	c.tryEachNode(ctx, method, path, in, out, &o)
	return o.error()
}

// doWithRetry tries the entry nodes repeatedly until one gives a final response or ctx ends.
func (c *Client) doWithRetry(ctx context.Context, method, path string, in, out any) error {
	var o outcome
	for !c.tryEachNode(ctx, method, path, in, out, &o) {
		timer := time.NewTimer(retryInterval)
		select {
		case <-ctx.Done():
			timer.Stop()
			return fmt.Errorf("%w: %w", o.error(), ctx.Err())
		case <-timer.C:
		}
	}
	return o.error()
}

// tryEachNode tries each entry node at most once and records the results in o. It reports whether a retry is not
// needed or would not help.
func (c *Client) tryEachNode(ctx context.Context, method, path string, in, out any, o *outcome) (final bool) {
	if len(c.Addrs) == 0 {
		o.add(method, ErrUnreached)
	}
	for _, addr := range c.Addrs {
		err := c.send(ctx, method, "http://"+addr+path, in, out)
		o.add(method, err)
		var p *Problem
		if err == nil || errors.As(err, &p) && !isTransient(p) {
			return true
		}
	}
	return ctx.Err() != nil
}

// outcome is what several attempts tell of one request.
type outcome struct {
	last error
	// mayHaveRun is the error of the latest attempt that may have had an effect, though its answer is missing.
	mayHaveRun error
}

// add records the result of an attempt, which is nil if it succeeded.
func (o *outcome) add(method string, err error) {
	o.last = err
	if method != http.MethodGet && errors.Is(err, ErrNotKnown) {
		o.mayHaveRun = err
	}
}

// error returns the error of the last attempt. If an earlier attempt may have had an effect, it returns that one's,
// since the last attempt tells of itself only.
func (o *outcome) error() error {
	if o.last == nil || o.mayHaveRun == nil || errors.Is(o.last, ErrNotKnown) {
		return o.last
	}
	return fmt.Errorf("%w; then: %s", o.mayHaveRun, o.last.Error())
}

// isTransient reports whether the same request may succeed when retried.
func isTransient(p *Problem) bool {
	return p.Kind == "not-ready" || p.Kind == "not-known" || p.Kind == "busy"
}

func (c *Client) send(ctx context.Context, method, requestURL string, in, out any) error {
	var body io.Reader
	if in != nil {
		data, err := json.Marshal(in)
		if err != nil {
			return fmt.Errorf("encode request: %w", err)
		}
		body = bytes.NewReader(data)
	}
	if err := ctx.Err(); err != nil {
		return fmt.Errorf("%w: %w", ErrUnreached, err)
	}
	var wait connWait
	ctx = httptrace.WithClientTrace(ctx, wait.trace())
	req, err := http.NewRequestWithContext(ctx, method, requestURL, body)
	if err != nil {
		return fmt.Errorf("make request: %w", err)
	}
	req.Header.Set("Content-Type", "application/json")
	client := c.HTTP
	if client == nil {
		client = http.DefaultClient
	}
	resp, err := client.Do(req)
	if err != nil {
		return sendError(err, wait.inVain(client.Transport))
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return fmt.Errorf("%w: read answer: %w", ErrNotKnown, err)
	}
	if resp.StatusCode/100 != 2 {
		return problemFromResponse(resp.StatusCode, data)
	}
	return decodeBody(data, out)
}

// sendError wraps err with ErrUnreached if there was no connection for the request, whether dialing failed or time was
// over before, and with ErrNotKnown if the request may have arrived.
func sendError(err error, noConn bool) error {
	var opErr *net.OpError
	if noConn || errors.As(err, &opErr) && opErr.Op == "dial" {
		return fmt.Errorf("%w: %w", ErrUnreached, err)
	}
	return fmt.Errorf("%w: %w", ErrNotKnown, err)
}

// connWait follows whether a request gets a connection.
type connWait struct{ asked, got atomic.Bool }

// trace returns the trace of the request to follow.
func (w *connWait) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{
		GetConn: func(string) { w.asked.Store(true) },
		GotConn: func(httptrace.GotConnInfo) { w.got.Store(true) },
	}
}

// inVain reports whether the request certainly got no connection from the transport; nil means http.DefaultTransport. Another
// transport than Go's own may have sent it without a report.
func (w *connWait) inVain(rt http.RoundTripper) bool {
	if rt == nil {
		rt = http.DefaultTransport
	}
	_, reports := rt.(*http.Transport)
	return !w.got.Load() && (reports || w.asked.Load())
}

// problemFromResponse returns the error of a response that is not 2xx. What answers with a 5xx in another form, such as a
// proxy, may have passed the request on.
func problemFromResponse(status int, data []byte) error {
	p := &Problem{Status: status}
	if json.Unmarshal(data, p) != nil || p.Kind == "" {
		p.Kind, p.Message, p.Next = "http", strings.TrimSpace(string(data)), "look at the node's log"
		if status >= http.StatusInternalServerError {
			p.Ran = "unknown"
		}
	}
	return p
}

func decodeBody(data []byte, out any) error {
	if raw, ok := out.(*[]byte); ok {
		*raw = data
		return nil
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(data, out); err != nil {
		return fmt.Errorf("%w: decode answer: %w", ErrNotKnown, err)
	}
	return nil
}
