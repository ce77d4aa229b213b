package sched

import (
	"maps"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"greengageline/pkg/model"
)

// takeLooks reports the progress of the runs on the workers at which the engine wants to look.
func (s *sim) takeLooks() {
	for _, l := range s.e.TakeLooks() {
		s.looks++
		s.after(l.After, func() {
			for _, ref := range slices.SortedFunc(maps.Keys(s.runs), compareRefs) { // in an order that a seed repeats
				r := s.runs[ref]
				if r.worker == l.Worker && !r.ended && !math.IsInf(r.ms, 1) {
					percent := min(100, int(100*float64((s.now-r.began).Milliseconds())/r.ms))
					s.e.Confirm(r.ref, r.run, percent, "", s.moment())
				}
			}
		})
	}
}

// wrongFactors counts the workers whose factor is off by more than 30 % after all are scaled alike.
func (s *sim) wrongFactors() int {
	var off []float64
	for id, f := range s.speeds {
		off = append(off, math.Log(s.e.Speeds.Factor(id).Factor/f))
	}
	middle, n := slices.Sorted(slices.Values(off))[len(off)/2], 0
	for _, d := range off {
		if math.Abs(d-middle) > 0.26 {
			n++
		}
	}
	return n
}

// Guards against speeds that are learned wrongly or too late from what the engine is told under load, and against looks
// at workers whose speed is known. It covers the base load on a pool of which a third takes 2.4 times as long.
func TestSpeedsAreLearnedUnderLoad(t *testing.T) {
	is := is.New(t)
	l := baseLoad()
	l.speedOf = func(i int) float64 { return []float64{1.7, 0.7, 0.7}[i*7%3] }
	s := newSim(l, 1)
	wrong := map[time.Duration]int{}
	for _, at := range []time.Duration{15 * time.Second, 30 * time.Second, 60 * time.Second} {
		s.after(at, func() { wrong[at] = s.wrongFactors() })
	}
	s.run(60*time.Second, 70*time.Second)
	t.Logf("wrong factors of %d by time: %v; %d looks", l.workers, wrong, s.looks)
	is.Equal(s.violations, nil)
	is.True(wrong[30*time.Second] <= 4)
	is.True(wrong[60*time.Second] <= 2)
	is.True(s.looks <= 4*l.workers)
}

// Guards against workers that are taken as different under the usual loads, in which all are alike, although gangs are
// spread, runs are stopped, fail and continue from checkpoints.
func TestWorkersStayEvenUnderLoad(t *testing.T) {
	restarts := rosterLoad().with(func(l *load) { l.slow = nil }) // gangs that ran on one rack start again on several
	for name, c := range map[string]struct {
		load load
		seed uint64
	}{"base": {baseLoad(), 1}, "many cores": {manyCoresLoad(), 1}, "restarts on several racks": {restarts, 25}} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newSim(c.load, c.seed)
			uneven := 0
			var check func()
			check = func() {
				if !s.e.Speeds.Even("p") {
					uneven++
				}
				s.after(100*time.Millisecond, check)
			}
			check()
			s.run(60*time.Second, 70*time.Second)
			t.Logf("%d looks", s.looks)
			is.Equal(uneven, 0)
			is.True(s.looks <= 150)
		})
	}
}

// sampleTask places a job of a step on workers of two racks and returns a report of a task's progress at a time.
func sampleTask(step model.Step, checkpoint string) (e *Engine, report func(task, percent int, at time.Duration)) {
	e = newEngine(8)
	e.Limits.NoRackWait = true
	j := add(e, "job", "bulk", step)
	for i := range j.Batches[0][0].Tasks {
		j.Batches[0][0].Tasks[i].Checkpoint = checkpoint
	}
	e.Pass(moment(0))
	runs := map[int]int64{}
	for _, o := range starts(e.TakeOrders()) {
		runs[o.Task.Task] = o.Run
	}
	return e, func(task, percent int, at time.Duration) {
		e.Confirm(TaskRef{"job", 0, 0, task}, runs[task], percent, "", moment(at))
	}
}

