package cell

import (
	"fmt"
	"time"

	"greengageline/internal/event"
	"greengageline/internal/place"
	"greengageline/pkg/model"
)

func isDone(m member) bool    { return m.phase == model.PhaseDone }
func isEnded(m member) bool   { return m.phase.Ended() }
func isRunning(m member) bool { return m.phase == model.PhaseRunning && m.known }
func isUp(m member) bool      { return isRunning(m) || isDone(m) }

// mayHaveRun reports whether part of the attempt ran, or nobody can tell.
func mayHaveRun(m member) bool { return m.started }

// isOpen reports whether it is not known what became of a member that may
// have run.
func isOpen(m member) bool { return m.started && !m.known }

// evaluate decides what follows from the members' phases.
func (o *Owner) evaluate(l *live) {
	switch l.phase {
	case phaseRunning:
		o.evaluateRunning(l)
	case phaseStopping:
		if l.all(isEnded) {
			o.stopped(l)
		}
	default:
	}
}

func (o *Owner) evaluateRunning(l *live) {
	if l.all(isDone) {
		o.complete(l)
		return
	}
	if !l.whole && l.all(isUp) {
		l.whole = true
		o.noteStarted(l)
		// The short leases of a gang would not outlive the death of this owner.
		o.renewAll()
	}
	for _, m := range l.members {
		switch m.phase {
		case model.PhaseFailed:
			l.failed = m.Worker
			o.stopMembers(l, whyFailed)
			return
		case model.PhaseLapsed, model.PhaseStopped:
			o.stopMembers(l, whyGone)
			return
		default:
		}
	}
}

func (o *Owner) noteStarted(l *live) {
	if l.startSeen {
		return
	}
	l.startSeen = true
	o.host.step(StepRun, l.job().ID)
	took := time.Duration(nowMs()-l.job().AcceptedMs) * time.Millisecond
	o.host.Meter.JobStarted(took, l.job().Spec.Urgent)
}

// stopMembers tells every member that has not ended to stop; the job goes on
// to its next state when all have, or are certain to have, ended.
func (o *Owner) stopMembers(l *live, reason why) {
	switch l.phase {
	case phaseStarting:
		l.why = reason
		return
	case phaseRunning:
	default:
		return
	}
	l.phase = phaseStopping
	l.why = reason
	l.until = time.Now().Add(o.host.Settings.RunLease)
	if !l.whole {
		l.until = time.Now().Add(o.host.Settings.StartLease)
	}
	if reason == whyIncomplete {
		o.host.Log.Emit(event.GangIncomplete).Str("cell", o.cell).Str("job", l.job().ID).
			Int("attempt", l.attempt).Send()
	}
	o.sendStops(l)
	o.evaluate(l)
}

func (o *Owner) sendStops(l *live) {
	if l.why == whyEvict {
		o.host.step(StepCheckpoint, l.job().ID)
	}
	for _, m := range l.members {
		if m.phase.Ended() {
			continue
		}
		in := model.Stop{
			TaskRef: l.ref(), Fence: model.Fence{Cell: o.cell, Epoch: o.epoch},
			Checkpoint: l.why == whyEvict && l.job().Spec.Checkpoint,
		}
		addr := m.Addr
		o.spawn(func() { o.noteFenced(o.host.Workers.Stop(o.ctx, addr, in)) })
	}
}

// checkJobs acts on what time alone decides.
func (o *Owner) checkJobs() {
	now := time.Now()
	for _, l := range o.jobs {
		switch l.phase {
		case phaseRunning:
			o.checkRunning(l, now)
		case phaseStopping:
			o.checkStopping(l, now)
		default:
		}
	}
}

// checkRunning gives up a gang that has not started as a whole in time, and
// tasks whose leases have certainly run out because their worker is silent.
func (o *Owner) checkRunning(l *live, now time.Time) {
	if !l.whole && now.After(l.until) {
		o.stopMembers(l, whyIncomplete)
		return
	}
	if !l.whole {
		return
	}
	for i := range l.members {
		m := &l.members[i]
		if !m.phase.Ended() && o.silentFor(m.Worker, now) > o.giveUpAfter(l) {
			m.phase, m.known = model.PhaseLapsed, false
		}
	}
	o.evaluate(l)
}

// giveUpAfter is the silence after which a job's tasks on a worker are given
// up. Work that may be repeated is given up after one lease. For work that
// must not run twice it is the time after which its task has certainly ended: a
// renewal whose answer was lost may have been carried out as late as the end
// of the lease before it.
func (o *Owner) giveUpAfter(l *live) time.Duration {
	if l.job().Spec.Idempotent {
		return o.host.Settings.RunLease
	}
	return 2*o.host.Settings.RunLease + o.host.Settings.RunLease/4
}

