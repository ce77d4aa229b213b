package upkeep

import (
	"context"
	"errors"
	"fmt"
	"time"

	"greengageline/pkg/model"
)

var (
	// ErrBusy means that the VM is not up or is leaving; nothing was done.
	ErrBusy = errors.New("VM is not up")
	// ErrUnknown means that there is no such VM, or that it is not of the wave.
	ErrUnknown = errors.New("VM is not of the wave")
	// ErrFenced means that a later owner has given orders for the VM.
	ErrFenced = errors.New("VM obeys a later owner")
	// ErrRefused means that the platform certainly did nothing.
	ErrRefused = errors.New("platform refused the order")
	// ErrUnclear means that the upkeep may have begun, or still may.
	ErrUnclear = errors.New("platform gave no answer")
)

// Wave is an operator's wish that each of some VMs has its upkeep.
type Wave struct {
	Number int64
	VMs    []string
	// AtOnce is how many of them may be down for it at a time.
	AtOnce int
	// Term is the time that the wave may take.
	Term time.Duration
}

// Check verifies every field and names the first that is wrong.
func (w *Wave) Check() error {
	switch {
	case w.AtOnce < 1:
		return fmt.Errorf("wave %d lets %d VMs go at once, want at least 1: %w", w.Number, w.AtOnce, model.ErrInvalid)
	case w.Term < 0:
		return fmt.Errorf("wave %d has a negative term: %w", w.Number, model.ErrInvalid)
	}
	return nil
}

// VM is a VM as the platform lists it.
type VM struct {
	ID string
	// Up is set while its worker may take work; Down while it is in upkeep.
	Up, Down bool
	// Worker is the id of its present worker.
	Worker string
}

// Site is what the product needs of the platform for upkeep. The errors of Begin
// wrap one of the package's errors.
type Site struct {
	// Waves reads what operators ask for; entries that can't be read are left out.
	Waves func(ctx context.Context) ([]Wave, error)
	VMs   func(ctx context.Context) ([]VM, error)
	// Begin takes a VM down, which ends all that runs on it; it also succeeds
	// if that has been done.
	Begin func(ctx context.Context, vm string, wave int64, holder string, epoch int64) error
	// Report returns the table, the key and the value of the row that tells the
	// operator how a wave stands.
	Report func(wave int64, completed bool) (table, key string, value []byte)
}
