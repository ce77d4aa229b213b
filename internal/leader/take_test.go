package leader

import (
	"context"
	"fmt"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"greengageline/internal/rows"
)

// A small owner hands over to a larger node that joins later.
func TestOwnershipMovesToLargerNode(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		sim, nodes, stop := startSimulation(1, 3)
		defer stop()
		is.True(ownerOf(nodes) != nil)
		large := sim.newNode("large", 2*testCores)
		large.start(context.Background())
		defer large.kill()
		time.Sleep(10 * time.Second)
		is.True(large.LocalOwner() != nil)
	})
}

// storeFailures are the ways in which a store that is away for a node ends a call.
var storeFailures = map[string]func(ctx context.Context) error{
	"refused": func(context.Context) error { return rows.ErrRefused },
	"without an answer": func(ctx context.Context) error {
		<-ctx.Done()
		return rows.ErrOutcomeUnknown
	},
}

// An owner that answers polls, but whose transactions the store refuses or does not answer, must be
// replaced as fast as a dead one: once its row has been unchanged for takeoverAge.
func TestOwnerWithoutStoreIsReplacedInTime(t *testing.T) {
	for name, answer := range storeFailures {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				sim, nodes, stop := startSimulation(2, 3)
				defer stop()
				old := ownerOf(nodes)
				sim.store.refuse.set(func(node, _ string) error {
					if node != old.Node {
						return nil
					}
					ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
					defer cancel()
					return answer(ctx)
				})
				from := sim.now()
				limit := takeoverAge + 2*pollInterval + maxTakeDelay
				for sim.now()-from < limit && !slices.ContainsFunc(nodes, func(n *testNode) bool { return n != old && n.LocalOwner() != nil }) {
					time.Sleep(10 * time.Millisecond)
				}
				is.True(sim.now()-from < limit)
			})
		})
	}
}

// Pattern: the store is away for all nodes and comes back. The owner answers polls all the while, so that it
// keeps the ownership: another one would only read everything anew.
func TestOwnershipStaysWhenTheStoreComesBack(t *testing.T) {
	for name, answer := range storeFailures {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				sim, nodes, stop := startSimulation(5, 3)
				defer stop()
				old := ownerOf(nodes)
				epoch := old.LocalOwner().epoch
				var away atomic.Bool
				sim.store.refuse.set(func(string, string) error {
					if !away.Load() {
						return nil
					}
					ctx, cancel := context.WithTimeout(context.Background(), 400*time.Millisecond)
					defer cancel()
					return answer(ctx)
				})
				for range 5 {
					away.Store(true)
					time.Sleep(3 * time.Second)
					away.Store(false)
					time.Sleep(3 * time.Second)
				}
				is.Equal(ownerOf(nodes), old)
				is.Equal(old.LocalOwner().epoch, epoch)
			})
		})
	}
}

// A new owner whose reads the store refuses, as it does above its rate limit, keeps the ownership while it
// retries. If it were replaced, the next owner's reads would only add to the load, and so on without end.
func TestNewOwnerKeepsOwnershipWhileReadsAreRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		sim, nodes, stop := startSimulation(2, 5)
		defer stop()
		ids := sim.submitAll(6)
		time.Sleep(300 * time.Millisecond)
		ownerOf(nodes).kill()
		from := sim.now()
		sim.store.refuse.set(func(_, op string) error {
			if op == "get "+RecordTable && sim.now()-from < 4500*time.Millisecond {
				return rows.ErrRefused
			}
			return nil
		})
		time.Sleep(6 * time.Second)
		is.True(ownerOf(nodes) != nil)
		is.Equal(ownerOf(nodes).LocalOwner().epoch, int64(2))
		sim.awaitCompleted(t, ids, completionLimit)
		is.Equal(sim.violations, nil)
	})
}

// An owner that can't read the stored state gives the ownership up after rebuildTimeout, so that another
// node may try.
func TestOwnerThatCannotReadIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		sim, nodes, stop := startSimulation(2, 3)
		defer stop()
		old := ownerOf(nodes)
		var next atomic.Pointer[string]
		sim.store.refuse.set(func(node, op string) error {
			if op != "get "+WorkTable || node == "test" {
				return nil
			}
			next.CompareAndSwap(nil, &node)
			if node == *next.Load() {
				return rows.ErrRefused
			}
			return nil
		})
		old.kill()
		ids := sim.submitAll(3)
		time.Sleep(rebuildTimeout + 6*time.Second)
		is.True(ownerOf(nodes) != nil)
		is.True(ownerOf(nodes).Node != *next.Load())
		sim.awaitCompleted(t, ids, completionLimit)
		is.Equal(sim.violations, nil)
	})
}

// maxTakeDelay bounds the take delay of a node with testCores.
const maxTakeDelay = takeJitter + 2*takeDelayOneCore*10/4

// Where there are larger nodes, a small node leaves the ownership to them.
func TestLargerNodesTakeOwnershipFirst(t *testing.T) {
	for seed := range 12 {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				sim := newSimulation(2)
				time.Sleep(time.Duration(seed) * 37 * time.Millisecond)
				nodes := sim.startNodes(context.Background(), 0.8, 0.8, 0.8, 0.2, 0.2, 0.2, 0.2, 0.2)
				defer func() {
					for _, n := range nodes {
						n.kill()
					}
					time.Sleep(15 * time.Second)
				}()
				time.Sleep(3 * settleTime) // a large node gets the ownership
				old := ownerOf(nodes)
				is.Equal(old.Cores, 0.8)
				old.kill()
				for ownerOf(nodes) == nil || ownerOf(nodes) == old {
					time.Sleep(5 * time.Millisecond)
				}
				is.Equal(ownerOf(nodes).Cores, 0.8)
				is.Equal(sim.violations, nil)
			})
		})
	}
}

// Patterns: the store turns the owner alone away, or loses a third of all answers. The first owner must be
// replaced soon, the second must stay.
func TestOwnerIsReplacedSoonOnlyWhenTurnedAway(t *testing.T) {
	cases := map[string]struct {
		turnAway bool
		maxGap   time.Duration // from the fault to the next owner; 0 means that there must be none
	}{
		"owner turned away": {true, stuckTakeoverAge + 2*pollInterval + maxTakeDelay},
		"answers lost":      {false, 0},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				sim, nodes, stop := startSimulation(5, 3)
				defer stop()
				old := ownerOf(nodes)
				var calls atomic.Int64
				if tc.turnAway {
					sim.store.refuse.set(func(node, _ string) error {
						if node == old.Node {
							return rows.ErrRefused
						}
						return nil
					})
				} else {
					sim.store.lose.set(func(string) bool { return calls.Add(1)%3 == 0 })
				}
				from := sim.now()
				replaced := func() bool {
					return slices.ContainsFunc(nodes, func(n *testNode) bool { return n != old && n.LocalOwner() != nil })
				}
				for sim.now()-from < 5*time.Second && !replaced() {
					time.Sleep(10 * time.Millisecond)
				}
				is.Equal(replaced(), tc.turnAway)
				is.True(!tc.turnAway || sim.now()-from < tc.maxGap)
			})
		})
	}
}
