package main

import (
	"encoding/json"
	"fmt"
	"math/rand"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// The bounds of the workers, from the settings of a small deployment.
const (
	heartbeat  = 1500 * time.Millisecond
	maxHold    = 6 * time.Second
	stopTime   = 60 * time.Millisecond
	startup    = 300 * time.Millisecond
	maxWait    = 2 * time.Second
	endsListed = 500
)

type room struct {
	CPU   int `json:"cpu"`
	MemMB int `json:"memMb"`
	GPU   int `json:"gpu"`
}

func (r room) plus(o room) room  { return room{r.CPU + o.CPU, r.MemMB + o.MemMB, r.GPU + o.GPU} }
func (r room) minus(o room) room { return room{r.CPU - o.CPU, r.MemMB - o.MemMB, r.GPU - o.GPU} }
func (r room) holds(o room) bool { return r.CPU >= o.CPU && r.MemMB >= o.MemMB && r.GPU >= o.GPU }

// times returns how many times o fits into r.
func (r room) times(o room) int {
	n := 1 << 20
	for _, p := range [][2]int{{r.CPU, o.CPU}, {r.MemMB, o.MemMB}, {r.GPU, o.GPU}} {
		if p[1] > 0 {
			n = min(n, max(0, p[0])/p[1])
		}
	}
	return n
}

// run is a run of a work unit on a worker.
type run struct {
	task     string
	job      string
	number   int64
	began    time.Time
	need     room
	work     time.Duration // 0: it lasts
	failsAt  time.Time     // zero: it does not fail
	stopping bool
}

type end struct {
	n    int64
	task string
	run  int64
	how  string
}

// worker runs work units as PROTOCOL.md says.
type worker struct {
	w     *world
	id    string
	addr  string
	zone  string
	rack  string
	total room

	mu       sync.Mutex
	server   *http.Server
	down     bool
	busy     bool // it refuses all starts with 503 and does nothing
	kind     string
	born     time.Time
	fence    int64
	deadline time.Duration // on the worker's clock
	used     room
	running  map[string]*run
	highest  map[string]int64 // the highest run that was stopped or ended, by work unit
	ends     []end
	lastEnd  int64
	ended    chan struct{} // closed and replaced with each end
	tickets  map[string]ticket
}

type ticket struct {
	text  string
	until time.Time
}

func (k *worker) clock() time.Duration { return time.Since(k.born) }

// entry is the worker's report about itself.
func (k *worker) entry(seq int) map[string]any {
	return map[string]any{
		"service": k.w.service, "address": k.addr, "zone": k.zone, "version": "v1", "slots": 8, "state": "ready", "coldLeftMs": 0,
		"capacity": k.total, "labels": []string{k.kind, k.rack}, "clockMs": k.clock().Milliseconds(), "seq": seq, "born": k.born.UnixMilli(),
	}
}

func (k *worker) register() {
	time.Sleep(time.Duration(rand.Int63n(int64(heartbeat))))
	for seq := 1; ; seq++ {
		k.mu.Lock()
		down := k.down
		k.mu.Unlock()
		if !down {
			k.w.store.put("servers", k.id, k.entry(seq))
		}
		time.Sleep(heartbeat)
	}
}

// endRun ends a run; the caller holds mu.
func (k *worker) endRun(r *run, how string) {
	if k.running[r.task] != r {
		return
	}
	delete(k.running, r.task)
	k.used = k.used.minus(r.need)
	k.highest[r.task] = max(k.highest[r.task], r.number)
	k.lastEnd++
	k.ends = append(k.ends, end{k.lastEnd, r.task, r.number, how})
	close(k.ended)
	k.ended = make(chan struct{})
	k.w.noteEnd(k, r, how)
}

// tick ends the runs whose time has come.
func (k *worker) tick(now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	lapsed := len(k.running) > 0 && k.clock() > k.deadline
	for _, r := range k.running {
		switch {
		case lapsed:
			k.endRun(r, "lapsed")
		case !r.failsAt.IsZero() && now.After(r.failsAt):
			k.endRun(r, "failed")
		case r.work > 0 && now.Sub(r.began) >= r.work:
			k.endRun(r, "done")
		}
	}
}

type order struct {
	Task       string `json:"task"`
	Run        int64  `json:"run"`
	Spec       string `json:"spec"`
	DeadlineMs int64  `json:"deadlineMs"`
	Fence      int64  `json:"fencingToken"`
	AckedUpto  int64  `json:"ackedUpto"`
	WaitMs     int64  `json:"waitMs"`
	Checkpoint string `json:"checkpoint"`
	Ticket     string `json:"ticket"`
}

// extend extends the leases; the caller holds mu.
func (k *worker) extend(deadlineMs int64) {
	if deadlineMs > 0 {
		k.deadline = max(k.deadline, min(time.Duration(deadlineMs)*time.Millisecond, k.clock()+maxHold))
	}
}

func (k *worker) conflict(w http.ResponseWriter, reason string) {
	k.w.count("worker answered 409 " + reason)
	reply(w, http.StatusConflict, map[string]any{"clockMs": k.clock().Milliseconds(), "reason": reason, "born": k.born.UnixMilli()})
}

// accept decodes an order and checks its incarnation and its fence.
func (k *worker) accept(w http.ResponseWriter, r *http.Request) (in order, ok bool) {
	if id := r.Header.Get("X-Greengageline-Expected-Instance"); id != "" && id != k.id {
		reply(w, http.StatusMisdirectedRequest, map[string]any{"clockMs": k.clock().Milliseconds()})
		return in, false
	}
	if json.NewDecoder(r.Body).Decode(&in) != nil {
		reply(w, http.StatusBadRequest, map[string]any{"clockMs": k.clock().Milliseconds()})
		return in, false
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.down {
		panic(http.ErrAbortHandler) // the process is gone
	}
	if in.Fence < k.fence {
		k.conflict(w, "fence")
		return in, false
	}
	k.fence = in.Fence
	return in, true
}

func (k *worker) handleStart(w http.ResponseWriter, r *http.Request) {
	in, ok := k.accept(w, r)
	if !ok {
		return
	}
	unit, known := k.w.unit(in.Task)
	if !known || unit.spec != in.Spec {
		k.w.note("UNASKED worker %s was told to start %s run %d, which no client sent", k.id, in.Task, in.Run)
		reply(w, http.StatusBadRequest, map[string]any{"clockMs": k.clock().Milliseconds()})
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if in.DeadlineMs > 0 && time.Duration(in.DeadlineMs)*time.Millisecond < k.clock() {
		k.conflict(w, "late")
		return
	}
	there := k.running[in.Task]
	switch {
	case k.busy:
		k.w.count("worker refused a start with 503")
		reply(w, http.StatusServiceUnavailable, map[string]any{"clockMs": k.clock().Milliseconds()})
		return
	case there != nil && there.number == in.Run:
		reply(w, http.StatusOK, map[string]any{"clockMs": k.clock().Milliseconds(), "born": k.born.UnixMilli()})
		return
	case there != nil && there.number > in.Run, in.Run <= k.highest[in.Task]:
		k.extend(in.DeadlineMs)
		k.conflict(w, "old")
		return
	case unit.advised && !k.ticketValid(stepOf(in.Task), in.Ticket):
		k.conflict(w, "ticket")
		return
	case there == nil && !k.total.minus(k.used).holds(unit.need):
		k.extend(in.DeadlineMs)
		k.conflict(w, "room")
		return
	}
	if there != nil {
		k.endRun(there, "stopped")
	}
	k.extend(in.DeadlineMs)
	x := &run{task: in.Task, job: unit.job, number: in.Run, began: time.Now(), need: unit.need, work: unit.work, failsAt: k.w.failsAt(unit, in.Task)}
	k.running[in.Task] = x
	k.used = k.used.plus(unit.need)
	k.w.noteStart(k, x)
	reply(w, http.StatusOK, map[string]any{"clockMs": k.clock().Milliseconds(), "born": k.born.UnixMilli()})
}

// ticketValid reports whether a ticket holds for a step here; the caller holds mu.
func (k *worker) ticketValid(step, text string) bool {
	k.w.ticketMu.Lock()
	defer k.w.ticketMu.Unlock()
	t := k.tickets[step]
	return text != "" && t.text == text && time.Now().Before(t.until)
}

func (k *worker) handleStop(w http.ResponseWriter, r *http.Request) {
	in, ok := k.accept(w, r)
	if !ok {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	x := k.running[in.Task]
	switch {
	case x != nil && x.number == in.Run && !x.stopping:
		x.stopping = true
		time.AfterFunc(stopTime, func() {
			k.mu.Lock()
			defer k.mu.Unlock()
			k.endRun(x, "stopped")
		})
	case x == nil || x.number < in.Run:
		k.highest[in.Task] = max(k.highest[in.Task], in.Run)
	}
	reply(w, http.StatusOK, map[string]any{"clockMs": k.clock().Milliseconds(), "born": k.born.UnixMilli()})
}

func (k *worker) handleHold(w http.ResponseWriter, r *http.Request) {
	in, ok := k.accept(w, r)
	if !ok {
		return
	}
	k.mu.Lock()
	k.extend(in.DeadlineMs)
	n := 0
	for n < len(k.ends) && k.ends[n].n <= in.AckedUpto {
		n++
	}
	k.ends = k.ends[n:]
	deadline := time.After(min(time.Duration(in.WaitMs)*time.Millisecond, maxWait))
	for len(k.ends) == 0 && in.WaitMs > 0 {
		ended := k.ended
		k.mu.Unlock()
		select {
		case <-ended:
		case <-deadline:
			in.WaitMs = 0
		case <-r.Context().Done():
			return
		}
		k.mu.Lock()
	}
	running := [][]any{}
	for _, x := range k.running {
		running = append(running, []any{x.task, x.number, "", k.w.percent(x), 0})
	}
	ends := [][]any{}
	for _, e := range k.ends[:min(len(k.ends), endsListed)] {
		ends = append(ends, []any{e.n, e.task, e.run, e.how, ""})
	}
	out := map[string]any{"clockMs": k.clock().Milliseconds(), "born": k.born.UnixMilli(), "running": running, "ended": ends}
	k.mu.Unlock()
	reply(w, http.StatusOK, out)
}

// percent returns the progress of a run.
func (w *world) percent(x *run) int {
	since := time.Since(x.began)
	if x.work == 0 {
		if since > startup {
			return 100
		}
		return 0
	}
	return min(99, int(100*since/x.work))
}

// serve starts the worker on a free port.
func (k *worker) serve() error {
	k.addr = "127.0.0.1:0"
	if err := k.listen(); err != nil {
		return err
	}
	go k.register()
	go func() {
		for now := range time.Tick(50 * time.Millisecond) {
			k.tick(now)
		}
	}()
	return nil
}

// listen opens the worker's port.
func (k *worker) listen() error {
	l, err := net.Listen("tcp4", k.addr)
	if err != nil {
		return err
	}
	m := http.NewServeMux()
	m.HandleFunc("POST /v1/run-start", k.handleStart)
	m.HandleFunc("POST /v1/run-stop", k.handleStop)
	m.HandleFunc("POST /v1/hold", k.handleHold)
	m.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	srv := &http.Server{Handler: m}
	k.mu.Lock()
	k.addr, k.server, k.down = l.Addr().String(), srv, false
	k.mu.Unlock()
	go func() { _ = srv.Serve(l) }()
	return nil
}

// lose ends the worker for good. Its entry is removed after three ping intervals of silence.
func (k *worker) lose() {
	k.mu.Lock()
	k.down = true
	for _, r := range k.running {
		k.w.noteEnd(k, r, "lost with its worker")
	}
	k.running, k.used, k.total = map[string]*run{}, room{}, room{}
	srv := k.server
	k.mu.Unlock()
	_ = srv.Close()
	time.Sleep(3 * heartbeat)
	k.w.store.apply(txn{Remove: []row{{Table: "servers", Key: k.id}}})
	k.w.note("the entry of worker %s is removed", k.id)
}

// stepOf returns the name of the step of a work unit, ID.K.STEP.
func stepOf(task string) string { return task[:strings.LastIndexByte(task, '.')] }

func (w *world) newWorker(i, perRack int) *worker {
	zone := w.zones[i%len(w.zones)]
	return &worker{
		w: w, id: fmt.Sprintf("i-%08x", rand.Uint32()), zone: zone, rack: fmt.Sprintf("r%d-%d", i%len(w.zones), i/len(w.zones)/perRack),
		total: room{64000, 262144, 8}, kind: "a", born: time.Now(), running: map[string]*run{}, highest: map[string]int64{},
		ended: make(chan struct{}), tickets: map[string]ticket{},
	}
}
