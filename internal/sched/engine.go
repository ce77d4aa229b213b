package sched

import (
	"slices"
	"time"

	"greengageline/pkg/model"
)

// Engine holds the state of a pool's work; the zero value works.
type Engine struct {
	// Limits are the engine's settings; zero fields mean the defaults.
	Limits Limits

	plan    model.Plan
	spaces  map[string]int // guaranteed accelerators by workspace
	queues  map[string]model.Queue
	workers map[string]*worker
	order   []*worker // sorted by id
	racks   []*rack   // by pool and name; nil if workers have changed
	jobs    map[string]*Job
	open    []*Job // not ended, in order of acceptance
	runs    int64
	orders  []Order
	changed map[string]bool
	held    map[*Batch]Ref
	owedNow map[*Job]bool // as of the present pass
	// urgentUse is the accelerators that each workspace's owed jobs need, as of
	// the present pass.
	urgentUse map[string]int
	// urgentAt is when a pass last saw open urgent work.
	urgentAt time.Duration
	// watchedAt is when runs were last looked through for progress.
	watchedAt time.Duration
	// questions are those decided since the last call of TakeQuestions, asked
	// the number without an answer.
	questions []Question
	asked     int
	// askAt is when the adviser may be asked again after it failed, askPause
	// the last pause.
	askAt, askPause time.Duration
}

// Limits are the thresholds of decisions.
type Limits struct {
	// FirstRun is added to each run's number, so that those of a later owner
	// are higher.
	FirstRun int64
	// Factor is how many times as long a task takes away from its data or on
	// several racks; it comes from the platform's bounds.
	Factor float64
	// GangWait is how long members of a gang wait for the others at their
	// workers; it comes from the platform's bounds.
	GangWait time.Duration
	// NoRackWait says that tasks never wait for a better rack; a seam for tests.
	NoRackWait bool
}

const (
	// minStall is the shortest time without progress after which a run counts
	// as hung: three times the cadence at which workers report, on a slow one.
	minStall = 3 * time.Second
	// watchEvery is how often runs are looked through, well within minStall.
	watchEvery = 200 * time.Millisecond
	// stallShare of the estimate without progress also counts as hung, as a
	// percent of progress takes a hundredth of the run on a sound worker.
	stallShare = 0.12
	// strikeLimit is how many distinct jobs in a row fail on a worker before
	// it gets no work for a while: one may be the job's fault.
	strikeLimit = 2
	// firstQuarantine doubles with each further one, up to maxQuarantine.
	firstQuarantine = 4 * time.Second
	maxQuarantine   = 30 * time.Second
	// quarantineShare bounds the workers in quarantine, so that a burst of
	// bad jobs can't empty the pool.
	quarantineShare = 0.25
	// holdLimit bounds how long room is kept for work that waits for stops: a
	// stop takes less than a second on every site.
	holdLimit = 2 * time.Second
	// urgentRackWait is how long urgent work waits for a whole rack: a third
	// of the shortest time in which a share must be reclaimed.
	urgentRackWait = 900 * time.Millisecond
	// idleShare of a pool may be in use for work that nobody waits for any
	// more to start: whatever it takes from others is worth nothing, and the
	// users' rules ask for it once less than half of the pool is in use.
	idleShare = 0.6
	// defaultFactor is Factor on the users' sites.
	defaultFactor = 3
	// defaultGangWait is GangWait on the smallest sites.
	defaultGangWait = 3 * time.Second
	// joinMargin is left of GangWait for a late member's start, its time-out
	// included.
	joinMargin = 1200 * time.Millisecond
	// maxHeadroom leaves work without a guarantee more than half of a pool, as
	// the users' rules ask for all work to run while less than that is in use.
	maxHeadroom = 0.45
	// patience is the part of its response-time goal that work waits at most
	// for room kept free; on the users' sites its run takes another third.
	patience = 0.6
	// urgentQuiet is how long after the last urgent work room is kept for more:
	// twice the time of a usual urgent job on the users' sites.
	urgentQuiet = 5 * time.Second
	// rejectPause is how long a worker that refused a start gets nothing: as
	// long as the stop of a run may take, whose room it may still count.
	rejectPause = 500 * time.Millisecond
)

func (e *Engine) init() {
	if e.workers == nil {
		e.workers = map[string]*worker{}
		e.jobs = map[string]*Job{}
		e.changed = map[string]bool{}
		e.held = map[*Batch]Ref{}
		e.runs = e.Limits.FirstRun
	}
}

