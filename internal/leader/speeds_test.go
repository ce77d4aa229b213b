package leader

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"greengageline/internal/rows"
	"greengageline/internal/speed"
	"greengageline/pkg/model"
)

// factorAt returns what the owner estimates for a worker.
func factorAt(o *Owner, worker string) (e speed.Estimate) {
	o.postAndWait(context.Background(), func() { e = o.engine.Speeds.Factor(worker) })
	return e
}

// learnSpeeds starts a simulation of nine workers, the first three of which take 2.4 times as long, lets it run for a
// time and then kills the owner.
func learnSpeeds(is *is.I, span time.Duration) (sim *simulation, nodes []*testNode, old *testNode, stop func()) {
	sim, nodes, stop = startSimulation(9, 3)
	for i, m := range []string{"w0", "w1", "w2", "w3", "w4", "w5", "w6", "w7", "w8"} {
		sim.worker(m).runTime.set([]time.Duration{1680 * time.Millisecond, 700 * time.Millisecond}[min(i/3, 1)])
	}
	for i := range int(span / time.Second) {
		step := model.Step{Tasks: 18, EstimateMs: 1000, Each: model.Room{Millicores: 20000, MemoryMB: 1000, Accelerators: 1}}
		sim.submit(fmt.Sprintf("job%d", i), "bulk", step)
		time.Sleep(time.Second)
	}
	old = ownerOf(nodes)
	is.True(factorAt(old.LocalOwner(), "w1").Factor > 1.8)
	is.True(factorAt(old.LocalOwner(), "w5").Factor < 1.2)
	old.kill()
	return sim, nodes, old, stop
}

// Guards against an owner that never learns from gangs that end before the usual hold is answered: only looks tell their
// progress, and they end once the speeds are known.
func TestShortGangsAreLookedAt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		sim, nodes, stop := startSimulation(9, 1)
		defer stop()
		for i := range 9 {
			sim.worker(fmt.Sprintf("w%d", i)).runTime.set([]time.Duration{1700 * time.Millisecond, 700 * time.Millisecond}[min(i/3, 1)])
		}
		var looks []int64
		for i := range 40 {
			step := model.Step{Tasks: 9, Gang: true, EstimateMs: 1000, Each: model.Room{Millicores: 40000, MemoryMB: 1000, Accelerators: 1}}
			sim.submit(fmt.Sprintf("job%d", i), "bulk", step)
			time.Sleep(2 * time.Second)
			o := nodes[0].LocalOwner()
			o.postAndWait(context.Background(), func() { looks = append(looks, o.looksSent) })
		}
		t.Logf("looks by time: %v", looks)
		is.True(factorAt(nodes[0].LocalOwner(), "w1").Factor > 1.8)
		is.True(factorAt(nodes[0].LocalOwner(), "w5").Factor < 1.2)
		is.True(looks[39] > 0 && looks[39] <= 60)
		is.Equal(looks[39], looks[25])
	})
}

// newOwnerOf waits for an owner other than old that has read the stored state.
func newOwnerOf(nodes []*testNode, old *testNode) *Owner {
	for {
		for _, n := range nodes {
			if o := n.LocalOwner(); n != old && o != nil && o.rebuilt.Load() {
				return o
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// Guards against a new owner that takes all workers as alike until it has learned their speeds anew.
func TestNewOwnerKnowsSpeeds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		_, nodes, old, stop := learnSpeeds(is, 40*time.Second)
		defer stop()
		o := newOwnerOf(nodes, old)
		time.Sleep(time.Second)
		is.True(factorAt(o, "w1").Factor > 1.8)
		is.True(factorAt(o, "w5").Factor < 1.2)
	})
}

// Guards against an owner that ends, stops or believes nonsense when a row of the speeds is malformed: nothing is known
// of these workers, and work goes on.
func TestMalformedSpeedsAreUnknown(t *testing.T) {
	for name, value := range map[string][]byte{"empty": {}, "text": []byte("{}"), "version": {9, 0, 0, 1, 2, 3, 4}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				sim, nodes, old, stop := learnSpeeds(is, 20*time.Second)
				defer stop()
				_, _, err := sim.store.apply(rows.Txn{Put: []rows.Row{{Table: SpeedTable, Key: "0", Value: value}, {Table: SpeedTable, Key: "x", Value: value}}})
				is.NoErr(err)
				o := newOwnerOf(nodes, old)
				is.Equal(factorAt(o, "w1").Factor, 1.0)
				sim.submit("after", "urgent", oneGPU(2))
				time.Sleep(20 * time.Second)
				is.Equal(string(sim.state("after")), "completed")
				is.True(o.ctx.Err() == nil)
			})
		})
	}
}
