package speed

import (
	"hash/fnv"
	"math"
	"time"
)

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
	// Task is the index of the task in the step. A later sample of the same task on the same worker replaces the
	// earlier one, since both tell of the same run.
	Task int
	// Estimate is 0 if the run can't be compared with its estimate.
	Estimate, Ran time.Duration
	Percent       int
	Ended         bool
	At            time.Duration
}

// Estimate says how many times as long a task takes on a worker as on the typical worker of its pool. Low and High
// are one standard error away on each side. Samples is how many samples it rests on; 0 means an unknown worker.
type Estimate struct {
	Factor, Low, High float64
	Samples           int
}

// Class is the speed class of a worker.
type Class uint8

// The speed classes. Unknown workers have had no sample.
const (
	Unknown Class = iota
	Fast
	Typical
	Slow
	classes
)

// Counts has the number of workers of each class.
type Counts [classes]int

// ByName returns the counts by the names of the classes.
func (c Counts) ByName() map[string]int {
	out := make(map[string]int, classes)
	for k, n := range c {
		out[Class(k).String()] = n //nolint:gosec // one of the classes
	}
	return out
}

// String returns the name of the class as logs and metrics use it.
func (c Class) String() string { return [...]string{"unknown", "fast", "typical", "slow"}[c] }

// Change is a change of a worker's class.
type Change struct {
	Worker   string
	From, To Class
	Estimate Estimate
}

const (
	// maxKept bounds the records of workers that were dropped or have not been added yet. Those that were dropped are as
	// many as the workers at most, or minKept.
	maxKept = 40_000
	minKept = 1000
	// maxChanges bounds the changes that wait for TakeChanges.
	maxChanges = 1000
)

// Table holds the estimates of all workers. The zero value is ready for use.
type Table struct {
	workers map[string]*worker
	pools   map[string]*pool
	queues  map[string]*queue
	steps   stepCache
	// kept has the records of workers that are not in the table, by their key.
	kept map[uint64]record
	// keptAt has the keys in kept, oldest first, each with the order of its record; some records may be gone.
	keptAt   []keptKey
	lastKept uint64
	shards   shards
	changes  []Change
	now      time.Duration // the latest time of a sample
	others   []other       // reused by compare
}

// keptKey is the key of a kept record and the order in which it was kept.
type keptKey struct{ key, order uint64 }

// init makes the maps of a zero value.
func (t *Table) init() {
	if t.workers != nil {
		return
	}
	t.workers, t.pools, t.queues = map[string]*worker{}, map[string]*pool{}, map[string]*queue{}
	t.kept = map[uint64]record{}
}

// keyOf returns the key under which the state of a worker is kept: its VM if that is known, else its id.
func keyOf(d Worker) uint64 {
	h := fnv.New64a()
	if d.VM != "" {
		_, _ = h.Write([]byte("vm/" + d.VM))
	} else {
		_, _ = h.Write([]byte("id/" + d.ID))
	}
	return h.Sum64()
}

// SetWorker adds a worker or replaces its description.
func (t *Table) SetWorker(d Worker) {
	t.init()
	w := t.workers[d.ID]
	if w != nil && d.StartedMs == 0 {
		d.StartedMs = w.StartedMs
	}
	if w != nil && w.Worker == d {
		return
	}
	p := t.pool(d.Pool)
	switch {
	case w == nil:
		w = &worker{Worker: d, key: keyOf(d)}
		t.workers[d.ID] = w
		t.join(w, p)
		t.recall(w)
	case w.Pool != d.Pool || keyOf(d) != w.key:
		t.leave(w)
		w.Worker, w.key = d, keyOf(d)
		t.join(w, p)
		t.recall(w)
	default:
		reborn := d.StartedMs != w.StartedMs && w.StartedMs != 0
		t.leave(w)
		w.Worker = d
		t.join(w, p)
		if reborn {
			w.weaken(t.now)
		}
	}
	t.refresh(w)
}

