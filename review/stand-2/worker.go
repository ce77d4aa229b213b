package main

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	maxListedEnds = 500
	beatInterval  = 1500 * time.Millisecond
	// killGrace is how long a stop takes, failTime how long a run takes that fails, and maxHold the longest lease.
	killGrace = 100 * time.Millisecond
	failTime  = 100 * time.Millisecond
	maxHold   = 6 * time.Second
)

// run is one run of a work unit at a worker.
type run struct {
	task     string
	run      int64
	began    time.Time
	work     time.Duration // 0: it lasts
	fails    bool
	stopping time.Time // when the stop ends it; zero if none was ordered
}

func (r *run) percent(now time.Time) int {
	if r.work == 0 {
		return 100
	}
	return min(99, int(100*now.Sub(r.began)/r.work))
}

// ended is the end of a run as it is listed.
type ended struct {
	n    int64
	task string
	run  int64
	how  string
}

// worker is a stand-in of a worker. It keeps nothing beyond its process.
type worker struct {
	id, addr, storeAddr, service, kind, rack string
	gpus                                     int
	born                                     int64
	began                                    time.Time

	mu       sync.Mutex
	token    int64
	deadline time.Time
	runs     map[string]*run
	highest  map[string]int64 // the highest run that was stopped or ended, by work unit
	ends     []ended
	lastEnd  int64
	seq      int64
	failing  bool
	// changed is closed and replaced with each end.
	changed chan struct{}
}

// runWorker runs a worker until it is killed. It writes a line for each order and end to standard output.
func runWorker(args []string) error {
	w := &worker{born: time.Now().UnixMilli(), began: time.Now(), runs: map[string]*run{}, highest: map[string]int64{}, changed: make(chan struct{})}
	fs := flag.NewFlagSet("worker", flag.ContinueOnError)
	fs.StringVar(&w.id, "id", "", "its id")
	fs.StringVar(&w.addr, "addr", "", "its address")
	fs.StringVar(&w.storeAddr, "store", "", "the store's address")
	fs.StringVar(&w.service, "service", "", "its service")
	fs.StringVar(&w.kind, "kind", "a", "its kind")
	fs.StringVar(&w.rack, "rack", "r1", "its rack")
	fs.IntVar(&w.gpus, "gpus", 8, "its accelerators")
	if err := fs.Parse(args); err != nil {
		return err
	}
	l, err := net.Listen("tcp4", w.addr)
	if err != nil {
		return err
	}
	go w.beat()
	go w.work()
	w.say("up")
	return http.Serve(l, w)
}

// say writes a line of the record.
func (w *worker) say(format string, args ...any) {
	fmt.Printf("worker %s: %s\n", w.id, fmt.Sprintf(format, args...))
}

func (w *worker) clockMs(t time.Time) int64 { return t.Sub(w.began).Milliseconds() }

// beat writes the worker's entry at intervals.
func (w *worker) beat() {
	client := http.Client{Timeout: time.Second}
	for {
		w.mu.Lock()
		w.seq++
		value, _ := json.Marshal(map[string]any{
			"service": w.service, "address": w.addr, "zone": "z1", "version": "v1", "slots": 8, "state": "ready", "coldLeftMs": 0,
			"capacity": map[string]int{"cpu": 64000, "memMb": 262144, "gpu": w.gpus}, "labels": []string{w.kind, w.rack},
			"born": w.born, "clockMs": w.clockMs(time.Now()), "seq": w.seq,
		})
		w.mu.Unlock()
		body, _ := json.Marshal(row{Key: w.id, Value: value})
		if resp, err := client.Post("http://"+w.storeAddr+"/standin/beat", "application/json", bytes.NewReader(body)); err == nil {
			_ = resp.Body.Close()
		}
		time.Sleep(beatInterval)
	}
}

// work ends the runs whose time has come.
func (w *worker) work() {
	for {
		time.Sleep(10 * time.Millisecond)
		now := time.Now()
		w.mu.Lock()
		for _, r := range w.runs {
			switch {
			case now.After(w.deadline):
				w.end(r, "lapsed")
			case !r.stopping.IsZero() && now.After(r.stopping):
				w.end(r, "stopped")
			case r.fails && now.Sub(r.began) > failTime:
				w.end(r, "failed")
			case r.work > 0 && now.Sub(r.began) >= r.work:
				w.end(r, "done")
			}
		}
		w.mu.Unlock()
	}
}

// end ends a run; the caller holds mu.
func (w *worker) end(r *run, how string) {
	delete(w.runs, r.task)
	w.highest[r.task] = max(w.highest[r.task], r.run)
	w.lastEnd++
	w.ends = append(w.ends, ended{w.lastEnd, r.task, r.run, how})
	w.say("%s run %d ended %s as %d", r.task, r.run, how, w.lastEnd)
	close(w.changed)
	w.changed = make(chan struct{})
}

