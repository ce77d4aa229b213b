package orders

import (
	"context"
	"errors"
	"time"

	"greengageline/internal/sched"
)

var (
	// ErrFenced means that the worker obeys a later owner.
	ErrFenced = errors.New("worker obeys a later owner")
	// ErrOld means that the worker has had this run or a later one.
	ErrOld = errors.New("run is older than one the worker has had")
	// ErrLate means that the order's lease had already run out.
	ErrLate = errors.New("order came after its lease")
	// ErrNoRoom means that the worker has no room for the task.
	ErrNoRoom = errors.New("worker has no room")
	// ErrTicket means that the adviser's ticket is missing or out of date.
	ErrTicket = errors.New("ticket is not valid")
	// ErrOtherLife means that another incarnation of the worker answered.
	ErrOtherLife = errors.New("worker has restarted")
	// ErrUnwell means that the worker refused and did nothing.
	ErrUnwell = errors.New("worker is unwell")
	// ErrInvalid means that the worker could not read the order.
	ErrInvalid = errors.New("worker refused the order as invalid")
	// ErrNotSent means that the order did not reach the worker.
	ErrNotSent = errors.New("order not sent")
	// ErrUnclear means that the order may have been carried out, or still may.
	ErrUnclear = errors.New("worker gave no answer")
)

// Nothing reports whether err proves that the order did nothing and never will.
func Nothing(err error) bool {
	for _, e := range []error{ErrFenced, ErrOld, ErrLate, ErrNoRoom, ErrTicket, ErrOtherLife, ErrUnwell, ErrInvalid, ErrNotSent} {
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
	// Born is when this life of the worker began, in Unix ms; 0 if not told.
	Born int64
	// ClockMs is the worker's own clock when it wrote the entry; 0 if not told.
	ClockMs int64
}

// Hold extends the leases of all that runs on a worker, acknowledges ends and
// waits for new ones.
type Hold struct {
	Epoch int64
	// DeadlineMs is the leases' end on the worker's clock; 0 extends nothing.
	DeadlineMs int64
	// Acked is the number up to which ends are durable and may be forgotten.
	Acked int64
	Wait  time.Duration
}

// Held is the worker's answer to Hold.
type Held struct {
	Born    int64
	ClockMs int64
	Running []Running
	Ended   []Ended
}

// Running is a run that the worker has.
type Running struct {
	Task    sched.Ref
	Run     int64
	Saved   string
	Percent int
}

// Ended is a run that has ended at the worker and was not acknowledged.
type Ended struct {
	N     int64
	Task  sched.Ref
	Run   int64
	Cause sched.Cause
	Saved string
}

// Start is the order to start a run.
type Start struct {
	Task       sched.Ref
	Run        int64
	Payload    string
	Epoch      int64
	DeadlineMs int64
	Saved      string
	// Ticket is the adviser's, if the queue has one.
	Ticket string
}

// Advice is an adviser's answer: a ticket for each worker that may run the
// step, all valid for Valid from the question on.
type Advice struct {
	Tickets map[string]string
	Valid   time.Duration
}

// Fleet is what the product needs of the workers. Errors wrap one of the
// package's errors.
type Fleet struct {
	// List reads the entries of all workers; those that can't be read are left out.
	List  func(ctx context.Context) ([]Entry, error)
	Hold  func(ctx context.Context, e Entry, in Hold) (Held, error)
	Start func(ctx context.Context, e Entry, in Start) (clockMs int64, err error)
	Stop  func(ctx context.Context, e Entry, task sched.Ref, run, epoch int64) error
	// Advise asks which of some workers may run the tasks of a step, of which
	// Task is not used; nil means that there is no adviser.
	Advise func(ctx context.Context, step sched.Ref, workers []string) (Advice, error)
	// Forget drops the connections to a worker that is gone.
	Forget func(e Entry)
}
