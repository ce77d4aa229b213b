package sched

import (
	"slices"
	"time"

	"greengageline/pkg/model"
)

// completePercent is the progress of a run that has done its work. A gang member then waits for the
// others, so its progress rightly stays the same.
const completePercent = 100

// stopStalledRuns stops the runs whose progress has not changed for longer than stallTimeout, so that
// they restart on another worker, and counts a failure of their workers.
func (e *Engine) stopStalledRuns(now Moment) {
	if now.Steady-e.lastStallCheck < stallCheckInterval && e.lastStallCheck != 0 {
		return
	}
	e.lastStallCheck = now.Steady
	var stalled []TaskRef
	for _, w := range e.sortedWorkers {
		for ref, t := range w.tasks {
			if w.Silent {
				t.progressAt = now.Steady // without reports, nothing tells whether the run makes progress
				continue
			}
			j := e.jobs[ref.Job]
			if j == nil || !t.Confirmed || t.Stopping || t.percent >= completePercent || j.Work.Steps[ref.Step].Lasts {
				continue
			}
			if now.Steady-t.progressAt > stallTimeout(&j.Work.Steps[ref.Step], e.slowness(w)) {
				stalled = append(stalled, ref)
			}
		}
		slices.SortFunc(stalled, compareRefs)
		for _, ref := range stalled {
			e.orderStop(ref, w.tasks[ref], "no progress within the stall time-out")
			e.recordFailure(w, ref.Job, now)
		}
		stalled = stalled[:0]
	}
}

// slowness returns how many times as long a run may go without progress on the worker because that is slow. It is
// bounded, as a worker on which runs hang looks slow too.
func (e *Engine) slowness(w *worker) float64 {
	if !e.uneven[w.Pool] || !w.speed.known {
		return 1
	}
	return min(maxSlowness, max(1, w.speed.factor))
}

// stallTimeout returns how long a run of the step may go without progress before it counts as stalled, on a worker that
// is slower by that factor.
func stallTimeout(s *model.Step, slowness float64) time.Duration {
	return max(minStallTimeout, time.Duration(slowness*stallFraction*float64(s.EstimateMs))*time.Millisecond)
}
