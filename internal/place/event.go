package place

import "greengageline/pkg/model"

// Event is something that happened; Engine.Step accepts the types below.
type Event interface{ isEvent() }

// Request is what the engine knows of a job.
type Request struct {
	ID         string
	Workspace  string
	Class      string
	Shape      model.Shape
	Urgent     bool
	Idempotent bool
	Checkpoint bool
	EstimateMs int64
	// ArrivedMs orders the queue; a requeued job keeps it.
	ArrivedMs int64
	// DeadlineMs is the time after which the job need not start; 0 is none.
	DeadlineMs int64
}

// Share is a number of accelerators on one worker, in tasks of a job.
type Share struct {
	Worker string
	Tasks  int
}

// Outcome says how an attempt ended.
type Outcome int

const (
	// Finished means that every task ended well.
	Finished Outcome = iota
	// Broke means that a task failed by itself; Ended.Worker says where.
	Broke
	// Removed means that the tasks were stopped or lost through no fault of the job.
	Removed
	// NotStarted means that a worker refused or could not be reached; Ended.Worker says which.
	NotStarted
)

type (
	// Configure replaces the workspaces, shares and policy.
	Configure struct{ Snapshot Snapshot }
	// WorkerUp adds a worker or brings it back.
	WorkerUp struct{ VM model.VM }
	// WorkerLeaving forbids new work on a worker.
	WorkerLeaving struct{ ID string }
	// WorkerLost removes a worker and everything that ran on it.
	WorkerLost struct{ ID string }
	// Arrive adds a job to the queue.
	Arrive struct{ Job Request }
	// Adopt restores a job that an earlier owner had started.
	Adopt struct {
		Job       Request
		Mode      model.Mode
		Claim     string
		Shares    []Share
		StartedMs int64
	}
	// Ready ends a rebuild: shares are witnessed and the queue is served.
	Ready struct{}
	// Cancel removes a queued job; a started one ends through Ended.
	Cancel struct{ ID string }
	// Ended frees the accelerators of an attempt.
	Ended struct {
		ID      string
		Outcome Outcome
		Worker  string
		// Requeue puts the job back into the queue.
		Requeue bool
	}
	// Tick lets time pass.
	Tick struct{}
)

func (Configure) isEvent()     {}
func (WorkerUp) isEvent()      {}
func (WorkerLeaving) isEvent() {}
func (WorkerLost) isEvent()    {}
func (Arrive) isEvent()        {}
func (Adopt) isEvent()         {}
func (Ready) isEvent()         {}
func (Cancel) isEvent()        {}
func (Ended) isEvent()         {}
func (Tick) isEvent()          {}

// Kind names a decision.
type Kind string

// The kinds of decisions.
const (
	Start      Kind = "start"
	Evict      Kind = "evict"
	Refuse     Kind = "refuse"
	GiveUp     Kind = "give-up"
	Lost       Kind = "lost"
	Hold       Kind = "hold"
	Release    Kind = "release"
	Quarantine Kind = "quarantine"
	Readmit    Kind = "readmit"
	Risk       Kind = "risk"
	RiskOver   Kind = "risk-over"
)

// Decision is one thing that the engine wants done or known.
type Decision struct {
	Kind      Kind
	Job       string
	Workspace string
	Worker    string
	Mode      model.Mode
	Claim     string
	Shares    []Share
	// Accelerators is how many the decision is about.
	Accelerators int
	Reason       string
}
