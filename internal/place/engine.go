package place

import (
	"cmp"
	"container/heap"
	"fmt"
	"maps"
	"slices"

	"greengageline/pkg/model"
)

// Engine is the scheduling state of one cell. Its owner steps it with events; it is not safe for
// concurrent use. The zero value is an empty cell that is being rebuilt and starts no jobs until it
// handles Ready.
type Engine struct {
	now                    int64 // ms, time of the newest event
	generation             uint64
	policy                 Policy
	pool                   pool
	workspaces             map[string]*workspace
	jobs                   map[string]*job
	queues                 map[queueKey]*jobQueue
	queueOrder             []*jobQueue // in order of creation
	estimator              runTimeEstimator
	streaks                map[jobClass]*streak
	awaitingEviction       []*job // placed jobs that start once the evictions on their workers have ended
	holds                  []*hold
	atRisk                 []*claim
	suspended              []*worker // in backoff or quarantined
	onProbation            []*worker
	deadlines              deadlineHeap
	failedSearches         []failedSearch
	nextFeasibilityCheckMs int64 // when queued jobs are next checked for being infeasible
	// quarantined counts the workers that are quarantined or on probation.
	quarantined int
	ready       bool
	decisions   []Decision
}

// Step handles one event at the time now, in ms, and returns the resulting decisions. A time before
// that of an earlier event counts as the earlier event's time.
func (e *Engine) Step(now int64, ev Event) []Decision {
	e.init()
	e.now = max(e.now, now)
	e.decisions = nil
	e.dispatch(ev)
	return e.decisions
}

func (e *Engine) init() {
	if e.jobs != nil {
		return
	}
	e.jobs = map[string]*job{}
	e.workspaces = map[string]*workspace{}
	e.queues = map[queueKey]*jobQueue{}
	e.streaks = map[jobClass]*streak{}
	e.policy = CompletionPolicy()
}

func (e *Engine) dispatch(ev Event) {
	switch ev := ev.(type) {
	case Configure:
		e.configure(ev.Snapshot)
	case WorkerUp:
		e.workerUp(ev.VM)
	case WorkerLeaving:
		e.workerLeaving(ev.ID, ev.JobsStay)
	case WorkerLost:
		e.workerLost(ev.ID)
	case Enqueue:
		e.arrive(ev.Job)
	case Restore:
		e.adopt(ev)
	case Ready:
		e.becomeReady()
	case Cancel:
		e.cancel(ev.ID)
	case Ended:
		e.ended(ev)
	case Tick:
		e.tick()
	}
}

func (e *Engine) emit(d Decision) { e.decisions = append(e.decisions, d) }

// forgetFailedSearches clears the failed searches. It must be called whenever capacity may have become
// free.
func (e *Engine) forgetFailedSearches() { e.failedSearches = e.failedSearches[:0] }

// configure applies a new configuration and repairs the claims that it adds.
func (e *Engine) configure(s Snapshot) {
	e.generation = s.Generation
	e.policy = s.Policy
	if e.policy == (Policy{}) {
		e.policy = CompletionPolicy()
	}
	listed := map[string]bool{}
	var added []*claim
	for _, conf := range s.Workspaces {
		listed[conf.Name] = true
		ws := e.workspaces[conf.Name]
		if ws == nil {
			ws = &workspace{name: conf.Name}
			e.workspaces[conf.Name] = ws
		}
		ws.conf, ws.removed = conf, false
		added = append(added, e.reconcileClaims(ws)...)
	}
	for _, name := range slices.Sorted(maps.Keys(e.workspaces)) {
		if !listed[name] {
			e.retireWorkspace(e.workspaces[name])
		}
	}
	if !e.ready {
		return
	}
	e.forgetFailedSearches()
	e.repairClaims(added)
	e.repairAtRisk()
	e.schedule()
}

// reconcileClaims makes the workspace's claims match its guarantees and returns the new claims, which
// have no allocations yet. Claims with the most jobs are kept first. Jobs of a removed claim keep
// running without a claim.
func (e *Engine) reconcileClaims(ws *workspace) (added []*claim) {
	want := map[model.Shape]int{}
	for _, g := range ws.conf.Guarantees {
		want[g.Shape] += g.Count
	}
	old := slices.Clone(ws.claims)
	slices.SortStableFunc(old, func(a, b *claim) int {
		return cmp.Compare(len(b.jobs), len(a.jobs))
	})
	ws.claims = nil
	kept := map[string]bool{}
	for _, c := range old {
		if want[c.shape] == 0 {
			e.removeClaim(c)
			continue
		}
		want[c.shape]--
		kept[c.id] = true
		ws.claims = append(ws.claims, c)
	}
	for _, g := range ws.conf.Guarantees {
		for i := 0; want[g.Shape] > 0; i++ {
			id := claimID(ws.name, g.Shape, i)
			if kept[id] {
				continue
			}
			want[g.Shape]--
			c := &claim{id: id, ws: ws, shape: g.Shape}
			ws.claims = append(ws.claims, c)
			added = append(added, c)
		}
	}
	return added
}

