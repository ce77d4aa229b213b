package place

import (
	"cmp"
	"maps"
	"slices"

	"greengageline/pkg/model"
)

// Stats is a summary of a cell for metrics and the status page.
type Stats struct {
	Workers       int
	Quarantined   int
	Accelerators  int
	Open          int
	Queued        int
	Running       int
	Holds         int
	Waiting       int
	AtRisk        int // accelerators of guarantees without a place
	Fragmentation float64
	Workspaces    []WorkspaceStats
}

// WorkspaceStats is a workspace's guarantee against its use, in accelerators.
type WorkspaceStats struct {
	Name       string `json:"name"`
	Guaranteed int    `json:"guaranteed"`
	InUse      int    `json:"in_use"`
	Borrowed   int    `json:"borrowed"`
	Queued     int    `json:"queued"`
	AtRisk     int    `json:"at_risk"`
}

// Stats returns the summary at this moment.
func (e *Engine) Stats() Stats {
	e.init()
	s := Stats{
		Workers: e.pool.live, Quarantined: e.quarantined, Holds: len(e.holds),
		Waiting: len(e.waiting), Fragmentation: e.Fragmentation(),
	}
	for _, z := range e.pool.zones {
		s.Accelerators += z.index[viewSize].total[1]
		s.Open += z.index[viewOpen].total[1]
	}
	for _, name := range slices.Sorted(maps.Keys(e.byName)) {
		ws := e.byName[name]
		one := WorkspaceStats{Name: name, InUse: ws.inUse, Borrowed: ws.borrows, Queued: ws.queued}
		for _, c := range ws.claims {
			one.Guaranteed += c.shape.Accelerators()
			one.AtRisk += max(c.missing(), 0) * c.shape.Each
		}
		s.AtRisk += one.AtRisk
		s.Queued += ws.queued
		s.Workspaces = append(s.Workspaces, one)
	}
	s.Running = len(e.jobs) - s.Queued
	return s
}

// Fragmentation is the share of open accelerators that can't serve the shapes
// in demand: for each guaranteed or queued shape, the part of the open
// accelerators outside places where that whole shape fits, weighted by how
// many accelerators of the shape are in demand. It is 0 if nothing is.
func (e *Engine) Fragmentation() float64 { return e.pool.fragmentation(e.demand()) }

func (p *pool) fragmentation(demand map[model.Shape]int) float64 {
	open := 0
	for _, z := range p.zones {
		open += z.index[viewOpen].total[1]
	}
	if open == 0 {
		return 0
	}
	shapes := slices.SortedFunc(maps.Keys(demand), compareShapes)
	total, lost := 0.0, 0.0
	for _, shape := range shapes {
		weight := float64(demand[shape])
		total += weight
		lost += weight * (1 - float64(p.usable(shape))/float64(open))
	}
	if total == 0 {
		return 0
	}
	return lost / total
}

func compareShapes(a, b model.Shape) int {
	return cmp.Or(cmp.Compare(a.Tasks, b.Tasks), cmp.Compare(a.Each, b.Each))
}

// demand counts the accelerators of each guaranteed or queued shape.
func (e *Engine) demand() map[model.Shape]int {
	demand := map[model.Shape]int{}
	for _, ws := range e.byName {
		for _, c := range ws.claims {
			demand[c.shape] += c.shape.Accelerators()
		}
	}
	for _, l := range e.order {
		demand[l.key.shape] += len(l.jobs) * l.key.shape.Accelerators()
	}
	return demand
}

// usable counts the open accelerators in racks, or for shapes beyond any rack
// in zones, that whole gangs of the shape could use.
func (p *pool) usable(shape model.Shape) int {
	s, _ := p.widest(shape)
	gangs := 0
	for _, z := range p.zones {
		x := &z.index[viewOpen]
		if s != scopeRack {
			gangs += x.total[shape.Each] / shape.Tasks
			continue
		}
		for slots, b := range x.by[shape.Each] {
			gangs += b.size * (slots / shape.Tasks)
		}
	}
	return gangs * shape.Accelerators()
}
