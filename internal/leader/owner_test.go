package leader

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"greengageline/internal/orders"
	"greengageline/internal/sched"
	"greengageline/pkg/model"
)

// newIdleOwner returns an owner of n workers that answer and have nothing to do.
func newIdleOwner(n int) *Owner {
	l := &Candidate{Plan: func() model.Plan { return model.Plan{} }}
	o := newOwner(l, ownership{Epoch: 1}, 1, 0)
	for i := range n {
		e := orders.Entry{Worker: sched.Worker{ID: fmt.Sprintf("i-%05d", i), Pool: "p", Rack: fmt.Sprint(i / 20)}, Addr: "10.0.0.1:80"}
		s := o.session(e)
		s.listed, s.proven = true, true
		o.updateWorker(s)
	}
	return o
}

// Guards against a session that is passed over in a tick though something is due.
func TestSessionIsSettledOnlyIfNothingIsDue(t *testing.T) {
	task := sched.TaskRef{Job: "a"}
	for name, c := range map[string]struct {
		change  func(s *session)
		settled bool
	}{
		"idle":              {func(*session) {}, true},
		"a hold in flight":  {func(s *session) { s.holdsInFlight = 1 }, true},
		"not listed":        {func(s *session) { s.listed = false }, false},
		"silent":            {func(s *session) { s.silent, s.holdsInFlight = true, 1 }, false},
		"ends to be acked":  {func(s *session) { s.durableEnd = 1 }, false},
		"uncertain start":   {func(s *session) { s.unconfirmedStarts[task] = startOutcome{run: 1} }, false},
		"a run and no hold": {func(s *session) { placeRun(s) }, false},
		"a run and a hold":  {func(s *session) { placeRun(s); s.holdsInFlight = 1 }, true},
	} {
		t.Run(name, func(t *testing.T) {
			o := newIdleOwner(1)
			s := o.sessions["i-00000"]
			c.change(s)
			is.New(t).Equal(s.settled(), c.settled)
		})
	}
}

// placeRun adds a job to the engine whose task is placed on the worker of the session.
func placeRun(s *session) {
	j := sched.NewJob(&model.Work{ID: "a", Steps: []model.Step{{Tasks: 1}}})
	j.Batches[0][0].Tasks[0] = sched.Task{Phase: sched.Placed, Run: 1, Worker: s.entry.ID}
	s.o.engine.Add(j, s.o.moment())
}

// BenchmarkTick measures the tick of an owner of 3,000 workers that have nothing to do.
func BenchmarkTick(b *testing.B) {
	o := newIdleOwner(3000)
	o.nextPurgeAt = time.Hour * 1_000_000
	b.ReportAllocs()
	for b.Loop() {
		o.tick()
	}
}
