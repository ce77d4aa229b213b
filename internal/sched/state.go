package sched

import (
	"fmt"
	"time"

	"greengageline/pkg/model"
)

// Moment is a point in time on two clocks. Steady is monotonic and is used for durations; UnixMs is the
// wall-clock time in Unix ms and is used for the due times of repeated jobs.
type Moment struct {
	Steady time.Duration
	UnixMs int64
}

// TaskRef identifies a task: the job, the index of the occurrence of a repeated job (Occurrence), the index of
// the step, and the task's index in the step.
type TaskRef struct {
	Job                    string
	Occurrence, Step, Task int
}

// String returns the reference in the form that logs use.
func (r TaskRef) String() string {
	return fmt.Sprintf("%s.%d.%d.%d", r.Job, r.Occurrence, r.Step, r.Task)
}

// Phase is the phase of a task. Its numbers are stored in records.
type Phase uint8

// The phases of a task. Placed lasts from the decision to start the task until the end of its run is
// known.
const (
	Waiting Phase = iota
	Placed
	Ended
)

// Cause is the reason why a run ended.
type Cause string

// The causes of the end of a run. Failed is the fault of the task or its worker. LeaseExpired means that the
// lease of the run has expired, GangStopped that another member of the gang ended, and GangTimeout that the
// other members of the gang did not start in time. Lost means that the worker does not have the run or can
// no longer have it, Refused that the worker refused the start, which had no effect. Crashed means that the run
// was lost when its worker crashed.
const (
	Done         Cause = "done"
	Failed       Cause = "failed"
	Stopped      Cause = "stopped"
	LeaseExpired Cause = "lapsed"
	GangStopped  Cause = "broken"
	GangTimeout  Cause = "alone"
	Lost         Cause = "lost"
	Refused      Cause = "refused"
	Crashed      Cause = "crashed"
)

// Task is the state of a task and, while it is Placed, of its present run.
type Task struct {
	Phase  Phase
	Run    int64
	Worker string
	// Failures counts the runs that ended as Failed.
	Failures int
	// Checkpoint is the newest known checkpoint. For a gang it is also kept in the Batch.
	Checkpoint string
	// Crashes counts the workers that crashed under the task, the last time under crashedRun, and StartCrashes
	// those that did so as it started. suspect is set while the task must run on workers of its own.
	Crashes, StartCrashes int
	crashedRun            int64
	// disconnectedRun is the run right after whose start the worker closed its connections; 0 once it lists the run.
	// disconnectedFrom is the incarnation that did so, as its start time in Unix ms.
	disconnectedRun, disconnectedFrom int64
	suspect                           bool

	// Confirmed is set once the worker has reported that it has the run.
	Confirmed bool
	// Stopping is set once a stop of the run was ordered.
	Stopping    bool
	percent     int
	placedAt    time.Duration
	confirmedAt time.Duration // when the run was confirmed
	// firstPercent is the progress in percent that the run was confirmed with, and savedAt when a new checkpoint was last
	// reported.
	firstPercent int
	stopAt       time.Duration // when a stop was ordered
	savedAt      time.Duration
	endedAt      time.Duration // when the last run ended; 0 if none has
	// isolated is set for a run that has its worker to itself. survived is the longest time for which a
	// worker had a run of the task before it crashed.
	isolated bool
	survived time.Duration
	// moved is set once a run of the task was moved to a faster worker, whose speed class was then movedClass.
	moved       bool
	movedClass  int
	progressAt  time.Duration // when percent last changed or the run was confirmed
	failedOn    string        // worker of the last failed run
	avoidWorker string        // worker that would refuse the gang's present run
	reservedOn  string        // worker on which capacity is reserved for the task
	pace        pace
	// renewing is set while a new ticket is awaited for the run, which has not been sent, and renewals counts how often
	// that was so.
	renewing bool
	renewals int
}

// Batch is the state of one step in one occurrence of a job: all tasks of that step.
type Batch struct {
	Tasks []Task
	// Checkpoint is the newest checkpoint of a gang.
	Checkpoint string
	// Failures counts the failed runs of a gang.
	Failures int

	// lastFailedRun is the number of the gang's run that failed last, so that a run counts once.
	lastFailedRun int64
	// run is the number of the gang's present run, which began at startedAt. incomplete is set while
	// that run lacks members whose start had no effect.
	run        int64
	startedAt  time.Duration
	incomplete bool
	// advice holds the adviser's answers about workers, if the queue has an adviser.
	advice advice
	// ended counts the tasks in phase Ended. reservedAt is when capacity was reserved for the batch.
	// ready is set at readyAt, once the batch could first start.
	ended      int
	reservedAt time.Duration
	// moving is why the reserved capacity is for runs that move there, which may still be stopping.
	moving moveCause
	// awaited holds the runs for whose end the batch waits until awaitUntil instead of having them stopped.
	awaited    []awaitedRun
	awaitUntil time.Duration
	readyAt    time.Duration
	ready      bool
	// slowestRun is the longest time that a run of the batch took, as a multiple of what the estimate and the speed of its
	// worker let expect. unmeasured is set if it does not hold for all of the batch's work.
	slowestRun float64
	unmeasured bool
	// suspectsWaitFrom is since when suspects among the tasks wait; 0 if none do.
	suspectsWaitFrom time.Duration
	// waitReason is why tasks of the batch wait, as last reported at waitReportedAt.
	waitReason     WaitReason
	waitReportedAt time.Duration
	// members tells when the members of a gang's run began to work. speedKeys has the names of the step in Engine.Speeds.
	members   members
	speedKeys [2]string
}

