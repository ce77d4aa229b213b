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
	"net/url"
	"strings"
	"time"

	"greengageline/pkg/model"
)

var (
	// ErrNotKnown means that the outcome is open: ask again with the same key.
	ErrNotKnown = errors.New("outcome is not known yet")
	// ErrUnreached means that no entry node could be connected to: nothing ran.
	ErrUnreached = errors.New("no entry node answered")
)

// Problem is an entry node's answer that is not a success.
type Problem struct {
	Status  int    `json:"-"`
	Kind    string `json:"error"`
	Field   string `json:"field,omitempty"`
	Message string `json:"message"`
	Ran     string `json:"ran"`
	Next    string `json:"next"`
}

// Error returns the message and what to do next.
func (p *Problem) Error() string {
	return fmt.Sprintf("%s (%d): %s; %s", p.Kind, p.Status, p.Message, p.Next)
}

// Unwrap makes errors.Is(err, ErrNotKnown) hold where the outcome is open.
func (p *Problem) Unwrap() error {
	if p.Ran == "unknown" {
		return ErrNotKnown
	}
	return nil
}

// retryPause separates rounds over all entry nodes.
const retryPause = 200 * time.Millisecond

// Client talks to the entry nodes; the zero value with Addrs works.
type Client struct {
	// Addrs are the entry nodes, as host:port.
	Addrs []string
	// HTTP is the transport; nil means http.DefaultClient.
	HTTP *http.Client
}

// Submit accepts a job; it tries until the job is durable, is refused, or ctx
// ends.
func (c *Client) Submit(ctx context.Context, spec model.JobSpec) (model.Job, error) {
	var job model.Job
	err := c.repeat(ctx, http.MethodPost, "/v1/jobs", spec, &job)
	return job, err
}

// Job returns a job's state.
func (c *Client) Job(ctx context.Context, id string) (model.Job, error) {
	var job model.Job
	err := c.repeat(ctx, http.MethodGet, "/v1/jobs/"+url.PathEscape(id), nil, &job)
	return job, err
}

// waitStep is how long one request waits for a job's end.
const waitStep = 10 * time.Second

// Wait returns the job when it has ended, or the last state seen when ctx ends.
func (c *Client) Wait(ctx context.Context, id string) (model.Job, error) {
	var job model.Job
	path := "/v1/jobs/" + url.PathEscape(id) + "?wait=" + waitStep.String()
	for {
		var next model.Job
		err := c.repeat(ctx, http.MethodGet, path, nil, &next)
		if err != nil {
			return job, err
		}
		job = next
		if job.State.Final() || ctx.Err() != nil {
			return job, ctx.Err()
		}
	}
}

// Cancel asks for a job's end and returns its state.
func (c *Client) Cancel(ctx context.Context, id string) (model.Job, error) {
	var job model.Job
	err := c.repeat(ctx, http.MethodPost, "/v1/jobs/"+url.PathEscape(id)+"/cancel", nil, &job)
	return job, err
}

// Answer returns a done job's answer, checked against its length and checksum.
func (c *Client) Answer(ctx context.Context, id string) ([]byte, error) {
	job, err := c.Job(ctx, id)
	if err != nil {
		return nil, err
	}
	var data []byte
	if err := c.repeat(ctx, http.MethodGet, "/v1/jobs/"+url.PathEscape(id)+"/answer", nil, &data); err != nil {
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
	err := c.repeat(ctx, http.MethodPost, "/v1/requests", spec, &data)
	return data, err
}

// Do sends one request to the first entry node that answers, and decodes the
// answer into out; operators' tools use it.
func (c *Client) Do(ctx context.Context, method, path string, in, out any) error {
	_, err := c.round(ctx, method, path, in, out)
	return err
}

// repeat goes over the entry nodes until one gives an answer that stands.
func (c *Client) repeat(ctx context.Context, method, path string, in, out any) error {
	for {
		final, err := c.round(ctx, method, path, in, out)
		if final {
			return err
		}
		timer := time.NewTimer(retryPause)
		select {
		case <-ctx.Done():
			timer.Stop()
			return fmt.Errorf("%w: %w", err, ctx.Err())
		case <-timer.C:
		}
	}
}

// round tries each entry node once; final tells that trying again is useless.
func (c *Client) round(ctx context.Context, method, path string, in, out any) (final bool, err error) {
	err = ErrUnreached
	for _, addr := range c.Addrs {
		oneErr := c.once(ctx, method, "http://"+addr+path, in, out)
		if oneErr == nil {
			return true, nil
		}
		err = oneErr
		var p *Problem
		if errors.As(oneErr, &p) && !passing(p) {
			return true, oneErr
		}
	}
	return ctx.Err() != nil, err
}

// passing reports whether the same request may succeed soon.
func passing(p *Problem) bool {
	return p.Kind == "not-ready" || p.Kind == "not-known" || p.Kind == "busy"
}

func (c *Client) once(ctx context.Context, method, target string, in, out any) error {
	var body io.Reader
	if in != nil {
		data, err := json.Marshal(in)
		if err != nil {
			return fmt.Errorf("encode request: %w", err)
		}
		body = bytes.NewReader(data)
	}
	req, err := http.NewRequestWithContext(ctx, method, target, body)
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
		return sendError(err)
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return fmt.Errorf("%w: read answer: %w", ErrNotKnown, err)
	}
	if resp.StatusCode/100 != 2 {
		return problem(resp.StatusCode, data)
	}
	return decode(data, out)
}

// sendError tells a request that never left from one that may have arrived.
func sendError(err error) error {
	var opErr *net.OpError
	if errors.As(err, &opErr) && opErr.Op == "dial" {
		return fmt.Errorf("%w: %w", ErrUnreached, err)
	}
	return fmt.Errorf("%w: %w", ErrNotKnown, err)
}

func problem(status int, data []byte) error {
	p := &Problem{Status: status}
	if json.Unmarshal(data, p) != nil || p.Kind == "" {
		p.Kind, p.Message, p.Next = "http", strings.TrimSpace(string(data)), "look at the node's log"
	}
	return p
}

func decode(data []byte, out any) error {
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
