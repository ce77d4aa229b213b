package main

import (
	"fmt"
	"time"
)

func init() { cases["many-ends"] = manyEnds }

// manyEnds runs a job of 600 small work units. The process that owns the jobs is killed just before they end, so that
// a worker holds more ends than it lists at a time when the next owner asks. Each work unit must run once.
func manyEnds(e *env) ([]string, error) {
	const id, prefix, units = "5c0e7a21d94b36f8", "/desk/", 600
	e.st.putConfig(3, queue{name: "desk", prefix: prefix, priority: 1, attempts: 2})
	e.addWorkers(2, room{CPU: 64000, MemMb: 262144, GPU: 8})
	if err := e.addNodes(0.4, 0.4, 0.4); err != nil {
		return nil, err
	}
	takes := 4 * time.Second
	j := job{Spec: "letters", Phases: []phase{{Count: units, CPU: 100, MemMb: 64, EstimateMs: takes.Milliseconds()}}}
	if !submit(e.nodes, prefix, id, j, takes) {
		return nil, fmt.Errorf("%w: the job was not accepted", errSetup)
	}
	if !awaitTrue(setupLimit, func() bool { return len(runsOf(id)) >= units }) {
		return nil, fmt.Errorf("%w: only %d work units have started", errSetup, len(runsOf(id)))
	}
	first, last := runsOf(id)[0].began, runsOf(id)[0].began
	for _, r := range runsOf(id) {
		if r.began.Before(first) {
			first = r.began
		}
		if r.began.After(last) {
			last = r.began
		}
	}
	// No end is listed before the kill, and all work units have ended when the next owner asks.
	killAt := first.Add(takes - 300*time.Millisecond)
	if later := last.Add(takes - 700*time.Millisecond); later.After(killAt) {
		killAt = later
	}
	if e.trouble {
		time.Sleep(time.Until(killAt))
		n := e.ownerNode()
		n.kill()
		time.Sleep(2 * time.Second)
		if err := n.start(); err != nil {
			return nil, fmt.Errorf("%w: %w", errSetup, err)
		}
	}
	if !awaitState(e.nodes, prefix, id, "completed", 30*time.Second) {
		note("check", "the job was not completed")
	}
	time.Sleep(2 * time.Second)
	return brokenTwice(), nil
}
