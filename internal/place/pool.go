package place

import (
	"slices"

	"greengageline/pkg/model"
)

type workerState int

const (
	workerUp workerState = iota
	workerLeaving
	workerLost
	workerQuarantined
	workerProbing
	workerCooling
)

// worker is one target; counts are in accelerators.
//
// Invariants while it is up: firm+idle <= size, and firm+borrowed <= size
// except while evictions are under way.
type worker struct {
	vm    model.VM
	rack  *rack
	state workerState

	size     int // accelerators of the VM
	firm     int // used by work that is never evicted
	borrowed int // used by work that may be evicted
	idle     int // set aside for unused shares (witnesses)
	held     int // set aside for a blocked gang

	counted [views]int // what the indexes hold
	jobs    []*job     // with a task here
	claims  []*claim   // whose witness is here
	blame   blame
	until   int64 // end of quarantine or cooling, in ms
}

// rack is a set of adjacent workers.
type rack struct {
	name    string
	zone    *zone
	pos     int // in its zone
	workers []*worker
	slots   [views]rackSlots
}

// zone is an availability zone of targets.
type zone struct {
	name  string
	racks []*rack
	index [views]zoneIndex
}

// pool is all targets of one cell.
type pool struct {
	zones []*zone
	byID  map[string]*worker
	live  int // workers that are not lost
}

func (p *pool) add(vm model.VM) *worker {
	if p.byID == nil {
		p.byID = map[string]*worker{}
	}
	r := p.rackOf(vm)
	w := &worker{vm: vm, rack: r, size: vm.Accelerators}
	r.workers = append(r.workers, w)
	p.byID[vm.ID] = w
	p.live++
	p.update(w)
	return w
}

func (p *pool) rackOf(vm model.VM) *rack {
	z := p.zoneOf(vm.Zone)
	for _, r := range z.racks {
		if r.name == vm.Rack {
			return r
		}
	}
	r := &rack{name: vm.Rack, zone: z, pos: len(z.racks)}
	z.racks = append(z.racks, r)
	return r
}

func (p *pool) zoneOf(name string) *zone {
	for _, z := range p.zones {
		if z.name == name {
			return z
		}
	}
	z := &zone{name: name}
	p.zones = append(p.zones, z)
	return z
}

func (w *worker) count(v view) int {
	if v == viewSize {
		return w.sizeIfServing()
	}
	if w.state != workerUp {
		return 0
	}
	n := 0
	switch v {
	case viewOpen:
		n = w.size - w.firm - w.borrowed - w.held
	case viewSpare:
		n = w.size - w.firm - max(w.idle, w.borrowed) - w.held
	case viewRoom:
		n = w.size - w.firm - w.idle
	case viewFirm:
		n = w.size - w.firm
	}
	return max(n, 0)
}

// update brings the indexes in line with the worker's counts.
func (p *pool) update(w *worker) {
	for v := range views {
		now := w.count(v)
		if now == w.counted[v] {
			continue
		}
		w.rack.zone.index[v].change(w.rack.pos, &w.rack.slots[v], w.counted[v], now)
		w.counted[v] = now
	}
}

// free returns the accelerators that nothing occupies, held or not.
func (w *worker) free() int {
	if w.state != workerUp {
		return 0
	}
	return max(w.size-w.firm-w.borrowed, 0)
}

// overfull reports whether evictions must end before firm work can start here.
func (w *worker) overfull() bool { return w.firm+w.borrowed > w.size }

func (w *worker) sizeIfServing() int {
	if w.state == workerLost || w.state == workerLeaving {
		return 0
	}
	return w.size
}

// setState moves the worker to a state and updates the indexes.
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
	p.update(w)
}

// purge forgets a lost worker on which nothing is left.
func (p *pool) purge(w *worker) {
	if w.state != workerLost || len(w.jobs) > 0 || p.byID[w.vm.ID] != w {
		return
	}
	delete(p.byID, w.vm.ID)
	w.rack.workers = slices.DeleteFunc(w.rack.workers, func(x *worker) bool { return x == w })
}
