package place

import (
	"errors"
	"fmt"

	"greengageline/pkg/model"
)

// Policy holds the settings of the scheduling rules. Start from CompletionPolicy or FragmentationPolicy;
// an Engine takes the zero value for CompletionPolicy.
type Policy struct {
	// RackPatienceMs is how long a gang that fits a rack waits for room in one rack.
	RackPatienceMs int64
	// HoldAfterMs is how long after its arrival a blocked gang gets a hold.
	HoldAfterMs int64
	// HoldGraceMs is how long after the expected start of the gang borrowers may stay on held workers.
	HoldGraceMs int64
	// MaxHolds bounds the holds at any time; 0 turns holds off.
	MaxHolds int
	// MigrateGain is how many accelerator-seconds of waiting must be saved for each one that a
	// migration costs; 0 turns migration off.
	MigrateGain float64
	// MoveCostMs is the time that a checkpoint and restart costs a job.
	MoveCostMs int64
	// JobFailures is on how many distinct workers a job may fail before it is given up.
	JobFailures int
	// WorkerFailures is how many distinct jobs may fail on a worker before it is quarantined.
	WorkerFailures int
	// QuarantineMs is the length of the first quarantine; it doubles with each return.
	QuarantineMs int64
	// QuarantineShare bounds the workers in quarantine, as a fraction of all. One worker is always
	// allowed.
	QuarantineShare float64
	// QueueLimit bounds the queued jobs of a workspace that sets no limit of its own.
	QueueLimit int
	// HopelessMs is how long queued jobs that could not run even on an idle pool wait before they are
	// refused.
	HopelessMs int64
	// ShortFirst orders queues by wait relative to run time instead of by wait alone.
	ShortFirst bool
}

// CompletionPolicy returns the preset that favors short completion times.
func CompletionPolicy() Policy {
	return Policy{
		RackPatienceMs: 0, HoldAfterMs: 60_000, HoldGraceMs: 120_000, MaxHolds: 8,
		MigrateGain: 2, MoveCostMs: 60_000, JobFailures: 3, WorkerFailures: 3,
		QuarantineMs: 300_000, QuarantineShare: 0.1, QueueLimit: 20_000, HopelessMs: 900_000, ShortFirst: true,
	}
}

// FragmentationPolicy returns the preset that favors low fragmentation.
func FragmentationPolicy() Policy {
	p := CompletionPolicy()
	p.RackPatienceMs = 120_000
	p.MigrateGain = 1
	return p
}

// Guarantee is a shape that a workspace can run Count times at any moment.
type Guarantee struct {
	Shape model.Shape
	Count int
}

// Workspace is the configuration of one tenant.
type Workspace struct {
	Name    string
	Partner string
	// Weight is the workspace's weight when capacity outside claims is shared; 0 means 1.
	Weight float64
	// Quota bounds the accelerators in use at once; 0 means no bound.
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

// ErrGuaranteesDoNotFit means that the workers can't hold all guarantees at the same time.
var ErrGuaranteesDoNotFit = errors.New("guarantees do not fit the pool")

// CheckGuaranteesFit checks that all guarantees fit on the workers at the same time. Otherwise it returns an
// error that wraps ErrGuaranteesDoNotFit and names a guarantee that does not fit.
func CheckGuaranteesFit(workers []model.VM, snapshot Snapshot) error {
	e := &Engine{}
	for _, vm := range workers {
		e.Step(0, WorkerUp{VM: vm})
	}
	e.Step(0, Configure{Snapshot: snapshot})
	for _, d := range e.Step(0, Ready{}) {
		if d.Kind == GuaranteeAtRisk {
			return fmt.Errorf("workspace %q: %d accelerators of shape %s: %w",
				d.Workspace, d.Accelerators, d.Claim, ErrGuaranteesDoNotFit)
		}
	}
	return nil
}
