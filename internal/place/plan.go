package place

import (
	"cmp"
	"slices"

	"greengageline/pkg/model"
)

// candidateSets returns the sets of workers within which the gang may be held: racks if a rack can fit
// it, else zones, else the whole cell.
func (e *Engine) candidateSets(j *job) [][]*worker {
	s, ok := e.pool.narrowestScope(j.req.Shape)
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

// workers returns all workers of the zone.
func (z *zone) workers() []*worker {
	var all []*worker
	for _, r := range z.racks {
		all = append(all, r.workers...)
	}
	return all
}

// emptiestRacks returns up to maxHoldRacks racks that are large enough for the gang, those with the
// most slots outside non-borrowed jobs first.
func (e *Engine) emptiestRacks(shape model.Shape) []*rack {
	var racks []*rack
	most := 0
	for _, z := range e.pool.zones {
		most = max(most, z.index[viewFreeOrBorrowed].maxSlots(shape.Each))
	}
	for s := most; s > 0 && len(racks) < maxHoldRacks; s-- {
		for _, z := range e.pool.zones {
			by := z.index[viewFreeOrBorrowed].bySlots[shape.Each]
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

// holdPlan is a set of allocations that a gang could hold.
type holdPlan struct {
	allocs  []allocation
	readyMs int64 // when they are expected to be free
	cost    int64 // of the migrations, in accelerator-ms
}

// bestPlan returns the plan with the earliest ready time, and among equals the one with the cheapest
// migrations. It leaves out workers held for jobs that arrived before j.
func (e *Engine) bestPlan(j *job, sets [][]*worker) *holdPlan {
	var best *holdPlan
	held := e.seniorHeldWorkers(j)
	for _, set := range sets {
		p := e.planWithin(j, set, held)
		if p == nil {
			continue
		}
		if best == nil || cmp.Or(cmp.Compare(p.readyMs, best.readyMs), cmp.Compare(p.cost, best.cost)) < 0 {
			best = p
		}
	}
	return best
}

// jobEnd is the expected time, in ms, at which job j vacates worker w.
type jobEnd struct {
	atMs int64
	w    *worker
	j    *job
}

// projection is a worker's use as it will be when some of its jobs have ended.
type projection struct{ nonBorrowed, borrowed, reserved int }

func project(w *worker) projection { return projection{w.nonBorrowed, w.borrowed, w.reserved} }

// without returns the use once n accelerators of a job are free. Those of a claim become reserved
// again.
func (p projection) without(j *job, n int) projection {
	if j.mode == model.Borrowed {
		p.borrowed -= n
		return p
	}
	p.nonBorrowed -= n
	if j.claim != nil {
		p.reserved += n
	}
	return p
}

// room returns how many accelerators of the worker the job could take. A job that can't be preempted
// may only take what no claim reserves.
func (p projection) room(j *job, w *worker) int {
	if j.preemptible() {
		return max(w.size-p.nonBorrowed-p.borrowed, 0)
	}
	return max(w.size-p.nonBorrowed-max(p.reserved, p.borrowed), 0)
}

// planWithin returns a plan for the earliest time at which the set has room for the whole gang if all
// jobs end as expected, or nil if it never has.
func (e *Engine) planWithin(j *job, set []*worker, held map[*worker]bool) *holdPlan {
	k := j.req.Shape.Each
	projected := map[*worker]projection{}
	room := map[*worker]int{}
	slots := 0
	var ends []jobEnd
	for _, w := range set {
		if w.state != workerUp || held[w] || j.avoid[w] {
			continue
		}
		projected[w] = project(w)
		room[w] = projected[w].room(j, w)
		slots += room[w] / k
		for _, x := range w.jobs {
			ends = append(ends, jobEnd{e.expectedVacate(x, j), w, x})
		}
	}
	slices.SortStableFunc(ends, func(a, b jobEnd) int { return cmp.Compare(a.atMs, b.atMs) })
	readyMs := e.now
	for _, x := range ends {
		if slots >= j.req.Shape.Tasks {
			break
		}
		before := room[x.w] / k
		projected[x.w] = projected[x.w].without(x.j, e.usedOn(x.j, x.w))
		room[x.w] = projected[x.w].room(j, x.w)
		slots += room[x.w]/k - before
		readyMs = x.atMs
	}
	if slots < j.req.Shape.Tasks {
		return nil
	}
	p := &holdPlan{allocs: gather(set, room, j.req.Shape), readyMs: readyMs}
	for _, a := range p.allocs {
		for _, x := range e.movableJobs(j, a.w) {
			p.cost += e.policy.MoveCostMs * int64(e.usedOn(x, a.w))
		}
	}
	return p
}

// expectedVacate returns when a started job x is expected to make room for j, in ms: now if x can be
// migrated, else at its expected end.
func (e *Engine) expectedVacate(x, j *job) int64 {
	if e.movable(x, j) {
		return e.now
	}
	return e.expectedEnd(x)
}

// evictableFor reports whether x may be evicted for j after the ready time of j's hold: x must be
// borrowed and have arrived later. Without the second condition, two gangs that each outlast their
// estimates would keep evicting each other.
func evictableFor(x, j *job) bool {
	return x.mode == model.Borrowed && compareJobs(x, j) > 0
}

// expectedEnd returns when the job is expected to end, in ms. A job that outlasts its estimate is
// expected to run for another half of its elapsed time.
func (e *Engine) expectedEnd(x *job) int64 { return max(x.expectedEndMs, e.now+(e.now-x.startedMs)/2) }

// gather takes the gang's tasks from the workers with the most room, to use as few workers as
// possible.
func gather(set []*worker, room map[*worker]int, shape model.Shape) (allocs []allocation) {
	order := slices.Clone(set)
	slices.SortStableFunc(order, func(a, b *worker) int {
		return cmp.Or(cmp.Compare(room[b], room[a]), cmp.Compare(b.free(), a.free()))
	})
	n := shape.Tasks
	for _, w := range order {
		if take := min(room[w]/shape.Each, n); take > 0 {
			allocs = append(allocs, allocation{w, take})
			n -= take
		}
	}
	return allocs
}
