package worker

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"greengageline/internal/wire"
	"greengageline/pkg/model"
)

var (
	// ErrBusy means that the worker has no free accelerators or slots: nothing ran.
	ErrBusy = errors.New("worker is busy")
	// ErrLeaving means that the worker takes no new work: nothing ran.
	ErrLeaving = errors.New("worker is leaving")
	// ErrFenced means that the worker has received orders of a newer epoch: nothing ran.
	ErrFenced = errors.New("worker obeys a newer owner")
	// ErrRefused means that the worker refused for another reason: nothing ran.
	ErrRefused = errors.New("worker refused")
	// ErrNotSent means that the order never reached the worker.
	ErrNotSent = errors.New("worker not reached")
	// ErrOutcomeUnknown means that the order may have been carried out.
	ErrOutcomeUnknown = errors.New("worker gave no answer")
)

const (
	orderTimeout = 1500 * time.Millisecond
	orderConns   = 4
)

// Pool holds, for each worker's address, one client for orders and one for short
// requests. The zero value is ready to use, and its methods may be called concurrently.
type Pool struct {
	// CallConns bounds the connections for short requests to one worker.
	CallConns int
	// Send, if set, replaces the network; see wire.Client.
	Send func(ctx context.Context, addr, method, path string, body []byte) (int, []byte, error)

	mu sync.Mutex
	// orderClients and callClients are guarded by mu.
	orderClients map[string]*wire.Client
	callClients  map[string]*wire.Client
}

func (p *Pool) orderClient(addr string) *wire.Client {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.orderClients == nil {
		p.orderClients = map[string]*wire.Client{}
	}
	c := p.orderClients[addr]
	if c == nil {
		c = &wire.Client{Addr: addr, Timeout: orderTimeout, MaxConns: orderConns, Send: p.Send}
		p.orderClients[addr] = c
	}
	return c
}

func (p *Pool) callClient(addr string) *wire.Client {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.callClients == nil {
		p.callClients = map[string]*wire.Client{}
	}
	c := p.callClients[addr]
	if c == nil {
		c = &wire.Client{Addr: addr, MaxConns: max(p.CallConns, 1), Send: p.Send}
		p.callClients[addr] = c
	}
	return c
}

// CloseAddr removes the clients of an address that is no longer used and closes their
// idle connections.
func (p *Pool) CloseAddr(addr string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, clients := range []map[string]*wire.Client{p.orderClients, p.callClients} {
		if c := clients[addr]; c != nil {
			c.Close()
			delete(clients, addr)
		}
	}
}

// Reserve reserves accelerators for a task; it may be repeated.
func (p *Pool) Reserve(ctx context.Context, addr string, in model.Reserve) (model.ReserveReply, error) {
	var out model.ReserveReply
	err := p.orderClient(addr).Post(ctx, "/reserve", in, &out)
	return out, orderError("reserve", err)
}

// Start runs a reserved task; the worker starts an attempt at most once.
func (p *Pool) Start(ctx context.Context, addr string, in model.Start) error {
	return orderError("start", p.orderClient(addr).Post(ctx, "/start", in, nil))
}

// Renew extends leases and returns the state of all tasks of the cell.
func (p *Pool) Renew(ctx context.Context, addr string, in model.Renew) (model.RenewReply, error) {
	var out model.RenewReply
	err := p.orderClient(addr).Post(ctx, "/renew", in, &out)
	return out, orderError("renew", err)
}

// Stop stops a task; it may be repeated.
func (p *Pool) Stop(ctx context.Context, addr string, in model.Stop) error {
	return orderError("stop", p.orderClient(addr).Post(ctx, "/stop", in, nil))
}

// LookUp returns the worker's state of an attempt.
func (p *Pool) LookUp(ctx context.Context, addr string, in model.Look) (model.LookReply, error) {
	var out model.LookReply
	err := p.orderClient(addr).Post(ctx, "/look", in, &out)
	return out, orderError("look", err)
}

// Answer fetches the bytes of a finished task's answer.
func (p *Pool) Answer(ctx context.Context, addr string, in model.TaskRef) ([]byte, error) {
	query := url.Values{"job": {in.Job}, "attempt": {strconv.Itoa(in.Attempt)}}
	data, err := p.orderClient(addr).GetBytes(ctx, "/answer?"+query.Encode())
	return data, orderError("answer", err)
}

// Call forwards a short request to the service on a target. Its error wraps ErrOutcomeUnknown
// if the answer does not match the request or its checksum.
func (p *Pool) Call(ctx context.Context, addr string, in model.Call) (model.CallReply, error) {
	var out model.CallReply
	err := orderError("call", p.callClient(addr).Post(ctx, "/call", in, &out))
	if err != nil {
		return out, err
	}
	if out.ID != in.ID || !out.Answer.Verify(out.Answer.Inline) {
		return out, fmt.Errorf("call %s: answer does not match: %w", in.ID, ErrOutcomeUnknown)
	}
	return out, nil
}

func orderError(verb string, err error) error {
	if err == nil {
		return nil
	}
	var status *wire.StatusError
	if !errors.As(err, &status) {
		if errors.Is(err, wire.ErrNotSent) {
			return fmt.Errorf("%s: %w: %w", verb, ErrNotSent, err)
		}
		return fmt.Errorf("%s: %w: %w", verb, ErrOutcomeUnknown, err)
	}
	switch status.Status {
	case http.StatusTooManyRequests:
		return fmt.Errorf("%s: %w", verb, ErrBusy)
	case http.StatusGone:
		return fmt.Errorf("%s: %w", verb, ErrLeaving)
	case http.StatusPreconditionFailed:
		return fmt.Errorf("%s: %w", verb, ErrFenced)
	case http.StatusBadRequest, http.StatusNotFound, http.StatusConflict:
		return fmt.Errorf("%s: %w: %w", verb, ErrRefused, err)
	}
	return fmt.Errorf("%s: %w: %w", verb, ErrOutcomeUnknown, err)
}
