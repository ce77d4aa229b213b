package leader

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"greengageline/internal/clock"
	"greengageline/internal/rows"
	"greengageline/internal/sched"
	"greengageline/pkg/model"
)

// oneGPU returns a step whose tasks need one accelerator each.
func oneGPU(tasks int) model.Step {
	return model.Step{Tasks: tasks, Each: model.Room{Millicores: 1000, MemoryMB: 1000, Accelerators: 1}, EstimateMs: 1000}
}

// gang returns a step whose tasks start together and need four accelerators each.
func gang(tasks int) model.Step {
	s := oneGPU(tasks)
	s.Each.Accelerators = 4
	s.Gang = true
	return s
}

// submitAll submits n jobs of mixed kinds and returns their ids.
func (sim *simulation) submitAll(n int) []string {
	var ids []string
	for i := range n {
		id := fmt.Sprintf("j%d", i)
		ids = append(ids, id)
		switch i % 3 {
		case 0:
			sim.submit(id, "urgent", gang(2))
		case 1:
			sim.submit(id, "bulk", oneGPU(5))
		case 2:
			second := oneGPU(2)
			second.After = []int{0}
			sim.submit(id, "bulk", oneGPU(3), second)
		}
	}
	return ids
}

// ownerOf returns the node that owns the jobs, or nil.
func ownerOf(nodes []*testNode) *testNode {
	for _, n := range nodes {
		if o := n.LocalOwner(); o != nil && o.ctx.Err() == nil {
			return n
		}
	}
	return nil
}

// isNode returns a function that reports whether a node has this name.
func isNode(name string) func(string) bool { return func(node string) bool { return node == name } }

// scenario produces a fault while jobs run on four workers and three nodes.
type scenario struct {
	// before runs before the jobs are submitted, during shortly after.
	before func(sim *simulation, nodes []*testNode)
	during func(sim *simulation, nodes []*testNode)
	// limit is how long the scenario may take; 0 means completionLimit.
	limit time.Duration
}

