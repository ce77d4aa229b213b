package relay

import (
	"errors"
	"fmt"
	"time"

	"greengageline/internal/orders"
	"greengageline/internal/sched"
	"greengageline/pkg/model"
)

// Kind is the kind of an order.
type Kind string

// The kinds of orders.
const (
	HoldKind  Kind = "hold"
	StartKind Kind = "start"
	StopKind  Kind = "stop"
)

// task is a sched.TaskRef as it is sent.
type task struct {
	Job        string `json:"j"`
	Occurrence int    `json:"k,omitempty"`
	Step       int    `json:"s,omitempty"`
	Index      int    `json:"i,omitempty"`
}

func newTask(r sched.TaskRef) task { return task{r.Job, r.Occurrence, r.Step, r.Task} }

func (t task) ref() sched.TaskRef {
	return sched.TaskRef{Job: t.Job, Occurrence: t.Occurrence, Step: t.Step, Task: t.Index}
}

// Order is one order for a worker. Times on clocks and durations are in ms.
type Order struct {
	// N is the number of the order in its stream; its answer has the same.
	N      uint64 `json:"n"`
	Kind   Kind   `json:"o"`
	Worker string `json:"w"`
	Addr   string `json:"a"`
	// Zone is the worker's zone, for a start.
	Zone  string `json:"z,omitempty"`
	Epoch int64  `json:"e"`
	// TimeoutMs is how long the call to the worker may take.
	TimeoutMs int64 `json:"x"`
	// DeadlineMs is the end of the lease on the worker's clock.
	DeadlineMs int64 `json:"d,omitempty"`
	// Acked and WaitMs are those of a hold. Incarnation is the one that listed the ends up to Acked.
	Acked       int64 `json:"c,omitempty"`
	Incarnation int64 `json:"b,omitempty"`
	WaitMs      int64 `json:"h,omitempty"`
	// Task and Run are those of a start or a stop.
	Task task  `json:"t,omitzero"`
	Run  int64 `json:"r,omitempty"`
	// Payload is the index of a start's payload in the batch.
	Payload    int    `json:"p,omitempty"`
	Checkpoint string `json:"s,omitempty"`
	Ticket     string `json:"i,omitempty"`
}

// Batch is what the owner sends to a carrier.
type Batch struct {
	// SeenMs is the time of the last message that the owner has received in this stream, on the carrier's clock.
	SeenMs int64   `json:"m"`
	Orders []Order `json:"o"`
	// Payloads has each payload of the batch's starts once.
	Payloads []string `json:"p,omitempty"`
}

// maxNameBytes bounds the name and the address of a worker. The store has keys of up to 200 bytes.
const maxNameBytes = 256

// Check returns an error that wraps model.ErrInvalid if an order lacks its worker, has an unknown kind or names no
// payload.
func (b *Batch) Check() error {
	for i := range b.Orders {
		o := &b.Orders[i]
		if o.Worker == "" || o.Addr == "" || len(o.Worker) > maxNameBytes || len(o.Addr) > maxNameBytes {
			return fmt.Errorf("order %d without a worker or its address, or with too long ones: %w", o.N, model.ErrInvalid)
		}
		switch o.Kind {
		case HoldKind, StopKind:
		case StartKind:
			if o.Payload < 0 || o.Payload >= len(b.Payloads) {
				return fmt.Errorf("order %d has payload %d of %d: %w", o.N, o.Payload, len(b.Payloads), model.ErrInvalid)
			}
		default:
			return fmt.Errorf("order %d of kind %q: %w", o.N, o.Kind, model.ErrInvalid)
		}
	}
	return nil
}

// running is an orders.Running as it is sent.
type running struct {
	Task       task   `json:"t"`
	Run        int64  `json:"r"`
	Checkpoint string `json:"s,omitempty"`
	Percent    int    `json:"p,omitempty"`
}

