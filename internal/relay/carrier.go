package relay

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/samber/lo"

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
	// defaultMaxOrders bounds the orders that a carrier has in hand; further ones wait in their streams.
	defaultMaxOrders = 4096
	// maxStreams bounds the streams: one for the owner, and some for earlier ones that do not know yet of the next.
	maxStreams = 4
	// maxWaitingAnswers bounds the answers that wait to be sent in one stream; with more, orders stay in hand.
	maxWaitingAnswers = 256
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
	// MaxOrders bounds the orders in hand in all streams together, and the workers that are remembered; 0 means 4,096.
	MaxOrders int

	// inHand has an element for each order in hand.
	inHand     chan struct{}
	inHandOnce sync.Once

	mu sync.Mutex
	// workers is guarded by mu: what is known of the workers to which orders were carried, by id and address.
	workers map[string]*contact
	sweptAt time.Duration // guarded by mu
	// streams is guarded by mu, and so are the fields of its elements.
	streams map[*inbound]struct{}
}

// inbound is an open stream of an owner.
type inbound struct {
	cancel context.CancelFunc
	usedAt time.Duration // when orders came last
}

func (c *Carrier) maxOrders() int {
	if c.MaxOrders > 0 {
		return c.MaxOrders
	}
	return defaultMaxOrders
}

// orderSlots returns the channel that bounds the orders in hand.
func (c *Carrier) orderSlots() chan struct{} {
	c.inHandOnce.Do(func() { c.inHand = make(chan struct{}, c.maxOrders()) })
	return c.inHand
}

// open adds a stream. If there are too many, it ends the one that has had no orders for the longest time.
func (c *Carrier) open(cancel context.CancelFunc) *inbound {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.streams) >= maxStreams {
		oldest := lo.MinBy(lo.Keys(c.streams), func(a, b *inbound) bool { return a.usedAt < b.usedAt })
		oldest.cancel()
		delete(c.streams, oldest)
	}
	s := &inbound{cancel: cancel, usedAt: c.now()}
	if c.streams == nil {
		c.streams = map[*inbound]struct{}{}
	}
	c.streams[s] = struct{}{}
	return s
}

func (c *Carrier) closeStream(s *inbound) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.streams, s)
}

func (c *Carrier) noteOrders(s *inbound) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s.usedAt = c.now()
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

// Serve carries the orders of one stream until it ends or gives way to another, and returns why it did.
func (c *Carrier) Serve(ctx context.Context, s Sink) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	opened := c.open(cancel)
	defer c.closeStream(opened)
	out := make(chan Answer, min(c.maxOrders(), maxWaitingAnswers))
	var wg sync.WaitGroup
	wg.Add(1)
	go func() {
		defer wg.Done()
		defer cancel()
		c.sendAnswers(ctx, s, out)
	}()
	defer wg.Wait()
	defer cancel()
	inHand := c.orderSlots()
	received := receive(ctx, s)
	for {
		var r receivedBatch
		select {
		case r = <-received:
		case <-ctx.Done():
			return fmt.Errorf("carry orders: %w", ctx.Err())
		}
		if r.err != nil {
			return fmt.Errorf("receive orders: %w", r.err)
		}
		b := &r.batch
		c.noteOrders(opened)
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

// receivedBatch is a message of the owner, or why none came.
type receivedBatch struct {
	batch Batch
	err   error
}

// receive returns a channel of what comes in the stream. A stream that gives way to another ends while it waits for a
// message, so the waiting is done in the background.
func receive(ctx context.Context, s Sink) <-chan receivedBatch {
	out := make(chan receivedBatch)
	go func() {
		for {
			var r receivedBatch
			r.err = s.Recv(&r.batch)
			select {
			case out <- r:
			case <-ctx.Done():
				return
			}
			if r.err != nil {
				return
			}
		}
	}()
	return out
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
		if len(c.workers) >= c.maxOrders() {
			c.forgetOldest()
		}
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
		if now-w.usedAt >= idleWorkerAge {
			c.forget(key, w)
		}
	}
}

// forgetOldest closes the connections to the worker that has had no order for the longest time; the caller holds mu.
func (c *Carrier) forgetOldest() {
	var oldest *contact
	key := ""
	for k, w := range c.workers {
		if oldest == nil || w.usedAt < oldest.usedAt {
			oldest, key = w, k
		}
	}
	c.forget(key, oldest)
}

// forget forgets a worker; the caller holds mu.
func (c *Carrier) forget(key string, w *contact) {
	delete(c.workers, key)
	if c.Fleet.Forget != nil {
		c.Fleet.Forget(w.entry)
	}
}
