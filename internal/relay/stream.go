package relay

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// gather is how long orders wait for others to share a message with them.
	gather = 2 * time.Millisecond
	// maxQueued bounds the orders that wait to be sent to a carrier.
	maxQueued = 4096
	// MaxQueueAge is how long an order waits to be sent to a carrier.
	MaxQueueAge = 500 * time.Millisecond
	// openTimeout bounds the time until the first message of a stream.
	openTimeout = 2 * time.Second
	// silentAge is how long a carrier that is alive lets pass without a message at most.
	silentAge = 3 * tickInterval
	// idleStreamAge is how long a stream without orders is kept.
	idleStreamAge = 10 * time.Second
)

// Source is the owner's end of a stream: what it sends to a carrier and receives from it.
type Source struct {
	Send func(*Batch) error
	Recv func(*Answers) error
}

// outgoing is an order that waits to be sent, with its payload.
type outgoing struct {
	order    Order
	payload  string
	queuedAt time.Duration // on the owner's clock
}

// stream carries orders to one carrier and their answers back.
type stream struct {
	router *Router
	addr   string
	cancel context.CancelFunc
	ended  <-chan struct{}
	queue  chan outgoing
	nextN  atomic.Uint64
	// seenMs is the time of the last message from the carrier, on its clock.
	seenMs atomic.Int64
	// ready is closed once seenMs is known.
	ready     chan struct{}
	readyOnce sync.Once

	mu sync.Mutex
	// waiting is guarded by mu: the orders that wait for their answers.
	waiting map[uint64]*call
	// heardAt is guarded by mu: when the last message came, on the owner's clock.
	heardAt time.Duration
}

// call is an order that waits for its answer. sent says that it may have left this node.
type call struct {
	answer chan Answer
	sent   bool
}

// newStream returns a stream to the carrier at addr, which is opened in the background.
func newStream(r *Router, addr string) *stream {
	ctx, cancel := context.WithCancel(context.Background())
	s := &stream{
		router: r, addr: addr, cancel: cancel, ended: ctx.Done(), queue: make(chan outgoing, maxQueued),
		ready: make(chan struct{}), waiting: map[uint64]*call{},
	}
	go s.run(ctx)
	return s
}

// run opens the stream and carries orders and answers until it ends.
func (s *stream) run(ctx context.Context) {
	defer s.end()
	src, err := s.open(ctx)
	if err != nil {
		s.endWith(err)
		return
	}
	idle := time.NewTimer(idleStreamAge)
	defer idle.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-idle.C:
			return
		case o := <-s.queue:
			if b := s.batch(ctx, o); len(b.Orders) > 0 && src.Send(b) != nil {
				return // the orders in it end without an answer, which their callers handle
			}
			idle.Reset(idleStreamAge)
		}
	}
}

// errSilent means that a carrier to which a stream was opened sent no message in time.
var errSilent = errors.New("the carrier sent nothing")

// open opens the stream and waits for its first message. That has the carrier's clock, without which the carrier would
// refuse orders as too old.
func (s *stream) open(ctx context.Context) (Source, error) {
	opening, cancel := context.WithCancel(ctx)
	timer := time.AfterFunc(openTimeout, cancel)
	src, err := s.router.Open(opening, s.addr)
	if err != nil {
		cancel()
		return src, err
	}
	context.AfterFunc(ctx, cancel)
	go func() {
		defer s.end()
		s.receive(src)
	}()
	select {
	case <-s.ready:
		timer.Stop()
		return src, nil
	case <-opening.Done():
		return src, errSilent
	}
}

