package cell

import (
	"fmt"
	"time"

	"greengageline/internal/event"
	"greengageline/internal/place"
	"greengageline/pkg/model"
)

func isDone(m member) bool          { return m.phase == model.PhaseDone }
func isEnded(m member) bool         { return m.phase.Ended() }
func isRunning(m member) bool       { return m.phase == model.PhaseRunning && m.reported }
func isRunningOrDone(m member) bool { return isRunning(m) || isDone(m) }

// mayHaveRun reports whether the member's task ran or may have run.
func mayHaveRun(m member) bool { return m.mayHaveRun }

// isUnresolved reports whether a member may have run and its worker has not reported
// its outcome.
func isUnresolved(m member) bool { return m.mayHaveRun && !m.reported }

// evaluate moves the job to the state that follows from its members' phases.
func (o *Owner) evaluate(j *openJob) {
	switch j.phase {
	case phaseRunning:
		o.evaluateRunning(j)
	case phaseStopping:
		if j.all(isEnded) {
			o.resolveStopped(j)
		}
	default:
	}
}

func (o *Owner) evaluateRunning(j *openJob) {
	if j.all(isDone) {
		o.complete(j)
		return
	}
	if !j.allRunning && j.all(isRunningOrDone) {
		j.allRunning = true
		o.meterStart(j)
		// Extend the members' leases at once: the short start leases of a gang would
		// expire before a new owner could take over if this one died now.
		o.renewWorkers()
	}
	for _, m := range j.members {
		switch m.phase {
		case model.PhaseFailed:
			j.failedWorker = m.Worker
			o.stopMembers(j, stopTaskFailed)
			return
		case model.PhaseLapsed, model.PhaseStopped:
			o.stopMembers(j, stopTaskGone)
			return
		default:
		}
	}
}

// meterStart reports a complete start of the job to the hook and the meter, once for each
// attempt. An owner that adopts the attempt from another reports it again.
func (o *Owner) meterStart(j *openJob) {
	if j.startRecorded {
		return
	}
	j.startRecorded = true
	o.host.runHook(StepRun, j.job().ID)
	took := time.Duration(nowMs()-j.job().AcceptedMs) * time.Millisecond
	o.host.Meter.JobStarted(took, j.job().Spec.Urgent)
}

// stopMembers sends a stop to every member that has not ended. The job moves to its
// next state once all members have ended, or their leases have certainly expired. A
// job that is being started is stopped when its starter has finished.
func (o *Owner) stopMembers(j *openJob, reason stopReason) {
	switch j.phase {
	case phaseStarting:
		j.stopReason = reason
		return
	case phaseRunning:
	default:
		return
	}
	j.phase = phaseStopping
	j.stopReason = reason
	j.deadline = time.Now().Add(o.host.Settings.RunLease)
	if !j.allRunning {
		j.deadline = time.Now().Add(o.host.Settings.StartLease)
	}
	if reason == stopGangIncomplete {
		o.host.Log.Emit(event.GangIncomplete).Str("cell", o.cell).Str("job", j.job().ID).
			Int("attempt", j.attempt).Send()
	}
	o.sendStops(j)
	o.evaluate(j)
}

func (o *Owner) sendStops(j *openJob) {
	if j.stopReason == stopEvicted {
		o.host.runHook(StepCheckpoint, j.job().ID)
	}
	for _, m := range j.members {
		if m.phase.Ended() {
			continue
		}
		in := model.Stop{
			TaskRef: j.ref(), Fence: model.Fence{Cell: o.cell, Epoch: o.epoch},
			Checkpoint: j.stopReason == stopEvicted && j.job().Spec.Checkpoint,
		}
		addr := m.Addr
		o.spawn(func() { o.markIfFenced(o.host.Workers.Stop(o.ctx, addr, in)) })
	}
}

// checkTimeouts applies the time limits of running and stopping jobs.
func (o *Owner) checkTimeouts() {
	now := time.Now()
	for _, j := range o.jobs {
		switch j.phase {
		case phaseRunning:
			o.checkRunning(j, now)
		case phaseStopping:
			o.checkStopping(j, now)
		default:
		}
	}
}

// checkRunning stops a job whose members have not all started in time. Once they have, it
// gives up tasks whose worker has not answered for longer than silenceLimit.
func (o *Owner) checkRunning(j *openJob, now time.Time) {
	if !j.allRunning && now.After(j.deadline) {
		o.stopMembers(j, stopGangIncomplete)
		return
	}
	if !j.allRunning {
		return
	}
	for i := range j.members {
		m := &j.members[i]
		if !m.phase.Ended() && o.silentFor(m.Worker, now) > o.silenceLimit(j) {
			m.phase, m.reported = model.PhaseLapsed, false
		}
	}
	o.evaluate(j)
}

// silenceLimit is how long a worker may be silent before the job's tasks on it are
// given up. For an idempotent job this is one lease. For a job that must not run twice
// it is the time after which its task has certainly ended: a renewal whose answer was
// lost may have been executed as late as the end of the previous lease.
func (o *Owner) silenceLimit(j *openJob) time.Duration {
	if j.job().Spec.Idempotent {
		return o.host.Settings.RunLease
	}
	return 2*o.host.Settings.RunLease + o.host.Settings.RunLease/4
}

func (o *Owner) silentFor(worker string, now time.Time) time.Duration {
	w := o.workers[worker]
	if w == nil {
		return 0
	}
	return now.Sub(w.answeredAt)
}

