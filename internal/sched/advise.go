package sched

import (
	"cmp"
	"slices"
	"time"

	"github.com/samber/lo"
)

// Question asks the adviser which workers may run the tasks of a step; Task of
// the reference is not used.
type Question struct {
	Step    Ref
	Workers []string
	// Takes is the time that the adviser needs, by the plan.
	Takes time.Duration
}

const (
	// askLeast is how many workers a question names at least, if there are so
	// many: the users' rules count one question about 30 workers a step.
	askLeast = 30
	// askMost is the most that the adviser takes.
	askMost = 100
	// askSpare times the room that a group needs is asked about, since only
	// some of the workers are allowed.
	askSpare = 3
	// askAtOnce bounds the questions without an answer: the adviser takes one
	// at a time from a node, and a second one bridges the way to it.
	askAtOnce = 2
	// minAskPause and maxAskPause bound the pause after a question that failed.
	minAskPause = 200 * time.Millisecond
	maxAskPause = 2 * time.Second
	// ticketMargin is left of a ticket for storing and sending a start.
	// At most one part in ticketPart of it is given up.
	ticketMargin = 300 * time.Millisecond
	ticketPart   = 4
)

// advice is what the adviser has said of workers for one step.
type advice struct {
	// said has an entry for each worker that was asked about: whether it may
	// run the step does not change while it lives.
	said  map[string]opinion
	asked bool
}

// opinion is a ticket with the time until which it is valid; an empty ticket
// means that the worker may not run the step.
type opinion struct {
	ticket string
	until  time.Duration
}

func (a *advice) ticket(worker string) string { return a.said[worker].ticket }

func (a *advice) valid(worker string, now Moment) bool {
	o := a.said[worker]
	return o.ticket != "" && now.Steady < o.until
}

func (a *advice) allValid(ws []*worker, now Moment) bool {
	return !slices.ContainsFunc(ws, func(w *worker) bool { return !a.valid(w.ID, now) })
}

func (a *advice) refused(worker string) bool {
	o, ok := a.said[worker]
	return ok && o.ticket == ""
}

// consult asks the adviser about workers for a group that could not be placed
// on those with valid tickets.
func (e *Engine) consult(g *group, now Moment) {
	if g.queue.Advice == nil || g.batch.advice.asked || e.asked >= askAtOnce || now.Steady < e.askAt {
		return
	}
	ids := e.askAbout(g, now)
	if len(ids) == 0 {
		return
	}
	g.batch.advice.asked = true
	e.asked++
	a := g.queue.Advice
	e.questions = append(e.questions, Question{
		Step: g.ref, Workers: ids, Takes: time.Duration((a.DecideMs + float64(len(ids))*a.EachMs) * float64(time.Millisecond)),
	})
}

// askAbout chooses workers without a valid ticket: those on the racks with most
// room first, as the group goes there if it is allowed. Workers that are known
// to be allowed are asked about again only when they have room, or could be
// given some, as each ticket soon runs out.
func (e *Engine) askAbout(g *group, now Moment) []string {
	var fit, full []string
	fits, unknown := 0, 0
	for _, w := range e.askOrder(g, now) {
		n := w.free().Times(g.step.Need(), g.quota(w))
		allowed := g.batch.advice.ticket(w.ID) != ""
		if !allowed {
			unknown++
		}
		switch {
		case g.batch.advice.valid(w.ID, now):
			fits += n
		case n > 0 && (fits < askSpare*len(g.waiting) || len(fit) < askLeast):
			fits += n
			fit = append(fit, w.ID)
		case n <= 0 && (g.queue.Priority == 0 || !allowed):
			full = append(full, w.ID)
		}
	}
	if g.step.Gang && fits < len(g.waiting) && unknown == 0 && g.queue.Priority > 0 {
		return nil // those that are allowed have no room for all of it
	}
	if len(fit) < askLeast {
		fit = append(fit, full[:min(len(full), askLeast-len(fit))]...)
	}
	return fit[:min(len(fit), askMost)]
}

// askOrder lists the workers that suit the group and are not known to be
// refused, those on the rack of its data and on racks with most room first.
func (e *Engine) askOrder(g *group, now Moment) []*worker {
	racks := lo.Filter(e.racks, func(r *rack, _ int) bool { return r.pool == g.queue.Pool })
	room := func(r *rack) int { return r.free.Times(g.step.Need(), len(g.waiting)) }
	slices.SortStableFunc(racks, func(a, b *rack) int {
		return cmp.Or(
			-compareBools(a.name == g.step.DataRack, b.name == g.step.DataRack),
			-cmp.Compare(room(a), room(b)),
		)
	})
	proven := g.retry()
	return lo.FlatMap(racks, func(r *rack, _ int) []*worker {
		return lo.Filter(r.workers, func(w *worker, _ int) bool {
			return g.suits(w, proven, now) && !g.batch.advice.refused(w.ID)
		})
	})
}

func compareBools(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// TakeQuestions returns the questions decided since the last call; each must
// come back through Advised or Unadvised.
func (e *Engine) TakeQuestions() []Question {
	out := e.questions
	e.questions = nil
	return out
}

// Advised takes in the answer to a question sent at a steady time: the workers
// in tickets may run the step, for valid from then on; the others that were
// asked about may not.
func (e *Engine) Advised(q Question, tickets map[string]string, sent, valid time.Duration) {
	until := sent + valid - min(ticketMargin, valid/ticketPart)
	e.asked--
	e.askPause = 0
	_, b, _ := e.find(q.Step)
	if b == nil {
		return
	}
	b.advice.asked = false
	if b.advice.said == nil {
		b.advice.said = make(map[string]opinion, len(q.Workers))
	}
	for _, id := range q.Workers {
		b.advice.said[id] = opinion{ticket: tickets[id], until: until}
	}
}

// Unadvised notes that a question got no answer; none is asked for a while.
func (e *Engine) Unadvised(q Question, now Moment) {
	e.asked--
	e.askPause = min(max(minAskPause, 2*e.askPause), maxAskPause)
	e.askAt = now.Steady + e.askPause
	if _, b, _ := e.find(q.Step); b != nil {
		b.advice.asked = false
	}
}

// ForgetAdvice drops what the adviser has said of a worker, whose life it was
// said of has ended.
func (e *Engine) ForgetAdvice(worker string) {
	for _, j := range e.open {
		for k := range j.Batches {
			for s := range j.Batches[k] {
				delete(j.Batches[k][s].advice.said, worker)
			}
		}
	}
}

// RejectTicket notes that a worker refused a start for its ticket, which did
// nothing; the adviser is asked about the worker anew.
func (e *Engine) RejectTicket(ref Ref, run int64, now Moment) {
	_, b, t := e.find(ref)
	if t == nil || t.Phase != Placed || t.Run != run {
		return
	}
	delete(b.advice.said, t.Worker)
	e.End(ref, run, Refused, "", now)
	t.avoid = "" // the worker would take the same run with another ticket
}
