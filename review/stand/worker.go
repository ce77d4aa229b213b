package main

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// The bounds of the deployment that the stand-ins keep to.
const (
	maxHold     = 6 * time.Second
	killGrace   = 400 * time.Millisecond
	restore     = 600 * time.Millisecond
	heartbeat   = 1500 * time.Millisecond
	maxListed   = 500
	maxHoldWait = 2 * time.Second
)

// room is an amount of each resource.
type room struct {
	CPU   int `json:"cpu"`
	MemMb int `json:"memMb"`
	GPU   int `json:"gpu"`
}

func (r room) fits(o room) bool { return o.CPU <= r.CPU && o.MemMb <= r.MemMb && o.GPU <= r.GPU }

func (r room) less(o room) room { return room{r.CPU - o.CPU, r.MemMb - o.MemMb, r.GPU - o.GPU} }

// taskKind is what a worker knows of the work units of one step: their need and their duration.
type taskKind struct {
	need  room
	takes time.Duration
	saves bool
	// deadly lets the work unit crash its worker as it starts, before the start is answered.
	deadly bool
}

// kinds has the kind of each step, by JOB.STEP. It stands for what a real work unit would need and take.
var kinds sync.Map

func kindOf(task string) taskKind {
	f := strings.Split(task, ".")
	if v, ok := kinds.Load(f[0] + "." + f[2]); ok {
		return v.(taskKind)
	}
	return taskKind{need: room{CPU: 1000}, takes: time.Second}
}

// activeRun is a run that a worker has.
type activeRun struct {
	task      string
	run       int64
	began     time.Time
	restored  time.Duration // work done before, by the checkpoint
	stopped   bool
	lastSaved string
	history   *runHistory
}

// endedRun is an entry of the list of ended runs.
type endedRun struct {
	n       int64
	task    string
	run     int64
	how     string
	saved   string
	history *runHistory
}

// worker is the stand-in of a worker; one incarnation after another runs at its address.
type worker struct {
	id, rack string
	kind     string
	capacity room
	st       *store
	addr     string

	mu      sync.Mutex
	changed *sync.Cond
	up      bool
	server  *http.Server
	born    time.Time
	seq     int64
	fence   int64
	lease   time.Time // end of the lease, on this machine's clock
	lapsed  time.Time // when a lease ended last
	running map[string]*activeRun
	ended   []endedRun
	lastN   int64
	// highest is the highest run that has been stopped or has ended here, by work unit.
	highest map[string]int64
	state   string
	// roundTrip is the time that an order and its answer are in transit.
	roundTrip time.Duration
}

func newWorker(st *store, id, rack string, capacity room) *worker {
	w := &worker{id: id, rack: rack, kind: "a", capacity: capacity, st: st, state: "ready"}
	w.changed = sync.NewCond(&w.mu)
	l := listen()
	w.addr = l.Addr().String()
	w.boot(l)
	go w.tick()
	return w
}

// boot begins an incarnation that listens on l.
func (w *worker) boot(l net.Listener) {
	w.mu.Lock()
	w.up, w.born, w.seq, w.fence, w.lastN = true, time.Now(), 0, 0, 0
	w.lease, w.running, w.ended, w.highest = time.Time{}, map[string]*activeRun{}, nil, map[string]int64{}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/run-start", w.handle(w.start))
	mux.HandleFunc("POST /v1/run-stop", w.handle(w.stop))
	mux.HandleFunc("POST /v1/hold", w.handle(w.hold))
	w.server = &http.Server{Handler: mux}
	srv := w.server
	w.mu.Unlock()
	go func() { _ = srv.Serve(l) }()
	note(w.id, "is up, born %d", w.born.UnixMilli())
	w.register()
}

// crash ends the incarnation and everything that it runs. The entry stays.
func (w *worker) crash() {
	w.mu.Lock()
	w.up = false
	now := time.Now()
	for _, r := range w.running {
		r.history.end(now, "crashed")
	}
	note(w.id, "crashes with %d running, %d ends listed up to %d", len(w.running), len(w.ended), w.lastN)
	w.running = map[string]*activeRun{}
	srv := w.server
	w.changed.Broadcast()
	w.mu.Unlock()
	_ = srv.Close()
}

// downTime is how long a worker is down that a work unit has crashed.
const downTime = 2 * time.Second

