package place

import (
	"cmp"
	"fmt"
	"slices"

	"greengageline/pkg/model"
)

// hold reserves allocations for a blocked gang. Other jobs start there only if they are expected to
// end before readyMs, when the gang is expected to start; this does not apply to jobs that use a claim
// or are urgent.
type hold struct {
	job     *job
	allocs  []allocation
	readyMs int64
}

const (
	// maxHeldFraction bounds the held accelerators, as a fraction of all.
	maxHeldFraction = 0.25
	// maxHoldRacks bounds the racks that are considered for one hold.
	maxHoldRacks = 64
	// maxMoves bounds how often one job is migrated for others.
	maxMoves = 2
	// holdRetryMs is the wait before the next attempt after no hold could be made for a job.
	holdRetryMs = 30_000
)

// makeHolds makes holds for blocked gangs, the longest blocked first.
func (e *Engine) makeHolds() {
	if e.policy.MaxHolds == 0 {
		return
	}
	var blocked []*job
	for _, q := range e.queueOrder {
		j := q.jobs[0]
		if e.wantsHold(j) {
			blocked = append(blocked, j)
		}
	}
	slices.SortFunc(blocked, compareJobs)
	for _, j := range blocked {
		e.makeHold(j)
	}
}

// wantsHold reports whether the job should get a hold now: it needs at least two accelerators, is
// within its quota, and arrived long enough ago.
func (e *Engine) wantsHold(j *job) bool {
	if j.hold != nil || j.accelerators() < 2 || e.now < j.holdRetryAtMs {
		return false
	}
	if e.overQuota(j) {
		return false
	}
	return e.now-j.req.ArrivedMs >= e.policy.HoldAfterMs
}

// makeHold holds the allocations that become free soonest and drops the holds that are in the way.
// Jobs that can be migrated count as free now, but keep running until nothing else blocks the gang.
func (e *Engine) makeHold(j *job) {
	p := e.bestPlan(j, e.candidateSets(j))
	if p == nil || !e.admitHold(j) {
		j.holdRetryAtMs = e.now + holdRetryMs
		return
	}
	for _, a := range p.allocs {
		for _, h := range slices.Clone(e.holds) {
			if a.w.held > 0 && h.includes(a.w) {
				e.dropHold(h, fmt.Sprintf("job %s has waited longer", j.req.ID))
			}
		}
	}
	e.addHold(j, p.allocs, p.readyMs)
	e.moveClaimsOff(j.hold)
	e.migrateFor(j.hold)
}

// admitHold reports whether the limits leave room for a hold of j besides those of jobs that arrived
// before it. If so, it drops holds of later jobs that exceed the limits.
func (e *Engine) admitHold(j *job) bool {
	size := 0
	for _, z := range e.pool.zones {
		size += z.index[viewSize].total[1]
	}
	limit := int(maxHeldFraction * float64(size))
	byAge := slices.Clone(e.holds)
	slices.SortFunc(byAge, func(a, b *hold) int { return compareJobs(a.job, b.job) })
	held, count := j.accelerators(), 1
	for _, h := range byAge {
		fits := held+h.job.accelerators() <= limit && count < e.policy.MaxHolds
		if !fits && compareJobs(h.job, j) < 0 {
			return false
		}
		if !fits {
			e.dropHold(h, fmt.Sprintf("job %s has waited longer", j.req.ID))
			continue
		}
		held += h.job.accelerators()
		count++
	}
	return true
}

// addHold records the hold and reserves its allocations.
func (e *Engine) addHold(j *job, allocs []allocation, readyMs int64) {
	h := &hold{job: j, allocs: allocs, readyMs: readyMs}
	j.hold = h
	e.holds = append(e.holds, h)
	for _, a := range allocs {
		a.w.held += a.tasks * j.req.Shape.Each
		e.pool.updateIndex(a.w)
	}
	e.emit(Decision{
		Kind: Hold, Job: j.req.ID, Workspace: j.req.Workspace, Accelerators: j.accelerators(),
		Reason: fmt.Sprintf("blocked for %d s; the places should be free in %d s",
			(e.now-j.req.ArrivedMs)/1000, (readyMs-e.now)/1000),
	})
}

