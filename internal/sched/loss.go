package sched

import (
	"math"
	"slices"
	"time"

	"greengageline/pkg/model"
)

const (
	// checkpointLoss is the work in seconds that a run with checkpoints loses at most: the longest
	// checkpoint interval on the users' deployments.
	checkpointLoss = 2
	// restartCost is the time in seconds that a restart takes, in which its capacity does no work.
	restartCost = 0.6
	// requeueTime is how long a stopped task takes to run again at least: its stop and the wait for other room.
	requeueTime = 2 * time.Second
	// minProgress is the progress, in percent, from which the time to a run's end is predicted.
	minProgress = 10
	// harmWeight is what a core-second of a job that stops from being in time counts, compared with one of work that is
	// thrown away.
	harmWeight = 1
	// lateWorth is the fraction of its worth that a late job still earns, by the users' pages.
	lateWorth = 0.15
)

// noteReport records what a worker's report says about the progress of the task's present run. It must be called before
// Confirmed, percent and Checkpoint are updated.
func (t *Task) noteReport(percent int, checkpoint string, now Moment) {
	if !t.Confirmed {
		t.firstPercent = percent
	}
	if checkpoint != "" && checkpoint != t.Checkpoint {
		t.savedAt = now.Steady
	}
}

// unsaved returns for how many seconds the run has done work that a stop loses.
func (t *Task) unsaved(step *model.Step, now Moment) float64 {
	ran := (now.Steady - t.placedAt).Seconds()
	if !step.Resumes {
		return ran
	}
	return min(ran, float64(checkpointLoss), (now.Steady - max(t.placedAt, t.savedAt)).Seconds())
}

// endsIn predicts from its progress when the run of a placed task ends. ok is false if the reports don't say: too little
// progress has been reported, or the run is slower than it was.
func (t *Task) endsIn(now Moment) (left time.Duration, ok bool) {
	done := t.percent - t.firstPercent
	if !t.Confirmed || t.Stopping || done < minProgress {
		return 0, false
	}
	left = (t.progressAt-t.confirmedAt)*time.Duration(100-t.percent)/time.Duration(done) - (now.Steady - t.progressAt)
	return left, left > 0
}

// loss estimates the work, in core-seconds, that stopping a run loses: what it has not saved and the time of a restart,
// for all members of a gang.
func loss(t *Task, b *Batch, step *model.Step, now Moment) float64 {
	ran, n := t.unsaved(step, now), 1
	if step.Gang {
		n = step.Tasks
		for i := range b.Tasks {
			ran = min(ran, b.Tasks[i].unsaved(step, now))
		}
	}
	return (ran + restartCost) * float64(n) * step.Need().Cores()
}

// outlook is what is known about the end of a batch, for the choice of the runs to stop.
type outlook struct {
	// harm is the work, in core-seconds, that the job loses beyond what is thrown away if one more task of the batch is stopped.
	harm float64
	// endsIn is when the last running task of the batch ends; endKnown is false if a task waits, stops or can't be predicted.
	endsIn   time.Duration
	endKnown bool
}

// outlookOf returns the outlook of a batch of an open job.
func (e *Engine) outlookOf(j *Job, ref TaskRef, b *Batch, step *model.Step, now Moment) outlook {
	o := outlook{endKnown: true}
	if step.Lasts {
		return outlook{}
	}
	estimate := time.Duration(step.EstimateMs) * time.Millisecond
	var last time.Duration
	running := 0
	for i := range b.Tasks {
		t := &b.Tasks[i]
		switch {
		case t.Phase == Ended:
			continue
		case t.Phase == Waiting || t.Stopping:
			o.endKnown = false
			last = max(last, requeueTime+estimate)
			continue
		}
		running++
		left, ok := t.endsIn(now)
		if !ok {
			o.endKnown = false
			left = max(estimate/10, estimate-(now.Steady-t.placedAt))
		}
		last = max(last, left)
	}
	o.endsIn = last
	q := e.queue(j)
	goal := q.Stretch*float64(j.Work.ChainMs()) + float64(q.AimMs)
	if goal <= 0 {
		return o
	}
	passed := float64(now.UnixMs - j.Work.DueMs(ref.Occurrence))
	others := max(0, float64(j.remainingMs(ref.Occurrence, nil)-step.EstimateMs))
	ends := passed + others + float64(last.Milliseconds())
	stopped := max(ends, passed+others+float64((requeueTime+estimate).Milliseconds()))
	work := 0.0
	for i := range j.Work.Steps {
		s := &j.Work.Steps[i]
		work += float64(s.Tasks) * s.Need().Cores() * float64(s.EstimateMs) / 1000
	}
	o.harm = harmWeight * work * max(0, worthAt(ends, goal)-worthAt(stopped, goal))
	return o
}

