package sched

import (
	"cmp"
	"slices"
	"time"

	"greengageline/pkg/model"
)

// group is a batch with tasks that wait and may start.
type group struct {
	job     *Job
	ref     Ref // of the batch; Task is not used
	batch   *Batch
	step    *model.Step
	queue   model.Queue
	waiting []int
	// owed groups are urgent work within their workspace's guarantee.
	owed bool
	band band
	// waited is the part of the job's response-time goal that has passed.
	waited float64
}

// band says what a job can still be worth to its caller.
type band int

const (
	inTime  band = iota // it can still meet its response-time goal
	late                // it can be late, but within lateFactor of the goal
	tooLate             // nobody waits for it any more
)

// lateFactor times the response-time goal is when a job's result is no longer
// of use to its caller, by the users' page of rules.
const lateFactor = 3

// rank orders groups: owed work first, then by priority; work that nobody waits
// for any more uses what is left.
func (g *group) rank() int {
	switch {
	case g.owed:
		return -1
	case g.band == tooLate:
		return tooLateRank + g.queue.Priority
	}
	return g.queue.Priority
}

// tooLateRank comes after every priority that a plan may name.
const tooLateRank = 1 << 20

func compareGroups(a, b *group) int {
	return cmp.Or(
		cmp.Compare(a.rank(), b.rank()),
		cmp.Compare(a.band, b.band),
		byAcceptance(a.job, b.job),
		cmp.Compare(a.ref.Time, b.ref.Time),
		cmp.Compare(a.ref.Step, b.ref.Step),
	)
}

// groups lists what may start now, in the order in which room is given.
func (e *Engine) groups(now Moment) []*group {
	owed := e.owed(now)
	e.owedNow = owed
	var out []*group
	for _, j := range e.open {
		q := e.queue(j)
		for k := range j.Batches {
			if due := j.Work.DueMs(k); due > now.UnixMs && j.Work.FirstMs != 0 {
				break
			}
			out = e.ready(out, j, k, q, owed[j], now)
		}
	}
	slices.SortStableFunc(out, compareGroups)
	return out
}

func (e *Engine) ready(out []*group, j *Job, k int, q model.Queue, owed bool, now Moment) []*group {
	for s := range j.Batches[k] {
		b := &j.Batches[k][s]
		step := &j.Work.Steps[s]
		if b.ended == len(b.Tasks) || !j.mayStart(k, step) {
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
			job: j, ref: Ref{Job: j.Work.ID, Time: k, Step: s}, batch: b, step: step, queue: q,
			waiting: waiting, owed: owed,
		}
		g.band, g.waited = j.band(k, q, now)
		out = append(out, g)
	}
	return out
}

// mayStart reports whether all steps before this one have ended.
func (j *Job) mayStart(k int, step *model.Step) bool {
	for _, a := range step.After {
		before := &j.Batches[k][a]
		if before.ended < len(before.Tasks) {
			return false
		}
	}
	return true
}

// waiting lists the tasks to place; a gang waits until none of its run is left,
// unless it only lacks members whose start did nothing.
func (b *Batch) waiting(gang bool) []int {
	var out []int
	for i := range b.Tasks {
		switch b.Tasks[i].Phase {
		case Waiting:
			out = append(out, i)
		case Placed:
			if gang && (!b.short || b.Tasks[i].Stopping || b.Tasks[i].Run != b.run) {
				return nil
			}
		case Ended:
		}
	}
	return out
}

// band tells what the job can still be worth, and the part of its goal that has
// passed.
func (j *Job) band(k int, q model.Queue, now Moment) (band, float64) {
	if j.lasts() {
		return inTime, 0 // nobody waits for its end
	}
	chain := float64(j.Work.ChainMs())
	goal := q.Stretch*chain + float64(q.AimMs)
	if goal <= 0 {
		return inTime, 1
	}
	passed := float64(now.UnixMs - j.Work.DueMs(k))
	end := passed + float64(j.remainingMs(k))
	switch {
	case end <= goal:
		return inTime, passed / goal
	case end <= lateFactor*goal:
		return late, passed / goal
	}
	return tooLate, passed / goal
}

// remainingMs estimates the longest chain of steps that have not ended.
func (j *Job) remainingMs(k int) int64 {
	ends := make([]int64, len(j.Work.Steps))
	var longest int64
	for i := range j.Work.Steps {
		s := &j.Work.Steps[i]
		for _, a := range s.After {
			ends[i] = max(ends[i], ends[a])
		}
		if b := &j.Batches[k][i]; b.ended < len(b.Tasks) {
			ends[i] += s.EstimateMs
		}
		longest = max(longest, ends[i])
	}
	return longest
}

// owed lists the urgent jobs that lie within their workspaces' guarantees, in
// order of acceptance.
func (e *Engine) owed(now Moment) map[*Job]bool {
	used := map[string]int{}
	out := map[*Job]bool{}
	for _, j := range e.open {
		if e.queue(j).Priority != 0 || j.lasts() {
			continue
		}
		e.urgentAt = now.Steady
		need := j.accelerators()
		if used[j.Work.Workspace]+need <= e.spaces[j.Work.Workspace] {
			used[j.Work.Workspace] += need
			out[j] = true
		}
	}
	e.urgentUse = used
	return out
}

func (j *Job) lasts() bool {
	return slices.ContainsFunc(j.Work.Steps, func(s model.Step) bool { return s.Lasts })
}

// accelerators is the most that one of the job's steps takes.
func (j *Job) accelerators() int {
	n := 0
	for i := range j.Work.Steps {
		n = max(n, j.Work.Steps[i].Tasks*j.Work.Steps[i].Each.Accelerators)
	}
	return n
}

// scatters reports whether the group has waited long enough for a better rack
// to start on others, where it runs slower.
func (g *group) scatters(e *Engine, now Moment) bool {
	if e.Limits.NoRackWait {
		return true
	}
	waited := now.Steady - g.batch.readyAt
	if g.queue.Priority == 0 {
		return waited >= urgentRackWait
	}
	// Half of the time that spreading would cost; the other half may be lost
	// by waiting in vain.
	extra := time.Duration(float64(g.step.EstimateMs)*(e.factor()-1)/2) * time.Millisecond
	return waited >= extra
}

// factor is how many times as long a task takes off its rack.
func (e *Engine) factor() float64 {
	if e.Limits.Factor > 0 {
		return e.Limits.Factor
	}
	return defaultFactor
}
