package leader

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"greengageline/internal/rows"
	"greengageline/internal/sched"
	"greengageline/pkg/model"
)

// muteStore loses all answers of the store to a node, from the next transaction on for which begins holds.
func (sim *simulation) muteStore(node string, begins func(r ownership) bool) {
	muted := &syncValue[bool]{}
	sim.store.lose.set(func(n string) bool {
		if n == node && begins(sim.storedOwnership()) {
			muted.set(true)
		}
		return n == node && muted.get()
	})
	sim.store.refuse.set(func(n, op string) error {
		if n == node && op != "commit" && muted.get() {
			return rows.ErrOutcomeUnknown
		}
		return nil
	})
}

// storedOwnership returns the ownership row.
func (sim *simulation) storedOwnership() ownership {
	sim.store.mu.Lock()
	defer sim.store.mu.Unlock()
	var r ownership
	for _, row := range sim.store.rows {
		if row.Table == OwnershipTable {
			_ = json.Unmarshal(row.Value, &r) // the zero value fails the test
		}
	}
	return r
}

// awaitOwner waits until a node other than those named owns the jobs.
func (sim *simulation) awaitOwner(t *testing.T, nodes []*testNode, not ...*testNode) *testNode {
	t.Helper()
	for from := sim.now(); sim.now()-from < completionLimit; time.Sleep(20 * time.Millisecond) {
		r := sim.storedOwnership()
		for _, n := range nodes {
			if n.Node != r.Owner || r.Released || n.LocalOwner() == nil || !n.LocalOwner().rebuilt.Load() {
				continue
			}
			if !containsNode(not, n) {
				return n
			}
		}
	}
	t.Fatal("no other node owns the jobs")
	return nil
}

func containsNode(nodes []*testNode, n *testNode) bool {
	for _, x := range nodes {
		if x == n {
			return true
		}
	}
	return false
}

// ownerChanges are ways in which owners come and go while the first one, which has lost the store, goes on to extend
// the leases of runs on a worker that only it reaches.
var ownerChanges = map[string]func(t *testing.T, sim *simulation, nodes []*testNode, first *testNode){
	"the owner does not learn that it has released": func(_ *testing.T, sim *simulation, _ []*testNode, first *testNode) {
		sim.muteStore(first.Node, func(r ownership) bool { return r.Released })
		go first.Resign(context.Background())
	},
	"the owner hands over to a larger node and does not learn of it": func(_ *testing.T, sim *simulation, _ []*testNode, first *testNode) {
		sim.muteStore(first.Node, func(r ownership) bool { return r.Released })
		ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
		defer cancel()
		first.LocalOwner().release(ctx)
	},
	"its successor releases at once": func(t *testing.T, sim *simulation, nodes []*testNode, first *testNode) {
		sim.muteStore(first.Node, func(ownership) bool { return true })
		sim.awaitOwner(t, nodes, first).Resign(context.Background())
	},
	"two successors release at once": func(t *testing.T, sim *simulation, nodes []*testNode, first *testNode) {
		sim.muteStore(first.Node, func(ownership) bool { return true })
		second := sim.awaitOwner(t, nodes, first)
		second.Resign(context.Background())
		sim.awaitOwner(t, nodes, first, second).Resign(context.Background())
	},
	"one successor releases and one dies": func(t *testing.T, sim *simulation, nodes []*testNode, first *testNode) {
		sim.muteStore(first.Node, func(ownership) bool { return true })
		second := sim.awaitOwner(t, nodes, first)
		second.Resign(context.Background())
		sim.awaitOwner(t, nodes, first, second).kill()
	},
}

// Guards against giving up runs that an earlier owner still extends the leases of, because the ownership row says that
// it was released: tasks then run twice at once (TWICE).
func TestRunsOutliveOwnersThatMayStillOrder(t *testing.T) {
	for name, change := range ownerChanges {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runOwnerChange(t, change) })
		})
	}
}

func runOwnerChange(t *testing.T, change func(*testing.T, *simulation, []*testNode, *testNode)) {
	t.Helper()
	is := is.New(t)
	sim, nodes, stop := startSimulation(2, 5)
	defer stop()
	sim.setRunTime(14 * time.Second)
	sim.submit("long", "bulk", oneGPU(4))
	time.Sleep(500 * time.Millisecond)
	first := ownerOf(nodes)
	cut := sim.worker("w0")
	if cut.runCount() == 0 {
		cut = sim.worker("w1")
	}
	is.True(cut.runCount() > 0) // the worker that is cut off has runs
	from := sim.now()
	cut.unreachable.set(func(node string) bool { return node != first.Node && sim.now()-from < 20*time.Second })
	change(t, sim, nodes, first)
	is.True(sim.awaitOwner(t, nodes, first) != first)
	time.Sleep(25 * time.Second)
	sim.awaitCompleted(t, []string{"long"}, completionLimit)
	for _, v := range sim.violations {
		t.Error(v)
	}
}

