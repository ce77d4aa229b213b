package relay

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"greengageline/internal/clock"
	"greengageline/internal/event"
	"greengageline/internal/orders"
	"greengageline/internal/sched"
)

const (
	// downTime is for how long a carrier gets no orders after no stream to it could be opened.
	downTime = 5 * time.Second
	// detourTime is for how long orders go to a worker directly after a carrier did not reach it and the owner did.
	detourTime = 10 * time.Second
	// directShare of the time that a hold has beyond the worker's wait is kept to send it directly.
	directShare = 0.5
	// answerMargin is the time for an answer to come back from a carrier, which limits its call by that.
	answerMargin = 60 * time.Millisecond
	// maxDetours is the number of detours from which on those that are over are forgotten.
	maxDetours = 1024
)

// Router sends the owner's orders to the carriers named in their entries, or to the workers themselves. Set the exported
// fields, then use Fleet. Orders whose entry names no carrier, or one that is down, are sent directly.
type Router struct {
	// Direct reaches the workers from this node.
	Direct *orders.Fleet
	// Open opens a stream to the carrier at addr, which ends with ctx.
	Open func(ctx context.Context, addr string) (Source, error)
	Log  *event.Log
	// Now is the steady clock; nil means clock.Boot.
	Now func() time.Duration

	mu sync.Mutex
	// streams is guarded by mu. It has the open stream to each carrier.
	streams map[string]*stream
	// downUntil is guarded by mu: until when carriers get no orders.
	downUntil map[string]time.Duration
	// detours is guarded by mu: until when orders are sent directly, by carrier and worker.
	detours map[detour]time.Duration
}

// detour is a pair of a carrier and a worker that it does not reach.
type detour struct{ carrier, worker string }

func (r *Router) now() time.Duration {
	if r.Now != nil {
		return r.Now()
	}
	return clock.Boot()
}

// Fleet returns the workers as the owner reaches them through r.
func (r *Router) Fleet() *orders.Fleet {
	f := *r.Direct
	f.Hold, f.Start, f.Stop, f.Carries = r.hold, r.start, r.stop, r.Carries
	return &f
}

// Carries reports whether the carrier at addr may get orders.
func (r *Router) Carries(addr string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.now() >= r.downUntil[addr]
}

// route returns the stream by which to send an order, or nil if it is to be sent directly. A stream to the carrier is
// opened in the background; no order waits for that.
func (r *Router) route(e orders.Entry) *stream {
	if e.Carrier == "" {
		return nil
	}
	s := r.stream(e)
	if s == nil || !s.isReady() {
		return nil
	}
	if s.isSilent() {
		s.end() // the next order opens another one
		return nil
	}
	return s
}

// stream returns the stream to the carrier of a worker, or nil if orders for the worker are to be sent directly.
func (r *Router) stream(e orders.Entry) *stream {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	if now < r.downUntil[e.Carrier] || now < r.detours[detour{e.Carrier, e.ID}] {
		return nil
	}
	s := r.streams[e.Carrier]
	if s == nil {
		s = newStream(r, e.Carrier)
		if r.streams == nil {
			r.streams = map[string]*stream{}
		}
		r.streams[e.Carrier] = s
	}
	return s
}

// closed forgets a stream that ends. If it has not become ready, because of err, its carrier gets no orders for downTime.
func (r *Router) closed(s *stream, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.streams[s.addr] != s {
		return
	}
	delete(r.streams, s.addr)
	if s.isReady() {
		return
	}
	if r.downUntil == nil {
		r.downUntil = map[string]time.Duration{}
	}
	r.downUntil[s.addr] = r.now() + downTime
	r.Log.Emit(event.CarrierDown).Str("carrier", s.addr).Err(err).Send()
}

// noteDetour records that the owner reaches a worker that the carrier did not reach.
func (r *Router) noteDetour(e orders.Entry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	if r.detours == nil {
		r.detours = map[detour]time.Duration{}
	}
	if len(r.detours) >= maxDetours {
		for d, until := range r.detours {
			if until < now {
				delete(r.detours, d)
			}
		}
	}
	r.detours[detour{e.Carrier, e.ID}] = now + detourTime
}

// errNoCarrier means that the carrier did not answer; the order may have been carried out, or still may. errNotTaken
// means that the carrier certainly did not get it.
var (
	errNoCarrier = fmt.Errorf("%w: the carrier did not answer", orders.ErrOutcomeUnknown)
	errNotTaken  = fmt.Errorf("%w: the carrier did not take it", orders.ErrNotSent)
)

