package lead

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

func oneGPU(tasks int) model.Step {
	return model.Step{Tasks: tasks, Each: model.Room{Millicores: 1000, MemoryMB: 1000, Accelerators: 1}, EstimateMs: 1000}
}

func gang(tasks int) model.Step {
	s := oneGPU(tasks)
	s.Each.Accelerators = 4
	s.Gang = true
	return s
}

// submitAll hands in a mix of jobs and returns their ids.
func (w *world) submitAll(n int) []string {
	var ids []string
	for i := range n {
		id := fmt.Sprintf("j%d", i)
		ids = append(ids, id)
		switch i % 3 {
		case 0:
			w.submit(id, "urgent", gang(2))
		case 1:
			w.submit(id, "bulk", oneGPU(5))
		case 2:
			second := oneGPU(2)
			second.After = []int{0}
			w.submit(id, "bulk", oneGPU(3), second)
		}
	}
	return ids
}

// owner returns the node that owns the work, or nil.
func owner(nodes []*node) *node {
	for _, n := range nodes {
		if o := n.Own(); o != nil && o.ctx.Err() == nil {
			return n
		}
	}
	return nil
}

func first(who string) func(string) bool { return func(w string) bool { return w == who } }

// scenario brings a fault about while jobs run on four workers and three nodes.
type scenario struct {
	// before runs before the jobs are handed in, during a moment later.
	before func(w *world, nodes []*node)
	during func(w *world, nodes []*node)
	// limit is how long it may take; 0 means settleLimit.
	limit time.Duration
}

var scenarios = map[string]scenario{
	"calm": {},
	"an adviser allows half of the workers": {before: func(w *world, _ []*node) {
		w.advise(3 * time.Second)
	}, limit: time.Minute},
	"an adviser's tickets run out soon and the owner dies": {before: func(w *world, _ []*node) {
		w.advise(600 * time.Millisecond)
	}, during: func(_ *world, nodes []*node) {
		owner(nodes).kill()
	}, limit: time.Minute},
	"the owner dies": {during: func(_ *world, nodes []*node) {
		owner(nodes).kill()
	}},
	"the owner resigns": {during: func(_ *world, nodes []*node) {
		owner(nodes).Resign(context.Background())
	}},
	"all nodes but one die": {during: func(_ *world, nodes []*node) {
		o := owner(nodes)
		o.kill()
		for _, n := range nodes {
			if n != o {
				n.kill()
				return
			}
		}
	}},
	"the owner is cut from the store": {during: func(w *world, nodes []*node) {
		name := owner(nodes).Node
		w.store.refuse.set(func(who, _ string) error {
			if who == name {
				return rows.ErrRefused
			}
			return nil
		})
	}},
	"the store is away for five seconds": {during: func(w *world, _ []*node) {
		from := w.now()
		w.store.refuse.set(func(string, string) error {
			if w.now()-from < 5*time.Second {
				return rows.ErrRefused
			}
			return nil
		})
	}},
	"the store is slow": {before: func(w *world, _ []*node) {
		w.store.took.set(700 * time.Millisecond)
	}},
	"every third answer of the store is lost": {before: func(w *world, _ []*node) {
		var n atomic.Int64
		w.store.lose.set(func(string) bool { return n.Add(1)%3 == 0 })
	}, limit: 3 * time.Minute},
	"some writes are done seconds later": {before: func(w *world, _ []*node) {
		var n atomic.Int64
		w.store.late.set(func(string) time.Duration {
			if n.Add(1)%5 == 0 {
				return 4 * time.Second
			}
			return 0
		})
	}, limit: 3 * time.Minute},
	"the store forgets its history": {during: func(w *world, _ []*node) {
		w.store.mu.Lock()
		w.store.floor = w.store.version + 1
		w.store.mu.Unlock()
	}},
	"a worker dies": {during: func(w *world, _ []*node) {
		m := w.worker("w1")
		m.mu.Lock()
		m.gone.set(true)
		m.mu.Unlock()
	}},
	"a worker restarts under its id": {during: func(w *world, _ []*node) {
		m := w.worker("w1")
		m.mu.Lock()
		m.born, m.runs, m.ended, m.n = 2, map[sched.Ref]*memRun{}, nil, 0
		m.epoch, m.lease, m.floor = 0, 0, map[sched.Ref]int64{}
		m.clockOff = -m.w.now()
		m.mu.Unlock()
	}},
	"a worker is cut off and runs on": {during: func(w *world, _ []*node) {
		m := w.worker("w1")
		from := w.now()
		m.cut.set(func(string) bool { return w.now()-from < 9*time.Second })
	}},
	"a worker is cut off from the owner that dies": {during: func(w *world, nodes []*node) {
		o := owner(nodes)
		w.worker("w1").cut.set(first(o.Node))
		clock.Sleep(context.Background(), time.Second)
		o.kill()
	}},
	"answers of a worker are lost": {during: func(w *world, _ []*node) {
		m := w.worker("w1")
		m.mu.Lock()
		m.oneWay.set(true)
		m.mu.Unlock()
		time.AfterFunc(8*time.Second, func() {
			m.mu.Lock()
			m.oneWay.set(false)
			m.mu.Unlock()
		})
	}},
	"orders are carried out late": {before: func(w *world, _ []*node) {
		for _, m := range w.workers {
			var n atomic.Int64
			m.late.set(func() time.Duration {
				if n.Add(1)%4 == 0 {
					return 3 * time.Second
				}
				return 0
			})
		}
	}, limit: 3 * time.Minute},
	"some orders are lost": {before: func(w *world, _ []*node) {
		for _, m := range w.workers {
			var n atomic.Int64
			m.late.set(func() time.Duration {
				if n.Add(1)%4 == 0 {
					return time.Hour
				}
				return 0
			})
		}
	}, limit: 3 * time.Minute},
	"a worker fails all that it starts": {before: func(w *world, _ []*node) {
		w.worker("w2").fails.set(true)
	}},
	"a worker's entry is gone": {during: func(w *world, _ []*node) {
		m := w.worker("w1")
		m.mu.Lock()
		m.unlisted.set(true)
		m.mu.Unlock()
	}},
	"the owner can't reach the others": {during: func(w *world, nodes []*node) {
		name := owner(nodes).Node
		w.asks.set(func(_ context.Context, _, to string) error {
			if to == name {
				return errors.New("cut")
			}
			return nil
		})
	}},
}

