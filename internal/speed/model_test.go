package speed

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"runtime"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// model draws the times of steps on workers whose speeds it knows and feeds a table with what an owner would see.
type model struct {
	t       Table
	rnd     *rand.Rand
	factors []float64 // true times, relative to the estimates
	now     time.Duration
	steps   int
	looks   int // at workers, once for all runs of a step
	// lastLook is the step and the worker of the last look.
	lastLook [2]int
	// tails is the fraction of tasks that take seven times as long, estimateError how far estimates are off, and few is
	// set if each step has only one or two tasks.
	tails, estimateError float64
	few                  bool
}

const rackSize = 8

func workerName(i int) string { return fmt.Sprintf("w%05d", i) }

func (m *model) worker(i int) Worker {
	return Worker{ID: workerName(i), Pool: "p", Rack: fmt.Sprintf("r%d", i/rackSize), Kind: fmt.Sprintf("k%d", i%2), StartedMs: 1}
}

// newModel returns a model of n workers, the i-th of which takes factor(i) times as long.
func newModel(seed uint64, n int, factor func(rnd *rand.Rand, i int) float64) *model {
	m := &model{rnd: rand.New(rand.NewPCG(seed, 1)), tails: 0.03, estimateError: 0.3}
	for i := range n {
		m.factors = append(m.factors, factor(m.rnd, i))
		m.t.SetWorker(m.worker(i))
	}
	return m
}

// step runs one step on random workers: a gang with progress reports at half a second, or tasks that are seen to end.
func (m *model) step() {
	m.steps++
	m.now += 100 * time.Millisecond
	kind := m.rnd.IntN(3)
	seconds, tasks := [...]float64{7.2, 2.1, 6.5}[kind], 1+m.rnd.IntN([...]int{25, 9, 77}[kind])
	if m.few {
		tasks = 1 + m.rnd.IntN(2)
	}
	noise := 0.15 + 0.15*m.rnd.Float64()
	estimate := seconds * math.Exp(m.rnd.NormFloat64()*m.estimateError)
	first := m.rnd.IntN(len(m.factors))
	for i := range tasks {
		w := m.rnd.IntN(len(m.factors))
		if kind == 1 {
			w = (first + i/2) % len(m.factors) // next to each other, two on a worker
		}
		m.run(w, Sample{
			Step: fmt.Sprint("step", m.steps), Queue: fmt.Sprint("q", kind), Task: i, Percent: 100, Ended: kind == 2,
			Estimate: time.Duration(estimate * float64(time.Second)),
		}, seconds*math.Exp(m.rnd.NormFloat64()*noise))
	}
}

// run adds the sample of a run on a worker that takes so many seconds on a typical one.
func (m *model) run(w int, s Sample, seconds float64) {
	took := seconds * m.factors[w]
	if m.rnd.Float64() < m.tails {
		took *= 7
	}
	s.Worker, s.At, s.Ran = workerName(w), m.now, time.Duration(took*float64(time.Second))
	if !s.Ended {
		look := [2]int{m.steps, w}
		if m.t.Wants(s.Worker) && m.lastLook != look {
			m.looks++
			m.lastLook = look
		}
		s.Ran, s.Percent = 500*time.Millisecond, int(100*0.5/took)
	}
	m.t.Observe(s)
}

// wrong returns the fraction of workers whose factor is off by more than 30 % after all are scaled alike, and the mean
// number of samples.
func (m *model) wrong() (part, samples float64) {
	off := make([]float64, len(m.factors))
	for i, f := range m.factors {
		e := m.t.Factor(workerName(i))
		off[i] = math.Log(e.Factor / f)
		samples += float64(e.Samples) / float64(len(off))
	}
	middle := slices.Sorted(slices.Values(off))[len(off)/2]
	for _, d := range off {
		if math.Abs(d-middle) > 0.26 {
			part += 1 / float64(len(off))
		}
	}
	return part, samples
}

