package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"sync"
	"time"
)

// The limits of the store, from the settings of a small deployment.
const (
	rowBytes      = 65536
	maxText       = 200
	maxTxnEntries = 100
	maxTxnBytes   = 1 << 20
	pageRows      = 500
	txTime        = 8 * time.Millisecond
	readTime      = 4 * time.Millisecond
	partWritesS   = 150
	retention     = 20 * time.Second
)

type rowKey struct{ table, part, key string }

// row is one row in the store's JSON format.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Ver     uint64 `json:"ver"`
	Deleted bool   `json:"tombstone,omitempty"`
}

func (r *row) id() rowKey { return rowKey{r.Table, r.Part, r.Key} }

// change is one entry of the history.
type change struct {
	row
	at time.Time
}

// store is the platform's metadata store in memory.
type store struct {
	writesPerS, readsPerS float64

	mu      sync.Mutex
	began   time.Time
	ver     uint64
	floor   uint64 // the history goes back to this version
	rows    map[rowKey]row
	log     []change
	changed chan struct{}         // closed and replaced with each transaction
	busy    map[string]time.Time  // until when a part runs its transactions
	rates   map[string]*tokenRate // by kind of call
	// refused counts the answers other than 200 by status and reason.
	refused map[string]int
	largest map[string]int // the largest value that was asked to be written, by table
}

func newStore(writesPerS, readsPerS float64) *store {
	return &store{
		writesPerS: writesPerS, readsPerS: readsPerS, began: time.Now(), rows: map[rowKey]row{}, changed: make(chan struct{}),
		busy: map[string]time.Time{}, rates: map[string]*tokenRate{"write": {perS: writesPerS}, "read": {perS: readsPerS}},
		refused: map[string]int{}, largest: map[string]int{},
	}
}

// tokenRate allows perS calls a second, and as many at once.
type tokenRate struct {
	perS, left float64
	at         time.Time
}

func (t *tokenRate) take(now time.Time) bool {
	if t.at.IsZero() {
		t.left = t.perS
	} else {
		t.left = min(t.perS, t.left+t.perS*now.Sub(t.at).Seconds())
	}
	t.at = now
	if t.left < 1 {
		return false
	}
	t.left--
	return true
}

type txn struct {
	Expected []row `json:"expectedRev"`
	Writes   []row `json:"writes"`
	Remove   []row `json:"remove"`
}

// refuse answers with a status and a reason.
func (s *store) refuse(w http.ResponseWriter, status int, reason string) {
	s.mu.Lock()
	s.refused[strconv.Itoa(status)+" "+reason]++
	s.mu.Unlock()
	reply(w, status, map[string]string{"error": reason})
}

func (s *store) allowed(w http.ResponseWriter, kind string) bool {
	s.mu.Lock()
	ok := s.rates[kind].take(time.Now())
	s.mu.Unlock()
	if !ok {
		s.refuse(w, http.StatusTooManyRequests, kind+" rate")
	}
	return ok
}

func (s *store) handleTx(w http.ResponseWriter, r *http.Request) {
	if !s.allowed(w, "write") {
		return
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, 2*maxTxnBytes))
	var t txn
	if err != nil || json.Unmarshal(body, &t) != nil {
		s.refuse(w, http.StatusBadRequest, "malformed transaction")
		return
	}
	if len(body) > maxTxnBytes || len(t.Expected)+len(t.Writes)+len(t.Remove) > maxTxnEntries {
		s.refuse(w, http.StatusBadRequest, "transaction is too large")
		return
	}
	part := ""
	for i, x := range slices.Concat(t.Expected, t.Writes, t.Remove) {
		if x.Table == "" || x.Key == "" || len(x.Table) > maxText || len(x.Part) > maxText || len(x.Key) > maxText || len(x.Value) > rowBytes {
			s.noteLargest(t.Writes)
			s.refuse(w, http.StatusBadRequest, "a table, key or value is missing or too long")
			return
		}
		if i > 0 && x.Part != part {
			s.refuse(w, http.StatusBadRequest, "several parts")
			return
		}
		part = x.Part
	}
	for _, x := range slices.Concat(t.Writes, t.Remove) {
		if x.Table == "op" || x.Table == "servers" {
			s.refuse(w, http.StatusForbidden, "not the system's table")
			return
		}
	}
	s.noteLargest(t.Writes)
	if !s.waitForPart(part) {
		s.refuse(w, http.StatusTooManyRequests, "part is busy")
		return
	}
	ver, present := s.apply(t)
	if present != nil {
		reply(w, http.StatusPreconditionFailed, map[string]any{"rows": present, "ver": ver, "nowMs": s.nowMs()})
		return
	}
	reply(w, http.StatusOK, map[string]any{"ver": ver, "nowMs": s.nowMs()})
}

func (s *store) noteLargest(writes []row) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, x := range writes {
		s.largest[x.Table] = max(s.largest[x.Table], len(x.Value))
	}
}

// waitForPart waits for the turn of a transaction in its part, and reports false if over a second of them waits.
func (s *store) waitForPart(part string) bool {
	s.mu.Lock()
	now := time.Now()
	from := s.busy[part]
	if from.Before(now) {
		from = now
	}
	if from.Sub(now) > time.Second {
		s.mu.Unlock()
		return false
	}
	until := from.Add(time.Second / partWritesS)
	s.busy[part] = until
	s.mu.Unlock()
	time.Sleep(max(until.Sub(now), txTime))
	return true
}

