package relay

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"time"

	"greengageline/internal/clock"
	"greengageline/internal/orders"
	"greengageline/internal/sched"
)

const (
	// MaxAge is how long after an order was given a carrier may still send it to the worker.
	MaxAge = time.Second
	// tickInterval is how often a carrier sends a message if it has no answers, so that the owner knows the time of its
	// clock: a few times within MaxAge.
	tickInterval = 250 * time.Millisecond
	// linger is how long answers wait for others to share a message with them. A message costs the owner more than
	// an answer.
	linger = 4 * time.Millisecond
	// ackMaxAge is how long after a worker's answer the next hold may acknowledge ends: less than a worker takes to
	// start again.
	ackMaxAge = 100 * time.Millisecond
	// maxInHand bounds the orders that a carrier has in hand in one stream; further ones wait in the stream.
	maxInHand = 4096
	// idleWorkerAge is how long after the last order to a worker its connections are closed.
	idleWorkerAge = 30 * time.Second
)

// Sink is the carrier's end of a stream: what it receives from the owner and sends to it.
type Sink struct {
	Recv func(*Batch) error
	Send func(*Answers) error
}

// Carrier carries the orders of owners to workers. Set the exported fields, then call Serve for each stream.
type Carrier struct {
	// Fleet reaches the workers directly.
	Fleet *orders.Fleet
	// Now is the steady clock, which must count the time for which this machine was suspended; nil means clock.Boot.
	Now func() time.Duration

	mu sync.Mutex
	// workers is guarded by mu: what is known of the workers to which orders were carried, by id and address.
	workers map[string]*contact
	sweptAt time.Duration // guarded by mu
}

// contact is what a carrier knows of a worker.
type contact struct {
	entry orders.Entry
	// incarnation answered at heldAt. It is 0 after a call that failed, at failedAt, since the next may reach another one.
	incarnation      int64
	heldAt, failedAt time.Duration
	usedAt           time.Duration
}

func (c *Carrier) now() time.Duration {
	if c.Now != nil {
		return c.Now()
	}
	return clock.Boot()
}

// Serve carries the orders of one stream until it ends, and returns why it did.
func (c *Carrier) Serve(ctx context.Context, s Sink) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	out := make(chan Answer, maxInHand)
	var wg sync.WaitGroup
	wg.Add(1)
	go func() {
		defer wg.Done()
		defer cancel()
		c.sendAnswers(ctx, s, out)
	}()
	defer wg.Wait()
	defer cancel()
	inHand := make(chan struct{}, maxInHand)
	for {
		var b Batch
		if err := s.Recv(&b); err != nil {
			return fmt.Errorf("receive orders: %w", err)
		}
		c.forgetIdle()
		for i := range b.Orders {
			o := b.Orders[i]
			payload := ""
			if o.Kind == StartKind {
				payload = b.Payloads[o.Payload]
			}
			select {
			case inHand <- struct{}{}:
			case <-ctx.Done():
				return fmt.Errorf("carry orders: %w", ctx.Err())
			}
			go func() {
				defer func() { <-inHand }()
				a := c.carry(ctx, o, payload, milliseconds(b.SeenMs))
				select {
				case out <- a:
				case <-ctx.Done():
				}
			}()
		}
	}
}

// sendAnswers sends the answers, several in one message, and a message without any in time.
func (c *Carrier) sendAnswers(ctx context.Context, s Sink, out <-chan Answer) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		m := Answers{}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case a := <-out:
			clock.Sleep(ctx, linger)
			m.Answers = append(m.Answers, a)
			for size := a.size(); len(out) > 0 && size < maxBatchBytes; {
				a = <-out
				size += a.size()
				m.Answers = append(m.Answers, a)
			}
			ticker.Reset(tickInterval)
		}
		m.NowMs = c.now().Milliseconds()
		if s.Send(&m) != nil {
			return // the stream has ended; the owner learns the outcome of its orders in other ways
		}
	}
}

// size is about how many bytes the answer takes.
func (a *Answer) size() int { return 50 + len(a.Message) + 80*(len(a.Running)+len(a.Ended)) }

// maxBatchBytes is about the size from which no more is added to a message.
const maxBatchBytes = 128 << 10

// errTooOld is the reason why a carrier refuses an order.
var errTooOld = errors.New("the order has become too old on its way")

