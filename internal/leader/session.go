package leader

import (
	"context"
	"errors"
	"time"

	"greengageline/internal/event"
	"greengageline/internal/orders"
	"greengageline/internal/sched"
)

const (
	// maxHoldWait is how long a worker waits at most for a run to end before it answers a hold: the longest that the
	// platform's workers wait. leaseHoldWaits is how many such waits a lease must allow for.
	maxHoldWait    = 2 * time.Second
	leaseHoldWaits = 3
	// orderTimeout is the least timeout of a start or a stop. A round trip takes a few ms. A gang's members wait
	// 3 s for the last one; within that time a lost start must be detected and replaced.
	orderTimeout = 350 * time.Millisecond
	// holdSlack is the timeout of a hold beyond the time that the worker may wait, and the longest time
	// that a start may be delayed in this process before it is sent.
	holdSlack = 700 * time.Millisecond
	// holdRetryPause is the pause after a hold that failed.
	holdRetryPause = 250 * time.Millisecond
	// minProbePause and maxProbePause bound the time between holds to a silent worker without runs; it doubles with each
	// one that fails.
	minProbePause = 500 * time.Millisecond
	maxProbePause = 4 * time.Second
	// maxProbesPerTick bounds these holds in one tick: many workers may join or fall silent at once.
	maxProbesPerTick = 50
	// maxOwnDelay is how long a worker's missing answers may be put down to this node's own link or processor:
	// twice the longest hold.
	maxOwnDelay = 2 * (maxHoldWait + maxOrderTimeout)
	// maxHoldsInFlight bounds the holds in flight to one worker, and maxRunOrdersInFlight the starts and stops together,
	// whose connections all nodes share. Together they are orders.MaxInFlight, so that none fails for want of a
	// connection. maxStartsInFlight and maxStopsInFlight leave some of these for the others.
	maxHoldsInFlight     = 2
	maxRunOrdersInFlight = orders.MaxInFlight - maxHoldsInFlight
	maxStartsInFlight    = 6
	maxStopsInFlight     = 16
	// listTime is the pause between holds for each run that an answer lists while stops wait for the worker, and
	// leaseListPauses how many of the longest pauses a lease must allow for.
	listTime        = 200 * time.Microsecond
	leaseListPauses = 12
)

// session is the owner's state about one worker. It polls the worker with holds: a hold renews the leases
// of the worker's runs, acknowledges ended runs and waits for new ends. The fields belong to the owner's
// loop; calls in flight work on copies and report to the loop.
type session struct {
	o     *Owner
	entry orders.Entry
	// carrier is the address of the node that carries orders to the worker; "" means that they are sent directly.
	carrier string
	// provenAddr is the address at which the worker answered last; "" before it has answered this owner.
	provenAddr string
	// rejectedAddr is the last other address in an entry of that incarnation.
	rejectedAddr string
	listed       bool // the worker has an entry
	adopted      bool // its runs were started under an earlier owner; cleared by the first answer
	closed       bool // the session has ended
	// incarnation is the worker's incarnation that answered last, as its start time in Unix ms.
	// incarnationConfirmed is set while the present connection has confirmed that it is still that one.
	incarnation          int64
	incarnationConfirmed bool
	// incarnationSince is when that incarnation first answered a hold, heldAt when it last did, and failedAt when a
	// call last failed in a way that leaves open which incarnation the next one reaches.
	incarnationSince, heldAt, failedAt time.Duration
	// clockMs is the worker's clock at clockAt; clockOK is set once it is known.
	clockMs int64
	clockAt time.Duration
	clockOK bool
	// leaseUntil is until when runs may live at the worker if it does not answer.
	leaseUntil time.Duration
	// The worker numbers the ends of its runs, each incarnation from 1. seenEnd is the highest that the present
	// incarnation listed, coveredEnd the highest that a sent transaction covers, durableEnd the highest that is
	// durable.
	seenEnd, coveredEnd, durableEnd int64
	// uncovered has the ends after coveredEnd in order.
	uncovered  []uncoveredEnd
	silent     bool
	probePause time.Duration // time until the next hold to the silent worker, if nothing runs there
	proven     bool          // the worker has answered this owner
	reported   bool          // that it has never answered has been logged
	lastHoldAt time.Duration // when the last hold was sent
	answeredAt time.Duration // when the worker last answered a hold or a start
	// outOfTouch is set from the first call that failed since then; disconnected says that the worker closed
	// the connection in that call.
	outOfTouch, disconnected bool
	holdsInFlight            int
	// ackedEnd is the highest end whose acknowledgement the worker has answered. ackDirectly is set while holds that
	// acknowledge ends are sent without the carrier, by which an acknowledgement did not pass.
	ackedEnd    int64
	ackDirectly bool
	// lastStopAt is when the stop of a run was last ordered. stops has the stops to send in order, pendingStops all
	// that are queued, in flight or to be repeated.
	lastStopAt    map[sched.TaskRef]time.Duration
	stops         []*pendingStop
	pendingStops  map[stopKey]bool
	stopsInFlight int
	stopLimit     stopWindow
	// holdDue is set while a hold is due that must be sent after what has been answered so far, holdTimed while it waits
	// for holdSpacing.
	holdDue, holdTimed bool
	// pausedUntil is the end of the pause between holds, and pauseTimed is set while a hold waits for it.
	pausedUntil time.Duration
	pauseTimed  bool
	// acknowledged says that the last hold acknowledged ends.
	acknowledged bool
	// startsInFlight has the run of each start in flight, unconfirmedStarts the starts that got no answer.
	startsInFlight    map[sched.TaskRef]int64
	unconfirmedStarts map[sched.TaskRef]startOutcome
	// lostRuns has the runs that were given up since the worker last answered. It may have crashed under them.
	lostRuns map[sched.TaskRef]lostRun
	// lookPlanned is set while a look at the worker is planned.
	lookPlanned bool
	// coldUntil is until when the incarnation coldOf is not at its usual speed after its start.
	coldUntil time.Duration
	coldOf    int64
}

