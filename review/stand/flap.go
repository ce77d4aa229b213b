package main

import (
	"fmt"
	"net/http"
	"time"
)

func init() { cases["flap"] = flap }

// flap lets the only worker with a label go down and up by turns while a job waits for it or runs there. No run of
// the job ends as failed, so the job must not be shown as failed.
func flap(e *env) ([]string, error) {
	const (
		id, prefix = "5c0e7a21d94b36f8", "/desk/"
		period     = 1400 * time.Millisecond
		span       = 6500 * time.Millisecond
		takes      = 2500 * time.Millisecond
	)
	e.st.putConfig(3, queue{name: "desk", prefix: prefix, priority: 1, attempts: 2})
	e.addWorkers(10, room{CPU: 64000, MemMb: 262144, GPU: 8})
	w := e.workers[0]
	w.mu.Lock()
	w.kind = "b"
	w.mu.Unlock()
	w.register()
	if err := e.addNodes(0.4, 0.4, 0.4); err != nil {
		return nil, err
	}
	j := job{Spec: "letters", Phases: []phase{{Count: 2, CPU: 1000, MemMb: 64, EstimateMs: takes.Milliseconds(), RequiredLabel: "b"}}}
	if !submit(e.nodes, prefix, id, j, takes) {
		return nil, fmt.Errorf("%w: the job was not accepted", errSetup)
	}
	if !awaitTrue(setupLimit, func() bool { return len(runsOf(id)) == 2 }) {
		return nil, fmt.Errorf("%w: the job has not started", errSetup)
	}
	if e.trouble {
		for until := time.Now().Add(span); time.Now().Before(until); {
			w.crash()
			time.Sleep(period / 2)
			if err := w.restart(); err != nil {
				return nil, fmt.Errorf("%w: %w", errSetup, err)
			}
			time.Sleep(period / 2)
		}
		note(w.id, "stays up from now on")
	}
	state := ""
	awaitTrue(20*time.Second, func() bool {
		time.Sleep(300 * time.Millisecond)
		_, out := request(e.nodes[0], http.MethodGet, prefix+id, nil)
		state, _ = out["state"].(string)
		return state == "completed" || state == "failed"
	})
	failed := 0
	for _, r := range runsOf(id) {
		if r.how == "failed" {
			failed++
		}
	}
	if state == "failed" && failed == 0 {
		return []string{fmt.Sprintf("job %s is shown as failed; %d runs began and none ended as failed", id, len(runsOf(id)))}, nil
	}
	return nil, nil
}
