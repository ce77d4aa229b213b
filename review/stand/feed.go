package main

import (
	"fmt"
	"net/http"
	"time"
)

func init() { cases["silent-feed"] = silentFeed }

// silentFeed makes the idle channels to the store silent and then cancels a job through a node that does not own
// the jobs. No work unit of the job may start later than cancelTime after the confirmation.
func silentFeed(e *env) ([]string, error) {
	const (
		id, prefix = "5c0e7a21d94b36f8", "/desk/"
		cancelTime = 3 * time.Second
		contact    = 3 * time.Second
		idle       = time.Second
	)
	e.st.putConfig(3, queue{name: "desk", prefix: prefix, priority: 1, attempts: 2})
	e.addWorkers(2, room{CPU: 64000, MemMb: 262144, GPU: 8})
	if err := e.addNodes(0.4, 0.4, 0.4); err != nil {
		return nil, err
	}
	j := job{Spec: "letters", Phases: []phase{
		{Count: 4, CPU: 1000, MemMb: 64, EstimateMs: 6800},
		{Count: 4, CPU: 1000, MemMb: 64, EstimateMs: 2000, After: []int{0}},
	}}
	if !submit(e.nodes, prefix, id, j, 6800*time.Millisecond, 2*time.Second) {
		return nil, fmt.Errorf("%w: the job was not accepted", errSetup)
	}
	if !awaitTrue(setupLimit, func() bool { return len(runsOf(id+".0.0")) == 4 }) {
		return nil, fmt.Errorf("%w: the job has not started", errSetup)
	}
	owner := e.st.owner()
	time.Sleep(1200 * time.Millisecond)
	silencedAt := time.Now()
	if e.trouble {
		note("proxy", "%d channels that were idle for %s are silent from now on", e.st.conns.silenceIdle(idle), idle)
	}
	// Another client's job comes first; its node then has a new channel to the store.
	n := e.otherNodes()[0]
	small := job{Spec: "letters", Phases: []phase{{Count: 1, CPU: 1000, MemMb: 64, EstimateMs: 500}}}
	if !submit([]*edge{n}, prefix, "00000000000000a1", small, 500*time.Millisecond) {
		return nil, fmt.Errorf("%w: the second job was not accepted", errSetup)
	}
	time.Sleep(800 * time.Millisecond)
	var confirmedAt time.Time
	for range 3 {
		if status, _ := request(n, http.MethodDelete, prefix+id, nil); status == http.StatusOK || status == http.StatusGone {
			confirmedAt = time.Now()
			break
		}
	}
	if confirmedAt.IsZero() {
		return nil, fmt.Errorf("%w: the cancel was not confirmed", errSetup)
	}
	time.Sleep(9 * time.Second)
	note("check", "owner before %s, after %s", owner, e.st.owner())
	var out []string
	for _, r := range runsOf(id) {
		if r.began.Sub(confirmedAt) > cancelTime && r.began.Sub(silencedAt) > contact {
			out = append(out, fmt.Sprintf("%s run %d began %.3f s after the cancel was confirmed, %.3f s after the channels went silent",
				r.task, r.run, r.began.Sub(confirmedAt).Seconds(), r.began.Sub(silencedAt).Seconds()))
		}
	}
	return out, nil
}