// order is the body of any order.
type order struct {
	Task       string `json:"task"`
	Run        int64  `json:"run"`
	Spec       string `json:"spec"`
	DeadlineMs int64  `json:"deadlineMs"`
	Token      int64  `json:"fencingToken"`
	AckedUpto  int64  `json:"ackedUpto"`
	WaitMs     int64  `json:"waitMs"`
}

func (w *worker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/standin/failing" {
		w.mu.Lock()
		w.failing = r.URL.Query().Get("on") == "1"
		w.say("fails all that it starts: %t", w.failing)
		w.mu.Unlock()
		return
	}
	if want := r.Header.Get("X-Greengageline-Expected-Instance"); want != "" && want != w.id {
		answer(out, http.StatusMisdirectedRequest, w.reply())
		return
	}
	var in order
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		answer(out, http.StatusBadRequest, w.reply())
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if in.Token < w.token {
		w.refuse(out, "fence")
		return
	}
	w.token = in.Token
	switch r.URL.Path {
	case "/v1/hold":
		w.hold(out, r, in)
	case "/v1/run-start":
		w.start(out, in)
	case "/v1/run-stop":
		w.highest[in.Task] = max(w.highest[in.Task], in.Run)
		if cur := w.runs[in.Task]; cur != nil && cur.run <= in.Run && cur.stopping.IsZero() {
			cur.stopping = time.Now().Add(killGrace)
		}
		w.say("%s run %d told to stop", in.Task, in.Run)
		answer(out, http.StatusOK, w.reply())
	default:
		http.NotFound(out, r)
	}
}

// reply returns the fields that every answer has.
func (w *worker) reply() map[string]any {
	return map[string]any{"clockMs": w.clockMs(time.Now()), "born": w.born}
}

func (w *worker) refuse(out http.ResponseWriter, reason string) {
	body := w.reply()
	body["reason"] = reason
	answer(out, http.StatusConflict, body)
}

// extend moves the end of the leases to a time on the worker's clock, if that is later.
func (w *worker) extend(deadlineMs int64) {
	now := time.Now()
	until := w.began.Add(time.Duration(deadlineMs) * time.Millisecond)
	if latest := now.Add(maxHold); until.After(latest) {
		until = latest
	}
	if deadlineMs > 0 && until.After(w.deadline) {
		w.deadline = until
	}
}

// start begins a run; the caller holds mu. A spec has the time that a run takes, and what it needs is not checked here:
// the cases stay far below the room.
func (w *worker) start(out http.ResponseWriter, in order) {
	if cur := w.runs[in.Task]; cur != nil && cur.run == in.Run {
		answer(out, http.StatusOK, w.reply())
		return
	}
	w.extend(in.DeadlineMs)
	switch {
	case in.Run <= w.highest[in.Task]:
		w.refuse(out, "old")
		return
	case in.DeadlineMs <= w.clockMs(time.Now()):
		w.refuse(out, "late")
		return
	}
	work := time.Duration(0)
	if text, ok := strings.CutPrefix(in.Spec, "work "); ok {
		work, _ = time.ParseDuration(strings.Fields(text)[0])
	}
	if old := w.runs[in.Task]; old != nil {
		w.say("%s run %d begins while run %d is there", in.Task, in.Run, old.run)
	}
	w.runs[in.Task] = &run{task: in.Task, run: in.Run, began: time.Now(), work: work, fails: w.failing}
	w.say("%s run %d begins", in.Task, in.Run)
	answer(out, http.StatusOK, w.reply())
}

// hold answers with both lists, at once if there are ends; the caller holds mu.
func (w *worker) hold(out http.ResponseWriter, r *http.Request, in order) {
	w.extend(in.DeadlineMs)
	kept := w.ends[:0]
	for _, e := range w.ends {
		if e.n > in.AckedUpto {
			kept = append(kept, e)
		}
	}
	w.ends = kept
	if in.AckedUpto > 0 {
		w.say("ends up to %d are taken note of", in.AckedUpto)
	}
	if len(w.ends) == 0 && in.WaitMs > 0 {
		changed := w.changed
		w.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(time.Duration(min(in.WaitMs, 2000)) * time.Millisecond):
		case <-r.Context().Done():
		}
		w.mu.Lock()
	}
	now := time.Now()
	running, ends := [][]any{}, [][]any{}
	for _, r := range w.runs {
		running = append(running, []any{r.task, r.run, "", r.percent(now), 0})
	}
	for _, e := range w.ends[:min(len(w.ends), maxListedEnds)] {
		ends = append(ends, []any{e.n, e.task, e.run, e.how, ""})
	}
	body := w.reply()
	body["running"], body["ended"] = running, ends
	answer(out, http.StatusOK, body)
}
