package sched

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"greengageline/pkg/model"
)

// advisedPool is a pool whose queues all need an adviser's tickets.
func advisedPool(workers int) *Engine {
	e := pool(workers)
	p := e.plan
	for i := range p.Queues {
		p.Queues[i].Advice = &model.Advice{DecideMs: 50, ValidMs: 2000}
	}
	e.SetPlan(p)
	return e
}

const validity = 2 * time.Second

func tickets(ids ...string) map[string]string {
	out := map[string]string{}
	for _, id := range ids {
		out[id] = "t-" + id
	}
	return out
}

// ask passes at a time and returns the questions; it fails if there is a start.
func ask(t *testing.T, e *Engine, d time.Duration) []Question {
	t.Helper()
	e.Pass(at(d))
	for _, o := range starts(e.TakeOrders()) {
		t.Errorf("%s starts on %s before it is allowed", o.Task, o.Worker)
	}
	return e.TakeQuestions()
}

func TestWorkStartsOnlyWhereItsAdviserAllows(t *testing.T) {
	is := is.New(t)
	e := advisedPool(8)
	add(e, "j", "bulk", members(2, 8))
	qs := ask(t, e, 0)
	is.Equal(len(qs), 1)
	is.Equal(len(qs[0].Workers), 8)
	is.Equal(len(ask(t, e, 10*time.Millisecond)), 0) // one question at a time for a step
	e.Advised(qs[0], tickets("a1", "b2"), at(0).Steady, validity)
	e.Pass(at(100 * time.Millisecond))
	got := map[string]string{}
	for _, o := range starts(e.TakeOrders()) {
		got[o.Worker] = o.Ticket
	}
	is.Equal(got, tickets("a1", "b2"))
}

func TestTicketsThatRunOutAreAskedForAgain(t *testing.T) {
	is := is.New(t)
	e := advisedPool(4)
	add(e, "first", "bulk", members(4, 8))
	e.Advised(ask(t, e, 0)[0], tickets("a0", "a1", "a2", "a3"), at(0).Steady, validity)
	e.Pass(at(0))
	is.Equal(len(starts(e.TakeOrders())), 4)
	add(e, "second", "bulk", members(2, 8))
	q := ask(t, e, 0)
	e.Advised(q[0], tickets("a1", "a3"), at(0).Steady, validity)
	later := 10 * time.Second
	is.Equal(len(ask(t, e, later)), 0) // no room there: a ticket would run out again
	for i := range 4 {
		ref := Ref{Job: "first", Task: i}
		run, _, placed := e.Present(ref)
		if placed {
			e.End(ref, run, Done, "", at(later))
		}
	}
	q = ask(t, e, later)
	is.Equal(len(q), 1)
	is.Equal(q[0].Workers, []string{"a1", "a3"}) // those that are not allowed stay so
	e.Advised(q[0], tickets("a1", "a3"), at(later).Steady, validity)
	e.Pass(at(later))
	is.Equal(len(starts(e.TakeOrders())), 2)
}

func TestAdviserThatFailsIsLeftAloneForAWhile(t *testing.T) {
	is := is.New(t)
	e := advisedPool(4)
	add(e, "j", "bulk", members(2, 8))
	now, pause := time.Duration(0), minAskPause
	for range 6 {
		qs := ask(t, e, now)
		is.Equal(len(qs), 1)
		e.Unadvised(qs[0], at(now))
		is.Equal(len(ask(t, e, now+pause-time.Millisecond)), 0)
		now += pause
		pause = min(2*pause, maxAskPause)
	}
}

func TestOwedWorkIsAskedAboutFirst(t *testing.T) {
	is := is.New(t)
	e := advisedPool(8)
	for _, id := range []string{"a", "b", "c"} {
		add(e, id, "bulk", members(2, 8))
	}
	add(e, "z", "urgent", members(2, 2))
	qs := ask(t, e, 0)
	is.Equal(len(qs), askAtOnce)
	is.Equal(qs[0].Step.Job, "z")
}

// A worker's refusal of a ticket says nothing about its room; another life of
// it may be allowed where the one before was not.
func TestRefusedTicketIsAskedForAnewAndBlamesNoWorker(t *testing.T) {
	is := is.New(t)
	e := advisedPool(1)
	add(e, "j", "bulk", members(1, 8))
	e.Advised(ask(t, e, 0)[0], tickets("a0"), at(0).Steady, validity)
	e.Pass(at(0))
	o := starts(e.TakeOrders())
	is.Equal(len(o), 1)
	e.RejectTicket(o[0].Task, o[0].Run, at(0))
	q := ask(t, e, 0)
	is.Equal(len(q), 1)
	e.Advised(q[0], nil, at(0).Steady, validity)
	is.Equal(len(ask(t, e, 0)), 0)
	e.ForgetAdvice("a0")
	is.Equal(len(ask(t, e, 0)), 1)
}

// Runs are stopped for owed work only on workers that it may use, and the room
// is kept until its tickets are renewed.
func TestOwedWorkDisplacesOnlyWhereItIsAllowed(t *testing.T) {
	is := is.New(t)
	e := advisedPool(4)
	p := e.plan
	p.Queues[1].Advice = nil
	e.SetPlan(p)
	for _, id := range []string{"a", "b", "c", "d"} {
		add(e, id, "bulk", members(1, 8))
	}
	e.Pass(at(0))
	is.Equal(len(starts(e.TakeOrders())), 4)
	add(e, "u", "urgent", members(1, 8))
	e.Advised(ask(t, e, time.Second)[0], tickets("a2"), at(time.Second).Steady, 400*time.Millisecond)
	e.Pass(at(time.Second))
	stops := e.TakeOrders()
	is.Equal(len(stops), 1)
	is.True(stops[0].Stop)
	is.Equal(stops[0].Worker, "a2")
	ended := 1900 * time.Millisecond // the ticket has run out
	e.End(stops[0].Task, stops[0].Run, Stopped, "", at(ended))
	q := ask(t, e, ended)
	is.Equal(len(q), 1)
	e.Advised(q[0], tickets("a2"), at(ended).Steady, validity)
	e.Pass(at(ended))
	got := starts(e.TakeOrders())
	is.Equal(len(got), 1)
	is.Equal(got[0].Task.Job, "u")
	is.Equal(got[0].Ticket, "t-a2")
}
