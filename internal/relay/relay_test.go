package relay

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"

	"greengageline/internal/orders"
	"greengageline/internal/sched"
	"greengageline/pkg/model"
)

// pair connects a router with one carrier. Messages are encoded as between nodes.
type pair struct {
	router *Router
	// fleet are the workers as the carrier reaches them, direct as the owner does.
	fleet, direct orders.Fleet
	// stall delays what the carrier receives; silent stops its answers. opened counts the streams.
	stall  atomic.Int64
	silent atomic.Bool
	opened atomic.Int64
	// messages has what was sent to the carrier.
	mu       sync.Mutex
	messages []Batch // guarded by mu
}

func newPair() *pair {
	base := time.Now()
	now := func() time.Duration { return time.Since(base) + time.Hour }
	p := &pair{}
	c := &Carrier{Fleet: &p.fleet, Now: now}
	p.router = &Router{Direct: &p.direct, Now: now, Open: func(ctx context.Context, _ string) (Source, error) {
		p.opened.Add(1)
		batches, answers := make(chan []byte, 100), make(chan []byte, 100)
		go func() {
			_ = c.Serve(ctx, Sink{
				Recv: func(b *Batch) error {
					select {
					case data := <-batches:
						time.Sleep(time.Duration(p.stall.Load()))
						return errors.Join(cbor.Unmarshal(data, b), b.Check())
					case <-ctx.Done():
						return ctx.Err()
					}
				},
				Send: func(a *Answers) error {
					data, err := cbor.Marshal(a)
					if !p.silent.Load() {
						answers <- data
					}
					return err
				},
			})
		}()
		return Source{
			Send: func(b *Batch) error {
				p.mu.Lock()
				p.messages = append(p.messages, *b)
				p.mu.Unlock()
				data, err := cbor.Marshal(b)
				batches <- data
				return err
			},
			Recv: func(a *Answers) error {
				select {
				case data := <-answers:
					return cbor.Unmarshal(data, a)
				case <-ctx.Done():
					return ctx.Err()
				}
			},
		}, nil
	}}
	return p
}

// open opens the stream to the carrier and waits until it carries orders.
func (p *pair) open() {
	p.router.route(entry)
	time.Sleep(time.Second)
}

// close ends the streams.
func (p *pair) close() {
	time.Sleep(idleStreamAge + 5*time.Second)
}

var entry = orders.Entry{Worker: sched.Worker{ID: "w1"}, Addr: "10.0.0.1:1", Carrier: "c:1"}

// within returns a context that ends after d.
func within(d time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	context.AfterFunc(ctx, cancel)
	return ctx
}

func TestOrdersAreCarried(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newPair()
		defer p.close()
		ref := sched.TaskRef{Job: "j", Occurrence: 1, Step: 2, Task: 3}
		hold := orders.HoldReply{
			StartedMs: 5, ClockMs: 6, More: true,
			Running: []orders.Running{{Task: ref, Run: 7, Checkpoint: "c", Percent: 8}},
			Ended:   []orders.Ended{{Seq: 1, Task: ref, Run: 6, Cause: sched.Done, Checkpoint: "d"}},
		}
		var started []orders.Start
		p.fleet = orders.Fleet{
			Hold: func(_ context.Context, _ orders.Entry, in orders.Hold) (orders.HoldReply, error) {
				is.Equal(in.Wait, 300*time.Millisecond)
				return hold, nil
			},
			Start: func(_ context.Context, e orders.Entry, in orders.Start) (int64, error) {
				is.Equal(e.ID, entry.ID)
				started = append(started, in)
				return 9, nil
			},
			Stop: func(_ context.Context, _ orders.Entry, task sched.TaskRef, run, _ int64) error {
				is.Equal(task, ref)
				return fmt.Errorf("run %d: %w", run, orders.ErrStaleRun)
			},
		}
		p.open()
		f := p.router.Fleet()
		got, err := f.Hold(within(time.Second), entry, orders.Hold{Epoch: 3, Wait: 300 * time.Millisecond})
		is.NoErr(err)
		is.Equal(got, hold)
		in := orders.Start{Task: ref, Run: 7, Payload: "text", Epoch: 3, DeadlineMs: 11, Checkpoint: "c", Ticket: "t"}
		clock, err := f.Start(within(time.Second), entry, in)
		is.NoErr(err)
		is.Equal(clock, int64(9))
		is.Equal(started, []orders.Start{in})
		is.True(errors.Is(f.Stop(within(time.Second), entry, ref, 7, 3), orders.ErrStaleRun))
		p.mu.Lock()
		defer p.mu.Unlock()
		is.Equal(len(p.messages), 3)
	})
}

