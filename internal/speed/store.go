package speed

import (
	"encoding/binary"
	"fmt"
	"math"
	"slices"
	"time"
)

const (
	// maxShardWorkers is the number of workers in a shard of the stored state, maxShards the number of shards.
	maxShardWorkers = 1000
	maxShards       = 1000
	// changedPart is the part of a shard's workers that must have changed before it is stored again, unless a class has
	// changed or changedTime has passed since the first change.
	changedPart = 0.02
	changedTime = time.Minute
	// changedBy is the change of a speed that counts, changedWeight that of its weight in samples.
	changedBy     = 0.15
	changedWeight = 1
)

// shard is a part of the stored state.
type shard struct {
	keys    map[uint64]bool
	changed int
	since   time.Duration
	urgent  bool // a class has changed
}

// shards assigns the workers to the shards of the stored state.
type shards struct {
	of   map[uint64]int
	list []*shard
	open int // no shard before this one has room
}

// assign puts a key into the first shard with room, unless it has a shard.
func (s *shards) assign(key uint64) {
	if _, ok := s.of[key]; ok {
		return
	}
	for s.open < len(s.list) && len(s.list[s.open].keys) >= maxShardWorkers {
		s.open++
	}
	if s.open < maxShards {
		s.assignTo(key, s.open)
	}
}

// assignTo puts a key into a shard.
func (s *shards) assignTo(key uint64, i int) {
	if s.of == nil {
		s.of = map[uint64]int{}
	}
	for len(s.list) <= i {
		s.list = append(s.list, &shard{keys: map[uint64]bool{}})
	}
	s.of[key] = i
	s.list[i].keys[key] = true
}

// touch records a change of what is stored under a key.
func (s *shards) touch(key uint64, urgent bool, now time.Duration) {
	i, ok := s.of[key]
	if !ok {
		return
	}
	sh := s.list[i]
	if sh.changed++; sh.changed == 1 {
		sh.since = now
	}
	sh.urgent = sh.urgent || urgent
}

// remove takes a key out of its shard.
func (s *shards) remove(key uint64) {
	i, ok := s.of[key]
	if !ok {
		return
	}
	delete(s.of, key)
	delete(s.list[i].keys, key)
	s.open = min(s.open, i)
}

// due reports whether the shard has changed enough to be stored.
func (s *shard) due(now time.Duration) bool {
	return s.changed > 0 && (s.urgent || float64(s.changed) >= changedPart*float64(len(s.keys)) || now-s.since >= changedTime)
}

// noteStored records a change if what is stored of the worker differs enough from what is known.
func (t *Table) noteStored(w *worker) {
	weight := min(w.evidence, maxRestored)
	if math.Abs(w.mean-w.storedMean) < changedBy && weight-w.storedWeight < changedWeight && w.class == w.storedClass {
		return
	}
	urgent := w.class != w.storedClass && w.pool.uneven
	w.storedMean, w.storedWeight, w.storedClass = w.mean, weight, w.class
	t.shards.touch(w.key, urgent, t.now)
}

// TakeChanged returns the encoded state of the shards that have changed enough since they were last taken.
func (t *Table) TakeChanged() map[int][]byte {
	var due []int
	for i, s := range t.shards.list {
		if s.due(t.now) {
			due = append(due, i)
		}
	}
	if len(due) == 0 {
		return nil
	}
	byKey := make(map[uint64]*worker, len(t.workers))
	for _, w := range t.workers {
		byKey[w.key] = w
	}
	out := map[int][]byte{}
	for _, i := range due {
		s := t.shards.list[i]
		out[i] = t.encode(s, byKey)
		s.changed, s.urgent = 0, false
	}
	return out
}

// encode returns the encoded state of a shard.
func (t *Table) encode(s *shard, byKey map[uint64]*worker) []byte {
	keys := make([]uint64, 0, len(s.keys))
	for k := range s.keys {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	out := make([]byte, headSize, headSize+len(keys)*recordSize+sumSize)
	n := 0
	for _, k := range keys {
		r, ok := t.kept[k]
		if w := byKey[k]; w != nil {
			r, ok = w.record(t.now), w.used > 0
		}
		if ok && r.weight > 0 {
			out = appendRecord(out, k, r)
			n++
		}
	}
	out[0] = codecVersion
	binary.LittleEndian.PutUint16(out[1:], uint16(n)) //nolint:gosec // at most maxShardWorkers
	return seal(out)
}

// Restore applies the stored state of a shard. What has been learned of a worker since counts more. If the state is
// malformed, it is left out as a whole.
func (t *Table) Restore(i int, data []byte) error {
	t.init()
	if i < 0 || i >= maxShards {
		return fmt.Errorf("shard %d: %w", i, errMalformed)
	}
	body, err := unseal(data)
	if err != nil {
		return fmt.Errorf("shard %d: %w", i, err)
	}
	read := make(map[uint64]record, len(body)/recordSize)
	for ; len(body) > 0; body = body[recordSize:] {
		key, r, err := decodeRecord(body)
		if err != nil {
			return fmt.Errorf("shard %d: %w", i, err)
		}
		read[key] = r
	}
	for _, w := range t.workers {
		r, ok := read[w.key]
		if ok && w.used == 0 {
			w.restore(r, t.now)
			t.refresh(w)
		}
		if ok {
			delete(read, w.key)
		}
	}
	for key, r := range read {
		if _, ok := t.shards.of[key]; !ok {
			t.shards.assignTo(key, i)
		}
		t.keep(key, r, maxKept)
	}
	return nil
}
