package cell

import (
	"time"

	"greengageline/internal/ledger"
	"greengageline/internal/place"
	"greengageline/pkg/model"
)

// phase is where the owner stands with a job.
type phase int

const (
	phaseQueued   phase = iota
	phaseStarting       // a goroutine reserves, commits and starts
	phaseRunning        // members were told to start
	phaseStopping       // members were told to stop
	phaseEnding         // the end is being written
)

// why is the reason for which a job's members are stopped.
type why string

const (
	whyEvict      why = "evicted"
	whyCancel     why = "cancelled by the caller"
	whyFailed     why = "a task failed"
	whyIncomplete why = "not every member of the gang started"
	whyGone       why = "a member's task is gone"
)

// member is one worker's part of a job, as last reported.
type member struct {
	model.Member
	phase   model.TaskPhase
	started bool // may have started
	known   bool // phase comes from the worker, not from a timeout
	err     string
	answer  *model.Answer
}

// live is an open job of the cell; only the owner's loop touches it.
type live struct {
	entry   ledger.Entry
	phase   phase
	members []member
	// whole is set once every member was seen running; only then are the
	// leases of its members extended.
	whole bool
	// until is when a job that is not whole is given up, or, while stopping,
	// when silent members are certainly dead.
	until  time.Time
	why    why
	failed string // worker on which a task failed
	// lostVM is set when the platform or a timeout says that a member's worker
	// is gone for good.
	lostVM     bool
	cancelled  bool
	attempt    int // the newest attempt, committed or being prepared
	tries      int
	silentFrom time.Time
	// toldAt is when the members were told to start, or the job was restored;
	// older reports say nothing about them.
	toldAt    time.Time
	startSeen bool
	// ran is set once part of any attempt may have run.
	ran      bool
	watchers []chan model.Job
}

func (l *live) job() model.Job { return l.entry.Job }

func (l *live) ref() model.TaskRef {
	return model.TaskRef{Job: l.entry.Job.ID, Attempt: l.attempt}
}

// on returns the member on a worker, or nil.
func (l *live) on(worker string) *member {
	for i := range l.members {
		if l.members[i].Worker == worker {
			return &l.members[i]
		}
	}
	return nil
}

func (l *live) all(ok func(member) bool) bool {
	for _, m := range l.members {
		if !ok(m) {
			return false
		}
	}
	return true
}

func (l *live) any(ok func(member) bool) bool {
	for _, m := range l.members {
		if ok(m) {
			return true
		}
	}
	return false
}

func request(j model.Job) place.Request {
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

func shares(members []model.Member) []place.Share {
	var out []place.Share
	for _, m := range members {
		out = append(out, place.Share{Worker: m.Worker, Tasks: m.Tasks})
	}
	return out
}
