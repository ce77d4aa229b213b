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
	// ErrFenced means that a newer owner has given orders: nothing ran.
	ErrFenced = errors.New("worker obeys a newer owner")
	// ErrRefused means that the worker refused for another reason: nothing ran.
	ErrRefused = errors.New("worker refused")
	// ErrUnreached means that the order never reached the worker.
	ErrUnreached = errors.New("worker not reached")
	// ErrUnclear means that the order may have been carried out.
	ErrUnclear = errors.New("worker gave no answer")
)

const (
	orderTimeout = 1500 * time.Millisecond
	orderConns   = 4
)

// Pool keeps one client for each worker's address; the zero value works.
type Pool struct {
	// CallConns bounds the connections for short requests to one worker.
	CallConns int
	// Send replaces the network, if set, as in wire.Client.
	Send func(ctx context.Context, addr, method, path string, body []byte) (int, []byte, error)

	mu sync.Mutex
	// orders and calls are guarded by mu.
	orders map[string]*wire.Client
	calls  map[string]*wire.Client
}

func (p *Pool) order(addr string) *wire.Client {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.orders == nil {
		p.orders = map[string]*wire.Client{}
	}
	c := p.orders[addr]
	if c == nil {
		c = &wire.Client{Addr: addr, Timeout: orderTimeout, MaxConns: orderConns, Send: p.Send}
		p.orders[addr] = c
	}
	return c
}

func (p *Pool) call(addr string) *wire.Client {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.calls == nil {
		p.calls = map[string]*wire.Client{}
	}
	c := p.calls[addr]
	if c == nil {
		c = &wire.Client{Addr: addr, MaxConns: max(p.CallConns, 1), Send: p.Send}
		p.calls[addr] = c
	}
	return c
}

// Forget closes the connections to an address that has left.
func (p *Pool) Forget(addr string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, clients := range []map[string]*wire.Client{p.orders, p.calls} {
		if c := clients[addr]; c != nil {
			c.Close()
			delete(clients, addr)
		}
	}
}

// Reserve holds accelerators for a task; repeating it is harmless.
func (p *Pool) Reserve(ctx context.Context, addr string, in model.Reserve) (model.ReserveReply, error) {
	var out model.ReserveReply
	err := p.order(addr).Post(ctx, "/reserve", in, &out)
	return out, orderError("reserve", err)
}

// Start runs a reserved task; the worker starts an attempt at most once.
func (p *Pool) Start(ctx context.Context, addr string, in model.Start) error {
	return orderError("start", p.order(addr).Post(ctx, "/start", in, nil))
}

// Renew extends leases and returns the state of all tasks of the cell.
func (p *Pool) Renew(ctx context.Context, addr string, in model.Renew) (model.RenewReply, error) {
	var out model.RenewReply
	err := p.order(addr).Post(ctx, "/renew", in, &out)
	return out, orderError("renew", err)
}

// Stop ends a task; repeating it is harmless.
func (p *Pool) Stop(ctx context.Context, addr string, in model.Stop) error {
	return orderError("stop", p.order(addr).Post(ctx, "/stop", in, nil))
}

// Look returns what became of an attempt.
func (p *Pool) Look(ctx context.Context, addr string, in model.Look) (model.LookReply, error) {
	var out model.LookReply
	err := p.order(addr).Post(ctx, "/look", in, &out)
	return out, orderError("look", err)
}

// Answer fetches the bytes of a finished task's answer.
func (p *Pool) Answer(ctx context.Context, addr string, in model.TaskRef) ([]byte, error) {
	query := url.Values{"job": {in.Job}, "attempt": {strconv.Itoa(in.Attempt)}}
	data, err := p.order(addr).GetBytes(ctx, "/answer?"+query.Encode())
	return data, orderError("answer", err)
}

// Call passes a short request to the service on a target.
func (p *Pool) Call(ctx context.Context, addr string, in model.Call) (model.CallReply, error) {
	var out model.CallReply
	err := orderError("call", p.call(addr).Post(ctx, "/call", in, &out))
	if err != nil {
		return out, err
	}
	if out.ID != in.ID || !out.Answer.Verify(out.Answer.Inline) {
		return out, fmt.Errorf("call %s: answer does not match: %w", in.ID, ErrUnclear)
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
			return fmt.Errorf("%s: %w: %w", verb, ErrUnreached, err)
		}
		return fmt.Errorf("%s: %w: %w", verb, ErrUnclear, err)
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
	return fmt.Errorf("%s: %w: %w", verb, ErrUnclear, err)
}
