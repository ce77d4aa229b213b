package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"syscall"
	"time"
)

// The workers of one kind refuse all starts for busyFor; the owner's process is killed killAfter the jobs came.
const (
	busyWorkers = 4
	busyFor     = 6500 * time.Millisecond
	killAfter   = 1200 * time.Millisecond
	waitingJobs = 10
	// visible is visible_ms + 2 s of a small deployment.
	visible = 5 * time.Second
)

// owner returns the node that the ownership row names.
func (w *world) owner() *node {
	r, _ := w.store.get("lead", "", "all")
	var o struct {
		Owner string `json:"owner"`
	}
	if json.Unmarshal(r.Value, &o) != nil {
		return nil
	}
	for _, n := range w.nodes {
		if n.name == o.Owner {
			return n
		}
	}
	return nil
}

// playWaiting: jobs whose workers refuse their starts for a while, and a kill of the owner's process. TROUBLE=0: no kill.
func playWaiting(w *world) error {
	w.store = newStore(800, 2000)
	if err := w.begin(48, 8, 4, "", "", nil); err != nil {
		return err
	}
	stop := make(chan struct{})
	go w.watch(stop)
	defer close(stop)
	w.setKinds("b", busyWorkers)
	time.Sleep(3 * time.Second) // the entries with the new kind have been read
	for _, k := range w.workers[len(w.workers)-busyWorkers:] {
		k.mu.Lock()
		k.busy = true
		k.mu.Unlock()
	}
	w.note("%d workers refuse starts from now on", busyWorkers)
	until := time.Now().Add(busyFor)
	var jobs []*job
	for range waitingJobs {
		jobs = append(jobs, w.submit("/pule252/", []phase{{Count: 1, CPU: 4000, MemMB: 4096, EstimateMs: 2000, Label: "b", work: 2 * time.Second}}, false))
	}
	came := time.Now()
	time.Sleep(killAfter)
	n := w.owner()
	if n == nil {
		return errors.New("no owner is known")
	}
	if w.trouble {
		w.note("the process of the owner, %s, is killed", n.name)
		_ = n.cmd.Process.Signal(syscall.SIGKILL)
		_ = n.cmd.Wait()
	}
	time.Sleep(time.Until(came.Add(visible + 300*time.Millisecond)))
	for _, other := range w.nodes {
		if other == n {
			continue
		}
		status, answer, err := w.call(other, http.MethodGet, "/pule252/", nil)
		var out struct {
			Waiting int `json:"waiting"`
		}
		w.mu.Lock()
		begun := 0
		for _, j := range jobs {
			if j.started > 0 {
				begun++
			}
		}
		w.mu.Unlock()
		not := len(jobs) - begun
		w.note("GET /pule252/ at %s: %d %s %v; %d jobs haven't begun", other.name, status, answer, err, not)
		if err != nil || status != http.StatusOK || json.Unmarshal(answer, &out) != nil {
			continue
		}
		if time.Now().Before(until) && 2*out.Waiting < not {
			w.breakRule("MIXED: %s gives %d jobs as waiting; %d that were accepted over %s before haven't begun", other.name, out.Waiting, not, visible)
		}
	}
	states := map[string]int{}
	for _, j := range jobs {
		s, _ := w.look(j)
		states[s]++
	}
	w.note("states: %v", states)
	time.Sleep(time.Until(until))
	for _, k := range w.workers[len(w.workers)-busyWorkers:] {
		k.mu.Lock()
		k.busy = false
		k.mu.Unlock()
	}
	w.note("the workers take starts again")
	time.Sleep(8 * time.Second)
	done := 0
	for _, j := range jobs {
		if len(j.done) == j.units() {
			done++
		}
	}
	w.note("%s", fmt.Sprintf("%d of %d jobs are done", done, len(jobs)))
	return nil
}
