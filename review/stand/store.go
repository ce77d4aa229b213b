package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// rowKey identifies a row of the store.
type rowKey struct{ table, part, key string }

// storedRow is a row as the store sends it.
type storedRow struct {
	Table     string `json:"table"`
	Part      string `json:"part"`
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Ver       uint64 `json:"ver"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

// store is the stand-in of the platform's metadata store. Its transactions take txTime, one after
// another in each part, and its reads take readTime.
type store struct {
	addr  string
	conns *connTracker

	mu      sync.Mutex
	changed *sync.Cond
	rows    map[rowKey]storedRow
	feed    []storedRow
	ver     uint64
	parts   map[string]*sync.Mutex
	// silent makes the store leave every call unanswered and undone.
	silent bool
	// silentFrom, if set, is the key of a row; the outage begins with the first transaction that writes it.
	silentFrom string
	// lead names the owner by the row of the election.
	lead  leadRow
	began time.Time
}

// leadRow is what the stand-in reads of the program's own election row, to choose the process to disturb.
type leadRow struct {
	Owner string `json:"owner"`
}

const (
	txTime      = 8 * time.Millisecond
	readTime    = 4 * time.Millisecond
	maxRowBytes = 65536
	maxPageRows = 500
	maxPage     = 1 << 20
)

func newStore(l net.Listener) *store {
	s := &store{addr: l.Addr().String(), rows: map[rowKey]storedRow{}, parts: map[string]*sync.Mutex{}, began: time.Now()}
	s.changed = sync.NewCond(&s.mu)
	s.conns = &connTracker{Listener: l, open: map[*trackedConn]bool{}}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/rows-tx", s.handleTx)
	mux.HandleFunc("GET /v1/rows-get", s.handleGet)
	mux.HandleFunc("GET /v1/rows-feed", s.handleFeed)
	srv := &http.Server{Handler: mux}
	go func() { _ = srv.Serve(s.conns) }()
	return s
}

// setSilent starts or ends an outage in which calls get no answer.
func (s *store) setSilent(on bool) {
	s.mu.Lock()
	s.silent = on
	s.mu.Unlock()
	note("store", "silent=%v", on)
}

// setSilentFrom lets an outage begin with the first transaction that writes a row with this key.
func (s *store) setSilentFrom(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silentFrom = key
}

// isSilent reports whether the store is silent.
func (s *store) isSilent() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.silent
}

// away reports whether the store is silent; it then holds the call until its caller gives up.
func (s *store) away(r *http.Request) bool {
	on := s.isSilent()
	if on {
		<-r.Context().Done()
	}
	return on
}

// put writes a row as the operator or a worker does.
func (s *store) put(table, key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ver++
	s.apply(storedRow{Table: table, Key: key, Value: data, Ver: s.ver})
	s.changed.Broadcast()
}

func (s *store) apply(r storedRow) {
	k := rowKey{r.Table, r.Part, r.Key}
	if r.Tombstone {
		delete(s.rows, k)
	} else {
		s.rows[k] = r
	}
	s.feed = append(s.feed, r)
	if r.Table == "lead" {
		_ = json.Unmarshal(r.Value, &s.lead)
	}
}

// owner returns the name of the node that the election row names.
func (s *store) owner() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lead.Owner
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) page(rows []storedRow, more bool, ver uint64) map[string]any {
	if rows == nil {
		rows = []storedRow{}
	}
	return map[string]any{"rows": rows, "hasMore": more, "ver": ver, "nowMs": time.Since(s.began).Milliseconds()}
}

type txRequest struct {
	If   []storedRow `json:"expectedRev"`
	Put  []storedRow `json:"writes"`
	Drop []storedRow `json:"remove"`
}

func (s *store) handleTx(w http.ResponseWriter, r *http.Request) {
	var in txRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, 1<<20)).Decode(&in); err != nil {
		answer(w, http.StatusBadRequest, map[string]string{"error": err.Error()})
		return
	}
	for _, p := range in.Put {
		s.mu.Lock()
		begins := s.silentFrom != "" && p.Key == s.silentFrom
		s.mu.Unlock()
		if begins {
			s.setSilentFrom("")
			s.setSilent(true)
		}
	}
	if s.away(r) {
		return
	}
	all := append(append(append([]storedRow{}, in.If...), in.Put...), in.Drop...)
	if len(all) == 0 || len(all) > 100 {
		answer(w, http.StatusBadRequest, map[string]string{"error": "too many entries"})
		return
	}
	for _, e := range all {
		if e.Part != all[0].Part {
			answer(w, http.StatusBadRequest, map[string]string{"error": "several parts"})
			return
		}
		if len(e.Value) > maxRowBytes {
			note("store", "refused a value of %d bytes for %s/%s", len(e.Value), e.Table, e.Key)
			answer(w, http.StatusBadRequest, map[string]string{"error": "value too large"})
			return
		}
	}
	for _, e := range append(append([]storedRow{}, in.Put...), in.Drop...) {
		if e.Table == "op" || e.Table == "servers" {
			answer(w, http.StatusForbidden, map[string]string{"error": "not yours"})
			return
		}
	}
	part := s.partLock(all[0].Part)
	part.Lock()
	defer part.Unlock()
	time.Sleep(txTime)
	if s.away(r) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	conflict := false
	var present []storedRow
	for _, c := range in.If {
		cur := s.rows[rowKey{c.Table, c.Part, c.Key}]
		conflict = conflict || cur.Ver != c.Ver
		if cur.Ver != 0 {
			present = append(present, cur)
		}
	}
	if conflict {
		answer(w, http.StatusPreconditionFailed, s.page(present, false, s.ver))
		return
	}
	s.ver++
	for _, p := range in.Put {
		if len(p.Value) > maxRowBytes/2 {
			note("store", "stores a value of %d bytes for %s/%s", len(p.Value), p.Table, p.Key)
		}
		p.Ver = s.ver
		s.apply(p)
	}
	for _, d := range in.Drop {
		s.apply(storedRow{Table: d.Table, Part: d.Part, Key: d.Key, Ver: s.ver, Tombstone: true})
	}
	s.changed.Broadcast()
	answer(w, http.StatusOK, s.page(nil, false, s.ver))
}

func (s *store) partLock(part string) *sync.Mutex {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := s.parts[part]
	if m == nil {
		m = &sync.Mutex{}
		s.parts[part] = m
	}
	return m
}

func (s *store) handleGet(w http.ResponseWriter, r *http.Request) {
	if s.away(r) {
		return
	}
	time.Sleep(readTime)
	q := r.URL.Query()
	limit := maxPageRows
	if n, err := strconv.Atoi(q.Get("limit")); err == nil && n > 0 {
		limit = min(limit, n)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []storedRow
	for k, row := range s.rows {
		if k.table == q.Get("table") && k.part == q.Get("part") && k.key >= q.Get("from") && (!q.Has("target") || k.key < q.Get("target")) {
			out = append(out, row)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Key < out[j].Key })
	n, size := 0, 0
	for n < len(out) && n < limit && (n == 0 || size+len(out[n].Value) <= maxPage) {
		size += len(out[n].Value)
		n++
	}
	answer(w, http.StatusOK, s.page(out[:n], n < len(out), s.ver))
}

func (s *store) handleFeed(w http.ResponseWriter, r *http.Request) {
	if s.away(r) {
		return
	}
	time.Sleep(readTime)
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	waitMs, _ := strconv.Atoi(q.Get("waitMs"))
	until := time.Now().Add(time.Duration(waitMs) * time.Millisecond)
	timer := time.AfterFunc(time.Until(until), func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.changed.Broadcast()
	})
	defer timer.Stop()
	s.mu.Lock()
	for {
		rows, ver := s.changesAfter(q.Get("table"), after)
		if len(rows) > 0 || !time.Now().Before(until) {
			silent := s.silent
			s.mu.Unlock()
			if silent {
				<-r.Context().Done()
				return
			}
			answer(w, http.StatusOK, s.page(rows, false, ver))
			return
		}
		s.changed.Wait()
	}
}

// changesAfter returns the next changes of a table and the version from which to continue.
func (s *store) changesAfter(table string, after uint64) ([]storedRow, uint64) {
	at := sort.Search(len(s.feed), func(i int) bool { return s.feed[i].Ver > after })
	var out []storedRow
	for _, r := range s.feed[at:] {
		if r.Table != table {
			continue
		}
		if len(out) >= maxPageRows && r.Ver != out[len(out)-1].Ver {
			return out, out[len(out)-1].Ver
		}
		out = append(out, r)
	}
	return out, s.ver
}

// connTracker is a listener whose connections can be made silent.
type connTracker struct {
	net.Listener
	mu   sync.Mutex
	open map[*trackedConn]bool
}

// Accept accepts a connection and tracks it.
func (t *connTracker) Accept() (net.Conn, error) {
	c, err := t.Listener.Accept()
	if err != nil {
		return nil, err
	}
	tc := &trackedConn{Conn: c, owner: t, usedAt: time.Now()}
	t.mu.Lock()
	t.open[tc] = true
	t.mu.Unlock()
	return tc, nil
}

// silenceIdle makes the connections silent on which nothing was sent for the time idle, and returns their number.
func (t *connTracker) silenceIdle(idle time.Duration) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for c := range t.open {
		c.mu.Lock()
		if time.Since(c.usedAt) >= idle {
			c.dead = true
			n++
		}
		c.mu.Unlock()
	}
	return n
}

// trackedConn is a connection that may be made silent: what is sent on it is lost, and it is not closed.
type trackedConn struct {
	net.Conn
	owner *connTracker

	mu     sync.Mutex
	usedAt time.Time
	dead   bool
}

// use records that the connection is used, and reports whether it is silent.
func (c *trackedConn) use() (dead bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.usedAt = time.Now()
	return c.dead
}

// Read reads what the peer sent, unless the connection is silent.
func (c *trackedConn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if err != nil || !c.use() {
			return n, err
		}
	}
}

// Write sends b, or loses it if the connection is silent.
func (c *trackedConn) Write(b []byte) (int, error) {
	if c.use() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// Close closes the connection.
func (c *trackedConn) Close() error {
	c.owner.mu.Lock()
	delete(c.owner.open, c)
	c.owner.mu.Unlock()
	return c.Conn.Close()
}
