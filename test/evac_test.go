package test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"greengageline/internal/config"
	"greengageline/pkg/model"
)

// startsIn counts the runs that have started in a zone from a time until another.
func (sim *simCluster) startsIn(zone string, from, to time.Time) int {
	n := 0
	for _, w := range sim.workers {
		if w.VM.Zone != zone {
			continue
		}
		for _, r := range w.Record() {
			if r.StartMs >= from.UnixMilli() && r.StartMs < to.UnixMilli() {
				n++
			}
		}
	}
	return n
}

// Guards against an owner of a cell that starts jobs in an evacuated zone, also one that takes over later, and against a
// zone that stays closed after the request was withdrawn, or loses the jobs that run there.
func TestCellsStartNothingInEvacuatedZone(t *testing.T) {
	const zone = "suva"
	cases := map[string]struct {
		within time.Duration // from the request until nothing starts
		during func(sim *simCluster)
	}{
		"calm":           {2500 * time.Millisecond, func(*simCluster) {}}, // config_poll, and the start that it may overlap
		"the owner dies": {2500 * time.Millisecond, func(sim *simCluster) { sim.kill(sim.awaitOwner().name) }},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				sim := newSimCluster(t, 3, 8, 5)
				defer sim.close()
				sim.awaitOwner()
				callers := &callers{sim: sim}
				submit := func(part string, n int) {
					for i := range n {
						callers.submit(jobSpec("routes", fmt.Sprintf("%s%d", part, i), 1, 4, true, 2500, ""))
						time.Sleep(400 * time.Millisecond)
					}
				}
				began := time.Now()
				submit("a", 10)
				is.True(sim.startsIn(zone, began, time.Now()) > 0)
				other := sim.nodes[0]
				if other == sim.owner() {
					other = sim.nodes[1]
				}
				ctx := context.Background()
				err := other.Evacuate(ctx, config.Evacuation{Zone: "no-such-zone"})
				is.True(errors.Is(err, config.ErrInvalid))
				is.NoErr(other.Evacuate(ctx, config.Evacuation{Zone: zone, Author: "test"}))
				confirmed := time.Now()
				time.Sleep(300 * time.Millisecond)
				c.during(sim)
				submit("b", 40)
				withdrawn := time.Now()
				is.Equal(sim.startsIn(zone, confirmed.Add(c.within), withdrawn), 0)
				list, err := other.Config.Evacuations(ctx)
				is.NoErr(err)
				is.Equal(len(list), 1)
				is.NoErr(other.Evacuate(ctx, config.Evacuation{Zone: zone, Withdrawn: true}))
				for i := range 12 { // more than the other zone has room for
					callers.submit(jobSpec("routes", fmt.Sprint("c", i), 1, 4, true, 5000, ""))
				}
				callers.wg.Wait()
				is.True(sim.startsIn(zone, withdrawn, time.Now()) > 0)
				for _, s := range callers.submissions {
					is.Equal(s.job.State, model.Done)
				}
			})
		})
	}
}
