package sched

import (
	"slices"
	"time"

	"greengageline/internal/speed"
	"greengageline/pkg/model"
)

// Engine schedules the jobs of all pools of a plan. It is owned by one goroutine, which must make all
// calls; it has no lock of its own. The zero value is ready for use.
type Engine struct {
	// Limits are the engine's settings; zero fields mean the defaults.
	Limits Limits
	// Speeds estimates how fast the workers are.
	Speeds speed.Table

	plan          model.Plan
	guarantees    map[string]int // guaranteed accelerators by workspace name
	queues        map[string]model.Queue
	workers       map[string]*worker
	sortedWorkers []*worker // sorted by id
	racks         []*rack   // sorted by pool and name; nil if they must be rebuilt
	jobs          map[string]*Job
	openJobs      []*Job // jobs that have not ended, sorted by compareAcceptance
	// startsLeft is how many more tasks the present pass may start.
	startsLeft int
	// startsShort is set if the last pass ended for want of starts, and guaranteedUnreached if it did so before
	// it had reached all guaranteed work.
	startsShort, guaranteedUnreached bool
	// overdueDebt is how many starts other groups get before the next one of startOverdue.
	overdueDebt int
	// lastRun is the run number given out last.
	lastRun     int64
	orders      []Order
	changedJobs map[string]bool
	// reservations holds the batches for which capacity is reserved while runs that were preempted for
	// them are stopping.
	reservations map[*Batch]TaskRef
	// isolatedWorkers holds the workers that are kept for one job.
	isolatedWorkers map[*worker]bool
	// candidatesBuffer is reused by assignUpTo.
	candidatesBuffer []candidate
	// gangBuffer is reused by assignUpTo for gangs in pools of uneven speed.
	gangBuffer     []candidate
	guaranteedJobs map[*Job]bool // urgent jobs within their guarantees, as of the last pass
	// urgentAccelerators is the number of accelerators that each workspace's guaranteed jobs need, as
	// of the last pass.
	urgentAccelerators map[string]int
	// poolUses has how much of the pools is used, and claims the shapes of the groups that have claimed workers,
	// both as of the present pass.
	poolUses map[string]poolUse
	claims   map[shape]bool
	// poolClaims has the rank of the first group for which all workers of a pool are claimed, by pool, in the present pass.
	poolClaims map[string]int
	// speedsAt is when the speeds of the workers were last read; 0 if that is due. uneven has the pools whose workers differ
	// in speed, and fastest the factor of the fastest worker of each of them.
	speedsAt time.Duration
	uneven   map[string]bool
	fastest  map[string]float64
	// urgentLimits has the largest factor with which urgent work is in time, by uneven pool.
	urgentLimits map[string]float64
	// estimateErrors has the errors of the estimates of steps, by queue.
	estimateErrors map[string]*estimateErrors
	// movedAt is when a pass last looked for runs to move.
	movedAt time.Duration
	// speedOf and paceOf replace Speeds in tests, if they are set.
	speedOf func(worker string) speed.Estimate
	paceOf  func(queue string) float64
	// outlooks has the outlooks of batches that preemption has looked at in the present pass.
	outlooks map[*Batch]outlook
	// passAt is when the last pass began, and stopTime the measured time of stops; 0 if none has been measured.
	passAt, stopTime time.Duration
	// lastUrgentAt is when a pass last saw an urgent job that had not ended.
	lastUrgentAt time.Duration
	// lastStallCheck is when runs were last checked for progress.
	lastStallCheck time.Duration
	// waits holds the reports about waiting steps since the last call of TakeWaits.
	waits []Wait
	// waitingTasks is how many tasks could start and waited after the last pass.
	waitingTasks int
	// questions holds the questions decided on since the last call of TakeQuestions, and adviceRequests the groups that
	// need advice in the present pass.
	questions      []Question
	adviceRequests []adviceRequest
	// askers has the nodes from which the adviser can be asked, and askedAdviser is set once there has been a question.
	askers       []*asker
	askedAdviser bool
	// askersInUse bounds the questions without an answer, by the number of askers that they would keep busy.
	askersInUse int
	// renewals has the batches with runs for which a new ticket is awaited.
	renewals map[*Batch]TaskRef
	// repeatedQuestion is set if the last question was about the first request, which has used up maxQuestionsByRank.
	repeatedQuestion bool
	// looks holds the looks at workers decided on since the last call of TakeLooks.
	looks []Look
}

