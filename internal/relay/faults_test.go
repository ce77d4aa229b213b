package relay

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"greengageline/internal/orders"
	"greengageline/internal/sched"
)

// Guards against orders for all workers of a carrier that are lost because one of its workers does not answer and the
// carrier says so a little late.
func TestStreamOutlivesAWorkerThatDoesNotAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newPair()
		defer p.close()
		p.fleet.Start = func(context.Context, orders.Entry, orders.Start) (int64, error) {
			time.Sleep(200 * time.Millisecond)
			return 9, nil
		}
		p.fleet.Stop = func(ctx context.Context, _ orders.Entry, _ sched.TaskRef, _, _ int64) error {
			<-ctx.Done()
			return orders.ErrOutcomeUnknown
		}
		p.direct.Stop = func(context.Context, orders.Entry, sched.TaskRef, int64, int64) error { return nil }
		p.open()
		p.stall.Store(int64(70 * time.Millisecond)) // the carrier is a little late
		time.Sleep(10 * time.Millisecond)
		started := make(chan error, 1)
		go func() {
			_, err := p.router.start(within(350*time.Millisecond), entry, orders.Start{Task: sched.TaskRef{Job: "j"}})
			started <- err
		}()
		stuck := entry
		stuck.ID, stuck.Addr = "w2", "10.0.0.2:1"
		is.NoErr(p.router.stop(within(350*time.Millisecond), stuck, sched.TaskRef{Job: "k"}, 1, 1))
		is.NoErr(<-started)
		is.Equal(p.opened.Load(), int64(1))
	})
}

// Guards against starts that leave a suspended owner long after they were given, with a time of the carrier that
// came after it woke up.
func TestSuspendedOwnerSendsNoOldOrders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		base := time.Now()
		var suspended atomic.Int64 // timers do not count this time, clock.Boot does
		now := func() time.Duration { return time.Since(base) + time.Hour + time.Duration(suspended.Load()) }
		var starts atomic.Int64
		fleet := orders.Fleet{
			Start: func(context.Context, orders.Entry, orders.Start) (int64, error) { starts.Add(1); return 1, nil },
			Stop:  func(context.Context, orders.Entry, sched.TaskRef, int64, int64) error { return nil },
		}
		direct := fleet
		c := &Carrier{Fleet: &fleet, Now: now}
		var full atomic.Bool
		r := &Router{Direct: &direct, Now: now, Open: func(ctx context.Context, _ string) (Source, error) {
			batches, answers := make(chan *Batch, 100), make(chan *Answers, 100)
			go func() {
				_ = c.Serve(ctx, Sink{
					Recv: func(b *Batch) error {
						select {
						case m := <-batches:
							*b = *m
							return nil
						case <-ctx.Done():
							return ctx.Err()
						}
					},
					Send: func(a *Answers) error { m := *a; answers <- &m; return nil },
				})
			}()
			return Source{
				Send: func(b *Batch) error {
					for full.Load() {
						time.Sleep(time.Millisecond)
					}
					batches <- b
					return nil
				},
				Recv: func(a *Answers) error {
					select {
					case m := <-answers:
						*a = *m
						return nil
					case <-ctx.Done():
						return ctx.Err()
					}
				},
			}, nil
		}}
		defer time.Sleep(idleStreamAge + 5*time.Second)
		r.route(entry)
		time.Sleep(time.Second)
		full.Store(true) // the owner's link
		go func() { _ = r.stop(within(5*time.Second), entry, sched.TaskRef{Job: "j"}, 1, 1) }()
		time.Sleep(20 * time.Millisecond)
		go func() { _, _ = r.start(within(2*time.Second), entry, orders.Start{Task: sched.TaskRef{Job: "k"}}) }()
		time.Sleep(20 * time.Millisecond)
		suspended.Store(int64(10 * time.Second))
		time.Sleep(300 * time.Millisecond) // a message of the carrier arrives
		full.Store(false)
		time.Sleep(3 * time.Second)
		is.Equal(starts.Load(), int64(0)) // given 10 s ago
	})
}

// Guards against ends that a carrier acknowledges to a restarted worker, since an answer of the incarnation before
// came after a call that met the restart.
func TestCarrierDoesNotAcknowledgeAfterAFailedCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newPair()
		defer p.close()
		var acked []int64
		var born atomic.Int64
		born.Store(5)
		p.fleet.Hold = func(_ context.Context, _ orders.Entry, in orders.Hold) (orders.HoldReply, error) {
			acked = append(acked, in.Acked)
			out := orders.HoldReply{StartedMs: born.Load()}
			if len(acked) == 1 {
				time.Sleep(200 * time.Millisecond) // the answer is late
			}
			return out, nil
		}
		p.fleet.Start = func(context.Context, orders.Entry, orders.Start) (int64, error) {
			return 0, fmt.Errorf("%w: %w", orders.ErrOutcomeUnknown, orders.ErrDisconnected)
		}
		p.open()
		done := make(chan bool)
		go func() {
			_, _ = p.router.hold(within(time.Second), entry, orders.Hold{Incarnation: 5})
			close(done)
		}()
		time.Sleep(100 * time.Millisecond)
		born.Store(6)
		_, err := p.router.start(within(time.Second), entry, orders.Start{Task: sched.TaskRef{Job: "j"}})
		is.True(errors.Is(err, orders.ErrDisconnected))
		<-done
		_, _ = p.router.hold(within(time.Second), entry, orders.Hold{Acked: 40, Incarnation: 5})
		is.Equal(acked, []int64{0, 0}) // the later incarnation has listed nothing
	})
}

// Guards against a crash that is not recognized since the carrier's hold met the closed connection and the owner's next
// one found nobody.
func TestDisconnectIsKeptAfterADirectHold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newPair()
		defer p.close()
		p.fleet.Hold = func(context.Context, orders.Entry, orders.Hold) (orders.HoldReply, error) {
			return orders.HoldReply{}, fmt.Errorf("%w: %w", orders.ErrOutcomeUnknown, orders.ErrDisconnected)
		}
		p.direct.Hold = func(context.Context, orders.Entry, orders.Hold) (orders.HoldReply, error) {
			return orders.HoldReply{}, orders.ErrNotSent
		}
		p.open()
		_, err := p.router.hold(within(time.Second), entry, orders.Hold{})
		is.True(errors.Is(err, orders.ErrDisconnected))
	})
}

// Guards against a stream that ends with all its orders since a worker's answer is no text.
func TestStreamOutlivesAnswersThatAreNoText(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newPair()
		defer p.close()
		p.fleet.Start = func(context.Context, orders.Entry, orders.Start) (int64, error) {
			return 0, fmt.Errorf("%w: status 500: %s", orders.ErrOutcomeUnknown, []byte{0xff, 0xfe})
		}
		p.open()
		_, err := p.router.start(within(350*time.Millisecond), entry, orders.Start{Task: sched.TaskRef{Job: "j"}})
		is.True(errors.Is(err, orders.ErrOutcomeUnknown))
		is.True(!errors.Is(err, errNoCarrier))
		is.Equal(p.opened.Load(), int64(1))
		is.True(p.router.route(entry) != nil) // the stream is still there
	})
}
