package sched

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"greengageline/pkg/model"
)

// newEngine returns an engine with equal workers of 8 accelerators on racks of four workers, and two
// workspaces that are guaranteed a quarter of the accelerators each.
func newEngine(workers int) *Engine {
	e := &Engine{Limits: Limits{SpreadFactor: 3}}
	e.SetPlan(model.Plan{
		Version: 1, Spaces: guarantees(2, workers*2),
		Queues: []model.Queue{queue("urgent", 0, 3, 2, 500), queue("bulk", 1, 2, 3, 1000)},
	})
	for i := range workers {
		rack := string(rune('a' + i/4))
		id := rack + string(rune('0'+i%4))
		e.SetWorker(Worker{
			ID: id, Pool: "p", Rack: rack, Labels: []string{"k", rack},
			Room: model.Room{Millicores: 8000, MemoryMB: 8000, Accelerators: 8},
		})
	}
	return e
}

// moment returns the time d after the start of a test.
func moment(d time.Duration) Moment {
	return Moment{Steady: time.Minute + d, UnixMs: epochMs + d.Milliseconds()}
}

// add adds a job of workspace ws0 to the queue of that name.
func add(e *Engine, id, name string, steps ...model.Step) *Job {
	j := NewJob(&model.Work{ID: id, Workspace: "ws0", Queue: e.queues[name], Steps: steps, AcceptedMs: epochMs})
	e.Add(j, moment(0))
	return j
}

// gangStep returns a gang step of n tasks that need that many accelerators each.
func gangStep(n, accelerators int) model.Step {
	return model.Step{Tasks: n, Gang: true, EstimateMs: 2000, Each: model.Room{Millicores: 1000, MemoryMB: 1000, Accelerators: accelerators}}
}

// starts returns the orders that start a run.
func starts(orders []Order) []Order {
	var out []Order
	for _, o := range orders {
		if !o.Stop {
			out = append(out, o)
		}
	}
	return out
}

func TestRejectedGangMemberStartsOnAnotherWorker(t *testing.T) {
	is := is.New(t)
	e := newEngine(8)
	add(e, "j", "urgent", gangStep(3, 8))
	e.Pass(moment(0))
	first := starts(e.TakeOrders())
	is.Equal(len(first), 3)
	e.Confirm(first[0].Task, first[0].Run, 0, "", moment(0))
	e.Reject(first[1].Task, first[1].Run, moment(10*time.Millisecond))
	e.Pass(moment(20 * time.Millisecond))
	second := e.TakeOrders()
	is.Equal(len(second), 1) // only the missing member starts and nothing is stopped
	is.Equal(second[0].Run, first[1].Run)
	is.True(second[0].Worker != first[1].Worker)
}

func TestIncompleteGangIsStoppedBeforeGangWaitEnds(t *testing.T) {
	is := is.New(t)
	e := newEngine(3)
	add(e, "j", "urgent", gangStep(3, 8))
	e.Pass(moment(0))
	first := starts(e.TakeOrders())
	e.Reject(first[1].Task, first[1].Run, moment(10*time.Millisecond))
	e.SetWorker(Worker{ID: first[1].Worker, Pool: "p", Rack: "a", Silent: true})
	e.Pass(moment(time.Second))
	is.Equal(len(e.TakeOrders()), 0) // the other members still wait
	e.Pass(moment(2 * time.Second))
	stops := e.TakeOrders()
	is.Equal(len(stops), 2) // before their own wait for the others would end
	is.True(stops[0].Stop && stops[1].Stop)
}

func TestLostGangMemberStopsTheOthers(t *testing.T) {
	is := is.New(t)
	e := newEngine(4)
	add(e, "j", "urgent", gangStep(2, 8))
	e.Pass(moment(0))
	first := starts(e.TakeOrders())
	for _, o := range first {
		e.Confirm(o.Task, o.Run, 10, "", moment(time.Second))
	}
	e.End(first[0].Task, first[0].Run, Lost, "", moment(time.Second))
	e.Pass(moment(time.Second))
	got := e.TakeOrders()
	is.Equal(len(got), 1)
	is.True(got[0].Stop)
}