// scenarios are the faults by name. TestPairs draws from the names in sorted order, so renaming one changes
// the pairs that a seed draws.
var scenarios = map[string]scenario{
	"calm": {},
	"an adviser allows half of the workers": {before: func(sim *simulation, _ []*testNode) {
		sim.requireAdvice(3 * time.Second)
	}, limit: time.Minute},
	"an adviser's tickets run out soon and the owner dies": {before: func(sim *simulation, _ []*testNode) {
		sim.requireAdvice(600 * time.Millisecond)
	}, during: func(_ *simulation, nodes []*testNode) {
		ownerOf(nodes).kill()
	}, limit: time.Minute},
	"the owner dies": {during: func(_ *simulation, nodes []*testNode) {
		ownerOf(nodes).kill()
	}},
	"the owner resigns": {during: func(_ *simulation, nodes []*testNode) {
		ownerOf(nodes).Resign(context.Background())
	}},
	"all nodes but one die": {during: func(_ *simulation, nodes []*testNode) {
		o := ownerOf(nodes)
		o.kill()
		for _, n := range nodes {
			if n != o {
				n.kill()
				return
			}
		}
	}},
	"the owner is cut from the store": {during: func(sim *simulation, nodes []*testNode) {
		name := ownerOf(nodes).Node
		sim.store.refuse.set(func(node, _ string) error {
			if node == name {
				return rows.ErrRefused
			}
			return nil
		})
	}},
	"the store is away for five seconds": {during: func(sim *simulation, _ []*testNode) {
		from := sim.now()
		sim.store.refuse.set(func(string, string) error {
			if sim.now()-from < 5*time.Second {
				return rows.ErrRefused
			}
			return nil
		})
	}},
	"the store is slow": {before: func(sim *simulation, _ []*testNode) {
		sim.store.callTime.set(700 * time.Millisecond)
	}},
	"every third answer of the store is lost": {before: func(sim *simulation, _ []*testNode) {
		var n atomic.Int64
		sim.store.lose.set(func(string) bool { return n.Add(1)%3 == 0 })
	}, limit: 3 * time.Minute},
	"some writes are done seconds later": {before: func(sim *simulation, _ []*testNode) {
		var n atomic.Int64
		sim.store.late.set(func(string) time.Duration {
			if n.Add(1)%5 == 0 {
				return 4 * time.Second
			}
			return 0
		})
	}, limit: 3 * time.Minute},
	"the store forgets its history": {during: func(sim *simulation, _ []*testNode) {
		sim.store.mu.Lock()
		sim.store.compactedBefore = sim.store.version + 1
		sim.store.mu.Unlock()
	}},
	"a worker dies": {during: func(sim *simulation, _ []*testNode) {
		m := sim.worker("w1")
		m.mu.Lock()
		m.dead.set(true)
		m.mu.Unlock()
	}},
	"a worker restarts under its id": {during: func(sim *simulation, _ []*testNode) {
		m := sim.worker("w1")
		m.mu.Lock()
		m.born, m.runs, m.ended, m.lastEnd, m.listedEnd = 2, map[sched.TaskRef]*fakeRun{}, nil, 0, 0
		m.epoch, m.leaseEnd, m.maxEndedRun = 0, 0, map[sched.TaskRef]int64{}
		m.clockOffset = -m.sim.now()
		m.mu.Unlock()
	}},
	"a worker is cut off and runs on": {during: func(sim *simulation, _ []*testNode) {
		m := sim.worker("w1")
		from := sim.now()
		m.unreachable.set(func(string) bool { return sim.now()-from < 9*time.Second })
	}},
	"a worker is cut off from the owner that dies": {during: func(sim *simulation, nodes []*testNode) {
		o := ownerOf(nodes)
		sim.worker("w1").unreachable.set(isNode(o.Node))
		clock.Sleep(context.Background(), time.Second)
		o.kill()
	}},
	"answers of a worker are lost": {during: func(sim *simulation, _ []*testNode) {
		m := sim.worker("w1")
		m.mu.Lock()
		m.dropAnswers.set(true)
		m.mu.Unlock()
		time.AfterFunc(8*time.Second, func() {
			m.mu.Lock()
			m.dropAnswers.set(false)
			m.mu.Unlock()
		})
	}},
	"orders are carried out late": {before: func(sim *simulation, _ []*testNode) {
		for _, m := range sim.workers {
			var n atomic.Int64
			m.delay.set(func() time.Duration {
				if n.Add(1)%4 == 0 {
					return 3 * time.Second
				}
				return 0
			})
		}
	}, limit: 3 * time.Minute},
	"some orders are lost": {before: func(sim *simulation, _ []*testNode) {
		for _, m := range sim.workers {
			var n atomic.Int64
			m.delay.set(func() time.Duration {
				if n.Add(1)%4 == 0 {
					return time.Hour
				}
				return 0
			})
		}
	}, limit: 3 * time.Minute},
	"a worker fails all that it starts": {before: func(sim *simulation, _ []*testNode) {
		sim.worker("w2").failRuns.set(true)
	}},
	"a worker's entry is gone": {during: func(sim *simulation, _ []*testNode) {
		m := sim.worker("w1")
		m.mu.Lock()
		m.unlisted.set(true)
		m.mu.Unlock()
	}},
	"the owner can't reach the others": {during: func(sim *simulation, nodes []*testNode) {
		name := ownerOf(nodes).Node
		sim.beforePoll.set(func(_ context.Context, _, to string) error {
			if to == name {
				return errors.New("cut")
			}
			return nil
		})
	}},
}

// completionLimit is how long a scenario may take until all jobs have completed.
const completionLimit = 90 * time.Second

// TestScenarios runs each scenario by itself.
func TestScenarios(t *testing.T) {
	for name, sc := range scenarios {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runScenario(t, sc) })
		})
	}
}

// testCores is the number of cores of a node where a test gives none.
const testCores = 0.4

// startSimulation starts a simulation with workers and nodes and waits until a node owns the jobs. stop
// ends the nodes and lets delayed writes and orders arrive.
func startSimulation(workers, count int) (sim *simulation, nodes []*testNode, stop func()) {
	return startWithRetention(workers, count, 0)
}

