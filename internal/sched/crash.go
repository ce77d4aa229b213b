package sched

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/samber/lo"

	"greengageline/pkg/model"
)

const (
	// crashWindow is for how long a worker must have had a run before its crash is not put down to the start
	// of that run: several times as long as a worker takes to begin one.
	crashWindow = time.Second
	// suspectCrashes is the number of crashes from which a task is a suspect however long it had run.
	suspectCrashes = 2
	// startCrashLimit is the number of crashes at the start of a task, the last of them with nothing else on the
	// worker, at which its job fails. The users' rules allow for two more runs after the third crash.
	startCrashLimit = 3
	// crashLimit is the number of crashes of any kind at which the job fails: after the last run that the
	// users' rules allow.
	crashLimit = 5
	// maxIsolatedFraction bounds the workers that suspects have to themselves as a fraction of a pool, as
	// long as the pool is well used.
	maxIsolatedFraction = 0.25
	// isolationWait bounds the wait of a suspect for a worker of its own. After it the suspect starts
	// beside other work; long-running work waits for lastsIsolationWait only, since it must be running.
	isolationWait      = 4 * time.Second
	lastsIsolationWait = time.Second
)

// EndCrashed records that a run was lost when its worker crashed, and reports whether it was the task's present
// run. known is for how long the worker had the run, negative if that is not known. A task that was only just
// started is a suspect: it runs on workers of its own until it has lived through that time. The job of a task
// that crashes its workers again and again fails.
func (e *Engine) EndCrashed(ref TaskRef, run int64, known time.Duration, now Moment) bool {
	_, _, t := e.find(ref)
	if t == nil || t.Phase != Placed || t.Run != run {
		return false
	}
	alone := t.isolated
	e.End(ref, run, Crashed, "", now)
	e.CountCrash(ref, run, known, alone, now)
	return true
}

// CountCrash counts a crash of a worker under a run of the task, which may have ended since; each run counts
// once. alone says that the run had the worker to itself.
func (e *Engine) CountCrash(ref TaskRef, run int64, known time.Duration, alone bool, now Moment) {
	j, _, t := e.find(ref)
	if t == nil || t.Phase == Ended || run <= t.crashedRun || !j.Open() {
		return
	}
	if t.disconnectedRun == run {
		known = max(known, 0)
	}
	t.Crashes++
	t.crashedRun = run
	t.survived = max(t.survived, known)
	if atStart(known) {
		t.StartCrashes++
	}
	t.suspect = t.suspect || t.StartCrashes > 0 || t.Crashes >= suspectCrashes
	e.changedJobs[ref.Job] = true
	if t.StartCrashes >= startCrashLimit && alone || t.Crashes >= crashLimit {
		j.Reason = fmt.Sprintf("%d workers have crashed under tasks of step %d", t.Crashes, ref.Step)
		e.finish(j, JobFailed, now, j.Reason)
	}
}

// atStart reports whether a crash is put down to the start of a run that the worker had for known.
func atStart(known time.Duration) bool { return known >= 0 && known < crashWindow }

// NoteDisconnect records that an incarnation of a worker closed its connections when it had a run for known. If that
// was right after the start, and that incarnation does not answer any more, it counts as a crash, also for a later
// owner.
func (e *Engine) NoteDisconnect(ref TaskRef, run int64, known time.Duration, incarnation int64) {
	if _, _, t := e.find(ref); t != nil && t.Phase == Placed && t.Run == run && atStart(known) {
		t.disconnectedRun, t.disconnectedFrom = run, incarnation
		e.changedJobs[ref.Job] = true
	}
}

// Disconnected reports whether the worker of a run closed its connections right after the start and has not
// listed the run since, and which incarnation of it that was, or 0 if that is not known.
func (e *Engine) Disconnected(ref TaskRef, run int64) (incarnation int64, ok bool) {
	_, _, t := e.find(ref)
	if t == nil || t.disconnectedRun != run {
		return 0, false
	}
	return t.disconnectedFrom, true
}

// Alone reports whether a task is placed on a worker of its own.
func (e *Engine) Alone(ref TaskRef) bool {
	_, _, t := e.find(ref)
	return t != nil && t.Phase == Placed && t.isolated
}

// Crashes returns how many workers have crashed under a task, and whether it is a suspect.
func (e *Engine) Crashes(ref TaskRef) (n int, suspect bool) {
	if _, _, t := e.find(ref); t != nil {
		return t.Crashes, t.suspect
	}
	return 0, false
}

// clearSuspect ends the isolation of a run that has lived longer than the runs under which workers crashed.
func (e *Engine) clearSuspect(t *Task, now Moment) {
	if !t.isolated || now.Steady-t.confirmedAt <= max(crashWindow, 2*t.survived) {
		return
	}
	t.suspect = false
	e.endIsolation(t)
}

// isolate gives the worker to the job of a suspect that is placed there.
func (e *Engine) isolate(w *worker, job string, t *Task) {
	t.isolated = true
	w.isolatedRuns++
	e.keepFor(w, job)
}

// keepFor keeps a worker from all jobs but one.
func (e *Engine) keepFor(w *worker, job string) {
	if e.isolatedWorkers == nil {
		e.isolatedWorkers = map[*worker]bool{}
	}
	w.keptFor = job
	e.isolatedWorkers[w] = true
}

// endIsolation ends the isolation of a task's run.
func (e *Engine) endIsolation(t *Task) {
	if !t.isolated {
		return
	}
	t.isolated = false
	w := e.workers[t.Worker]
	if w == nil {
		return
	}
	if w.isolatedRuns--; w.isolatedRuns == 0 {
		e.open(w)
	}
}