// worthAt returns the expected fraction of its worth that a job earns which is predicted to end after a time, both in ms.
// Predictions are off by about a tenth, so that the worth falls around the goal rather than at it.
func worthAt(end, goal float64) float64 {
	const spread = 0.1
	step := func(at float64) float64 { return min(1, max(0, 0.5+(at-end)/(2*spread*at))) }
	return lateWorth*step(lateFactor*goal) + (1-lateWorth)*step(goal)
}

// costOf returns the weighted cost of stopping a run.
func (e *Engine) costOf(ref TaskRef, j *Job, t *Task, o outlook, now Moment) float64 {
	b, step := &j.Batches[ref.Occurrence][ref.Step], &j.Work.Steps[ref.Step]
	return (loss(t, b, step, now) + o.harm) * math.Pow(priorityCostFactor, -float64(e.queue(j).Priority))
}

// sortVictims sorts victims by cost.
func sortVictims(vs []victim) {
	slices.SortFunc(vs, func(a, b victim) int {
		switch {
		case a.cost < b.cost:
			return -1
		case a.cost > b.cost:
			return 1
		}
		return compareRefs(a.ref, b.ref)
	})
}

// cachedOutlook returns the outlook of a batch as of the present pass.
func (e *Engine) cachedOutlook(j *Job, ref TaskRef, now Moment) outlook {
	b := &j.Batches[ref.Occurrence][ref.Step]
	o, ok := e.outlooks[b]
	if !ok {
		o = e.outlookOf(j, ref, b, &j.Work.Steps[ref.Step], now)
		e.outlooks[b] = o
	}
	return o
}

// lowerCosts lowers the costs of the victims that are hurt by the stops of chosen victims already: the other members of
// their gangs stop anyway, and the other tasks of their steps no longer decide when their jobs end.
func (e *Engine) lowerCosts(options []*preemptionOption, chosen []victim, now Moment) {
	for _, c := range chosen {
		j := e.jobs[c.ref.Job]
		if c.task.Stopping || c.awaited || !j.Open() {
			continue
		}
		for _, p := range options {
			if p.lower(c, func(v victim) float64 { return e.costOf(v.ref, j, v.task, outlook{}, now) }, j.Work.Steps[c.ref.Step].Gang) {
				sortVictims(p.victims[p.chosen:])
			}
		}
	}
}

// lower lowers the costs of the victims not chosen yet that belong to the step of a chosen one, and reports whether there
// are any. cost returns the cost of a victim whose step is hurt already; the other members of a gang cost nothing.
func (p *preemptionOption) lower(chosen victim, cost func(victim) float64, gang bool) bool {
	changed := false
	for i := p.chosen; i < len(p.victims); i++ {
		v := &p.victims[i]
		same := v.ref.Job == chosen.ref.Job && v.ref.Occurrence == chosen.ref.Occurrence && v.ref.Step == chosen.ref.Step
		if !same || v.task.Stopping || v.awaited {
			continue
		}
		changed, v.cost = true, 0
		if !gang {
			v.cost = cost(*v)
		}
	}
	return changed
}
