package sched

import (
	"slices"
	"time"

	"github.com/samber/lo"

	"greengageline/pkg/model"
)

const (
	// moveInterval is how often passes look for runs to move. Reports of runs, which tell of new speeds, come every 0.5
	// to 2 s.
	moveInterval = 500 * time.Millisecond
	// maxMoved is the number of tasks from which no more are moved in moveInterval: a fraction of the starts that the
	// owner of a large deployment sends in that time, as each move costs a stop and a start.
	maxMoved = 16
	// maxMoveLossRatio bounds the work that a move may throw away, as a multiple of the work of the step, and
	// maxUrgentMoveLossRatio does so for urgent work, whose result is worth more.
	maxMoveLossRatio       = 0.25
	maxUrgentMoveLossRatio = 0.5
	// minMovePercent is the progress from which the time of a run is inferred from its reports: they come up to 2 s apart,
	// and percents are whole numbers.
	minMovePercent = 5
	// movedTimeMargin is by how much longer than inferred a run may take after a move.
	movedTimeMargin = 1.15
)

// moveRuns stops runs that will be late where they are and reserves room for them on free workers where they will be in
// time. Where room is scarce nothing moves: waiting work, which the pass has placed before, has left none.
func (e *Engine) moveRuns(now Moment) {
	if now.Steady-e.movedAt < moveInterval || !lo.Contains(lo.Values(e.uneven), true) {
		return
	}
	e.movedAt = now.Steady
	left := min(maxMoved, e.startsLeft)
	var late []*group
	for _, j := range e.openJobs {
		q := e.queue(j)
		if e.uneven[q.Pool] && !j.longRunning() && j.goalMs(q) > 0 && (q.Priority == 0 || !e.headroomUsed(q.Pool, now)) {
			late = e.appendLate(late, j, q, now)
		}
	}
	slices.SortStableFunc(late, compareGroups)
	for _, g := range late {
		n := len(g.waiting)
		if g.step.Gang {
			n = len(g.batch.Tasks)
		}
		if n <= left && e.move(g, now) {
			left -= n
		}
	}
}

// appendLate appends, for each step of the job with runs that are expected to make it miss its goal, a group of these
// runs' tasks. Steps with waiting tasks are left out: they lack room.
func (e *Engine) appendLate(out []*group, j *Job, q model.Queue, now Moment) []*group {
	for k := range j.Batches {
		for s := range j.Batches[k] {
			b, step := &j.Batches[k][s], &j.Work.Steps[s]
			if !e.movable(b) {
				continue
			}
			g := &group{job: j, ref: TaskRef{Job: j.Work.ID, Occurrence: k, Step: s}, batch: b, step: step, queue: q, yields: true}
			deadline := time.Duration(j.goalMs(q)-float64(now.UnixMs-j.Work.DueMs(k))-e.tailMs(j, k, s))*time.Millisecond + now.Steady
			g.waiting = e.lateTasks(g, deadline)
			if len(g.waiting) > 0 {
				e.fitMoved(g, deadline, now)
				out = append(out, g)
			}
		}
	}
	return out
}

// movable reports whether all tasks of the batch that have not ended run undisturbed, none has been moved to a worker
// that is still thought to be as fast, and the times of the runs are known.
func (e *Engine) movable(b *Batch) bool {
	if _, reserved := e.reservations[b]; reserved || b.incomplete || b.unmeasured || b.ended == len(b.Tasks) {
		return false
	}
	for i := range b.Tasks {
		t := &b.Tasks[i]
		if t.Phase == Ended {
			continue
		}
		w := e.workers[t.Worker]
		if t.Phase != Placed || t.Stopping || t.suspect || t.isolated || w == nil || w.Silent || t.moved && w.speed.class <= t.movedClass {
			return false
		}
	}
	return true
}

// runTime returns how long a run takes in all on the worker where it is: by its progress, or else by its estimate. While
// the progress is not known it can't be told from the estimate whether a run will be late by little.
func (e *Engine) runTime(g *group, t *Task) (total time.Duration, measured bool) {
	if t.percent >= minMovePercent && t.progressAt > t.placedAt {
		return (t.progressAt - t.placedAt) * 100 / time.Duration(t.percent), true
	}
	f, _ := e.workerFactor(t.Worker)
	return time.Duration(float64(g.step.EstimateMs)*f*e.errorsOf(g.queue.Name).usual) * time.Millisecond, false
}

// lateTasks returns the indexes of the tasks whose runs end after the deadline where they are.
func (e *Engine) lateTasks(g *group, deadline time.Duration) []int {
	var out []int
	for i := range g.batch.Tasks {
		t := &g.batch.Tasks[i]
		if t.Phase != Placed {
			continue
		}
		if total, _ := e.runTime(g, t); t.placedAt+total > deadline {
			out = append(out, i)
		}
	}
	return out
}