// checkStopping repeats the stops, and treats silent members as ended once their
// leases have certainly expired.
func (o *Owner) checkStopping(j *openJob, now time.Time) {
	if j.all(isEnded) {
		o.resolveStopped(j)
		return
	}
	if now.Before(j.deadline) {
		o.sendStops(j)
		return
	}
	for i := range j.members {
		if m := &j.members[i]; !m.phase.Ended() && o.checkLeaseExpired(j, m, now) {
			m.phase, m.reported = model.PhaseLapsed, false
		}
	}
	o.evaluate(j)
}

// checkLeaseExpired reports whether no renewal that the worker may have received can still
// keep the member alive. If one can, it repeats the stops.
func (o *Owner) checkLeaseExpired(j *openJob, m *member, now time.Time) bool {
	w := o.workers[m.Worker]
	if w == nil {
		return true
	}
	if now.Sub(w.answeredAt) <= o.silenceLimit(j) && !w.lost {
		o.sendStops(j)
		return false
	}
	return true
}

// memberWorkerLost applies the permanent loss of a worker to the job's member on it.
func (o *Owner) memberWorkerLost(j *openJob, id string) {
	m := j.memberOn(id)
	if m == nil {
		return
	}
	j.workerLost = true
	if !m.phase.Ended() {
		m.phase, m.reported = model.PhaseLapsed, false
	}
	o.evaluate(j)
}

// resolveStopped decides the next state of a job whose members have all ended.
func (o *Owner) resolveStopped(j *openJob) {
	switch {
	case j.all(isDone):
		o.complete(j)
	case j.cancelled:
		o.stepEngine(place.Ended{ID: j.job().ID, Outcome: place.Stopped})
		o.endJob(j, j.job().WithState(model.Cancelled, nowMs(), string(stopCancelled)))
	case j.job().Spec.Idempotent:
		o.retry(j)
	case !j.any(mayHaveRun):
		o.requeue(j, place.Stopped, "", "no part of the attempt ran: "+string(j.stopReason))
	default:
		o.endWithoutRetry(j)
	}
}

// retry queues an idempotent job for another attempt.
func (o *Owner) retry(j *openJob) {
	outcome, worker := place.Stopped, ""
	if j.stopReason == stopTaskFailed {
		outcome, worker = place.Failed, j.failedWorker
		j.entry.Job = j.job().WithFailedOn(j.failedWorker)
	}
	o.requeue(j, outcome, worker, string(j.stopReason))
}

// endWithoutRetry ends a job that must not run twice and may have run: as failed if its
// workers report what happened, as unknown if that can't be found out. While a member is
// unresolved and no worker of the job is lost, it returns without ending the job until
// UnknownAfter has passed, and queries the workers of such members; each evaluation of the
// job and each check of its time limits calls it again.
func (o *Owner) endWithoutRetry(j *openJob) {
	if j.any(isUnresolved) && !j.workerLost {
		if j.unresolvedSince.IsZero() {
			j.unresolvedSince = time.Now()
		}
		if time.Since(j.unresolvedSince) < o.host.Settings.UnknownAfter {
			o.queryUnresolved(j)
			return
		}
	}
	outcome := place.Stopped
	if j.stopReason == stopTaskFailed {
		outcome = place.Failed
	}
	o.stepEngine(place.Ended{ID: j.job().ID, Outcome: outcome, Worker: j.failedWorker})
	if j.any(isUnresolved) {
		reason := "it may have run, and its worker can't be asked; it is not run again"
		o.host.Log.Emit(event.JobUnknown).Str("cell", o.cell).Str("job", j.job().ID).
			Str("reason", reason).Send()
		o.endJob(j, j.job().WithState(model.Unknown, nowMs(), reason))
		return
	}
	reason := fmt.Sprintf("it ran in part and ended (%s: %s); it is not run again", j.stopReason, j.memberError())
	o.endJob(j, j.job().WithState(model.Failed, nowMs(), reason))
}

func (j *openJob) memberError() string {
	for _, m := range j.members {
		if m.taskError != "" {
			return m.taskError
		}
	}
	return "no error was reported"
}

// unresolvedQueryInterval is the time between two queries about the unresolved members of a job.
// An unresolved outcome may take until UnknownAfter, so a query a second loses nothing.
const unresolvedQueryInterval = time.Second

// queryUnresolved sends a query to the worker of each unresolved member, at intervals. The answers
// arrive as lookupResult messages, which evaluate the job anew.
func (o *Owner) queryUnresolved(j *openJob) {
	if time.Since(j.queriedAt) < unresolvedQueryInterval {
		return
	}
	j.queriedAt = time.Now()
	for i := range j.members {
		if m := &j.members[i]; isUnresolved(*m) {
			o.lookUp(j, m)
		}
	}
}

// requeue returns the job to the engine for another attempt.
func (o *Owner) requeue(j *openJob, outcome place.Outcome, worker, reason string) {
	j.phase = phaseQueued
	j.members = nil
	j.stopReason = ""
	o.host.Log.Emit(event.JobRequeued).Str("cell", o.cell).Str("job", j.job().ID).
		Int("attempt", j.attempt).Str("worker", worker).Str("reason", reason).Send()
	o.stepEngine(place.Ended{ID: j.job().ID, Outcome: outcome, Worker: worker, Requeue: true})
}
