package cell

import (
	"context"
	"errors"
	"time"

	"greengageline/internal/config"
	"greengageline/internal/event"
	"greengageline/internal/guard"
	"greengageline/internal/ledger"
	"greengageline/internal/metric"
	"greengageline/internal/object"
	"greengageline/internal/place"
	"greengageline/internal/setup"
	"greengageline/internal/table"
	"greengageline/internal/worker"
	"greengageline/pkg/model"
)

var (
	// ErrNotOwner means that this node does not own the job's cell.
	ErrNotOwner = errors.New("node does not own the cell")
	// ErrNotReady means that the owner can't make decisions now; nothing was accepted.
	ErrNotReady = errors.New("cell can't take decisions now")
	// ErrRefused means that the job did not run and will not.
	ErrRefused = errors.New("job refused")
	// ErrOutcomeUnknown means that the outcome is unknown; the caller must retry with the same key.
	ErrOutcomeUnknown = errors.New("outcome is not known yet")
	// ErrKeyReused means that the idempotency key was already used for a different request.
	ErrKeyReused = errors.New("key was used for a different request")
	// ErrAbsent means that there is no such job.
	ErrAbsent = errors.New("job does not exist")
	// ErrBusy means that the owner's inbox is full; nothing was accepted.
	ErrBusy = errors.New("cell has too much to do")
)

// RefusedError states why a job was refused; the job did not run and will not.
type RefusedError struct {
	Code   place.RefusalCode
	Reason string
}

// Error returns the reason of the refusal.
func (e *RefusedError) Error() string { return "job refused: " + e.Reason }

// Unwrap makes errors.Is(err, ErrRefused) hold.
func (e *RefusedError) Unwrap() error { return ErrRefused }

// Host holds the dependencies that all owners of one node share. It is set up before
// the lease managers run and not changed afterwards.
type Host struct {
	Node     string
	Addr     string
	Settings setup.Settings
	Table    *table.Table
	Ledger   *ledger.Ledger
	Workers  *worker.Pool
	Objects  *object.Store
	Log      *event.Log
	Meter    *metric.Meter
	// State bounds the memory for the open jobs of all cells that the node owns.
	State guard.Shares
	// Plan returns the configuration in force and whether it is fresh enough to accept
	// and start work.
	Plan func() (config.Plan, bool)
	// Refresh reads the head of the configuration log now and reports whether the
	// plan is as new as the head.
	Refresh func(ctx context.Context) bool
	// Evacuated returns the zones in which nothing may start; nil means that there are none. They are as fresh as the
	// plan.
	Evacuated func() map[string]bool
	// VMs returns the cell's workers according to the platform's VM list, with those
	// that are known to be leaving marked; it returns false before the first read.
	VMs func(cell string) ([]model.VM, bool)
	// MarkWorkerLeaving tells the node that a worker has reported that it is leaving.
	MarkWorkerLeaving func(id string)
	// Hook, if set, is called when a job or the cell reaches a step, with an empty
	// job for steps of the cell. Tests use it to inject a fault at that step.
	Hook func(step Step, job string)
}

// Step names a point in the life cycle of a job or a cell.
type Step string

// The steps at which Host.Hook is called.
const (
	StepAccept     Step = "accept"
	StepPlace      Step = "place"
	StepReserve    Step = "reserve"
	StepCommit     Step = "commit"
	StepStart      Step = "start"
	StepRun        Step = "run"
	StepCheckpoint Step = "checkpoint"
	StepFinish     Step = "finish"
	StepAnswer     Step = "answer"
	StepCancel     Step = "cancel"
	StepRenew      Step = "renew"
	StepTakeOver   Step = "takeover"
	StepDrain      Step = "drain"
)

func (h *Host) runHook(s Step, job string) {
	if h.Hook != nil {
		h.Hook(s, job)
	}
}

func nowMs() int64 { return time.Now().UnixMilli() }
