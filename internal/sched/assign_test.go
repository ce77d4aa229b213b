package sched

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"greengageline/pkg/model"
)

// addRacks adds workers in racks of 20.
func addRacks(e *Engine, n int) {
	for i := range n {
		e.SetWorker(Worker{
			ID: fmt.Sprintf("r%05d", i), Pool: "p", Zone: "z", Rack: fmt.Sprintf("rack%03d", i/20), Labels: []string{"a", fmt.Sprint(i % 3)},
			Room: model.Room{Millicores: 64000, MemoryMB: 131072, Accelerators: 8},
		})
	}
}

// drawGroup returns an engine with workers in different states and a group of waiting tasks.
func drawGroup(seed uint64) (*Engine, *group) {
	rnd := rand.New(rand.NewPCG(seed, 5))
	e := newEngine(0)
	addRacks(e, 100)
	for _, w := range e.sortedWorkers {
		w.used = model.Room{Millicores: 1000 * rnd.IntN(64), MemoryMB: 8192 * rnd.IntN(16), Accelerators: rnd.IntN(9)}
		w.failureStreak, w.Unproven, w.Silent, w.Leaving = max(0, rnd.IntN(8)-6), rnd.IntN(10) == 0, rnd.IntN(10) == 0, rnd.IntN(20) == 0
		if rnd.IntN(20) == 0 {
			w.reserved = model.Room{Accelerators: 4}
		}
	}
	s := singleStep(1 + rnd.IntN(120))
	s.Each.Accelerators = rnd.IntN(3)
	s.PerWorker = max(0, rnd.IntN(4)-1)
	if rnd.IntN(3) == 0 {
		s.DataRack = "rack002"
	}
	if rnd.IntN(3) == 0 {
		s.Label = "1"
	}
	j := add(e, "job", "bulk", s)
	e.refreshRacks(moment(0))
	e.startsLeft = 1 + rnd.IntN(150)
	b := &j.Batches[0][0]
	if rnd.IntN(4) == 0 {
		b.Tasks[rnd.IntN(len(b.Tasks))] = Task{Failures: 1, failedOn: "r00050"}
	}
	return e, &group{job: j, ref: TaskRef{Job: "job"}, batch: b, step: &j.Work.Steps[0], queue: j.Work.Queue, waiting: b.waiting(false)}
}

// Guards against another choice of workers when those of all tasks are found at once.
func TestTasksOfGroupArePlacedAsOneByOne(t *testing.T) {
	for seed := range uint64(400) {
		is := is.New(t)
		now := moment(time.Second)
		e, g := drawGroup(seed)
		all := e.placeEach(g, now)

		one, h := drawGroup(seed)
		rest := h.waiting
		for len(rest) > 0 && one.startsLeft > 0 {
			h.waiting = rest[:1]
			w := firstByName(one, h, now)
			if w == nil {
				break
			}
			one.start(h, []*worker{w}, now)
			rest = rest[1:]
		}
		is.Equal(g.batch.Tasks, h.batch.Tasks)               // the same tasks on the same workers
		is.Equal(e.TakeOrders(), one.TakeOrders())           // in the same order
		is.Equal(all, len(rest) == 0 || one.startsLeft == 0) // and the same result
	}
}

// firstByName returns the worker for one waiting task of the group, found by sorting all that may run it.
func firstByName(e *Engine, g *group, now Moment) *worker {
	var racks []*rack
	for _, r := range e.racksWithRoom(g, true) {
		if r.name == g.step.DataRack {
			racks = []*rack{r}
		}
	}
	w := firstOn(e, g, racks, now)
	if w != nil || g.step.DataRack != "" && !g.maySpread(e, now) && e.dataRackFits(g) {
		return w
	}
	return firstOn(e, g, e.racksWithRoom(g, false), now)
}

func firstOn(e *Engine, g *group, racks []*rack, now Moment) *worker {
	var ws []*worker
	for _, r := range racks {
		ws = append(ws, e.candidates(g, r.workers, now)...)
	}
	ws = slices.DeleteFunc(ws, func(w *worker) bool { return w.free().Times(g.step.Need(), g.quota(w)) == 0 })
	slices.SortStableFunc(ws, func(a, b *worker) int {
		return cmp.Or(
			compareBools(a.failureStreak > 0 || a.Unproven, b.failureStreak > 0 || b.Unproven),
			cmp.Compare(freeFractions(a.free(), a.Room), freeFractions(b.free(), b.Room)),
		)
	})
	if len(ws) == 0 {
		return nil
	}
	return ws[0]
}

// BenchmarkBundle measures the passes that start bundles of single tasks on 3,000 workers.
func BenchmarkBundle(b *testing.B) {
	e := newRankedEngine(0)
	addRacks(e, 3000)
	now := moment(0)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now.Steady += 100 * time.Millisecond
		now.UnixMs += 100
		id := fmt.Sprint(i)
		add(e, id, "small", singleStep(78)).Work.AcceptedMs = now.UnixMs
		e.Pass(now)
		for _, o := range e.TakeOrders() {
			e.End(o.Task, o.Run, Done, "", now)
		}
		e.Forget(id)
		e.TakeChanged()
	}
}
