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
	// ErrNoSlot means that no target of this home had a slot in time: nothing ran.
	ErrNoSlot = errors.New("no target has a free slot")
	// ErrMayHaveRun means that the request was sent and its outcome is not known.
	ErrMayHaveRun = errors.New("request may have run")
	// ErrOverloaded means that too many requests wait already: nothing ran.
	ErrOverloaded = errors.New("too many requests wait")
)

// waitFactor bounds the waiting requests as a multiple of all slots.
const waitFactor = 8

// Home holds the slots of the targets whose home this node is.
type Home struct {
	// Slots bounds the requests in progress on one target.
	Slots int
	// Call sends one request to a target.
	Call func(ctx context.Context, addr string, in model.Call) (model.CallReply, error)

	mu sync.Mutex
	// All below is guarded by mu.
	targets map[string]*target
	order   []string // ids, sorted
	waiters []chan struct{}
}

type target struct {
	vm   model.VM
	used int
	out  bool // leaving, or no longer at home here
}

// Set replaces the targets of this home; requests in progress on a target that
// goes are finished.
func (h *Home) Set(vms []model.VM) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.targets == nil {
		h.targets = map[string]*target{}
	}
	for _, t := range h.targets {
		t.out = true
	}
	for _, vm := range vms {
		t := h.targets[vm.ID]
		if t == nil {
			t = &target{}
			h.targets[vm.ID] = t
		}
		t.vm, t.out = vm, vm.Leaving
	}
	h.order = h.order[:0]
	for id, t := range h.targets {
		if t.out && t.used == 0 {
			delete(h.targets, id)
			continue
		}
		h.order = append(h.order, id)
	}
	slices.Sort(h.order)
	h.wakeLocked()
}

// Free returns how many slots are free.
func (h *Home) Free() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := 0
	for _, t := range h.targets {
		if !t.out {
			n += max(h.Slots-t.used, 0)
		}
	}
	return n
}

// Leaving marks a target as leaving at once.
func (h *Home) Leaving(id string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if t := h.targets[id]; t != nil {
		t.out = true
	}
}

// Serve sends the request to the least loaded target outside avoid, and
// returns the target's id. A target that refuses is a truthful "did not run":
// the next one is tried.
func (h *Home) Serve(ctx context.Context, in model.Call, avoid []string) (model.CallReply, string, error) {
	avoid = slices.Clone(avoid)
	for {
		t, err := h.take(ctx, avoid)
		if err != nil {
			return model.CallReply{}, "", err
		}
		reply, err := h.Call(ctx, t.vm.Addr, in)
		h.give(t)
		switch {
		case err == nil:
			return reply, t.vm.ID, nil
		case errors.Is(err, worker.ErrUnclear):
			return model.CallReply{}, t.vm.ID, fmt.Errorf("%w: %w", ErrMayHaveRun, err)
		case errors.Is(err, worker.ErrLeaving):
			h.Leaving(t.vm.ID)
		}
		avoid = append(avoid, t.vm.ID)
	}
}

// take waits for a slot.
func (h *Home) take(ctx context.Context, avoid []string) (*target, error) {
	for {
		t, wake, err := h.tryTake(avoid)
		if t != nil || err != nil {
			return t, err
		}
		select {
		case <-wake:
		case <-ctx.Done():
			h.forget(wake)
			return nil, fmt.Errorf("%w: %w", ErrNoSlot, ctx.Err())
		}
	}
}

// tryTake takes a slot of the least loaded target, or returns a channel that
// is closed when it is worth trying again.
func (h *Home) tryTake(avoid []string) (*target, chan struct{}, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	var best *target
	able := 0
	for _, id := range h.order {
		t := h.targets[id]
		if t == nil || t.out || slices.Contains(avoid, id) {
			continue
		}
		able++
		if t.used < h.Slots && (best == nil || cmp.Less(t.used, best.used)) {
			best = t
		}
	}
	if best != nil {
		best.used++
		return best, nil, nil
	}
	if able == 0 {
		return nil, nil, ErrNoSlot
	}
	if len(h.waiters) >= waitFactor*h.Slots*able {
		return nil, nil, ErrOverloaded
	}
	wake := make(chan struct{})
	h.waiters = append(h.waiters, wake)
	return nil, wake, nil
}

func (h *Home) give(t *target) {
	h.mu.Lock()
	defer h.mu.Unlock()
	t.used--
	if len(h.waiters) > 0 {
		close(h.waiters[0])
		h.waiters = h.waiters[1:]
	}
}

// forget drops a waiter that gives up; if it was just woken, the next is.
func (h *Home) forget(wake chan struct{}) {
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

func (h *Home) wakeLocked() {
	for _, w := range h.waiters {
		close(w)
	}
	h.waiters = nil
}
