package main

import (
	"fmt"
	"time"
)

func init() { cases["deadly"] = deadly }

// deadly hands in a job whose work unit crashes each worker that starts it. The unit may be started twice more after
// three workers have crashed under it.
func deadly(e *env) ([]string, error) {
	const (
		id, prefix = "5c0e7a21d94b36f8", "/desk/"
		takes      = 2500 * time.Millisecond
		mostStarts = 3 + 2
	)
	e.st.putConfig(3, queue{name: "desk", prefix: prefix, priority: 1, attempts: 2})
	e.addWorkers(10, room{CPU: 64000, MemMb: 262144, GPU: 8})
	if err := e.addNodes(0.4, 0.4, 0.4); err != nil {
		return nil, err
	}
	j := job{Spec: "letters", Phases: []phase{{Count: 1, CPU: 1000, MemMb: 64, EstimateMs: takes.Milliseconds()}}}
	kinds.Store(id+".0", taskKind{need: room{1000, 64, 0}, takes: takes, deadly: e.trouble})
	if !handIn(e.nodes, prefix, id, j) {
		return nil, fmt.Errorf("%w: the job was not accepted", errSetup)
	}
	time.Sleep(40 * time.Second)
	note("check", "the job is shown as %q after %d starts", stateOf(e.nodes[0], prefix, id), len(runsOf(id)))
	if n := len(runsOf(id)); n > mostStarts {
		return []string{fmt.Sprintf("%s.0.0.0 was started %d times and crashed the worker each time", id, n)}, nil
	}
	return nil, nil
}
