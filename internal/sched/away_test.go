package sched

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"greengageline/pkg/model"
)

// serving is a job of lasting tasks, all at work.
func serving(e *Engine, id string, tasks, mayMiss int) *Job {
	j := add(e, id, "bulk", model.Step{
		Tasks: tasks, Lasts: true, MayMiss: mayMiss, Each: model.Room{Millicores: 1000, MemoryMB: 1000, Accelerators: 4},
	})
	e.Pass(at(0))
	for _, o := range starts(e.TakeOrders()) {
		e.Confirm(o.Task, o.Run, wholePercent, "", at(0))
	}
	return j
}

func stops(orders []Order) []Order {
	var out []Order
	for _, o := range orders {
		if o.Stop {
			out = append(out, o)
		}
	}
	return out
}

// Urgent work that is owed room may stop lasting tasks only as far as their
// caller can miss them.
func TestLastingWorkGivesWayOnlyAsFarAsItMayBeMissed(t *testing.T) {
	// An urgent task needs a whole worker, which holds two lasting ones.
	cases := map[string]struct{ mayMiss, want int }{
		"none may be away": {0, 0}, "one may be away": {1, 0}, "three may be away": {3, 2},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			e := pool(2)
			j := serving(e, "s", 4, c.mayMiss)
			is.Equal(j.Batches[0][0].away(), 0)
			add(e, "u", "urgent", members(1, 8))
			e.Pass(at(time.Second))
			is.Equal(len(stops(e.TakeOrders())), c.want)
		})
	}
}

// A worker can be emptied if its lasting tasks may be away or have room elsewhere.
func TestLoadTellsWhetherAWorkerCanBeEmptied(t *testing.T) {
	cases := map[string]struct {
		workers, mayMiss int
		bound            bool
	}{
		"room elsewhere":            {3, 0, false},
		"none, and none may miss":   {1, 0, true},
		"none, and too few may":     {1, 1, true},
		"none, and all of them may": {1, 2, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			e := pool(c.workers)
			serving(e, "s", 2, c.mayMiss)
			is.Equal(e.Load("a0", at(0)).Bound, c.bound)
		})
	}
}

func TestWorkerIsEmptiedWithoutMoreLastingTasksAwayThanAllowed(t *testing.T) {
	for _, mayMiss := range []int{0, 1, 2} {
		t.Run(fmt.Sprint(mayMiss), func(t *testing.T) {
			is := is.New(t)
			e := pool(3)
			j := serving(e, "s", 4, mayMiss)
			from := j.Batches[0][0].Tasks[0].Worker
			is.Equal(e.Load(from, at(0)).Runs, 2)
			w := e.workers[from].Worker
			w.Leaving = true
			e.SetWorker(w)
			now := time.Duration(0)
			for round := range 10 {
				if !e.Busy(from) {
					break
				}
				now += time.Second
				e.Evacuate(from, "test")
				is.True(j.Batches[0][0].away() <= max(1, mayMiss))
				for _, o := range stops(e.TakeOrders()) {
					e.End(o.Task, o.Run, Stopped, "", at(now))
				}
				e.Pass(at(now))
				for _, o := range starts(e.TakeOrders()) {
					is.True(o.Worker != from)
					e.Evacuate(from, "test") // none while one begins elsewhere
					is.True(j.Batches[0][0].away() <= max(1, mayMiss))
					e.Confirm(o.Task, o.Run, wholePercent, "", at(now))
				}
				is.True(round < 9)
			}
		})
	}
}

// Nobody waits for the end of lasting work, so that it is never too late for it:
// a task that ended is started again however full the pool is.
func TestLastingTaskIsStartedAgainOnAFullPool(t *testing.T) {
	is := is.New(t)
	e := pool(4)
	serving(e, "s", 2, 1)
	add(e, "bulk", "bulk", members(3, 8)) // 28 of 32 accelerators are in use now
	e.Pass(at(0))
	e.TakeOrders()
	later := time.Minute
	ref := Ref{Job: "s"}
	run, _, placed := e.Present(ref)
	is.True(placed)
	e.End(ref, run, Failed, "", at(later)) // its worker is the only one with room
	e.Pass(at(later))
	got := starts(e.TakeOrders())
	is.Equal(len(got), 1)
	is.Equal(got[0].Task, ref)
}

func TestLastingTasksThatFailAtWorkBlameNoWorker(t *testing.T) {
	for name, percent := range map[string]int{"at work": wholePercent, "at its start": 0} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			e := pool(8)
			jobs := map[string]*Job{}
			for i := range strikeLimit {
				id := fmt.Sprint("s", i)
				jobs[id] = serving(e, id, 1, 0) // the fullest first, so that both meet
			}
			for id, j := range jobs {
				task := &j.Batches[0][0].Tasks[0]
				is.Equal(task.Worker, "a0")
				task.percent = percent
				e.End(Ref{Job: id}, task.Run, Failed, "", at(0))
			}
			is.Equal(e.workers["a0"].badUntil > 0, percent == 0)
		})
	}
}

// A job that may not put more of its tasks on the only worker with room keeps no
// other job from it.
func TestJobAtItsBoundOfAWorkerKeepsNoOtherFromIt(t *testing.T) {
	is := is.New(t)
	e := pool(1)
	spread := model.Step{Tasks: 2, PerWorker: 1, EstimateMs: 1000, Each: model.Room{Millicores: 1000, MemoryMB: 1000, Accelerators: 1}}
	add(e, "a", "bulk", spread)
	add(e, "b", "bulk", spread)
	e.Pass(at(0))
	jobs := map[string]int{}
	for _, o := range starts(e.TakeOrders()) {
		jobs[o.Task.Job]++
	}
	is.Equal(jobs, map[string]int{"a": 1, "b": 1})
}
