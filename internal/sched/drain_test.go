package sched

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"greengageline/pkg/model"
)

// addLongRunning adds a job of long-running tasks, starts it and reports all its tasks as serving.
func addLongRunning(e *Engine, id string, tasks, mayMiss int) *Job {
	j := add(e, id, "bulk", model.Step{
		Tasks: tasks, Lasts: true, MayMiss: mayMiss, Each: model.Room{Millicores: 1000, MemoryMB: 1000, Accelerators: 4},
	})
	e.Pass(moment(0))
	for _, o := range starts(e.TakeOrders()) {
		e.Confirm(o.Task, o.Run, completePercent, "", moment(0))
	}
	return j
}

// stops returns the orders that stop a run.
func stops(orders []Order) []Order {
	var out []Order
	for _, o := range orders {
		if o.Stop {
			out = append(out, o)
		}
	}
	return out
}

// Guaranteed urgent work may preempt only as many long-running tasks as MayMiss of their step allows.
func TestPreemptionRespectsMayMiss(t *testing.T) {
	// An urgent task needs a whole worker, which holds two long-running ones.
	cases := map[string]struct{ mayMiss, want int }{
		"MayMiss 0": {0, 0}, "MayMiss 1": {1, 0}, "MayMiss 3": {3, 2},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			e := newEngine(2)
			j := addLongRunning(e, "s", 4, c.mayMiss)
			is.Equal(j.Batches[0][0].unavailable(), 0)
			add(e, "u", "urgent", gangStep(1, 8))
			e.Pass(moment(time.Second))
			is.Equal(len(stops(e.TakeOrders())), c.want)
		})
	}
}

// A worker can be drained if its long-running tasks may be stopped or fit on other workers.
func TestLoadReportsWhetherWorkerCanBeDrained(t *testing.T) {
	cases := map[string]struct {
		workers, mayMiss int
		cannotDrain      bool
	}{
		"capacity elsewhere":               {3, 0, false},
		"no capacity elsewhere, MayMiss 0": {1, 0, true},
		"no capacity elsewhere, MayMiss 1": {1, 1, true},
		"no capacity elsewhere, MayMiss 2": {1, 2, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			e := newEngine(c.workers)
			addLongRunning(e, "s", 2, c.mayMiss)
			is.Equal(e.Load("a0", moment(0)).CannotDrain, c.cannotDrain)
		})
	}
}

func TestEvacuateRespectsMayMiss(t *testing.T) {
	for _, mayMiss := range []int{0, 1, 2} {
		t.Run(fmt.Sprint(mayMiss), func(t *testing.T) {
			is := is.New(t)
			e := newEngine(3)
			j := addLongRunning(e, "s", 4, mayMiss)
			from := j.Batches[0][0].Tasks[0].Worker
			is.Equal(e.Load(from, moment(0)).Runs, 2)
			w := e.workers[from].Worker
			w.Leaving = true
			e.SetWorker(w)
			now := time.Duration(0)
			for round := range 10 {
				if !e.Busy(from) {
					break
				}
				now += time.Second
				e.DrainWorker(from, "test")
				is.True(j.Batches[0][0].unavailable() <= max(1, mayMiss))
				for _, o := range stops(e.TakeOrders()) {
					e.End(o.Task, o.Run, Stopped, "", moment(now))
				}
				e.Pass(moment(now))
				for _, o := range starts(e.TakeOrders()) {
					is.True(o.Worker != from)
					e.DrainWorker(from, "test") // stops none while one starts on another worker
					is.True(j.Batches[0][0].unavailable() <= max(1, mayMiss))
					e.Confirm(o.Task, o.Run, completePercent, "", moment(now))
				}
				is.True(round < 9)
			}
		})
	}
}

// Long-running work is never too late to be of use, so a task that ended starts again however full the
// pool is.
func TestLongRunningTaskRestartsOnFullPool(t *testing.T) {
	is := is.New(t)
	e := newEngine(4)
	addLongRunning(e, "s", 2, 1)
	add(e, "bulk", "bulk", gangStep(3, 8)) // 28 of 32 accelerators are in use now
	e.Pass(moment(0))
	e.TakeOrders()
	later := time.Minute
	ref := TaskRef{Job: "s"}
	run, _, placed := e.CurrentRun(ref)
	is.True(placed)
	e.End(ref, run, Failed, "", moment(later)) // its worker is the only one with free capacity
	e.Pass(moment(later))
	got := starts(e.TakeOrders())
	is.Equal(len(got), 1)
	is.Equal(got[0].Task, ref)
}

func TestServingTaskFailureDoesNotCountAgainstWorker(t *testing.T) {
	for name, percent := range map[string]int{"serving": completePercent, "starting": 0} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			e := newEngine(8)
			jobs := map[string]*Job{}
			for i := range quarantineThreshold {
				id := fmt.Sprint("s", i)
				jobs[id] = addLongRunning(e, id, 1, 0) // the fullest worker is chosen first, so all jobs share it
			}
			for id, j := range jobs {
				task := &j.Batches[0][0].Tasks[0]
				is.Equal(task.Worker, "a0")
				task.percent = percent
				e.End(TaskRef{Job: id}, task.Run, Failed, "", moment(0))
			}
			is.Equal(e.workers["a0"].blockedUntil > 0, percent == 0)
		})
	}
}

// A job that has reached its limit per worker on the only worker with free capacity must not keep other
// jobs of the same shape from that worker.
func TestPerWorkerLimitDoesNotBlockOtherJobs(t *testing.T) {
	is := is.New(t)
	e := newEngine(1)
	spread := model.Step{Tasks: 2, PerWorker: 1, EstimateMs: 1000, Each: model.Room{Millicores: 1000, MemoryMB: 1000, Accelerators: 1}}
	add(e, "a", "bulk", spread)
	add(e, "b", "bulk", spread)
	e.Pass(moment(0))
	jobs := map[string]int{}
	for _, o := range starts(e.TakeOrders()) {
		jobs[o.Task.Job]++
	}
	is.Equal(jobs, map[string]int{"a": 1, "b": 1})
}

// Pattern: a wave of upkeep on a full pool. The only room lies in pieces on workers that are being drained,
// where a long-running task may start; other work may not.
func TestLongRunningTaskUsesRoomOnDrainingWorkers(t *testing.T) {
	cases := map[string]struct {
		leaving, draining, lasts bool
		want                     int
	}{
		"long-running, draining":   {false, true, true, 1},
		"long-running, going down": {true, false, true, 0},
		"other work, draining":     {false, true, false, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			e := newEngine(2)
			addLongRunning(e, "s", 3, 1) // half of one worker is left
			for _, w := range e.sortedWorkers {
				if w.free().Accelerators > 0 {
					d := w.Worker
					d.Leaving, d.Draining = c.leaving, c.draining
					e.SetWorker(d)
				}
			}
			add(e, "t", "bulk", model.Step{
				Tasks: 1, Lasts: c.lasts, EstimateMs: 1000, Each: model.Room{Millicores: 1000, MemoryMB: 1000, Accelerators: 4},
			})
			e.Pass(moment(time.Second))
			is.Equal(len(starts(e.TakeOrders())), c.want)
		})
	}
}
