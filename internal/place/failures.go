package place

import (
	"fmt"
	"slices"
)

// failureRecord counts the failures on a worker that are not known to be the fault of a job. A success
// on the worker clears it.
type failureRecord struct {
	jobs         []string // distinct jobs that failed here and are not known to be at fault
	confirmed    int      // jobs that failed here and then succeeded elsewhere
	quarantines  int      // times in quarantine without a success since
	failedStarts int      // starts in a row that the worker refused or did not receive
}

const (
	confirmedLimit   = 2 // confirmed failures before the worker is quarantined
	minBackoffMs     = 1_000
	maxBackoffMs     = 60_000
	maxQuarantineMs  = 4 * 3_600_000
	rackFailureLimit = 2 // failures in one rack before a job avoids the rack
)

// recordFailure records that a task of the job failed by itself on w, and quarantines w if too many
// jobs failed there or if it was on probation. If the job's class is suspect, the failure does not
// count against w.
func (e *Engine) recordFailure(j *job, w *worker) {
	if !slices.Contains(j.failedOn, w) {
		j.failedOn = append(j.failedOn, w)
	}
	j.avoidWorker(w)
	streak := e.streak(j)
	streak.add(w)
	if w.state == workerOnProbation {
		e.quarantine(w, fmt.Sprintf("job %s failed on probation", j.req.ID))
		return
	}
	if streak.suspectsClass(e.policy.JobFailures) {
		return
	}
	if !slices.Contains(w.failures.jobs, j.req.ID) {
		w.failures.jobs = append(w.failures.jobs, j.req.ID)
	}
	e.quarantineIfFailing(w)
}

// avoidWorker keeps the job off a worker, and off its whole rack after rackFailureLimit failures
// there.
func (j *job) avoidWorker(w *worker) {
	if j.avoid == nil {
		j.avoid = map[*worker]bool{}
	}
	j.avoid[w] = true
	inRack := 0
	for _, f := range j.failedOn {
		if f.rack == w.rack {
			inRack++
		}
	}
	if inRack < rackFailureLimit {
		return
	}
	for _, x := range w.rack.workers {
		j.avoid[x] = true
	}
}

// atFault reports whether the job failed on so many workers that the job itself must be the cause.
func (e *Engine) atFault(j *job) bool { return len(j.failedOn) >= e.policy.JobFailures }

// clearFailures removes a job at fault from the failure records of workers.
func (e *Engine) clearFailures(j *job) {
	for _, w := range j.failedOn {
		w.failures.jobs = slices.DeleteFunc(w.failures.jobs, func(id string) bool { return id == j.req.ID })
	}
}

// recordSuccess clears the failure records of the workers on which the job ran, readmits those on
// probation, and confirms the failures of workers on which the job failed before.
func (e *Engine) recordSuccess(j *job) {
	delete(e.streaks, jobClass{j.req.Workspace, j.req.Class})
	for _, a := range j.allocs {
		a.w.failures = failureRecord{}
		if a.w.state == workerOnProbation {
			e.leaveQuarantine(a.w)
			e.pool.setState(a.w, workerUp)
			e.emit(Decision{Kind: Readmit, Worker: a.w.vm.ID, Reason: "a job succeeded on probation"})
		}
	}
	for _, w := range j.failedOn {
		w.failures.confirmed++
		e.quarantineIfFailing(w)
	}
}

// quarantineIfFailing quarantines a worker whose failures reach a limit.
func (e *Engine) quarantineIfFailing(w *worker) {
	if w.state != workerUp && w.state != workerInBackoff {
		return
	}
	f := &w.failures
	if f.confirmed >= confirmedLimit {
		e.quarantine(w, fmt.Sprintf("%d jobs failed here and succeeded elsewhere", f.confirmed))
		return
	}
	if len(f.jobs) >= e.policy.WorkerFailures {
		e.quarantine(w, fmt.Sprintf("%d different jobs in a row failed here", len(f.jobs)))
	}
}

// quarantine stops new jobs on the worker for a time that doubles with each return, up to
// maxQuarantineMs. It does nothing if the policy's share of workers is already in quarantine, but a
// worker on probation always returns to quarantine.
func (e *Engine) quarantine(w *worker, reason string) {
	again := w.state == workerOnProbation
	limit := max(1, int(e.policy.QuarantineShare*float64(e.pool.live)))
	if !again && e.quarantined >= limit {
		return
	}
	if !again {
		e.quarantined++
	}
	e.onProbation = slices.DeleteFunc(e.onProbation, func(x *worker) bool { return x == w })
	length := min(e.policy.QuarantineMs<<min(w.failures.quarantines, 10), maxQuarantineMs)
	w.failures = failureRecord{quarantines: w.failures.quarantines + 1}
	w.suspendedUntilMs = e.now + length
	e.pool.setState(w, workerQuarantined)
	e.suspended = append(e.suspended, w)
	e.emit(Decision{Kind: Quarantine, Worker: w.vm.ID, Reason: reason})
	e.withdrawPlanned(w)
	e.repairClaims(slices.Clone(w.claims))
}

// backOff keeps a worker that refused or did not receive a start out of searches for a time that
// doubles with each failed start in a row.
func (e *Engine) backOff(w *worker) {
	if w.state != workerUp {
		return
	}
	w.suspendedUntilMs = e.now + min(int64(minBackoffMs)<<min(w.failures.failedStarts, 10), maxBackoffMs)
	w.failures.failedStarts++
	e.pool.setState(w, workerInBackoff)
	e.suspended = append(e.suspended, w)
}

// resumeSuspended returns workers whose time has passed: those in backoff to service and those in
// quarantine to probation.
func (e *Engine) resumeSuspended() {
	e.suspended = slices.DeleteFunc(e.suspended, func(w *worker) bool {
		switch {
		case w.state != workerInBackoff && w.state != workerQuarantined:
			return true
		case e.now < w.suspendedUntilMs:
			return false
		case w.state == workerInBackoff:
			e.pool.setState(w, workerUp)
			return true
		}
		e.pool.setState(w, workerOnProbation)
		e.onProbation = append(e.onProbation, w)
		return true
	})
}

// leaveQuarantine stops counting a worker as quarantined or on probation.
func (e *Engine) leaveQuarantine(w *worker) {
	if w.state == workerQuarantined || w.state == workerOnProbation {
		e.quarantined--
		e.onProbation = slices.DeleteFunc(e.onProbation, func(x *worker) bool { return x == w })
	}
}

// streak holds the distinct workers on which jobs of one class failed since the class's last success.
type streak struct{ workers []*worker }

func (e *Engine) streak(j *job) *streak {
	key := jobClass{j.req.Workspace, j.req.Class}
	s := e.streaks[key]
	if s == nil {
		s = &streak{}
		e.streaks[key] = s
	}
	return s
}

func (s *streak) add(w *worker) {
	if !slices.Contains(s.workers, w) {
		s.workers = append(s.workers, w)
	}
}

// suspectsClass reports whether the class itself seems to be the cause: it failed on at least n
// workers in at least two racks. Failures in one rack may come from the rack.
func (s *streak) suspectsClass(n int) bool {
	if len(s.workers) < n {
		return false
	}
	return slices.ContainsFunc(s.workers, func(w *worker) bool { return w.rack != s.workers[0].rack })
}
