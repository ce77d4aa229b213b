package leader

import (
	"context"
	"errors"
	"time"

	"greengageline/internal/event"
	"greengageline/internal/orders"
	"greengageline/internal/sched"
)

// sendReadyStarts sends the starts whose records are durable, in order, as far as the window over all workers
// and the bound of each worker allow. While the last commit is older than takeoverAge, another node may have taken
// over, and they wait for the next one. They also wait while the view of the evacuated zones is too old.
func (o *Owner) sendReadyStarts() {
	if o.commitAge() >= takeoverAge || o.lead.checkView(o.lead.evacuations()) != nil {
		return
	}
	kept := o.readyStarts[:0]
	o.startsAwaitingTickets = 0
	for i, order := range o.readyStarts {
		if o.starts.full() {
			kept = append(kept, o.readyStarts[i:]...)
			break
		}
		if s := o.sessions[order.Worker]; s != nil && !s.mayStart() {
			kept = append(kept, order)
			continue
		}
		if o.awaitsTicket(&order) {
			o.startsAwaitingTickets++
			kept = append(kept, order)
			continue
		}
		o.sendStart(order)
	}
	o.readyStarts = kept
}

// awaitsTicket gives a start the newest ticket, and reports whether it has to wait for another one. The record of the
// run is durable, so that it needs no other.
func (o *Owner) awaitsTicket(order *sched.Order) bool {
	if order.Ticket == "" {
		return false
	}
	ticket, expiresAt, renewing := o.engine.NewestTicket(order.Task, order.Run, o.moment())
	if renewing {
		o.passDue = true
		return true
	}
	if ticket != "" {
		order.Ticket, order.TicketExpiresAt = ticket, expiresAt
	}
	return false
}

// sendStart sends a start, or rejects it if it must no longer be sent.
func (o *Owner) sendStart(order sched.Order) {
	s := o.sessions[order.Worker]
	run, worker, placed := o.engine.CurrentRun(order.Task)
	if !placed || run != order.Run || worker != order.Worker {
		return
	}
	j := o.engine.Job(order.Task.Job)
	if s == nil || s.closed || s.silent || j == nil || !j.Open() || !o.mayStart() || o.engine.Stopping(order.Task) || o.lead.CheckStart(s.entry.Zone) != nil {
		o.engine.End(order.Task, order.Run, sched.Refused, "", o.moment())
		o.passDue = true
		return
	}
	if order.Ticket != "" && o.lead.now() >= order.TicketExpiresAt {
		o.engine.RejectTicket(order.Task, order.Run, o.moment()) // the worker would do so
		o.passDue = true
		return
	}
	in := orders.Start{
		Task: order.Task, Run: order.Run, Payload: j.Work.Payload, Epoch: o.epoch,
		Checkpoint: order.Checkpoint, Ticket: order.Ticket,
	}
	if s.proven {
		in.DeadlineMs = o.startDeadline(s.leaseDeadline())
	}
	e := s.target(carriedStartAge)
	if in.DeadlineMs == 0 {
		e = s.entry // the hold before it must be answered to this node
	}
	s.startsInFlight[order.Task] = order.Run
	s.leaseUntil = max(s.leaseUntil, o.lead.now()+carryTime(e)+o.maxRunLife())
	o.starts.inFlight++
	sentAt, timeout, to := o.lead.now(), o.starts.timeout(), s.reachedIncarnation()
	o.spawn(func() { o.callStart(s, e, in, to, sentAt, timeout) })
}

// callStart calls the worker to start a run; as far as is known its incarnation is to. If in has no lease, the worker
// has not answered yet or its clock is not known: a hold comes first, and only its answer leads to the start.
func (o *Owner) callStart(s *session, e orders.Entry, in orders.Start, to int64, sentAt, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(o.ctx, timeout)
	defer cancel()
	err := error(nil)
	leaseFrom := sentAt
	if in.DeadlineMs == 0 {
		var out orders.HoldReply
		out, err = o.lead.Fleet.Hold(ctx, e, orders.Hold{Epoch: in.Epoch})
		in.DeadlineMs = o.startDeadline(out.ClockMs + o.lead.Bounds.MaxLease.Milliseconds())
		leaseFrom = o.lead.now()
	}
	var clockMs int64
	switch {
	case err != nil:
		err = asNotSent(err)
	case !o.mayStart() || o.lead.now()-sentAt > timeout+holdSlack:
		err = orders.ErrNotSent // the process was suspended
	default:
		clockMs, err = o.lead.Fleet.Start(ctx, e, in)
	}
	at := o.lead.now()
	o.post(func() {
		o.recordStartTime(at-sentAt, at, err)
		s.leaseUntil = max(s.leaseUntil, leaseFrom+carryTime(e)+o.maxRunLife())
		s.handleStart(in, to, clockMs, at, err)
		o.sendReadyStarts()
	})
}