// tailMs returns the time in ms that the steps after step s take.
func (e *Engine) tailMs(j *Job, k, s int) float64 {
	q := e.queue(j)
	after := make([]float64, len(j.Work.Steps))
	longest := 0.0
	for i := s + 1; i < len(j.Work.Steps); i++ {
		step := &j.Work.Steps[i]
		before, follows := 0.0, false
		for _, a := range step.After {
			before, follows = max(before, after[a]), follows || a == s || after[a] > 0
		}
		if follows && j.Batches[k][i].ended < len(j.Batches[k][i].Tasks) {
			after[i] = before + float64(step.EstimateMs)*e.errorsOf(q.Name).usual*e.fastest[q.Pool]
			longest = max(longest, after[i])
		}
	}
	return longest
}

// fitMoved sets the largest factor with which the late runs end by the deadline if they move now. What they have saved
// they need not do again; a gang has to do all of its work again that its slowest member has not saved.
func (e *Engine) fitMoved(g *group, deadline time.Duration, now Moment) {
	budget := float64(deadline-now.Steady)/float64(time.Second) - restartCost
	g.fit = fit{uneven: true, only: true, slowed: 1} // without a limit, all but workers within the safe limit are too slow
	for at, i := range g.waiting {
		t := &g.batch.Tasks[i]
		total, measured := e.runTime(g, t)
		f, _ := e.workerFactor(t.Worker)
		work, margin := total.Seconds()/f, movedTimeMargin
		if !measured {
			margin = e.errorsOf(g.queue.Name).safe / e.errorsOf(g.queue.Name).usual
		}
		if g.step.Resumes && t.Checkpoint != "" {
			work *= 1 - max(0, float64(t.percent)/100-checkpointLoss/total.Seconds())
		}
		if limit := budget / (work * margin); at == 0 || limit < g.fit.safeLimit {
			g.fit.safeLimit = limit
		}
	}
}

// move moves the late runs of the group if there is free room where they are in time and that throws away little work. A
// gang moves as a whole: members on workers that are fast enough start again there.
func (e *Engine) move(g *group, now Moment) bool {
	if g.fit.safeLimit < e.fastest[g.queue.Pool] || !e.worthMoving(g, now) {
		return false
	}
	placement := e.findForMove(g, now)
	if placement == nil {
		return false
	}
	for at, i := range g.waiting {
		t := &g.batch.Tasks[i]
		t.moved, t.movedClass = true, placement[at].speed.class
	}
	e.stopAndReserve(g, placement, movedFaster, now)
	return true
}

// worthMoving reports whether moving the late runs throws away little enough of the step's work.
func (e *Engine) worthMoving(g *group, now Moment) bool {
	own := float64(len(g.batch.Tasks)) * g.step.Need().Cores() * float64(g.step.EstimateMs) / 1000
	lost := 0.0
	for _, i := range g.waiting {
		lost += loss(&g.batch.Tasks[i], g.batch, g.step, now)
		if g.step.Gang {
			break // the loss of a member is that of its gang
		}
	}
	if g.queue.Priority == 0 {
		return lost <= maxUrgentMoveLossRatio*own
	}
	return lost <= maxMoveLossRatio*own
}

// findForMove returns a worker for each late run, and adds the other members of a gang with the workers on which they
// stay. It returns nil if there is no room.
func (e *Engine) findForMove(g *group, now Moment) []*worker {
	var stay []int
	if g.step.Gang {
		stay = lo.Filter(lo.Range(len(g.batch.Tasks)), func(i, _ int) bool { return !slices.Contains(g.waiting, i) })
	}
	placement := e.findBeside(g, stay, now)
	if placement == nil {
		return nil
	}
	for _, i := range stay {
		w := e.workers[g.batch.Tasks[i].Worker]
		if w == nil || !w.schedulable(now) || g.fit.tier(w.speed, true) == tooSlow || g.queue.Advice != nil && !g.batch.advice.valid(w.ID, now) {
			return nil
		}
		g.waiting, placement = append(g.waiting, i), append(placement, w)
	}
	return placement
}

// findBeside finds free room for the late runs: on the rack of those that stay or of the data if the step wants that.
func (e *Engine) findBeside(g *group, stay []int, now Moment) []*worker {
	home := g.step.DataRack
	if g.step.OneRack && len(stay) > 0 {
		if w := e.workers[g.batch.Tasks[stay[0]].Worker]; w != nil {
			home = w.Rack
		}
	}
	if home != "" {
		for _, r := range e.racks {
			if r.pool == g.queue.Pool && r.name == home {
				return e.assign(g, now, r)
			}
		}
		return nil
	}
	if g.step.OneRack {
		return e.findOnRackBySpeed(g, now)
	}
	return e.findOnAnyRack(g, now)
}
