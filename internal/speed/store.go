package speed

import "time"

// record is what is kept of a worker that is not in the table.
type record struct {
	z, sd, weight float32
	samples       int
	startedMs     int64
	at            time.Duration
}

// record returns what is to be kept of the worker.
func (w *worker) record(now time.Duration) record {
	z, sd, weight := w.summary(now)
	return record{z: z, sd: sd, weight: weight, samples: w.samples, startedMs: w.StartedMs, at: now}
}

// restore applies a record. That of an earlier incarnation has little weight.
func (w *worker) restore(r record, now time.Duration) {
	if r.weight <= 0 {
		return
	}
	weight := min(r.weight, maxRestored)
	if r.startedMs != w.StartedMs {
		weight = min(weight, rebornWeight)
	}
	w.ring, w.used, w.next = [ringSize]entry{}, 0, 0
	samples := max(w.samples, r.samples)
	w.put(entry{z: r.z, sd: r.sd, weight: weight, at: uint32(max(now, 0) / tick), task: -1}) //nolint:gosec // as in compare
	w.samples = samples
}

// shards assigns the workers to the shards of the stored state.
type shards struct{}

func (s *shards) assign(uint64) {}
func (s *shards) touch(uint64)  {}
func (s *shards) remove(uint64) {}

// TakeChanged returns the encoded state of the shards that have changed since the last call.
func (t *Table) TakeChanged() map[int][]byte { return nil }

// Restore applies the stored state of a shard.
func (t *Table) Restore(_ int, _ []byte) error { return nil }
