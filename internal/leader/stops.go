package leader

import (
	"context"
	"errors"
	"slices"
	"time"

	"greengageline/internal/event"
	"greengageline/internal/orders"
	"greengageline/internal/sched"
)

const (
	// stopTries is how often the stop of a run that is not in the records is sent; other stops are sent as long as
	// the run is placed there.
	stopTries = 4
	// holdSpacing is the time over which the answers to stops and starts share one hold.
	holdSpacing = 50 * time.Millisecond
)

// stopKey identifies the stop of a run.
type stopKey struct {
	task sched.TaskRef
	run  int64
}

// pendingStop is a stop that has not been answered.
type pendingStop struct {
	order sched.Order
	tries int
	// stray means that the records had no such run when the stop was ordered.
	stray bool
}

func (p *pendingStop) key() stopKey { return stopKey{p.order.Task, p.order.Run} }

// sendStop queues the stop of a run, unless it is pending already. It is sent until the worker answers.
func (o *Owner) sendStop(order sched.Order) {
	s := o.sessions[order.Worker]
	if s == nil || s.closed || s.entry.Addr == "" {
		return
	}
	p := &pendingStop{order: order}
	if s.pendingStops[p.key()] {
		return
	}
	p.stray = !s.hasRun(order.Task, order.Run)
	s.pendingStops[p.key()] = true
	s.stops = append(s.stops, p)
	line := o.lead.Log.Emit(event.TaskStopped).Str("task", order.Task.String()).Int64("run", order.Run).Str("worker", order.Worker).
		Str("reason", order.Reason).Int64("epoch", o.epoch)
	if order.Queue != "" {
		line = line.Str("queue", order.Queue).Int("priority", order.Priority).Int64("ran_ms", (o.lead.now() - order.PlacedAt).Milliseconds())
	}
	line.Send()
	s.sendQueuedStops()
}

// hasRun reports whether a run is the task's present run by the records, and placed on this worker.
func (s *session) hasRun(task sched.TaskRef, run int64) bool {
	r, worker, placed := s.o.engine.CurrentRun(task)
	return placed && r == run && worker == s.entry.ID
}

// sendQueuedStops sends queued stops, as many as may be in flight, and drops those that are no longer needed.
func (s *session) sendQueuedStops() {
	for len(s.stops) > 0 && s.mayStop() && !s.closed {
		p := s.stops[0]
		s.stops = s.stops[1:]
		if !s.hasRun(p.order.Task, p.order.Run) && (!p.stray || p.tries >= stopTries) {
			delete(s.pendingStops, p.key())
			continue
		}
		s.callStop(p)
	}
}

// mayStart reports whether one more start may be in flight to the worker.
func (s *session) mayStart() bool {
	return len(s.startsInFlight) < min(maxStartsInFlight, maxRunOrdersInFlight-s.stopsInFlight)
}

// mayStop reports whether one more stop may be in flight to the worker.
func (s *session) mayStop() bool {
	return s.stopsInFlight < min(s.stopLimit.size(), maxRunOrdersInFlight-len(s.startsInFlight))
}

// callStop sends a stop once; handleStopAnswer handles the outcome.
func (s *session) callStop(p *pendingStop) {
	o := s.o
	p.tries++
	s.stopsInFlight++
	sentAt := o.lead.now()
	s.lastStopAt[p.order.Task] = sentAt
	e, timeout := s.target(carriedHoldAge), o.starts.timeout()
	o.spawn(func() {
		err := orders.ErrNotSent
		if o.mayOrder() {
			ctx, cancel := context.WithTimeout(o.ctx, timeout)
			err = o.lead.Fleet.Stop(ctx, e, p.order.Task, p.order.Run, o.epoch)
			cancel()
		}
		at := o.lead.now()
		o.post(func() {
			if !o.starts.congested(at) { // else the time may be this node's own
				s.stopLimit.answered(at-sentAt, err)
			}
			s.handleStopAnswer(p, at, err)
		})
	})
}

// handleStopAnswer handles the outcome of a stop that was answered, or failed, at a time. A stop that failed is sent
// again after a pause, behind those that wait.
func (s *session) handleStopAnswer(p *pendingStop, at time.Duration, err error) {
	o := s.o
	s.stopsInFlight--
	o.lead.Metrics.orderSent("stop", err)
	switch {
	case err == nil:
		delete(s.pendingStops, p.key())
		s.handleStop(p.order, at)
	case errors.Is(err, orders.ErrFenced) || errors.Is(err, orders.ErrOtherIncarnation):
		delete(s.pendingStops, p.key())
		s.noteUncertain()
	default:
		s.noteUncertain()
		time.AfterFunc(holdRetryPause, func() {
			o.post(func() {
				s.stops = append(s.stops, p)
				s.sendQueuedStops()
			})
		})
	}
	s.sendQueuedStops()
}

// handleStop handles the answer to a stop: the run ends or never begins, and a hold that is sent from now on tells
// which.
func (s *session) handleStop(order sched.Order, at time.Duration) {
	o := s.o
	incarnation := o.confirmedRuns[order.Task].incarnation
	if u := s.unconfirmedStarts[order.Task]; u.run == order.Run {
		incarnation = u.incarnation
		delete(s.unconfirmedStarts, order.Task)
	}
	if s.hasRun(order.Task, order.Run) {
		o.confirmedRuns[order.Task] = startOutcome{run: order.Run, at: at, incarnation: incarnation}
		s.requestHold()
	}
}

// requestHold sends a hold soon, one for all requests in the meantime. If as many holds as may be are in flight, it
// follows the first answer.
func (s *session) requestHold() {
	s.holdDue = true
	if s.holdTimed {
		return
	}
	s.holdTimed = true
	time.AfterFunc(holdSpacing, func() {
		s.o.post(func() {
			s.holdTimed = false
			s.sendDueHold()
		})
	})
}

// sendDueHold sends the hold that is due, if one is and may be sent.
func (s *session) sendDueHold() {
	if s.holdDue && s.holdsInFlight < maxHoldsInFlight && !s.closed && s.entry.Addr != "" {
		s.sendHold(0)
	}
}

// dropStops forgets the stops of a worker that is gone.
func (s *session) dropStops() {
	s.stops = slices.Delete(s.stops, 0, len(s.stops))
	clear(s.pendingStops)
}
