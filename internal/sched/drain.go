package sched

import (
	"maps"
	"slices"

	"greengageline/pkg/model"
)

// unavailable counts the tasks of a long-running batch that are not serving: those that wait, are
// starting, or are being stopped.
func (b *Batch) unavailable() int {
	n := 0
	for i := range b.Tasks {
		if t := &b.Tasks[i]; t.Phase != Placed || !t.Confirmed || t.Stopping || t.percent < completePercent {
			n++
		}
	}
	return n
}

// disruptionsAllowed returns how many tasks of a long-running step may be stopped now without exceeding
// MayMiss, the number of tasks that its caller can do without.
func (b *Batch) disruptionsAllowed(step *model.Step) int { return max(0, step.MayMiss-b.unavailable()) }

// Load describes what runs on a worker.
type Load struct {
	// Runs counts all runs, LongRunning those that do not end by themselves and are not being stopped.
	Runs, LongRunning int
	// Loss is the work, in core-seconds, that stopping all of the runs loses.
	Loss float64
	// CannotDrain means that more long-running tasks run there than may be stopped now, and that the
	// other workers lack the capacity for the excess.
	CannotDrain bool
}

// Load returns what runs on a worker. A run that is being stopped adds nothing to Loss.
func (e *Engine) Load(id string, now Moment) Load {
	var l Load
	w := e.workers[id]
	if w == nil {
		return l
	}
	counted := map[*Batch]int{}
	var need model.Room
	for ref, t := range w.tasks {
		l.Runs++
		j, b, _ := e.find(ref)
		if j == nil || t.Stopping {
			continue
		}
		step := &j.Work.Steps[ref.Step]
		l.Loss += loss(t, b, step, now)
		if !step.Lasts || !j.Open() {
			continue
		}
		l.LongRunning++
		if counted[b]++; counted[b] > b.disruptionsAllowed(step) {
			need = need.Plus(step.Need(), 1)
		}
	}
	if need != (model.Room{}) {
		l.CannotDrain = !e.fitsElsewhere(w, need, now)
	}
	return l
}

// fitsElsewhere reports whether the other workers of the worker's pool have enough free capacity in
// total.
func (e *Engine) fitsElsewhere(w *worker, need model.Room, now Moment) bool {
	var free model.Room
	for _, o := range e.sortedWorkers {
		if o != w && o.Pool == w.Pool && o.schedulable(now) {
			free = free.Plus(o.available(), 1)
		}
	}
	return free.Times(need, 1) > 0
}

// DrainWorker stops the runs on a worker that may be stopped now, so that they restart on other workers.
// Of a long-running step it stops as many tasks as MayMiss allows, but at least one at a time,
// otherwise the worker could never be drained.
func (e *Engine) DrainWorker(id, reason string) {
	w := e.workers[id]
	if w == nil {
		return
	}
	for _, ref := range slices.SortedFunc(maps.Keys(w.tasks), compareRefs) {
		j, b, t := e.find(ref)
		if t == nil || t.Stopping {
			continue
		}
		if step := &j.Work.Steps[ref.Step]; step.Lasts && j.Open() && b.unavailable() >= max(1, step.MayMiss) {
			continue
		}
		e.stopRun(ref, reason)
	}
}
