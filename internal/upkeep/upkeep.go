package upkeep

import (
	"context"
	"errors"
	"fmt"
	"time"

	"greengageline/pkg/model"
)

var (
	// ErrNotUp means that the VM is not up or is leaving; the order had no effect.
	ErrNotUp = errors.New("VM is not up")
	// ErrUnknown means that the VM does not exist or is not part of the wave.
	ErrUnknown = errors.New("VM is unknown or not part of the wave")
	// ErrFenced means that a later owner has given orders for the VM.
	ErrFenced = errors.New("VM has orders from a later owner")
	// ErrRefused means that the order certainly had no effect.
	ErrRefused = errors.New("platform refused the order")
	// ErrOutcomeUnknown means that the order may have had an effect or may still have one.
	ErrOutcomeUnknown = errors.New("platform gave no answer")
)

// Wave is an operator's request that each of some VMs goes through upkeep once.
type Wave struct {
	Number int64
	VMs    []string
	// MaxDown is how many of them may be down at a time.
	MaxDown int
	// TimeLimit is the time that the wave may take.
	TimeLimit time.Duration
}

// Check returns an error that wraps model.ErrInvalid and names the first invalid field.
func (w *Wave) Check() error {
	switch {
	case w.MaxDown < 1:
		return fmt.Errorf("wave %d allows %d VMs down at once, want at least 1: %w", w.Number, w.MaxDown, model.ErrInvalid)
	case w.TimeLimit < 0:
		return fmt.Errorf("wave %d has a negative term, want 0 or more: %w", w.Number, model.ErrInvalid)
	}
	return nil
}

// VM describes a VM as the platform lists it.
type VM struct {
	ID string
	// Up is set while the VM's worker may take work, Down while the VM is in upkeep.
	Up, Down bool
	// Worker is the id of the VM's present worker.
	Worker string
}

// Site is the platform's interface for upkeep. The errors of Begin wrap one of the errors of this
// package.
type Site struct {
	// Waves returns the waves that operators have requested. Entries that can't be decoded are left
	// out.
	Waves func(ctx context.Context) ([]Wave, error)
	// VMs lists all VMs.
	VMs func(ctx context.Context) ([]VM, error)
	// Begin takes a VM down, which ends everything that runs on it. It also succeeds if that was done
	// before. holder and epoch identify the owner that gives the order.
	Begin func(ctx context.Context, vm string, wave int64, holder string, epoch int64) error
	// Report returns the table, key and value of the row that tells the operator the state of a wave.
	Report func(wave int64, completed bool) (table, key string, value []byte)
}
