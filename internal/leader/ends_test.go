package leader

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"greengageline/internal/rows"
	"greengageline/pkg/model"
)

// tinyTasks returns a step of tasks of which a worker holds more than it lists ends at a time.
func tinyTasks(n int) model.Step {
	return model.Step{Tasks: n, Each: model.Room{Millicores: 50, MemoryMB: 64}, EstimateMs: 4000}
}

// Guards against running tasks again that are done, because the worker lists only some of its ends at a time and the
// others are taken for lost (TWICE).
func TestEndsBeyondTheListAreNotLost(t *testing.T) {
	ownerDies := func(_ *simulation, nodes []*testNode) { ownerOf(nodes).kill() }
	for name, c := range map[string]struct {
		jobs, tasks int
		during      func(sim *simulation, nodes []*testNode)
	}{
		"none too many, owner dies":  {jobs: 1, tasks: 500, during: ownerDies},
		"one too many, owner dies":   {jobs: 1, tasks: 501, during: ownerDies},
		"100 too many, owner dies":   {jobs: 1, tasks: 600, during: ownerDies},
		"700 too many, owner dies":   {jobs: 2, tasks: 600, during: ownerDies},
		"100 too many, owner leaves": {jobs: 1, tasks: 600, during: func(_ *simulation, nodes []*testNode) { ownerOf(nodes).Resign(context.Background()) }},
		"700 too many, an outage of the store": {jobs: 2, tasks: 600, during: func(sim *simulation, _ []*testNode) {
			from := sim.now()
			sim.store.refuse.set(func(_, op string) error {
				if op == "commit" && sim.now()-from < 4200*time.Millisecond {
					return rows.ErrRefused
				}
				return nil
			})
		}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				sim, nodes, stop := startSimulation(1, 3)
				defer stop()
				sim.setRunTime(4 * time.Second)
				var ids []string
				for i := range c.jobs {
					ids = append(ids, fmt.Sprintf("j%d", i))
					sim.submit(ids[i], "bulk", tinyTasks(c.tasks))
				}
				for sim.running() < c.jobs*c.tasks {
					time.Sleep(10 * time.Millisecond)
				}
				// The tasks end over the time that their starts took, some seconds after the fault.
				for sim.running() == c.jobs*c.tasks {
					time.Sleep(10 * time.Millisecond)
				}
				c.during(sim, nodes)
				sim.awaitCompleted(t, ids, completionLimit)
				is.Equal(len(sim.starts), c.jobs*c.tasks) // each task has run once
				is.Equal(sim.violations, nil)
			})
		})
	}
}
