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
	if q := j.ws.conf.Quota; q > 0 && j.ws.inUse+j.accelerators() > q {
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

// candidateSets returns the sets of workers within which the gang may be held:
// racks if it fits one, else zones, else the cell.
func (e *Engine) candidateSets(j *job) [][]*worker {
	s, ok := e.pool.widest(j.req.Shape)
	if !ok {
		return nil
	}
	var sets [][]*worker
	switch s {
	case scopeRack:
		for _, r := range e.emptiestRacks(j.req.Shape) {
			sets = append(sets, r.workers)
		}
	case scopeZone:
		for _, z := range e.pool.zones {
			if z.index[viewSize].total[j.req.Shape.Each] >= j.req.Shape.Tasks {
				sets = append(sets, z.workers())
			}
		}
	case scopeCell:
		var all []*worker
		for _, z := range e.pool.zones {
			all = append(all, z.workers()...)
		}
		sets = append(sets, all)
	}
	return sets
}

func (z *zone) workers() []*worker {
	var all []*worker
	for _, r := range z.racks {
		all = append(all, r.workers...)
	}
	return all
}

// emptiestRacks returns racks that the gang fits, those with the most room
// outside firm work and shares first.
func (e *Engine) emptiestRacks(shape model.Shape) []*rack {
	var racks []*rack
	most := 0
	for _, z := range e.pool.zones {
		most = max(most, z.index[viewFirm].most(shape.Each))
	}
	for s := most; s > 0 && len(racks) < maxHoldRacks; s-- {
		for _, z := range e.pool.zones {
			by := z.index[viewFirm].by[shape.Each]
			if s >= len(by) {
				continue
			}
			by[s].each(func(pos int) bool {
				r := z.racks[pos]
				if r.slots[viewSize][shape.Each] >= shape.Tasks {
					racks = append(racks, r)
				}
				return len(racks) < maxHoldRacks
			})
		}
	}
	return racks
}

// plan is a way to make places free.
type plan struct {
	spots []spot
	until int64 // when they are expected to be free
	cost  int64 // of the moves, in accelerator-ms
}

// soonest returns, of the places that no job with more seniority holds, the plan with the earliest time, and of those the one with
// the cheapest moves.
func (e *Engine) soonest(j *job, sets [][]*worker) *plan {
	var best *plan
	taken := e.senior(j)
	for _, set := range sets {
		p := e.waitPlan(j, set, taken)
		if p == nil {
			continue
		}
		if best == nil || cmp.Or(cmp.Compare(p.until, best.until), cmp.Compare(p.cost, best.cost)) < 0 {
			best = p
		}
	}
	return best
}

// end is the expected end of a job's part on one worker.
type end struct {
	at int64
	w  *worker
	j  *job
}

// future is a worker's counts as they will be when some of its jobs are gone.
type future struct{ firm, borrowed, idle int }

func futureOf(w *worker) future { return future{w.firm, w.borrowed, w.idle} }

// without returns the counts once n accelerators of a job are free; those of a
// share go back to the share.
func (f future) without(j *job, n int) future {
	if j.mode == model.Borrowed {
		f.borrowed -= n
		return f
	}
	f.firm -= n
	if j.claim != nil {
		f.idle += n
	}
	return f
}

// room is what the job could take on the worker: unpreemptible work only what
// no share needs.
func (f future) room(j *job, w *worker) int {
	if j.preemptible() {
		return max(w.size-f.firm-f.borrowed, 0)
	}
	return max(w.size-f.firm-max(f.idle, f.borrowed), 0)
}

// waitPlan finds the time at which the set has room for the whole gang if jobs
// end as expected.
func (e *Engine) waitPlan(j *job, set []*worker, taken map[*worker]bool) *plan {
	k := j.req.Shape.Each
	later := map[*worker]future{}
	room := map[*worker]int{}
	slots := 0
	var ends []end
	for _, w := range set {
		if w.state != workerUp || taken[w] || j.avoid[w] {
			continue
		}
		later[w] = futureOf(w)
		room[w] = later[w].room(j, w)
		slots += room[w] / k
		for _, x := range w.jobs {
			ends = append(ends, end{e.expectedEnd(x, j), w, x})
		}
	}
	slices.SortStableFunc(ends, func(a, b end) int { return cmp.Compare(a.at, b.at) })
	until := e.now
	for _, x := range ends {
		if slots >= j.req.Shape.Tasks {
			break
		}
		before := room[x.w] / k
		later[x.w] = later[x.w].without(x.j, e.usedOn(x.j, x.w))
		room[x.w] = later[x.w].room(j, x.w)
		slots += room[x.w]/k - before
		until = x.at
	}
	if slots < j.req.Shape.Tasks {
		return nil
	}
	p := &plan{spots: gather(set, room, j.req.Shape), until: until}
	for _, s := range p.spots {
		for _, x := range e.movables(j, s.w) {
			p.cost += e.policy.MoveCostMs * int64(e.usedOn(x, s.w))
		}
	}
	return p
}

// expectedEnd is when a started job should be out of j's way: now if it can be
// moved, else at its end; one that overstays is expected to run on for half of
// what it has run.
func (e *Engine) expectedEnd(x, j *job) int64 {
	if e.movable(x, j) {
		return e.now
	}
	return e.ownEnd(x)
}

// pressable reports whether x may be stopped for j: it can be run again and
// arrived later. Two gangs that each outlast their estimates would otherwise
// stop each other for ever.
func pressable(x, j *job) bool {
	return x.mode == model.Borrowed && compareJobs(x, j) > 0
}

func (e *Engine) ownEnd(x *job) int64 { return max(x.expect, e.now+(e.now-x.started)/2) }

// gather takes the gang's tasks from the workers with the most room, so that
// they are on few.
func gather(set []*worker, room map[*worker]int, shape model.Shape) (spots []spot) {
	order := slices.Clone(set)
	slices.SortStableFunc(order, func(a, b *worker) int {
		return cmp.Or(cmp.Compare(room[b], room[a]), cmp.Compare(b.free(), a.free()))
	})
	n := shape.Tasks
	for _, w := range order {
		if take := min(room[w]/shape.Each, n); take > 0 {
			spots = append(spots, spot{w, take})
			n -= take
		}
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