// Limits are the settings of an Engine that depend on its owner and its deployment.
type Limits struct {
	// FirstRun is the base of the run numbers that the engine gives out. Each owner gets a higher base
	// than the one before, so that the run numbers of a later owner are higher.
	FirstRun int64
	// SpreadFactor is how many times as long a task takes away from its data or on several racks. It comes
	// from the platform's bounds; 0 means defaultSpreadFactor.
	SpreadFactor float64
	// GangWait is how long the members of a gang wait at their workers for the others. It comes from
	// the platform's bounds; 0 means defaultGangWait.
	GangWait time.Duration
	// NoRackWait lets tasks start at once on any rack instead of waiting for a better one. It is for
	// tests only.
	NoRackWait bool
}

const (
	// minStallTimeout is the shortest time without progress after which a run counts as stalled: three
	// report intervals of a slow worker.
	minStallTimeout = 3 * time.Second
	// stallCheckInterval is how often runs are checked for progress; it must be well below
	// minStallTimeout.
	stallCheckInterval = 200 * time.Millisecond
	// stallFraction of a step's estimate is the stall time-out if that is longer than minStallTimeout:
	// on a healthy worker each percent of progress takes a hundredth of the run.
	stallFraction = 0.12
	// maxSlowness bounds by how much longer runs on slow workers may go without progress.
	maxSlowness = 3
	// quarantineThreshold is the number of failures in a row, each of another job, after which a worker
	// is quarantined. A single failure may be the fault of the job.
	quarantineThreshold = 2
	// minQuarantine is the length of a worker's first quarantine. Each further one is twice as long as
	// the last, up to maxQuarantine; a successful run resets the length.
	minQuarantine = 4 * time.Second
	maxQuarantine = 30 * time.Second
	// maxQuarantinedFraction bounds the workers in quarantine as a fraction of all workers, so that a
	// burst of faulty jobs can't take the whole pool out of service.
	maxQuarantinedFraction = 0.25
	// reservationTimeout is how long capacity is reserved while preempted runs stop. A stop takes less
	// than a second on every deployment.
	reservationTimeout = 2 * time.Second
	// urgentRackWait is how long urgent work waits for capacity on a single rack: a third of the
	// shortest time in which a guarantee must be reclaimed.
	urgentRackWait = 900 * time.Millisecond
	// tooLateMaxUtilization is the utilization of a pool above which work that is too late to be of use
	// does not start. Its result is worth nothing, so it must not take capacity from other work; the
	// users' rules require it to run when less than half of the pool is in use.
	tooLateMaxUtilization = 0.6
	// defaultSpreadFactor is the value of Limits.SpreadFactor on the users' deployments.
	defaultSpreadFactor = 3
	// defaultGangWait is the value of Limits.GangWait on the smallest deployments.
	defaultGangWait = 3 * time.Second
	// lateMemberMargin is the part of GangWait that is left for the start of a late gang member, the
	// time-out of that start included.
	lateMemberMargin = 1200 * time.Millisecond
	// maxHeadroom bounds the fraction of a pool that is kept free for guarantees. It leaves more than
	// half of the pool to other work, since the users' rules require all work to run while less than
	// half is in use.
	maxHeadroom = 0.45
	// headroomTimeLeft bounds how long work is held back by the headroom: until the time to its goal is this
	// multiple of the time that its steps still take, so that it can be stopped once and still be in time.
	headroomTimeLeft = 1.9
	// yieldTimeLeft is the same bound for work that leaves room to waiting work of a higher priority.
	yieldTimeLeft = 1.2
	// priorityCostFactor is by how much more the loss of a run counts in preemption than that of one of the
	// next lower priority.
	priorityCostFactor = 3
	// maxLossRatio bounds the work that preemption may lose for urgent work beyond its workspace's guarantee, as a
	// multiple of that urgent work. maxLateLossRatio is the bound once that work is late and so worth less.
	maxLossRatio     = 2.0
	maxLateLossRatio = 0.25
	// yieldMinUtilization is the utilization of a pool up to which no work yields, since the users' rules
	// require all work to run while less than half is in use.
	yieldMinUtilization = 0.55
	// headroomTimeout is how long headroom is kept after a pass last saw an open urgent job: twice the
	// duration of a usual urgent job on the users' deployments.
	headroomTimeout = 5 * time.Second
	// rejectBackoff is how long a worker that rejected a start gets no new work: as long as the stop of
	// a run may take, since the worker may still count the capacity of that run as used.
	rejectBackoff = 500 * time.Millisecond
)

