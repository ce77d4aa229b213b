package main

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxPageRows is the number of rows in one answer; txnTime and readTime are how long calls take, and the
	// transactions of one part take it one after another.
	maxPageRows = 500
	txnTime     = 8 * time.Millisecond
	readTime    = 4 * time.Millisecond
)

// row is one row of the store.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"ver"`
	Gone    bool   `json:"tombstone,omitempty"`
}

type rowID struct{ table, part, key string }

func (r row) id() rowID { return rowID{r.Table, r.Part, r.Key} }

// store is a stand-in of the platform's metadata store.
type store struct {
	began time.Time

	mu      sync.Mutex
	version uint64
	rows    map[rowID]row
	changes []row
	parts   map[string]*sync.Mutex
	// changed is closed and replaced with each change.
	changed chan struct{}
	// oldest is guarded by mu: a feed can't go on from a version before it.
	oldest uint64
	// slow is how many times as long as usual calls take; 0 means once.
	slow atomic.Int64
	// onRemoval, if set, is called when a transaction that removes rows arrives, and again once it has taken effect.
	onRemoval func(applied bool)
}

// wait waits for the time that a call takes.
func (s *store) wait(usual time.Duration) { time.Sleep(usual * time.Duration(max(1, s.slow.Load()))) }

// forgetHistory drops the history and cuts the feeds that wait and have missed changes.
func (s *store) forgetHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.oldest, s.changes = s.version, nil
	close(s.changed)
	s.changed = make(chan struct{})
}

func newStore() *store {
	return &store{began: time.Now(), rows: map[rowID]row{}, parts: map[string]*sync.Mutex{}, changed: make(chan struct{})}
}

// put writes one row as the operator and the workers do.
func (s *store) put(table, key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply([]row{{Table: table, Key: key, Value: data}}, nil)
}

// drop removes one row.
func (s *store) drop(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(nil, []row{{Table: table, Key: key}})
}

// value decodes the row of a table into out and reports whether there is one.
func (s *store) value(table, key string, out any) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.rows[rowID{table, "", key}]
	return ok && json.Unmarshal(r.Value, out) == nil
}

// apply writes and removes rows at the next version; the caller holds mu.
func (s *store) apply(put, drop []row) {
	s.version++
	for _, r := range put {
		r.Version = s.version
		s.rows[r.id()] = r
		s.changes = append(s.changes, r)
	}
	for _, r := range drop {
		delete(s.rows, r.id())
		s.changes = append(s.changes, row{Table: r.Table, Part: r.Part, Key: r.Key, Version: s.version, Gone: true})
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// page returns an answer with rows; the caller holds mu.
func (s *store) page(rows []row, more bool, version uint64) map[string]any {
	if rows == nil {
		rows = []row{}
	}
	return map[string]any{"rows": rows, "hasMore": more, "ver": version, "nowMs": time.Since(s.began).Milliseconds()}
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/v1/rows-tx":
		s.commit(w, r)
	case "/v1/rows-get":
		s.get(w, r)
	case "/v1/rows-feed":
		s.feed(w, r)
	case "/standin/beat": // the workers' own way to their rows
		var in row
		if json.NewDecoder(r.Body).Decode(&in) == nil {
			s.mu.Lock()
			s.apply([]row{{Table: "servers", Key: in.Key, Value: in.Value}}, nil)
			s.mu.Unlock()
		}
	default:
		http.NotFound(w, r)
	}
}

func (s *store) partLock(part string) *sync.Mutex {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.parts[part] == nil {
		s.parts[part] = &sync.Mutex{}
	}
	return s.parts[part]
}

func (s *store) commit(w http.ResponseWriter, r *http.Request) {
	var t struct {
		If   []row `json:"expectedRev"`
		Put  []row `json:"writes"`
		Drop []row `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	all := slices.Concat(t.If, t.Put, t.Drop)
	if len(all) == 0 || len(all) > 100 || slices.ContainsFunc(all, func(r row) bool { return r.Part != all[0].Part }) {
		http.Error(w, "no rows, too many, or rows of several parts", http.StatusBadRequest)
		return
	}
	if slices.ContainsFunc(slices.Concat(t.Put, t.Drop), func(r row) bool { return r.Table == "op" || r.Table == "servers" }) {
		http.Error(w, "not your table", http.StatusForbidden)
		return
	}
	if len(t.Drop) > 0 && s.onRemoval != nil {
		s.onRemoval(false)
		defer s.onRemoval(true)
	}
	part := s.partLock(all[0].Part)
	part.Lock()
	defer part.Unlock()
	s.wait(txnTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range t.If {
		if s.rows[c.id()].Version == c.Version {
			continue
		}
		var present []row
		for _, c := range t.If {
			if cur, ok := s.rows[c.id()]; ok {
				present = append(present, cur)
			}
		}
		answer(w, http.StatusPreconditionFailed, s.page(present, false, s.version))
		return
	}
	s.apply(t.Put, t.Drop)
	answer(w, http.StatusOK, s.page(nil, false, s.version))
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	s.wait(readTime)
	q := r.URL.Query()
	to, bounded := q["target"]
	limit := maxPageRows
	if n, err := strconv.Atoi(q.Get("limit")); err == nil && n < limit {
		limit = n
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []row
	for id, cur := range s.rows {
		if id.table == q.Get("table") && id.part == q.Get("part") && id.key >= q.Get("from") && (!bounded || id.key < to[0]) {
			out = append(out, cur)
		}
	}
	slices.SortFunc(out, func(a, b row) int { return strings.Compare(a.Key, b.Key) })
	n := min(len(out), limit)
	answer(w, http.StatusOK, s.page(out[:n], n < len(out), s.version))
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseUint(q.Get("after"), 10, 64)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	s.wait(readTime)
	timeout := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timeout.Stop()
	for waiting := true; ; {
		s.mu.Lock()
		changed, page, gone := s.changed, s.changesAfter(q.Get("table"), after), after < s.oldest
		s.mu.Unlock()
		if gone {
			http.Error(w, "the history is no longer available", http.StatusGone)
			return
		}
		if page != nil || !waiting {
			s.mu.Lock()
			defer s.mu.Unlock()
			version := s.version
			if len(page) > 0 {
				version = page[len(page)-1].Version
			}
			answer(w, http.StatusOK, s.page(page, false, version))
			return
		}
		select {
		case <-changed:
		case <-timeout.C:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}

// changesAfter returns the next changes of a table, whole transactions only, or nil; the caller holds mu.
func (s *store) changesAfter(table string, after uint64) []row {
	from, _ := slices.BinarySearchFunc(s.changes, after+1, func(r row, v uint64) int {
		switch {
		case r.Version < v:
			return -1
		case r.Version > v:
			return 1
		}
		return 0
	})
	var out []row
	for _, r := range s.changes[from:] {
		if r.Table != table {
			continue
		}
		if len(out) >= maxPageRows && out[len(out)-1].Version != r.Version {
			break
		}
		out = append(out, r)
	}
	return out
}

// answer writes a JSON answer.
func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
