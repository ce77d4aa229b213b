package place

import (
	"cmp"
	"slices"

	"greengageline/pkg/model"
)

// allocation is a number of tasks on one worker.
type allocation struct {
	w     *worker
	tasks int
}

// scope bounds how far apart the tasks of a gang may be, from the narrowest to the widest.
type scope int

const (
	scopeRack scope = iota
	scopeZone
	scopeCell
)

// query is one search for allocations: room for the shape in the view, within the scope, on none of
// the workers to avoid.
type query struct {
	view  view
	shape model.Shape
	scope scope
	avoid map[*worker]bool
}

// maxRackTries bounds the racks that one search examines. The indexes do not know the workers to
// avoid, so a rack can have less room than its index entry says.
const maxRackTries = 16

// find returns allocations for the whole gang or nil. It prefers the narrowest scope, and within it
// the best fit.
func (p *pool) find(q query) []allocation {
	if allocs := p.findRack(q); allocs != nil || q.scope == scopeRack {
		return allocs
	}
	if allocs := p.findZone(q); allocs != nil || q.scope == scopeZone {
		return allocs
	}
	return p.findCell(q)
}

// findRack finds a rack that fits the gang, those with the fewest slots first.
func (p *pool) findRack(q query) []allocation {
	tries := 0
	for _, z := range p.fullestZones(q) {
		for s := q.shape.Tasks; s < len(z.index[q.view].bySlots[q.shape.Each]); s++ {
			if allocs := z.tryBucket(q, s, &tries); allocs != nil {
				return allocs
			}
			if tries > maxRackTries {
				return nil
			}
		}
	}
	return nil
}

// fullestZones returns the zones with enough slots, those with the least free capacity first: this
// gathers small jobs in few zones, so that the others keep room for the largest gangs.
func (p *pool) fullestZones(q query) []*zone {
	order := make([]*zone, 0, len(p.zones))
	for _, z := range p.zones {
		if z.index[q.view].total[q.shape.Each] >= q.shape.Tasks {
			order = append(order, z)
		}
	}
	slices.SortStableFunc(order, func(a, b *zone) int {
		return cmp.Compare(a.index[q.view].total[1], b.index[q.view].total[1])
	})
	return order
}

// tryBucket returns allocations for the gang in a rack of the zone that has s slots, or nil. It adds
// the racks that it examines to tries.
func (z *zone) tryBucket(q query, s int, tries *int) (found []allocation) {
	by := z.index[q.view].bySlots[q.shape.Each]
	if s >= len(by) || by[s].size == 0 {
		return nil
	}
	by[s].each(func(pos int) bool {
		*tries++
		allocs, placed := z.racks[pos].fill(q, q.shape.Tasks)
		if placed == q.shape.Tasks {
			found = allocs
			return false
		}
		return *tries <= maxRackTries
	})
	return found
}

// fill returns allocations for up to n tasks in the rack and how many tasks they place. It prefers
// workers that the tasks fill without a remainder, then the fullest workers.
func (r *rack) fill(q query, n int) (allocs []allocation, placed int) {
	k := q.shape.Each
	if n == 1 {
		return r.fillOne(q)
	}
	var eligible []*worker
	for _, w := range r.workers {
		if w.indexed[q.view] >= k && !q.avoid[w] {
			eligible = append(eligible, w)
		}
	}
	slices.SortStableFunc(eligible, func(a, b *worker) int {
		x, y := a.indexed[q.view], b.indexed[q.view]
		return cmp.Or(cmp.Compare(x%k, y%k), cmp.Compare(x, y))
	})
	for _, w := range eligible {
		take := min(w.indexed[q.view]/k, n-placed)
		allocs = append(allocs, allocation{w, take})
		placed += take
		if placed == n {
			break
		}
	}
	return allocs, placed
}

// fillOne is fill for one task: it takes the fullest worker that fits it.
func (r *rack) fillOne(q query) (allocs []allocation, placed int) {
	var best *worker
	for _, w := range r.workers {
		if w.indexed[q.view] < q.shape.Each || q.avoid[w] {
			continue
		}
		if best == nil || w.indexed[q.view] < best.indexed[q.view] {
			best = w
		}
	}
	if best == nil {
		return nil, 0
	}
	return []allocation{{best, 1}}, 1
}

// findZone spreads the gang over as few racks of one zone as it can.
func (p *pool) findZone(q query) []allocation {
	var best []allocation
	fewest := 0
	for _, z := range p.zones {
		if z.index[q.view].total[q.shape.Each] < q.shape.Tasks {
			continue
		}
		allocs, placed, racks := z.spread(q, q.shape.Tasks)
		if placed == q.shape.Tasks && (best == nil || racks < fewest) {
			best, fewest = allocs, racks
		}
	}
	return best
}

// spread places up to n tasks in the zone. It fills whole racks, the emptiest first, and takes the
// best fit for the rest. It returns how many tasks it places and on how many racks.
func (z *zone) spread(q query, n int) (allocs []allocation, placed, racks int) {
	by := z.index[q.view].bySlots[q.shape.Each]
	used := map[int]bool{}
	for s := len(by) - 1; s > 0 && placed < n; s-- {
		by[s].each(func(pos int) bool {
			if n-placed <= s {
				pos = z.bestFitRack(q, n-placed, used, pos)
			}
			if used[pos] {
				return true
			}
			used[pos] = true
			got, m := z.racks[pos].fill(q, n-placed)
			allocs = append(allocs, got...)
			placed += m
			racks++
			return placed < n
		})
	}
	return allocs, placed, racks
}

// bestFitRack returns the position of the unused rack with the fewest slots that fits n tasks, or
// fallback if there is none.
func (z *zone) bestFitRack(q query, n int, used map[int]bool, fallback int) int {
	by := z.index[q.view].bySlots[q.shape.Each]
	for s := n; s < len(by); s++ {
		best := -1
		by[s].each(func(pos int) bool {
			if used[pos] {
				return true
			}
			best = pos
			return false
		})
		if best >= 0 {
			return best
		}
	}
	return fallback
}

// findCell spreads the gang over as few zones as it can.
func (p *pool) findCell(q query) []allocation {
	k := q.shape.Each
	order := slices.Clone(p.zones)
	slices.SortStableFunc(order, func(a, b *zone) int {
		return cmp.Compare(b.index[q.view].total[k], a.index[q.view].total[k])
	})
	var allocs []allocation
	placed := 0
	for _, z := range order {
		got, m, _ := z.spread(q, q.shape.Tasks-placed)
		allocs = append(allocs, got...)
		placed += m
		if placed == q.shape.Tasks {
			return allocs
		}
	}
	return nil
}

// narrowestScope returns the narrowest scope in which the shape fits if all workers are idle, and
// false if it does not fit at all. Lost and leaving workers do not count.
func (p *pool) narrowestScope(shape model.Shape) (scope, bool) {
	cell, bestZone, bestRack := 0, 0, 0
	for _, z := range p.zones {
		x := &z.index[viewSize]
		cell += x.total[shape.Each]
		bestZone = max(bestZone, x.total[shape.Each])
		bestRack = max(bestRack, x.maxSlots(shape.Each))
	}
	switch {
	case bestRack >= shape.Tasks:
		return scopeRack, true
	case bestZone >= shape.Tasks:
		return scopeZone, true
	}
	return scopeCell, cell >= shape.Tasks
}
