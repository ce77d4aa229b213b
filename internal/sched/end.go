package sched

import (
	"greengageline/pkg/model"
)

// Confirm notes that a worker has the run, with its progress in percent and its
// newest checkpoint.
func (e *Engine) Confirm(ref Ref, run int64, percent int, saved string, now Moment) {
	j, b, t := e.find(ref)
	if t == nil || t.Phase != Placed || t.Run != run {
		return
	}
	if !t.Live || percent != t.percent {
		t.movedAt = now.Steady
	}
	t.Live, t.percent = true, percent
	if !j.Begun {
		j.Begun = true
		e.changed[ref.Job] = true
	}
	if saved == "" {
		return
	}
	t.Saved = saved
	if j.Work.Steps[ref.Step].Gang {
		b.Saved = saved
	}
}

// End notes how a run ended and reports whether it was the task's present run.
// A late end of an older run changes nothing.
func (e *Engine) End(ref Ref, run int64, cause Cause, saved string, now Moment) bool {
	j, b, t := e.find(ref)
	if t == nil || t.Phase != Placed || t.Run != run {
		return false
	}
	step := &j.Work.Steps[ref.Step]
	at := t.Worker
	began, worked := t.Live, t.percent >= wholePercent
	stopping := t.Stopping
	e.vacate(ref, t, step)
	e.changed[ref.Job] = true
	if saved != "" {
		t.Saved = saved
		if step.Gang {
			b.Saved = saved
		}
	}
	if cause == Done || cause == Failed {
		j.Begun = true
	}
	if !step.Lasts || !worked {
		// A lasting task that was at work may fail at any time: that says
		// nothing of its worker.
		e.judge(at, ref.Job, cause, now)
	}
	if cause == Done && !step.Lasts {
		e.done(ref, j, b, t, now)
		return true
	}
	if cause == Failed {
		e.failed(j, b, t, step, run, now)
	}
	if !step.Gang {
		return true
	}
	// A member whose start did nothing is started elsewhere in the same run,
	// as long as the others wait for it.
	if (cause == Refused || cause == Lost && !began) && !stopping && b.run == run && e.waits(b, now) {
		b.short, t.avoid = true, at
		return true
	}
	e.breakUp(ref, b, run)
	return true
}

// waits reports whether the members of a gang that have started still wait for
// the others for long enough.
func (e *Engine) waits(b *Batch, now Moment) bool {
	wait := e.Limits.GangWait
	if wait == 0 {
		wait = defaultGangWait
	}
	return now.Steady-b.startedAt < wait-joinMargin
}

// breakShort breaks up the gangs whose missing members come too late.
func (e *Engine) breakShort(now Moment) {
	for _, j := range e.open {
		for k := range j.Batches {
			for s := range j.Batches[k] {
				if b := &j.Batches[k][s]; b.short && !e.waits(b, now) {
					b.short = false
					e.breakUp(Ref{j.Work.ID, k, s, 0}, b, b.run)
				}
			}
		}
	}
}

// vacate takes a placed task off its worker.
func (e *Engine) vacate(ref Ref, t *Task, step *model.Step) {
	if w := e.workers[t.Worker]; w != nil {
		delete(w.tasks, ref)
		w.used = w.used.Minus(step.Need(), 1)
	}
	t.Phase, t.Live, t.Stopping, t.percent = Waiting, false, false, 0
}

// done books a task as ended; a gang ends as one, so that one member's end is
// that of all.
func (e *Engine) done(ref Ref, j *Job, b *Batch, t *Task, now Moment) {
	t.Phase = Ended
	b.ended++
	if j.Work.Steps[ref.Step].Gang {
		for i := range b.Tasks {
			m := &b.Tasks[i]
			if m.Phase == Placed {
				e.vacate(Ref{ref.Job, ref.Time, ref.Step, i}, m, &j.Work.Steps[ref.Step])
			}
			if m.Phase != Ended {
				m.Phase = Ended
				b.ended++
			}
		}
	}
	if j.Open() && allEnded(j) {
		e.finish(j, Completed, now, "all its tasks have ended")
	}
}

func allEnded(j *Job) bool {
	for k := range j.Batches {
		for s := range j.Batches[k] {
			if j.Batches[k][s].ended < len(j.Batches[k][s].Tasks) {
				return false
			}
		}
	}
	return true
}

// failed counts a failed run, once for a gang, and ends the job when its
// attempts are used up.
func (e *Engine) failed(j *Job, b *Batch, t *Task, step *model.Step, run int64, now Moment) {
	t.blamed = t.Worker
	t.Failures++
	n := t.Failures
	if step.Gang {
		if b.failedRun != run {
			b.failedRun = run
			b.Failures++
		}
		n = b.Failures
	}
	if j.Open() && !step.Lasts && n >= max(1, e.queue(j).Attempts) {
		e.finish(j, Gone, now, "its attempts are used up")
	}
}

// breakUp stops what is left of a gang's run.
func (e *Engine) breakUp(ref Ref, b *Batch, run int64) {
	b.short = false
	for i := range b.Tasks {
		m := &b.Tasks[i]
		if m.Phase == Placed && m.Run == run {
			e.stop(Ref{ref.Job, ref.Time, ref.Step, i}, m, "another member of its gang ended")
		}
	}
}

// judge learns from an end how sound its worker is.
func (e *Engine) judge(id, job string, cause Cause, now Moment) {
	w := e.workers[id]
	if w == nil {
		return
	}
	switch cause {
	case Done:
		w.strikes, w.quarantine, w.lastGood = 0, 0, now.Steady
		w.goods++
	case Failed:
		e.strike(w, job, now)
	case Stopped, Lapsed, Broken, Alone, Lost, Refused:
	}
}

func (e *Engine) strike(w *worker, job string, now Moment) {
	if w.strikeJob == job && w.strikes > 0 {
		return
	}
	w.strikeJob = job
	w.strikes++
	if w.strikes < strikeLimit || !e.mayQuarantine(now) {
		return
	}
	w.quarantine = min(max(firstQuarantine, 2*w.quarantine), maxQuarantine)
	w.badUntil = now.Steady + w.quarantine
}

func (e *Engine) mayQuarantine(now Moment) bool {
	n := 0
	for _, w := range e.order {
		if now.Steady < w.badUntil {
			n++
		}
	}
	return float64(n+1) <= quarantineShare*float64(len(e.order))
}
