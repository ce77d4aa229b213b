package leader

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
	"greengageline/pkg/model"
)

// Guards against ends that are not acknowledged, and asked for without a pause, while a carrier does not reach the worker.
func TestEndsAreAcknowledgedWithoutTheCarrier(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		sim, nodes, stop := startCarried(4, 3)
		defer stop()
		owner := ownerOf(nodes)
		var worker, carrier string
		owner.LocalOwner().postAndWait(context.Background(), func() {
			for id, s := range owner.LocalOwner().sessions {
				if s.carrier != "" {
					worker, carrier = id, s.carrier
				}
			}
		})
		is.True(carrier != "")
		m := sim.worker(worker)
		var direct atomic.Int64
		m.unreachable.set(func(node string) bool {
			if node == owner.Node {
				direct.Add(1)
			}
			return node == carrier
		})
		sim.submit("done", "bulk", oneGPU(24))
		time.Sleep(5 * time.Second)
		sim.setRunTime(time.Minute)
		sim.submit("long", "bulk", oneGPU(24)) // keeps the worker busy
		direct.Store(0)
		time.Sleep(2 * time.Second)
		m.mu.Lock()
		left := len(m.ended)
		m.mu.Unlock()
		t.Logf("%d ends are left, %d direct calls in 2 s", left, direct.Load())
		is.Equal(left, 0)
		is.True(direct.Load() < 60)
	})
}

// carriedSession returns a session with a carrier whose worker has listed 40 ends that are durable, and the holds that
// it sends.
func carriedSession(now *time.Duration) (s *session, holds chan sentHold) {
	holds = make(chan sentHold, 10)
	l := &Candidate{
		Now: func() time.Duration { return *now }, Bounds: Bounds{MaxLease: maxLease, KillGrace: killGrace},
		Fleet: &orders.Fleet{Hold: func(_ context.Context, e orders.Entry, in orders.Hold) (orders.HoldReply, error) {
			h := sentHold{e, in, make(chan orders.HoldReply)}
			holds <- h
			return <-h.reply, nil
		}},
	}
	o := newOwner(l, ownership{Epoch: 1}, 1, *now)
	s = o.session(orders.Entry{Worker: sched.Worker{ID: "w", Room: model.Room{Millicores: 1000}}, Addr: "w:1"})
	s.setCarrier("c:1")
	s.listed, s.proven, s.provenAddr = true, true, "w:1"
	s.incarnation, s.seenEnd, s.coveredEnd, s.durableEnd = 5, 40, 40, 40
	return s, holds
}

type sentHold struct {
	e     orders.Entry
	in    orders.Hold
	reply chan orders.HoldReply
}

// Guards against ends that are acknowledged to another incarnation than listed them, as the last commit is too old for
// a carrier that would make sure.
func TestDirectHoldsOfAnOldCommitAcknowledgeAfterAnAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		now := time.Minute
		s, holds := carriedSession(&now)
		defer s.o.wait()
		defer s.o.cancel()
		now += carriedHoldAge
		s.sendHold(0)
		h := <-holds
		h.reply <- orders.HoldReply{StartedMs: 6}
		is.Equal(h.e.Carrier, "")
		is.Equal(h.in.Acked, int64(0)) // the incarnation that listed them may be gone
	})
}

// Guards against ends that are acknowledged to another incarnation than listed them, as the answer to a carried hold
// comes late and after a change of the carrier.
func TestLateCarriedAnswerConfirmsNoIncarnation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		now := time.Minute
		s, holds := carriedSession(&now)
		defer s.o.wait()
		defer s.o.cancel()
		s.durableEnd = 0
		s.sendHold(0)
		carried := <-holds
		is.Equal(carried.e.Carrier, "c:1")
		s.durableEnd = 40
		s.setCarrier("")
		now += time.Second // the answer is on its way
		carried.reply <- orders.HoldReply{StartedMs: 5}
		(<-s.o.inbox)()
		direct := <-holds
		direct.reply <- orders.HoldReply{StartedMs: 6}
		is.Equal(direct.e.Carrier, "")
		is.Equal(direct.in.Acked, int64(0)) // the worker may have restarted within that second
	})
}

// Guards against a task that crashes worker after worker where other nodes carry the owner's orders.
func TestTaskThatCrashesWorkersIsGivenUpWithCarriers(t *testing.T) {
	for name, c := range map[string]struct {
		delay time.Duration
		begin func(workers, count int) (*simulation, []*testNode, func())
	}{
		"carried, at once": {crashDelay, startCarried},
		"carried, soon":    {100 * time.Millisecond, startCarried},
		"direct, at once":  {crashDelay, startSimulation},
		"direct, soon":     {100 * time.Millisecond, startSimulation},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				sim, _, stop := c.begin(8, 3)
				defer stop()
				var crashes atomic.Int64
				sim.onStart.set(func(m *fakeWorker, task sched.TaskRef) {
					if task.Job != "deadly" {
						return
					}
					crashes.Add(1)
					time.AfterFunc(c.delay, func() {
						m.crash()
						time.AfterFunc(12*time.Second, func() { m.restart(true) }) // after its leases end
					})
				})
				sim.submit("deadly", "bulk", oneGPU(1))
				from := sim.now()
				for sim.state("deadly") != sched.JobFailed && sim.now()-from < 2*completionLimit {
					time.Sleep(50 * time.Millisecond)
				}
				t.Logf("%d starts, %s after %s", crashes.Load(), sim.state("deadly"), sim.now()-from)
				is.Equal(sim.state("deadly"), sched.JobFailed)
				is.True(crashes.Load() <= maxDeadlyStarts)
			})
		})
	}
}

// Guards against a task that runs again after it was done (TWICE): an answer that a carrier brought late, after the worker
// had restarted and got another carrier, let this node acknowledge ends of the new incarnation that nobody had seen.
func TestLateCarriedAnswerForgetsNoEnds(t *testing.T) {
	for at := 900; at < 2300; at += 100 {
		t.Run(fmt.Sprint(at), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				sim, nodes, stop := startCarried(12, 3)
				defer stop()
				owner := ownerOf(nodes)
				var worker, carrier string
				o := owner.LocalOwner()
				time.Sleep(3 * time.Second)
				o.postAndWait(context.Background(), func() {
					for id, s := range o.sessions {
						var left []share
						for _, sh := range o.shares {
							if sh.addr != s.carrier {
								left = append(left, sh)
							}
						}
						if s.carrier != "" && shareOf(id, left) == "" {
							worker, carrier = id, s.carrier
						}
					}
				})
				is.True(carrier != "")
				m := sim.worker(worker)
				sim.setRunTime(150 * time.Millisecond)
				sim.submit("a", "bulk", oneGPU(96))
				time.Sleep(100 * time.Millisecond)
				for range 20 {
					if m.runCount() > 0 {
						break
					}
					time.Sleep(10 * time.Millisecond)
				}
				time.Sleep(80 * time.Millisecond)
				sim.beforeList.set(func(context.Context) error { return errors.New("slow") })
				sim.network.cutFor(carrier, owner.Node, 2150*time.Millisecond)
				time.Sleep(200 * time.Millisecond)
				m.crash()
				time.Sleep(200 * time.Millisecond)
				m.restart(true)
				time.Sleep(time.Duration(at-400) * time.Millisecond)
				sim.submit("b", "bulk", oneGPU(96))
				time.Sleep(2 * time.Second)
				sim.beforeList.set(nil)
				sim.awaitCompleted(t, []string{"a", "b"}, completionLimit)
				for _, v := range sim.violations {
					t.Error(v)
				}
			})
		})
	}
}
