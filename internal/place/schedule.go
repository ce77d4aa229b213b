package place

import (
	"cmp"
	"fmt"
	"slices"

	"greengageline/pkg/model"
)

// maxAvoidingTried bounds how many jobs at the head of a queue are tried when the ones before them are
// blocked only because they avoid workers on which they failed.
const maxAvoidingTried = 4

// maxBackfillTried bounds how many jobs of a queue are considered for backfilling.
const maxBackfillTried = 16

// failedSearch is a search that found nothing. It stays valid until capacity becomes free.
type failedSearch struct {
	view  view
	scope scope
	shape model.Shape
}

// knownToFail reports whether a search that was no harder has already failed.
func (e *Engine) knownToFail(q query) bool {
	return slices.ContainsFunc(e.failedSearches, func(f failedSearch) bool {
		return f.view == q.view && f.scope >= q.scope &&
			f.shape.Tasks <= q.shape.Tasks && f.shape.Each <= q.shape.Each
	})
}

// search finds allocations like pool.find, but skips searches that are known to fail. A search that
// avoids workers is not recorded when it fails, because it says nothing about other jobs.
func (e *Engine) search(q query) []allocation {
	if e.knownToFail(q) {
		return nil
	}
	allocs := e.pool.find(q)
	if allocs == nil && len(q.avoid) == 0 {
		e.failedSearches = append(e.failedSearches, failedSearch{q.view, q.scope, q.shape})
	}
	return allocs
}

// schedule runs one scheduling pass. It first starts jobs whose evictions have ended and jobs whose
// held workers are ready, then queued jobs while any fits, one of each queue in turn, and finally
// makes holds for blocked gangs.
func (e *Engine) schedule() {
	if !e.ready {
		return
	}
	e.startAfterEvictions()
	e.startHeld()
	blocked := map[*jobQueue]bool{}
	for progress := true; progress; {
		progress = false
		for _, q := range e.sortQueues() {
			if blocked[q] || len(q.jobs) == 0 {
				continue
			}
			if e.tryQueue(q) {
				progress = true
				continue
			}
			blocked[q] = true
		}
	}
	e.makeHolds()
}

// tryQueue places one job of the queue and reports whether it did.
func (e *Engine) tryQueue(q *jobQueue) bool {
	for i := 0; i < min(len(q.jobs), maxAvoidingTried); i++ {
		j := q.jobs[i]
		if e.tryStart(j) {
			return true
		}
		if j.avoid == nil {
			break
		}
	}
	return e.backfillQueue(q)
}

// backfillQueue looks behind a blocked head for a job that is short enough to run on held workers. The
// jobs of a queue have one shape but different run times.
func (e *Engine) backfillQueue(q *jobQueue) bool {
	if len(e.holds) == 0 || e.overQuota(q.jobs[0]) {
		return false
	}
	for i := 1; i < min(len(q.jobs), maxBackfillTried); i++ {
		if e.tryBackfill(q.jobs[i]) {
			return true
		}
	}
	return false
}

func (e *Engine) overQuota(j *job) bool {
	quota := j.ws.conf.Quota
	return quota > 0 && j.ws.inUse+j.accelerators() > quota
}

// tryStart places the job if the policy allows it and reports whether it did. It tries, in this order:
// a claim of the job's workspace without evictions, a worker on probation, unoccupied accelerators,
// backfilling of held workers, a claim with evictions of borrowers, and for an urgent job evictions of
// borrowers anywhere outside claims.
func (e *Engine) tryStart(j *job) bool {
	if e.overQuota(j) {
		return false
	}
	c, allocs, evict := e.pickClaim(j)
	if c != nil && evict == 0 {
		e.place(j, model.Guaranteed, c, allocs, "uses its share "+c.id)
		return true
	}
	if e.tryProbe(j) || e.tryUnoccupied(j) || e.tryBackfill(j) {
		return true
	}
	if c != nil {
		e.place(j, model.Guaranteed, c, allocs, fmt.Sprintf("reclaims %d accelerators of its share %s", evict, c.id))
		return true
	}
	return e.tryUrgent(j)
}

// probeReason is the start reason of a job that tests a worker on probation.
const probeReason = "probes a worker after quarantine"

// tryProbe starts the job on a worker on probation, if the job has one task and can safely run again.
func (e *Engine) tryProbe(j *job) bool {
	r := j.req
	if r.Shape.Tasks != 1 || !r.Idempotent || r.Urgent {
		return false
	}
	for _, w := range e.onProbation {
		if len(w.jobs) == 0 && w.size >= r.Shape.Each && !j.avoid[w] {
			e.place(j, model.Borrowed, nil, []allocation{{w, 1}}, probeReason)
			return true
		}
	}
	return false
}

// scopeFor returns the widest scope in which the gang may be placed now: a gang that fits a rack waits
// for room in one rack for as long as the policy says.
func (e *Engine) scopeFor(j *job) scope {
	s, _ := e.pool.narrowestScope(j.req.Shape)
	if s == scopeRack && e.now-j.req.ArrivedMs >= e.policy.RackPatienceMs {
		return scopeZone
	}
	return s
}

