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
	Waiting       int // placed jobs whose evictions are under way
	AtRisk        int // accelerators of guarantees that have no allocation
	Fragmentation float64
	Workspaces    []WorkspaceStats
}

// WorkspaceStats is a workspace's guarantees and use; all counts but Queued are in accelerators.
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
		Waiting: len(e.awaitingEviction), Fragmentation: e.Fragmentation(),
	}
	for _, z := range e.pool.zones {
		s.Accelerators += z.index[viewSize].total[1]
		s.Open += z.index[viewOpen].total[1]
	}
	for _, name := range slices.Sorted(maps.Keys(e.workspaces)) {
		ws := e.workspaces[name]
		one := WorkspaceStats{Name: name, InUse: ws.inUse, Borrowed: ws.outsideClaims, Queued: ws.queued}
		for _, c := range ws.claims {
			one.Guaranteed += c.shape.Accelerators()
			one.AtRisk += max(c.missingTasks(), 0) * c.shape.Each
		}
		s.AtRisk += one.AtRisk
		s.Queued += ws.queued
		s.Workspaces = append(s.Workspaces, one)
	}
	s.Running = len(e.jobs) - s.Queued
	return s
}

// Fragmentation returns the fraction, from 0 to 1, of open accelerators that the shapes in demand
// can't use. For each guaranteed or queued shape it takes the part of the open accelerators that lies
// outside room for the whole shape, and weights it by the accelerators in demand for that shape. It is
// 0 if nothing is open or in demand.
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

// demand returns the accelerators of each guaranteed or queued shape.
func (e *Engine) demand() map[model.Shape]int {
	demand := map[model.Shape]int{}
	for _, ws := range e.workspaces {
		for _, c := range ws.claims {
			demand[c.shape] += c.shape.Accelerators()
		}
	}
	for _, q := range e.queueOrder {
		demand[q.key.shape] += len(q.jobs) * q.key.shape.Accelerators()
	}
	return demand
}

// usable returns the open accelerators that whole gangs of the shape could use within single racks, or
// for shapes too large for any rack, within single zones.
func (p *pool) usable(shape model.Shape) int {
	s, _ := p.narrowestScope(shape)
	gangs := 0
	for _, z := range p.zones {
		x := &z.index[viewOpen]
		if s != scopeRack {
			gangs += x.total[shape.Each] / shape.Tasks
			continue
		}
		for slots, b := range x.bySlots[shape.Each] {
			gangs += b.size * (slots / shape.Tasks)
		}
	}
	return gangs * shape.Accelerators()
}
