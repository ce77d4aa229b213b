package sched

import (
	"greengageline/pkg/model"
)

// Confirm records a worker's report that it has the run, with the run's progress in percent and its
// newest checkpoint. A report of a run that is not the task's present one is ignored.
func (e *Engine) Confirm(ref TaskRef, run int64, percent int, checkpoint string, now Moment) {
	j, b, t := e.find(ref)
	if t == nil || t.Phase != Placed || t.Run != run {
		return
	}
	t.noteReport(percent, checkpoint, now)
	if !t.Confirmed || percent != t.percent {
		t.progressAt = now.Steady
	}
	if !t.Confirmed {
		t.confirmedAt = now.Steady
	}
	if t.disconnectedRun == run {
		t.disconnectedRun, t.disconnectedFrom = 0, 0
		e.changedJobs[ref.Job] = true
	}
	e.clearSuspect(t, now)
	e.observeReport(ref, j, b, t, percent, now)
	t.Confirmed, t.percent = true, percent
	if !j.Started {
		j.Started = true
		e.changedJobs[ref.Job] = true
	}
	if checkpoint == "" {
		return
	}
	t.Checkpoint = checkpoint
	if j.Work.Steps[ref.Step].Gang {
		b.Checkpoint = checkpoint
	}
}

// End records how a run ended and reports whether it was the task's present run. A late report of the
// end of an older run changes nothing.
func (e *Engine) End(ref TaskRef, run int64, cause Cause, checkpoint string, now Moment) bool {
	j, b, t := e.find(ref)
	if t == nil || t.Phase != Placed || t.Run != run {
		return false
	}
	step := &j.Work.Steps[ref.Step]
	workerID := t.Worker
	confirmed, finished := t.Confirmed, t.percent >= completePercent
	stopping := t.Stopping
	switch cause {
	case Done:
		e.observeEnd(ref, j, b, t, now)
	case Stopped:
		e.noteStop(t, now)
	}
	e.removeFromWorker(ref, t, step)
	t.endedAt = now.Steady
	e.changedJobs[ref.Job] = true
	if checkpoint != "" {
		t.Checkpoint = checkpoint
		if step.Gang {
			b.Checkpoint = checkpoint
		}
	}
	if cause == Done || cause == Failed {
		j.Started = true
	}
	if !step.Lasts || !finished {
		// A long-running task that was serving may fail at any time, which says nothing about the
		// health of its worker.
		e.updateHealth(workerID, ref.Job, cause, now)
	}
	if cause == Done && !step.Lasts {
		defer e.noteStepEnd(b, t, step, e.queue(j), now)
		e.completeTask(ref, j, b, t, now)
		return true
	}
	if cause == Failed {
		e.countFailure(j, b, t, step, run, now)
	}
	if !step.Gang {
		return true
	}
	// A gang member whose start had no effect is started on another worker in the same run, as long as
	// the others wait for it.
	if (cause == Refused || cause == Lost && !confirmed) && !stopping && b.run == run && e.membersStillWait(b, now) {
		b.incomplete, t.avoidWorker = true, workerID
		return true
	}
	e.stopGang(ref, b, run)
	return true
}

// membersStillWait reports whether the started members of a gang wait long enough for a missing member
// to start on another worker.
func (e *Engine) membersStillWait(b *Batch, now Moment) bool {
	wait := e.Limits.GangWait
	if wait == 0 {
		wait = defaultGangWait
	}
	return now.Steady-b.startedAt < wait-lateMemberMargin
}

// stopIncompleteGangs stops the gangs whose missing members can no longer start in time.
func (e *Engine) stopIncompleteGangs(now Moment) {
	for _, j := range e.openJobs {
		for k := range j.Batches {
			for s := range j.Batches[k] {
				if b := &j.Batches[k][s]; b.incomplete && !e.membersStillWait(b, now) {
					b.incomplete = false
					e.stopGang(TaskRef{j.Work.ID, k, s, 0}, b, b.run)
				}
			}
		}
	}
}

// removeFromWorker takes a placed task off its worker and sets it to Waiting.
func (e *Engine) removeFromWorker(ref TaskRef, t *Task, step *model.Step) {
	if w := e.workers[t.Worker]; w != nil {
		delete(w.tasks, ref)
		w.used = w.used.Minus(step.Need(), 1)
	}
	e.endIsolation(t)
	t.Phase, t.Confirmed, t.Stopping, t.percent = Waiting, false, false, 0
}

// completeTask marks a task as ended and completes the job if it was the last one. A gang ends as a
// whole: the end of one member is the end of all.
func (e *Engine) completeTask(ref TaskRef, j *Job, b *Batch, t *Task, now Moment) {
	t.Phase = Ended
	b.ended++
	if j.Work.Steps[ref.Step].Gang {
		for i := range b.Tasks {
			m := &b.Tasks[i]
			if m.Phase == Placed {
				e.removeFromWorker(TaskRef{ref.Job, ref.Occurrence, ref.Step, i}, m, &j.Work.Steps[ref.Step])
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

// allEnded reports whether all tasks of the job have ended.
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

// countFailure counts a failed run, once for a gang, and ends the job as failed when its attempts are
// used up. Long-running steps have no limit of attempts.
func (e *Engine) countFailure(j *Job, b *Batch, t *Task, step *model.Step, run int64, now Moment) {
	t.failedOn = t.Worker
	t.Failures++
	n := t.Failures
	if step.Gang {
		if b.lastFailedRun != run {
			b.lastFailedRun = run
			b.Failures++
		}
		n = b.Failures
	}
	if j.Open() && !step.Lasts && n >= max(1, e.queue(j).Attempts) {
		e.finish(j, JobFailed, now, "its attempts are used up")
	}
}

// stopGang stops the members of a gang's run that are still placed.
func (e *Engine) stopGang(ref TaskRef, b *Batch, run int64) {
	b.incomplete = false
	for i := range b.Tasks {
		m := &b.Tasks[i]
		if m.Phase == Placed && m.Run == run {
			e.orderStop(TaskRef{ref.Job, ref.Occurrence, ref.Step, i}, m, "another member of its gang ended")
		}
	}
}

// updateHealth updates the failure record of a worker after the end of a run.
func (e *Engine) updateHealth(id, job string, cause Cause, now Moment) {
	w := e.workers[id]
	if w == nil {
		return
	}
	switch cause {
	case Done:
		w.failureStreak, w.lastQuarantine, w.lastSuccess = 0, 0, now.Steady
		w.successes++
	case Failed:
		e.recordFailure(w, job, now)
	case Stopped, LeaseExpired, GangStopped, GangTimeout, Lost, Refused, Crashed:
	}
}

// recordFailure counts a failure of a job on a worker and quarantines the worker when
// quarantineThreshold is reached. Consecutive failures of one job count once.
func (e *Engine) recordFailure(w *worker, job string, now Moment) {
	if w.lastFailedJob == job && w.failureStreak > 0 {
		return
	}
	w.lastFailedJob = job
	w.failureStreak++
	if w.failureStreak < quarantineThreshold || !e.mayQuarantine(now) {
		return
	}
	w.lastQuarantine = min(max(minQuarantine, 2*w.lastQuarantine), maxQuarantine)
	w.blockedUntil = now.Steady + w.lastQuarantine
}

// mayQuarantine reports whether one more worker may be quarantined.
func (e *Engine) mayQuarantine(now Moment) bool {
	n := 0
	for _, w := range e.sortedWorkers {
		if w.quarantined(now) || now.Steady < w.rejectedUntil {
			n++
		}
	}
	return float64(n+1) <= maxQuarantinedFraction*float64(len(e.sortedWorkers))
}
