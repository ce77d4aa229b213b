package sched

import (
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"greengageline/internal/speed"
	"greengageline/pkg/model"
)

// estimate returns a good estimate of the speed of a simulated worker.
func (s *sim) estimate(worker string) speed.Estimate {
	f := s.factors[worker]
	return speed.Estimate{Factor: f, Low: 0.95 * f, High: 1.05 * f, Samples: 20}
}

// tailFactor is how many times as long the tasks of a tail take.
const tailFactor = 7

// misjudged returns how many times as long as its estimate a task takes on a typical worker: by the error of the
// estimate of its job, and if it belongs to the tail of its step.
func (s *sim) misjudged(ref TaskRef) float64 {
	k := s.kinds[s.kindOf[ref.Job]]
	if k.misjudged == 0 && s.tail == 0 {
		return 1
	}
	h := fnv.New64a()
	_, _ = h.Write([]byte(ref.Job))
	f := 1 + k.misjudged*(2*rand.New(rand.NewPCG(s.seed, h.Sum64())).Float64()-1)
	_, _ = h.Write([]byte(ref.String()))
	if rand.New(rand.NewPCG(s.seed, h.Sum64())).Float64() < s.tail {
		f *= tailFactor
	}
	return f
}

// unevenLoad is a pool of 112 workers under three queues: gangs of middle priority, short urgent gangs with little time,
// and wide steps of single tasks. Estimates are off by 20 to 50 %.
func unevenLoad() load {
	return load{
		name: "uneven", workers: 112, rackSize: 8, stopTime: 400 * time.Millisecond, spreadFactor: 3,
		room:   model.Room{Millicores: 32000, MemoryMB: 131072, Accelerators: 8},
		spaces: guarantees(4, 70),
		kinds: []kind{
			{
				queue: queue("revalue", 1, 2, 3, 1000), jobsPerSecond: 0.39, meanTasks: 13, maxTasks: 50, accelerators: []int{1, 2, 4, 8},
				each: model.Room{Millicores: 13000, MemoryMB: 30000}, meanMs: 7200, gang: true, oneRack: 0.6, checkpoints: 0.45,
				meanSteps: 1, failures: 0.005, worth: 3, lateWorth: 0.1, misjudged: 0.5,
			},
			{
				queue: queue("score", 0, 4, 1.5, 250), jobsPerSecond: 2.09, meanTasks: 5.4, maxTasks: 30, accelerators: []int{1, 2, 4, 8},
				each: model.Room{Millicores: 3700, MemoryMB: 12000}, meanMs: 2100, gang: true, oneRack: 0.8,
				meanSteps: 1, failures: 0.01, worth: 4, lateWorth: 0.2, misjudged: 0.2,
			},
			{
				queue: queue("sweep", 2, 2, 3, 3000), jobsPerSecond: 0.38, meanTasks: 39, maxTasks: 150, accelerators: []int{1},
				each: model.Room{Millicores: 2800, MemoryMB: 8000}, meanMs: 6500, checkpoints: 0.45,
				meanSteps: 1.3, failures: 0.01, worth: 1, lateWorth: 0.2, misjudged: 0.5,
			},
		},
	}
}

// randomSpeeds returns a factor for each worker: slow for about a fraction of them, fast for the others.
func randomSpeeds(fraction, slow, fast float64) func(int) float64 {
	return func(i int) float64 {
		if rand.New(rand.NewPCG(7, uint64(i))).Float64() < fraction {
			return slow
		}
		return fast
	}
}

// speedPatterns returns how the speeds of the workers of a pool may differ.
func speedPatterns() map[string]func(int) float64 {
	return map[string]func(int) float64{
		"a third slow":   randomSpeeds(1.0/3, 1.7, 0.7),
		"half slow":      randomSpeeds(0.5, 1.7, 0.7),
		"a quarter slow": randomSpeeds(0.25, 2, 1),
		"one slow rack": func(i int) float64 {
			if i < 8 {
				return 2
			}
			return 1
		},
		"1.1 to 4": func(i int) float64 { return 1.1 + 2.9*rand.New(rand.NewPCG(7, uint64(i))).Float64() },
		"none":     func(int) float64 { return 1 },
	}
}

