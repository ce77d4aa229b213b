package place

import "greengageline/pkg/model"

// Event is something that happened. Engine.Step accepts the types of this file that implement it.
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
	// ArrivedMs orders the queue. A requeued job keeps it.
	ArrivedMs int64
	// DeadlineMs is the time after which the job is refused if it has not started; 0 means none.
	DeadlineMs int64
}

// Assignment is a number of a job's tasks on one worker.
type Assignment struct {
	Worker string
	Tasks  int
}

// Outcome says how an attempt to run a job ended.
type Outcome int

const (
	// Finished means that every task succeeded.
	Finished Outcome = iota
	// Failed means that a task failed by itself. Ended.Worker is the worker where it failed.
	Failed
	// Stopped means that the tasks were stopped or lost through no fault of the job.
	Stopped
	// NotStarted means that a worker refused the start or could not be reached. Ended.Worker is that
	// worker.
	NotStarted
)

type (
	// Configure replaces the workspaces, their guarantees and the policy.
	Configure struct{ Snapshot Snapshot }
	// WorkerUp adds a worker or returns it to service. If VM.Leaving is set, it gets no new placements.
	WorkerUp struct{ VM model.VM }
	// WorkerLeaving stops new placements on a worker. JobsStay means that jobs there are not evicted.
	WorkerLeaving struct {
		ID       string
		JobsStay bool
	}
	// WorkerLost removes a worker. The engine reports each job that ran there as Lost.
	WorkerLost struct{ ID string }
	// Enqueue adds a job to the queue.
	Enqueue struct{ Job Request }
	// Restore restores a job that an earlier owner of the cell started. It belongs between Configure and Ready.
	Restore struct {
		Job         Request
		Mode        model.Mode
		Claim       string
		Assignments []Assignment
		StartedMs   int64
	}
	// Ready ends a rebuild: all claims get allocations and queued jobs start.
	Ready struct{}
	// Cancel removes a job that has not started. A started one must be stopped by the caller and ends
	// with Ended.
	Cancel struct{ ID string }
	// Ended releases the accelerators of an attempt.
	Ended struct {
		ID      string
		Outcome Outcome
		Worker  string
		// Requeue returns the job to the queue.
		Requeue bool
	}
	// Tick lets the engine act on the passing of time.
	Tick struct{}
)

func (Configure) isEvent()     {}
func (WorkerUp) isEvent()      {}
func (WorkerLeaving) isEvent() {}
func (WorkerLost) isEvent()    {}
func (Enqueue) isEvent()       {}
func (Restore) isEvent()       {}
func (Ready) isEvent()         {}
func (Cancel) isEvent()        {}
func (Ended) isEvent()         {}
func (Tick) isEvent()          {}

// Kind is the kind of a decision.
type Kind string

// The kinds of decisions.
const (
	// Start starts all tasks of a job on the workers in Assignments.
	Start Kind = "start"
	// Evict stops a started job; the caller reports its end with Ended.
	Evict Kind = "evict"
	// Refuse ends a job that has not started.
	Refuse Kind = "refuse"
	// GiveUp ends a job that failed on too many workers.
	GiveUp Kind = "give-up"
	// Lost says that a worker that runs part of a job is lost; the caller reports its end with Ended.
	Lost Kind = "lost"
	// Hold says that workers are held for a blocked gang.
	Hold Kind = "hold"
	// Release says that a hold ended before the gang could start.
	Release Kind = "release"
	// Quarantine says that a worker gets no new jobs for some time.
	Quarantine Kind = "quarantine"
	// Readmit says that a worker succeeded on probation and is back in service.
	Readmit Kind = "readmit"
	// GuaranteeAtRisk says that part of a claim can't be formed on the current workers.
	GuaranteeAtRisk Kind = "risk"
	// GuaranteeRestored says that a claim at risk can be formed again.
	GuaranteeRestored Kind = "risk-over"
)

// Decision is one thing that the engine wants to be done or known.
type Decision struct {
	Kind        Kind
	Job         string
	Workspace   string
	Worker      string
	Mode        model.Mode
	Claim       string
	Assignments []Assignment
	// Accelerators is how many accelerators the decision is about.
	Accelerators int
	Reason       string
}
