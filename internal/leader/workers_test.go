package leader

import (
	"context"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/samber/lo"

	"greengageline/internal/rows"
)

// drainLimit is how long after its entry says that a worker drains it may still be told to start something, by the
// users' rules.
const drainLimit = 2 * time.Second

// Guards against starts on a worker that drains because the list of workers was read over a dead connection.
func TestDrainingIsSeenOverDeadConnection(t *testing.T) {
	for name, dead := range map[string]int64{"the first read": 1, "no read": 0} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				sim, _, stop := startSimulation(2, 1)
				defer stop()
				var reads atomic.Int64
				sim.beforeList.set(func(ctx context.Context) error {
					if reads.Add(1) > dead {
						return nil
					}
					<-ctx.Done()
					return rows.ErrOutcomeUnknown
				})
				m := sim.worker("w0")
				m.leaving.set(true)
				time.Sleep(drainLimit)
				sim.submit("a", "bulk", oneGPU(16)) // fills both workers, if both are used
				time.Sleep(200 * time.Millisecond)
				m.mu.Lock()
				n := len(m.runs)
				m.mu.Unlock()
				is.Equal(n, 0) // nothing starts on the worker that drains
			})
		})
	}
}

// Guards against stopping the runs of a worker that was silent for a while: they make progress that nobody reports.
func TestSilentWorkersRunsGoOn(t *testing.T) {
	for name, silent := range map[string]time.Duration{
		"for 1 s":   time.Second,
		"for 3 s":   3 * time.Second,
		"for 3.2 s": 3200 * time.Millisecond, // the leases have not ended
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				sim, _, stop := startSimulation(1, 1)
				defer stop()
				sim.setRunTime(12 * time.Second)
				sim.submit("a", "bulk", oneGPU(8))
				time.Sleep(2 * time.Second)
				from := sim.now()
				sim.worker("w0").unreachable.set(func(string) bool { return sim.now()-from < silent })
				sim.awaitCompleted(t, []string{"a"}, completionLimit)
				is.Equal(len(sim.starts), 8) // each task has run once
				is.Equal(sim.violations, nil)
			})
		})
	}
}

// Guards against a worker that is never used again once its runs were given up, because nothing asks whether it
// answers.
func TestSilentWorkerIsUsedAgain(t *testing.T) {
	for name, silent := range map[string]time.Duration{"for 12 s": 12 * time.Second, "for a minute": time.Minute} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				sim, _, stop := startSimulation(2, 1)
				defer stop()
				sim.setRunTime(3 * time.Second)
				sim.submit("a", "bulk", oneGPU(16))
				time.Sleep(500 * time.Millisecond)
				is.Equal(sim.running(), 16)
				from := sim.now()
				m := sim.worker("w0")
				m.unreachable.set(func(string) bool { return sim.now()-from < silent })
				sim.awaitCompleted(t, []string{"a"}, completionLimit)
				time.Sleep(max(0, from+silent+maxProbePause+time.Second-sim.now()))
				m.runTime.set(10 * time.Second)
				sim.submit("b", "bulk", oneGPU(16)) // needs both workers
				time.Sleep(time.Second)
				is.Equal(sim.startsOf("b"), 16)
				is.Equal(sim.violations, nil)
			})
		})
	}
}

// startsOf counts the starts of a job's tasks.
func (sim *simulation) startsOf(job string) int {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return lo.CountBy(sim.starts, func(task string) bool { return strings.HasPrefix(task, job+".") })
}

// Guards against leases that end because one hold went over a dead connection: the next one must be in time.
func TestHoldWaitLeavesTimeForAnotherHold(t *testing.T) {
	for name, c := range map[string]struct{ lease, want time.Duration }{
		"usual":       {6 * time.Second, maxHoldWait},
		"long":        {time.Minute, maxHoldWait},
		"short":       {4 * time.Second, 4 * time.Second / 3},
		"shortest":    {3 * time.Second, time.Second},
		"not limited": {0, maxHoldWait},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			o := &Owner{lead: &Candidate{Bounds: Bounds{MaxLease: c.lease}}}
			wait := o.holdWait()
			is.Equal(wait, c.want)
			if c.lease > 0 {
				// The last lease began up to a wait before the lost hold was sent.
				is.True(2*wait+holdSlack+holdRetryPause < c.lease)
			}
		})
	}
}
