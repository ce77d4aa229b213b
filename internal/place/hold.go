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
	// holdRetryMs is the wait after no hold could be made for a job.
	holdRetryMs = 30_000
)

// considerHolds makes holds for the jobs that have been blocked longest.
func (e *Engine) considerHolds() {
	if len(e.holds) >= e.policy.MaxHolds {
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
		if len(e.holds) >= e.policy.MaxHolds {
			return
		}
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

// makeHold holds the places that come free soonest, or those from which jobs
// can be moved at less cost than the wait that it saves.
func (e *Engine) makeHold(j *job) {
	sets := e.candidateSets(j)
	soon := e.soonest(j, sets)
	move := e.cheapestMove(j, sets)
	switch {
	case move != nil && (soon == nil || e.movePays(j, move, soon.until)):
		if !e.addHold(j, move.spots, e.now, "others move away by checkpoint") {
			return
		}
		for _, m := range move.jobs {
			e.evict(m, fmt.Sprintf("moves so that job %s can start", j.req.ID))
		}
	case soon != nil:
		e.addHold(j, soon.spots, soon.until, "the places are expected to come free soonest")
	default:
		j.holdAfter = e.now + holdRetryMs
	}
}

// addHold makes the hold unless too much of the pool is held already.
func (e *Engine) addHold(j *job, spots []spot, until int64, why string) bool {
	held, size := j.accelerators(), 0
	for _, h := range e.holds {
		held += h.job.accelerators()
	}
	for _, z := range e.pool.zones {
		size += z.index[viewSize].total[1]
	}
	if float64(held) > maxHeldShare*float64(size) && len(e.holds) > 0 {
		j.holdAfter = e.now + holdRetryMs
		return false
	}
	h := &hold{job: j, spots: spots, until: until}
	j.hold = h
	e.holds = append(e.holds, h)
	for _, s := range spots {
		s.w.held += s.tasks * j.req.Shape.Each
		e.pool.update(s.w)
	}
	e.decide(Decision{
		Kind: Hold, Job: j.req.ID, Workspace: j.req.Workspace, Accelerators: j.accelerators(),
		Reason: fmt.Sprintf("blocked for %d s; %s", (e.now-j.req.ArrivedMs)/1000, why),
	})
	return true
}

func (e *Engine) dropHold(h *hold, reason string) {
	if h == nil {
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

func (e *Engine) dropHoldsOn(w *worker) {
	for _, h := range slices.Clone(e.holds) {
		if slices.ContainsFunc(h.spots, func(s spot) bool { return s.w == w }) {
			e.dropHold(h, fmt.Sprintf("worker %s of the held places is gone", w.vm.ID))
		}
	}
}

// serveHolds starts the jobs whose held places are all free.
func (e *Engine) serveHolds() {
	for _, h := range slices.Clone(e.holds) {
		if !h.free() {
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
		if e.now < h.until+e.policy.HoldGraceMs {
			continue
		}
		for _, s := range h.spots {
			e.press(h, s)
		}
		if !h.free() && !slices.ContainsFunc(h.spots, func(s spot) bool { return leavingOn(s.w) > 0 }) {
			h.job.holdAfter = e.now + holdRetryMs
			e.dropHold(h, "work that can't be evicted stays on the held places")
		}
	}
}

// press evicts only jobs that arrived after the one that waits: two gangs that
// each outlast their estimates would otherwise evict each other for ever.
func (e *Engine) press(h *hold, s spot) {
	need := s.tasks * h.job.req.Shape.Each
	for s.w.free()+leavingOn(s.w) < need {
		victim := e.cheapest(s.w, func(x *job) bool { return compareJobs(x, h.job) > 0 })
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
	until int64  // when they are expected to be free
	jobs  []*job // to move away first
	cost  int64  // of moving, in accelerator-ms
}

// soonest returns the plan that waits for the earliest ends.
func (e *Engine) soonest(j *job, sets [][]*worker) *plan {
	var best *plan
	for _, set := range sets {
		p := e.waitPlan(j, set)
		if p != nil && (best == nil || p.until < best.until) {
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
func (e *Engine) waitPlan(j *job, set []*worker) *plan {
	k := j.req.Shape.Each
	later := map[*worker]future{}
	room := map[*worker]int{}
	slots := 0
	var ends []end
	for _, w := range set {
		if w.state != workerUp || w.held > 0 || j.avoid[w] {
			continue
		}
		later[w] = futureOf(w)
		room[w] = later[w].room(j, w)
		slots += room[w] / k
		for _, x := range w.jobs {
			ends = append(ends, end{e.expectedEnd(x), w, x})
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
	return &plan{spots: gather(set, room, j.req.Shape), until: until}
}

// expectedEnd is when a started job should end; one that overstays is expected
// to run on for half of what it has run.
func (e *Engine) expectedEnd(j *job) int64 {
	return max(j.expect, e.now+(e.now-j.started)/2)
}

// gather takes the gang's tasks from the workers with the most room, so that
// they are on few.
func gather(set []*worker, room map[*worker]int, shape model.Shape) (spots []spot) {
	order := slices.Clone(set)
	slices.SortStableFunc(order, func(a, b *worker) int { return cmp.Compare(room[b], room[a]) })
	n := shape.Tasks
	for _, w := range order {
		if take := min(room[w]/shape.Each, n); take > 0 {
			spots = append(spots, spot{w, take})
			n -= take
		}
	}
	return spots
}

// movePays compares the accelerator-time that the gang would wait with what
// moving the others costs.
func (e *Engine) movePays(j *job, move *plan, until int64) bool {
	if e.policy.MigrateGain <= 0 {
		return false
	}
	gain := float64(until-e.now) * float64(j.accelerators())
	return gain >= e.policy.MigrateGain*float64(move.cost)
}

// cheapestMove returns the plan that moves the least work by checkpoint, if
// the moved jobs have room elsewhere.
func (e *Engine) cheapestMove(j *job, sets [][]*worker) *plan {
	if e.policy.MigrateGain <= 0 {
		return nil
	}
	var best *plan
	for _, set := range sets {
		p := e.movePlan(j, set)
		if p != nil && (best == nil || p.cost < best.cost) {
			best = p
		}
	}
	if best == nil {
		return nil
	}
	open, moved := -j.accelerators(), 0
	for _, z := range e.pool.zones {
		open += z.index[viewOpen].total[1]
	}
	for _, m := range best.jobs {
		moved += m.accelerators()
		open += m.accelerators()
	}
	if open < moved {
		return nil
	}
	return best
}

func (e *Engine) movePlan(j *job, set []*worker) *plan {
	room := map[*worker]int{}
	for _, w := range set {
		if w.state != workerUp || w.held > 0 || j.avoid[w] {
			continue
		}
		later := futureOf(w)
		for _, x := range w.jobs {
			if movable(x, j) {
				later = later.without(x, e.usedOn(x, w))
			}
		}
		room[w] = later.room(j, w)
	}
	spots := gather(set, room, j.req.Shape)
	n := 0
	for _, s := range spots {
		n += s.tasks
	}
	if n < j.req.Shape.Tasks {
		return nil
	}
	p := &plan{spots: spots}
	for _, s := range spots {
		e.addMoves(p, j, s)
	}
	return p
}

// movable reports whether x may be moved for j: a gang only if it arrived
// later, so that gangs don't move each other in turn.
func movable(x, j *job) bool {
	if x.mode != model.Borrowed || !x.req.Checkpoint || x.leaving || x.state != jobStarted {
		return false
	}
	return x.req.Shape.Tasks == 1 || compareJobs(x, j) > 0
}

// addMoves adds jobs to the plan until the spot is free, the cheapest first.
func (e *Engine) addMoves(p *plan, j *job, s spot) {
	later := futureOf(s.w)
	for _, m := range p.jobs {
		later = later.without(m, e.usedOn(m, s.w))
	}
	able := slices.Clone(s.w.jobs)
	slices.SortStableFunc(able, func(a, b *job) int { return cmp.Compare(e.loss(a), e.loss(b)) })
	for _, m := range able {
		if later.room(j, s.w) >= s.tasks*j.req.Shape.Each {
			return
		}
		if !movable(m, j) || slices.Contains(p.jobs, m) {
			continue
		}
		later = later.without(m, e.usedOn(m, s.w))
		p.jobs = append(p.jobs, m)
		p.cost += e.policy.MoveCostMs * int64(m.accelerators())
	}
}