// Guards against giving up runs under leases that are longer than those of the new owner's settings, which may differ
// between nodes while they are restarted: tasks then run twice at once (TWICE).
func TestRunsOutliveOwnersWithShorterLeases(t *testing.T) {
	for name, leases := range map[string][]time.Duration{
		"the next owner":             {maxLease, maxLease / 3, maxLease / 3},
		"the owner after a release":  {maxLease, maxLease / 3, maxLease / 4},
		"the first owner of several": {maxLease, maxLease, maxLease / 3},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				sim, nodes, stop := startSimulation(2, 1)
				defer stop()
				sim.setRunTime(11 * time.Second)
				sim.submit("long", "bulk", oneGPU(4))
				time.Sleep(500 * time.Millisecond)
				cut := sim.worker("w0")
				if cut.runCount() == 0 {
					cut = sim.worker("w1")
				}
				is.True(cut.runCount() > 0) // the worker that is cut off has runs
				from := sim.now()
				first := nodes[0].Node
				cut.unreachable.set(func(node string) bool { return node != first && sim.now()-from < 15*time.Second })
				for i, lease := range leases[1:] {
					n := sim.newNode(fmt.Sprintf("m%d", i), testCores)
					n.Bounds.MaxLease = lease
					n.start(t.Context())
					defer n.kill()
					go nodes[i].Resign(context.Background())
					nodes = append(nodes, sim.awaitOwner(t, []*testNode{n}))
				}
				sim.awaitCompleted(t, []string{"long"}, completionLimit)
				is.Equal(sim.violations, nil)
				time.Sleep(20 * time.Second)
				is.Equal(sim.storedOwnership().lease(0), leases[2]) // those of earlier owners have ended
			})
		})
	}
}

// Guards against an owner that schedules nothing more after the larger node to which it wanted to hand over is gone.
func TestOwnerGoesOnAfterHandOverFails(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		sim, nodes, stop := startSimulation(2, 1)
		defer stop()
		sim.setRunTime(500 * time.Millisecond)
		o := ownerOf(nodes)
		sim.store.refuse.set(func(_, op string) error {
			if op == "commit" {
				return rows.ErrRefused
			}
			return nil
		})
		time.Sleep(time.Second) // a transaction is in flight, so that the release must wait
		o.recordCores(o.Cores * 2)
		time.Sleep(5 * time.Second) // the node tries to hand over, in vain, and the larger node polls no more
		sim.store.refuse.set(nil)
		sim.submit("later", "bulk", model.Step{Tasks: 1, Each: model.Room{Millicores: 1000, MemoryMB: 1000}, EstimateMs: 500})
		sim.awaitCompleted(t, []string{"later"}, 10*time.Second)
		is.Equal(sim.violations, nil)
	})
}

// Guards against an owner that is too busy to hand over: runs end all the time, so that there is always something left to
// store.
func TestBusyOwnerHandsOverToLargerNode(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		sim, nodes, stop := startSimulation(40, 2)
		defer stop()
		sim.store.callTime.set(150 * time.Millisecond)
		rnd := rand.New(rand.NewPCG(1, 1))
		sim.onStart.set(func(m *fakeWorker, task sched.TaskRef) {
			m.runs[task].duration = time.Second + time.Duration(rnd.Int64N(int64(12*time.Second)))
		})
		var ids []string
		for i := range 40 {
			ids = append(ids, fmt.Sprintf("j%d", i))
			sim.submit(ids[i], "bulk", model.Step{Tasks: 50, Each: model.Room{Millicores: 1000, MemoryMB: 1000}, EstimateMs: 5000})
		}
		time.Sleep(2 * time.Second)
		large := sim.newNode("large", 2*testCores)
		large.start(t.Context())
		defer large.kill()
		from := sim.now()
		is.Equal(sim.awaitOwner(t, append(nodes, large), nodes...), large)
		if took := sim.now() - from; took > 5*time.Second {
			t.Errorf("the larger node has owned the jobs after %s", took)
		}
		sim.awaitCompleted(t, ids, completionLimit)
		is.Equal(len(sim.starts), 2000) // no run was given up
		is.Equal(sim.violations, nil)
	})
}

// Guards against tasks that are lost or run twice because a release goes out before all that was decided is stored and
// sent.
func TestReleaseAtAnyMomentLosesNothing(t *testing.T) {
	for after := 0 * time.Millisecond; after < 150*time.Millisecond; after += 5 * time.Millisecond {
		t.Run(after.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				sim, nodes, stop := startSimulation(4, 3)
				defer stop()
				ids := sim.submitAll(30)
				time.Sleep(after)
				o := ownerOf(nodes).LocalOwner()
				o.post(func() { o.releasing, o.releasingSince = true, -releaseGrace }) // nothing is waited for
				sim.awaitCompleted(t, ids, completionLimit)
				is.True(sim.storedOwnership().Epoch > o.epoch)
				is.Equal(sim.violations, nil)
			})
		})
	}
}
