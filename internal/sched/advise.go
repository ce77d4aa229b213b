package sched

import (
	"cmp"
	"slices"
	"time"

	"github.com/samber/lo"
)

const (
	// usualWorkersAsked is how many workers a question usually names, if there are so many: the users'
	// rules allow for one question about 30 workers for each step.
	usualWorkersAsked = 30
	// maxUsualDoublings bounds how often the usual number is doubled.
	maxUsualDoublings = 5
	// maxWorkersAsked is the largest number of workers that the adviser accepts in a question.
	maxWorkersAsked = 100
	// askCapacityFactor times the capacity that a group needs is asked about, since the adviser permits
	// only some of the workers.
	askCapacityFactor = 3
	// ticketMargin is the part of a ticket's validity that is left for the transit of the answer and for storing
	// and sending a start. At most 1/ticketMarginDivisor of the validity is given up for it.
	ticketMargin        = 300 * time.Millisecond
	ticketMarginDivisor = 4
)

// advice holds the adviser's answers for one step.
type advice struct {
	// verdicts has an entry for each worker that was asked about. Whether a worker may run the step
	// does not change while the worker lives.
	verdicts map[string]verdict
	// inFlight is set while a question about the step has no answer. restarted has the workers whose incarnation has
	// ended meanwhile.
	inFlight  bool
	restarted map[string]bool
	// asked is how often the adviser was asked about the step, and askedAt when it was the last time.
	asked   int
	askedAt time.Duration
}

// verdict is a ticket, the steady time at which it arrived, and how long it is valid from then on. An empty ticket
// means that the worker may not run the step.
type verdict struct {
	ticket    string
	at, valid time.Duration
}

// expiresAt returns the steady time from which on the worker rejects the ticket.
func (v verdict) expiresAt() time.Duration { return v.at + v.valid }

// usableUntil returns the steady time until which tasks are placed with the ticket.
func (v verdict) usableUntil() time.Duration {
	return v.expiresAt() - min(ticketMargin, v.valid/ticketMarginDivisor)
}

// ticket returns the worker's last ticket, valid or not, or "" if it has none.
func (a *advice) ticket(worker string) string { return a.verdicts[worker].ticket }

// valid reports whether the worker has a ticket that has not expired.
func (a *advice) valid(worker string, now Moment) bool {
	v := a.verdicts[worker]
	return v.ticket != "" && now.Steady < v.usableUntil()
}

// allValid reports whether all workers have tickets that have not expired.
func (a *advice) allValid(ws []*worker, now Moment) bool {
	return !slices.ContainsFunc(ws, func(w *worker) bool { return !a.valid(w.ID, now) })
}

// anyValid reports whether any worker has a ticket that has not expired.
func (a *advice) anyValid(now Moment) bool {
	for worker := range a.verdicts {
		if a.valid(worker, now) {
			return true
		}
	}
	return false
}

// denied reports whether the adviser has said that the worker may not run the step.
func (a *advice) denied(worker string) bool {
	v, ok := a.verdicts[worker]
	return ok && v.ticket == ""
}

// workersToAsk chooses workers without a valid ticket, those on the racks with most free capacity
// first, as the group would be placed there. Workers that are known to be permitted are asked about
// again only if they have free capacity or, for urgent work, could be given some by preemption, since
// each ticket soon expires.
func (e *Engine) workersToAsk(g *group, now Moment) []string {
	var withRoom, withoutRoom []string
	usual := g.usualWorkersAsked()
	fits, unknown := 0, 0
	for _, w := range e.candidatesToAsk(g, now) {
		n := w.free().Times(g.step.Need(), g.quota(w))
		allowed := g.batch.advice.ticket(w.ID) != ""
		if !allowed {
			unknown++
		}
		switch {
		case g.batch.advice.valid(w.ID, now):
			fits += n
		case n > 0 && (fits < askCapacityFactor*len(g.waiting) || len(withRoom) < usual):
			fits += n
			withRoom = append(withRoom, w.ID)
		case n <= 0 && (g.queue.Priority == 0 || !allowed):
			withoutRoom = append(withoutRoom, w.ID)
		}
	}
	if g.step.Gang && fits < len(g.waiting) && unknown == 0 && g.queue.Priority > 0 {
		return nil // the permitted workers have no capacity for the whole gang
	}
	if len(withRoom) < usual {
		withRoom = append(withRoom, withoutRoom[:min(len(withoutRoom), usual-len(withRoom))]...)
	}
	return withRoom[:min(len(withRoom), maxWorkersAsked)]
}