// open lets all jobs use a worker again.
func (e *Engine) open(w *worker) {
	w.keptFor = ""
	delete(e.isolatedWorkers, w)
}

// openUnneeded opens the workers that are kept for a job that no longer waits for them.
func (e *Engine) openUnneeded(now Moment) {
	for w := range e.isolatedWorkers {
		if w.isolatedRuns == 0 && !e.awaitsIsolation(e.jobs[w.keptFor], now) {
			e.open(w)
		}
	}
}

// awaitsIsolation reports whether suspects of the job wait for workers of their own.
func (e *Engine) awaitsIsolation(j *Job, now Moment) bool {
	if j == nil || !j.Open() {
		return false
	}
	for k := range j.Batches {
		for s := range j.Batches[k] {
			if b := &j.Batches[k][s]; b.hasWaitingSuspect() && !e.isolationOver(b, &j.Work.Steps[s], e.queue(j).Pool, now) {
				return true
			}
		}
	}
	return false
}

// hasWaitingSuspect reports whether a suspect among the tasks waits to start.
func (b *Batch) hasWaitingSuspect() bool {
	return slices.ContainsFunc(b.Tasks, func(t Task) bool { return t.suspect && t.Phase == Waiting })
}

// isolationOver reports whether the suspects of a batch have waited long enough for workers of their own. On a pool of
// which little is used no work may wait for long.
func (e *Engine) isolationOver(b *Batch, step *model.Step, pool string, now Moment) bool {
	wait := isolationWait
	switch {
	case step.Lasts:
		wait = lastsIsolationWait
	case e.utilization(pool) <= yieldMinUtilization:
		wait = relaxAfter
	}
	return b.suspectsWaitFrom != 0 && now.Steady-b.suspectsWaitFrom > wait
}

// splitSuspects returns the group, or two if only some of its tasks are suspects: those start on workers of
// their own. A gang stays whole.
func (e *Engine) splitSuspects(g *group, now Moment) []*group {
	isSuspect := func(i, _ int) bool { return g.batch.Tasks[i].suspect }
	suspects := lo.Filter(g.waiting, isSuspect)
	if len(suspects) == 0 {
		return []*group{g}
	}
	b := g.batch
	if b.suspectsWaitFrom == 0 {
		b.suspectsWaitFrom = now.Steady
	}
	if e.isolationOver(b, g.step, g.queue.Pool, now) {
		return []*group{g}
	}
	if g.step.Gang || len(suspects) == len(g.waiting) {
		g.isolated = true
		return []*group{g}
	}
	rest, apart := *g, *g
	rest.waiting = lo.Reject(g.waiting, isSuspect)
	apart.waiting, apart.isolated = suspects, true
	return []*group{&rest, &apart}
}

// sharesWith reports whether the group may start on a worker as far as isolation goes: a suspect only where
// nothing but its own job runs, other work only where no suspect has or awaits the worker. Work that is relaxed need not
// leave a worker to suspects that wait, or have lived through their start.
func (g *group) sharesWith(w *worker, now Moment) bool {
	if !g.isolated {
		return w.keptFor == "" || g.relaxed && !w.startsSuspect(now)
	}
	return (w.keptFor == "" || w.keptFor == g.ref.Job) && len(w.tasks) == w.isolatedRuns && w.reserved == (model.Room{})
}

// startsSuspect reports whether a suspect has run on the worker for less than crashWindow.
func (w *worker) startsSuspect(now Moment) bool {
	if w.isolatedRuns == 0 {
		return false
	}
	for _, t := range w.tasks {
		if t.isolated && (!t.Confirmed || now.Steady-t.confirmedAt <= crashWindow) {
			return true
		}
	}
	return false
}

// vacate keeps the least used workers for a group of suspects that found no empty ones, so that they become
// empty. At most maxIsolatedFraction of the pool is kept in this way.
func (e *Engine) vacate(g *group) {
	need, found, kept := g.step.Need(), 0, 0
	pool := lo.Filter(e.sortedWorkers, func(w *worker, _ int) bool { return w.Pool == g.queue.Pool })
	var usable []*worker
	for _, w := range pool {
		fits := w.Room.Times(need, g.quota(w))
		if w.keptFor != "" {
			kept++
		}
		if w.Leaving || w.Silent || w.Draining || fits == 0 || g.step.Label != "" && !slices.Contains(w.Labels, g.step.Label) {
			continue
		}
		if w.keptFor == g.ref.Job {
			found += fits
		}
		if w.keptFor == "" {
			usable = append(usable, w)
		}
	}
	slices.SortStableFunc(usable, func(a, b *worker) int { return cmp.Compare(len(a.tasks), len(b.tasks)) })
	for _, w := range usable {
		if found >= len(g.waiting) || float64(kept+1) > max(1, maxIsolatedFraction*float64(len(pool))) {
			return
		}
		e.keepFor(w, g.ref.Job)
		found += w.Room.Times(need, g.quota(w))
		kept++
	}
}

// mayIsolate reports whether one more worker may be taken for suspects. On a pool of which little is used there
// is no limit, as work must then run without delay.
func (e *Engine) mayIsolate(g *group) bool {
	pool := lo.CountBy(e.sortedWorkers, func(w *worker) bool { return w.Pool == g.queue.Pool })
	return float64(len(e.isolatedWorkers)) < max(1, maxIsolatedFraction*float64(pool)) ||
		slices.ContainsFunc(lo.Keys(e.isolatedWorkers), func(w *worker) bool { return w.keptFor == g.ref.Job }) ||
		e.utilization(g.queue.Pool) < yieldMinUtilization
}
