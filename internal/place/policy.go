package place

import (
	"errors"
	"fmt"

	"greengageline/pkg/model"
)

// Policy holds the weights of the decisions; the zero value is not used, start
// from Completion or Fragmentation.
type Policy struct {
	// RackPatienceMs is how long a gang that fits a rack waits for one.
	RackPatienceMs int64
	// HoldAfterMs is how long a gang is blocked before places are held for it.
	HoldAfterMs int64
	// HoldGraceMs is how long after the expected time borrowers may stay on
	// held places.
	HoldGraceMs int64
	// MaxHolds bounds the gangs for which places are held at once.
	MaxHolds int
	// MigrateGain is how many accelerator-seconds of waiting must be saved for
	// each one spent on moving; 0 turns migration off.
	MigrateGain float64
	// MoveCostMs is the time that a checkpoint and restart costs a job.
	MoveCostMs int64
	// JobFailures is on how many distinct workers a job fails before it ends.
	JobFailures int
	// WorkerFailures is how many distinct jobs fail on a worker before it is
	// quarantined.
	WorkerFailures int
	// QuarantineMs is the first time in quarantine; it doubles at each return.
	QuarantineMs int64
	// QuarantineShare bounds the part of all workers in quarantine.
	QuarantineShare float64
	// QueueLimit bounds the queued jobs of a workspace without its own limit.
	QueueLimit int
	// HopelessMs is how long queued jobs wait that could not run even on an idle
	// pool, before they are refused.
	HopelessMs int64
	// ShortFirst orders the queue by wait relative to run time instead of age.
	ShortFirst bool
}

// Completion is the preset for users who weigh completion time more.
func Completion() Policy {
	return Policy{
		RackPatienceMs: 0, HoldAfterMs: 60_000, HoldGraceMs: 120_000, MaxHolds: 8,
		MigrateGain: 2, MoveCostMs: 60_000, JobFailures: 3, WorkerFailures: 3,
		QuarantineMs: 300_000, QuarantineShare: 0.1, QueueLimit: 20_000, HopelessMs: 900_000, ShortFirst: true,
	}
}

// Fragmentation is the preset for users who weigh fragmentation more.
func Fragmentation() Policy {
	p := Completion()
	p.RackPatienceMs = 120_000
	p.MigrateGain = 1
	return p
}

// Guarantee is a shape that a workspace can claim Count times at any moment.
type Guarantee struct {
	Shape model.Shape
	Count int
}

// Workspace is a tenant's part of the configuration.
type Workspace struct {
	Name    string
	Partner string
	// Weight divides borrowed use when capacity is shared out; 0 means 1.
	Weight float64
	// Quota bounds the accelerators in use at once; 0 means none.
	Quota int
	// Queue bounds the queued jobs; 0 means the policy's limit.
	Queue      int
	Guarantees []Guarantee
}

// Snapshot is one immutable generation of the configuration.
type Snapshot struct {
	Generation uint64
	Policy     Policy
	Workspaces []Workspace
}

// ErrUnpackable means that not all guarantees fit the pool together.
var ErrUnpackable = errors.New("guarantees do not fit the pool")

// Packable checks that all guarantees can be formed at once on workers.
func Packable(workers []model.VM, snapshot Snapshot) error {
	e := &Engine{}
	for _, vm := range workers {
		e.Step(0, WorkerUp{VM: vm})
	}
	e.Step(0, Configure{Snapshot: snapshot})
	for _, d := range e.Step(0, Ready{}) {
		if d.Kind == Risk {
			return fmt.Errorf("workspace %q: %d accelerators of shape %s: %w",
				d.Workspace, d.Accelerators, d.Claim, ErrUnpackable)
		}
	}
	return nil
}