// worthOf returns the fraction of its worth that a load earns over some days, in total and by kind, and the work lost.
func worthOf(l load, days int) (total float64, byKind []float64, lost float64) {
	var offered, earned float64
	byKind, offeredByKind := make([]float64, len(l.kinds)), make([]float64, len(l.kinds))
	for seed := range uint64(days) {
		s := newSim(l, seed)
		s.run(trafficSpan, simulationLimit)
		offered, earned, lost = offered+s.offered, earned+s.earned, lost+s.lost
		for i := range byKind {
			byKind[i] += s.earnedByKind[i]
			offeredByKind[i] += s.offeredByKind[i]
		}
	}
	for i := range byKind {
		byKind[i] /= offeredByKind[i]
	}
	return earned / offered, byKind, lost * lostWorkPrice / offered
}

// Guards against days on which half of the urgent gangs are late on a pool whose speeds are known, since one slow member
// makes a gang late: the worth on each pattern of speeds must exceed that of an engine that knows nothing by minGain.
func TestKnownSpeedsEarnMore(t *testing.T) {
	minGain := map[string]float64{
		"a third slow": 0.3, "half slow": 0.3, "a quarter slow": 0.3, "one slow rack": 0.05, "1.1 to 4": 0.2, "none": 0,
	}
	for name, pattern := range speedPatterns() {
		t.Run(name, func(t *testing.T) {
			l := unevenLoad()
			l.speeds = pattern
			unknown, unknownByKind, lost := worthOf(l, 3)
			t.Logf("speeds unknown: worth %.3f, by queue %.3f, lost work %.4f", unknown, unknownByKind, lost)
			l.known = true
			known, knownByKind, lost := worthOf(l, 3)
			t.Logf("speeds known:   worth %.3f, by queue %.3f, lost work %.4f", known, knownByKind, lost)
			if known < unknown+minGain[name] {
				t.Errorf("known speeds earn %.3f and unknown ones %.3f, want a gain of %.2f", known, unknown, minGain[name])
			}
		})
	}
}

// Guards against other decisions than before where all workers are alike: on days of high load and of bursts, an engine
// that knows all factors to be 1 must give the orders of one that knows nothing.
func TestAlikeWorkersChangeNothing(t *testing.T) {
	for _, name := range []string{"high", "urgent burst", "few starts, advised", "roster"} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l := loads()[name]
			want := ordersOf(l)
			l.known = true
			is.True(len(want) > 500)
			is.Equal(ordersOf(l), want)
		})
	}
}

// ordersOf returns the orders of a day under a load.
func ordersOf(l load) []Order {
	s := newSim(l, 3)
	var out []Order
	s.onOrder = func(o Order) { out = append(out, o) }
	s.run(trafficSpan, simulationLimit)
	return out
}

// speedEngine returns an engine with two racks of four workers, of which w0 to w3 are on one, with these factors; 0 means
// an unknown one. Each worker has 8 accelerators.
func speedEngine(factors ...float64) *Engine {
	e := &Engine{speedOf: func(id string) speed.Estimate {
		if f := factors[id[1]-'0']; f > 0 {
			return speed.Estimate{Factor: f, Low: f, High: f, Samples: 9}
		}
		return speed.Estimate{Factor: 1, Low: 1, High: 1}
	}}
	e.SetPlan(model.Plan{Spaces: guarantees(1, 8), Queues: []model.Queue{queue("tight", 0, 4, 1.5, 250), queue("loose", 1, 2, 4, 1000)}})
	for i := range factors {
		id := string([]byte{'w', byte('0' + i)})
		e.SetWorker(Worker{ID: id, Pool: "p", Rack: []string{"a", "b"}[i/4], Room: model.Room{Accelerators: 8}})
	}
	return e
}

// submit adds a job of one step of 2 s to the engine and returns the workers that the next pass starts it on.
func (e *Engine) submit(id, queueName string, step model.Step, now Moment) []string {
	step.EstimateMs = 2000
	e.Add(NewJob(&model.Work{ID: id, Workspace: "ws0", Queue: e.queues[queueName], AcceptedMs: now.UnixMs, Steps: []model.Step{step}}), now)
	e.Pass(now)
	var out []string
	for _, o := range e.TakeOrders() {
		if o.Task.Job == id && !o.Stop {
			out = append(out, o.Worker)
		}
	}
	slices.Sort(out)
	return out
}

