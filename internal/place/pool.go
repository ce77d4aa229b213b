package place

import (
	"slices"

	"greengageline/pkg/model"
)

// workerState says whether a worker takes new jobs.
type workerState int

const (
	workerUp workerState = iota
	workerLeaving
	workerLost
	workerQuarantined
	workerOnProbation
	workerInBackoff
)

// worker is the state of one target VM. The pool owns it; all counts are in accelerators.
//
// While the worker is up, nonBorrowed+reserved <= size. Also nonBorrowed+borrowed <= size, except
// while evictions are under way.
type worker struct {
	vm    model.VM
	rack  *rack
	state workerState

	size        int // accelerators of the VM
	nonBorrowed int // used by jobs that are never evicted for others
	borrowed    int // used by jobs that may be evicted
	reserved    int // reserved for the unused part of claims
	held        int // reserved by holds

	indexed          [viewCount]int // counts that the indexes hold
	jobs             []*job         // with a task on the worker
	claims           []*claim       // with an allocation on the worker
	failures         failureRecord
	suspendedUntilMs int64 // end of quarantine or backoff
}

// rack is a set of workers that are close to each other.
type rack struct {
	name    string
	zone    *zone
	pos     int // index in zone.racks
	workers []*worker
	slots   [viewCount]rackSlots
}

// zone is an availability zone of workers.
type zone struct {
	name  string
	racks []*rack
	index [viewCount]zoneIndex
}

// pool is the set of all workers of one cell, with indexes for searches.
type pool struct {
	zones []*zone
	byID  map[string]*worker
	live  int // workers that are not lost
}

// add creates a worker for the VM.
func (p *pool) add(vm model.VM) *worker {
	if p.byID == nil {
		p.byID = map[string]*worker{}
	}
	r := p.findOrAddRack(vm)
	w := &worker{vm: vm, rack: r, size: vm.Accelerators}
	r.workers = append(r.workers, w)
	p.byID[vm.ID] = w
	p.live++
	p.updateIndex(w)
	return w
}

func (p *pool) findOrAddRack(vm model.VM) *rack {
	z := p.findOrAddZone(vm.Zone)
	for _, r := range z.racks {
		if r.name == vm.Rack {
			return r
		}
	}
	r := &rack{name: vm.Rack, zone: z, pos: len(z.racks)}
	z.racks = append(z.racks, r)
	return r
}

func (p *pool) findOrAddZone(name string) *zone {
	for _, z := range p.zones {
		if z.name == name {
			return z
		}
	}
	z := &zone{name: name}
	p.zones = append(p.zones, z)
	return z
}

// count returns the worker's accelerators in the view. All views but viewSize are 0 unless the worker
// is up.
func (w *worker) count(v view) int {
	if v == viewSize {
		return w.sizeIfPresent()
	}
	if w.state != workerUp {
		return 0
	}
	n := 0
	switch v {
	case viewOpen:
		n = w.size - w.nonBorrowed - w.borrowed - w.held
	case viewSpare:
		n = w.size - w.nonBorrowed - max(w.reserved, w.borrowed) - w.held
	case viewAfterEviction:
		n = w.size - w.nonBorrowed - w.reserved
	case viewFreeOrBorrowed:
		n = w.size - w.nonBorrowed
	}
	return max(n, 0)
}

// updateIndex brings the indexes in line with the worker's counts. It must be called after every
// change of them.
func (p *pool) updateIndex(w *worker) {
	for v := range viewCount {
		now := w.count(v)
		if now == w.indexed[v] {
			continue
		}
		w.rack.zone.index[v].updateRack(w.rack.pos, &w.rack.slots[v], w.indexed[v], now)
		w.indexed[v] = now
	}
}

// free returns the unoccupied accelerators, held or not, or 0 if the worker is not up.
func (w *worker) free() int {
	if w.state != workerUp {
		return 0
	}
	return max(w.size-w.nonBorrowed-w.borrowed, 0)
}

// overcommitted reports whether evictions must end before new jobs can start on the worker.
func (w *worker) overcommitted() bool { return w.nonBorrowed+w.borrowed > w.size }

// sizeIfPresent returns the worker's size, or 0 if it is lost or leaving.
func (w *worker) sizeIfPresent() int {
	if w.state == workerLost || w.state == workerLeaving {
		return 0
	}
	return w.size
}

// setState changes the worker's state and updates the indexes.
func (p *pool) setState(w *worker, s workerState) {
	if (w.state == workerLost) != (s == workerLost) {
		if s == workerLost {
			p.live--
		}
		if s != workerLost {
			p.live++
		}
	}
	w.state = s
	p.updateIndex(w)
}

// purge removes a lost worker once no job is left on it.
func (p *pool) purge(w *worker) {
	if w.state != workerLost || len(w.jobs) > 0 || p.byID[w.vm.ID] != w {
		return
	}
	delete(p.byID, w.vm.ID)
	w.rack.workers = slices.DeleteFunc(w.rack.workers, func(x *worker) bool { return x == w })
}
