package main

import (
	"fmt"
	"net/http"
	"time"
)

func init() { cases["flap"] = flap }

const (
	flapPeriod = 1400 * time.Millisecond
	flapSpan   = 6500 * time.Millisecond
)

// flap lets the only worker with a label go down and up by turns, first while a job of two work units runs there and
// then while a job runs there that lasts. No run of them ends as failed, so neither may be shown as failed.
func flap(e *env) ([]string, error) {
	const (
		prefix = "/desk/"
		takes  = 2500 * time.Millisecond
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
	short := phase{Count: 2, CPU: 1000, MemMb: 64, EstimateMs: takes.Milliseconds(), RequiredLabel: "b"}
	lasting := short
	lasting.LongRunning = true
	out, err := e.flapUnder(w, prefix, "00000000000000a1", short, takes, "completed")
	if err != nil {
		return nil, err
	}
	// A work unit that lasts ends only when its job is cancelled.
	more, err := e.flapUnder(w, prefix, "00000000000000b2", lasting, time.Hour, "running")
	return append(out, more...), err
}

// flapUnder runs a job of one step on w, lets w flap, and waits until the job is shown in the state want again.
func (e *env) flapUnder(w *worker, prefix, id string, p phase, takes time.Duration, want string) ([]string, error) {
	if !submit(e.nodes, prefix, id, job{Spec: "letters", Phases: []phase{p}}, takes) {
		return nil, fmt.Errorf("%w: job %s was not accepted", errSetup, id)
	}
	if !awaitTrue(setupLimit, func() bool { return len(runsOf(id)) == p.Count }) {
		return nil, fmt.Errorf("%w: job %s has not started", errSetup, id)
	}
	if e.trouble {
		for until := time.Now().Add(flapSpan); time.Now().Before(until); {
			w.crash()
			time.Sleep(flapPeriod / 2)
			if err := w.restart(); err != nil {
				return nil, fmt.Errorf("%w: %w", errSetup, err)
			}
			time.Sleep(flapPeriod / 2)
		}
		note(w.id, "stays up from now on")
	}
	time.Sleep(takes % time.Minute)
	state := ""
	awaitTrue(20*time.Second, func() bool {
		time.Sleep(300 * time.Millisecond)
		_, out := request(e.nodes[0], http.MethodGet, prefix+id, nil)
		state, _ = out["state"].(string)
		return state == want || state == "failed"
	})
	runs, failed := runsOf(id), 0
	for _, r := range runs {
		if r.how == "failed" {
			failed++
		}
	}
	if state == "failed" && failed == 0 {
		return []string{fmt.Sprintf("job %s is shown as failed; %d runs began and none ended as failed", id, len(runs))}, nil
	}
	return nil, nil
}
