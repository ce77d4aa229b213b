package speed

import "time"

// Worker identifies a worker and what it has in common with others. VM is empty if it is not known.
type Worker struct {
	ID, VM, Pool, Kind, Rack string
	// StartedMs is when this incarnation of the worker started, in Unix ms; 0 if unknown.
	StartedMs int64
}

// Sample reports that a run of a step has done Percent of its work in the time Ran. Step names the step of one
// occurrence of a job, so that its runs can be compared with each other. Ended is set if the run ended as done.
type Sample struct {
	Worker, Step, Queue string
	Estimate, Ran       time.Duration
	Percent             int
	Ended               bool
	At                  time.Duration
}

// Estimate says how many times as long a task takes on a worker as on the typical worker of its pool. Low and High
// are one standard error away on each side. Samples is how many samples it rests on; 0 means an unknown worker.
type Estimate struct {
	Factor, Low, High float64
	Samples           int
}

// Table holds the estimates of all workers. The zero value is ready for use.
type Table struct{}

// SetWorker adds a worker or replaces its description.
func (t *Table) SetWorker(_ Worker) {}

// DropWorker removes a worker. What is known of it remains as a prior for its next incarnation.
func (t *Table) DropWorker(_ string) {}

// Observe adds a sample.
func (t *Table) Observe(_ Sample) {}

// Factor returns the estimate for a worker.
func (t *Table) Factor(_ string) Estimate { return Estimate{Factor: 1, Low: 1, High: 1} }

// Even reports whether no worker of the pool is known to differ from the others.
func (t *Table) Even(_ string) bool { return true }

// Wants reports whether a sample of a run on the worker would improve its estimate.
func (t *Table) Wants(_ string) bool { return false }

// TakeChanged returns the encoded state of the shards that have changed since the last call.
func (t *Table) TakeChanged() map[int][]byte { return nil }

// Restore applies the stored state of a shard.
func (t *Table) Restore(_ int, _ []byte) error { return nil }
