package sched

import (
	"cmp"
	"slices"
	"time"

	"greengageline/pkg/model"
)

// group is a batch with waiting tasks that may start now. It lives for one pass.
type group struct {
	job     *Job
	ref     TaskRef // names the batch; Task is not used
	batch   *Batch
	step    *model.Step
	queue   model.Queue
	waiting []int // indexes of the tasks to place
	// onDraining is set while the group may use workers that are being drained.
	onDraining bool
	// isolated is set for suspects, which may only use workers on which nothing but their job runs.
	isolated bool
	// guaranteed is set for urgent work within its workspace's guarantee.
	guaranteed bool
	lateness   lateness
	// timeLeft is the time until the job's response-time goal, as a multiple of the time that its steps
	// still take; below 1 it is late.
	timeLeft float64
	// overdue is set for tasks that start before their rank, as nothing of their step runs.
	overdue bool
	// yields is set for a group that must leave room to waiting groups that rank before it.
	yields bool
	// relaxable is set if the group may use workers that it is otherwise kept from for a preference, as mayRelax says, and
	// relaxed while it does.
	relaxable, relaxed bool
	// patient is set for a group that waits because preemption would lose too much for it. It claims no room: work that
	// starts meanwhile has not yet much to lose.
	patient bool
	// moving is why the group's runs were stopped to continue elsewhere, where capacity was reserved for them.
	moving moveCause
	// fit is what the group requires of the speed of its workers.
	fit fit
}

// lateness classifies a job by when it is expected to end, and thereby by what its result is still
// worth.
type lateness int

const (
	inTime  lateness = iota // it can still meet its response-time goal
	late                    // it can end within lateFactor times the goal
	tooLate                 // its result is no longer of use
)

// lateFactor times the response-time goal is when a job's result is no longer of use to its caller, by
// the users' rules.
const lateFactor = 3

// rank returns the group's rank; lower ranks are placed first. Guaranteed work comes first, then work
// by the priority of its queue, then work that is too late.
func (g *group) rank() int {
	switch {
	case g.guaranteed:
		return -1
	case g.lateness == tooLate:
		return tooLateRank + g.queue.Priority
	}
	return g.queue.Priority
}

// tooLateRank is higher than every priority that a plan may contain.
const tooLateRank = 1 << 20

// compareGroups orders groups by rank, lateness, acceptance, occurrence and step.
func compareGroups(a, b *group) int {
	return cmp.Or(
		cmp.Compare(a.rank(), b.rank()),
		cmp.Compare(a.lateness, b.lateness),
		compareAcceptance(a.job, b.job),
		cmp.Compare(a.ref.Occurrence, b.ref.Occurrence),
		cmp.Compare(a.ref.Step, b.ref.Step),
	)
}

// readyGroups returns the groups that may start now, in the order in which they are placed.
func (e *Engine) readyGroups(now Moment) []*group {
	guaranteed := e.findGuaranteedJobs(now)
	e.guaranteedJobs = guaranteed
	var out []*group
	for _, j := range e.openJobs {
		q := e.queue(j)
		for k := range j.Batches {
			if due := j.Work.DueMs(k); due > now.UnixMs && j.Work.FirstMs != 0 {
				break
			}
			out = e.appendReady(out, j, k, q, guaranteed[j], now)
		}
	}
	slices.SortStableFunc(out, compareGroups)
	return out
}

// appendReady appends the groups of the job's occurrence k that may start now.
func (e *Engine) appendReady(out []*group, j *Job, k int, q model.Queue, guaranteed bool, now Moment) []*group {
	for s := range j.Batches[k] {
		b := &j.Batches[k][s]
		step := &j.Work.Steps[s]
		if b.ended == len(b.Tasks) || !j.dependenciesEnded(k, step) {
			continue
		}
		if !b.ready {
			b.ready, b.readyAt = true, now.Steady
		}
		waiting := b.waiting(step.Gang)
		if len(waiting) == 0 {
			continue
		}
		g := &group{
			job: j, ref: TaskRef{Job: j.Work.ID, Occurrence: k, Step: s}, batch: b, step: step, queue: q,
			waiting: waiting, guaranteed: guaranteed,
		}
		g.lateness, g.timeLeft = e.lateness(j, k, q, now)
		out = append(out, e.splitSuspects(g, now)...)
	}
	return out
}

// dependenciesEnded reports whether all steps on which the step depends have ended in occurrence k.
func (j *Job) dependenciesEnded(k int, step *model.Step) bool {
	for _, a := range step.After {
		before := &j.Batches[k][a]
		if before.ended < len(before.Tasks) {
			return false
		}
	}
	return true
}