// Guards against samples of runs whose time does not tell the speed of their worker: gangs before all members are there,
// members that wait at 100 %, resumed runs whose start does not tell their progress, reports after silence, runs on cold
// workers, and runs away from their data without others of their kind.
func TestOnlyUndisturbedRunsAreSampled(t *testing.T) {
	single := model.Step{Tasks: 1, EstimateMs: 2000, Each: model.Room{Millicores: 1000, MemoryMB: 1000, Accelerators: 1}}
	away := single
	away.DataRack = "elsewhere"
	type report struct {
		task, percent int
		at            time.Duration
	}
	for name, c := range map[string]struct {
		step       model.Step
		checkpoint string // "cold" stands for a cold worker
		reports    []report
		want       int
	}{
		"single":               {single, "", []report{{0, 0, 0}, {0, 30, 600 * time.Millisecond}}, 1},
		"same run again":       {single, "", []report{{0, 0, 0}, {0, 30, 600 * time.Millisecond}, {0, 60, 1200 * time.Millisecond}}, 1},
		"too early":            {single, "", []report{{0, 0, 0}, {0, 2, 50 * time.Millisecond}}, 0},
		"resumed":              {single, "c", []report{{0, 0, 0}, {0, 40, 600 * time.Millisecond}}, 0},
		"resumed, two reports": {single, "c", []report{{0, 0, 0}, {0, 40, 600 * time.Millisecond}, {0, 70, 1200 * time.Millisecond}}, 1},
		"away from its data":   {away, "", []report{{0, 0, 0}, {0, 30, 600 * time.Millisecond}}, 0},
		"cold":                 {single, "cold", []report{{0, 0, 0}, {0, 30, 600 * time.Millisecond}, {0, 60, 1200 * time.Millisecond}}, 0},
		"after silence":        {single, "", []report{{0, 0, 0}, {0, 30, 4 * time.Second}}, 0},
		"gang not complete":    {gangStep(2, 8), "", []report{{0, 0, 0}, {0, 30, 600 * time.Millisecond}}, 0},
		"gang":                 {gangStep(2, 8), "", []report{{0, 0, 0}, {1, 0, 100 * time.Millisecond}, {0, 30, 600 * time.Millisecond}, {1, 30, 600 * time.Millisecond}}, 2},
		"gang member waits":    {gangStep(2, 8), "", []report{{0, 0, 0}, {1, 0, 100 * time.Millisecond}, {0, 100, 900 * time.Millisecond}}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			e, tell := sampleTask(c.step, c.checkpoint)
			is.Equal(e.Stats(moment(0)).Placed, c.step.Tasks)
			for _, id := range e.Workers() {
				w := e.workers[id].Worker
				w.Cold = c.checkpoint == "cold"
				e.SetWorker(w)
			}
			for _, r := range c.reports {
				tell(r.task, r.percent, r.at)
			}
			n := 0
			for _, id := range e.Workers() {
				n += e.Speeds.Factor(id).Samples
			}
			is.Equal(n, c.want)
		})
	}
}

// Guards against looks at gangs that are no use: at runs that report twice before they end, and at workers whose speed
// is known.
func TestYoungGangsAreLookedAt(t *testing.T) {
	long := gangStep(2, 8)
	long.EstimateMs = 10_000
	for name, c := range map[string]struct {
		step model.Step
		want int
	}{"short": {gangStep(2, 8), 2}, "many members": {gangStep(8, 8), maxEvenLooks}, "long": {long, 0}} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			e, tell := sampleTask(c.step, "")
			for i := range c.step.Tasks {
				tell(i, 0, 0)
			}
			is.Equal(len(e.TakeLooks()), c.want)
			is.Equal(len(e.TakeLooks()), 0)
		})
	}
}