// heldWorkers returns the workers of all holds, or nil if there are none.
func (e *Engine) heldWorkers() map[*worker]bool {
	if len(e.holds) == 0 {
		return nil
	}
	out := map[*worker]bool{}
	for _, h := range e.holds {
		for _, a := range h.allocs {
			out[a.w] = true
		}
	}
	return out
}

// dropHold ends a hold and reports it if there is a reason. A nil hold or one that is already dropped
// is ignored.
func (e *Engine) dropHold(h *hold, reason string) {
	if h == nil || h.job.hold != h {
		return
	}
	h.job.hold = nil
	e.holds = slices.DeleteFunc(e.holds, func(x *hold) bool { return x == h })
	for _, a := range h.allocs {
		a.w.held -= a.tasks * h.job.req.Shape.Each
		e.pool.updateIndex(a.w)
	}
	e.forgetFailedSearches()
	if reason != "" {
		e.emit(Decision{Kind: Release, Job: h.job.req.ID, Workspace: h.job.req.Workspace, Reason: reason})
	}
}

// includes reports whether the hold has an allocation on the worker.
func (h *hold) includes(w *worker) bool {
	return slices.ContainsFunc(h.allocs, func(a allocation) bool { return a.w == w })
}

// seniorHeldWorkers returns the workers held for jobs that arrived before j.
func (e *Engine) seniorHeldWorkers(j *job) map[*worker]bool {
	out := map[*worker]bool{}
	for _, h := range e.holds {
		if compareJobs(h.job, j) > 0 {
			continue
		}
		for _, a := range h.allocs {
			out[a.w] = true
		}
	}
	return out
}

// dropHoldsOn drops the holds on a worker that no longer takes jobs.
func (e *Engine) dropHoldsOn(w *worker) {
	for _, h := range slices.Clone(e.holds) {
		if h.includes(w) {
			e.dropHold(h, fmt.Sprintf("worker %s of the held places is gone", w.vm.ID))
		}
	}
}

// startHeld starts the jobs whose holds are ready.
func (e *Engine) startHeld() {
	for _, h := range slices.Clone(e.holds) {
		if h.job.hold != h || !h.ready() {
			continue
		}
		mode := model.Spare
		if h.job.preemptible() {
			mode = model.Borrowed
		}
		e.place(h.job, mode, nil, h.allocs, "its held places are free")
	}
}

// ready reports whether the job can start on all its held allocations now.
func (h *hold) ready() bool {
	for _, a := range h.allocs {
		n := a.tasks * h.job.req.Shape.Each
		if min(a.w.free(), project(a.w).room(h.job, a.w)) < n {
			return false
		}
	}
	return true
}

// enforceHolds moves claims and jobs off held workers, and evicts borrowers that stay there beyond the
// ready time and the policy's grace.
func (e *Engine) enforceHolds() {
	for _, h := range slices.Clone(e.holds) {
		if h.job.hold != h {
			continue // dropped for another hold
		}
		e.moveClaimsOff(h)
		e.migrateFor(h)
		if e.now < h.readyMs+e.policy.HoldGraceMs {
			continue
		}
		for _, a := range h.allocs {
			e.evictOverstaying(h, a)
		}
		if !h.ready() && !slices.ContainsFunc(h.allocs, func(a allocation) bool { return stoppingOn(a.w) > 0 }) {
			// The rest can't be evicted. Plan the hold again: most likely the same workers are
			// still the first to become free.
			j := h.job
			e.dropHold(h, "")
			e.makeHold(j)
		}
	}
}

