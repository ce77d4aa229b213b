package place

import (
	"cmp"
	"slices"

	"greengageline/pkg/model"
)

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
