package sched

import (
	"fmt"
	"time"

	"greengageline/pkg/model"
)

// Moment is a time on two clocks: a steady one that decisions measure spans on,
// and the time of day in Unix ms, against which repeated jobs are due.
type Moment struct {
	Steady time.Duration
	UnixMs int64
}

// Ref names one task: the job, the time of a repeated job, the step and the
// task's index in it.
type Ref struct {
	Job              string
	Time, Step, Task int
}

// String returns the reference for logs.
func (r Ref) String() string { return fmt.Sprintf("%s.%d.%d.%d", r.Job, r.Time, r.Step, r.Task) }

// Phase is where a task stands.
type Phase uint8

// The phases of a task: Placed lasts from the decision to start it until its
// end is known.
const (
	Waiting Phase = iota
	Placed
	Ended
)

// Cause says how a run ended.
type Cause string

// The causes: Failed is the task's or its worker's fault, Broken that another
// member of the gang ended, Alone that the others did not come, Lost that the
// worker forgot the run or can no longer have it.
const (
	Done    Cause = "done"
	Failed  Cause = "failed"
	Stopped Cause = "stopped"
	Lapsed  Cause = "lapsed"
	Broken  Cause = "broken"
	Alone   Cause = "alone"
	Lost    Cause = "lost"
	Refused Cause = "refused"
)

// Task is one task and, while Placed, its present run.
type Task struct {
	Phase  Phase
	Run    int64
	Worker string
	// Failures counts the runs that ended as Failed.
	Failures int
	// Saved is the newest checkpoint known; a gang's is kept in its step.
	Saved string

	// Live is set once the worker has confirmed the run.
	Live bool
	// Stopping is set once a stop was ordered.
	Stopping bool
	percent  int
	placedAt time.Duration
	movedAt  time.Duration // when percent last changed
	blamed   string        // the worker of the last failure
	avoid    string        // a worker that would refuse the gang's present run
	held     string        // worker on which room is kept for the task
}

// Batch is one step at one of the job's times.
type Batch struct {
	Tasks []Task
	// Saved is the newest checkpoint of a gang.
	Saved string
	// Failures counts the failed runs of a gang.
	Failures int

	failedRun int64
	// run is a gang's present run, begun at startedAt; short is set while it
	// lacks members whose start did nothing.
	run       int64
	startedAt time.Duration
	short     bool
	// advice is what the adviser has said of workers, if the queue has one.
	advice  advice
	ended   int
	heldAt  time.Duration
	readyAt time.Duration
	ready   bool
}

// State is a job's state as its caller sees it.
type State string

// The states; those from Completed on are final.
const (
	Queued    State = "queued"
	Running   State = "running"
	Completed State = "completed"
	Gone      State = "failed"
	Cancelled State = "cancelled"
)

// Job is one piece of work with the state of all its tasks.
type Job struct {
	Work *model.Work
	// Final is empty until the job has ended.
	Final State
	// Batches has one entry for each time, with one batch for each step.
	Batches [][]Batch
	// Begun is set once a task has started.
	Begun bool
	// EndedMs is when the job ended, in Unix ms.
	EndedMs int64
}

// Open reports whether the job has not ended.
func (j *Job) Open() bool { return j.Final == "" }

// State returns the state as its caller sees it.
func (j *Job) State() State {
	switch {
	case j.Final != "":
		return j.Final
	case j.Begun:
		return Running
	}
	return Queued
}

// NewJob returns an accepted job, none of whose tasks has started.
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

// Worker is what the engine knows of a worker.
type Worker struct {
	ID     string
	Pool   string
	Zone   string
	Rack   string
	Labels []string
	Room   model.Room
	// Leaving workers get nothing new.
	Leaving bool
	// Silent workers do not answer now and get nothing new.
	Silent bool
}

type worker struct {
	Worker
	used, held model.Room
	rack       *rack // in the index; nil until the next pass
	tasks      map[Ref]*Task
	// strikes counts failures of distinct jobs since the last success.
	strikes    int
	strikeJob  string
	badUntil   time.Duration
	quarantine time.Duration // length of the last one
	lastGood   time.Duration
	goods      int
}

func (w *worker) free() model.Room { return w.Room.Minus(w.used, 1).Minus(w.held, 1) }

func (w *worker) open(now Moment) bool {
	return !w.Leaving && !w.Silent && now.Steady >= w.badUntil
}

// Order is something that the owner must tell a worker.
type Order struct {
	Task Ref
	Run  int64
	// Stop ends the run; otherwise it is started.
	Stop   bool
	Worker string
	Saved  string
	// Ticket is the adviser's for the worker, if the queue has one.
	Ticket string
	// Reason says why, for the log.
	Reason string
}
