package place

import (
	"cmp"
	"fmt"
	"slices"

	"greengageline/pkg/model"
)

// hold keeps places for a blocked gang. Nothing new starts there but what ends
// before until, when the gang is expected to start.
type hold struct {
	job   *job
	spots []spot
	until int64 // ms
}

const (
	// maxHeldShare bounds the part of all accelerators under holds.
	maxHeldShare = 0.25
	// maxHoldRacks bounds the racks that are weighed for one hold.
	maxHoldRacks = 64
	// maxMoves is how often one job is moved for others.
	maxMoves = 2
	// holdRetryMs is the wait after no hold could be made for a job.
	holdRetryMs = 30_000
)

// considerHolds makes holds for the jobs that have been blocked longest.
func (e *Engine) considerHolds() {
	if e.policy.MaxHolds == 0 {
		return
	}
	var blocked []*job
	for _, l := range e.order {
		j := l.jobs[0]
		if e.wantsHold(j) {
			blocked = append(blocked, j)
		}
	}
	slices.SortFunc(blocked, compareJobs)
	for _, j := range blocked {
		e.makeHold(j)
	}
}

func (e *Engine) wantsHold(j *job) bool {
	if j.hold != nil || j.accelerators() < 2 || e.now < j.holdAfter {
		return false
	}
	if e.overQuota(j) {
		return false
	}
	return e.now-j.req.ArrivedMs >= e.policy.HoldAfterMs
}

// makeHold holds the places that come free soonest, counting jobs that can be
// moved as free: they run on there until nothing else is in the way.
func (e *Engine) makeHold(j *job) {
	p := e.soonest(j, e.candidateSets(j))
	if p == nil || !e.yieldHolds(j) {
		j.holdAfter = e.now + holdRetryMs
		return
	}
	for _, s := range p.spots {
		for _, h := range slices.Clone(e.holds) {
			if s.w.held > 0 && h.on(s.w) {
				e.dropHold(h, fmt.Sprintf("job %s has waited longer", j.req.ID))
			}
		}
	}
	e.addHold(j, p.spots, p.until)
	e.stepAside(j.hold)
	e.moveFor(j.hold)
}