// ended is an orders.Ended as it is sent.
type ended struct {
	Seq        int64       `json:"n"`
	Task       task        `json:"t"`
	Run        int64       `json:"r"`
	Cause      sched.Cause `json:"c"`
	Checkpoint string      `json:"s,omitempty"`
}

// Answer is the outcome of one order. Code is empty if the worker carried it out.
type Answer struct {
	N         uint64    `json:"n"`
	Code      string    `json:"c,omitempty"`
	Message   string    `json:"m,omitempty"`
	ClockMs   int64     `json:"k,omitempty"`
	StartedMs int64     `json:"b,omitempty"`
	Running   []running `json:"r,omitempty"`
	Ended     []ended   `json:"e,omitempty"`
	More      bool      `json:"x,omitempty"`
	NotAcked  bool      `json:"a,omitempty"`
}

// Answers is what a carrier sends to the owner.
type Answers struct {
	// NowMs is the carrier's clock as the message was sent.
	NowMs   int64    `json:"m"`
	Answers []Answer `json:"a,omitempty"`
}

// codes has the errors of package orders by their codes between nodes, the most specific first.
var codes = []struct {
	code string
	err  error
}{
	{"fenced", orders.ErrFenced},
	{"stale", orders.ErrStaleRun},
	{"expired", orders.ErrLeaseExpired},
	{"room", orders.ErrNoRoom},
	{"ticket", orders.ErrBadTicket},
	{"other", orders.ErrOtherIncarnation},
	{"unhealthy", orders.ErrUnhealthy},
	{"invalid", orders.ErrInvalid},
	{"unsent", orders.ErrNotSent},
	{closedCode, orders.ErrDisconnected},
}

// closedCode means that the worker closed the connection, unclearCode that it gave no answer.
const (
	closedCode  = "closed"
	unclearCode = "unclear"
)

func errorCode(err error) string {
	for _, c := range codes {
		if errors.Is(err, c.err) {
			return c.code
		}
	}
	return unclearCode
}

// err returns the error of the answer, which wraps one of package orders; nil if the worker carried the order out.
func (a *Answer) err() error {
	if a.Code == "" {
		return nil
	}
	if a.Code == closedCode {
		return fmt.Errorf("%w: %w: %s", orders.ErrOutcomeUnknown, orders.ErrDisconnected, a.Message)
	}
	for _, c := range codes {
		if c.code == a.Code {
			return fmt.Errorf("%w: %s", c.err, a.Message)
		}
	}
	return fmt.Errorf("%w: %s", orders.ErrOutcomeUnknown, a.Message)
}

// holdReply returns the answer to a hold.
func (a *Answer) holdReply() orders.HoldReply {
	out := orders.HoldReply{StartedMs: a.StartedMs, ClockMs: a.ClockMs, More: a.More, NotAcked: a.NotAcked}
	for _, r := range a.Running {
		out.Running = append(out.Running, orders.Running{Task: r.Task.ref(), Run: r.Run, Checkpoint: r.Checkpoint, Percent: r.Percent})
	}
	for _, e := range a.Ended {
		out.Ended = append(out.Ended, orders.Ended{Seq: e.Seq, Task: e.Task.ref(), Run: e.Run, Cause: e.Cause, Checkpoint: e.Checkpoint})
	}
	return out
}

// setHoldReply puts a worker's answer to a hold into the answer.
func (a *Answer) setHoldReply(in orders.HoldReply) {
	a.StartedMs, a.ClockMs, a.More, a.NotAcked = in.StartedMs, in.ClockMs, in.More, in.NotAcked
	for _, r := range in.Running {
		a.Running = append(a.Running, running{newTask(r.Task), r.Run, r.Checkpoint, r.Percent})
	}
	for _, e := range in.Ended {
		a.Ended = append(a.Ended, ended{e.Seq, newTask(e.Task), e.Run, e.Cause, e.Checkpoint})
	}
}

func milliseconds(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }
