package sched

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"greengageline/pkg/model"
)

// Guards against runs that stay on workers which turn out to be too slow for their goal beside free fast ones, and
// against moves that gain nothing: w0 turns out to be slow some time after the step has started there.
func TestMoveOfLateRuns(t *testing.T) {
	whole := model.Room{Accelerators: 8}
	for name, c := range map[string]struct {
		factors []float64
		step    model.Step
		after   time.Duration
		want    int // runs that are stopped
	}{
		"a free worker is fast enough":    {[]float64{1, 0.7}, model.Step{Tasks: 1, Each: whole}, 500 * time.Millisecond, 1},
		"none is":                         {[]float64{1, 4}, model.Step{Tasks: 1, Each: whole}, 500 * time.Millisecond, 0},
		"a gang is moved to none unknown": {[]float64{1, 0}, model.Step{Tasks: 1, Each: whole, Gang: true}, 500 * time.Millisecond, 0},
		"too much work is thrown away":    {[]float64{1, 0.7}, model.Step{Tasks: 1, Each: whole}, 1600 * time.Millisecond, 0},
		"a gang moves whole":              {[]float64{1, 1, 0.7}, model.Step{Tasks: 2, Each: whole, Gang: true}, 500 * time.Millisecond, 2},
		"long-running work stays":         {[]float64{1, 0.7}, model.Step{Tasks: 1, Each: whole, Lasts: true}, 500 * time.Millisecond, 0},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			e, now := speedEngine(c.factors...), Moment{Steady: time.Second, UnixMs: epochMs}
			free := c.factors[len(c.factors)-1]
			c.factors[len(c.factors)-1] = 9 // the step starts on the others
			c.step.EstimateMs = 8000
			is.Equal(len(e.submit("a", "loose", c.step, now)), c.step.Tasks)
			c.factors[len(c.factors)-1], c.factors[0] = free, 6
			now = Moment{Steady: now.Steady + c.after, UnixMs: now.UnixMs + c.after.Milliseconds()}
			e.Pass(now)
			stops := e.TakeOrders()
			is.Equal(len(stops), c.want)
			for range 3 { // nothing starts again while a run has not ended
				now.Steady += 100 * time.Millisecond
				e.Pass(now)
				is.Equal(len(e.TakeOrders()), 0)
			}
			for _, o := range stops {
				is.True(o.Stop)
				e.End(o.Task, o.Run, Stopped, "", now)
			}
			e.Pass(now)
			starts := e.TakeOrders()
			is.Equal(len(starts), c.want)
			for _, o := range starts {
				is.True(o.Worker != "w0")
			}
			// Lateness alone is no reason to move it again.
			c.factors[0] = 0.1
			now = Moment{Steady: now.Steady + moveInterval, UnixMs: now.UnixMs + 29_000}
			e.Pass(now)
			is.Equal(len(e.TakeOrders()), 0)
		})
	}
}

// Guards against a second run of a task that ends as done while it is stopped for a move, and against room that stays
// reserved for it.
func TestMovedRunThatEndsFirst(t *testing.T) {
	is := is.New(t)
	factors := []float64{1, 9}
	e, now := speedEngine(factors...), Moment{Steady: time.Second, UnixMs: epochMs}
	e.submit("a", "loose", model.Step{Tasks: 2, Each: model.Room{Accelerators: 4}, EstimateMs: 8000}, now)
	factors[0], factors[1] = 6, 0.7
	now = Moment{Steady: now.Steady + 500*time.Millisecond, UnixMs: now.UnixMs + 500}
	e.Pass(now)
	for _, o := range e.TakeOrders() {
		e.End(o.Task, o.Run, []Cause{Done, Stopped}[o.Task.Task], "", now)
	}
	e.Pass(now)
	starts := e.TakeOrders()
	is.Equal(len(starts), 1)
	is.Equal(starts[0].Task.Task, 1)
	is.Equal(e.workers["w1"].reserved, model.Room{})
}

// Guards against a stall time-out that stops the healthy runs of a slow worker, and one that never ends on a hung worker.
func TestStallTimeoutFollowsSpeed(t *testing.T) {
	is := is.New(t)
	e := speedEngine(1, 2, 50, 0)
	e.Pass(Moment{Steady: time.Second, UnixMs: epochMs})
	for id, want := range map[string]time.Duration{"w0": 6 * time.Second, "w1": 12 * time.Second, "w2": 18 * time.Second, "w3": 6 * time.Second} {
		is.Equal(stallTimeout(&model.Step{EstimateMs: 50_000}, e.slowness(e.workers[id])), want)
	}
}
