package sched

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"greengageline/pkg/model"
)

// pool is an engine with like workers on racks of four.
func pool(workers int) *Engine {
	e := &Engine{Limits: Limits{Factor: 3}}
	e.SetPlan(model.Plan{
		Version: 1, Spaces: spaces(2, workers*2),
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

func at(d time.Duration) Moment {
	return Moment{Steady: time.Minute + d, UnixMs: epochMs + d.Milliseconds()}
}

func add(e *Engine, id, name string, steps ...model.Step) *Job {
	j := NewJob(&model.Work{ID: id, Workspace: "ws0", Queue: e.queues[name], Steps: steps, AcceptedMs: epochMs})
	e.Add(j, at(0))
	return j
}

func members(n, accelerators int) model.Step {
	return model.Step{Tasks: n, Gang: true, EstimateMs: 2000, Each: model.Room{Millicores: 1000, MemoryMB: 1000, Accelerators: accelerators}}
}

func starts(orders []Order) []Order {
	var out []Order
	for _, o := range orders {
		if !o.Stop {
			out = append(out, o)
		}
	}
	return out
}

func TestRefusedMemberJoinsItsGangElsewhere(t *testing.T) {
	is := is.New(t)
	e := pool(8)
	add(e, "j", "urgent", members(3, 8))
	e.Pass(at(0))
	first := starts(e.TakeOrders())
	is.Equal(len(first), 3)
	e.Confirm(first[0].Task, first[0].Run, 0, "", at(0))
	e.Reject(first[1].Task, first[1].Run, at(10*time.Millisecond))
	e.Pass(at(20 * time.Millisecond))
	second := e.TakeOrders()
	is.Equal(len(second), 1) // only the missing member starts, and nothing stops
	is.Equal(second[0].Run, first[1].Run)
	is.True(second[0].Worker != first[1].Worker)
}

func TestGangIsStoppedWhenAMemberCanNotJoinInTime(t *testing.T) {
	is := is.New(t)
	e := pool(3)
	add(e, "j", "urgent", members(3, 8))
	e.Pass(at(0))
	first := starts(e.TakeOrders())
	e.Reject(first[1].Task, first[1].Run, at(10*time.Millisecond))
	e.SetWorker(Worker{ID: first[1].Worker, Pool: "p", Rack: "a", Silent: true})
	e.Pass(at(time.Second))
	is.Equal(len(e.TakeOrders()), 0) // the others still wait
	e.Pass(at(2 * time.Second))
	stops := e.TakeOrders()
	is.Equal(len(stops), 2) // before they would end alone
	is.True(stops[0].Stop && stops[1].Stop)
}

func TestLaterEndOfAMemberBreaksItsGang(t *testing.T) {
	is := is.New(t)
	e := pool(4)
	add(e, "j", "urgent", members(2, 8))
	e.Pass(at(0))
	first := starts(e.TakeOrders())
	for _, o := range first {
		e.Confirm(o.Task, o.Run, 10, "", at(time.Second))
	}
	e.End(first[0].Task, first[0].Run, Lost, "", at(time.Second))
	e.Pass(at(time.Second))
	got := e.TakeOrders()
	is.Equal(len(got), 1)
	is.True(got[0].Stop)
}

func TestGangMemberWaitingAtFullProgressIsNotHung(t *testing.T) {
	is := is.New(t)
	e := pool(4)
	add(e, "j", "urgent", members(2, 8))
	e.Pass(at(0))
	first := starts(e.TakeOrders())
	e.Confirm(first[0].Task, first[0].Run, 100, "", at(time.Second))
	for d := time.Second; d < 20*time.Second; d += time.Second {
		e.Confirm(first[0].Task, first[0].Run, 100, "", at(d))
		e.Confirm(first[1].Task, first[1].Run, int(d.Seconds()), "", at(d))
		e.Pass(at(d))
	}
	is.Equal(len(e.TakeOrders()), 0)
}

func TestHungRunIsStopped(t *testing.T) {
	is := is.New(t)
	e := pool(1)
	add(e, "j", "bulk", model.Step{Tasks: 1, EstimateMs: 2000, Each: model.Room{Accelerators: 1}})
	e.Pass(at(0))
	first := starts(e.TakeOrders())
	e.Confirm(first[0].Task, first[0].Run, 5, "", at(time.Second))
	e.Confirm(first[0].Task, first[0].Run, 5, "", at(4*time.Second))
	e.Pass(at(5 * time.Second))
	got := e.TakeOrders()
	is.Equal(len(got), 1)
	is.True(got[0].Stop)
}

func TestWorkThatIsTooLateLeavesRoom(t *testing.T) {
	is := is.New(t)
	e := pool(2)
	add(e, "busy", "bulk", model.Step{Tasks: 11, EstimateMs: 60000, Each: model.Room{Accelerators: 1}})
	e.Pass(at(0))
	is.Equal(len(e.TakeOrders()), 11)
	add(e, "old", "bulk", model.Step{Tasks: 1, EstimateMs: 1000, Each: model.Room{Accelerators: 1}})
	e.Pass(at(time.Minute))
	is.Equal(len(starts(e.TakeOrders())), 0) // two thirds of the pool are in use
}

func TestOwedWorkEvictsTheCheapestRuns(t *testing.T) {
	is := is.New(t)
	e := pool(2)
	long := add(e, "long", "bulk", model.Step{Tasks: 8, EstimateMs: 60000, Each: model.Room{Accelerators: 1}})
	e.Pass(at(0))
	e.TakeOrders()
	young := add(e, "young", "bulk", model.Step{Tasks: 8, EstimateMs: 60000, Each: model.Room{Accelerators: 1}})
	e.Pass(at(9 * time.Second))
	e.TakeOrders()
	add(e, "urgent", "urgent", members(1, 4))
	e.Pass(at(10 * time.Second))
	got := e.TakeOrders()
	is.Equal(len(got), 4)
	for _, o := range got {
		is.True(o.Stop)
		is.Equal(o.Task.Job, young.Work.ID) // a second of work is lost, not ten
		e.End(o.Task, o.Run, Stopped, "", at(10*time.Second))
	}
	is.Equal(long.Open(), true)
	e.Pass(at(10 * time.Second))
	started := starts(e.TakeOrders())
	is.Equal(started[0].Task.Job, "urgent")
}

// Room that workspaces are owed is kept free of work without a guarantee while
// urgent work comes, and given out once none has come for a while.
func TestHeadroomForOwedWork(t *testing.T) {
	is := is.New(t)
	e := pool(8) // 64 accelerators, of which two workspaces are owed half
	add(e, "first", "urgent", members(1, 1))
	add(e, "wide", "bulk", model.Step{Tasks: 40, EstimateMs: 60000, Each: model.Room{Accelerators: 1}})
	e.Pass(at(0))
	is.Equal(len(starts(e.TakeOrders())), 41)
	add(e, "later", "bulk", model.Step{Tasks: 4, EstimateMs: 60000, Each: model.Room{Accelerators: 1}})
	e.Pass(at(time.Second))
	is.Equal(len(starts(e.TakeOrders())), 0) // there is room, but it is owed to others
	add(e, "second", "urgent", members(2, 8))
	e.Pass(at(2 * time.Second))
	is.Equal(len(e.TakeOrders()), 2) // starts at once, and nothing is stopped
	e.End(Ref{Job: "second"}, 42, Done, "", at(3*time.Second))
	e.End(Ref{Job: "first"}, 1, Done, "", at(2*time.Second))
	e.Pass(at(20 * time.Second))
	is.Equal(len(starts(e.TakeOrders())), 4) // nothing urgent has come for a while
}
