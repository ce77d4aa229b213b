package sched

import (
	"cmp"
	"slices"

	"greengageline/pkg/model"
)

// rack is the workers of one pool on one rack, with a bound on what is free
// there: a pass looks at the workers only where the bound leaves a chance.
type rack struct {
	pool, name string
	workers    []*worker
	// free sums what is free on the workers that may get work; it is right
	// from the start of a pass on and kept right by start.
	free model.Room
	// room sums what the workers have in all.
	room model.Room
}

// index rebuilds the racks if workers have changed and sums what is free.
func (e *Engine) index(now Moment) {
	if e.racks == nil {
		e.rebuildRacks()
	}
	for _, r := range e.racks {
		r.free, r.room = model.Room{}, model.Room{}
		for _, w := range r.workers {
			r.room = r.room.Plus(w.Room, 1)
			if w.open(now) {
				r.free = r.free.Plus(w.spare(), 1)
			}
		}
	}
}

func (e *Engine) rebuildRacks() {
	byName := map[[2]string]*rack{}
	e.racks = []*rack{}
	for _, w := range e.order {
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

// spare is what is free on a worker, with nothing below zero: room that is kept
// for others may exceed what has come free yet.
func (w *worker) spare() model.Room {
	r := w.free()
	return model.Room{
		Millicores: max(0, r.Millicores), MemoryMB: max(0, r.MemoryMB), Accelerators: max(0, r.Accelerators),
	}
}

// take books a task's need on a worker and its rack.
func (w *worker) take(need model.Room) {
	w.used = w.used.Plus(need, 1)
	if w.rack != nil {
		w.rack.free = w.rack.free.Minus(need, 1)
	}
}

// racksOf lists the racks on which the group's tasks might fit: all of them at
// once if together is set, else at least one.
func (e *Engine) racksOf(g *group, together bool) []*rack {
	var out []*rack
	least := 1
	if together {
		least = len(g.waiting)
	}
	for _, r := range e.racks {
		if r.pool == g.queue.Pool && r.free.Times(g.step.Need(), least) >= least {
			out = append(out, r)
		}
	}
	return out
}
