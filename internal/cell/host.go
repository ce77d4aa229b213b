package cell

import (
	"context"
	"errors"
	"time"

	"greengageline/internal/config"
	"greengageline/internal/event"
	"greengageline/internal/ledger"
	"greengageline/internal/meter"
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
	// ErrNotReady means that the owner can't decide now; nothing was accepted.
	ErrNotReady = errors.New("cell can't take decisions now")
	// ErrRefused means that the job did not run and will not.
	ErrRefused = errors.New("job refused")
	// ErrNotKnown means that the outcome is open; the caller asks again with its key.
	ErrNotKnown = errors.New("outcome is not known yet")
	// ErrKeyReused means that the key belongs to a different request.
	ErrKeyReused = errors.New("key was used for a different request")
	// ErrAbsent means that there is no such job.
	ErrAbsent = errors.New("job does not exist")
	// ErrBusy means that the owner has too much to do; nothing was accepted.
	ErrBusy = errors.New("cell has too much to do")
)

// RefusedError tells why a job was refused; it did not run and will not.
type RefusedError struct {
	Code   place.RefusalCode
	Reason string
}

// Error returns the reason.
func (e *RefusedError) Error() string { return "job refused: " + e.Reason }

// Unwrap makes errors.Is(err, ErrRefused) hold.
func (e *RefusedError) Unwrap() error { return ErrRefused }

// Host is what the owners of one node share; it is set up once.
type Host struct {
	Node     string
	Addr     string
	Settings setup.Settings
	Table    *table.Table
	Ledger   *ledger.Ledger
	Workers  *worker.Pool
	Objects  *object.Store
	Log      *event.Log
	Meter    *meter.Meter
	// Plan returns the configuration in force and whether it is fresh.
	Plan func() (config.Plan, bool)
	// Refresh reads the head of the configuration now and reports whether the
	// plan is as new as the head.
	Refresh func(ctx context.Context) bool
	// VMs returns the cell's workers by the platform's list, those known to be
	// leaving marked so, and false before the list was first read.
	VMs func(cell string) ([]model.VM, bool)
	// NoteLeaving tells the node that a worker says it is leaving.
	NoteLeaving func(id string)
	// Hook, if set, is called when a job reaches a step; tests use it to bring
	// about a fault at that step.
	Hook func(step Step, job string)
}

// Step names a point in the life of a job or a cell.
type Step string

// The steps at which Hook is called.
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

func (h *Host) step(s Step, job string) {
	if h.Hook != nil {
		h.Hook(s, job)
	}
}

func nowMs() int64 { return time.Now().UnixMilli() }