// settleLimit is how long a scenario may take until all jobs have ended.
const settleLimit = 90 * time.Second

func TestScenarios(t *testing.T) {
	for name, sc := range scenarios {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { play(t, sc) })
		})
	}
}

// testCores is the size of a node, where a test names none.
const testCores = 0.4

// begin starts a world with workers and nodes, and waits until one of these
// owns the work; stop ends them and lets late writes and orders come.
func begin(workers, count int) (w *world, nodes []*node, stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	w = newWorld(workers)
	cores := make([]float64, count)
	for i := range cores {
		cores[i] = testCores
	}
	nodes = w.nodes(ctx, cores...)
	time.Sleep(2 * time.Second)
	return w, nodes, func() {
		cancel()
		for _, n := range nodes {
			n.kill()
		}
		time.Sleep(15 * time.Second)
	}
}

func play(t *testing.T, sc scenario) {
	t.Helper()
	is := is.New(t)
	w, nodes, stop := begin(4, 3)
	defer stop()
	is.True(owner(nodes) != nil) // a node took the work
	if sc.before != nil {
		sc.before(w, nodes)
	}
	ids := w.submitAll(9)
	time.Sleep(600 * time.Millisecond)
	if sc.during != nil {
		sc.during(w, nodes)
	}
	limit := settleLimit
	if sc.limit > 0 {
		limit = sc.limit
	}
	w.await(t, ids, limit)
	for _, f := range w.faults {
		t.Error(f)
	}
}

// await waits until all jobs have completed.
func (w *world) await(t *testing.T, ids []string, limit time.Duration) {
	t.Helper()
	from := w.now()
	for _, id := range ids {
		for w.state(id) != sched.Completed {
			if w.now()-from > limit {
				t.Fatalf("job %s is %q after %s", id, w.state(id), limit)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	t.Logf("all ended after %s", w.now()-from)
}

// Two faults that overlap, drawn from the scenarios by seed.
func TestPairs(t *testing.T) {
	names := make([]string, 0, len(scenarios))
	for name := range scenarios {
		names = append(names, name)
	}
	// The order of a map differs between runs; a seed must not.
	slices.Sort(names)
	for seed := range uint64(40) {
		rnd := rand.New(rand.NewPCG(seed, 7))
		a, b := names[rnd.IntN(len(names))], names[rnd.IntN(len(names))]
		gap := time.Duration(rnd.IntN(1500)) * time.Millisecond
		t.Run(fmt.Sprintf("seed %d/%s/%s", seed, a, b), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { play(t, pair(scenarios[a], scenarios[b], gap)) })
		})
	}
}

func pair(a, b scenario, gap time.Duration) scenario {
	return scenario{
		before: func(w *world, nodes []*node) {
			for _, s := range []scenario{a, b} {
				if s.before != nil {
					s.before(w, nodes)
				}
			}
		},
		during: func(w *world, nodes []*node) {
			if a.during != nil {
				a.during(w, nodes)
			}
			time.Sleep(gap)
			if b.during != nil && owner(nodes) != nil {
				b.during(w, nodes)
			}
		},
		limit: 4 * time.Minute,
	}
}

func TestCancelStopsWhatRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w, _, stop := begin(2, 1)
		defer stop()
		w.takeLong(time.Minute)
		w.submit("a", "bulk", oneGPU(4))
		time.Sleep(time.Second)
		is.Equal(w.state("a"), sched.Running)
		w.cancel("a")
		time.Sleep(2 * time.Second)
		is.Equal(w.state("a"), sched.Cancelled)
		is.Equal(w.running(), 0) // nothing runs on
	})
}