// SetPlan applies a newer plan; queues that it no longer has keep the terms
// under which their jobs were accepted.
func (e *Engine) SetPlan(p model.Plan) {
	e.plan = p
	e.spaces = map[string]int{}
	for _, s := range p.Spaces {
		e.spaces[s.Name] = s.Guaranteed
	}
	e.queues = map[string]model.Queue{}
	for _, q := range p.Queues {
		e.queues[q.Name] = q
	}
}

func (e *Engine) queue(j *Job) model.Queue {
	if q, ok := e.queues[j.Work.Queue.Name]; ok {
		return q
	}
	return j.Work.Queue
}

// SetWorker adds a worker or replaces what is known of it.
func (e *Engine) SetWorker(w Worker) {
	e.init()
	old := e.workers[w.ID]
	if old == nil {
		old = &worker{tasks: map[Ref]*Task{}}
		e.workers[w.ID] = old
		at, _ := slices.BinarySearchFunc(e.order, w.ID, func(x *worker, id string) int {
			switch {
			case x.ID < id:
				return -1
			case x.ID > id:
				return 1
			}
			return 0
		})
		e.order = slices.Insert(e.order, at, old)
	}
	if old.Pool != w.Pool || old.Rack != w.Rack {
		e.racks = nil
	}
	old.Worker = w
}

// DropWorker forgets a worker; what was placed there is lost.
func (e *Engine) DropWorker(id string, now Moment) {
	w := e.workers[id]
	if w == nil {
		return
	}
	for ref, t := range w.tasks {
		e.End(ref, t.Run, Lost, "", now)
	}
	delete(e.workers, id)
	e.racks = nil
	e.order = slices.DeleteFunc(e.order, func(x *worker) bool { return x == w })
}

// On lists the tasks that are placed on a worker, with their runs.
func (e *Engine) On(id string) map[Ref]int64 {
	w := e.workers[id]
	if w == nil {
		return nil
	}
	out := make(map[Ref]int64, len(w.tasks))
	for ref, t := range w.tasks {
		out[ref] = t.Run
	}
	return out
}

// Busy reports whether anything is placed on a worker.
func (e *Engine) Busy(id string) bool {
	w := e.workers[id]
	return w != nil && len(w.tasks) > 0
}

// Add takes in an accepted or recovered job; a known one is left alone.
func (e *Engine) Add(j *Job, now Moment) bool {
	e.init()
	if e.jobs[j.Work.ID] != nil {
		return false
	}
	e.jobs[j.Work.ID] = j
	if j.Open() {
		at, _ := slices.BinarySearchFunc(e.open, j, byAcceptance)
		e.open = slices.Insert(e.open, at, j)
	}
	e.adopt(j, now)
	return true
}

func byAcceptance(a, b *Job) int {
	switch {
	case a.Work.AcceptedMs != b.Work.AcceptedMs:
		return int(a.Work.AcceptedMs - b.Work.AcceptedMs)
	case a.Work.ID < b.Work.ID:
		return -1
	case a.Work.ID > b.Work.ID:
		return 1
	}
	return 0
}

// adopt books the runs of a recovered job on their workers.
func (e *Engine) adopt(j *Job, now Moment) {
	for k := range j.Batches {
		for s := range j.Batches[k] {
			b := &j.Batches[k][s]
			for i := range b.Tasks {
				t := &b.Tasks[i]
				e.runs = max(e.runs, t.Run)
				switch t.Phase {
				case Ended:
					b.ended++
				case Placed:
					t.placedAt, t.movedAt = now.Steady, now.Steady
					e.book(Ref{j.Work.ID, k, s, i}, t, &j.Work.Steps[s])
					if !j.Open() {
						e.stop(Ref{j.Work.ID, k, s, i}, t, "its job has ended")
					}
				case Waiting:
				}
				j.Begun = j.Begun || t.Run > 0
			}
		}
	}
}

// book counts a placed task on its worker; one that is not known yet gets an
// entry without room, so that nothing is placed there.
func (e *Engine) book(ref Ref, t *Task, s *model.Step) {
	w := e.workers[t.Worker]
	if w == nil {
		e.SetWorker(Worker{ID: t.Worker, Silent: true})
		w = e.workers[t.Worker]
	}
	w.tasks[ref] = t
	w.used = w.used.Plus(s.Need(), 1)
}

// Job returns a job by its id, or nil.
func (e *Engine) Job(id string) *Job { return e.jobs[id] }

// Forget removes an ended job.
func (e *Engine) Forget(id string) { delete(e.jobs, id) }