// tryUnoccupied places the job without evictions, first on accelerators that no claim reserves, then
// for a preemptible job also on the reserved ones.
func (e *Engine) tryUnoccupied(j *job) bool {
	q := query{view: viewSpare, shape: j.req.Shape, scope: e.scopeFor(j), avoid: j.avoid}
	mode := model.Spare
	if j.preemptible() {
		mode = model.Borrowed
	}
	if allocs := e.search(q); allocs != nil {
		e.place(j, mode, nil, allocs, "best fit on places that no share needs")
		return true
	}
	if mode == model.Spare {
		return false
	}
	q.view = viewOpen
	allocs := e.search(q)
	if allocs == nil {
		return false
	}
	e.place(j, mode, nil, allocs, "best fit on unused shares of others, until they are reclaimed")
	return true
}

// tryUrgent places an urgent job that no claim can serve, and evicts borrowers where necessary. It
// takes nothing that claims reserve.
func (e *Engine) tryUrgent(j *job) bool {
	if !j.req.Urgent {
		return false
	}
	q := query{view: viewAfterEviction, shape: j.req.Shape, scope: e.scopeFor(j), avoid: j.avoid}
	allocs := e.search(q)
	if allocs == nil {
		return false
	}
	e.place(j, model.Spare, nil, allocs, "urgent: borrowers give way")
	return true
}

// place assigns the allocations to the job and evicts borrowers that exceed the workers' sizes. The
// job starts at once, or as soon as those evictions have ended.
func (e *Engine) place(j *job, mode model.Mode, c *claim, allocs []allocation, reason string) {
	e.dropHold(j.hold, "")
	e.dequeue(j)
	j.mode = mode
	if c != nil {
		e.assignToClaim(c, j, allocs)
	}
	for _, a := range allocs {
		e.occupy(j, a)
	}
	j.ws.inUse += j.accelerators()
	if mode != model.Guaranteed {
		j.ws.outsideClaims += j.accelerators()
	}
	for _, a := range allocs {
		e.makeRoom(a.w, j)
	}
	j.startReason = reason
	if j.awaitsEviction() {
		j.state = jobAwaitingEviction
		e.awaitingEviction = append(e.awaitingEviction, j)
		return
	}
	e.start(j)
}

// start marks a placed job as started and reports the decision.
func (e *Engine) start(j *job) {
	j.state = jobStarted
	j.startedMs = e.now
	j.expectedEndMs = e.now + e.estimator.expected(j.req)
	d := Decision{
		Kind: Start, Job: j.req.ID, Workspace: j.req.Workspace, Mode: j.mode,
		Accelerators: j.accelerators(), Reason: j.startReason,
	}
	if j.claim != nil {
		d.Claim = j.claim.id
	}
	for _, a := range j.allocs {
		d.Assignments = append(d.Assignments, Assignment{Worker: a.w.vm.ID, Tasks: a.tasks})
	}
	e.emit(d)
}

// awaitsEviction reports whether one of the job's workers is still overcommitted.
func (j *job) awaitsEviction() bool {
	return slices.ContainsFunc(j.allocs, func(a allocation) bool { return a.w.overcommitted() })
}

// startAfterEvictions starts the placed jobs whose evictions have ended.
func (e *Engine) startAfterEvictions() {
	for _, j := range slices.Clone(e.awaitingEviction) {
		if j.awaitsEviction() {
			continue
		}
		e.awaitingEviction = slices.DeleteFunc(e.awaitingEviction, func(x *job) bool { return x == j })
		e.start(j)
	}
}

// makeRoom evicts borrowers from a worker for the job by until the rest fits, those with the least
// lost work first.
func (e *Engine) makeRoom(w *worker, by *job) {
	for w.nonBorrowed+w.borrowed-stoppingOn(w) > w.size {
		victim := e.cheapestVictim(w, func(*job) bool { return true })
		if victim == nil {
			return
		}
		e.evict(victim, fmt.Sprintf("job %s of workspace %s takes its place on %s",
			by.req.ID, by.req.Workspace, w.vm.ID))
	}
}

// stoppingOn returns how many borrowed accelerators of the worker will become free by evictions under
// way.
func stoppingOn(w *worker) int {
	n := 0
	for _, j := range w.jobs {
		if j.mode != model.Borrowed || !j.stopping {
			continue
		}
		for _, a := range j.allocs {
			if a.w == w {
				n += a.tasks * j.req.Shape.Each
			}
		}
	}
	return n
}

// cheapestVictim returns the allowed borrower on the worker whose eviction loses least work, or nil.
func (e *Engine) cheapestVictim(w *worker, allowed func(*job) bool) *job {
	var best *job
	for _, j := range w.jobs {
		if j.mode != model.Borrowed || j.stopping || !allowed(j) {
			continue
		}
		if best == nil || cmp.Or(
			cmp.Compare(e.evictionLoss(j), e.evictionLoss(best)),
			cmp.Compare(j.req.ID, best.req.ID)) < 0 {
			best = j
		}
	}
	return best
}

// evictionLoss is the work that evicting the job wastes, in accelerator-ms: all since its start, or at
// most the policy's move cost if it can be checkpointed.
func (e *Engine) evictionLoss(j *job) int64 {
	wastedMs := e.now - j.startedMs
	if j.req.Checkpoint {
		wastedMs = min(wastedMs, e.policy.MoveCostMs)
	}
	return wastedMs * int64(j.accelerators())
}

// evict stops a started job, or requeues a job that is placed but has not started.
func (e *Engine) evict(j *job, reason string) {
	if j.stopping {
		return
	}
	j.stopping = true
	if j.state == jobAwaitingEviction {
		e.undoPlacement(j)
		return
	}
	e.emit(Decision{
		Kind: Evict, Job: j.req.ID, Workspace: j.req.Workspace, Mode: j.mode,
		Accelerators: j.accelerators(), Reason: reason,
	})
}
