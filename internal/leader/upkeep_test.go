package leader

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"greengageline/internal/clock"
	"greengageline/internal/upkeep"
)

// A wave continues over a change of owner. Never are too many VMs in upkeep, no VM goes down while it has
// runs, no two owners give orders for one VM within minOwnerGap, and all jobs complete.
func TestUpkeepWaveContinuesAfterOwnerChange(t *testing.T) {
	cases := map[string]func(n *testNode){
		"the same owner all along": func(*testNode) {},
		"the owner dies":           (*testNode).kill,
		"the owner resigns":        func(n *testNode) { n.Resign(context.Background()) },
	}
	for name, during := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				sim, nodes, stop := startSimulation(6, 3)
				defer stop()
				ids := sim.submitAll(9)
				time.Sleep(300 * time.Millisecond)
				sim.mu.Lock()
				sim.wave = &upkeep.Wave{Number: 1, VMs: []string{"w0", "w1", "w2", "w3"}, MaxDown: 2, TimeLimit: 30 * time.Second}
				sim.mu.Unlock()
				from := sim.now()
				for sim.upkeepOrderCount() < 3 && sim.now()-from < 30*time.Second { // the third order gets no answer
					time.Sleep(10 * time.Millisecond)
				}
				during(ownerOf(nodes))
				for n := 0; sim.reportedStatus() != "true" && sim.now()-from < 30*time.Second; n++ {
					time.Sleep(50 * time.Millisecond)
					id := fmt.Sprintf("k%d", n)
					ids = append(ids, id)
					sim.submit(id, "bulk", oneGPU(1+n%3)) // jobs arrive all the time
				}
				is.Equal(sim.reportedStatus(), "true")
				sim.mu.Lock()
				is.Equal(len(sim.upkeepUntil), 4)
				sim.mu.Unlock()
				sim.awaitCompleted(t, ids, time.Minute)
				is.Equal(sim.violations, nil)
			})
		})
	}
}

// upkeepOrderCount returns how many upkeep orders were sent.
func (sim *simulation) upkeepOrderCount() int {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return sim.upkeepOrders
}

// reportedStatus returns the status of wave 1 that was reported to the operator.
func (sim *simulation) reportedStatus() string {
	row, err := sim.store.client("test").Get(context.Background(), "status", "", "1")
	if err != nil {
		return err.Error()
	}
	return string(row.Value)
}

const (
	upkeepTime  = 2 * time.Second
	minOwnerGap = 3 * time.Second
)

// site returns a fake of the platform's VM service. A VM has the name of its worker; after its upkeep the
// worker starts again with a letter added to its name. Every third order is lost, and so is the answer to
// every fourth.
func (sim *simulation) site() *upkeep.Site {
	return &upkeep.Site{
		Waves: func(context.Context) ([]upkeep.Wave, error) {
			sim.mu.Lock()
			defer sim.mu.Unlock()
			if sim.wave == nil {
				return nil, nil
			}
			return []upkeep.Wave{*sim.wave}, nil
		},
		VMs: func(context.Context) ([]upkeep.VM, error) {
			sim.mu.Lock()
			defer sim.mu.Unlock()
			var out []upkeep.VM
			for id, m := range sim.workers {
				down := sim.upkeepUntil[id[:2]] > sim.now()
				if !m.dead.get() || down && len(id) == 2 {
					out = append(out, upkeep.VM{ID: id[:2], Up: !down, Down: down, Worker: id})
				}
			}
			return out, nil
		},
		Begin: func(ctx context.Context, vm string, _ int64, name string, epoch int64) error {
			clock.Sleep(ctx, messageDelay)
			sim.mu.Lock()
			sim.upkeepOrders++
			n := sim.upkeepOrders
			sim.mu.Unlock()
			sim.beginUpkeep(vm, orderSource{name, epoch, sim.now()}, n%3 == 0)
			if n%3 == 0 || n%4 == 0 {
				<-ctx.Done()
				return upkeep.ErrOutcomeUnknown
			}
			return nil
		},
		Report: func(wave int64, completed bool) (string, string, []byte) {
			return "status", fmt.Sprint(wave), []byte(fmt.Sprint(completed))
		},
	}
}

// beginUpkeep records an order for a VM and, unless it is lost, carries it out. It records a violation if
// the order breaks an invariant.
func (sim *simulation) beginUpkeep(vm string, source orderSource, lost bool) {
	m := sim.worker(vm)
	sim.workersMu.Lock()
	sim.mu.Lock()
	last, down := sim.lastOrderBy[vm], 0
	for _, until := range sim.upkeepUntil {
		if until > sim.now() {
			down++
		}
	}
	_, done := sim.upkeepUntil[vm]
	running := len(m.runs)
	atOnce := sim.wave.MaxDown
	sim.lastOrderBy[vm] = source
	if !done && !lost {
		sim.upkeepUntil[vm] = sim.now() + upkeepTime
	}
	sim.mu.Unlock()
	sim.workersMu.Unlock()
	if last.name != "" && last.name != source.name && source.at-last.at < minOwnerGap {
		sim.addViolation("%s and %s take turns at %s", last.name, source.name, vm)
	}
	if done || lost {
		return
	}
	if down >= atOnce {
		sim.addViolation("%s goes down as number %d", vm, down+1)
	}
	if running > 0 {
		sim.addViolation("%s goes down with %d runs", vm, running)
	}
	m.mu.Lock()
	m.dead.set(true)
	m.mu.Unlock()
	time.AfterFunc(upkeepTime, func() {
		sim.mu.Lock()
		defer sim.mu.Unlock()
		sim.addWorker(vm+"x", 2, m.runTime.get())
	})
}
