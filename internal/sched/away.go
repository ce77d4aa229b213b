package sched

import (
	"maps"
	"slices"

	"greengageline/pkg/model"
)

// away counts the tasks of a batch that are not at work: those that wait, begin,
// or are being stopped.
func (b *Batch) away() int {
	n := 0
	for i := range b.Tasks {
		if t := &b.Tasks[i]; t.Phase != Placed || !t.Live || t.Stopping || t.percent < wholePercent {
			n++
		}
	}
	return n
}

// spareTasks is how many tasks of a lasting step may be stopped now without more
// of them away than its caller allows.
func (b *Batch) spareTasks(step *model.Step) int { return max(0, step.MayMiss-b.away()) }

// Load is what runs on a worker.
type Load struct {
	// Runs counts them all, Lasting those that do not end by themselves.
	Runs, Lasting int
	// Loss is the work, in core-seconds, that stopping all of them throws away.
	Loss float64
	// Bound means that more lasting tasks run there than may be away now or have
	// room elsewhere, so that the worker can't be emptied.
	Bound bool
}

// Load returns what runs on a worker; a run that is being stopped costs nothing.
func (e *Engine) Load(id string, now Moment) Load {
	var l Load
	w := e.workers[id]
	if w == nil {
		return l
	}
	lasting := map[*Batch]int{}
	var need model.Room
	for ref, t := range w.tasks {
		l.Runs++
		j, b, _ := e.find(ref)
		if j == nil || t.Stopping {
			continue
		}
		step := &j.Work.Steps[ref.Step]
		l.Loss += loss(t, step, now)
		if !step.Lasts || !j.Open() {
			continue
		}
		l.Lasting++
		if lasting[b]++; lasting[b] > b.spareTasks(step) {
			need = need.Plus(step.Need(), 1)
		}
	}
	if need != (model.Room{}) {
		l.Bound = !e.roomElsewhere(w, need, now)
	}
	return l
}

// roomElsewhere reports whether the other workers of a worker's pool have the
// room in all.
func (e *Engine) roomElsewhere(w *worker, need model.Room, now Moment) bool {
	var free model.Room
	for _, o := range e.order {
		if o != w && o.Pool == w.Pool && o.open(now) {
			free = free.Plus(o.spare(), 1)
		}
	}
	return free.Times(need, 1) > 0
}

// Evacuate stops the runs on a worker that may be stopped now, so that they go
// on elsewhere; of lasting work as much as its caller allows to be away, and at
// least one task at a time, or the worker could never be emptied.
func (e *Engine) Evacuate(id, reason string) {
	w := e.workers[id]
	if w == nil {
		return
	}
	for _, ref := range slices.SortedFunc(maps.Keys(w.tasks), compareRefs) {
		j, b, t := e.find(ref)
		if t == nil || t.Stopping {
			continue
		}
		if step := &j.Work.Steps[ref.Step]; step.Lasts && j.Open() && b.away() >= max(1, step.MayMiss) {
			continue
		}
		e.stopRun(ref, reason)
	}
}