// yieldHolds reports whether the bounds leave room for a hold of j beside those
// of jobs that arrived before it, and gives up later ones that are in the way.
func (e *Engine) yieldHolds(j *job) bool {
	size := 0
	for _, z := range e.pool.zones {
		size += z.index[viewSize].total[1]
	}
	limit := int(maxHeldShare * float64(size))
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

func (e *Engine) addHold(j *job, spots []spot, until int64) {
	h := &hold{job: j, spots: spots, until: until}
	j.hold = h
	e.holds = append(e.holds, h)
	for _, s := range spots {
		s.w.held += s.tasks * j.req.Shape.Each
		e.pool.update(s.w)
	}
	e.decide(Decision{
		Kind: Hold, Job: j.req.ID, Workspace: j.req.Workspace, Accelerators: j.accelerators(),
		Reason: fmt.Sprintf("blocked for %d s; the places should be free in %d s",
			(e.now-j.req.ArrivedMs)/1000, (until-e.now)/1000),
	})
}

// heldWorkers returns the workers of all holds, or nil if there are none.
func (e *Engine) heldWorkers() map[*worker]bool {
	if len(e.holds) == 0 {
		return nil
	}
	out := map[*worker]bool{}
	for _, h := range e.holds {
		for _, s := range h.spots {
			out[s.w] = true
		}
	}
	return out
}

func (e *Engine) dropHold(h *hold, reason string) {
	if h == nil || h.job.hold != h {
		return
	}
	h.job.hold = nil
	e.holds = slices.DeleteFunc(e.holds, func(x *hold) bool { return x == h })
	for _, s := range h.spots {
		s.w.held -= s.tasks * h.job.req.Shape.Each
		e.pool.update(s.w)
	}
	e.roomier()
	if reason != "" {
		e.decide(Decision{Kind: Release, Job: h.job.req.ID, Workspace: h.job.req.Workspace, Reason: reason})
	}
}

func (h *hold) on(w *worker) bool {
	return slices.ContainsFunc(h.spots, func(s spot) bool { return s.w == w })
}

// senior returns the workers of the holds of jobs that arrived before j.
func (e *Engine) senior(j *job) map[*worker]bool {
	out := map[*worker]bool{}
	for _, h := range e.holds {
		if compareJobs(h.job, j) > 0 {
			continue
		}
		for _, s := range h.spots {
			out[s.w] = true
		}
	}
	return out
}

func (e *Engine) dropHoldsOn(w *worker) {
	for _, h := range slices.Clone(e.holds) {
		if h.on(w) {
			e.dropHold(h, fmt.Sprintf("worker %s of the held places is gone", w.vm.ID))
		}
	}
}

// serveHolds starts the jobs whose held places are all free.
func (e *Engine) serveHolds() {
	for _, h := range slices.Clone(e.holds) {
		if h.job.hold != h || !h.free() {
			continue
		}
		mode := model.Spare
		if h.job.preemptible() {
			mode = model.Borrowed
		}
		e.place(h.job, mode, nil, h.spots, "its held places are free")
	}
}

// free reports whether the job may start on the held places now.
func (h *hold) free() bool {
	for _, s := range h.spots {
		n := s.tasks * h.job.req.Shape.Each
		if min(s.w.free(), futureOf(s.w).room(h.job, s.w)) < n {
			return false
		}
	}
	return true
}

// pressHolds evicts borrowers that stay on held places past their time.
func (e *Engine) pressHolds() {
	for _, h := range slices.Clone(e.holds) {
		if h.job.hold != h {
			continue // given up for another
		}
		e.stepAside(h)
		e.moveFor(h)
		if e.now < h.until+e.policy.HoldGraceMs {
			continue
		}
		for _, s := range h.spots {
			e.press(h, s)
		}
		if !h.free() && !slices.ContainsFunc(h.spots, func(s spot) bool { return leavingOn(s.w) > 0 }) {
			// What can't be evicted stays: look again, most likely the same
			// places are still the first to come free.
			j := h.job
			e.dropHold(h, "")
			e.makeHold(j)
		}
	}
}

// press evicts borrowers until the spot can be free.
func (e *Engine) press(h *hold, s spot) {
	need := s.tasks * h.job.req.Shape.Each
	for s.w.free()+leavingOn(s.w) < need {
		victim := e.cheapest(s.w, func(x *job) bool { return pressable(x, h.job) })
		if victim == nil {
			return
		}
		e.evict(victim, fmt.Sprintf("overstays on places held for job %s", h.job.req.ID))
	}
}

// tryBackfill places the job on held places that it leaves in time.
func (e *Engine) tryBackfill(j *job) bool {
	if len(e.holds) == 0 {
		return false
	}
	ends := e.now + e.guess.upper(j.req)
	for _, h := range e.holds {
		if ends > h.until || h.job == j {
			continue
		}
		if spots := h.gap(j); spots != nil {
			mode := model.Spare
			if j.preemptible() {
				mode = model.Borrowed
			}
			e.place(j, mode, nil, spots, fmt.Sprintf("ends before job %s needs the places", h.job.req.ID))
			return true
		}
	}
	return false
}

// gap finds room for the whole job among the held places.
func (h *hold) gap(j *job) (spots []spot) {
	n := j.req.Shape.Tasks
	for _, s := range h.spots {
		room := min(s.w.free(), futureOf(s.w).room(j, s.w))
		if j.avoid[s.w] {
			continue
		}
		if take := min(room/j.req.Shape.Each, n); take > 0 {
			spots = addTasks(spots, s.w, take)
			n -= take
		}
	}
	if n > 0 {
		return nil
	}
	return spots
}

// movable reports whether x may be moved for j: it loses little, is smaller,
// and was not moved often, so that jobs don't move each other in turn.
func (e *Engine) movable(x, j *job) bool {
	if x.mode != model.Borrowed || x.leaving || x.state != jobStarted || e.policy.MigrateGain <= 0 {
		return false
	}
	cheap := x.req.Checkpoint || e.now-x.started <= e.policy.MoveCostMs
	return cheap && x.moves < maxMoves && x.accelerators() < j.accelerators()
}

// moveFor moves jobs off the held places, once that alone makes all of them
// free and pays: the wait that it saves the gang weighs more than the moves.
func (e *Engine) moveFor(h *hold) {
	var moves []*job
	wait, cost := int64(0), int64(0)
	for _, s := range h.spots {
		need := s.tasks * h.job.req.Shape.Each
		later := futureOf(s.w)
		for _, x := range e.movables(h.job, s.w) {
			if min(s.w.size-later.firm-later.borrowed, later.room(h.job, s.w)) >= need {
				break
			}
			later = later.without(x, e.usedOn(x, s.w))
			if slices.Contains(moves, x) {
				continue
			}
			moves = append(moves, x)
			wait = max(wait, e.ownEnd(x)-e.now)
			cost += e.policy.MoveCostMs * int64(x.accelerators())
		}
		if later.room(h.job, s.w) < need {
			return
		}
	}
	if float64(wait)*float64(h.job.accelerators()) < e.policy.MigrateGain*float64(cost) {
		return
	}
	for _, x := range moves {
		x.moves++
		e.evict(x, fmt.Sprintf("moves so that job %s can start", h.job.req.ID))
	}
}

// movables lists what may be moved off a worker for j, the least loss first.
func (e *Engine) movables(j *job, w *worker) []*job {
	var out []*job
	for _, x := range w.jobs {
		if e.movable(x, j) {
			out = append(out, x)
		}
	}
	slices.SortStableFunc(out, func(a, b *job) int {
		return cmp.Or(cmp.Compare(e.loss(a), e.loss(b)), cmp.Compare(a.req.ID, b.req.ID))
	})
	return out
}