// ask sends an order by a stream and waits for its answer until ctx ends.
func (r *Router) ask(ctx context.Context, s *stream, o Order, payload string) (Answer, error) {
	if deadline, ok := ctx.Deadline(); ok {
		o.TimeoutMs = max(1, (time.Until(deadline) - answerMargin).Milliseconds())
	}
	a, err := s.ask(ctx, o, payload)
	if err != nil {
		return a, err
	}
	return a, a.err()
}

// isOld reports whether an order that was given at a time may no longer be sent.
func (r *Router) isOld(given time.Duration) bool { return r.now()-given > MaxAge+MaxQueueAge }

// hold implements orders.Fleet.Hold. A hold that fails by its carrier is sent directly, without acknowledging ends: the
// worker must not be taken for silent because its carrier is lost, or does not reach it.
func (r *Router) hold(ctx context.Context, e orders.Entry, in orders.Hold) (orders.HoldReply, error) {
	s := r.route(e)
	if s == nil {
		return r.holdDirectly(ctx, e, in)
	}
	given := r.now()
	carried, cancel := r.limit(ctx, in.Wait)
	a, err := r.ask(carried, s, Order{
		Kind: HoldKind, Worker: e.ID, Addr: e.Addr, Epoch: in.Epoch, DeadlineMs: in.DeadlineMs, Acked: in.Acked,
		Incarnation: in.Incarnation, WaitMs: in.Wait.Milliseconds(),
	}, "")
	cancel()
	if err == nil {
		return a.holdReply(), nil
	}
	if ctx.Err() != nil || orders.HadNoEffect(err) && !errors.Is(err, orders.ErrNotSent) {
		return orders.HoldReply{}, err
	}
	in.Wait = 0
	if r.isOld(given) {
		in.DeadlineMs = 0
	}
	reply, directErr := r.holdDirectly(ctx, e, in)
	switch {
	case directErr == nil && s.alive():
		r.noteDetour(e)
	case directErr != nil && errors.Is(err, orders.ErrDisconnected):
		// That the worker closed the connection tells more than that it can't be reached since.
		return reply, fmt.Errorf("%w; before, by the carrier: %w", directErr, err)
	}
	return reply, directErr
}

// holdDirectly sends a hold to the worker. It acknowledges nothing to a worker that has a carrier: the carrier would
// have made sure which incarnation gets it.
func (r *Router) holdDirectly(ctx context.Context, e orders.Entry, in orders.Hold) (orders.HoldReply, error) {
	strip := e.Carrier != "" && in.Acked > 0
	if strip {
		in.Acked = 0
	}
	reply, err := r.Direct.Hold(ctx, e, in)
	reply.NotAcked = strip
	return reply, err
}

// limit returns ctx with a deadline that leaves time to send a hold directly.
func (r *Router) limit(ctx context.Context, wait time.Duration) (context.Context, context.CancelFunc) {
	deadline, ok := ctx.Deadline()
	if !ok {
		return context.WithCancel(ctx)
	}
	slack := time.Until(deadline) - wait
	return context.WithTimeout(ctx, wait+time.Duration(float64(slack)*(1-directShare)))
}

// start implements orders.Fleet.Start. A start that certainly did not reach the worker by its carrier is sent directly.
func (r *Router) start(ctx context.Context, e orders.Entry, in orders.Start) (int64, error) {
	s := r.route(e)
	if s == nil {
		return r.Direct.Start(ctx, e, in)
	}
	given := r.now()
	a, err := r.ask(ctx, s, Order{
		Kind: StartKind, Worker: e.ID, Addr: e.Addr, Zone: e.Zone, Epoch: in.Epoch, DeadlineMs: in.DeadlineMs, Task: newTask(in.Task), Run: in.Run,
		Checkpoint: in.Checkpoint, Ticket: in.Ticket,
	}, in.Payload)
	if errors.Is(err, orders.ErrNotSent) && ctx.Err() == nil && !r.isOld(given) {
		return r.Direct.Start(ctx, e, in)
	}
	return a.ClockMs, err
}

// stop implements orders.Fleet.Stop. A stop that fails by its carrier is sent directly, since it may be repeated.
func (r *Router) stop(ctx context.Context, e orders.Entry, task sched.TaskRef, run, epoch int64) error {
	s := r.route(e)
	if s == nil {
		return r.Direct.Stop(ctx, e, task, run, epoch)
	}
	carried, cancel := r.limit(ctx, 0)
	_, err := r.ask(carried, s, Order{Kind: StopKind, Worker: e.ID, Addr: e.Addr, Epoch: epoch, Task: newTask(task), Run: run}, "")
	cancel()
	if err == nil || ctx.Err() != nil || orders.HadNoEffect(err) && !errors.Is(err, orders.ErrNotSent) {
		return err
	}
	return r.Direct.Stop(ctx, e, task, run, epoch)
}