// crashAndReturn crashes the worker and starts it again under its id.
func (w *worker) crashAndReturn() {
	w.crash()
	time.Sleep(downTime)
	for w.restart() != nil {
		time.Sleep(50 * time.Millisecond)
	}
}

// restart begins a new incarnation under the same id at the same address.
func (w *worker) restart() error {
	l, err := net.Listen("tcp4", w.addr)
	if err != nil {
		return err
	}
	w.boot(l)
	return nil
}

func (w *worker) register() {
	w.mu.Lock()
	if !w.up {
		w.mu.Unlock()
		return
	}
	w.seq++
	e := map[string]any{
		"id": w.id, "service": poolName, "address": w.addr, "zone": zoneName, "version": "1", "slots": 8, "state": w.state,
		"coldLeftMs": 0, "seq": w.seq, "born": w.born.UnixMilli(), "clockMs": w.clockMs(), "capacity": w.capacity,
		"labels": []string{w.kind, w.rack},
	}
	w.mu.Unlock()
	if !w.st.isSilent() {
		w.st.put("servers", w.id, e)
	}
}

// clockMs returns the worker's steady clock, which begins at its start.
func (w *worker) clockMs() int64 { return time.Since(w.born).Milliseconds() + 1 }

// tick completes runs, ends leases and writes heartbeats.
func (w *worker) tick() {
	beat := time.Now()
	for range time.Tick(5 * time.Millisecond) {
		if time.Since(beat) > heartbeat {
			beat = time.Now()
			w.register()
		}
		w.mu.Lock()
		w.advance()
		w.mu.Unlock()
	}
}

// advance brings the runs up to the present; w.mu must be held.
func (w *worker) advance() {
	if !w.up {
		return
	}
	now := time.Now()
	if !w.lease.IsZero() && now.After(w.lease) {
		w.lapsed = w.lease
		w.lease = time.Time{}
		for _, r := range w.running {
			w.end(r, "lapsed", now)
		}
	}
	for _, r := range w.running {
		if now.Sub(r.began)+r.restored >= kindOf(r.task).takes && !r.stopped {
			w.end(r, "done", now)
		}
	}
}

// end ends a run; w.mu must be held.
func (w *worker) end(r *activeRun, how string, now time.Time) {
	delete(w.running, r.task)
	w.lastN++
	saved := ""
	if how != "done" {
		saved = w.checkpoint(r, now)
	}
	w.ended = append(w.ended, endedRun{w.lastN, r.task, r.run, how, saved, r.history})
	w.highest[r.task] = max(w.highest[r.task], r.run)
	r.history.end(now, how)
	w.changed.Broadcast()
}

// checkpoint returns the run's present checkpoint: the work unit's progress, which no two runs share.
func (w *worker) checkpoint(r *activeRun, now time.Time) string {
	if !kindOf(r.task).saves {
		return ""
	}
	done := (now.Sub(r.began) + r.restored).Truncate(2 * time.Second)
	if done <= r.restored {
		return r.lastSaved
	}
	return checkpointOf(r.task, done)
}

type orderRequest struct {
	Task       string `json:"task"`
	Run        int64  `json:"run"`
	Spec       string `json:"spec"`
	DeadlineMs int64  `json:"deadlineMs"`
	Fence      int64  `json:"fencingToken"`
	Checkpoint string `json:"checkpoint"`
	Acked      int64  `json:"ackedUpto"`
	WaitMs     int64  `json:"waitMs"`
}

// handle wraps an order: it checks the incarnation and the generation number.
func (w *worker) handle(order func(in orderRequest) (int, map[string]any)) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		var in orderRequest
		if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
			answer(rw, http.StatusBadRequest, map[string]any{"error": err.Error()})
			return
		}
		if r.Header.Get("X-Greengageline-Expected-Instance") != w.id {
			answer(rw, http.StatusMisdirectedRequest, map[string]any{})
			return
		}
		time.Sleep(w.roundTrip)
		w.mu.Lock()
		w.advance()
		born := w.born
		var status int
		body := map[string]any{}
		if in.Fence < w.fence {
			status, body["reason"] = http.StatusConflict, "fence"
		} else {
			w.fence = in.Fence
			status, body = order(in)
		}
		body["clockMs"], body["born"] = w.clockMs(), w.born.UnixMilli()
		gone := !w.up || w.born != born
		w.mu.Unlock()
		if gone {
			panic(http.ErrAbortHandler)
		}
		answer(rw, status, body)
	}
}