// waiting returns the indexes of the tasks to place. It returns none for a gang while members of its
// run are still placed, unless the run only lacks members whose start had no effect.
func (b *Batch) waiting(gang bool) []int {
	var out []int
	for i := range b.Tasks {
		switch b.Tasks[i].Phase {
		case Waiting:
			out = append(out, i)
		case Placed:
			if gang && (!b.incomplete || b.Tasks[i].Stopping || b.Tasks[i].Run != b.run) {
				return nil
			}
		case Ended:
		}
	}
	return out
}

// lateness returns the job's lateness for occurrence k and the time until its response-time goal, as a
// multiple of the time that its steps still take.
func (j *Job) lateness(k int, q model.Queue, now Moment, remainingMs int64) (lateness, float64) {
	if j.longRunning() {
		return inTime, 1 // it has no end to wait for
	}
	goal := q.Stretch*float64(j.Work.ChainMs()) + float64(q.AimMs)
	if goal <= 0 {
		return inTime, 0
	}
	passed := float64(now.UnixMs - j.Work.DueMs(k))
	remaining := max(1, float64(remainingMs))
	left := (goal - passed) / remaining
	switch end := passed + remaining; {
	case end <= goal:
		return inTime, left
	case end <= lateFactor*goal:
		return late, left
	}
	return tooLate, left
}

// remainingMs estimates the time until occurrence k ends, in ms: the longest chain of steps that have
// not ended. A step takes as long as stepMs returns, or its estimate if stepMs is nil.
func (j *Job) remainingMs(k int, stepMs func(*Batch, *model.Step) int64) int64 {
	ends := make([]int64, len(j.Work.Steps))
	var longest int64
	for i := range j.Work.Steps {
		s := &j.Work.Steps[i]
		for _, a := range s.After {
			ends[i] = max(ends[i], ends[a])
		}
		if b := &j.Batches[k][i]; b.ended < len(b.Tasks) && stepMs != nil {
			ends[i] += stepMs(b, s)
		} else if b.ended < len(b.Tasks) {
			ends[i] += s.EstimateMs
		}
		longest = max(longest, ends[i])
	}
	return longest
}

// findGuaranteedJobs returns the urgent jobs that lie within the guarantees of their workspaces,
// counted in order of acceptance. It also updates lastUrgentAt and urgentAccelerators.
func (e *Engine) findGuaranteedJobs(now Moment) map[*Job]bool {
	used := map[string]int{}
	out := map[*Job]bool{}
	for _, j := range e.openJobs {
		if e.queue(j).Priority != 0 || j.longRunning() {
			continue
		}
		e.lastUrgentAt = now.Steady
		need := j.accelerators()
		if used[j.Work.Workspace]+need <= e.guarantees[j.Work.Workspace] {
			used[j.Work.Workspace] += need
			out[j] = true
		}
	}
	e.urgentAccelerators = used
	return out
}

// longRunning reports whether a step of the job runs until the job is cancelled.
func (j *Job) longRunning() bool {
	return slices.ContainsFunc(j.Work.Steps, func(s model.Step) bool { return s.Lasts })
}

// accelerators returns the most accelerators that one of the job's steps needs.
func (j *Job) accelerators() int {
	n := 0
	for i := range j.Work.Steps {
		n = max(n, j.Work.Steps[i].Tasks*j.Work.Steps[i].Each.Accelerators)
	}
	return n
}

// maySpread reports whether the group has waited long enough for a better rack and may start on other
// racks, where it runs slower.
func (g *group) maySpread(e *Engine, now Moment) bool {
	if e.Limits.NoRackWait {
		return true
	}
	waited := now.Steady - g.batch.readyAt
	if g.queue.Priority == 0 {
		return waited >= urgentRackWait
	}
	// Half of the extra time that spreading costs: the wait may turn out to be in vain, and then comes
	// on top of that extra time.
	maxWait := time.Duration(float64(g.step.EstimateMs)*(e.spreadFactor()-1)/2) * time.Millisecond
	return waited >= maxWait || waited >= relaxAfter && e.utilization(g.queue.Pool) <= yieldMinUtilization
}

// spreadFactor returns how many times as long a task takes away from its data or on several racks.
func (e *Engine) spreadFactor() float64 {
	if e.Limits.SpreadFactor > 0 {
		return e.Limits.SpreadFactor
	}
	return defaultSpreadFactor
}