func TestCancelBeforeTheJobIsKnownKeepsItFromStarting(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w, _, stop := begin(2, 1)
		defer stop()
		w.cancel("a")
		time.Sleep(time.Second)
		w.submit("a", "bulk", oneGPU(1))
		time.Sleep(time.Second)
		is.Equal(w.state("a"), sched.Cancelled)
		is.Equal(len(w.starts), 0)
	})
}

// A job is cancelled while the ownership changes hands: the next owner learns of
// the runs and the cancellation before it knows any worker's address.
func TestCancelSurvivesAChangeOfOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w, nodes, stop := begin(2, 3)
		defer stop()
		w.takeLong(time.Minute)
		w.submit("a", "bulk", oneGPU(4))
		time.Sleep(time.Second)
		owner(nodes).Resign(context.Background())
		w.cancel("a")
		w.store.took.set(300 * time.Millisecond) // the list comes after the first tick
		time.Sleep(8 * time.Second)
		is.Equal(w.state("a"), sched.Cancelled)
		is.Equal(w.running(), 0) // nothing runs on
	})
}

// An owner that was suspended wakes up after another has taken over: none of
// its orders may take effect.
func TestSuspendedOwnerChangesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w, nodes, stop := begin(4, 3)
		defer stop()
		old := owner(nodes)
		var asleep atomic.Bool
		w.store.refuse.set(func(who, _ string) error {
			for who == old.Node && asleep.Load() {
				time.Sleep(10 * time.Millisecond)
			}
			return nil
		})
		w.asks.set(func(ctx context.Context, _, to string) error {
			if to == old.Node && asleep.Load() {
				<-ctx.Done()
				return ctx.Err()
			}
			return nil
		})
		asleep.Store(true)
		ids := w.submitAll(6)
		time.Sleep(6 * time.Second)
		asleep.Store(false)
		w.await(t, ids, settleLimit)
		is.Equal(w.faults, nil)
		is.True(owner(nodes) != old)
	})
}

// A planned stop costs urgent work little: calls of the owner before may still
// be on their way when it has released the work.
func TestResignHandsOverAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w, nodes, stop := begin(4, 3)
		defer stop()
		for _, m := range w.workers {
			m.stubborn.set(true)
		}
		w.submitAll(6)
		time.Sleep(300 * time.Millisecond)
		old := owner(nodes)
		old.Resign(context.Background())
		from := w.now()
		for owner(nodes) == nil {
			time.Sleep(10 * time.Millisecond)
		}
		is.True(w.now()-from < time.Second)
	})
}

// While the store is away nothing is stopped for work that could not start.
func TestNothingIsEvictedWhileTheStoreIsAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w, _, stop := begin(2, 1)
		defer stop()
		w.takeLong(20 * time.Second)
		w.submit("bulk", "bulk", oneGPU(16))
		time.Sleep(time.Second)
		from := w.now()
		w.store.refuse.set(func(_, op string) error {
			if op == "commit" && w.now()-from < 2200*time.Millisecond {
				return rows.ErrRefused
			}
			return nil
		})
		time.Sleep(900 * time.Millisecond) // a renewal has been on its way for a while
		w.submit("urgent", "urgent", gang(2))
		time.Sleep(time.Second)
		running := 0
		for _, m := range w.workers {
			m.mu.Lock()
			for ref, r := range m.runs {
				if ref.Job == "bulk" && !r.stopped {
					running++
				}
			}
			m.mu.Unlock()
		}
		is.Equal(running, 16) // nothing has been stopped
		time.Sleep(4 * time.Second)
		is.Equal(w.state("urgent"), sched.Running)
	})
}

// A start whose answer is lost is stopped before the task is placed again.
func TestStartWithoutAnAnswerNeverRunsTwice(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w, _, stop := begin(3, 1)
		defer stop()
		var n atomic.Int64
		for _, m := range w.workers {
			m.late.set(func() time.Duration {
				if n.Add(1)%2 == 0 {
					return 2 * time.Second
				}
				return 0
			})
		}
		ids := w.submitAll(6)
		w.await(t, ids, 3*time.Minute)
		is.Equal(w.faults, nil)
	})
}