func (o *Owner) silentFor(worker string, now time.Time) time.Duration {
	w := o.workers[worker]
	if w == nil {
		return 0
	}
	return now.Sub(w.okAt)
}

// checkStopping repeats stops, and takes silent members as ended once their
// leases have certainly run out.
func (o *Owner) checkStopping(l *live, now time.Time) {
	if l.all(isEnded) {
		o.stopped(l)
		return
	}
	if now.Before(l.until) {
		o.sendStops(l)
		return
	}
	for i := range l.members {
		if m := &l.members[i]; !m.phase.Ended() && o.leaseOver(l, m, now) {
			m.phase, m.known = model.PhaseLapsed, false
		}
	}
	o.evaluate(l)
}

// leaseOver reports whether no renewal that the worker may have got can still
// keep the member alive.
func (o *Owner) leaseOver(l *live, m *member, now time.Time) bool {
	w := o.workers[m.Worker]
	if w == nil {
		return true
	}
	if now.Sub(w.okAt) <= o.giveUpAfter(l) && !w.gone {
		o.sendStops(l)
		return false
	}
	return true
}

// loseWorker notes that a member's worker is gone for good.
func (o *Owner) loseWorker(l *live, id string) {
	x := l.on(id)
	if x == nil {
		return
	}
	l.lostVM = true
	if !x.phase.Ended() {
		x.phase, x.known = model.PhaseLapsed, false
	}
	o.evaluate(l)
}

// stopped decides what becomes of a job whose members have all ended.
func (o *Owner) stopped(l *live) {
	switch {
	case l.all(isDone):
		o.complete(l)
	case l.cancelled:
		o.step(place.Ended{ID: l.job().ID, Outcome: place.Removed})
		o.finish(l, l.job().WithState(model.Cancelled, nowMs(), string(whyCancel)))
	case l.job().Spec.Idempotent:
		o.again(l)
	case !l.any(mayHaveRun):
		o.requeue(l, place.Removed, "", "no part of the attempt ran: "+string(l.why))
	default:
		o.endOnce(l)
	}
}

// again runs an idempotent job once more.
func (o *Owner) again(l *live) {
	outcome, worker := place.Removed, ""
	if l.why == whyFailed {
		outcome, worker = place.Broke, l.failed
		l.entry.Job = l.job().WithFailedOn(l.failed)
	}
	o.requeue(l, outcome, worker, string(l.why))
}

// endOnce ends a job that must not run twice and may have run: as failed if
// its workers tell what happened, as unknown if nobody can.
func (o *Owner) endOnce(l *live) {
	if l.any(isOpen) && !l.lostVM {
		if l.silentFrom.IsZero() {
			l.silentFrom = time.Now()
		}
		if time.Since(l.silentFrom) < o.host.Settings.UnknownAfter {
			o.askAgain(l)
			return
		}
	}
	outcome := place.Removed
	if l.why == whyFailed {
		outcome = place.Broke
	}
	o.step(place.Ended{ID: l.job().ID, Outcome: outcome, Worker: l.failed})
	if l.any(isOpen) {
		reason := "it may have run, and its worker can't be asked; it is not run again"
		o.host.Log.Emit(event.JobUnknown).Str("cell", o.cell).Str("job", l.job().ID).
			Str("reason", reason).Send()
		o.finish(l, l.job().WithState(model.Unknown, nowMs(), reason))
		return
	}
	reason := fmt.Sprintf("it ran in part and ended (%s: %s); it is not run again", l.why, l.memberError())
	o.finish(l, l.job().WithState(model.Failed, nowMs(), reason))
}

func (l *live) memberError() string {
	for _, m := range l.members {
		if m.err != "" {
			return m.err
		}
	}
	return "no error was reported"
}

// askAgain keeps asking silent workers what became of their members.
func (o *Owner) askAgain(l *live) {
	for i := range l.members {
		if m := &l.members[i]; isOpen(*m) {
			o.look(l, m)
		}
	}
}

// requeue gives the job back to the engine for another attempt.
func (o *Owner) requeue(l *live, outcome place.Outcome, worker, reason string) {
	l.phase = phaseQueued
	l.members = nil
	l.why = ""
	o.host.Log.Emit(event.JobRequeued).Str("cell", o.cell).Str("job", l.job().ID).
		Int("attempt", l.attempt).Str("worker", worker).Str("reason", reason).Send()
	o.step(place.Ended{ID: l.job().ID, Outcome: outcome, Worker: worker, Requeue: true})
}
