package sched

import (
	"cmp"
	"slices"

	"greengageline/pkg/model"
)

// rack is the workers of a pool that share a rack, with the sum of their free capacity. The sum is an
// upper bound: a pass skips the workers of a rack whose sum is too small.
type rack struct {
	pool, name string
	workers    []*worker
	// free is the sum of the free capacity of the schedulable workers. refreshRacks sets it at the
	// start of a pass; starts and reservations in that pass subtract from it.
	free model.Room
	// room is the total capacity of the workers.
	room model.Room
}

// refreshRacks rebuilds the racks if workers have changed, and sums the capacity of each rack.
func (e *Engine) refreshRacks(now Moment) {
	if e.racks == nil {
		e.rebuildRacks()
	}
	for _, r := range e.racks {
		r.free, r.room = model.Room{}, model.Room{}
		for _, w := range r.workers {
			r.room = r.room.Plus(w.Room, 1)
			if !w.Draining && w.reachable(now) {
				r.free = r.free.Plus(w.available(), 1)
			}
		}
	}
}

// rebuildRacks groups the workers by pool and rack.
func (e *Engine) rebuildRacks() {
	byName := map[[2]string]*rack{}
	e.racks = []*rack{}
	for _, w := range e.sortedWorkers {
		key := [2]string{w.Pool, w.Rack}
		r := byName[key]
		if r == nil {
			r = &rack{pool: w.Pool, name: w.Rack}
			byName[key] = r
			e.racks = append(e.racks, r)
		}
		w.rack = r
		r.workers = append(r.workers, w)
	}
	slices.SortFunc(e.racks, func(a, b *rack) int {
		return cmp.Or(cmp.Compare(a.pool, b.pool), cmp.Compare(a.name, b.name))
	})
}

// available returns the free capacity with no resource below zero: a reservation may exceed the
// capacity that has been released so far.
func (w *worker) available() model.Room {
	r := w.free()
	return model.Room{
		Millicores: max(0, r.Millicores), MemoryMB: max(0, r.MemoryMB), Accelerators: max(0, r.Accelerators),
	}
}

// allocate subtracts the capacity for a task from the worker and its rack.
func (w *worker) allocate(need model.Room) {
	w.used = w.used.Plus(need, 1)
	if w.rack != nil {
		w.rack.free = w.rack.free.Minus(need, 1)
	}
}

// racksWithRoom returns the racks of the group's pool on which its waiting tasks may fit: all of them
// if all is set, otherwise at least one.
func (e *Engine) racksWithRoom(g *group, all bool) []*rack {
	var out []*rack
	minFits := 1
	if all {
		minFits = len(g.waiting)
	}
	for _, r := range e.racks {
		if r.pool == g.queue.Pool && r.free.Times(g.step.Need(), minFits) >= minFits {
			out = append(out, r)
		}
	}
	return out
}