// apply runs a transaction, or returns the present rows of its conditions if one does not hold.
func (s *store) apply(t txn) (uint64, []row) {
	s.mu.Lock()
	defer s.mu.Unlock()
	present := []row{}
	ok := true
	for _, x := range t.Expected {
		now := s.rows[x.id()]
		if now.Ver != x.Ver {
			ok = false
		}
		if now.Ver != 0 {
			present = append(present, now)
		}
	}
	if !ok {
		return s.ver, present
	}
	s.ver++
	at := time.Now()
	for _, x := range t.Writes {
		x.Ver = s.ver
		s.rows[x.id()] = x
		s.log = append(s.log, change{x, at})
	}
	for _, x := range t.Remove {
		if _, there := s.rows[x.id()]; there {
			delete(s.rows, x.id())
			s.log = append(s.log, change{row{Table: x.Table, Part: x.Part, Key: x.Key, Ver: s.ver, Deleted: true}, at})
		}
	}
	n := 0
	for n < len(s.log) && at.Sub(s.log[n].at) > retention {
		s.floor = s.log[n].Ver
		n++
	}
	s.log = s.log[n:]
	close(s.changed)
	s.changed = make(chan struct{})
	return s.ver, nil
}

// put writes a row as the operator or a worker does.
func (s *store) put(table, key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.apply(txn{Writes: []row{{Table: table, Key: key, Value: data}}})
}

func (s *store) get(table, part, key string) (row, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.rows[rowKey{table, part, key}]
	return r, ok
}

func (s *store) nowMs() int64 { return time.Since(s.began).Milliseconds() }

func (s *store) handleGet(w http.ResponseWriter, r *http.Request) {
	if !s.allowed(w, "read") {
		return
	}
	time.Sleep(readTime)
	q := r.URL.Query()
	limit := pageRows
	if n, err := strconv.Atoi(q.Get("limit")); err == nil && n > 0 {
		limit = min(limit, n)
	}
	s.mu.Lock()
	out := []row{}
	for id, x := range s.rows {
		if id.table == q.Get("table") && id.part == q.Get("part") && id.key >= q.Get("from") && (q.Get("target") == "" || id.key < q.Get("target")) {
			out = append(out, x)
		}
	}
	ver := s.ver
	s.mu.Unlock()
	sort.Slice(out, func(i, j int) bool { return out[i].Key < out[j].Key })
	out, more := cut(out, limit)
	reply(w, http.StatusOK, map[string]any{"rows": out, "hasMore": more, "ver": ver, "nowMs": s.nowMs()})
}

// cut returns the rows of one page: at most limit rows or 1 MB.
func cut(rows []row, limit int) ([]row, bool) {
	size := 0
	for i, x := range rows {
		size += len(x.Value)*4/3 + 100
		if i == limit || i > 0 && size > 1<<20 {
			return rows[:i], true
		}
	}
	return rows, false
}

func (s *store) handleFeed(w http.ResponseWriter, r *http.Request) {
	if !s.allowed(w, "read") {
		return
	}
	time.Sleep(readTime)
	q := r.URL.Query()
	after, err := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, err2 := strconv.Atoi(q.Get("waitMs"))
	if err != nil || err2 != nil || wait > 30000 {
		s.refuse(w, http.StatusBadRequest, "malformed feed")
		return
	}
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		if after < s.floor {
			s.mu.Unlock()
			s.refuse(w, http.StatusGone, "history is gone")
			return
		}
		out, ver := s.changesAfter(q.Get("table"), after)
		changed := s.changed
		s.mu.Unlock()
		if len(out) > 0 {
			reply(w, http.StatusOK, map[string]any{"rows": out, "ver": ver, "nowMs": s.nowMs()})
			return
		}
		select {
		case <-changed:
		case <-deadline:
			reply(w, http.StatusOK, map[string]any{"rows": out, "ver": ver, "nowMs": s.nowMs()})
			return
		case <-r.Context().Done():
			return
		}
	}
}

// changesAfter returns the changes of a table after a version, whole transactions, and the version to go on from. The
// caller holds mu.
func (s *store) changesAfter(table string, after uint64) ([]row, uint64) {
	out := []row{}
	from := sort.Search(len(s.log), func(i int) bool { return s.log[i].Ver > after })
	for i := from; i < len(s.log); i++ {
		c := s.log[i]
		if len(out) >= pageRows-maxTxnEntries && c.Ver != s.log[i-1].Ver {
			return out, s.log[i-1].Ver
		}
		if c.Table == table {
			out = append(out, c.row)
		}
	}
	return out, s.ver
}

func (s *store) handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("POST /v1/rows-tx", s.handleTx)
	m.HandleFunc("GET /v1/rows-get", s.handleGet)
	m.HandleFunc("GET /v1/rows-feed", s.handleFeed)
	return m
}

func reply(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

// summary tells what the store refused and the largest values that were to be written.
func (s *store) summary() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return fmt.Sprintf("store: refused %v; largest value to be written by table %v", s.refused, s.largest)
}