// evictOverstaying evicts borrowers until the allocation's accelerators are free or will be once those
// evictions end.
func (e *Engine) evictOverstaying(h *hold, a allocation) {
	need := a.tasks * h.job.req.Shape.Each
	for a.w.free()+stoppingOn(a.w) < need {
		victim := e.cheapestVictim(a.w, func(x *job) bool { return evictableFor(x, h.job) })
		if victim == nil {
			return
		}
		e.evict(victim, fmt.Sprintf("overstays on places held for job %s", h.job.req.ID))
	}
}

// tryBackfill places the job on held workers if it is expected to end before the hold's ready time.
func (e *Engine) tryBackfill(j *job) bool {
	if len(e.holds) == 0 {
		return false
	}
	endMs := e.now + e.estimator.upperBound(j.req)
	for _, h := range e.holds {
		if endMs > h.readyMs || h.job == j {
			continue
		}
		if allocs := h.gap(j); allocs != nil {
			mode := model.Spare
			if j.preemptible() {
				mode = model.Borrowed
			}
			e.place(j, mode, nil, allocs, fmt.Sprintf("ends before job %s needs the places", h.job.req.ID))
			return true
		}
	}
	return false
}

// gap returns allocations for the whole job within the hold, or nil.
func (h *hold) gap(j *job) (allocs []allocation) {
	n := j.req.Shape.Tasks
	for _, a := range h.allocs {
		room := min(a.w.free(), project(a.w).room(j, a.w))
		if j.avoid[a.w] {
			continue
		}
		if take := min(room/j.req.Shape.Each, n); take > 0 {
			allocs = addTasks(allocs, a.w, take)
			n -= take
		}
	}
	if n > 0 {
		return nil
	}
	return allocs
}

// movable reports whether x may be migrated for j: it must be cheap to restart, smaller than j, and
// not already migrated maxMoves times. The limits keep jobs from migrating each other in turn.
func (e *Engine) movable(x, j *job) bool {
	if x.mode != model.Borrowed || x.stopping || x.state != jobStarted || e.policy.MigrateGain <= 0 {
		return false
	}
	cheap := x.req.Checkpoint || e.now-x.startedMs <= e.policy.MoveCostMs
	return cheap && x.moves < maxMoves && x.accelerators() < j.accelerators()
}

// migrateFor migrates jobs off the held workers once that alone makes the hold ready and is worth it:
// the waiting that it saves the gang must outweigh the cost of the migrations by the policy's gain.
func (e *Engine) migrateFor(h *hold) {
	var migrating []*job
	wait, cost := int64(0), int64(0)
	for _, a := range h.allocs {
		need := a.tasks * h.job.req.Shape.Each
		projected := project(a.w)
		for _, x := range e.movableJobs(h.job, a.w) {
			if min(a.w.size-projected.nonBorrowed-projected.borrowed, projected.room(h.job, a.w)) >= need {
				break
			}
			projected = projected.without(x, e.usedOn(x, a.w))
			if slices.Contains(migrating, x) {
				continue
			}
			migrating = append(migrating, x)
			wait = max(wait, e.expectedEnd(x)-e.now)
			cost += e.policy.MoveCostMs * int64(x.accelerators())
		}
		if projected.room(h.job, a.w) < need {
			return
		}
	}
	if float64(wait)*float64(h.job.accelerators()) < e.policy.MigrateGain*float64(cost) {
		return
	}
	for _, x := range migrating {
		x.moves++
		e.evict(x, fmt.Sprintf("moves so that job %s can start", h.job.req.ID))
	}
}

// movableJobs returns the jobs on the worker that may be migrated for j, those with the least lost
// work first.
func (e *Engine) movableJobs(j *job, w *worker) []*job {
	var out []*job
	for _, x := range w.jobs {
		if e.movable(x, j) {
			out = append(out, x)
		}
	}
	slices.SortStableFunc(out, func(a, b *job) int {
		return cmp.Or(cmp.Compare(e.evictionLoss(a), e.evictionLoss(b)), cmp.Compare(a.req.ID, b.req.ID))
	})
	return out
}