// startWithRetention is startSimulation with nodes that keep ended jobs for a time.
func startWithRetention(workers, count int, retention time.Duration) (sim *simulation, nodes []*testNode, stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	sim = newSimulation(workers)
	sim.retention = retention
	cores := make([]float64, count)
	for i := range cores {
		cores[i] = testCores
	}
	nodes = sim.startNodes(ctx, cores...)
	time.Sleep(2 * time.Second)
	return sim, nodes, func() {
		cancel()
		for _, n := range nodes {
			n.kill()
		}
		time.Sleep(15 * time.Second)
	}
}

// runScenario submits jobs, produces the fault, and checks that all jobs complete in time and that no
// invariant was violated.
func runScenario(t *testing.T, sc scenario) {
	t.Helper()
	sim, nodes, stop := startSimulation(4, 3)
	defer stop()
	sim.runScenario(t, sc, nodes)
}

// runScenario runs a scenario on a simulation that has been started.
func (sim *simulation) runScenario(t *testing.T, sc scenario, nodes []*testNode) {
	t.Helper()
	is := is.New(t)
	is.True(ownerOf(nodes) != nil) // a node owns the jobs
	if sc.before != nil {
		sc.before(sim, nodes)
	}
	ids := sim.submitAll(9)
	time.Sleep(600 * time.Millisecond)
	if sc.during != nil {
		sc.during(sim, nodes)
	}
	limit := completionLimit
	if sc.limit > 0 {
		limit = sc.limit
	}
	sim.awaitCompleted(t, ids, limit)
	for _, f := range sim.violations {
		t.Error(f)
	}
}

// awaitCompleted waits until all jobs have completed; it fails the test after limit.
func (sim *simulation) awaitCompleted(t *testing.T, ids []string, limit time.Duration) {
	t.Helper()
	from := sim.now()
	for _, id := range ids {
		for sim.state(id) != sched.Completed {
			if sim.now()-from > limit {
				t.Fatalf("job %s is %q after %s", id, sim.state(id), limit)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	t.Logf("all ended after %s", sim.now()-from)
}

// TestPairs runs two faults that overlap, drawn from the scenarios by seed.
func TestPairs(t *testing.T) {
	names := make([]string, 0, len(scenarios))
	for name := range scenarios {
		names = append(names, name)
	}
	// The iteration order of a map differs between runs, but a seed must always draw the same scenarios.
	slices.Sort(names)
	for seed := range uint64(40) {
		rnd := rand.New(rand.NewPCG(seed, 7))
		a, b := names[rnd.IntN(len(names))], names[rnd.IntN(len(names))]
		gap := time.Duration(rnd.IntN(1500)) * time.Millisecond
		t.Run(fmt.Sprintf("seed %d/%s/%s", seed, a, b), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runScenario(t, overlap(scenarios[a], scenarios[b], gap)) })
		})
	}
}

// overlap combines two scenarios; the fault of b follows that of a after gap.
func overlap(a, b scenario, gap time.Duration) scenario {
	return scenario{
		before: func(sim *simulation, nodes []*testNode) {
			for _, s := range []scenario{a, b} {
				if s.before != nil {
					s.before(sim, nodes)
				}
			}
		},
		during: func(sim *simulation, nodes []*testNode) {
			if a.during != nil {
				a.during(sim, nodes)
			}
			time.Sleep(gap)
			if b.during != nil && ownerOf(nodes) != nil {
				b.during(sim, nodes)
			}
		},
		limit: 4 * time.Minute,
	}
}

func TestCancelStopsRunningTasks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		sim, _, stop := startSimulation(2, 1)
		defer stop()
		sim.setRunTime(time.Minute)
		sim.submit("a", "bulk", oneGPU(4))
		time.Sleep(time.Second)
		is.Equal(sim.state("a"), sched.Running)
		sim.cancel("a")
		time.Sleep(2 * time.Second)
		is.Equal(sim.state("a"), sched.Cancelled)
		is.Equal(sim.running(), 0) // no run goes on
	})
}

func TestCancelBeforeSubmissionPreventsStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		sim, _, stop := startSimulation(2, 1)
		defer stop()
		sim.cancel("a")
		time.Sleep(time.Second)
		sim.submit("a", "bulk", oneGPU(1))
		time.Sleep(time.Second)
		is.Equal(sim.state("a"), sched.Cancelled)
		is.Equal(len(sim.starts), 0)
	})
}