// uncoveredEnd is an end that no transaction covers yet: its number, and the job whose record has to be stored.
type uncoveredEnd struct {
	seq int64
	job string
}

// coverEnds moves coveredEnd to the last end before the first whose job's record is not stored, nor in the transaction
// that is being built, and reports whether it moved.
func (s *session) coverEnds() bool {
	before := s.coveredEnd
	n := 0
	for n < len(s.uncovered) && !s.o.dirtyJobs[s.uncovered[n].job] {
		s.coveredEnd = s.uncovered[n].seq
		n++
	}
	s.uncovered = s.uncovered[n:]
	return s.coveredEnd > before
}

// session returns the worker's session and creates it if there is none.
func (o *Owner) session(e orders.Entry) *session {
	s := o.sessions[e.ID]
	if s == nil {
		s = &session{
			o: o, entry: e, carrier: shareOf(e.ID, o.shares),
			lastStopAt:     map[sched.TaskRef]time.Duration{},
			startsInFlight: map[sched.TaskRef]int64{}, unconfirmedStarts: map[sched.TaskRef]startOutcome{},
			lostRuns: map[sched.TaskRef]lostRun{}, pendingStops: map[stopKey]bool{},
		}
		o.sessions[e.ID] = s
	}
	return s
}

// holdWait returns how long a worker may wait before it answers a hold. If a hold gets no answer, the next must still
// be in time for the leases.
func (o *Owner) holdWait() time.Duration {
	if o.lead.Bounds.MaxLease == 0 {
		return maxHoldWait
	}
	return min(maxHoldWait, o.lead.Bounds.MaxLease/leaseHoldWaits)
}

// holdIfIdle sends a hold unless one is in flight.
func (s *session) holdIfIdle() {
	if s.holdsInFlight > 0 || s.closed || s.entry.Addr == "" {
		return
	}
	s.sendHold(s.o.holdWait())
}

// needsHold reports whether the worker needs a hold: runs are placed there, ends are to be acknowledged, or
// starts got no answer.
func (s *session) needsHold() bool {
	return !s.closed && s.entry.Addr != "" && (s.o.engine.Busy(s.entry.ID) || s.hasUnacknowledgedEnds() || len(s.unconfirmedStarts) > 0)
}