func TestGangMemberAtFullProgressIsNotStalled(t *testing.T) {
	is := is.New(t)
	e := newEngine(4)
	add(e, "j", "urgent", gangStep(2, 8))
	e.Pass(moment(0))
	first := starts(e.TakeOrders())
	e.Confirm(first[0].Task, first[0].Run, 100, "", moment(time.Second))
	for d := time.Second; d < 20*time.Second; d += time.Second {
		e.Confirm(first[0].Task, first[0].Run, 100, "", moment(d))
		e.Confirm(first[1].Task, first[1].Run, int(d.Seconds()), "", moment(d))
		e.Pass(moment(d))
	}
	is.Equal(len(e.TakeOrders()), 0)
}

func TestStalledRunIsStopped(t *testing.T) {
	is := is.New(t)
	e := newEngine(1)
	add(e, "j", "bulk", model.Step{Tasks: 1, EstimateMs: 2000, Each: model.Room{Accelerators: 1}})
	e.Pass(moment(0))
	first := starts(e.TakeOrders())
	e.Confirm(first[0].Task, first[0].Run, 5, "", moment(time.Second))
	e.Confirm(first[0].Task, first[0].Run, 5, "", moment(4*time.Second))
	e.Pass(moment(5 * time.Second))
	got := e.TakeOrders()
	is.Equal(len(got), 1)
	is.True(got[0].Stop)
}

func TestTooLateWorkWaitsOnBusyPool(t *testing.T) {
	is := is.New(t)
	e := newEngine(2)
	add(e, "busy", "bulk", model.Step{Tasks: 11, EstimateMs: 60000, Each: model.Room{Accelerators: 1}})
	e.Pass(moment(0))
	is.Equal(len(e.TakeOrders()), 11)
	add(e, "old", "bulk", model.Step{Tasks: 1, EstimateMs: 1000, Each: model.Room{Accelerators: 1}})
	e.Pass(moment(time.Minute))
	is.Equal(len(starts(e.TakeOrders())), 0) // two thirds of the pool are used
}

func TestGuaranteedWorkPreemptsCheapestRuns(t *testing.T) {
	is := is.New(t)
	e := newEngine(2)
	long := add(e, "long", "bulk", model.Step{Tasks: 8, EstimateMs: 60000, Each: model.Room{Accelerators: 1}})
	e.Pass(moment(0))
	e.TakeOrders()
	young := add(e, "young", "bulk", model.Step{Tasks: 8, EstimateMs: 60000, Each: model.Room{Accelerators: 1}})
	e.Pass(moment(9 * time.Second))
	e.TakeOrders()
	add(e, "urgent", "urgent", gangStep(1, 4))
	e.Pass(moment(10 * time.Second))
	got := e.TakeOrders()
	is.Equal(len(got), 4)
	for _, o := range got {
		is.True(o.Stop)
		is.Equal(o.Task.Job, young.Work.ID) // loses one second of work instead of ten
		e.End(o.Task, o.Run, Stopped, "", moment(10*time.Second))
	}
	is.Equal(long.Open(), true)
	e.Pass(moment(10 * time.Second))
	started := starts(e.TakeOrders())
	is.Equal(started[0].Task.Job, "urgent")
}

// While urgent jobs are open, capacity that workspaces are guaranteed is kept free of other work. It is
// given out once no urgent work has been open for headroomTimeout.
func TestHeadroomIsKeptForGuaranteedWork(t *testing.T) {
	is := is.New(t)
	e := newEngine(8) // 64 accelerators, half of them guaranteed to two workspaces
	add(e, "first", "urgent", gangStep(1, 1))
	add(e, "wide", "bulk", model.Step{Tasks: 40, EstimateMs: 60000, Each: model.Room{Accelerators: 1}})
	e.Pass(moment(0))
	is.Equal(len(starts(e.TakeOrders())), 41)
	add(e, "later", "bulk", model.Step{Tasks: 4, EstimateMs: 60000, Each: model.Room{Accelerators: 1}})
	e.Pass(moment(time.Second))
	is.Equal(len(starts(e.TakeOrders())), 0) // the free capacity is kept for guarantees
	add(e, "second", "urgent", gangStep(2, 8))
	e.Pass(moment(2 * time.Second))
	is.Equal(len(e.TakeOrders()), 2) // both start at once and nothing is stopped
	e.End(TaskRef{Job: "second"}, 42, Done, "", moment(3*time.Second))
	e.End(TaskRef{Job: "first"}, 1, Done, "", moment(2*time.Second))
	e.Pass(moment(20 * time.Second))
	is.Equal(len(starts(e.TakeOrders())), 4) // no urgent work open for longer than headroomTimeout
}
