package leader

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"greengageline/internal/sched"
)

// Guards against work that waits longer than what was accepted after it, since records wait for the store in the order
// of their ids (LOST).
func TestRecordsAreStoredInTurn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		sim, _, stop := startSimulation(8, 1)
		defer stop()
		sim.store.mu.Lock()
		sim.store.txnTime = 300 * time.Millisecond
		sim.store.mu.Unlock()
		sim.setRunTime(300 * time.Millisecond)
		began := map[string]time.Duration{}
		submitted := map[string]time.Duration{}
		sim.onStart.set(func(_ *fakeWorker, task sched.TaskRef) {
			if _, ok := began[task.Job]; !ok {
				began[task.Job] = sim.now()
			}
		})
		rnd := rand.New(rand.NewPCG(1, 1))
		submit := func(id string) {
			submitted[id] = sim.now()
			sim.submit(id, "bulk", smallTasks(1))
		}
		for i := range 3000 {
			if i == 300 {
				submit("ffffffffffffffff")
			}
			submit(fmt.Sprintf("%016x", rnd.Uint64()>>1))
			time.Sleep(10 * time.Millisecond / 3)
		}
		sim.workersMu.Lock()
		defer sim.workersMu.Unlock()
		at, ok := began["ffffffffffffffff"]
		if !ok {
			at = sim.now()
		}
		later := 0
		for id, s := range submitted {
			if b, ok := began[id]; ok && s > submitted["ffffffffffffffff"]+3*time.Second && b < at {
				later++
			}
		}
		t.Logf("began: %v, %s after it was submitted, behind %d that were submitted 3 s later", ok, at-submitted["ffffffffffffffff"], later)
		is.Equal(later, 0)
	})
}
