package place

import (
	"slices"

	"greengageline/pkg/model"
)

// scheduler is what the policy benchmark drives: the Engine or the baseline.
type scheduler interface {
	Step(now int64, ev Event) []Decision
	Fragmentation() float64
}

// baseline is a first-come, first-fit scheduler to compare the Engine with. At every event it goes
// through the queue in order of arrival and starts each job that fits, on the first workers with room
// in the order in which they were added. Like the Engine it keeps a gang inside one zone if a zone can
// hold it. It ignores guarantees, racks and estimates.
type baseline struct {
	pool       pool
	workers    []*worker
	queue      []Request
	running    map[string][]allocation
	requests   map[string]Request
	guaranteed map[model.Shape]int
}

func newBaseline() *baseline {
	return &baseline{running: map[string][]allocation{}, requests: map[string]Request{}, guaranteed: map[model.Shape]int{}}
}

func (b *baseline) Step(now int64, ev Event) (out []Decision) {
	switch ev := ev.(type) {
	case Configure:
		for _, ws := range ev.Snapshot.Workspaces {
			for _, g := range ws.Guarantees {
				b.guaranteed[g.Shape] += g.Count * g.Shape.Accelerators()
			}
		}
	case WorkerUp:
		b.workers = append(b.workers, b.pool.add(ev.VM))
	case WorkerLost:
		out = b.loseWorker(ev.ID)
	case Enqueue:
		b.requests[ev.Job.ID] = ev.Job
		b.queue = append(b.queue, ev.Job)
	case Cancel:
		b.queue = slices.DeleteFunc(b.queue, func(r Request) bool { return r.ID == ev.ID })
	case Ended:
		b.end(ev)
	}
	return append(out, b.pass()...)
}

func (b *baseline) loseWorker(id string) (out []Decision) {
	w := b.pool.byID[id]
	b.pool.setState(w, workerLost)
	b.workers = slices.DeleteFunc(b.workers, func(x *worker) bool { return x == w })
	for job, allocs := range b.running {
		if slices.ContainsFunc(allocs, func(a allocation) bool { return a.w == w }) {
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
	r := b.requests[ev.ID]
	for _, s := range b.running[ev.ID] {
		s.w.nonBorrowed -= s.tasks * r.Shape.Each
		b.pool.updateIndex(s.w)
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
		allocs := b.findFirstFit(r.Shape)
		if allocs == nil {
			failed[r.Shape] = true
			kept = append(kept, r)
			continue
		}
		out = append(out, b.start(r, allocs))
	}
	b.queue = kept
	return out
}

func (b *baseline) findFirstFit(shape model.Shape) []allocation {
	if s, _ := b.pool.narrowestScope(shape); s == scopeCell {
		return firstFit(b.workers, shape)
	}
	for _, z := range b.pool.zones {
		in := slices.DeleteFunc(slices.Clone(b.workers), func(w *worker) bool { return w.rack.zone != z })
		if allocs := firstFit(in, shape); allocs != nil {
			return allocs
		}
	}
	return nil
}

func firstFit(order []*worker, shape model.Shape) (allocs []allocation) {
	n := shape.Tasks
	for _, w := range order {
		if take := min(w.free()/shape.Each, n); take > 0 {
			allocs = append(allocs, allocation{w, take})
			n -= take
		}
		if n == 0 {
			return allocs
		}
	}
	return nil
}

func (b *baseline) start(r Request, allocs []allocation) Decision {
	d := Decision{Kind: Start, Job: r.ID, Workspace: r.Workspace, Mode: model.Spare}
	for _, a := range allocs {
		a.w.nonBorrowed += a.tasks * r.Shape.Each
		b.pool.updateIndex(a.w)
		d.Assignments = append(d.Assignments, Assignment{Worker: a.w.vm.ID, Tasks: a.tasks})
	}
	b.running[r.ID] = allocs
	return d
}

func (b *baseline) Fragmentation() float64 {
	demand := map[model.Shape]int{}
	for shape, n := range b.guaranteed {
		demand[shape] += n
	}
	for _, r := range b.queue {
		demand[r.Shape] += r.Shape.Accelerators()
	}
	return b.pool.fragmentation(demand)
}