// A job is cancelled while the ownership changes. The next owner reads the runs and the cancellation before
// it knows any worker's address, and must still stop the runs.
func TestCancelSurvivesOwnerChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		sim, nodes, stop := startSimulation(2, 3)
		defer stop()
		sim.setRunTime(time.Minute)
		sim.submit("a", "bulk", oneGPU(4))
		time.Sleep(time.Second)
		ownerOf(nodes).Resign(context.Background())
		sim.cancel("a")
		sim.store.callTime.set(300 * time.Millisecond) // the workers' entries are read after the owner's first tick
		time.Sleep(8 * time.Second)
		is.Equal(sim.state("a"), sched.Cancelled)
		is.Equal(sim.running(), 0) // no run goes on
	})
}

// An owner that was suspended resumes after another node has taken over. None of its orders may take
// effect.
func TestSuspendedOwnerIsFenced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		sim, nodes, stop := startSimulation(4, 3)
		defer stop()
		old := ownerOf(nodes)
		var asleep atomic.Bool
		sim.store.refuse.set(func(node, _ string) error {
			for node == old.Node && asleep.Load() {
				time.Sleep(10 * time.Millisecond)
			}
			return nil
		})
		sim.beforePoll.set(func(ctx context.Context, _, to string) error {
			if to == old.Node && asleep.Load() {
				<-ctx.Done()
				return ctx.Err()
			}
			return nil
		})
		asleep.Store(true)
		ids := sim.submitAll(6)
		time.Sleep(6 * time.Second)
		asleep.Store(false)
		sim.awaitCompleted(t, ids, completionLimit)
		is.Equal(sim.violations, nil)
		is.True(ownerOf(nodes) != old)
	})
}

// A planned stop must delay urgent jobs little, although calls of the previous owner may still be in flight
// when it has released the ownership.
func TestResignHandsOverWithinOneSecond(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		sim, nodes, stop := startSimulation(4, 3)
		defer stop()
		for _, m := range sim.workers {
			m.ignoreContext.set(true)
		}
		sim.submitAll(6)
		time.Sleep(300 * time.Millisecond)
		old := ownerOf(nodes)
		old.Resign(context.Background())
		from := sim.now()
		for ownerOf(nodes) == nil {
			time.Sleep(10 * time.Millisecond)
		}
		is.True(sim.now()-from < time.Second)
	})
}

// While the store is unavailable, no run is stopped to make room for a job that could not be started.
func TestNoEvictionWhileStoreIsUnavailable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		sim, _, stop := startSimulation(2, 1)
		defer stop()
		sim.setRunTime(20 * time.Second)
		sim.submit("bulk", "bulk", oneGPU(16))
		time.Sleep(time.Second)
		from := sim.now()
		sim.store.refuse.set(func(_, op string) error {
			if op == "commit" && sim.now()-from < 2200*time.Millisecond {
				return rows.ErrRefused
			}
			return nil
		})
		time.Sleep(900 * time.Millisecond) // by then a renewal has been in flight for a while
		sim.submit("urgent", "urgent", gang(2))
		time.Sleep(time.Second)
		running := 0
		for _, m := range sim.workers {
			m.mu.Lock()
			for ref, r := range m.runs {
				if ref.Job == "bulk" && !r.stopped {
					running++
				}
			}
			m.mu.Unlock()
		}
		is.Equal(running, 16) // no run has been stopped
		time.Sleep(4 * time.Second)
		is.Equal(sim.state("urgent"), sched.Running)
	})
}

// A start whose answer is lost must be stopped before the task is placed again, or it could run twice.
func TestUnansweredStartNeverRunsTwice(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		sim, _, stop := startSimulation(3, 1)
		defer stop()
		var n atomic.Int64
		for _, m := range sim.workers {
			m.delay.set(func() time.Duration {
				if n.Add(1)%2 == 0 {
					return 2 * time.Second
				}
				return 0
			})
		}
		ids := sim.submitAll(6)
		sim.awaitCompleted(t, ids, 3*time.Minute)
		is.Equal(sim.violations, nil)
	})
}
