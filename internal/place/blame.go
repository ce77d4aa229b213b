package place

import (
	"fmt"
	"slices"
)

// blame is a worker's record of failures that nobody else is known to be the
// cause of; a success on the worker clears it.
type blame struct {
	jobs      []string // distinct jobs that failed here and not yet elsewhere
	confirmed int      // jobs that failed here and then succeeded elsewhere
	rounds    int      // times in quarantine without a success
	refusals  int      // orders in a row that were refused or not received
}

const (
	confirmedLimit   = 2
	coolMs           = 1_000
	maxCoolMs        = 60_000
	maxQuarantineMs  = 4 * 3_600_000
	rackFailureLimit = 2 // failures in one rack before a job avoids the rack
)

// broke records that a task of the job failed by itself on w.
func (e *Engine) broke(j *job, w *worker) {
	if !slices.Contains(j.failed, w) {
		j.failed = append(j.failed, w)
	}
	j.avoidWorker(w)
	streak := e.streak(j)
	streak.add(w)
	if w.state == workerProbing {
		e.quarantine(w, fmt.Sprintf("job %s failed on probation", j.req.ID))
		return
	}
	if streak.suspect(e.policy.JobFailures) {
		return
	}
	if !slices.Contains(w.blame.jobs, j.req.ID) {
		w.blame.jobs = append(w.blame.jobs, j.req.ID)
	}
	e.judge(w)
}

func (j *job) avoidWorker(w *worker) {
	if j.avoid == nil {
		j.avoid = map[*worker]bool{}
	}
	j.avoid[w] = true
	inRack := 0
	for _, f := range j.failed {
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

// atFault reports whether the job failed on enough workers to be the cause.
func (e *Engine) atFault(j *job) bool { return len(j.failed) >= e.policy.JobFailures }

// exonerate clears the workers on which a job at fault failed.
func (e *Engine) exonerate(j *job) {
	for _, w := range j.failed {
		w.blame.jobs = slices.DeleteFunc(w.blame.jobs, func(id string) bool { return id == j.req.ID })
	}
}

// succeeded clears the workers the job ran on, and confirms the failures of
// those on which it had failed.
func (e *Engine) succeeded(j *job) {
	delete(e.streaks, guessKey{j.req.Workspace, j.req.Class})
	for _, s := range j.spots {
		s.w.blame = blame{}
		if s.w.state == workerProbing {
			e.leaveQuarantine(s.w)
			e.pool.setState(s.w, workerUp)
			e.decide(Decision{Kind: Readmit, Worker: s.w.vm.ID, Reason: "a job succeeded on probation"})
		}
	}
	for _, w := range j.failed {
		w.blame.confirmed++
		e.judge(w)
	}
}

func (e *Engine) judge(w *worker) {
	if w.state != workerUp && w.state != workerCooling {
		return
	}
	b := &w.blame
	if b.confirmed >= confirmedLimit {
		e.quarantine(w, fmt.Sprintf("%d jobs failed here and succeeded elsewhere", b.confirmed))
		return
	}
	if len(b.jobs) >= e.policy.WorkerFailures {
		e.quarantine(w, fmt.Sprintf("%d different jobs in a row failed here", len(b.jobs)))
	}
}

func (e *Engine) quarantine(w *worker, reason string) {
	again := w.state == workerProbing
	limit := max(1, int(e.policy.QuarantineShare*float64(e.pool.live)))
	if !again && e.quarantined >= limit {
		return
	}
	if !again {
		e.quarantined++
	}
	e.probing = slices.DeleteFunc(e.probing, func(x *worker) bool { return x == w })
	length := min(e.policy.QuarantineMs<<min(w.blame.rounds, 10), maxQuarantineMs)
	w.blame = blame{rounds: w.blame.rounds + 1}
	w.until = e.now + length
	e.pool.setState(w, workerQuarantined)
	e.resting = append(e.resting, w)
	e.decide(Decision{Kind: Quarantine, Worker: w.vm.ID, Reason: reason})
	e.withdraw(w)
	e.mendAll(slices.Clone(w.claims))
}

// cool keeps a worker that refused or did not hear an order out of the next
// searches for a moment that doubles each time.
func (e *Engine) cool(w *worker) {
	if w.state != workerUp {
		return
	}
	w.until = e.now + min(int64(coolMs)<<min(w.blame.refusals, 10), maxCoolMs)
	w.blame.refusals++
	e.pool.setState(w, workerCooling)
	e.resting = append(e.resting, w)
}

// wake returns workers whose time out is over: cooled ones to work, and
// quarantined ones to probation.
func (e *Engine) wake() {
	e.resting = slices.DeleteFunc(e.resting, func(w *worker) bool {
		switch {
		case w.state != workerCooling && w.state != workerQuarantined:
			return true
		case e.now < w.until:
			return false
		case w.state == workerCooling:
			e.pool.setState(w, workerUp)
			return true
		}
		e.pool.setState(w, workerProbing)
		e.probing = append(e.probing, w)
		return true
	})
}

// leaveQuarantine takes a worker off the books of the quarantine.
func (e *Engine) leaveQuarantine(w *worker) {
	if w.state == workerQuarantined || w.state == workerProbing {
		e.quarantined--
		e.probing = slices.DeleteFunc(e.probing, func(x *worker) bool { return x == w })
	}
}

// streak is the run of failures of one workspace's class without a success.
type streak struct{ workers []*worker }

func (e *Engine) streak(j *job) *streak {
	key := guessKey{j.req.Workspace, j.req.Class}
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

// suspect reports whether the class itself looks broken: it failed on at
// least n workers in two racks or more. A bad rack alone does not make it so.
func (s *streak) suspect(n int) bool {
	if len(s.workers) < n {
		return false
	}
	return slices.ContainsFunc(s.workers, func(w *worker) bool { return w.rack != s.workers[0].rack })
}