func (e *Engine) removeClaim(c *claim) {
	for _, j := range c.jobs {
		j.claim = nil
	}
	c.jobs = nil
	e.dropAllocations(c)
	e.atRisk = slices.DeleteFunc(e.atRisk, func(x *claim) bool { return x == c })
}

// retireWorkspace handles a workspace that is no longer configured: its queued jobs are refused and
// its running jobs continue to their end.
func (e *Engine) retireWorkspace(ws *workspace) {
	ws.removed = true
	for _, c := range ws.claims {
		e.removeClaim(c)
	}
	ws.claims = nil
	ws.conf.Guarantees = nil
	for _, q := range slices.Clone(e.queueOrder) {
		if q.ws != ws {
			continue
		}
		for _, j := range slices.Clone(q.jobs) {
			e.refuseQueued(j, "its workspace was removed from the configuration")
		}
	}
}

// refuseQueued removes a queued job from the engine and reports its refusal.
func (e *Engine) refuseQueued(j *job, reason string) {
	e.dropHold(j.hold, "")
	e.dequeue(j)
	delete(e.jobs, j.req.ID)
	e.emit(Decision{Kind: Refuse, Job: j.req.ID, Workspace: j.req.Workspace, Reason: reason})
}

// workerUp adds a worker or returns it to service. A worker whose rack, zone or number of accelerators
// differs from before is first handled as lost.
func (e *Engine) workerUp(vm model.VM) {
	w := e.pool.byID[vm.ID]
	if w != nil && (w.vm.Rack != vm.Rack || w.vm.Zone != vm.Zone || w.vm.Accelerators != vm.Accelerators) {
		e.workerLost(vm.ID)
		delete(e.pool.byID, vm.ID)
		w = nil
	}
	switch {
	case w == nil:
		w = e.pool.add(vm)
	case w.state == workerLost || w.state == workerLeaving:
		w.vm = vm
		w.failures = failureRecord{}
		e.pool.setState(w, workerUp)
	default:
		w.vm = vm
		return
	}
	if vm.Leaving {
		e.pool.setState(w, workerLeaving)
		return
	}
	e.forgetFailedSearches()
	if !e.ready {
		return
	}
	e.repairAtRisk()
	e.schedule()
}

// workerLeaving stops new placements on a worker and, unless jobsStay is set, evicts the jobs there that can be restarted
// from a checkpoint. Other jobs keep running.
func (e *Engine) workerLeaving(id string, jobsStay bool) {
	w := e.pool.byID[id]
	if w == nil || w.state == workerLost || jobsStay && w.state == workerLeaving {
		return
	}
	if w.state != workerLeaving {
		e.leaveQuarantine(w)
		e.pool.setState(w, workerLeaving)
		e.withdrawPlanned(w)
	}
	for _, j := range slices.Clone(w.jobs) {
		if !jobsStay && j.preemptible() && j.req.Checkpoint {
			e.evict(j, fmt.Sprintf("worker %s is leaving and the job can be checkpointed", id))
		}
	}
	e.rescheduleAfterLoss(w)
}

// workerLost reports the jobs that ran on the worker as lost. Their accelerators are released when
// their Ended events arrive.
func (e *Engine) workerLost(id string) {
	w := e.pool.byID[id]
	if w == nil || w.state == workerLost {
		return
	}
	e.leaveQuarantine(w)
	e.pool.setState(w, workerLost)
	e.withdrawPlanned(w)
	for _, j := range slices.Clone(w.jobs) {
		j.stopping = true
		e.emit(Decision{
			Kind: Lost, Job: j.req.ID, Workspace: j.req.Workspace, Worker: id,
			Reason: "a worker that runs part of the job is lost",
		})
	}
	e.rescheduleAfterLoss(w)
	e.pool.purge(w)
}

// rescheduleAfterLoss repairs the claims that had allocations on the worker and runs a scheduling
// pass.
func (e *Engine) rescheduleAfterLoss(w *worker) {
	if !e.ready {
		return
	}
	e.repairClaims(slices.Clone(w.claims))
	e.schedule()
}

// withdrawPlanned drops the holds on a worker and requeues the jobs that are placed there but have not
// started.
func (e *Engine) withdrawPlanned(w *worker) {
	e.dropHoldsOn(w)
	for _, j := range slices.Clone(w.jobs) {
		if j.state == jobAwaitingEviction {
			e.undoPlacement(j)
		}
	}
}

// undoPlacement returns a placed job that has not started to its queue.
func (e *Engine) undoPlacement(j *job) {
	e.release(j)
	e.enqueue(j)
}

// arrive refuses the job or queues it and tries to start it at once.
func (e *Engine) arrive(r Request) {
	if e.jobs[r.ID] != nil {
		return
	}
	ws := e.workspaces[r.Workspace]
	if refused := e.admissionRefusal(ws, r); refused != nil {
		e.emit(Decision{Kind: Refuse, Job: r.ID, Workspace: r.Workspace, Reason: refused.Reason})
		return
	}
	j := &job{req: r, ws: ws}
	e.jobs[r.ID] = j
	e.enqueue(j)
	if r.DeadlineMs > 0 {
		heap.Push(&e.deadlines, deadline{atMs: r.DeadlineMs, id: r.ID})
	}
	switch {
	case !e.ready:
	case j.queue.jobs[0] == j:
		e.tryStart(j)
	case len(j.queue.jobs) <= maxBackfillTried && !e.overQuota(j):
		e.tryBackfill(j)
	}
}