// checkLeases runs once a tick. It gives up the runs of a silent worker whose leases have ended, closes the
// session of a worker without runs that is no longer listed, and sends a hold if one is needed.
func (s *session) checkLeases() {
	now := s.o.lead.now()
	busy := s.o.engine.Busy(s.entry.ID)
	if busy && s.silent && now > s.leaseUntil {
		s.loseRuns("its leases have run out and it does not answer", false)
		busy = false
	}
	if !busy && !s.listed {
		s.close()
		return
	}
	if s.holdsInFlight == 0 && s.needsHold() && (s.seenEnd == s.durableEnd || now-s.lastHoldAt > pendingEndsHoldInterval) {
		s.sendHold(0)
		return
	}
	// Nothing else would show that a silent worker answers again, since it gets no new work.
	if s.silent && s.holdsInFlight == 0 && s.entry.Addr != "" && now-s.lastHoldAt >= s.probePause && s.o.probesLeft > 0 {
		s.o.probesLeft--
		s.probePause = min(max(minProbePause, 2*s.probePause), maxProbePause)
		s.sendHold(0)
	}
}

// pendingEndsHoldInterval is the time between holds while ends wait to become durable: a sixth of the
// shortest lease on the users' sites.
const pendingEndsHoldInterval = time.Second

// close ends the session; the scheduler forgets the worker.
func (s *session) close() {
	s.closed = true
	s.dropStops()
	delete(s.o.sessions, s.entry.ID)
	s.o.engine.DropWorker(s.entry.ID, s.o.moment())
	if s.o.lead.Fleet.Forget != nil && s.entry.Addr != "" {
		s.o.lead.Fleet.Forget(s.entry)
	}
}

// leaseDeadline returns the end of a lease that starts now, on the worker's clock; 0 if that clock is not
// known. The estimate of the clock is never ahead of it, so the lease is never longer than leaseUntil
// accounts for.
func (s *session) leaseDeadline() int64 {
	if !s.clockOK {
		return 0
	}
	since := s.o.lead.now() - s.clockAt
	return s.clockMs + (since - since*clockDriftPercent/100).Milliseconds() + s.o.lead.Bounds.MaxLease.Milliseconds()
}

// clockDriftPercent is by how many percent a worker's clock may be slow.
const clockDriftPercent = 2

// recordClock records the worker's clock as read at a time of the steady clock; 0 means not told.
func (s *session) recordClock(clockMs int64, at time.Duration) {
	if clockMs > 0 {
		s.clockMs, s.clockAt, s.clockOK = clockMs, at, true
	}
}

// sendHold sends one hold, after the pause if there is one; handling its answer sends the next.
func (s *session) sendHold(wait time.Duration) {
	o := s.o
	e := s.target(carriedHoldAge)
	if s.ackDirectly && s.hasUnacknowledgedEnds() {
		e = s.entry
	}
	if s.waitForPause(e) {
		return
	}
	in := orders.Hold{Epoch: o.epoch, Wait: wait, Incarnation: s.incarnation}
	switch {
	case s.mayAcknowledge(e):
		in.Acked = s.durableEnd
	case s.hasUnacknowledgedEnds():
		in.Wait = 0 // the answer tells whether the next hold may acknowledge them
	}
	s.acknowledged = in.Acked > 0
	// A silent worker may still receive the hold. Leases are not extended until it answers, or its runs
	// could never be given up.
	if o.mayOrder() && !s.silent && o.engine.Busy(s.entry.ID) {
		in.DeadlineMs = s.leaseDeadline()
	}
	sent := o.lead.now()
	s.lastHoldAt = sent
	if in.DeadlineMs > 0 {
		s.leaseUntil = max(s.leaseUntil, sent+carryTime(e)+o.maxRunLife())
	}
	s.holdsInFlight++
	s.holdDue = false
	timeout, to := in.Wait+max(holdSlack, o.starts.timeout()), s.incarnation
	o.spawn(func() {
		if !o.mayOrder() {
			o.post(func() { s.holdsInFlight-- })
			return
		}
		ctx, cancel := context.WithTimeout(o.ctx, timeout)
		out, err := o.lead.Fleet.Hold(ctx, e, in)
		cancel()
		o.post(func() { s.handleHold(heldCall{in, sent, to, e.Addr, e.Carrier != ""}, out, err) })
	})
}

// waitForPause reports whether the next hold, to e, has to wait for the end of the pause, after which one is sent if it
// is still needed. While stops wait for the worker, its runs end one after another, and without a pause each end would
// be followed by a list of all others, which takes the time of the stops. An acknowledgement can't wait, but the hold
// after it can.
func (s *session) waitForPause(e orders.Entry) bool {
	left := s.pausedUntil - s.o.lead.now()
	if left <= 0 || len(s.stops) == 0 || s.mayAcknowledge(e) && !s.acknowledged {
		return false
	}
	if !s.pauseTimed {
		s.pauseTimed = true
		time.AfterFunc(left, func() { s.o.post(s.endPause) })
	}
	return true
}

// endPause sends the hold that has waited for the end of a pause.
func (s *session) endPause() {
	s.pauseTimed = false
	if s.holdDue {
		s.sendDueHold()
		return
	}
	s.holdIfDue()
}

// pause begins a pause after an answer that lists so many runs.
func (s *session) pause(runs int) {
	s.pausedUntil = s.o.lead.now() + min(time.Duration(runs)*listTime, s.o.lead.Bounds.MaxLease/leaseListPauses)
}

// ackMaxAge is how long after the answer to a hold the next one may acknowledge ends: less than a worker takes to
// start again. After that a hold without acknowledgement comes first.
const ackMaxAge = 100 * time.Millisecond

// mayAcknowledge reports whether the next hold, to e, may acknowledge ends: there are any that no hold has acknowledged
// yet, and the hold reaches the incarnation that listed them. Another incarnation would forget ends of its own that
// nobody has seen.
func (s *session) mayAcknowledge(e orders.Entry) bool {
	if !s.hasUnacknowledgedEnds() || s.holdsInFlight > 0 {
		return false
	}
	if e.Carrier != "" {
		return s.incarnation != 0 // the carrier makes sure that this incarnation gets it
	}
	return s.incarnationConfirmed && s.o.lead.now()-s.heldAt <= ackMaxAge
}

// hasUnacknowledgedEnds reports whether ends are durable that no hold has acknowledged yet.
func (s *session) hasUnacknowledgedEnds() bool { return s.durableEnd > s.ackedEnd }

// noteIncarnation records the incarnation that answered a hold sent at sent. Another one than before is
// a restart: the numbers of ends count anew.
func (s *session) noteIncarnation(sent time.Duration, out orders.HoldReply, now time.Duration) {
	if out.StartedMs != 0 && out.StartedMs != s.incarnation {
		if s.incarnation != 0 {
			s.loseRestartedRuns(sent, out)
			s.o.lead.Log.Emit(event.WorkerReborn).Str("worker", s.entry.ID).Int64("born", out.StartedMs).Int64("before", s.incarnation).Send()
			s.seenEnd, s.coveredEnd, s.durableEnd, s.ackedEnd = 0, 0, 0, 0
			s.uncovered = nil
			s.o.engine.ForgetAdvice(s.entry.ID)
		}
		s.incarnation, s.incarnationSince = out.StartedMs, now
	}
	s.heldAt = now
	// A call that failed meanwhile may have met a restart that this answer came before.
	s.incarnationConfirmed = s.incarnationConfirmed || sent > s.failedAt
}

// reachedIncarnation returns the latest incarnation that is known, which an order that is sent now will reach as far
// as that can be told; 0 if none is known.
func (s *session) reachedIncarnation() int64 { return max(s.incarnation, s.entry.StartedMs) }

// noteUncertain records that the next call may reach another incarnation.
func (s *session) noteUncertain() {
	s.incarnationConfirmed, s.failedAt = false, s.o.lead.now()
}

// heldCall is a hold that was sent at a time to an address, where the incarnation to was expected.
type heldCall struct {
	orders.Hold
	sent time.Duration
	to   int64
	addr string
	// carried means that a carrier may have brought the answer, which may be older than it seems then.
	carried bool
}

// handleHold handles the outcome of a hold.
func (s *session) handleHold(in heldCall, out orders.HoldReply, err error) {
	o, sent := s.o, in.sent
	s.holdsInFlight--
	o.lead.Metrics.orderSent("hold", err)
	if s.closed {
		return
	}
	defer func() {
		if !s.holdTimed {
			s.sendDueHold()
		}
	}()
	if err != nil {
		s.handleHoldFailure(in.addr, err)
		return
	}
	s.provenAddr = in.addr
	now := o.moment()
	if out.StartedMs != 0 && out.StartedMs != s.incarnation && sent < s.incarnationSince {
		// The answer of an earlier incarnation, overtaken by one of the present incarnation.
		s.holdIfDue()
		return
	}
	wasSilent := s.silent
	if wasSilent {
		s.setSilent(false, nil)
	}
	s.noteIncarnation(sent, out, now.Steady)
	if in.carried {
		s.incarnationConfirmed = false
	}
	s.noteAnswer(now.Steady)
	s.forgetLostRuns()
	if in.Acked > 0 {
		s.ackDirectly = out.NotAcked
	}
	if in.to == s.incarnation && !out.NotAcked {
		s.ackedEnd = max(s.ackedEnd, in.Acked)
	}
	s.recordClock(out.ClockMs, now.Steady)
	s.applyRuns(sent, in.Hold, out, now)
	s.adopted = false
	if len(out.Ended) > 0 {
		o.passDue = true
	}
	s.pausedUntil = 0
	if in.DeadlineMs > 0 && !out.More { // the leases allow for a pause, and no ends wait to be listed
		s.pause(len(out.Running))
	}
	// A worker answers at once while it lists ends that are not acknowledged, so the next hold waits until
	// they are durable. checkLeases extends the leases if that takes long.
	if s.holdsInFlight > 0 {
		return
	}
	switch {
	case wasSilent && s.needsHold():
		s.sendHold(0) // extends the leases, which the last hold did not
	case s.seenEnd == s.durableEnd && s.needsHold():
		s.sendHold(s.o.holdWait())
	case in.Acked < s.durableEnd && s.hasUnacknowledgedEnds():
		s.sendHold(0)
	}
}

// applyRuns applies the lists of runs in the answer to the hold in, which was sent at sent.
func (s *session) applyRuns(sent time.Duration, in orders.Hold, out orders.HoldReply, now sched.Moment) {
	listed := map[sched.TaskRef]int64{}
	for _, r := range out.Running {
		listed[r.Task] = r.Run
		s.o.engine.Confirm(r.Task, r.Run, r.Percent, r.Checkpoint, now)
		if s.unconfirmedStarts[r.Task].run == r.Run {
			delete(s.unconfirmedStarts, r.Task)
			s.o.confirmedRuns[r.Task] = startOutcome{run: r.Run, at: sent, incarnation: s.incarnation}
		}
		if c := s.o.confirmedRuns[r.Task]; c.run == r.Run && c.incarnation != s.incarnation {
			c.incarnation = s.incarnation
			s.o.confirmedRuns[r.Task] = c
		}
		s.stopUnknownRun(r)
	}
	for _, e := range out.Ended {
		listed[e.Task] = max(listed[e.Task], e.Run)
		s.recordEnd(e, now)
	}
	if !out.More {
		// An answer that is cut off does not tell which runs the worker does not know.
		s.loseUnlistedRuns(sent, in, listed, now)
		s.stopUnconfirmedStarts(sent)
	}
}

// stopRepeatAge is how long after a stop was sent the run may still be listed: longer than the stop takes
// on any site.
const stopRepeatAge = 1200 * time.Millisecond

// stopUnknownRun stops a listed run that is not the task's present run by the records, and sends a stop
// again that may not have reached the worker.
func (s *session) stopUnknownRun(r orders.Running) {
	run, worker, placed := s.o.engine.CurrentRun(r.Task)
	if placed && run == r.Run && worker == s.entry.ID {
		if s.o.engine.Stopping(r.Task) && s.o.lead.now()-s.lastStopAt[r.Task] > stopRepeatAge {
			s.o.sendStop(sched.Order{Task: r.Task, Run: r.Run, Stop: true, Worker: s.entry.ID, Reason: "it still runs after its stop was ordered"})
		}
		return
	}
	if placed && run > r.Run && worker == s.entry.ID {
		return // the start of the newer run is in flight and ends this one
	}
	s.o.lead.Log.Emit(event.TaskStray).Str("task", r.Task.String()).Int64("run", r.Run).Str("worker", s.entry.ID).Send()
	s.o.sendStop(sched.Order{Task: r.Task, Run: r.Run, Stop: true, Worker: s.entry.ID, Reason: "the records have no such run"})
}

