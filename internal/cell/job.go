package cell

import (
	"time"

	"greengageline/internal/ledger"
	"greengageline/internal/place"
	"greengageline/pkg/model"
)

// phase is the state of an open job in the owner's state machine.
type phase int

const (
	phaseQueued   phase = iota
	phaseStarting       // a starter reserves, commits and starts
	phaseRunning        // the start orders were sent
	phaseStopping       // the stop orders were sent
	phaseEnding         // the final state is being written
)

// stopReason is why a job's members are stopped. Its text becomes part of the reason
// that is stored with the job.
type stopReason string

const (
	stopEvicted        stopReason = "evicted"
	stopCancelled      stopReason = "cancelled by the caller"
	stopTaskFailed     stopReason = "a task failed"
	stopGangIncomplete stopReason = "not every member of the gang started"
	stopTaskGone       stopReason = "a member's task is gone"
)

// member is one worker's part of a job attempt, as last reported.
type member struct {
	model.Member
	phase      model.TaskPhase
	mayHaveRun bool // the task started, or may have started
	reported   bool // phase comes from the worker, not from a timeout
	taskError  string
	answer     *model.Answer
}

// openJob is a job of the cell that has not ended; only the owner's loop touches it.
type openJob struct {
	entry   ledger.Entry
	phase   phase
	members []member
	// allRunning is set once every member was reported as running or done. The leases
	// of the members are extended only from then on.
	allRunning bool
	// deadline is when a job without allRunning is given up or, in phaseStopping, when
	// the leases of members that do not answer may be checked for expiry.
	deadline     time.Time
	stopReason   stopReason
	failedWorker string // worker on which a task failed
	// workerLost is set when a member's worker is permanently lost according to the
	// platform or a timeout, or has restarted.
	workerLost      bool
	cancelled       bool
	attempt         int // number of the newest attempt, committed or not
	epochAttempts   int
	unresolvedSince time.Time
	// queriedAt is when the workers of unresolved members were queried last.
	queriedAt time.Time
	// startSentAt is when the answers to the start orders were in, or the job was
	// restored. Renewals that were sent before it say nothing about its members.
	startSentAt   time.Time
	startRecorded bool
	// mayHaveRun is set once part of any attempt may have run.
	mayHaveRun bool
	watchers   []*watcher
	// pruneAt is the number of watchers from which those that have left are removed.
	pruneAt int
}

func (j *openJob) job() model.Job { return j.entry.Job }

func (j *openJob) ref() model.TaskRef {
	return model.TaskRef{Job: j.entry.Job.ID, Attempt: j.attempt}
}

// memberOn returns the member on a worker, or nil.
func (j *openJob) memberOn(worker string) *member {
	for i := range j.members {
		if j.members[i].Worker == worker {
			return &j.members[i]
		}
	}
	return nil
}

func (j *openJob) all(ok func(member) bool) bool {
	for _, m := range j.members {
		if !ok(m) {
			return false
		}
	}
	return true
}

func (j *openJob) any(ok func(member) bool) bool {
	for _, m := range j.members {
		if ok(m) {
			return true
		}
	}
	return false
}

func placeRequest(j model.Job) place.Request {
	r := place.Request{
		ID: j.ID, Workspace: j.Spec.Workspace, Class: j.Spec.Class, Shape: j.Spec.Shape,
		Urgent: j.Spec.Urgent, Idempotent: j.Spec.Idempotent, Checkpoint: j.Spec.Checkpoint,
		EstimateMs: j.Spec.EstimateMs, ArrivedMs: j.AcceptedMs,
	}
	if j.Spec.DeadlineMs > 0 {
		r.DeadlineMs = j.AcceptedMs + j.Spec.DeadlineMs
	}
	return r
}

func placeShares(members []model.Member) []place.Assignment {
	var out []place.Assignment
	for _, m := range members {
		out = append(out, place.Assignment{Worker: m.Worker, Tasks: m.Tasks})
	}
	return out
}