// cancel removes a job that has not started. A started job is only marked as stopping; its Ended event
// releases it.
func (e *Engine) cancel(id string) {
	j := e.jobs[id]
	if j == nil {
		return
	}
	switch j.state {
	case jobQueued:
		e.dropHold(j.hold, "")
		e.dequeue(j)
		delete(e.jobs, id)
	case jobAwaitingEviction:
		e.release(j)
		delete(e.jobs, id)
		e.retrySchedule()
	case jobStarted:
		j.stopping = true
	}
}

// ended releases a started job and requeues it if the event asks for that, unless it has failed on so
// many workers that the job itself is at fault.
func (e *Engine) ended(ev Ended) {
	j := e.jobs[ev.ID]
	if j == nil || j.state != jobStarted {
		return
	}
	e.recordOutcome(j, ev)
	e.release(j)
	delete(e.jobs, ev.ID)
	switch {
	case ev.Requeue && ev.Outcome == Failed && e.atFault(j):
		e.clearFailures(j)
		e.emit(Decision{
			Kind: GiveUp, Job: ev.ID, Workspace: j.req.Workspace,
			Reason: fmt.Sprintf("the job failed on %d different workers", len(j.failedOn)),
		})
	case ev.Requeue:
		e.jobs[ev.ID] = j
		e.enqueue(j)
	}
	e.retrySchedule()
}

// recordOutcome updates the run-time estimates and the failure records of workers.
func (e *Engine) recordOutcome(j *job, ev Ended) {
	w := e.pool.byID[ev.Worker]
	switch ev.Outcome {
	case Finished:
		e.estimator.observe(j.req, e.now-j.startedMs)
		e.recordSuccess(j)
	case Failed:
		if w != nil {
			e.recordFailure(j, w)
		}
	case NotStarted:
		if w != nil {
			e.backOff(w)
		}
	case Stopped:
	}
}

// release frees the job's allocations and returns them to its claim, if it has one.
func (e *Engine) release(j *job) {
	for _, a := range j.allocs {
		n := a.tasks * j.req.Shape.Each
		if j.mode == model.Borrowed {
			a.w.borrowed -= n
		}
		if j.mode != model.Borrowed {
			a.w.nonBorrowed -= n
		}
		a.w.jobs = slices.DeleteFunc(a.w.jobs, func(x *job) bool { return x == j })
	}
	c := j.claim
	if c != nil {
		e.returnToClaim(c, j)
	}
	for _, a := range j.allocs {
		e.pool.updateIndex(a.w)
		e.pool.purge(a.w)
	}
	j.ws.inUse -= j.accelerators()
	if j.mode != model.Guaranteed {
		j.ws.outsideClaims -= j.accelerators()
	}
	e.awaitingEviction = slices.DeleteFunc(e.awaitingEviction, func(x *job) bool { return x == j })
	j.allocs, j.mode, j.stopping = nil, "", false
	if c != nil && e.ready {
		e.repairClaims([]*claim{c})
	}
	e.forgetFailedSearches()
}

// retrySchedule uses capacity that may have become free.
func (e *Engine) retrySchedule() {
	if !e.ready {
		return
	}
	e.repairAtRisk()
	e.schedule()
}

// tick does what depends on time alone: it ends backoff and quarantine, refuses expired and infeasible
// jobs, enforces holds and runs a scheduling pass.
func (e *Engine) tick() {
	if !e.ready {
		return
	}
	before := len(e.suspended)
	e.resumeSuspended()
	if len(e.suspended) != before {
		e.forgetFailedSearches()
		e.repairAtRisk()
	}
	e.refuseExpired()
	e.refuseInfeasible()
	e.enforceHolds()
	e.schedule()
}

// refuseExpired refuses queued jobs whose deadline has passed.
func (e *Engine) refuseExpired() {
	for len(e.deadlines) > 0 && e.deadlines[0].atMs < e.now {
		d, _ := heap.Pop(&e.deadlines).(deadline)
		if j := e.jobs[d.id]; j != nil && j.state == jobQueued {
			e.refuseQueued(j, "its deadline passed before it could start")
		}
	}
}

// deadline is the time in ms after which a job that has not started is refused.
type deadline struct {
	atMs int64
	id   string
}

// deadlineHeap is a min-heap of deadlines, for container/heap.
type deadlineHeap []deadline

func (h deadlineHeap) Len() int           { return len(h) }
func (h deadlineHeap) Less(i, j int) bool { return h[i].atMs < h[j].atMs }
func (h deadlineHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *deadlineHeap) Push(x any) {
	if d, ok := x.(deadline); ok {
		*h = append(*h, d)
	}
}

// Pop implements heap.Interface.
func (h *deadlineHeap) Pop() any {
	old := *h
	d := old[len(old)-1]
	*h = old[:len(old)-1]
	return d
}
