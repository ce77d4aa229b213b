package place

import (
	"cmp"
	"slices"

	"greengageline/pkg/model"
)

// spot is a number of tasks on one worker.
type spot struct {
	w     *worker
	tasks int
}

// scope bounds how far apart the tasks of a gang may be.
type scope int

const (
	scopeRack scope = iota
	scopeZone
	scopeCell
)

// query is one search for places.
type query struct {
	view  view
	shape model.Shape
	scope scope
	avoid map[*worker]bool
}

// maxRackTries bounds the racks that a search opens when workers to avoid make
// the indexes too optimistic.
const maxRackTries = 16

// find returns places for the whole gang or nil, nearest together first and
// then best fit.
func (p *pool) find(q query) []spot {
	if spots := p.findRack(q); spots != nil || q.scope == scopeRack {
		return spots
	}
	if spots := p.findZone(q); spots != nil || q.scope == scopeZone {
		return spots
	}
	return p.findCell(q)
}

func (p *pool) findRack(q query) []spot {
	tries := 0
	for _, z := range p.fullestZones(q) {
		for s := q.shape.Tasks; s < len(z.index[q.view].by[q.shape.Each]); s++ {
			if spots := z.tryBucket(q, s, &tries); spots != nil {
				return spots
			}
			if tries > maxRackTries {
				return nil
			}
		}
	}
	return nil
}

// fullestZones orders the zones by what is left in them, least first: small
// work gathers in few zones, so that others keep room for the largest gangs.
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

func (z *zone) tryBucket(q query, s int, tries *int) (found []spot) {
	by := z.index[q.view].by[q.shape.Each]
	if s >= len(by) || by[s].size == 0 {
		return nil
	}
	by[s].each(func(pos int) bool {
		*tries++
		spots, placed := z.racks[pos].fill(q, q.shape.Tasks)
		if placed == q.shape.Tasks {
			found = spots
			return false
		}
		return *tries <= maxRackTries
	})
	return found
}

// fill takes up to n tasks in the rack: first workers that the tasks use up
// without a remainder, the fullest first.
func (r *rack) fill(q query, n int) (spots []spot, placed int) {
	k := q.shape.Each
	if n == 1 {
		return r.fillOne(q)
	}
	var able []*worker
	for _, w := range r.workers {
		if w.counted[q.view] >= k && !q.avoid[w] {
			able = append(able, w)
		}
	}
	slices.SortStableFunc(able, func(a, b *worker) int {
		x, y := a.counted[q.view], b.counted[q.view]
		return cmp.Or(cmp.Compare(x%k, y%k), cmp.Compare(x, y))
	})
	for _, w := range able {
		take := min(w.counted[q.view]/k, n-placed)
		spots = append(spots, spot{w, take})
		placed += take
		if placed == n {
			break
		}
	}
	return spots, placed
}

func (r *rack) fillOne(q query) (spots []spot, placed int) {
	var best *worker
	for _, w := range r.workers {
		if w.counted[q.view] < q.shape.Each || q.avoid[w] {
			continue
		}
		if best == nil || w.counted[q.view] < best.counted[q.view] {
			best = w
		}
	}
	if best == nil {
		return nil, 0
	}
	return []spot{{best, 1}}, 1
}

// findZone spreads the gang over as few racks of one zone as it can.
func (p *pool) findZone(q query) []spot {
	var best []spot
	fewest := 0
	for _, z := range p.zones {
		if z.index[q.view].total[q.shape.Each] < q.shape.Tasks {
			continue
		}
		spots, placed, racks := z.spread(q, q.shape.Tasks)
		if placed == q.shape.Tasks && (best == nil || racks < fewest) {
			best, fewest = spots, racks
		}
	}
	return best
}

// spread takes whole racks from the emptiest down, and for the rest the rack
// that it fits best.
func (z *zone) spread(q query, n int) (spots []spot, placed, racks int) {
	by := z.index[q.view].by[q.shape.Each]
	used := map[int]bool{}
	for s := len(by) - 1; s > 0 && placed < n; s-- {
		by[s].each(func(pos int) bool {
			if n-placed <= s {
				pos = z.bestFor(q, n-placed, used, pos)
			}
			if used[pos] {
				return true
			}
			used[pos] = true
			got, m := z.racks[pos].fill(q, n-placed)
			spots = append(spots, got...)
			placed += m
			racks++
			return placed < n
		})
	}
	return spots, placed, racks
}

// bestFor returns the rack with the fewest slots that still holds n tasks.
func (z *zone) bestFor(q query, n int, used map[int]bool, fallback int) int {
	by := z.index[q.view].by[q.shape.Each]
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
func (p *pool) findCell(q query) []spot {
	k := q.shape.Each
	order := slices.Clone(p.zones)
	slices.SortStableFunc(order, func(a, b *zone) int {
		return cmp.Compare(b.index[q.view].total[k], a.index[q.view].total[k])
	})
	var spots []spot
	placed := 0
	for _, z := range order {
		got, m, _ := z.spread(q, q.shape.Tasks-placed)
		spots = append(spots, got...)
		placed += m
		if placed == q.shape.Tasks {
			return spots
		}
	}
	return nil
}

// widest returns the narrowest scope in which the shape could ever fit, by the
// sizes of the workers that are not lost, or false if it never can.
func (p *pool) widest(shape model.Shape) (scope, bool) {
	cell, bestZone, bestRack := 0, 0, 0
	for _, z := range p.zones {
		x := &z.index[viewSize]
		cell += x.total[shape.Each]
		bestZone = max(bestZone, x.total[shape.Each])
		bestRack = max(bestRack, x.most(shape.Each))
	}
	switch {
	case bestRack >= shape.Tasks:
		return scopeRack, true
	case bestZone >= shape.Tasks:
		return scopeZone, true
	}
	return scopeCell, cell >= shape.Tasks
}
