package main

import (
	"fmt"
	"net/http"
	"time"
)

func init() { cases["many-stops"] = manyStops }

// manyStops cancels a job of 2,000 small work units that run on one worker. All of them must have been stopped
// cancelTime + killGrace after the confirmation. Without the disruption a job of 20 work units is cancelled.
func manyStops(e *env) ([]string, error) {
	const (
		id, prefix = "5c0e7a21d94b36f8", "/desk/"
		steps      = 2
		takes      = 40 * time.Second
		cancelTime = 3 * time.Second
		// roundTrip is the time between two zones and back.
		roundTrip = 1800 * time.Microsecond
	)
	e.st.putConfig(3, queue{name: "desk", prefix: prefix, priority: 1, attempts: 2})
	e.addWorkers(2, room{CPU: 64000, MemMb: 262144, GPU: 8})
	for _, w := range e.workers {
		w.roundTrip = roundTrip
	}
	if err := e.addNodes(0.4, 0.4, 0.4); err != nil {
		return nil, err
	}
	units := 1000
	if !e.trouble {
		units = 10
	}
	j, durations := job{Spec: "letters"}, []time.Duration{}
	for range steps {
		j.Phases = append(j.Phases, phase{Count: units, CPU: 30, MemMb: 64, EstimateMs: takes.Milliseconds()})
		durations = append(durations, takes)
	}
	if !submit(e.nodes, prefix, id, j, durations...) {
		return nil, fmt.Errorf("%w: the job was not accepted", errSetup)
	}
	if !awaitTrue(setupLimit, func() bool { return len(runsOf(id)) >= steps*units }) {
		return nil, fmt.Errorf("%w: only %d work units have started", errSetup, len(runsOf(id)))
	}
	time.Sleep(3 * time.Second)
	if status, _ := request(e.nodes[0], http.MethodDelete, prefix+id, nil); status != http.StatusOK {
		return nil, fmt.Errorf("%w: the cancel was not confirmed", errSetup)
	}
	confirmedAt := time.Now()
	time.Sleep(20 * time.Second)
	var out []string
	for _, r := range runsOf(id) {
		if r.ended.IsZero() || r.ended.Sub(confirmedAt) > cancelTime+killGrace {
			out = append(out, fmt.Sprintf("%s run %d ran until %.3f s after the cancel was confirmed", r.task, r.run, r.ended.Sub(confirmedAt).Seconds()))
		}
	}
	return out, nil
}
