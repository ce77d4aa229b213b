package main

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"math/rand"
	"net/http"
	"sync"
	"time"
)

// The terms of the queue with advice, and its usual traffic.
const (
	decideMs   = 300
	perItemMs  = 45
	validityMs = 3000
	usualGap   = 2200 * time.Millisecond
	traffic    = 44 * time.Second
	// burstFrom, burstFor and burstTenths, in tenths of the usual traffic, are the burst of jobs: the largest that the site file names.
	burstFrom   = 8 * time.Second
	burstFor    = 4 * time.Second
	burstTenths = 26
)

// adviser says which workers may run a step. It handles one call at a time for each calling machine, in turn; only one
// machine calls.
type adviser struct {
	w  *world
	mu sync.Mutex
}

// allows reports whether a worker may run a step, which doesn't change: five of six may.
func allows(step, worker string) bool {
	h := fnv.New32a()
	_, _ = h.Write([]byte(step + " " + worker))
	return h.Sum32()%6 != 0
}

func (a *adviser) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var in struct {
		Step    string   `json:"step"`
		Workers []string `json:"workers"`
	}
	if r.Method != http.MethodPost || r.URL.Path != "/v1/advise" || json.NewDecoder(r.Body).Decode(&in) != nil || len(in.Workers) > 100 {
		reply(w, http.StatusBadRequest, map[string]any{})
		return
	}
	arrived := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	if r.Context().Err() != nil {
		return
	}
	time.Sleep(time.Duration(decideMs+perItemMs*len(in.Workers)) * time.Millisecond)
	good := [][]string{}
	until := time.Now().Add(validityMs * time.Millisecond)
	a.w.ticketMu.Lock()
	for _, id := range in.Workers {
		if k := a.w.workerByID(id); k != nil && allows(in.Step, id) {
			t := ticket{fmt.Sprintf("%08x", rand.Uint32()), until}
			k.tickets[in.Step] = t
			good = append(good, []string{id, t.text})
		}
	}
	a.w.ticketMu.Unlock()
	a.w.note("advice on %s: %d workers asked about, %d may run it; answered after %.2f s", in.Step, len(in.Workers), len(good), time.Since(arrived).Seconds())
	a.w.count("answers of the adviser")
	reply(w, http.StatusOK, map[string]any{"good": good, "validityMs": validityMs})
}

func (w *world) workerByID(id string) *worker {
	for _, k := range w.workers {
		if k.id == id {
			return k
		}
	}
	return nil
}

// playAdvice: a burst of jobs on a queue with advice. TROUBLE=0: the usual traffic only.
func playAdvice(w *world) error {
	w.store = newStore(800, 2000)
	addr, err := serve(&adviser{w: w})
	if err != nil {
		return err
	}
	if err := w.begin(48, 8, 4, addr, "", map[string]any{"decideMs": decideMs, "perItemMs": perItemMs, "validityMs": validityMs}); err != nil {
		return err
	}
	stop := make(chan struct{})
	go w.watch(stop)
	defer close(stop)
	var jobs []*job
	for began := time.Now(); time.Since(began) < traffic; {
		jobs = append(jobs, w.submit("/pufi791/", []phase{{Count: 2, CPU: 2000, MemMB: 1024, EstimateMs: 3000, work: 3 * time.Second}}, true))
		gap := usualGap
		if since := time.Since(began); w.trouble && since >= burstFrom && since < burstFrom+burstFor {
			gap = usualGap * 10 / burstTenths
		}
		time.Sleep(gap)
	}
	w.judge(jobs)
	return nil
}
