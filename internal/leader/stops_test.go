package leader

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"greengageline/internal/sched"
	"greengageline/pkg/model"
)

// fineTasks returns a step of tasks of which a worker holds two thousand.
func fineTasks(n int) model.Step {
	return model.Step{Tasks: n, Each: model.Room{Millicores: 30, MemoryMB: 64}, EstimateMs: 60_000}
}

// Guards against runs that go on after their job's cancel because the stops find no connection to their worker
// (UNASKED), or because the holds beside them find none and the worker counts as silent.
func TestManyStopsAreInTime(t *testing.T) {
	for name, c := range map[string]struct {
		workers, jobs, tasks int
		during               func(sim *simulation, nodes []*testNode)
		limit                time.Duration // beyond cancelLimit and killGrace
	}{
		"20 on one worker":     {workers: 1, jobs: 1, tasks: 20},
		"1,000 on one worker":  {workers: 1, jobs: 1, tasks: 1000},
		"2,000 on one worker":  {workers: 1, jobs: 2, tasks: 1000},
		"4,000 on two workers": {workers: 2, jobs: 4, tasks: 1000},
		"2,000 on one worker, some answers are lost": {workers: 1, jobs: 2, tasks: 1000, during: func(sim *simulation, _ []*testNode) {
			var n atomic.Int64
			sim.worker("w0").resets.set(func() bool { return n.Add(1)%40 == 0 })
		}},
		"2,000 on one worker, which has little processor time": {workers: 1, jobs: 2, tasks: 1000, during: func(sim *simulation, _ []*testNode) {
			sim.worker("w0").orderCost.set(func(runs int) time.Duration { return time.Duration(runs) * time.Microsecond })
			sim.worker("w0").listCost.set(func(runs int) time.Duration { return time.Duration(runs) * 10 * time.Microsecond })
		}},
		"1,000 on one worker, it is silent for 1 s": {workers: 1, jobs: 1, tasks: 1000, limit: time.Second, during: func(sim *simulation, _ []*testNode) {
			from := sim.now()
			sim.worker("w0").unreachable.set(func(string) bool { return sim.now()-from < time.Second })
		}},
		"2,000 on one worker, owner leaves": {workers: 1, jobs: 2, tasks: 1000, limit: 2 * time.Second, during: func(_ *simulation, nodes []*testNode) {
			time.Sleep(100 * time.Millisecond)
			ownerOf(nodes).Resign(context.Background())
		}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				sim, nodes, stop := startSimulation(c.workers, 2)
				defer stop()
				sim.setRunTime(time.Minute)
				for i := range c.jobs {
					sim.submit(fmt.Sprintf("j%d", i), "bulk", fineTasks(c.tasks))
				}
				for from := sim.now(); sim.running() < c.jobs*c.tasks; time.Sleep(10 * time.Millisecond) {
					if sim.now()-from > 30*time.Second {
						t.Fatalf("only %d tasks have started", sim.running())
					}
				}
				for i := range c.jobs {
					sim.cancel(fmt.Sprintf("j%d", i))
				}
				from := sim.now()
				if c.during != nil {
					c.during(sim, nodes)
				}
				for sim.running() > 0 {
					if sim.now()-from > cancelLimit+killGrace+c.limit {
						t.Fatalf("%d tasks run %s after the cancel", sim.running(), sim.now()-from)
					}
					time.Sleep(10 * time.Millisecond)
				}
				t.Logf("all have stopped after %s", sim.now()-from)
				for id, m := range sim.workers {
					if m.refusedOrders > 0 {
						t.Errorf("%d orders to %s found no connection", m.refusedOrders, id)
					}
				}
				is.Equal(sim.violations, nil)
			})
		})
	}
}

// Guards against so many stops at a slow worker that the holds behind them come too late, and the leases of the runs
// that go on there run out.
func TestHealthyRunsOutliveSlowStops(t *testing.T) {
	for _, each := range []time.Duration{10, 25, 30, 40, 50} {
		t.Run(fmt.Sprint(each*time.Millisecond), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				sim, _, stop := startSimulation(1, 2)
				defer stop()
				sim.setRunTime(5 * time.Minute)
				sim.submit("healthy", "bulk", fineTasks(50))
				sim.submit("large", "bulk", fineTasks(450))
				m := sim.worker("w0")
				for m.runCount() < 500 {
					time.Sleep(10 * time.Millisecond)
				}
				time.Sleep(3 * time.Second)
				m.orderCost.set(func(int) time.Duration { return each * time.Millisecond })
				sim.cancel("large")
				for from := sim.now(); sim.now()-from < 30*time.Second; time.Sleep(10 * time.Millisecond) {
					for _, cause := range m.endsOf("healthy") {
						if cause == sched.LeaseExpired {
							t.Fatalf("a healthy run has lapsed %s after the cancel", sim.now()-from)
						}
					}
				}
				is.Equal(sim.violations, nil)
			})
		})
	}
}

// A calm worker is asked as seldom as its holds wait, however many runs it has.
func TestHoldsOfCalmWorkerWait(t *testing.T) {
	for _, tasks := range []int{200, 500, 1000} {
		t.Run(fmt.Sprint(tasks), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				sim, _, stop := startSimulation(1, 2)
				defer stop()
				sim.setRunTime(5 * time.Minute)
				sim.submit("j", "bulk", fineTasks(tasks))
				m := sim.worker("w0")
				for m.runCount() < tasks {
					time.Sleep(10 * time.Millisecond)
				}
				time.Sleep(3 * time.Second)
				var n atomic.Int64
				m.unreachable.set(func(string) bool { n.Add(1); return false })
				time.Sleep(20 * time.Second)
				is.True(n.Load() <= 11) // a hold waits two seconds
			})
		})
	}
}