// Guards against payloads that are sent again for each task of a job.
func TestPayloadIsSentOnceInABatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newPair()
		defer p.close()
		var got atomic.Int64
		p.fleet.Start = func(_ context.Context, _ orders.Entry, in orders.Start) (int64, error) {
			if in.Payload == in.Task.Job {
				got.Add(1)
			}
			return 0, nil
		}
		p.open()
		var wg sync.WaitGroup
		for i := range 20 {
			wg.Go(func() {
				job := fmt.Sprint("job", i%2)
				_, _ = p.router.start(within(time.Second), entry, orders.Start{Task: sched.TaskRef{Job: job, Task: i}, Payload: job})
			})
		}
		wg.Wait()
		is.Equal(got.Load(), int64(20))
		p.mu.Lock()
		defer p.mu.Unlock()
		is.Equal(len(p.messages), 1)
		is.Equal(len(p.messages[0].Payloads), 2)
	})
}

// Guards against starts that a carrier sends long after they were given, as its machine was suspended.
func TestCarrierRefusesOldOrders(t *testing.T) {
	for name, c := range map[string]struct {
		stall time.Duration
		want  bool
	}{"in time": {MaxAge / 2, true}, "suspended": {3 * time.Second, false}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				p := newPair()
				defer p.close()
				var starts atomic.Int64
				p.fleet.Start = func(context.Context, orders.Entry, orders.Start) (int64, error) {
					starts.Add(1)
					return 1, nil
				}
				p.open()
				p.stall.Store(int64(c.stall))
				_, err := p.router.start(within(2*time.Second), entry, orders.Start{Task: sched.TaskRef{Job: "j"}})
				is.Equal(err == nil, c.want)
				if !c.want {
					is.True(!orders.HadNoEffect(err)) // the owner can't know that
				}
				time.Sleep(5 * time.Second)
				is.Equal(starts.Load() == 1, c.want)
			})
		})
	}
}

// Guards against ends that are acknowledged to another incarnation than listed them, which would forget its own.
func TestCarrierAcknowledgesOnlyToTheIncarnationThatListed(t *testing.T) {
	for name, c := range map[string]struct {
		incarnation int64
		heldBefore  bool
		acked       []int64 // by the holds that reach the worker
		notAcked    bool
	}{
		"right after an answer":   {5, true, []int64{0, 40}, false},
		"without an answer":       {5, false, []int64{0, 40}, false},
		"to a later one":          {4, false, []int64{0}, true},
		"to a later one that was": {4, true, []int64{0, 0}, true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				p := newPair()
				defer p.close()
				var acked []int64
				p.fleet.Hold = func(_ context.Context, _ orders.Entry, in orders.Hold) (orders.HoldReply, error) {
					acked = append(acked, in.Acked)
					return orders.HoldReply{StartedMs: 5}, nil
				}
				p.open()
				if c.heldBefore {
					_, err := p.router.hold(within(time.Second), entry, orders.Hold{})
					is.NoErr(err)
				}
				out, err := p.router.hold(within(time.Second), entry, orders.Hold{Acked: 40, Incarnation: c.incarnation})
				is.NoErr(err)
				is.Equal(out.NotAcked, c.notAcked)
				is.Equal(acked, c.acked)
			})
		})
	}
}