// extend extends the lease to a time on the worker's clock; w.mu must be held.
func (w *worker) extend(deadlineMs int64) {
	if deadlineMs == 0 {
		return
	}
	until := w.born.Add(time.Duration(deadlineMs) * time.Millisecond)
	if limit := time.Now().Add(maxHold); until.After(limit) {
		until = limit
	}
	if until.After(w.lease) && until.After(time.Now()) {
		w.lease = until
	}
}

func (w *worker) start(in orderRequest) (int, map[string]any) {
	conflict := func(reason string) (int, map[string]any) {
		return http.StatusConflict, map[string]any{"reason": reason}
	}
	if r := w.running[in.Task]; r != nil && r.run == in.Run {
		w.extend(in.DeadlineMs)
		return http.StatusOK, map[string]any{}
	}
	if in.Run <= w.highest[in.Task] || w.running[in.Task] != nil {
		w.extend(in.DeadlineMs)
		return conflict("old")
	}
	if in.DeadlineMs <= w.clockMs() {
		return conflict("late")
	}
	free := w.capacity
	for _, r := range w.running {
		free = free.less(kindOf(r.task).need)
	}
	w.extend(in.DeadlineMs)
	k := kindOf(in.Task)
	if !free.fits(k.need) {
		return conflict("room")
	}
	r := &activeRun{task: in.Task, run: in.Run, began: time.Now(), lastSaved: in.Checkpoint}
	if in.Checkpoint != "" {
		r.restored = max(0, progressOf(in.Checkpoint)-restore)
	}
	r.history = recordStart(w.id, in.Task, in.Run, in.Fence, r.began)
	w.running[in.Task] = r
	if k.deadly {
		w.up = false
		go w.crashAndReturn()
	}
	return http.StatusOK, map[string]any{}
}

func (w *worker) stop(in orderRequest) (int, map[string]any) {
	w.highest[in.Task] = max(w.highest[in.Task], in.Run)
	if r := w.running[in.Task]; r != nil && r.run == in.Run && !r.stopped {
		r.stopped = true
		note(w.id, "stops %s run %d", in.Task, in.Run)
		time.AfterFunc(killGrace/4, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			if w.running[in.Task] == r {
				w.end(r, "stopped", time.Now())
			}
		})
	}
	return http.StatusOK, map[string]any{}
}

func (w *worker) hold(in orderRequest) (int, map[string]any) {
	w.extend(in.DeadlineMs)
	now := time.Now()
	for len(w.ended) > 0 && w.ended[0].n <= in.Acked {
		e := w.ended[0]
		e.history.acknowledge(now, w.lapsed, in.Acked)
		w.ended = w.ended[1:]
	}
	born := w.born
	until := now.Add(min(time.Duration(in.WaitMs)*time.Millisecond, maxHoldWait))
	timer := time.AfterFunc(time.Until(until), func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.changed.Broadcast()
	})
	defer timer.Stop()
	for len(w.ended) == 0 && time.Now().Before(until) && w.up && w.born == born {
		w.changed.Wait()
	}
	running, ended := [][]any{}, [][]any{}
	now = time.Now()
	for _, r := range w.running {
		k := kindOf(r.task)
		percent := min(100, int(100*(now.Sub(r.began)+r.restored)/k.takes))
		running = append(running, []any{r.task, r.run, w.checkpoint(r, now), percent, k.need.CPU})
	}
	for _, e := range w.ended[:min(len(w.ended), maxListed)] {
		e.history.list(now)
		ended = append(ended, []any{e.n, e.task, e.run, e.how, e.saved})
	}
	return http.StatusOK, map[string]any{"running": running, "ended": ended}
}

// checkpoints has the progress that each checkpoint stands for.
var checkpoints sync.Map

// checkpointOf returns the checkpoint of a work unit at some progress: 16 hexadecimal digits, no two alike.
func checkpointOf(task string, done time.Duration) string {
	sum := sha256.Sum256([]byte(task + done.String()))
	c := hex.EncodeToString(sum[:8])
	checkpoints.Store(c, done)
	return c
}

func progressOf(checkpoint string) time.Duration {
	if done, ok := checkpoints.Load(checkpoint); ok {
		return done.(time.Duration)
	}
	return 0
}