// carry carries out an order that was given after seen on this node's clock, and returns its outcome.
func (c *Carrier) carry(ctx context.Context, o Order, payload string, seen time.Duration) Answer {
	ctx, cancel := context.WithTimeout(ctx, milliseconds(o.TimeoutMs))
	defer cancel()
	e := orders.Entry{Worker: sched.Worker{ID: o.Worker, Zone: o.Zone}, Addr: o.Addr}
	w := c.contact(e)
	a := Answer{N: o.N}
	err := fmt.Errorf("%w: %w", orders.ErrNotSent, errTooOld)
	if fresh := func() bool { return c.now()-seen <= MaxAge }; fresh() {
		switch o.Kind {
		case HoldKind:
			var reply orders.HoldReply
			reply, err = c.hold(ctx, e, w, o, fresh)
			a.setHoldReply(reply)
		case StartKind:
			a.ClockMs, err = c.Fleet.Start(ctx, e, orders.Start{
				Task: o.Task.ref(), Run: o.Run, Payload: payload, Epoch: o.Epoch, DeadlineMs: o.DeadlineMs, Checkpoint: o.Checkpoint, Ticket: o.Ticket,
			})
		case StopKind:
			err = c.Fleet.Stop(ctx, e, o.Task.ref(), o.Run, o.Epoch)
		}
	}
	if err != nil {
		a.Code, a.Message = errorCode(err), strings.ToValidUTF8(fmt.Sprintf("%.200s", err.Error()), "?")
		if o.Kind == HoldKind || !orders.HadNoEffect(err) {
			c.noteFailure(w)
		}
	}
	return a
}

// hold sends a hold. It acknowledges ends only right after an answer of the incarnation that listed them, because
// another one would forget ends of its own that nobody has seen; without such an answer a hold that acknowledges
// nothing comes first.
func (c *Carrier) hold(ctx context.Context, e orders.Entry, w *contact, o Order, fresh func() bool) (orders.HoldReply, error) {
	in := orders.Hold{Epoch: o.Epoch, DeadlineMs: o.DeadlineMs, Acked: o.Acked, Wait: milliseconds(o.WaitMs)}
	if in.Acked > 0 && !c.heldLately(w, o.Incarnation) {
		first := in
		first.Acked, first.Wait = 0, 0
		reply, err := c.callHold(ctx, e, w, first)
		if err != nil || !c.heldLately(w, o.Incarnation) || !fresh() {
			reply.NotAcked = true
			return reply, err
		}
	}
	return c.callHold(ctx, e, w, in)
}

// callHold sends one hold and records which incarnation answered.
func (c *Carrier) callHold(ctx context.Context, e orders.Entry, w *contact, in orders.Hold) (orders.HoldReply, error) {
	asked := c.now()
	reply, err := c.Fleet.Hold(ctx, e, in)
	if err == nil {
		c.noteReply(w, reply.StartedMs, asked)
	}
	return reply, err
}

// contact returns what is known of a worker.
func (c *Carrier) contact(e orders.Entry) *contact {
	c.mu.Lock()
	defer c.mu.Unlock()
	key := e.Addr + " " + e.ID
	w := c.workers[key]
	if w == nil {
		w = &contact{entry: e}
		if c.workers == nil {
			c.workers = map[string]*contact{}
		}
		c.workers[key] = w
	}
	w.usedAt = c.now()
	return w
}

// noteReply records the incarnation that answered a hold sent at asked, unless a call that failed since may have met a
// restart.
func (c *Carrier) noteReply(w *contact, incarnation int64, asked time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if asked > w.failedAt {
		w.incarnation, w.heldAt = incarnation, c.now()
	}
}

// noteFailure records that the next call may reach another incarnation.
func (c *Carrier) noteFailure(w *contact) {
	c.mu.Lock()
	defer c.mu.Unlock()
	w.incarnation, w.failedAt = 0, c.now()
}

// heldLately reports whether the incarnation has answered within ackMaxAge and no call has failed since.
func (c *Carrier) heldLately(w *contact, incarnation int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return incarnation != 0 && w.incarnation == incarnation && c.now()-w.heldAt <= ackMaxAge
}

// forgetIdle closes the connections to workers that have had no order for long.
func (c *Carrier) forgetIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	if now-c.sweptAt < idleWorkerAge/2 {
		return
	}
	c.sweptAt = now
	for key, w := range c.workers {
		if now-w.usedAt < idleWorkerAge {
			continue
		}
		delete(c.workers, key)
		if c.Fleet.Forget != nil {
			c.Fleet.Forget(w.entry)
		}
	}
}
