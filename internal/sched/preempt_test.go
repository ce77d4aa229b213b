package sched

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"greengageline/pkg/model"
)

// addUrgent adds an urgent job of workspace ws0 that was accepted at a time after the start of a test.
func addUrgent(e *Engine, id string, accepted time.Duration, step model.Step) {
	w := &model.Work{
		ID: id, Workspace: "ws0", Queue: e.queues["urgent"], Steps: []model.Step{step}, AcceptedMs: epochMs + accepted.Milliseconds(),
	}
	e.Add(NewJob(w), moment(accepted))
}

// shortGang returns a gang step of n tasks that take whole workers for ms.
func shortGang(n int, ms int64) model.Step {
	s := gangStep(n, 8)
	s.EstimateMs = ms
	return s
}

// Guards against small urgent work beyond its workspace's guarantee that stops gangs whose loss is many times its own work.
func TestPreemptionBeyondGuaranteeLosesWorkInProportion(t *testing.T) {
	for name, c := range map[string]struct {
		at, waited time.Duration
		step       model.Step
		stops      int
	}{
		"little is lost":             {200 * time.Millisecond, 0, shortGang(2, 1000), 4},
		"much is lost":               {2 * time.Second, 0, shortGang(2, 1000), 0},
		"much is lost for as much":   {2 * time.Second, 0, shortGang(2, 10_000), 4},
		"little is lost, but late":   {200 * time.Millisecond, 2 * time.Second, shortGang(2, 1000), 0},
		"much is lost for guarantee": {2 * time.Second, 0, shortGang(1, 1000), 4},
		"late within guarantee":      {2 * time.Second, 2 * time.Second, shortGang(1, 1000), 4},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			e := newEngine(4)
			add(e, "gang", "bulk", gangStep(4, 8))
			e.Pass(moment(0))
			is.Equal(len(starts(e.TakeOrders())), 4)
			addUrgent(e, "urgent", c.at-c.waited, c.step)
			e.Pass(moment(c.at))
			e.Pass(moment(c.at + roomWait)) // a group with enough slack waits for room first
			is.Equal(len(stops(e.TakeOrders())), c.stops)
		})
	}
}

// Guards against urgent work that waits for lack of a cheap preemption and keeps other work from the room left free.
func TestUrgentWorkThatWaitsForCheapPreemptionClaimsNoRoom(t *testing.T) {
	is := is.New(t)
	e := newRankedEngine(4)
	add(e, "gang", "bulk", gangStep(3, 8))
	e.Pass(moment(0))
	is.Equal(startedJobs(e.TakeOrders()), map[string]int{"gang": 3})
	add(e, "small", "small", singleStep(8))
	addUrgent(e, "urgent", 6*time.Second, shortGang(2, 1000))
	e.Pass(moment(6 * time.Second)) // small has time for less than two runs, so that no headroom holds it back
	orders := e.TakeOrders()
	is.Equal(len(stops(orders)), 0)
	is.Equal(startedJobs(orders), map[string]int{"small": 8})
}

// Guards against a long urgent gang that may not preempt because a short one of the same size before it may not.
func TestShortGangThatWaitsDoesNotHoldBackLongGang(t *testing.T) {
	is := is.New(t)
	e := newEngine(4)
	add(e, "gang", "bulk", gangStep(4, 8))
	e.Pass(moment(0))
	e.TakeOrders()
	addUrgent(e, "short", 1900*time.Millisecond, shortGang(2, 1000))
	addUrgent(e, "long", 2*time.Second, shortGang(2, 10_000))
	e.Pass(moment(2 * time.Second))
	e.Pass(moment(2*time.Second + roomWait)) // the long gang has enough slack to wait for room first
	is.Equal(len(stops(e.TakeOrders())), 4)
	is.Equal(len(e.reservations), 1)
	for _, ref := range e.reservations {
		is.Equal(ref.Job, "long")
	}
}