// regret returns by how much longer gangs of five take on the workers of 30 that the factors choose than on the best
// ones, and by how much longer they take on any.
func (m *model) regret() (chosen, blind float64) {
	const gangs, offered, size = 300, 30, 5
	var best float64
	for range gangs {
		list := m.rnd.Perm(len(m.factors))[:offered]
		slowest := func(by func(i int) float64) float64 {
			slices.SortStableFunc(list, func(a, b int) int { return cmp.Compare(by(a), by(b)) })
			return slices.Max([]float64{m.factors[list[0]], m.factors[list[1]], m.factors[list[2]], m.factors[list[3]], m.factors[list[4]]})
		}
		blind += slowest(func(int) float64 { return 0 })
		chosen += slowest(func(i int) float64 { return m.t.Factor(workerName(i)).Factor })
		best += slowest(func(i int) float64 { return m.factors[i] })
	}
	return chosen/best - 1, blind/best - 1
}

// pattern is a distribution of the speeds, with the fraction of wrong factors that is allowed after 6 samples for each
// worker and after 16.
type pattern struct {
	factor       func(rnd *rand.Rand, i int) float64
	early, later float64
}

// twoClasses returns a pattern in which the part of the workers takes slow times as long and the others fast times.
func twoClasses(part, slow, fast float64) func(rnd *rand.Rand, _ int) float64 {
	return func(rnd *rand.Rand, _ int) float64 {
		if rnd.Float64() < part {
			return slow
		}
		return fast
	}
}

func allAlike(*rand.Rand, int) float64 { return 1 }

var patterns = map[string]pattern{
	"half":             {twoClasses(0.5, 2, 1), 0.03, 0.01},
	"a quarter":        {twoClasses(0.25, 2, 1), 0.03, 0.01},
	"a third, far off": {twoClasses(0.33, 1.7, 0.7), 0.03, 0.01},
	"one rack": {func(_ *rand.Rand, i int) float64 {
		if i/rackSize == 3 {
			return 1.8
		}
		return 1
	}, 0.03, 0.01},
	"1.1 to 4": {func(rnd *rand.Rand, _ int) float64 { return 1.1 * math.Pow(4/1.1, rnd.Float64()) }, 0.30, 0.10},
	"none":     {allAlike, 0, 0},
}

// Guards against speeds that are learned too slowly or wrongly, for any pattern of speeds, with tails and estimates that
// are off, so that gangs would get slow members. It covers 350 workers under the load of the three queues.
func TestSpeedsAreLearned(t *testing.T) {
	for name, p := range patterns {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			m := newModel(1, 350, p.factor)
			early := -1.0
			var part, samples, settled float64
			for samples < 16 {
				m.step()
				part, samples = m.wrong()
				if part > 0.05 {
					settled = samples
				}
				if samples >= 6 && early < 0 {
					early = part
				}
			}
			chosen, blind := m.regret()
			t.Logf("95 %% right after %.1f samples a worker; wrong after 6: %.3f, after 16: %.3f; gangs take %.2f longer than the best, any %.2f; %d looks",
				settled, early, part, chosen, blind, m.looks)
			is.True(early <= p.early)
			is.True(part <= p.later)
			is.True(chosen <= 0.1)
		})
	}
}

// Guards against workers that are taken as different where all are alike and only the tasks vary, so that placement
// would change for nothing, and against looks that go on there.
func TestWorkersThatAreAlikeStayEven(t *testing.T) {
	for name, c := range map[string]struct {
		workers              int
		tails, estimateError float64
	}{
		"usual":                 {350, 0.03, 0.3},
		"more tails, estimates": {350, 0.05, 0.5},
		"no tails":              {350, 0, 0.2},
		"many":                  {3000, 0.03, 0.3},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			for seed := range uint64(4) {
				m := newModel(seed, c.workers, allAlike)
				m.tails, m.estimateError = c.tails, c.estimateError
				for range 500 {
					m.step()
					is.True(m.t.Even("p"))
				}
				e := m.t.Factor(workerName(1))
				is.Equal([]float64{e.Factor, e.Low, e.High}, []float64{1, 1, 1})
				is.True(m.looks <= 200)
				is.Equal(len(m.t.TakeChanges()), 0)
			}
		})
	}
}

// Guards against steps of one or two tasks that tell nothing, where estimates are off by 50 %.
func TestSpeedsAreLearnedFromFewMembers(t *testing.T) {
	is := is.New(t)
	m := newModel(2, 60, twoClasses(0.33, 1.7, 0.7))
	m.few, m.estimateError = true, 0.5
	var part, samples, settled float64
	for samples < 16 {
		m.step()
		if part, samples = m.wrong(); part > 0.1 {
			settled = samples
		}
	}
	t.Logf("90 %% right after %.1f samples a worker; wrong after 16: %.3f", settled, part)
	is.True(settled < 14)
	is.True(part <= 0.1)
}