// Guards against tight work and gangs on slow workers, loose work on fast ones, and gangs that mix them.
func TestPlacementBySpeed(t *testing.T) {
	whole, half := model.Room{Accelerators: 8}, model.Room{Accelerators: 4}
	for name, c := range map[string]struct {
		factors []float64
		queue   string
		step    model.Step
		want    []string
	}{
		"loose work leaves fast workers":             {[]float64{0.7, 1.7, 0.7, 0.7}, "loose", model.Step{Tasks: 1, Each: half}, []string{"w1"}},
		"loose work uses none that is too slow":      {[]float64{0.7, 5, 0.7, 1.7}, "loose", model.Step{Tasks: 1, Each: half}, []string{"w3"}},
		"tight work uses a fast worker":              {[]float64{1.7, 1.7, 1.7, 0.7}, "tight", model.Step{Tasks: 1, Each: half}, []string{"w3"}},
		"loose work tries an unknown worker":         {[]float64{0.7, 0.7, 0, 1.7}, "loose", model.Step{Tasks: 1, Each: half}, []string{"w2"}},
		"a loose gang tries none":                    {[]float64{0.7, 0.7, 0, 1.7}, "loose", model.Step{Tasks: 1, Each: half, Gang: true}, []string{"w3"}},
		"tight work prefers known to unknown":        {[]float64{0, 0, 0.7, 0}, "tight", model.Step{Tasks: 1, Each: half}, []string{"w2"}},
		"tight work prefers unknown to slow":         {[]float64{2, 2, 2, 0}, "tight", model.Step{Tasks: 1, Each: half}, []string{"w3"}},
		"a loose gang does not mix":                  {[]float64{1.7, 0.7, 1.7, 0.7}, "loose", model.Step{Tasks: 2, Each: whole, Gang: true}, []string{"w0", "w2"}},
		"a gang mixes rather than wait":              {[]float64{1.7, 0.7, 1.7, 0.7}, "tight", model.Step{Tasks: 3, Each: whole, Gang: true}, []string{"w0", "w1", "w3"}},
		"fast members within a rack":                 {[]float64{1.7, 0.7, 1.7, 0.7, 1.7, 1.7, 0.7, 1.7}, "tight", model.Step{Tasks: 2, Each: whole, Gang: true, OneRack: true}, []string{"w1", "w3"}},
		"several racks rather than a very slow one":  {[]float64{9, 9, 0.4, 9, 9, 9, 0.4, 9}, "tight", model.Step{Tasks: 2, Each: whole, Gang: true, OneRack: true}, []string{"w2", "w6"}},
		"one rack though another has faster workers": {[]float64{1, 1, 2, 2, 0.7, 2, 2, 2}, "tight", model.Step{Tasks: 2, Each: whole, Gang: true, OneRack: true}, []string{"w0", "w1"}},
		"the rack of the data before fast workers":   {[]float64{1.7, 1.7, 1.7, 1.7, 0.7, 0.7, 0.7, 0.7}, "loose", model.Step{Tasks: 1, Each: half, DataRack: "a"}, []string{"w0"}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			e := speedEngine(c.factors...)
			is.Equal(e.submit("job", c.queue, c.step, Moment{Steady: time.Second, UnixMs: epochMs}), c.want)
		})
	}
}

// Guards against urgent work that starts late on a slow worker, or stops a run there in vain, though it would be in time
// on a fast worker once a loose run there has stopped.
func TestUrgentWorkPreemptsWhereItIsInTime(t *testing.T) {
	is := is.New(t)
	e := speedEngine(0.7, 1.7, 1.7, 1.7)
	now := Moment{Steady: time.Second, UnixMs: epochMs}
	step := model.Step{Tasks: 1, Each: model.Room{Accelerators: 8}}
	for i, id := range []string{"a", "b", "c", "d"} {
		is.Equal(len(e.submit(id, "loose", step, now)), 1)
		now = Moment{Steady: now.Steady + time.Millisecond, UnixMs: now.UnixMs + int64(i)}
	}
	is.Equal(len(e.submit("urgent", "tight", step, now)), 0)
	run, worker, _ := e.CurrentRun(TaskRef{Job: "d"})
	is.Equal(worker, "w0")
	e.End(TaskRef{Job: "d"}, run, Stopped, "", now)
	e.Pass(now)
	_, worker, placed := e.CurrentRun(TaskRef{Job: "urgent"})
	is.True(placed)
	is.Equal(worker, "w0")
}