// recordEnd records the end of a run, unless it was handled before.
func (s *session) recordEnd(e orders.Ended, now sched.Moment) {
	if e.Seq <= s.seenEnd {
		return
	}
	s.seenEnd = e.Seq
	s.uncovered = append(s.uncovered, uncoveredEnd{e.Seq, e.Task.Job})
	delete(s.unconfirmedStarts, e.Task)
	delete(s.lastStopAt, e.Task)
	run, worker, placed := s.o.engine.CurrentRun(e.Task)
	if placed && run == e.Run && worker != s.entry.ID {
		return
	}
	counted := s.o.engine.End(e.Task, e.Run, e.Cause, e.Checkpoint, now)
	s.o.lead.Metrics.runEnded(e.Cause)
	s.o.lead.Log.Emit(event.TaskEnded).Str("task", e.Task.String()).Int64("run", e.Run).Str("worker", s.entry.ID).
		Str("cause", string(e.Cause)).Bool("present", counted).Int64("epoch", s.o.epoch).Send()
}

// stopUnconfirmedStarts stops the runs whose start got no answer and that the worker did not list, since
// they might still begin.
func (s *session) stopUnconfirmedStarts(sent time.Duration) {
	for ref, u := range s.unconfirmedStarts {
		if u.at >= sent || u.stopping {
			continue
		}
		u.stopping = true
		s.unconfirmedStarts[ref] = u
		s.o.sendStop(sched.Order{Task: ref, Run: u.run, Stop: true, Worker: s.entry.ID, Reason: "its start got no answer"})
	}
}

// handleHoldFailure handles a hold to an address that failed: the worker counts as silent until it answers again.
func (s *session) handleHoldFailure(addr string, err error) {
	o := s.o
	s.pausedUntil = 0
	s.noteUncertain()
	s.noteFailure(err)
	triedDirectly := s.ackDirectly
	s.ackDirectly = false
	if errors.Is(err, orders.ErrFenced) {
		s.o.lead.Log.Emit(event.LeadLost).Int64("epoch", s.o.epoch).Str("reason", "a worker has accepted orders of a later epoch").Send()
		s.o.cancel()
		return
	}
	if errors.Is(err, orders.ErrOtherIncarnation) && addr == s.provenAddr {
		// Another worker has the address at which this one answered, so this one is gone. Elsewhere the entry may be
		// wrong, and the leases of the runs have to run out.
		s.leaseUntil = 0
		s.loseRuns("another incarnation answers at its address", s.endsUnplanned())
		if s.endsUnplanned() {
			s.countLostRuns()
		}
	}
	// While this node's own link or processor is full, a late answer says nothing about the worker.
	now := o.lead.now()
	ownDelay := o.starts.congested(now) && errors.Is(err, orders.ErrOutcomeUnknown) && now-s.answeredAt < maxOwnDelay
	switch {
	case !s.silent && !ownDelay && !triedDirectly: // the carrier may reach it
		s.setSilent(true, err)
	case s.silent && !s.proven && !s.reported:
		s.reported = true
		o.lead.Log.Emit(event.WorkerSilent).Str("worker", s.entry.ID).Bool("answered_before", false).AnErr("error", err).Int64("epoch", o.epoch).Send()
	}
	time.AfterFunc(holdRetryPause, func() { s.o.post(s.holdIfDue) })
}

// holdIfDue sends a hold after a failure if one is still needed.
func (s *session) holdIfDue() {
	if s.holdsInFlight == 0 && s.needsHold() {
		s.sendHold(0)
	}
}

// setSilent records whether the worker answers; a silent worker gets no new tasks.
func (s *session) setSilent(silent bool, err error) {
	if silent && s.silent {
		return
	}
	s.silent, s.probePause = silent, minProbePause
	s.o.updateWorker(s)
	if silent {
		s.o.lead.Log.Emit(event.WorkerSilent).Str("worker", s.entry.ID).AnErr("error", err).Int64("epoch", s.o.epoch).Send()
		return
	}
	s.o.passDue = true
	s.o.lead.Log.Emit(event.WorkerBack).Str("worker", s.entry.ID).Int64("epoch", s.o.epoch).Send()
}

// updateWorker tells the scheduler the worker's present state.
func (o *Owner) updateWorker(s *session) {
	w := s.entry.Worker
	w.Silent, w.Unproven = s.silent || s.entry.Addr == "", !s.proven
	closed := o.waves.closedWorkers[s.entry.ID]
	w.Leaving = w.Leaving || !s.listed || closed == goingDown
	w.Draining = closed == draining
	w.EvacuateBy = o.evac.by[w.Zone]
	w.Leaving = w.Leaving || w.EvacuateBy != 0
	s.addSpeedFacts(&w)
	o.engine.SetWorker(w)
}