// samplesUntil counts the samples of a worker until its factor passes a test, at most 40. Each is of one task of a step
// with ten others.
func (m *model) samplesUntil(w int, passes func(f float64) bool) int {
	for n := range 40 {
		if passes(m.t.Factor(workerName(w)).Factor) {
			return n
		}
		m.steps++
		m.now += 100 * time.Millisecond
		for i := range 11 {
			at := w
			if i > 0 {
				at = m.rnd.IntN(len(m.factors))
			}
			m.run(at, Sample{Step: fmt.Sprint("step", m.steps), Queue: "q", Task: i, Percent: 100, Ended: true, Estimate: 5 * time.Second},
				5*math.Exp(m.rnd.NormFloat64()*0.2))
		}
	}
	return 40
}

// Guards against an estimate that stays when a worker turns slow for a while and recovers, in a pool where others are
// slow and in one where none is.
func TestChangedSpeedIsForgotten(t *testing.T) {
	for name, c := range map[string]struct {
		factor      func(rnd *rand.Rand, i int) float64
		slow, again int
	}{
		"others are slow": {twoClasses(0.33, 2.4, 1), 5, 6},
		"none is slow":    {allAlike, 12, 8},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			m := newModel(3, 100, c.factor)
			m.factors[0] = 1
			for range 100 {
				m.step()
			}
			m.factors[0] = 2.4
			slow := m.samplesUntil(0, func(f float64) bool { return f > 1.7 })
			m.factors[0] = 1
			again := m.samplesUntil(0, func(f float64) bool { return f < 1.2 })
			t.Logf("slow after %d samples, typical again after %d", slow, again)
			is.True(slow <= c.slow)
			is.True(again <= c.again)
		})
	}
}

// Guards against a worker that gets no work long after it was slow for a while, since it gets no run that would show that
// it has recovered, and against one that has always been slow and is forgotten.
func TestSuddenSlownessIsForgottenWithoutRuns(t *testing.T) {
	for name, always := range map[string]bool{"turned slow": false, "always slow": true} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			m := newModel(3, 100, twoClasses(0.33, 2.4, 1))
			m.factors[0] = 1
			if always {
				m.factors[0] = 2.4
			}
			for range 100 {
				m.step()
			}
			m.factors[0] = 2.4
			is.True(m.samplesUntil(0, func(f float64) bool { return f > 1.7 }) < 40)
			m.t.workers["idle"], m.t.workers[workerName(0)] = m.t.workers[workerName(0)], nil // it gets no runs
			for until := m.now + 25*time.Second; m.now < until; {
				m.step()
			}
			m.t.workers[workerName(0)] = m.t.workers["idle"]
			is.Equal(m.t.Factor(workerName(0)).Factor > 1.7, always)
		})
	}
}

func benchmarkModel() (m *model, names, steps []string) {
	m = newModel(1, 28_000, twoClasses(0.33, 1.7, 0.7))
	for range 2000 {
		m.step()
	}
	for i := range 28_000 {
		names = append(names, workerName(i*7919%28_000))
	}
	for i := range 5000 {
		steps = append(steps, fmt.Sprint("bench", i))
	}
	return m, names, steps
}

func BenchmarkObserve(b *testing.B) {
	m, names, steps := benchmarkModel()
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		m.t.Observe(Sample{
			Worker: names[i%len(names)], Step: steps[i/13%len(steps)], Queue: "q0", Task: i % 13, At: m.now,
			Estimate: 7 * time.Second, Ran: 5 * time.Second, Percent: 60,
		})
	}
}

// BenchmarkState reports the memory that a worker takes, with the steps that are kept.
func BenchmarkState(b *testing.B) {
	for range b.N {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		m, names, steps := benchmarkModel()
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(len(m.factors)), "B/worker")
		runtime.KeepAlive([]any{m, names, steps})
	}
}

func BenchmarkFactor(b *testing.B) {
	m, names, _ := benchmarkModel()
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		m.t.Factor(names[i%len(names)])
	}
}
