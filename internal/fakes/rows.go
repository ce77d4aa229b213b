package fakes

import (
	"encoding/json"
	"slices"
	"strings"
	"sync"
)

type row struct {
	Key     string          `json:"key"`
	Version uint64          `json:"version"`
	Value   json.RawMessage `json:"value"`
}

type versionCheck struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
}

type rowWrite struct {
	Key    string          `json:"key"`
	Value  json.RawMessage `json:"value"`
	Delete bool            `json:"delete,omitempty"`
}

type txn struct {
	ID     string         `json:"id"`
	Checks []versionCheck `json:"checks"`
	Writes []rowWrite     `json:"writes"`
}

// Rows is an in-memory transactional table. The zero value is an empty table, ready for use.
// It is safe for concurrent use.
type Rows struct {
	mu sync.Mutex
	// mu guards the fields below. keys holds the keys of rows in ascending order.
	rows     map[string]row
	keys     []string
	revision uint64
	reads    int64
	writes   int64
}

// commit applies all writes of t if the version of every checked key matches, and returns the new
// revision. Otherwise it applies nothing and returns the first key whose version differs.
func (r *Rows) commit(t txn) (version uint64, conflict string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range t.Checks {
		if r.rows[c.Key].Version != c.Version {
			return 0, c.Key
		}
	}
	if r.rows == nil {
		r.rows = map[string]row{}
	}
	r.revision++
	for _, w := range t.Writes {
		r.applyWrite(w)
	}
	r.writes += int64(len(t.Writes))
	return r.revision, ""
}

func (r *Rows) applyWrite(w rowWrite) {
	at, found := slices.BinarySearch(r.keys, w.Key)
	if w.Delete {
		if found {
			r.keys = slices.Delete(r.keys, at, at+1)
			delete(r.rows, w.Key)
		}
		return
	}
	if !found {
		r.keys = slices.Insert(r.keys, at, w.Key)
	}
	r.rows[w.Key] = row{Key: w.Key, Version: r.revision, Value: slices.Clone(w.Value)}
}

func (r *Rows) get(keys []string) []row {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reads += int64(len(keys))
	var out []row
	for _, key := range keys {
		if found, ok := r.rows[key]; ok {
			out = append(out, found)
		}
	}
	return out
}

// scan returns at most limit rows in key order whose keys start with prefix and come after the key
// after. more reports whether there are further rows.
func (r *Rows) scan(prefix, after string, limit int) (out []row, more bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reads++
	at, found := slices.BinarySearch(r.keys, max(prefix, after))
	if found && after == r.keys[at] {
		at++
	}
	for ; at < len(r.keys) && strings.HasPrefix(r.keys[at], prefix); at++ {
		if len(out) == limit {
			return out, true
		}
		out = append(out, r.rows[r.keys[at]])
	}
	return out, false
}

// Counts returns the number of reads and of row writes served. A scan counts as one read.
func (r *Rows) Counts() (reads, writes int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.reads, r.writes
}

// Dump returns the values of all keys that start with prefix, without the scheduler's envelope.
// Test checkers use it.
func (r *Rows) Dump(prefix string) map[string]json.RawMessage {
	rows, _ := r.scan(prefix, "", int(^uint(0)>>1))
	out := map[string]json.RawMessage{}
	for _, found := range rows {
		var envelope struct {
			Body json.RawMessage `json:"b"`
		}
		if json.Unmarshal(found.Value, &envelope) == nil {
			out[found.Key] = envelope.Body
		}
	}
	return out
}
