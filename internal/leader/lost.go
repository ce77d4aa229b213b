package leader

import (
	"errors"
	"slices"
	"time"

	"greengageline/internal/event"
	"greengageline/internal/orders"
	"greengageline/internal/sched"
)

// loseRuns records all runs of a worker that can no longer have them as lost. crashed says that the worker is
// known to have crashed.
func (s *session) loseRuns(reason string, crashed bool) {
	n := 0
	for ref, run := range s.o.engine.RunsOn(s.entry.ID) {
		if _, known := s.o.confirmedRuns[ref]; !known && s.unconfirmedStarts[ref].run != run {
			continue // its start has not been sent yet, or is in flight
		}
		n++
		s.loseRun(ref, run, crashed)
	}
	if n == 0 {
		return
	}
	s.o.passDue = true
	s.o.lead.Log.Emit(event.WorkerGone).Str("worker", s.entry.ID).Int("runs", n).Bool("crashed", crashed).Str("reason", reason).
		Int64("epoch", s.o.epoch).Send()
}

// loseRun records a run as lost with its worker, which may be known to have crashed. If it is not known, the run is
// kept in case that turns out later.
func (s *session) loseRun(ref sched.TaskRef, run int64, crashed bool) {
	o := s.o
	known := s.knownFor(ref, run)
	cause := sched.Lost
	_, disconnected := o.engine.Disconnected(ref, run)
	if crashed || s.endsUnplanned() && disconnected {
		cause = sched.Crashed
		o.engine.EndCrashed(ref, run, known, o.moment())
	} else {
		s.lostRuns[ref] = lostRun{run: run, known: known, alone: o.engine.Alone(ref)}
		o.silentAt[s.entry.Addr] = s
		o.engine.End(ref, run, sched.Lost, "", o.moment())
	}
	o.lead.Metrics.runEnded(cause)
	crashes, suspect := o.engine.Crashes(ref)
	o.lead.Log.Emit(event.TaskLost).Str("task", ref.String()).Int64("run", run).Str("worker", s.entry.ID).Bool("crashed", cause == sched.Crashed).
		Int64("known_ms", known.Milliseconds()).Int("crashes", crashes).Bool("suspect", suspect).Int64("epoch", o.epoch).Send()
}

// lostRun is a run that was given up because its worker did not answer, for how long the worker had it, and
// whether it had the worker to itself.
type lostRun struct {
	run   int64
	known time.Duration
	alone bool
}

// unknownDuration is the result of knownFor if nothing is known.
const unknownDuration = -time.Millisecond

// noteFailure records how contact with the worker was lost: by the first call that failed since it answered last.
func (s *session) noteFailure(err error) {
	if s.outOfTouch {
		return
	}
	s.outOfTouch, s.disconnected = true, errors.Is(err, orders.ErrDisconnected)
	if !s.disconnected {
		return
	}
	for ref, run := range s.o.engine.RunsOn(s.entry.ID) {
		s.o.engine.NoteDisconnect(ref, run, s.knownFor(ref, run), s.reachedIncarnation())
	}
}

// noteAnswer records that the worker has answered.
func (s *session) noteAnswer(at time.Duration) {
	s.answeredAt, s.outOfTouch, s.disconnected = at, false, false
	if !s.proven && !s.closed {
		s.proven = true
		s.o.updateWorker(s)
	}
}

// knownFor returns for how long the worker had a run until it ended: 0 if it never confirmed the run. It is
// unknownDuration for a run that an earlier owner started, and for a worker that was out of touch before it
// ended, since it may have ended at any time.
func (s *session) knownFor(ref sched.TaskRef, run int64) time.Duration {
	c, ok := s.o.confirmedRuns[ref]
	switch {
	case !s.disconnected:
		return unknownDuration
	case !ok || c.run != run:
		return 0
	case c.at < 0:
		return unknownDuration
	}
	return max(0, s.answeredAt-c.at)
}

// countLostRuns counts the crash of the worker under the runs that were given up before it was known.
func (s *session) countLostRuns() {
	for ref, r := range s.lostRuns {
		s.o.engine.CountCrash(ref, r.run, r.known, r.alone, s.o.moment())
	}
	s.forgetLostRuns()
}

// forgetLostRuns forgets the runs that were given up: the worker is back, or its crash has been counted.
func (s *session) forgetLostRuns() {
	if len(s.lostRuns) > 0 {
		clear(s.lostRuns)
		delete(s.o.silentAt, s.entry.Addr)
	}
}

// endsUnplanned reports whether the worker, if it ends now, does so unplanned: it is neither leaving nor about to be
// taken down, and its zone is not evacuated.
func (s *session) endsUnplanned() bool {
	return !s.entry.Leaving && s.o.waves.closedWorkers[s.entry.ID] != goingDown && !s.inEvacuatedZone()
}

// loseRestartedRuns records the runs that a worker lost when it restarted under its id, by its first answer since
// to a hold sent at sent.
func (s *session) loseRestartedRuns(sent time.Duration, out orders.HoldReply) {
	if !s.endsUnplanned() {
		return
	}
	s.countLostRuns()
	if out.More {
		return // the runs that it does not know show once it has listed all ends
	}
	for ref, run := range s.o.engine.RunsOn(s.entry.ID) {
		has := slices.ContainsFunc(out.Running, func(r orders.Running) bool { return r.Task == ref && r.Run >= run }) ||
			slices.ContainsFunc(out.Ended, func(e orders.Ended) bool { return e.Task == ref && e.Run >= run })
		if c, ok := s.o.confirmedRuns[ref]; !has && ok && c.run == run && c.at < sent {
			s.loseRun(ref, run, true)
			s.o.passDue = true
		}
	}
}

// loseUnlistedRuns records as lost the runs that the worker must have known when a hold was sent and did
// not list. If it has restarted since their starts were sent, it crashed under them: also under one whose start
// got no answer, which has been stopped in the meantime.
func (s *session) loseUnlistedRuns(sent time.Duration, in orders.Hold, listed map[sched.TaskRef]int64, now sched.Moment) {
	for ref, run := range s.o.engine.RunsOn(s.entry.ID) {
		known, ok := s.o.confirmedRuns[ref]
		if !ok || known.run != run || known.at >= sent || listed[ref] >= run {
			continue
		}
		s.o.lead.Log.Emit(event.TaskVanished).Str("task", ref.String()).Int64("run", run).Str("worker", s.entry.ID).
			Int("listed", len(listed)).Int64("acked", in.Acked).Int64("seen", s.seenEnd).Int64("incarnation", s.incarnation).
			Int64("started_on", known.incarnation).Send()
		s.o.passDue = true
		if known.incarnation != 0 && known.incarnation != s.incarnation && s.endsUnplanned() {
			s.loseRun(ref, run, true)
			continue
		}
		s.o.lead.Metrics.runEnded(sched.Lost)
		s.o.engine.End(ref, run, sched.Lost, "", now)
	}
}

// lostRunRetention is for how long after its last answer a worker's lost runs are kept: longer than a worker takes
// to restart on the users' deployments.
const lostRunRetention = time.Minute

// dropOldLostRuns forgets the lost runs of workers that have not answered for lostRunRetention.
func (o *Owner) dropOldLostRuns() {
	for _, s := range o.silentAt {
		if o.lead.now()-s.answeredAt > lostRunRetention {
			s.forgetLostRuns()
		}
	}
}
