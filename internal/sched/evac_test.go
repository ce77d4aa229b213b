package sched

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"greengageline/pkg/model"
)

// evacuateRack marks the workers of a rack as in a zone that has been evacuated by a time.
func evacuateRack(e *Engine, rack string, by time.Duration) {
	for _, w := range e.sortedWorkers {
		if w.Rack == rack {
			d := w.Worker
			d.Leaving, d.EvacuateBy = true, by
			e.SetWorker(d)
		}
	}
}

// evacuable returns a step of n tasks that fill a worker each and save progress.
func evacuable(n int) model.Step {
	return model.Step{Tasks: n, EstimateMs: 60_000, Resumes: true, Each: model.Room{Millicores: 1000, MemoryMB: 1000, Accelerators: 8}}
}

// Guards against runs that stay in an evacuated zone though they could continue elsewhere, and against runs that are
// stopped without a place to go: each stopped task must have started again outside the zone in the next pass.
func TestRunsLeaveEvacuatedZone(t *testing.T) {
	gang, outside := evacuable(2), evacuable(6)
	gang.Gang, outside.Gang = true, true
	final, short, plain := evacuable(1), evacuable(1), evacuable(1)
	short.EstimateMs, plain.Resumes = 2000, false
	lasts := func(mayMiss int) model.Step {
		s := evacuable(2)
		s.Lasts, s.Resumes, s.EstimateMs, s.MayMiss = true, false, 0, mayMiss
		return s
	}
	cases := map[string]struct {
		workers int // racks of four; the first, rack a, is evacuated
		step    model.Step
		queue   string
		percent int
		silent  bool
		want    int // runs that are stopped
	}{
		"there is room":                       {8, evacuable(3), "bulk", 10, false, 3},
		"there is room for one":               {5, evacuable(3), "bulk", 10, false, 1},
		"there is no room":                    {4, evacuable(3), "bulk", 10, false, 0},
		"the run does not save progress":      {8, plain, "bulk", 10, false, 0},
		"the run is nearly over":              {8, final, "bulk", 99, false, 0},
		"the run ends within the bound":       {8, short, "bulk", 10, false, 0},
		"the start is not confirmed":          {8, evacuable(3), "bulk", -1, false, 0},
		"the workers do not answer":           {8, evacuable(3), "bulk", 10, true, 0},
		"a gang":                              {8, gang, "bulk", 10, false, 2},
		"a gang without room":                 {5, gang, "bulk", 10, false, 0},
		"a gang that is partly outside":       {10, outside, "urgent", 10, false, 6},
		"a gang that fits only without parts": {9, outside, "urgent", 10, false, 0},
		"long-running, MayMiss 0":             {8, lasts(0), "bulk", 100, false, 0},
		"long-running, MayMiss 1":             {8, lasts(1), "bulk", 100, false, 1},
		"long-running, MayMiss 2":             {8, lasts(2), "bulk", 100, false, 2},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			e := newEngine(c.workers)
			add(e, "j", c.queue, c.step)
			e.Pass(moment(0))
			inZone := 0
			for _, o := range starts(e.TakeOrders()) {
				if o.Worker[0] == 'a' {
					inZone++
				}
				if c.percent >= 0 {
					e.Confirm(o.Task, o.Run, c.percent, "before", moment(0))
				}
			}
			is.True(inZone > 0)
			evacuateRack(e, "a", moment(5*time.Second).Steady)
			if c.silent {
				for _, w := range e.sortedWorkers {
					w.Silent = true
				}
			}
			e.Pass(moment(time.Second))
			stopped := stops(e.TakeOrders())
			is.Equal(len(stopped), c.want)
			e.Pass(moment(1100 * time.Millisecond)) // nothing starts before the runs have ended
			is.Equal(len(e.TakeOrders()), 0)
			for _, o := range stopped {
				e.End(o.Task, o.Run, Stopped, "saved", moment(1500*time.Millisecond))
			}
			e.Pass(moment(1500 * time.Millisecond))
			again := starts(e.TakeOrders())
			is.Equal(len(again), c.want)
			for _, o := range again {
				is.True(o.Worker[0] != 'a')
				is.Equal(o.Checkpoint, "saved")
			}
			for _, w := range e.sortedWorkers {
				is.Equal(w.reserved, model.Room{}) // no reservation is left
			}
		})
	}
}

// Guards against evacuated work that takes the room of others: it is not stopped where it would have to wait for the
// guarantees, and room that is reserved for it is given back if its run ends by itself or the stop takes too long.
func TestMovesLeaveRoomToOthers(t *testing.T) {
	t.Run("kept for guarantees", func(t *testing.T) {
		is := is.New(t)
		e := newEngine(8) // the guarantees are half of the pool
		add(e, "b", "bulk", evacuable(5))
		add(e, "u", "urgent", gangStep(1, 1))
		e.Pass(moment(0))
		for _, o := range starts(e.TakeOrders()) {
			e.Confirm(o.Task, o.Run, 10, "", moment(0))
		}
		evacuateRack(e, "a", moment(5*time.Second).Steady)
		e.Pass(moment(time.Second))
		is.Equal(len(stops(e.TakeOrders())), 0)
	})
	t.Run("in another evacuated zone", func(t *testing.T) {
		is := is.New(t)
		e := newEngine(8)
		add(e, "b", "bulk", evacuable(4))
		e.Pass(moment(0))
		for _, o := range starts(e.TakeOrders()) {
			e.Confirm(o.Task, o.Run, 10, "", moment(0))
		}
		for _, rack := range []string{"a", "b"} {
			evacuateRack(e, rack, moment(5*time.Second).Steady)
		}
		e.Pass(moment(time.Second))
		is.Equal(len(stops(e.TakeOrders())), 0)
	})
	for name, ended := range map[string]bool{"the run ends by itself": true, "the stop takes too long": false} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			e := newEngine(8)
			add(e, "b", "bulk", evacuable(2))
			e.Pass(moment(0))
			for _, o := range starts(e.TakeOrders()) {
				e.Confirm(o.Task, o.Run, 10, "", moment(0))
			}
			evacuateRack(e, "a", moment(5*time.Second).Steady)
			e.Pass(moment(time.Second))
			for _, o := range stops(e.TakeOrders()) {
				if ended {
					e.End(o.Task, o.Run, Done, "", moment(1200*time.Millisecond))
				}
			}
			e.Pass(moment(time.Second + reservationTimeout))
			is.Equal(len(starts(e.TakeOrders())), 0)
			for _, w := range e.sortedWorkers {
				is.Equal(w.reserved, model.Room{})
			}
		})
	}
}

// Guards against a move that stops more tasks than the owner can start soon.
func TestMovesArePacedByTheOwnersStarts(t *testing.T) {
	for _, budget := range []int{1, 2} {
		t.Run(fmt.Sprint(budget), func(t *testing.T) {
			is := is.New(t)
			e := newEngine(8)
			for i := range 4 {
				add(e, fmt.Sprint("j", i), "bulk", evacuable(1))
			}
			e.Pass(moment(0))
			for _, o := range starts(e.TakeOrders()) {
				e.Confirm(o.Task, o.Run, 10, "", moment(0))
			}
			evacuateRack(e, "a", moment(5*time.Second).Steady)
			_ = e.PassWithin(moment(time.Second), budget)
			is.Equal(len(stops(e.TakeOrders())), budget)
		})
	}
}