// Guards against workers that are taken for silent because their carrier is lost, silent or does not reach them.
func TestHoldsGoOnWithoutTheCarrier(t *testing.T) {
	for name, fail := range map[string]func(p *pair){
		"it is silent": func(p *pair) { p.silent.Store(true) },
		"it is slow":   func(p *pair) { p.stall.Store(int64(3 * time.Second)) },
		"it does not reach the worker": func(p *pair) {
			p.fleet.Hold = func(ctx context.Context, _ orders.Entry, _ orders.Hold) (orders.HoldReply, error) {
				<-ctx.Done()
				return orders.HoldReply{}, orders.ErrOutcomeUnknown
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				p := newPair()
				defer p.close()
				p.fleet.Hold = func(context.Context, orders.Entry, orders.Hold) (orders.HoldReply, error) {
					return orders.HoldReply{StartedMs: 5}, nil
				}
				p.direct.Hold = func(_ context.Context, _ orders.Entry, in orders.Hold) (orders.HoldReply, error) {
					is.Equal(in.Acked, int64(0)) // the carrier would have made sure who gets it
					return orders.HoldReply{StartedMs: 5}, nil
				}
				p.open()
				fail(p)
				time.Sleep(2 * ackMaxAge)
				out, err := p.router.hold(within(700*time.Millisecond), entry, orders.Hold{Acked: 40, Incarnation: 5})
				is.NoErr(err)
				is.True(out.NotAcked)
				p.silent.Store(false)
				p.stall.Store(0)
			})
		})
	}
}

// Guards against a carrier that can't be reached being tried for each order.
func TestCarrierThatIsDownIsLeftAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newPair()
		defer p.close()
		p.silent.Store(true)
		p.direct.Start = func(context.Context, orders.Entry, orders.Start) (int64, error) { return 1, nil }
		for range 40 {
			_, err := p.router.start(within(time.Second), entry, orders.Start{})
			is.NoErr(err) // sent directly
			time.Sleep(100 * time.Millisecond)
		}
		is.True(!p.router.Carries(entry.Carrier))
		is.Equal(p.opened.Load(), int64(1))
		p.silent.Store(false)
		time.Sleep(downTime)
		is.True(p.router.Carries(entry.Carrier))
		p.open()
		is.Equal(p.opened.Load(), int64(2))
	})
}

func TestBatchIsChecked(t *testing.T) {
	for name, b := range map[string]Batch{
		"no worker":    {Orders: []Order{{Kind: HoldKind, Addr: "a"}}},
		"no address":   {Orders: []Order{{Kind: HoldKind, Worker: "w"}}},
		"unknown kind": {Orders: []Order{{Kind: "look", Worker: "w", Addr: "a"}}},
		"no payload":   {Orders: []Order{{Kind: StartKind, Worker: "w", Addr: "a"}}},
		"negative":     {Orders: []Order{{Kind: StartKind, Worker: "w", Addr: "a", Payload: -1}}, Payloads: []string{"x"}},
	} {
		t.Run(name, func(t *testing.T) {
			is.New(t).True(errors.Is(b.Check(), model.ErrInvalid))
		})
	}
}

// Guards against errors that lose between nodes what they tell about an order.
func TestErrorsKeepTheirMeaning(t *testing.T) {
	for _, want := range []error{
		orders.ErrFenced, orders.ErrStaleRun, orders.ErrLeaseExpired, orders.ErrNoRoom, orders.ErrBadTicket, orders.ErrOtherIncarnation,
		orders.ErrUnhealthy, orders.ErrInvalid, orders.ErrNotSent, orders.ErrOutcomeUnknown,
	} {
		a := Answer{Code: errorCode(fmt.Errorf("call: %w", want))}
		if !errors.Is(a.err(), want) || orders.HadNoEffect(a.err()) != orders.HadNoEffect(want) {
			t.Errorf("%v became %v", want, a.err())
		}
	}
	a := Answer{Code: errorCode(fmt.Errorf("%w: %w", orders.ErrOutcomeUnknown, orders.ErrDisconnected))}
	if !errors.Is(a.err(), orders.ErrDisconnected) || !errors.Is(a.err(), orders.ErrOutcomeUnknown) {
		t.Errorf("a closed connection became %v", a.err())
	}
}
