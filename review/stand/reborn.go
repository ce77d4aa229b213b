package main

import (
	"fmt"
	"time"
)

func init() { cases["reborn"] = reborn }

// reborn lets a worker crash and start again under its id while the store is down and the transaction that covers
// the worker's last ends is in flight. Later work units on the worker must run once.
func reborn(e *env) ([]string, error) {
	const prefix = "/desk/"
	e.st.putConfig(3, queue{name: "desk", prefix: prefix, priority: 1, attempts: 2})
	e.addWorkers(2, room{CPU: 64000, MemMb: 262144, GPU: 8})
	if err := e.addNodes(0.4, 0.4, 0.4); err != nil {
		return nil, err
	}
	run := func(id string, units int, takes time.Duration) bool {
		j := job{Spec: "letters", Phases: []phase{{Count: units, CPU: 1000, MemMb: 64, EstimateMs: takes.Milliseconds()}}}
		return submit(e.nodes, prefix, id, j, takes)
	}
	if !run("00000000000000a1", 40, time.Second) || !awaitState(e.nodes, prefix, "00000000000000a1", "completed", setupLimit) {
		return nil, fmt.Errorf("%w: the first job was not completed", errSetup)
	}
	if !run("00000000000000d4", 4, 12*time.Second) { // keeps the worker busy while the second job ends
		return nil, fmt.Errorf("%w: the long job was not accepted", errSetup)
	}
	const second, secondTakes = "00000000000000b2", 2500 * time.Millisecond
	if !run(second, 4, secondTakes) || !awaitTrue(setupLimit, func() bool { return len(runsOf(second)) == 4 }) {
		return nil, fmt.Errorf("%w: the second job has not started", errSetup)
	}
	first := runsOf(second)[0]
	var w *worker
	for _, x := range e.workers {
		if x.id == first.worker {
			w = x
		}
	}
	if e.trouble {
		time.Sleep(time.Until(first.began.Add(secondTakes - 100*time.Millisecond)))
		e.st.setSilentFrom(second)
		if !awaitTrue(setupLimit, e.st.isSilent) {
			return nil, fmt.Errorf("%w: no transaction covers the ends of the second job", errSetup)
		}
		time.Sleep(300 * time.Millisecond)
		w.crash()
		time.Sleep(500 * time.Millisecond)
		if err := w.restart(); err != nil {
			return nil, fmt.Errorf("%w: %w", errSetup, err)
		}
		time.Sleep(3200 * time.Millisecond)
		e.st.setSilent(false)
	}
	if !awaitState(e.nodes, prefix, second, "completed", 20*time.Second) {
		note("check", "the second job was not completed")
	}
	const third = "00000000000000c3"
	if !run(third, 30, 2500*time.Millisecond) {
		return nil, fmt.Errorf("%w: the third job was not accepted", errSetup)
	}
	if !awaitState(e.nodes, prefix, third, "completed", 30*time.Second) {
		note("check", "the third job was not completed")
	}
	time.Sleep(time.Second)
	return brokenTwice(), nil
}