// recordStartTime records in the window how long a start took, and logs when this node's link or processor
// becomes full and when it no longer is.
func (o *Owner) recordStartTime(took, now time.Duration, err error) {
	if errors.Is(err, orders.ErrNotSent) {
		o.starts.notSent()
		return
	}
	before := o.starts.congested(now)
	o.starts.answered(took, now)
	if after := o.starts.congested(now); after != before {
		o.lead.Log.Emit(event.StartsLimited).Bool("limited", after).Int("window", o.starts.size()).Int("backlog", len(o.readyStarts)).
			Int64("answer_ms", o.starts.smoothed.Milliseconds()).Int64("epoch", o.epoch).Send()
	}
}

// asNotSent converts the failure of the hold before a start into an error which proves that the start did
// nothing.
func asNotSent(err error) error {
	if orders.HadNoEffect(err) {
		return err
	}
	return orders.ErrNotSent
}

// handleStart handles the outcome of a start that was sent to the incarnation to.
func (s *session) handleStart(in orders.Start, to, clockMs int64, at time.Duration, err error) {
	o := s.o
	o.lead.Metrics.orderSent("start", err)
	if s.startsInFlight[in.Task] == in.Run {
		delete(s.startsInFlight, in.Task)
	}
	if err != nil {
		s.handleStartFailure(in, to, at, err)
		return
	}
	if to == s.reachedIncarnation() {
		s.recordClock(clockMs, at)
	}
	s.noteAnswer(at)
	o.confirmedRuns[in.Task] = startOutcome{run: in.Run, at: at, incarnation: to}
	if run, worker, placed := o.engine.CurrentRun(in.Task); placed && run == in.Run && worker == s.entry.ID {
		if j := o.engine.Job(in.Task.Job); j != nil && !j.Started {
			o.lead.Metrics.jobStarted(o.sinceAccepted(j))
		}
		o.engine.Confirm(in.Task, in.Run, 0, "", o.moment())
	}
	if s.holdsInFlight == 0 && s.needsHold() {
		s.sendHold(o.holdWait())
	}
}

// handleStartFailure handles a start that failed, by whether it may still be carried out.
func (s *session) handleStartFailure(in orders.Start, to int64, at time.Duration, err error) {
	o := s.o
	o.lead.Log.Emit(event.StartFailed).Str("task", in.Task.String()).Int64("run", in.Run).Str("worker", s.entry.ID).
		Int64("epoch", o.epoch).Err(err).Send()
	switch {
	case errors.Is(err, orders.ErrFenced):
		o.lead.Log.Emit(event.LeadLost).Int64("epoch", o.epoch).Str("reason", "a worker has accepted orders of a later epoch").Send()
		o.cancel()
	case errors.Is(err, orders.ErrBadTicket):
		o.engine.RejectTicket(in.Task, in.Run, o.moment())
		o.passDue = true
	case orders.HadNoEffect(err):
		if errors.Is(err, orders.ErrOtherIncarnation) || errors.Is(err, orders.ErrNotSent) && !s.proven {
			s.setSilent(true, err) // until it answers
		}
		o.engine.Reject(in.Task, in.Run, o.moment())
		o.passDue = true
	default:
		// The next hold tells whether the worker has the run. If it has not, the run is stopped, so that it
		// can't begin later.
		s.noteUncertain()
		s.noteFailure(err)
		s.unconfirmedStarts[in.Task] = startOutcome{run: in.Run, at: at, incarnation: to}
		s.requestHold()
	}
}
