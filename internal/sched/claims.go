package sched

// clearClaims removes the claims of the last pass.
func (e *Engine) clearClaims() {
	if len(e.claims) == 0 {
		return
	}
	clear(e.claims)
	clear(e.poolClaims)
	for _, w := range e.sortedWorkers {
		w.claimed = false
	}
}

// claimRoom claims the workers that the group could use for the rest of the pass, because the group must
// wait. Groups that rank after it and yield are not placed there: a gang needs room on several workers at the
// same time, and smaller tasks would take each part of it as it becomes free. A group that is too late to be
// of use claims nothing, and neither does one that could not be placed if nothing else ran.
func (e *Engine) claimRoom(g *group, now Moment) {
	key := g.shape()
	if g.lateness == tooLate || g.step.Lasts || e.claims[key] {
		return
	}
	e.claims[key] = true
	if rank, ok := e.poolClaims[g.queue.Pool]; ok && rank <= g.rank() {
		return // all workers are claimed by a group that ranks no later
	}
	var usable []*worker
	fits, limit, healthyOnly := 0, e.maxPerWorker(g), g.needsHealthyWorkers()
	inPool := 0
	for _, w := range e.sortedWorkers {
		if w.Pool == g.queue.Pool && w.schedulable(now) {
			inPool++
		}
		if w.Pool == g.queue.Pool && g.eligible(w, healthyOnly, now) && (g.queue.Advice == nil || !g.batch.advice.denied(w.ID)) {
			usable = append(usable, w)
			fits += w.Room.Times(g.step.Need(), limit)
		}
	}
	if g.step.Gang && fits < len(g.waiting) {
		return
	}
	for _, w := range usable {
		if !w.claimed || g.rank() < w.claimRank {
			w.claimed, w.claimRank = true, g.rank()
		}
	}
	if len(usable) == inPool {
		e.poolClaims[g.queue.Pool] = g.rank()
	}
}

// mustYield reports whether the group must leave room to waiting groups that rank before it: if it can
// still be in time after a wait, on a pool that is well used. Long-running work never yields.
func (e *Engine) mustYield(g *group) bool {
	return g.queue.Priority > 0 && !g.step.Lasts && g.timeLeft > yieldTimeLeft && e.utilization(g.queue.Pool) > yieldMinUtilization
}
