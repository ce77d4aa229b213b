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

// startBusy starts a simulation of short runs whose store takes three transactions a second.
func startBusy() (sim *simulation, stop func()) {
	sim, _, stop = startSimulation(8, 1)
	sim.store.mu.Lock()
	sim.store.txnTime = 300 * time.Millisecond
	sim.store.mu.Unlock()
	sim.setRunTime(300 * time.Millisecond)
	return sim, stop
}

// Guards against work that waits longer than what was accepted after it, since records wait for the store in the order
// of their ids (LOST).
func TestRecordsAreStoredInTurn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		sim, stop := startBusy()
		defer stop()
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

// Guards against ends that are never acknowledged, and listed again by each hold, while records wait for the store.
func TestEndsAreAcknowledgedWhileRecordsWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		sim, stop := startBusy()
		defer stop()
		count := func() (ended, acked int) {
			for _, m := range sim.workers {
				m.mu.Lock()
				ended += int(m.lastEnd)
				acked += int(m.lastEnd) - len(m.ended)
				m.mu.Unlock()
			}
			return ended, acked
		}
		n := 0
		for s := range 10 {
			for range 100 {
				for range 3 {
					sim.submit(fmt.Sprintf("j%06d", n), "bulk", smallTasks(1))
					n++
				}
				time.Sleep(10 * time.Millisecond)
			}
			ended, acked := count()
			t.Logf("%d s: %d submitted, %d ended, %d acknowledged", s+1, n, ended, acked)
		}
		ended, acked := count()
		is.True(acked > ended/2)
	})
}
