package route

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"

	"greengageline/internal/worker"
	"greengageline/pkg/model"
)

var (
	// ErrNoSlot means that no target of this home node had a free slot in time. The request
	// did not run.
	ErrNoSlot = errors.New("no target has a free slot")
	// ErrMayHaveRun means that the request was sent and its outcome is unknown.
	ErrMayHaveRun = errors.New("request may have run")
	// ErrOverloaded means that too many requests are already waiting. The request did not run.
	ErrOverloaded = errors.New("too many requests wait")
)

// maxWaitersPerSlot limits the waiting requests as a multiple of the slots of the eligible
// targets.
const maxWaitersPerSlot = 8

// Home manages the slots of the targets whose home is this node. Set the exported fields
// before use.
type Home struct {
	// Slots is the maximum number of requests in progress on one target.
	Slots int
	// Call sends one request to a target.
	Call func(ctx context.Context, addr string, in model.Call) (model.CallReply, error)

	mu sync.Mutex
	// The fields below are guarded by mu.
	targets map[string]*target
	order   []string // IDs of targets, sorted
	waiters []chan struct{}
}

type target struct {
	vm       model.VM
	used     int
	draining bool // gets no new requests: it is leaving, or its home is now another node
}

// SetTargets replaces the targets of this home node. Requests in progress on a removed target
// are finished.
func (h *Home) SetTargets(vms []model.VM) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.targets == nil {
		h.targets = map[string]*target{}
	}
	for _, t := range h.targets {
		t.draining = true
	}
	for _, vm := range vms {
		t := h.targets[vm.ID]
		if t == nil {
			t = &target{}
			h.targets[vm.ID] = t
		}
		t.vm, t.draining = vm, vm.Leaving
	}
	h.order = h.order[:0]
	for id, t := range h.targets {
		if t.draining && t.used == 0 {
			delete(h.targets, id)
			continue
		}
		h.order = append(h.order, id)
	}
	slices.Sort(h.order)
	h.wakeAllLocked()
}

// Free returns the number of free slots.
func (h *Home) Free() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := 0
	for _, t := range h.targets {
		if !t.draining {
			n += max(h.Slots-t.used, 0)
		}
	}
	return n
}

// MarkLeaving marks a target as leaving at once, so that it gets no new requests.
func (h *Home) MarkLeaving(id string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if t := h.targets[id]; t != nil {
		t.draining = true
	}
}

// Serve sends the request to the least loaded target that is not in avoid, and returns the
// target's ID. If a target refuses the request, it certainly did not run there and the next
// target is tried.
func (h *Home) Serve(ctx context.Context, in model.Call, avoid []string) (model.CallReply, string, error) {
	avoid = slices.Clone(avoid)
	for {
		t, err := h.acquire(ctx, avoid)
		if err != nil {
			return model.CallReply{}, "", err
		}
		reply, err := h.Call(ctx, t.vm.Addr, in)
		h.release(t)
		switch {
		case err == nil:
			return reply, t.vm.ID, nil
		case errors.Is(err, worker.ErrOutcomeUnknown):
			return model.CallReply{}, t.vm.ID, fmt.Errorf("%w: %w", ErrMayHaveRun, err)
		case errors.Is(err, worker.ErrLeaving):
			h.MarkLeaving(t.vm.ID)
		}
		avoid = append(avoid, t.vm.ID)
	}
}

// acquire takes a slot of the least loaded target that is not in avoid, and waits for one if
// none is free. It returns ErrNoSlot when ctx ends or no target is eligible, and ErrOverloaded
// if too many requests wait.
func (h *Home) acquire(ctx context.Context, avoid []string) (*target, error) {
	for {
		t, wake, err := h.tryAcquire(avoid)
		if t != nil || err != nil {
			return t, err
		}
		select {
		case <-wake:
		case <-ctx.Done():
			h.removeWaiter(wake)
			return nil, fmt.Errorf("%w: %w", ErrNoSlot, ctx.Err())
		}
	}
}

// tryAcquire takes a slot of the least loaded target that is not in avoid. If none is free, it
// returns a channel that is closed when the caller should try again.
func (h *Home) tryAcquire(avoid []string) (*target, chan struct{}, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	var best *target
	eligible := 0
	for _, id := range h.order {
		t := h.targets[id]
		if t == nil || t.draining || slices.Contains(avoid, id) {
			continue
		}
		eligible++
		if t.used < h.Slots && (best == nil || cmp.Less(t.used, best.used)) {
			best = t
		}
	}
	if best != nil {
		best.used++
		return best, nil, nil
	}
	if eligible == 0 {
		return nil, nil, ErrNoSlot
	}
	if len(h.waiters) >= maxWaitersPerSlot*h.Slots*eligible {
		return nil, nil, ErrOverloaded
	}
	wake := make(chan struct{})
	h.waiters = append(h.waiters, wake)
	return nil, wake, nil
}

func (h *Home) release(t *target) {
	h.mu.Lock()
	defer h.mu.Unlock()
	t.used--
	if len(h.waiters) > 0 {
		close(h.waiters[0])
		h.waiters = h.waiters[1:]
	}
}

// removeWaiter removes a waiter whose context has ended. If the waiter had already been woken,
// the next one is woken instead.
func (h *Home) removeWaiter(wake chan struct{}) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if at := slices.Index(h.waiters, wake); at >= 0 {
		h.waiters = slices.Delete(h.waiters, at, at+1)
		return
	}
	if len(h.waiters) > 0 {
		close(h.waiters[0])
		h.waiters = h.waiters[1:]
	}
}

func (h *Home) wakeAllLocked() {
	for _, w := range h.waiters {
		close(w)
	}
	h.waiters = nil
}