func (e *Engine) init() {
	if e.workers == nil {
		e.workers = map[string]*worker{}
		e.jobs = map[string]*Job{}
		e.changedJobs = map[string]bool{}
		e.reservations = map[*Batch]TaskRef{}
		e.renewals = map[*Batch]TaskRef{}
		e.poolUses = map[string]poolUse{}
		e.outlooks = map[*Batch]outlook{}
		e.uneven, e.fastest, e.urgentLimits = map[string]bool{}, map[string]float64{}, map[string]float64{}
		e.estimateErrors = map[string]*estimateErrors{}
		e.claims, e.poolClaims = map[shape]bool{}, map[string]int{}
		e.lastRun = e.Limits.FirstRun
	}
}

// SetPlan applies a newer plan. Jobs of a queue that the new plan lacks keep the terms of the queue
// under which they were accepted.
func (e *Engine) SetPlan(p model.Plan) {
	e.plan = p
	e.guarantees = map[string]int{}
	for _, s := range p.Spaces {
		e.guarantees[s.Name] = s.Guaranteed
	}
	e.queues = map[string]model.Queue{}
	for _, q := range p.Queues {
		e.queues[q.Name] = q
	}
}

// queue returns the present terms of the job's queue, or those at its acceptance if the plan has no
// such queue.
func (e *Engine) queue(j *Job) model.Queue {
	if q, ok := e.queues[j.Work.Queue.Name]; ok {
		return q
	}
	return j.Work.Queue
}

// SetWorker adds a worker or replaces its description.
func (e *Engine) SetWorker(w Worker) {
	e.init()
	old := e.workers[w.ID]
	if old == nil {
		old = &worker{tasks: map[TaskRef]*Task{}}
		e.workers[w.ID] = old
		e.speedsAt = 0
		at, _ := slices.BinarySearchFunc(e.sortedWorkers, w.ID, func(x *worker, id string) int {
			switch {
			case x.ID < id:
				return -1
			case x.ID > id:
				return 1
			}
			return 0
		})
		e.sortedWorkers = slices.Insert(e.sortedWorkers, at, old)
	}
	if old.Pool != w.Pool || old.Rack != w.Rack {
		e.racks = nil
	}
	old.Worker = w
	e.describeSpeed(&w)
}

// DropWorker removes a worker; the runs placed on it end as Lost.
func (e *Engine) DropWorker(id string, now Moment) {
	w := e.workers[id]
	if w == nil {
		return
	}
	for ref, t := range w.tasks {
		e.End(ref, t.Run, Lost, "", now)
	}
	delete(e.workers, id)
	e.ForgetAdvice(id)
	e.Speeds.DropWorker(id)
	delete(e.isolatedWorkers, w)
	e.racks = nil
	e.sortedWorkers = slices.DeleteFunc(e.sortedWorkers, func(x *worker) bool { return x == w })
}

// RunsOn returns the tasks that are placed on a worker, with their run numbers.
func (e *Engine) RunsOn(id string) map[TaskRef]int64 {
	w := e.workers[id]
	if w == nil {
		return nil
	}
	out := make(map[TaskRef]int64, len(w.tasks))
	for ref, t := range w.tasks {
		out[ref] = t.Run
	}
	return out
}