// DropWorker removes a worker. What is known of it remains as a prior for its next incarnation.
func (t *Table) DropWorker(id string) {
	w := t.workers[id]
	if w == nil {
		return
	}
	if w.samples > 0 {
		t.keep(w.key, w.record(t.now), min(maxKept, max(minKept, len(t.workers))))
		t.shards.touch(w.key, false, t.now)
	} else {
		t.shards.remove(w.key)
	}
	t.leave(w)
	delete(t.workers, id)
}

// recall applies to a new worker what is kept under its key.
func (t *Table) recall(w *worker) {
	r, ok := t.kept[w.key]
	t.shards.assign(w.key)
	if !ok {
		return
	}
	delete(t.kept, w.key)
	w.restore(r, t.now)
}

// keep keeps the record of a worker that is not in the table, and the latest most records in all.
func (t *Table) keep(key uint64, r record, most int) {
	t.lastKept++
	r.order = t.lastKept
	t.keptAt = append(t.keptAt, keptKey{key, r.order})
	t.kept[key] = r
	for len(t.keptAt) > 0 && (len(t.kept) > most || len(t.keptAt) > 2*maxKept) {
		oldest := t.keptAt[0]
		t.keptAt = t.keptAt[1:]
		if t.kept[oldest.key].order == oldest.order {
			delete(t.kept, oldest.key)
			t.shards.remove(oldest.key)
		}
	}
}

// Factor returns the estimate for a worker. It is 1 where the difference is within the noise, for all workers of an even
// pool, and for an unknown worker, unless its kind or rack matters.
func (t *Table) Factor(id string) Estimate {
	w := t.workers[id]
	if w == nil {
		return Estimate{Factor: 1, Low: 1, High: 1}
	}
	return w.estimate()
}

// Even reports whether no worker of the pool is known to differ from the others.
func (t *Table) Even(name string) bool {
	p := t.pools[name]
	return p == nil || !p.uneven
}

// Pace returns how many times as long as its estimate a task of the queue takes on a typical worker; 1 if that is not
// known.
func (t *Table) Pace(name string) float64 {
	q := t.queues[name]
	if q == nil || q.n < minPaceSteps {
		return 1
	}
	return math.Exp(q.bias)
}

const (
	// minPaceSteps is the number of steps after which a queue's pace is known.
	minPaceSteps = 10
	// maxWanted is the number of samples after which a worker needs no more looks.
	maxWanted = 4
	// wantedWorkers is how many workers of an even pool are to have two samples before no more looks are needed there.
	// If a tenth of the pool differs, 25 workers have two or three such workers.
	wantedWorkers = 25
	// suspectMass is the probability that a worker of an even pool differs from which it is looked at until it has
	// maxSuspected samples, since nobody else may ever tell.
	suspectMass  = 0.1
	maxSuspected = 6
	// settledMass is the posterior probability of a speed within openWidth of the mean from which a worker's speed is settled.
	settledMass = 0.9
)

// Wants reports whether a sample of a run on the worker would improve its estimate.
func (t *Table) Wants(id string) bool {
	w := t.workers[id]
	if w == nil || w.pool == nil {
		return false
	}
	if !w.pool.uneven {
		return w.evidence < minEvidence && w.pool.sampled < wantedWorkers || w.differs > suspectMass && w.used > 0 && w.evidence < maxSuspected
	}
	return w.evidence < 0.5 || w.evidence < maxWanted && w.settled < settledMass
}

// Classes returns the number of workers by class.
func (t *Table) Classes() (out Counts) {
	for _, w := range t.workers {
		out[w.classNow()]++
	}
	return out
}

// Class returns the speed class of a worker.
func (t *Table) Class(id string) Class {
	if w := t.workers[id]; w != nil {
		return w.classNow()
	}
	return Unknown
}

// TakeChanges returns the changes of class since the last call, at most 1,000.
func (t *Table) TakeChanges() []Change {
	out := t.changes
	t.changes = nil
	return out
}
