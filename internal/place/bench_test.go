package place

import (
	"fmt"
	"maps"
	"runtime"
	"slices"
	"testing"

	"greengageline/pkg/model"
)

// BenchmarkPolicy runs each scenario on the Engine and on the baseline and reports completion times in
// minutes, fragmentation and lost work.
func BenchmarkPolicy(b *testing.B) {
	for _, s := range []site{naidu(), tatry()} {
		for _, name := range slices.Sorted(maps.Keys(scenarios)) {
			b.Run(s.name+"/"+name+"/engine", func(b *testing.B) { benchPolicy(b, s, name, true) })
			b.Run(s.name+"/"+name+"/baseline", func(b *testing.B) { benchPolicy(b, s, name, false) })
		}
	}
}

func benchPolicy(b *testing.B, s site, name string, engine bool) {
	var runs []*sim
	for i := range b.N {
		var with scheduler = newBaseline()
		if engine {
			with = &Engine{}
		}
		runs = append(runs, runScenario(s, name, uint64(i+1), with))
	}
	all := map[string][]float64{}
	var frag, lost, left float64
	for _, m := range runs {
		for class, v := range m.completionMin {
			all[class] = append(all[class], v...)
		}
		frag += m.fragSum / float64(m.fragSamples)
		lost += m.lostHours / m.usefulHours
		left += float64(m.unfinished + m.refused)
	}
	n := float64(len(runs))
	for _, class := range []string{"small", "medium", "large"} {
		b.ReportMetric(percentile(all[class], 0.5), class+"-p50-min")
		b.ReportMetric(percentile(all[class], 0.99), class+"-p99-min")
	}
	b.ReportMetric(frag/n, "frag")
	b.ReportMetric(100*lost/n, "lost-%")
	b.ReportMetric(left/n, "left")
	b.ReportMetric(0, "ns/op")
}

// newLoadedEngine returns an engine with about nine tenths of n accelerators in use, two accelerators
// on each worker, and jobs queued behind.
func newLoadedEngine(n int) *Engine {
	e := &Engine{}
	for i := range n / 2 {
		e.Step(0, WorkerUp{VM: model.VM{
			ID: fmt.Sprintf("w%d", i), Zone: fmt.Sprintf("z%d", i%15), Rack: fmt.Sprintf("r%d", i/8),
			Accelerators: 2,
		}})
	}
	snap := Snapshot{Generation: 1, Policy: CompletionPolicy()}
	for i := range max(470*n/52_000, 4) {
		snap.Workspaces = append(snap.Workspaces, Workspace{
			Name:       fmt.Sprintf("ws%d", i),
			Guarantees: []Guarantee{{Shape: model.Shape{Tasks: 8, Each: 2}, Count: 3}},
		})
	}
	e.Step(0, Configure{Snapshot: snap})
	e.Step(0, Ready{})
	for i := range n * 9 / 10 {
		e.Step(int64(i), Enqueue{Job: Request{
			ID: fmt.Sprintf("f%d", i), Workspace: fmt.Sprintf("ws%d", i%len(snap.Workspaces)),
			Shape: model.Shape{Tasks: 1, Each: 1}, Idempotent: true, EstimateMs: hourMs, ArrivedMs: int64(i),
		}})
	}
	return e
}

// BenchmarkDecision measures one arrival and one end of a job at three pool sizes.
func BenchmarkDecision(b *testing.B) {
	for _, n := range []int{400, 4_000, 52_000} {
		for _, shape := range []model.Shape{{Tasks: 1, Each: 1}, {Tasks: 16, Each: 1}, {Tasks: 128, Each: 1}} {
			b.Run(fmt.Sprintf("accelerators=%d/gang=%d", n, shape.Tasks), func(b *testing.B) {
				benchDecision(b, n, shape)
			})
		}
	}
}

func benchDecision(b *testing.B, n int, shape model.Shape) {
	e := newLoadedEngine(n)
	// Free room for the gang, as if other jobs had ended.
	for i := 0; i < 2*shape.Tasks && i < n/3; i++ {
		e.Step(hourMs, Ended{ID: fmt.Sprintf("f%d", i), Outcome: Finished})
	}
	now := hourMs
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		now++
		id := fmt.Sprintf("x%d", i)
		out := e.Step(now, Enqueue{Job: Request{
			ID: id, Workspace: "ws0", Shape: shape, Idempotent: true, EstimateMs: hourMs, ArrivedMs: now,
		}})
		e.Step(now, Ended{ID: id, Outcome: Finished})
		if len(out) == 0 {
			e.Step(now, Cancel{ID: id})
		}
	}
}

// BenchmarkState measures the memory of an engine, in total and per worker with its jobs.
func BenchmarkState(b *testing.B) {
	for _, n := range []int{400, 4_000, 52_000} {
		b.Run(fmt.Sprintf("accelerators=%d", n), func(b *testing.B) {
			for range b.N {
				var before, after runtime.MemStats
				runtime.GC()
				runtime.ReadMemStats(&before)
				e := newLoadedEngine(n)
				runtime.GC()
				runtime.ReadMemStats(&after)
				b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(n/2), "B/worker+1.8-jobs")
				b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/(1<<20), "MB")
				runtime.KeepAlive(e)
			}
		})
	}
}

// BenchmarkRebuild measures how long an engine takes to fill: n/2 workers, a running job on nine
// tenths of the accelerators, and all claims. This is the engine's part of a takeover.
func BenchmarkRebuild(b *testing.B) {
	for _, n := range []int{400, 4_000, 52_000} {
		b.Run(fmt.Sprintf("accelerators=%d", n), func(b *testing.B) {
			for range b.N {
				newLoadedEngine(n)
			}
		})
	}
}