// batch returns a message with the order and those that are queued soon after it.
func (s *stream) batch(ctx context.Context, first outgoing) *Batch {
	timer := time.NewTimer(gather)
	select {
	case <-timer.C:
	case <-ctx.Done():
		timer.Stop()
	}
	b := &Batch{SeenMs: s.seenMs.Load()}
	payloads := map[string]int{}
	size := 0
	add := func(o outgoing) {
		if !s.noteSent(o) {
			return
		}
		if o.order.Kind == StartKind {
			i, known := payloads[o.payload]
			if !known {
				i = len(b.Payloads)
				payloads[o.payload] = i
				b.Payloads = append(b.Payloads, o.payload)
				size += len(o.payload)
			}
			o.order.Payload = i
		}
		size += orderBytes
		b.Orders = append(b.Orders, o.order)
	}
	add(first)
	for size < maxBatchBytes {
		select {
		case o := <-s.queue:
			add(o)
			continue
		default:
		}
		break
	}
	return b
}

// noteSent records that an order leaves this node, and reports false if its caller no longer waits for it or would not
// if this node had not been suspended. It must not leave then, because the time of its batch would not be the time when
// it was given.
func (s *stream) noteSent(o outgoing) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.waiting[o.order.N]
	if c == nil || s.router.now()-o.queuedAt > MaxQueueAge {
		return false
	}
	c.sent = true
	return true
}

// orderBytes is about how many bytes an order takes.
const orderBytes = 150

// receive passes the answers on until the stream ends.
func (s *stream) receive(src Source) {
	for {
		var m Answers
		if src.Recv(&m) != nil {
			return // as for a message that can't be sent
		}
		s.seenMs.Store(m.NowMs)
		s.mu.Lock()
		s.heardAt = s.router.now()
		for _, a := range m.Answers {
			if c := s.waiting[a.N]; c != nil {
				delete(s.waiting, a.N)
				c.answer <- a
			}
		}
		s.mu.Unlock()
		s.readyOnce.Do(func() { close(s.ready) })
	}
}

// lastHeard returns when the last message came.
func (s *stream) lastHeard() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.heardAt
}

// isSilent reports whether the carrier has sent nothing for longer than it does while it is alive.
func (s *stream) isSilent() bool { return s.router.now()-s.lastHeard() > silentAge }

// isReady reports whether orders may be sent.
func (s *stream) isReady() bool {
	select {
	case <-s.ready:
		return true
	default:
		return false
	}
}

// alive reports whether the stream has not ended.
func (s *stream) alive() bool {
	select {
	case <-s.ended:
		return false
	default:
		return true
	}
}

// end ends the stream.
func (s *stream) end() { s.endWith(errSilent) }

// endWith ends the stream; err is why, if it has not become ready.
func (s *stream) endWith(err error) {
	s.router.closed(s, err)
	s.cancel()
}

// ask sends an order and waits for its answer until ctx or the stream ends. Its error is errNoCarrier, or errNotTaken
// if the order certainly did not leave this node.
func (s *stream) ask(ctx context.Context, o Order, payload string) (Answer, error) {
	o.N = s.nextN.Add(1)
	c := &call{answer: make(chan Answer, 1)}
	s.mu.Lock()
	s.waiting[o.N] = c
	s.mu.Unlock()
	queued := time.NewTimer(MaxQueueAge)
	defer queued.Stop()
	select {
	case s.queue <- outgoing{o, payload, s.router.now()}:
	default:
		return s.giveUp(o.N, c)
	}
	for {
		select {
		case a := <-c.answer:
			return a, nil
		case <-queued.C:
			if s.isSent(c) {
				continue
			}
		case <-s.ended:
		case <-ctx.Done():
		}
		return s.giveUp(o.N, c)
	}
}

// isSent reports whether an order may have left this node.
func (s *stream) isSent(c *call) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return c.sent
}

// giveUp ends the wait for the answer to an order and returns what is known of it.
func (s *stream) giveUp(n uint64, c *call) (Answer, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.waiting, n)
	select {
	case a := <-c.answer:
		return a, nil
	default:
	}
	if c.sent {
		return Answer{}, errNoCarrier
	}
	return Answer{}, errNotTaken
}
