package leader

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"greengageline/internal/rows"
)

// Pattern: callers submit to all nodes at once, or while there is no owner. Guards against nodes that accept together more
// than the owner has left.
func TestAllowanceOfNodes(t *testing.T) {
	is := is.New(t)
	var a allowance
	is.True(a.take(1 << 40)) // no bound is known
	a = allowance{}
	a.setUnknown(64 << 20)
	is.True(a.take(100 << 10))
	is.True(!a.take(100 << 10)) // nothing is known of the owner yet
	a = allowance{}
	poll := func(at time.Duration) { a.polled(Pulse{Bounded: true, Free: 40 << 20, Nodes: 10}, at) }
	var taken int64
	takeAll := func() {
		for taken = 0; a.take(10 << 10); taken += 10 << 10 {
		}
	}
	poll(10 * time.Second)
	takeAll()
	is.Equal(taken>>20, int64(1)) // half of a tenth, rounded down
	poll(11 * time.Second)
	takeAll()
	is.Equal(taken, int64(0)) // the owner may not know of the jobs yet
	poll(13 * time.Second)
	takeAll()
	is.Equal(taken, int64(0))
	poll(16 * time.Second)
	takeAll()
	is.True(taken > 0)
	a.giveBack(10 << 10)
	is.True(a.take(10 << 10)) // what was not stored does not count
	a.polled(Pulse{Bounded: true, Free: 1 << 40, Nodes: 10, Rebuilding: true}, time.Minute)
	is.True(!a.take(1 << 30)) // a new owner does not know yet what it has left
	a.polled(Pulse{Bounded: true, Free: -1, Nodes: 10}, time.Minute)
	is.True(!a.take(1)) // the owner has nothing left
}

// Guards against state that stays counted after its job has been removed, and against jobs that are not counted.
func TestStateIsCountedUntilJobsAreRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		sim, nodes, stop := startSimulation(2, 2)
		defer stop()
		o := ownerOf(nodes).LocalOwner()
		o.budget.Limit = 16 << 20
		held := func() (total int64) {
			is.True(o.postAndWait(t.Context(), func() { total = o.budget.Limit - o.budget.Left() }))
			return total
		}
		sim.submit("a", "bulk", oneGPU(4))
		sim.cancel("unknown")
		admission, exact, err := o.lead.Admit("ws", 1<<20)
		is.NoErr(err)
		is.True(exact) // the owner itself decides
		_, _, err = o.lead.Admit("ws", 15<<20)
		is.Equal(err, ErrFull)
		time.Sleep(2 * time.Second)
		is.True(held() > 1<<20)
		admission.NotStored(true)
		sim.awaitCompleted(t, []string{"a"}, time.Minute)
		is.True(held() > 0 && held() < 1<<20)
		time.Sleep(2*o.lead.Bounds.EndedRetention + 3*purgeInterval)
		is.Equal(held(), int64(0))
		is.Equal(o.budget.Used(), int64(0))

		admission, _, err = o.lead.Admit("ws", 1<<20)
		is.NoErr(err)
		is.True(admission.Stored(rows.Row{Table: WorkTable, Key: "b", Value: []byte(`{"id":"b","workspace":"ws","steps":[{"tasks":1,"each":{}}]}`), Version: 1 << 40}))
		time.Sleep(time.Second)
		is.True(held() > 0 && held() < 1<<20) // the job itself is counted in place of the reservation
		is.Equal(len(o.stateBytes), 1)
	})
}
