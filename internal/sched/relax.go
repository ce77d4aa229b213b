package sched

import (
	"time"

	"github.com/samber/lo"
)

// relaxAfter is how long work waits for the workers that it should rather run on: those without recent failures, not in
// quarantine, not kept for suspects, and on the best rack. It is well below the 3 s that work may wait beside ample room
// by the users' rules, since its starts take time to be sent too.
const relaxAfter = 2 * time.Second

// mayRelax reports whether tasks of the group have waited for so long that they may use any worker that can run them. On a
// pool of which more than half is in use, room may be all that they wait for; there that holds only for work that has
// failed if the workers without recent failures could not hold it even if nothing else ran.
func (e *Engine) mayRelax(g *group, now Moment) bool {
	ample := e.utilization(g.queue.Pool) <= yieldMinUtilization
	if !ample && !g.needsHealthyWorkers() || len(g.longWaiting(now)) == 0 {
		return false
	}
	return ample || !e.healthyWorkersHold(g, now)
}

// longWaiting returns the waiting tasks that have not run for relaxAfter, though they could. A gang waits as a whole.
func (g *group) longWaiting(now Moment) []int {
	if now.Steady-g.batch.readyAt < relaxAfter {
		return nil
	}
	out := lo.Filter(g.waiting, func(i, _ int) bool { return now.Steady-g.batch.Tasks[i].endedAt >= relaxAfter })
	if g.step.Gang && len(out) < len(g.waiting) {
		return nil
	}
	return out
}

// healthyWorkersHold reports whether the workers without recent failures could hold the group, or one of its tasks if it
// is not a gang, if nothing else ran there.
func (e *Engine) healthyWorkersHold(g *group, now Moment) bool {
	need, limit, wanted := g.step.Need(), e.maxPerWorker(g), 1
	if g.step.Gang {
		wanted = len(g.waiting)
	}
	fits := 0
	for _, w := range e.sortedWorkers {
		if w.Pool == g.queue.Pool && g.eligible(w, true, now) && (g.queue.Advice == nil || !g.batch.advice.denied(w.ID)) {
			if fits += w.Room.Times(need, limit); fits >= wanted {
				return true
			}
		}
	}
	return false
}

// placeOrRelax places the group as place does, and then those of its tasks that may use any worker by now. It reports
// whether no task is left or capacity was reserved. Relaxed work preempts nothing: a worker in quarantine may not be
// worth it.
func (e *Engine) placeOrRelax(g *group, now Moment) bool {
	if e.place(g, now) {
		return true
	}
	if !g.relaxable {
		return false
	}
	all := g.waiting
	if g.waiting = g.longWaiting(now); len(g.waiting) > 0 {
		g.relaxed = true
		e.place(g, now)
		g.relaxed = false
	}
	g.waiting = lo.Filter(all, func(i, _ int) bool { return g.batch.Tasks[i].Phase == Waiting })
	return len(g.waiting) == 0
}
