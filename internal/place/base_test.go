package place

import (
	"slices"

	"greengageline/pkg/model"
)

// scheduler is what the bench drives: the Engine or the baseline.
type scheduler interface {
	Step(now int64, ev Event) []Decision
	Fragmentation() float64
}

// baseline is first come, first fit: at every event it goes through the queue
// in order of arrival and starts each job that fits, on the first workers with
// room in the order of the list. Like the engine it keeps a gang inside one zone
// if one can hold it; it knows no guarantees, racks or estimates.
type baseline struct {
	pool    pool
	order   []*worker
	queue   []Request
	running map[string][]spot
	known   map[string]Request
	shares  map[model.Shape]int
}

func newBaseline() *baseline {
	return &baseline{running: map[string][]spot{}, known: map[string]Request{}, shares: map[model.Shape]int{}}
}

func (b *baseline) Step(now int64, ev Event) (out []Decision) {
	switch ev := ev.(type) {
	case Configure:
		for _, ws := range ev.Snapshot.Workspaces {
			for _, g := range ws.Guarantees {
				b.shares[g.Shape] += g.Count * g.Shape.Accelerators()
			}
		}
	case WorkerUp:
		b.order = append(b.order, b.pool.add(ev.VM))
	case WorkerLost:
		out = b.lose(ev.ID)
	case Arrive:
		b.known[ev.Job.ID] = ev.Job
		b.queue = append(b.queue, ev.Job)
	case Cancel:
		b.queue = slices.DeleteFunc(b.queue, func(r Request) bool { return r.ID == ev.ID })
	case Ended:
		b.end(ev)
	}
	return append(out, b.pass()...)
}

func (b *baseline) lose(id string) (out []Decision) {
	w := b.pool.byID[id]
	b.pool.setState(w, workerLost)
	b.order = slices.DeleteFunc(b.order, func(x *worker) bool { return x == w })
	for job, spots := range b.running {
		if slices.ContainsFunc(spots, func(s spot) bool { return s.w == w }) {
			out = append(out, Decision{Kind: Lost, Job: job, Worker: id})
		}
	}
	slices.SortFunc(out, func(x, y Decision) int { return compareIDs(x.Job, y.Job) })
	return out
}

func compareIDs(a, b string) int {
	if a < b {
		return -1
	}
	if a > b {
		return 1
	}
	return 0
}

func (b *baseline) end(ev Ended) {
	r := b.known[ev.ID]
	for _, s := range b.running[ev.ID] {
		s.w.firm -= s.tasks * r.Shape.Each
		b.pool.update(s.w)
	}
	delete(b.running, ev.ID)
	if !ev.Requeue {
		return
	}
	at, _ := slices.BinarySearchFunc(b.queue, r, func(x, y Request) int {
		return int(x.ArrivedMs - y.ArrivedMs)
	})
	b.queue = slices.Insert(b.queue, at, r)
}

func (b *baseline) pass() (out []Decision) {
	failed := map[model.Shape]bool{}
	kept := b.queue[:0]
	for _, r := range b.queue {
		if failed[r.Shape] {
			kept = append(kept, r)
			continue
		}
		spots := b.fit(r.Shape)
		if spots == nil {
			failed[r.Shape] = true
			kept = append(kept, r)
			continue
		}
		out = append(out, b.start(r, spots))
	}
	b.queue = kept
	return out
}

func (b *baseline) fit(shape model.Shape) []spot {
	if s, _ := b.pool.widest(shape); s == scopeCell {
		return firstFit(b.order, shape)
	}
	for _, z := range b.pool.zones {
		in := slices.DeleteFunc(slices.Clone(b.order), func(w *worker) bool { return w.rack.zone != z })
		if spots := firstFit(in, shape); spots != nil {
			return spots
		}
	}
	return nil
}

func firstFit(order []*worker, shape model.Shape) (spots []spot) {
	n := shape.Tasks
	for _, w := range order {
		if take := min(w.free()/shape.Each, n); take > 0 {
			spots = append(spots, spot{w, take})
			n -= take
		}
		if n == 0 {
			return spots
		}
	}
	return nil
}

func (b *baseline) start(r Request, spots []spot) Decision {
	d := Decision{Kind: Start, Job: r.ID, Workspace: r.Workspace, Mode: model.Spare}
	for _, s := range spots {
		s.w.firm += s.tasks * r.Shape.Each
		b.pool.update(s.w)
		d.Shares = append(d.Shares, Share{Worker: s.w.vm.ID, Tasks: s.tasks})
	}
	b.running[r.ID] = spots
	return d
}

func (b *baseline) Fragmentation() float64 {
	demand := map[model.Shape]int{}
	for shape, n := range b.shares {
		demand[shape] += n
	}
	for _, r := range b.queue {
		demand[r.Shape] += r.Shape.Accelerators()
	}
	return b.pool.fragmentation(demand)
}