// OldEnded lists the jobs that ended before a Unix ms.
func (e *Engine) OldEnded(beforeMs int64) []string {
	var ids []string
	for id, j := range e.jobs {
		if !j.Open() && j.EndedMs < beforeMs && j.EndedMs != 0 {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// Unstarted counts a queue's accepted jobs of which nothing has started.
func (e *Engine) Unstarted(queue string) int {
	n := 0
	for _, j := range e.open {
		if !j.Begun && j.Work.Queue.Name == queue {
			n++
		}
	}
	return n
}

// Stats are figures of the present state.
type Stats struct {
	Open, Unstarted, Placed, Quarantined, Silent int
}

// Stats counts jobs, runs and workers.
func (e *Engine) Stats(now Moment) Stats {
	st := Stats{Open: len(e.open)}
	for _, j := range e.open {
		if !j.Begun {
			st.Unstarted++
		}
	}
	for _, w := range e.order {
		st.Placed += len(w.tasks)
		if now.Steady < w.badUntil {
			st.Quarantined++
		}
		if w.Silent {
			st.Silent++
		}
	}
	return st
}

// Cancel ends a job at its caller's wish; what runs is stopped.
func (e *Engine) Cancel(id string, now Moment) {
	j := e.jobs[id]
	if j == nil || !j.Open() {
		return
	}
	e.finish(j, Cancelled, now, "its caller cancelled it")
}

func (e *Engine) finish(j *Job, s State, now Moment, reason string) {
	j.Final, j.EndedMs = s, now.UnixMs
	e.changed[j.Work.ID] = true
	e.open = slices.DeleteFunc(e.open, func(x *Job) bool { return x == j })
	for k := range j.Batches {
		for st := range j.Batches[k] {
			b := &j.Batches[k][st]
			e.unhold(b, &j.Work.Steps[st])
			for i := range b.Tasks {
				e.stop(Ref{j.Work.ID, k, st, i}, &b.Tasks[i], reason)
			}
		}
	}
}

func (e *Engine) stop(ref Ref, t *Task, reason string) {
	if t.Phase != Placed || t.Stopping {
		return
	}
	t.Stopping = true
	e.orders = append(e.orders, Order{Task: ref, Run: t.Run, Stop: true, Worker: t.Worker, Reason: reason})
}

// TakeOrders returns the orders decided since the last call.
func (e *Engine) TakeOrders() []Order {
	out := e.orders
	e.orders = nil
	return out
}

// TakeChanged returns the ids of jobs whose record changed since the last call.
func (e *Engine) TakeChanged() []string {
	out := make([]string, 0, len(e.changed))
	for id := range e.changed {
		out = append(out, id)
	}
	slices.Sort(out)
	clear(e.changed)
	return out
}

func (e *Engine) find(ref Ref) (*Job, *Batch, *Task) {
	j := e.jobs[ref.Job]
	if j == nil || ref.Time < 0 || ref.Time >= len(j.Batches) ||
		ref.Step < 0 || ref.Step >= len(j.Batches[ref.Time]) {
		return nil, nil, nil
	}
	b := &j.Batches[ref.Time][ref.Step]
	if ref.Task < 0 || ref.Task >= len(b.Tasks) {
		return nil, nil, nil
	}
	return j, b, &b.Tasks[ref.Task]
}

// Present returns the run and worker of a placed task.
func (e *Engine) Present(ref Ref) (run int64, worker string, placed bool) {
	_, _, t := e.find(ref)
	if t == nil || t.Phase != Placed {
		return 0, "", false
	}
	return t.Run, t.Worker, true
}

// Workers lists the ids of all known workers, sorted.
func (e *Engine) Workers() []string {
	out := make([]string, len(e.order))
	for i, w := range e.order {
		out[i] = w.ID
	}
	return out
}

// Stopping reports whether a stop of the task's present run was ordered.
func (e *Engine) Stopping(ref Ref) bool {
	_, _, t := e.find(ref)
	return t != nil && t.Stopping
}

// Reject notes that a start was refused and did nothing; the worker gets
// nothing for rejectPause, as what is known of it was wrong.
func (e *Engine) Reject(ref Ref, run int64, now Moment) {
	_, _, t := e.find(ref)
	if t == nil || t.Phase != Placed || t.Run != run {
		return
	}
	if w := e.workers[t.Worker]; w != nil {
		w.badUntil = max(w.badUntil, now.Steady+rejectPause)
	}
	e.End(ref, run, Refused, "", now)
}
