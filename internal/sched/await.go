package sched

import (
	"time"
)

const (
	// reclaimTime is the time from acceptance within which guaranteed work must start, by the users' pages.
	reclaimTime = 2700 * time.Millisecond
	// sendReserve is the part of reclaimTime that is left for sending the starts.
	sendReserve = 600 * time.Millisecond
	// slackReserve is left of the slack of urgent work after a wait and a stop, since estimates are off.
	slackReserve = 600 * time.Millisecond
	// maxStop is the longest time that the stop of a run takes on every deployment.
	maxStop = time.Second
	// roomWait is how long urgent work waits for room before it has runs stopped.
	roomWait = 300 * time.Millisecond
	// maxAwait bounds how long urgent work waits for a run to end. It is well below reservationTimeout.
	maxAwait = time.Second
	// freeAwait is a time in which a stop would not free the capacity either.
	freeAwait = 300 * time.Millisecond
)

// expectedStop returns how long the stop of a run takes: the average of those measured, or maxStop if none was.
func (e *Engine) expectedStop() time.Duration {
	if e.stopTime == 0 {
		return maxStop
	}
	return e.stopTime
}

// noteStop records how long the stop of a run took, as a moving average.
func (e *Engine) noteStop(t *Task, now Moment) {
	if took := now.Steady - t.stopAt; t.stopAt > 0 && took > 0 {
		e.stopTime = e.expectedStop() + (min(took, maxStop)-e.expectedStop())/8
	}
}

// slack returns how long the urgent group may wait before it starts, less the time that a stop takes.
func (e *Engine) slack(g *group, now Moment) time.Duration {
	passed := time.Duration(now.UnixMs-g.job.Work.DueMs(g.ref.Occurrence)) * time.Millisecond
	left := maxAwait
	if g.lateness == inTime {
		goal := g.queue.Stretch*float64(g.job.Work.ChainMs()) + float64(g.queue.AimMs)
		left = time.Duration(goal-float64(e.remainingMs(g.job, g.ref.Occurrence, g.queue, now)))*time.Millisecond - passed
	}
	if g.guaranteed {
		left = min(left, reclaimTime-passed-sendReserve)
	}
	return left - e.expectedStop() - slackReserve
}

// awaitLimit returns how long the urgent group may wait for runs to end rather than stop them: as long as it could still be
// in time if they had to be stopped after all.
func (e *Engine) awaitLimit(g *group, now Moment) time.Duration {
	return max(freeAwait, min(maxAwait, e.slack(g, now)/2))
}

// await makes the victim one that is waited for instead of stopped if its run, or that of its whole gang, ends within
// the limit.
func (v *victim) await(b *Batch, gang bool, limit time.Duration, now Moment) {
	left, ok := v.task.endsIn(now)
	if gang {
		for i := range b.Tasks {
			l, known := b.Tasks[i].endsIn(now)
			left, ok = max(left, l), ok && known
		}
	}
	if !ok || left > limit {
		return
	}
	v.awaited = true
	v.cost *= left.Seconds() / limit.Seconds() * awaitCost
}

// awaitCost is the cost of waiting as long as allowed for a run, as a fraction of that of stopping it.
const awaitCost = 0.2

// awaitRun records that the batch waits for a run until a time.
func (b *Batch) awaitRun(ref TaskRef, run int64, until time.Duration) {
	b.awaited = append(b.awaited, awaitedRun{ref, run})
	b.awaitUntil = until
}

// awaitedRun is a run for whose end a batch with reserved capacity waits.
type awaitedRun struct {
	ref TaskRef
	run int64
}

// stopAwaited stops the runs for which the batch has waited long enough and that have not ended.
func (e *Engine) stopAwaited(b *Batch, workspace string, now Moment) {
	if len(b.awaited) == 0 || now.Steady < b.awaitUntil {
		return
	}
	for _, a := range b.awaited {
		if run, _, placed := e.CurrentRun(a.ref); placed && run == a.run {
			e.stopRun(a.ref, "urgent work of "+workspace+" needs the capacity and the run has not ended as predicted")
		}
	}
	b.awaited, b.reservedAt = nil, now.Steady
}

// mayWaitForRoom reports whether the urgent group first waits for runs to end before it has any stopped: in a pool
// that is full, room becomes free all the time.
func (e *Engine) mayWaitForRoom(g *group, now Moment) bool {
	return g.lateness == inTime && now.Steady-g.batch.readyAt < roomWait && e.slack(g, now) > 0
}