// Busy reports whether any task is placed on a worker.
func (e *Engine) Busy(id string) bool {
	w := e.workers[id]
	return w != nil && len(w.tasks) > 0
}

// Add adds an accepted or restored job and reports whether it was new. A known job is left unchanged.
func (e *Engine) Add(j *Job, now Moment) bool {
	e.init()
	if e.jobs[j.Work.ID] != nil {
		return false
	}
	e.jobs[j.Work.ID] = j
	if j.Open() {
		at, _ := slices.BinarySearchFunc(e.openJobs, j, compareAcceptance)
		e.openJobs = slices.Insert(e.openJobs, at, j)
	}
	e.restoreRuns(j, now)
	return true
}

// compareAcceptance orders jobs by time of acceptance and then by id.
func compareAcceptance(a, b *Job) int {
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

// restoreRuns puts the placed runs of a restored job on their workers. Those of an ended job are
// stopped.
func (e *Engine) restoreRuns(j *Job, now Moment) {
	for k := range j.Batches {
		for s := range j.Batches[k] {
			b := &j.Batches[k][s]
			for i := range b.Tasks {
				t := &b.Tasks[i]
				e.lastRun = max(e.lastRun, t.Run)
				switch t.Phase {
				case Ended:
					b.ended++
				case Placed:
					t.placedAt, t.progressAt = now.Steady, now.Steady
					b.unmeasured = true
					e.restorePlacement(TaskRef{j.Work.ID, k, s, i}, t, &j.Work.Steps[s])
					if !j.Open() {
						e.orderStop(TaskRef{j.Work.ID, k, s, i}, t, "its job has ended")
					}
				case Waiting:
				}
				j.Started = j.Started || t.Run > 0
			}
		}
	}
}

// restorePlacement puts a placed task on its worker. A worker that is not known yet is added as silent
// and without capacity, so that nothing new is placed there.
func (e *Engine) restorePlacement(ref TaskRef, t *Task, s *model.Step) {
	w := e.workers[t.Worker]
	if w == nil {
		e.SetWorker(Worker{ID: t.Worker, Silent: true})
		w = e.workers[t.Worker]
	}
	w.tasks[ref] = t
	w.used = w.used.Plus(s.Need(), 1)
	if t.suspect {
		e.isolate(w, ref.Job, t)
	}
}

// Job returns a job by its id, or nil.
func (e *Engine) Job(id string) *Job { return e.jobs[id] }

// Forget removes an ended job from memory.
func (e *Engine) Forget(id string) { delete(e.jobs, id) }

// OldEnded returns the sorted ids of the jobs that ended before a time in Unix ms.
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

// CountUnstarted returns the number of a queue's open jobs of which no task has started.
func (e *Engine) CountUnstarted(queue string) int {
	n := 0
	for _, j := range e.openJobs {
		if !j.Started && j.Work.Queue.Name == queue {
			n++
		}
	}
	return n
}

// Stats holds counts at one moment: jobs that have not ended (Open) and those of them of which no task
// has started (Unstarted), placed tasks, workers that get no work after failures or a rejected start
// (Quarantined), and workers that do not answer (Silent).
type Stats struct {
	Open, Unstarted, Placed, Quarantined, Silent int
	// Speeds has the number of workers by speed class.
	Speeds speed.Counts
}

// Stats returns the present counts of jobs, placed tasks and workers.
func (e *Engine) Stats(now Moment) Stats {
	st := Stats{Open: len(e.openJobs), Speeds: e.Speeds.Classes()}
	for _, j := range e.openJobs {
		if !j.Started {
			st.Unstarted++
		}
	}
	for _, w := range e.sortedWorkers {
		st.Placed += len(w.tasks)
		if w.quarantined(now) || now.Steady < w.rejectedUntil {
			st.Quarantined++
		}
		if w.Silent {
			st.Silent++
		}
	}
	return st
}

// Cancel ends a job at its caller's request and stops its runs. An unknown or ended job is left
// unchanged.
func (e *Engine) Cancel(id string, now Moment) {
	j := e.jobs[id]
	if j == nil || !j.Open() {
		return
	}
	e.finish(j, Cancelled, now, "its caller cancelled it")
}

// finish gives a job its final state, releases its reservations and stops its runs.
func (e *Engine) finish(j *Job, s State, now Moment, reason string) {
	j.Final, j.EndedMs = s, now.UnixMs
	e.changedJobs[j.Work.ID] = true
	e.openJobs = slices.DeleteFunc(e.openJobs, func(x *Job) bool { return x == j })
	for k := range j.Batches {
		for st := range j.Batches[k] {
			b := &j.Batches[k][st]
			e.releaseReservation(b, &j.Work.Steps[st])
			for i := range b.Tasks {
				e.orderStop(TaskRef{j.Work.ID, k, st, i}, &b.Tasks[i], reason)
			}
		}
	}
}

// orderStop adds an order that stops a placed run, unless one was ordered already.
func (e *Engine) orderStop(ref TaskRef, t *Task, reason string) {
	if t.Phase != Placed || t.Stopping {
		return
	}
	t.Stopping, t.stopAt = true, e.passAt
	q := e.queue(e.jobs[ref.Job])
	e.orders = append(e.orders, Order{
		Task: ref, Run: t.Run, Stop: true, Worker: t.Worker, Reason: reason, Queue: q.Name, Priority: q.Priority, PlacedAt: t.placedAt,
	})
}

// TakeOrders returns the orders decided on since the last call.
func (e *Engine) TakeOrders() []Order {
	out := e.orders
	e.orders = nil
	return out
}

// TakeChanged returns the sorted ids of the jobs whose records have changed since the last call.
func (e *Engine) TakeChanged() []string {
	out := make([]string, 0, len(e.changedJobs))
	for id := range e.changedJobs {
		out = append(out, id)
	}
	slices.Sort(out)
	clear(e.changedJobs)
	return out
}

// find returns the job, batch and task that ref names, or nils if there are none.
func (e *Engine) find(ref TaskRef) (*Job, *Batch, *Task) {
	j := e.jobs[ref.Job]
	if j == nil || ref.Occurrence < 0 || ref.Occurrence >= len(j.Batches) ||
		ref.Step < 0 || ref.Step >= len(j.Batches[ref.Occurrence]) {
		return nil, nil, nil
	}
	b := &j.Batches[ref.Occurrence][ref.Step]
	if ref.Task < 0 || ref.Task >= len(b.Tasks) {
		return nil, nil, nil
	}
	return j, b, &b.Tasks[ref.Task]
}

// CurrentRun returns the run number and worker of a task, and whether it is placed.
func (e *Engine) CurrentRun(ref TaskRef) (run int64, worker string, placed bool) {
	_, _, t := e.find(ref)
	if t == nil || t.Phase != Placed {
		return 0, "", false
	}
	return t.Run, t.Worker, true
}

// Workers returns the sorted ids of all known workers.
func (e *Engine) Workers() []string {
	out := make([]string, len(e.sortedWorkers))
	for i, w := range e.sortedWorkers {
		out[i] = w.ID
	}
	return out
}

// Stopping reports whether a stop of the task's present run has been ordered.
func (e *Engine) Stopping(ref TaskRef) bool {
	_, _, t := e.find(ref)
	return t != nil && t.Stopping
}

// Reject records that a worker rejected a start without doing anything. The engine's view of that
// worker was wrong, so the worker gets no new work for rejectBackoff.
func (e *Engine) Reject(ref TaskRef, run int64, now Moment) {
	_, _, t := e.find(ref)
	if t == nil || t.Phase != Placed || t.Run != run {
		return
	}
	if w := e.workers[t.Worker]; w != nil {
		w.rejectedUntil = now.Steady + rejectBackoff
	}
	e.End(ref, run, Refused, "", now)
}