// usualWorkersAsked returns how many workers a question about the group names, however few it needs: the more there are,
// the better it can be placed. It is bounded so that the adviser takes at most twice as long as for none, since
// other steps wait for it; each further question about the step may name twice as many.
func (g *group) usualWorkersAsked() int {
	terms := g.queue.Advice
	if terms.EachMs <= 0 {
		return usualWorkersAsked
	}
	n := max(1, terms.DecideMs/terms.EachMs) * float64(int(1)<<min(g.batch.advice.asked, maxUsualDoublings))
	return int(min(n, usualWorkersAsked))
}

// candidatesToAsk returns the eligible workers that have not been denied: those on the rack of the
// step's data first, then those on the racks with most free capacity. Where the workers differ in speed, those that suit
// the group come first.
func (e *Engine) candidatesToAsk(g *group, now Moment) []*worker {
	racks := lo.Filter(e.racks, func(r *rack, _ int) bool { return r.pool == g.queue.Pool })
	room := func(r *rack) int { return r.free.Times(g.step.Need(), len(g.waiting)) }
	slices.SortStableFunc(racks, func(a, b *rack) int {
		return cmp.Or(
			-compareBools(a.name == g.step.DataRack, b.name == g.step.DataRack),
			-cmp.Compare(room(a), room(b)),
		)
	})
	healthyOnly := g.needsHealthyWorkers()
	ws := lo.FlatMap(racks, func(r *rack, _ int) []*worker {
		return lo.Filter(r.workers, func(w *worker, _ int) bool {
			return g.eligible(w, healthyOnly, now) && !g.batch.advice.denied(w.ID)
		})
	})
	if g.fit.uneven {
		slices.SortStableFunc(ws, func(a, b *worker) int {
			return cmp.Compare(g.fit.tier(a.speed, g.step.Gang), g.fit.tier(b.speed, g.step.Gang))
		})
	}
	return ws
}

// compareBools orders false before true.
func compareBools(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// record records the answer to a question about workers, which arrived at the steady time at.
func (a *advice) record(workers []string, tickets map[string]string, at, valid time.Duration) {
	if a.verdicts == nil {
		a.verdicts = make(map[string]verdict, len(workers))
	}
	for _, id := range workers {
		if !a.restarted[id] {
			a.verdicts[id] = verdict{ticket: tickets[id], at: at, valid: valid}
		}
	}
}

// settle records that no question about the step is in flight.
func (a *advice) settle() { a.inFlight, a.restarted = false, nil }

// forget removes the answer about a worker whose incarnation has ended, and the one that is awaited.
func (a *advice) forget(worker string) {
	delete(a.verdicts, worker)
	if !a.inFlight {
		return
	}
	if a.restarted == nil {
		a.restarted = map[string]bool{}
	}
	a.restarted[worker] = true
}

// ForgetAdvice removes the adviser's answers about a worker whose incarnation has ended, since they
// hold only for that incarnation.
func (e *Engine) ForgetAdvice(worker string) {
	if !e.askedAdviser {
		return
	}
	for _, j := range e.openJobs {
		for k := range j.Batches {
			for s := range j.Batches[k] {
				j.Batches[k][s].advice.forget(worker)
			}
		}
	}
}

// expireWith makes all tickets of the answer that brought the worker's ticket count as expired.
func (a *advice) expireWith(worker string) {
	at := a.verdicts[worker].at
	for id, v := range a.verdicts {
		if v.at == at {
			v.valid = 0
			a.verdicts[id] = v
		}
	}
}

// RejectTicket records that a start was rejected because of its ticket, and had no effect. The adviser will be asked
// about the worker again. The other tickets of the same answer were issued at the same time, so they would be
// rejected too.
func (e *Engine) RejectTicket(ref TaskRef, run int64, now Moment) {
	_, b, t := e.find(ref)
	if t == nil || t.Phase != Placed || t.Run != run {
		return
	}
	if b.advice.verdicts[t.Worker].at <= t.placedAt { // else a newer answer has arrived since
		b.advice.expireWith(t.Worker)
		delete(b.advice.verdicts, t.Worker)
	}
	e.End(ref, run, Refused, "", now)
	t.avoidWorker = "" // the worker would accept the same run with another ticket
}
