package sched

import (
	"slices"
	"time"
)

// maxTicketRenewals is how often a new ticket is awaited for a run that has not been sent.
const maxTicketRenewals = 4

// NewestTicket returns the newest ticket for a placed run that has not been sent, and the steady time from which on the
// worker rejects it; "" if the start must not be sent any more. If that time has passed, renewing reports whether the
// adviser is asked for another one; the start then has to wait until RecordAdvice or RecordAdviceFailure was called.
func (e *Engine) NewestTicket(ref TaskRef, run int64, now Moment) (ticket string, expiresAt time.Duration, renewing bool) {
	j, b, t := e.find(ref)
	if t == nil || t.Phase != Placed || t.Run != run || e.queue(j).Advice == nil {
		return "", 0, false
	}
	v, w := b.advice.verdicts[t.Worker], e.workers[t.Worker]
	if t.renewals > 0 && (t.Stopping || w == nil || !w.schedulable(now)) {
		t.renewing = false // the worker may have begun to drain meanwhile
		return "", 0, false
	}
	switch gangWaits := j.Work.Steps[ref.Step].Gang && b.hasConfirmed(); {
	case now.Steady < v.expiresAt(), gangWaits, t.Stopping:
		t.renewing = false
	case !t.renewing && t.renewals < maxTicketRenewals:
		t.renewing = true
		t.renewals++
		e.renewals[b] = TaskRef{Job: ref.Job, Occurrence: ref.Occurrence, Step: ref.Step}
	}
	return v.ticket, v.expiresAt(), t.renewing
}

// hasConfirmed reports whether a worker has reported that it has the present run of one of the tasks.
func (b *Batch) hasConfirmed() bool {
	return slices.ContainsFunc(b.Tasks, func(t Task) bool { return t.Phase == Placed && t.Confirmed })
}

// renewalRequests returns the requests for the tickets that are to be renewed. They come before all others, as the runs
// hold capacity already.
func (e *Engine) renewalRequests(now Moment) []adviceRequest {
	var out []adviceRequest
	for b, ref := range e.renewals {
		var workers []string
		for i := range b.Tasks {
			t := &b.Tasks[i]
			if t.Phase == Placed && t.renewing && !b.advice.valid(t.Worker, now) && !slices.Contains(workers, t.Worker) {
				workers = append(workers, t.Worker)
			}
		}
		j := e.jobs[ref.Job]
		if len(workers) == 0 || j == nil || e.queue(j).Advice == nil {
			delete(e.renewals, b)
			continue
		}
		if !b.advice.inFlight {
			g := &group{job: j, ref: ref, batch: b, step: &j.Work.Steps[ref.Step], queue: e.queue(j)}
			out = append(out, adviceRequest{group: g, workers: workers[:min(len(workers), maxWorkersAsked)]})
		}
	}
	slices.SortFunc(out, func(a, b adviceRequest) int { return compareRefs(a.ref, b.ref) })
	return out
}

// settleRenewals records that a question about workers has been answered, or has failed.
func (b *Batch) settleRenewals(workers []string) {
	for i := range b.Tasks {
		if t := &b.Tasks[i]; t.renewing && slices.Contains(workers, t.Worker) {
			t.renewing = false
		}
	}
}
