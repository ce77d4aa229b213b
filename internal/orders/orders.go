package orders

import (
	"context"
	"errors"
	"time"

	"greengageline/internal/sched"
)

var (
	// ErrFenced means that the worker has accepted orders of a later epoch.
	ErrFenced = errors.New("worker has accepted orders of a later epoch")
	// ErrStaleRun means that the worker has already had this run or a later one.
	ErrStaleRun = errors.New("worker has already had this run or a later one")
	// ErrLeaseExpired means that the order's lease had already expired.
	ErrLeaseExpired = errors.New("lease of the order had already expired")
	// ErrNoRoom means that the worker has no room for the task.
	ErrNoRoom = errors.New("worker has no room for the task")
	// ErrBadTicket means that the adviser's ticket is missing or has expired.
	ErrBadTicket = errors.New("ticket is missing or has expired")
	// ErrOtherIncarnation means that another incarnation of the worker answered.
	ErrOtherIncarnation = errors.New("another incarnation of the worker answered")
	// ErrUnhealthy means that the worker is unhealthy, refused the order and did nothing.
	ErrUnhealthy = errors.New("worker is unhealthy and refused the order")
	// ErrInvalid means that the worker could not parse the order.
	ErrInvalid = errors.New("worker refused the order as invalid")
	// ErrNotSent means that the order did not reach the worker.
	ErrNotSent = errors.New("order did not reach the worker")
	// ErrDisconnected means that the worker closed the connection instead of answering. It comes with
	// ErrOutcomeUnknown.
	ErrDisconnected = errors.New("worker closed the connection")
	// ErrOutcomeUnknown means that the order may have been carried out, or still may.
	ErrOutcomeUnknown = errors.New("worker gave no answer")
)

// HadNoEffect reports whether err proves that the order had no effect and never will have one.
func HadNoEffect(err error) bool {
	for _, e := range []error{ErrFenced, ErrStaleRun, ErrLeaseExpired, ErrNoRoom, ErrBadTicket, ErrOtherIncarnation, ErrUnhealthy, ErrInvalid, ErrNotSent} {
		if errors.Is(err, e) {
			return true
		}
	}
	return false
}

// Entry is a worker as the platform lists it.
type Entry struct {
	sched.Worker
	Addr string
	// StartedMs is when this incarnation of the worker started, in Unix ms; 0 if unknown.
	StartedMs int64
	// ClockMs is the worker's own clock in ms when it wrote the entry; 0 if unknown.
	ClockMs int64
	// ColdLeftMs is for how long the worker was not at its usual speed yet when it wrote the entry.
	ColdLeftMs int64
	// Carrier is the address of the node that carries orders to the worker; if it is empty, they are sent directly.
	// It is no part of what the platform lists.
	Carrier string
}

// Hold extends the leases of all runs at a worker, acknowledges ended runs and waits for new ends.
type Hold struct {
	Epoch int64
	// DeadlineMs is the end of the leases on the worker's clock; 0 extends no lease.
	DeadlineMs int64
	// Acked is the number up to which ends are durable, so that the worker may forget them.
	Acked int64
	// Incarnation is the incarnation that listed the ends up to Acked, as its start time in Unix ms.
	Incarnation int64
	// Wait is how long the worker may wait for a run to end before it answers.
	Wait time.Duration
}

// HoldReply is the worker's answer to Hold.
type HoldReply struct {
	StartedMs int64
	ClockMs   int64
	Running   []Running
	// Ended is in ascending order of Seq. More means that it is cut off: the worker may have further ends, which it
	// lists once these are acknowledged.
	Ended []Ended
	More  bool
	// NotAcked means that the hold was sent without acknowledging ends.
	NotAcked bool
}

// Running is a run that the worker has, with its newest checkpoint and its progress in percent.
type Running struct {
	Task       sched.TaskRef
	Run        int64
	Checkpoint string
	Percent    int
}

// Ended is a run that has ended at the worker and was not acknowledged. Seq numbers the ends of one
// incarnation of a worker.
type Ended struct {
	Seq        int64
	Task       sched.TaskRef
	Run        int64
	Cause      sched.Cause
	Checkpoint string
}

// Start is the order to start a run.
type Start struct {
	Task       sched.TaskRef
	Run        int64
	Payload    string
	Epoch      int64
	DeadlineMs int64
	Checkpoint string
	// Ticket is the adviser's permission, if the job's queue has an adviser.
	Ticket string
}

// Advice is an adviser's answer: a ticket for each worker that may run the step. All tickets are valid for
// the time ValidFor from when the adviser answered.
type Advice struct {
	Tickets  map[string]string
	ValidFor time.Duration
}

// MaxInFlight is how many orders the owner has in flight to one worker at most; an implementation of Fleet must be
// able to carry so many at a time.
const MaxInFlight = 20

// Fleet is the interface to the workers, which may go through other nodes. Errors wrap one of the package's errors.
type Fleet struct {
	// List reads the entries of all workers; entries that can't be parsed are left out.
	List func(ctx context.Context) ([]Entry, error)
	// Hold sends a hold and returns the worker's answer.
	Hold func(ctx context.Context, e Entry, in Hold) (HoldReply, error)
	// Start sends a start and returns the worker's clock in ms.
	Start func(ctx context.Context, e Entry, in Start) (clockMs int64, err error)
	// Stop sends a stop of a run: the run ends, or never begins if the worker does not have it.
	Stop func(ctx context.Context, e Entry, task sched.TaskRef, run, epoch int64) error
	// Advise asks which of some workers may run the tasks of a step; step.Task is not used. nil means that
	// there is no adviser.
	Advise func(ctx context.Context, step sched.TaskRef, workers []string) (Advice, error)
	// AdviseFrom does so from the node at addr; nil means that the adviser can be asked from this node only.
	AdviseFrom func(ctx context.Context, addr string, step sched.TaskRef, workers []string) (Advice, error)
	// Forget closes the connections to a worker that is gone.
	Forget func(e Entry)
	// Carries reports whether the node at addr may carry orders; nil means that none may.
	Carries func(addr string) bool
}
