package sched

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"greengageline/pkg/model"
)

// newRankedEngine returns an engine like newEngine, with a queue of priority 2 besides.
func newRankedEngine(workers int) *Engine {
	e := newEngine(workers)
	p := e.plan
	p.Queues = append(p.Queues, queue("small", 2, 2, 3, 3000))
	e.SetPlan(p)
	return e
}

// singleStep returns a step of n tasks that need one accelerator each.
func singleStep(n int) model.Step {
	s := gangStep(n, 1)
	s.Gang, s.Each = false, model.Room{Millicores: 100, MemoryMB: 100, Accelerators: 1}
	return s
}

// startedJobs returns how many tasks of each job the orders start.
func startedJobs(orders []Order) map[string]int {
	out := map[string]int{}
	for _, o := range starts(orders) {
		out[o.Task.Job]++
	}
	return out
}

// Guards against small work of a lower priority that takes each piece of room for which a gang waits.
func TestRoomIsLeftToWaitingGang(t *testing.T) {
	for name, c := range map[string]struct {
		waited time.Duration
		small  int // tasks of small that start
	}{
		"small work can still be in time": {2 * time.Second, 0},
		"small work would be late":        {6600 * time.Millisecond, 8},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			e := newRankedEngine(4)
			add(e, "first", "bulk", gangStep(2, 8))
			add(e, "second", "bulk", gangStep(1, 8))
			e.Pass(moment(0))
			is.Equal(startedJobs(e.TakeOrders()), map[string]int{"first": 2, "second": 1})
			add(e, "gang", "bulk", gangStep(2, 8))
			add(e, "small", "small", singleStep(8))
			e.Pass(moment(c.waited))
			is.Equal(startedJobs(e.TakeOrders())["small"], c.small)
		})
	}
}

// Guards against yielding to a gang that could not start on an idle pool either.
func TestRoomIsNotLeftToGangThatCanNeverStart(t *testing.T) {
	is := is.New(t)
	e := newRankedEngine(4)
	add(e, "first", "bulk", gangStep(3, 8))
	add(e, "wide", "bulk", gangStep(5, 8))
	add(e, "small", "small", singleStep(8))
	e.Pass(moment(0))
	is.Equal(startedJobs(e.TakeOrders()), map[string]int{"first": 3, "small": 8})
}

// Guards against urgent work that stops a gang because it has just started, while work of a lower priority
// runs on a worker that would serve as well.
func TestPreemptionSparesHigherPriority(t *testing.T) {
	is := is.New(t)
	e := newRankedEngine(2)
	add(e, "small", "small", gangStep(1, 8))
	e.Pass(moment(0))
	add(e, "gang", "bulk", gangStep(1, 8))
	e.Pass(moment(time.Second))
	is.Equal(startedJobs(e.TakeOrders()), map[string]int{"small": 1, "gang": 1})
	add(e, "urgent", "urgent", gangStep(1, 4))
	e.Pass(moment(1100 * time.Millisecond))
	stopped := e.TakeOrders()
	is.Equal(len(stopped), 1)
	is.Equal(stopped[0].Task.Job, "small") // it has run for 1.1 s, the gang for 0.1 s
}

// Guards against gangs that are held back for guarantees until they have time for a single run.
func TestHeadroomLeavesTimeForSecondRun(t *testing.T) {
	is := is.New(t)
	e := newRankedEngine(4)
	p := e.plan
	p.Spaces = guarantees(1, 16)
	e.SetPlan(p)
	add(e, "urgent", "urgent", gangStep(1, 1))
	add(e, "first", "bulk", gangStep(3, 6))
	e.Pass(moment(0))
	is.Equal(startedJobs(e.TakeOrders()), map[string]int{"urgent": 1, "first": 3})
	add(e, "gang", "bulk", gangStep(1, 6)) // takes 2 s; its goal is 7 s
	started := time.Duration(0)
	for at := time.Duration(0); at <= 7*time.Second && started == 0; at += 100 * time.Millisecond {
		e.Pass(moment(at))
		if startedJobs(e.TakeOrders())["gang"] > 0 {
			started = at
		}
	}
	is.True(started > 0)
	if left := 7*time.Second - started; left < 3700*time.Millisecond {
		t.Errorf("the gang starts with %s left until its goal, want time for two runs of 2 s but for the wait of one pass", left)
	}
}
