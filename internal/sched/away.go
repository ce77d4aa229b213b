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
	Runs int
	// Loss is the work, in core-seconds, that stopping all of them throws away.
	Loss float64
}

// Load returns what runs on a worker; a run that is being stopped costs nothing.
func (e *Engine) Load(id string, now Moment) Load {
	var l Load
	w := e.workers[id]
	if w == nil {
		return l
	}
	for ref, t := range w.tasks {
		l.Runs++
		if j := e.jobs[ref.Job]; j != nil && !t.Stopping {
			l.Loss += loss(t, &j.Work.Steps[ref.Step], now)
		}
	}
	return l
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