// State is a job's state as its caller sees it.
type State string

// The states of a job; those from Completed on are final.
const (
	Queued    State = "queued"
	Running   State = "running"
	Completed State = "completed"
	JobFailed State = "failed"
	Cancelled State = "cancelled"
)

// Job is the scheduling state of one job: its work and the state of all its tasks. The Engine owns it.
type Job struct {
	Work *model.Work
	// Final is empty until the job has ended.
	Final State
	// Batches has an entry for each occurrence of the job, with a Batch for each step.
	Batches [][]Batch
	// Started is set once a task has started.
	Started bool
	// EndedMs is when the job ended, in Unix ms.
	EndedMs int64
	// Reason is why the job failed, if that was not for its attempts.
	Reason string
}

// Open reports whether the job has not ended.
func (j *Job) Open() bool { return j.Final == "" }

// State returns the state as the job's caller sees it.
func (j *Job) State() State {
	switch {
	case j.Final != "":
		return j.Final
	case j.Started:
		return Running
	}
	return Queued
}

// NewJob returns the state of a newly accepted job, none of whose tasks has started.
func NewJob(w *model.Work) *Job {
	j := &Job{Work: w, Batches: make([][]Batch, w.Times())}
	for k := range j.Batches {
		j.Batches[k] = make([]Batch, len(w.Steps))
		for s := range w.Steps {
			j.Batches[k][s].Tasks = make([]Task, w.Steps[s].Tasks)
		}
	}
	return j
}

// Worker describes a worker to the engine. Room is its total capacity.
type Worker struct {
	ID     string
	Pool   string
	Zone   string
	Rack   string
	Labels []string
	Room   model.Room
	// Leaving is set for a worker that is to get no new work because it is shutting down or is about to
	// be taken down.
	Leaving bool
	// EvacuateBy is set for a worker in a zone that the operator has evacuated, which is Leaving too. Until that time runs
	// that can move elsewhere are stopped.
	EvacuateBy time.Duration
	// Draining is set for a worker that gets no new work so that it becomes empty. Only long-running
	// tasks that find no other room may start there.
	Draining bool
	// Silent is set while the worker does not answer; it then gets no new work.
	Silent bool
	// Unproven is set until the worker has answered once. There may be no worker behind its entry, so others come
	// first, and while it is silent its room counts for nothing.
	Unproven bool
	// VM and Kind are what the worker's speed may depend on besides its rack, and StartedMs is when its present incarnation
	// started, in Unix ms; they may be unknown. Cold is set while the worker is not at its usual speed after its start.
	VM, Kind  string
	StartedMs int64
	Cold      bool
}

// worker is the engine's state of a worker: its description, the capacity used by placed tasks, the
// capacity reserved for tasks that wait for stops, and its record of failures.
type worker struct {
	Worker
	used, reserved model.Room
	rack           *rack // nil until the next refreshRacks
	tasks          map[TaskRef]*Task
	// failureStreak counts failures since the last success; consecutive failures of one job count once.
	// blockedUntil is until when the worker is in quarantine: it gets no new work but what nothing else can run.
	// rejectedUntil is until when it gets no work at all, since it has rejected a start.
	failureStreak  int
	lastFailedJob  string
	blockedUntil   time.Duration
	rejectedUntil  time.Duration
	lastQuarantine time.Duration // length of the last quarantine
	lastSuccess    time.Duration
	successes      int
	// claimed is set in a pass once a group that could use the worker waits for room, or for room that is
	// kept for guarantees; claimRank is the rank of the first such group.
	claimed   bool
	claimRank int
	// keptFor is the only job that may use the worker, if it is set, and isolatedRuns the number of its
	// isolated runs there.
	keptFor      string
	isolatedRuns int
	// speed is as of the last refreshSpeeds; it is used where the workers of the pool differ.
	speed workerSpeed
}

// free returns the capacity that is neither used nor reserved. It is negative where a reservation waits
// for runs to stop.
func (w *worker) free() model.Room { return w.Room.Minus(w.used, 1).Minus(w.reserved, 1) }

// exists reports whether the room of the worker counts as room of its pool.
func (w *worker) exists() bool { return !w.Unproven || !w.Silent }

// schedulable reports whether the worker may get new work.
func (w *worker) schedulable(now Moment) bool { return !w.Draining && w.responsive(now) }

// responsive reports whether the worker would carry out a start.
func (w *worker) responsive(now Moment) bool { return w.reachable(now) && !w.quarantined(now) }

// reachable reports whether the worker could be sent a start, in quarantine or not.
func (w *worker) reachable(now Moment) bool {
	return !w.Leaving && !w.Silent && now.Steady >= w.rejectedUntil
}

// quarantined reports whether the worker is in quarantine after failures.
func (w *worker) quarantined(now Moment) bool { return now.Steady < w.blockedUntil }

// Order is an instruction that the owner must send to a worker.
type Order struct {
	Task TaskRef
	Run  int64
	// Stop means that the run is to be stopped; otherwise it is to be started.
	Stop   bool
	Worker string
	// Checkpoint is the checkpoint from which the run continues, if there is one.
	Checkpoint string
	// Ticket is the adviser's permission to run the step on the worker, if the queue has an adviser, and
	// TicketExpiresAt the steady time from which on the worker rejects it.
	Ticket          string
	TicketExpiresAt time.Duration
	// Reason is the reason for the order, for the log.
	Reason string
	// Queue and Priority are those of the job, and PlacedAt is when the run was placed; for the log. They are
	// zero for a stop that the engine has not decided.
	Queue    string
	Priority int
	PlacedAt time.Duration
}
