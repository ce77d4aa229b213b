package lead

import (
	"context"
	"errors"
	"time"

	"greengageline/internal/clock"
	"greengageline/internal/event"
	"greengageline/internal/orders"
	"greengageline/internal/sched"
)

const (
	// holdWait is how long a worker waits with its answer for a run to end;
	// the most that the platform's workers do.
	holdWait = 2 * time.Second
	// orderTimeout bounds a start or a stop: a round trip takes a few ms, and a
	// gang's members wait 3 s for the last, in which a lost start is found out
	// and made good.
	orderTimeout = 350 * time.Millisecond
	// holdSlack bounds a hold besides the time that the worker may wait.
	holdSlack = 700 * time.Millisecond
	// holdRetry is the pause after a hold that failed.
	holdRetry = 250 * time.Millisecond
	// startsAtOnce bounds the starts on their way to one worker, whose
	// connections all nodes share.
	startsAtOnce = 6
)

// session is the owner's dealing with one worker. Its fields belong to the
// owner's loop; the calls on their way work on copies and report to the loop.
type session struct {
	o     *Owner
	entry orders.Entry
	// slots bounds the starts on their way.
	slots chan struct{}

	listed  bool
	adopted bool // its runs come from an owner before
	ended   bool
	// born is the worker's life that answered last; proven is set while the
	// present connection has shown that it is still that life.
	born   int64
	proven bool
	// clockMs is the worker's clock at clockAt; clockOK is set once it is known.
	clockMs int64
	clockAt time.Duration
	clockOK bool
	// leaseUntil is until when runs may live there if nothing answers.
	leaseUntil time.Duration
	// heard is the highest end listed, offered the highest in a transaction on
	// its way, acked the highest that is durable.
	heard, offered, acked int64
	silent                bool
	heldAt                time.Duration // when the last hold was sent
	holds                 int           // holds on their way
	// ackSent is the highest end whose acknowledgement the worker has answered.
	ackSent int64
	// stopSent is when the stop of a run was last ordered.
	stopSent map[sched.Ref]time.Duration
	// starting has the starts on their way, unclear those without an answer.
	starting map[sched.Ref]int64
	unclear  map[sched.Ref]settlement
}

// session returns the worker's session, and makes it if there is none.
func (o *Owner) session(e orders.Entry) *session {
	s := o.sessions[e.ID]
	if s == nil {
		s = &session{
			o: o, entry: e, slots: make(chan struct{}, startsAtOnce),
			stopSent: map[sched.Ref]time.Duration{},
			starting: map[sched.Ref]int64{}, unclear: map[sched.Ref]settlement{},
		}
		o.sessions[e.ID] = s
	}
	return s
}

// holdNow holds the worker unless a hold is on its way.
func (s *session) holdNow() {
	if s.holds > 0 || s.ended || s.entry.Addr == "" {
		return
	}
	s.hold(holdWait)
}

// due reports whether the worker must be held: something runs there, or ends
// are to be acknowledged.
func (s *session) due() bool {
	return !s.ended && s.entry.Addr != "" && (s.o.engine.Busy(s.entry.ID) || s.acked > s.ackSent || len(s.unclear) > 0)
}

// check looks at the session's clocks once a tick.
func (s *session) check() {
	now := s.o.lead.now()
	busy := s.o.engine.Busy(s.entry.ID)
	if busy && s.silent && now > s.leaseUntil {
		s.lost("its leases have run out and it does not answer")
		busy = false
	}
	if !busy && !s.listed {
		s.drop()
		return
	}
	if s.holds == 0 && s.due() && (s.heard == s.acked || now-s.heldAt > holdAgain) {
		s.hold(0)
	}
}

// holdAgain is how long leases are left while ends wait to become durable: a
// sixth of the shortest lease on the users' sites.
const holdAgain = time.Second

// lost gives up all runs of a worker that can no longer have them.
func (s *session) lost(reason string) {
	n := 0
	for ref, run := range s.o.engine.On(s.entry.ID) {
		if _, known := s.o.settled[ref]; !known && s.unclear[ref].run != run {
			continue // its start has not been sent yet, or its answer is awaited
		}
		n++
		s.o.lead.Count.end(sched.Lost)
		s.o.engine.End(ref, run, sched.Lost, "", s.o.moment())
	}
	if n == 0 {
		return
	}
	s.o.passDue = true
	s.o.lead.Log.Emit(event.WorkerGone).Str("worker", s.entry.ID).Int("runs", n).Str("reason", reason).Int64("epoch", s.o.epoch).Send()
}

func (s *session) drop() {
	s.ended = true
	delete(s.o.sessions, s.entry.ID)
	s.o.engine.DropWorker(s.entry.ID, s.o.moment())
	if s.o.lead.Fleet.Forget != nil && s.entry.Addr != "" {
		s.o.lead.Fleet.Forget(s.entry)
	}
}

// deadline is the end of a lease that starts now, on the worker's clock. The
// estimate of that clock is never ahead of it, so the lease is never longer
// than what leaseUntil counts.
func (s *session) deadline() int64 {
	if !s.clockOK {
		return 0
	}
	since := s.o.lead.now() - s.clockAt
	return s.clockMs + (since - since*clockDrift/100).Milliseconds() + s.o.lead.Bounds.MaxHold.Milliseconds()
}

// clockDrift is by how many percent a worker's clock may be slow.
const clockDrift = 2

func (s *session) noteClock(clockMs int64, at time.Duration) {
	if clockMs > 0 {
		s.clockMs, s.clockAt, s.clockOK = clockMs, at, true
	}
}

// hold sends one hold; its answer brings the next.
func (s *session) hold(wait time.Duration) {
	o := s.o
	in := orders.Hold{Epoch: o.epoch, Wait: wait}
	if s.proven {
		in.Acked = s.acked
	}
	// A silent worker may still get what is sent: leases are not extended until
	// it answers, or the runs there could never be given up.
	if o.mayOrder() && !s.silent && o.engine.Busy(s.entry.ID) {
		in.DeadlineMs = s.deadline()
	}
	sent := o.lead.now()
	s.heldAt = sent
	if in.DeadlineMs > 0 {
		s.leaseUntil = max(s.leaseUntil, sent+o.leaseTail())
	}
	s.holds++
	e := s.entry
	o.spawn(func() {
		if !o.mayOrder() {
			o.post(func() { s.holds-- })
			return
		}
		ctx, cancel := context.WithTimeout(o.ctx, wait+holdSlack)
		out, err := o.lead.Fleet.Hold(ctx, e, in)
		cancel()
		o.post(func() { s.held(sent, in, out, err) })
	})
}

func (s *session) held(sent time.Duration, in orders.Hold, out orders.Held, err error) {
	o := s.o
	s.holds--
	o.lead.Count.order("hold", err)
	if s.ended {
		return
	}
	if err != nil {
		s.holdFailed(err)
		return
	}
	now := o.moment()
	wasSilent := s.silent
	if wasSilent {
		s.setSilent(false, nil)
	}
	if s.born != 0 && out.Born != 0 && out.Born != s.born {
		o.lead.Log.Emit(event.WorkerReborn).Str("worker", s.entry.ID).Int64("born", out.Born).Int64("before", s.born).Send()
		s.heard, s.offered, s.acked, s.ackSent = 0, 0, 0, 0
		o.engine.ForgetAdvice(s.entry.ID)
	}
	s.born, s.proven = out.Born, true
	s.ackSent = max(s.ackSent, in.Acked)
	s.noteClock(out.ClockMs, now.Steady)
	listed := map[sched.Ref]int64{}
	for _, r := range out.Running {
		listed[r.Task] = r.Run
		o.engine.Confirm(r.Task, r.Run, r.Percent, r.Saved, now)
		if s.unclear[r.Task].run == r.Run {
			delete(s.unclear, r.Task)
			o.settled[r.Task] = settlement{run: r.Run, at: sent}
		}
		s.stopStray(r)
	}
	for _, e := range out.Ended {
		listed[e.Task] = max(listed[e.Task], e.Run)
		s.end(e, now)
	}
	s.vanished(sent, listed, now)
	s.adopted = false
	s.stopUnclear(sent)
	if len(out.Ended) > 0 {
		o.passDue = true
	}
	// A worker answers at once while it lists ends that are not acknowledged,
	// so the next hold waits until they are durable; check extends the leases
	// if that takes long.
	if s.holds > 0 {
		return
	}
	switch {
	case wasSilent && s.due():
		s.hold(0) // extends the leases, which the last one did not
	case s.heard == s.acked && s.due():
		s.hold(holdWait)
	}
}

// stopAgain is how long a run may be listed after its stop was sent: longer than
// the stop itself takes on any site.
const stopAgain = 1200 * time.Millisecond

// stopStray stops a run that the records don't know as the task's present one,
// and one whose stop never reached the worker.
func (s *session) stopStray(r orders.Running) {
	run, worker, placed := s.o.engine.Present(r.Task)
	if placed && run == r.Run && worker == s.entry.ID {
		if s.o.engine.Stopping(r.Task) && s.o.lead.now()-s.stopSent[r.Task] > stopAgain {
			s.o.sendStop(sched.Order{Task: r.Task, Run: r.Run, Stop: true, Worker: s.entry.ID, Reason: "it runs on after its stop was decided"})
		}
		return
	}
	if placed && run > r.Run && worker == s.entry.ID {
		return // the newer run's start is on its way and ends the older one
	}
	s.o.lead.Log.Emit(event.TaskStray).Str("task", r.Task.String()).Int64("run", r.Run).Str("worker", s.entry.ID).Send()
	s.o.sendStop(sched.Order{Task: r.Task, Run: r.Run, Stop: true, Worker: s.entry.ID, Reason: "the records know no such run"})
}

func (s *session) end(e orders.Ended, now sched.Moment) {
	if e.N <= s.heard {
		return
	}
	s.heard = e.N
	delete(s.unclear, e.Task)
	delete(s.stopSent, e.Task)
	run, worker, placed := s.o.engine.Present(e.Task)
	if placed && run == e.Run && worker != s.entry.ID {
		return
	}
	counted := s.o.engine.End(e.Task, e.Run, e.Cause, e.Saved, now)
	s.o.lead.Count.end(e.Cause)
	s.o.lead.Log.Emit(event.TaskEnded).Str("task", e.Task.String()).Int64("run", e.Run).Str("worker", s.entry.ID).
		Str("cause", string(e.Cause)).Bool("present", counted).Int64("epoch", s.o.epoch).Send()
}

// vanished gives up runs that the worker should know and does not list.
func (s *session) vanished(sent time.Duration, listed map[sched.Ref]int64, now sched.Moment) {
	for ref, run := range s.o.engine.On(s.entry.ID) {
		known, ok := s.o.settled[ref]
		if !ok || known.run != run || known.at >= sent || listed[ref] >= run {
			continue
		}
		s.o.lead.Log.Emit(event.TaskVanished).Str("task", ref.String()).Int64("run", run).Str("worker", s.entry.ID).Send()
		s.o.lead.Count.end(sched.Lost)
		s.o.engine.End(ref, run, sched.Lost, "", now)
		s.o.passDue = true
	}
}

// stopUnclear stops the runs whose start got no answer and that the worker does not
// list: they might still begin.
func (s *session) stopUnclear(sent time.Duration) {
	for ref, u := range s.unclear {
		if u.at >= sent || u.stopping {
			continue
		}
		u.stopping = true
		s.unclear[ref] = u
		s.o.sendStop(sched.Order{Task: ref, Run: u.run, Stop: true, Worker: s.entry.ID, Reason: "its start got no answer"})
	}
}

func (s *session) holdFailed(err error) {
	s.proven = false
	if errors.Is(err, orders.ErrFenced) {
		s.o.lead.Log.Emit(event.LeadLost).Int64("epoch", s.o.epoch).Str("reason", "a worker obeys a later owner").Send()
		s.o.cancel()
		return
	}
	if errors.Is(err, orders.ErrOtherLife) {
		// Another incarnation answers at the address: this one is gone.
		s.leaseUntil = 0
		s.lost("another incarnation answers at its address")
	}
	if !s.silent {
		s.setSilent(true, err)
	}
	time.AfterFunc(holdRetry, func() { s.o.post(s.holdIfDue) })
}

// holdIfDue holds the worker again after a failure, if that is still needed.
func (s *session) holdIfDue() {
	if s.holds == 0 && s.due() {
		s.hold(0)
	}
}

func (s *session) setSilent(silent bool, err error) {
	s.silent = silent
	s.o.setWorker(s)
	if silent {
		s.o.lead.Log.Emit(event.WorkerSilent).Str("worker", s.entry.ID).AnErr("error", err).Int64("epoch", s.o.epoch).Send()
		return
	}
	s.o.passDue = true
	s.o.lead.Log.Emit(event.WorkerBack).Str("worker", s.entry.ID).Int64("epoch", s.o.epoch).Send()
}

func (o *Owner) setWorker(s *session) {
	w := s.entry.Worker
	w.Silent = s.silent || s.entry.Addr == ""
	w.Leaving = w.Leaving || !s.listed || o.waves.closed[s.entry.ID]
	o.engine.SetWorker(w)
}

// sendStart sends a start whose record is durable.
func (o *Owner) sendStart(order sched.Order) {
	s := o.sessions[order.Worker]
	run, worker, placed := o.engine.Present(order.Task)
	if !placed || run != order.Run || worker != order.Worker {
		return
	}
	j := o.engine.Job(order.Task.Job)
	if s == nil || s.ended || j == nil || !j.Open() || !o.mayStart() || o.engine.Stopping(order.Task) {
		o.engine.End(order.Task, order.Run, sched.Refused, "", o.moment())
		o.passDue = true
		return
	}
	in := orders.Start{
		Task: order.Task, Run: order.Run, Payload: j.Work.Payload, Epoch: o.epoch,
		DeadlineMs: s.deadline(), Saved: order.Saved, Ticket: order.Ticket,
	}
	s.starting[order.Task] = order.Run
	s.leaseUntil = max(s.leaseUntil, o.lead.now()+o.leaseTail())
	e, due := s.entry, o.lead.now()
	o.spawn(func() {
		s.slots <- struct{}{}
		defer func() { <-s.slots }()
		o.startOn(s, e, in, due)
	})
}

func (o *Owner) startOn(s *session, e orders.Entry, in orders.Start, due time.Duration) {
	ctx, cancel := context.WithTimeout(o.ctx, orderTimeout)
	defer cancel()
	err := error(nil)
	if in.DeadlineMs == 0 {
		var out orders.Held
		out, err = o.lead.Fleet.Hold(ctx, e, orders.Hold{Epoch: in.Epoch})
		in.DeadlineMs = out.ClockMs + o.lead.Bounds.MaxHold.Milliseconds()
	}
	var clockMs int64
	switch {
	case err != nil:
		err = notSent(err)
	case !o.mayStart() || o.lead.now()-due > holdSlack:
		// The process was suspended, or the queue to the worker is long.
		err = orders.ErrNotSent
	default:
		clockMs, err = o.lead.Fleet.Start(ctx, e, in)
	}
	at := o.lead.now()
	o.post(func() { s.started(in, clockMs, at, err) })
}

// notSent turns the failure of an order before the start into one that proves
// that the start was not sent.
func notSent(err error) error {
	if orders.Nothing(err) {
		return err
	}
	return orders.ErrNotSent
}

func (s *session) started(in orders.Start, clockMs int64, at time.Duration, err error) {
	o := s.o
	o.lead.Count.order("start", err)
	if s.starting[in.Task] == in.Run {
		delete(s.starting, in.Task)
	}
	if err != nil {
		s.startFailed(in, at, err)
		return
	}
	s.noteClock(clockMs, at)
	o.settled[in.Task] = settlement{run: in.Run, at: at}
	if run, worker, placed := o.engine.Present(in.Task); placed && run == in.Run && worker == s.entry.ID {
		if j := o.engine.Job(in.Task.Job); j != nil && !j.Begun {
			o.lead.Count.begun(o.sinceAccepted(j))
		}
		o.engine.Confirm(in.Task, in.Run, 0, "", o.moment())
	}
	if s.holds == 0 && s.due() {
		s.hold(holdWait)
	}
}

func (s *session) startFailed(in orders.Start, at time.Duration, err error) {
	o := s.o
	o.lead.Log.Emit(event.StartFailed).Str("task", in.Task.String()).Int64("run", in.Run).Str("worker", s.entry.ID).
		Int64("epoch", o.epoch).Err(err).Send()
	switch {
	case errors.Is(err, orders.ErrFenced):
		o.lead.Log.Emit(event.LeadLost).Int64("epoch", o.epoch).Str("reason", "a worker obeys a later owner").Send()
		o.cancel()
	case errors.Is(err, orders.ErrTicket):
		o.engine.RejectTicket(in.Task, in.Run, o.moment())
		o.passDue = true
	case orders.Nothing(err):
		o.engine.Reject(in.Task, in.Run, o.moment())
		o.passDue = true
	default:
		// A hold tells whether the run is there; if it is not, it is stopped,
		// so that it can't begin later.
		s.proven = false
		s.unclear[in.Task] = settlement{run: in.Run, at: at}
		s.hold(0)
	}
}

// sendStop tells a worker to end a run until it answers or is gone.
func (o *Owner) sendStop(order sched.Order) {
	s := o.sessions[order.Worker]
	if s == nil || s.ended || s.entry.Addr == "" {
		return
	}
	e := s.entry
	s.stopSent[order.Task] = o.lead.now()
	o.lead.Log.Emit(event.TaskStopped).Str("task", order.Task.String()).Int64("run", order.Run).Str("worker", order.Worker).
		Str("reason", order.Reason).Int64("epoch", o.epoch).Send()
	o.spawn(func() {
		for range stopTries {
			if !o.mayOrder() {
				return
			}
			ctx, cancel := context.WithTimeout(o.ctx, orderTimeout)
			err := o.lead.Fleet.Stop(ctx, e, order.Task, order.Run, o.epoch)
			cancel()
			at := o.lead.now()
			o.post(func() { o.lead.Count.order("stop", err) })
			if err == nil {
				o.post(func() { s.stopped(order, at) })
				return
			}
			if errors.Is(err, orders.ErrFenced) || errors.Is(err, orders.ErrOtherLife) {
				return
			}
			clock.Sleep(o.ctx, holdRetry)
		}
		o.post(func() { s.restop(order) })
	})
}

// stopTries is how often a stop is sent in a row before it is looked at again
// whether it is still needed.
const stopTries = 4

// restop sends a stop again that got no answer, as long as the run may be there.
func (s *session) restop(order sched.Order) {
	run, worker, placed := s.o.engine.Present(order.Task)
	if placed && run == order.Run && worker == order.Worker && !s.ended {
		s.o.sendStop(order)
	}
}

// stopped notes that a stop was answered: the run ends or never begins, and the
// next hold tells which.
func (s *session) stopped(order sched.Order, at time.Duration) {
	o := s.o
	if s.unclear[order.Task].run == order.Run {
		delete(s.unclear, order.Task)
	}
	if run, worker, placed := o.engine.Present(order.Task); placed && run == order.Run && worker == s.entry.ID {
		o.settled[order.Task] = settlement{run: order.Run, at: at}
		s.hold(0)
	}
}

// list reads the workers' entries until the owner ends.
func (o *Owner) list() {
	for o.ctx.Err() == nil {
		ctx, cancel := context.WithTimeout(o.ctx, storeTimeout)
		entries, err := o.lead.Fleet.List(ctx)
		cancel()
		o.post(func() { o.listedWorkers(entries, err) })
		clock.Sleep(o.ctx, listEvery)
	}
}

func (o *Owner) listedWorkers(entries []orders.Entry, err error) {
	now := o.lead.now()
	if err != nil {
		if o.listOK {
			o.lead.Log.Emit(event.StoreFailed).Str("op", "list workers").Err(err).Send()
		}
		o.listOK = false
		return
	}
	if !o.listOK {
		o.listOK, o.backAt = true, now
	}
	listed := make(map[string]bool, len(entries))
	for _, e := range entries {
		listed[e.ID] = true
		o.seeEntry(e, now)
	}
	if now-o.backAt < keepMissing {
		return
	}
	for id, s := range o.sessions {
		if !listed[id] && s.listed {
			s.listed = false
			o.setWorker(s)
			o.lead.Log.Emit(event.WorkerLeaving).Str("worker", id).Str("reason", "its entry is gone").Send()
		}
	}
}

func (o *Owner) seeEntry(e orders.Entry, now time.Duration) {
	s := o.session(e)
	known := s.listed
	if known && !s.entry.Leaving && e.Leaving {
		o.lead.Log.Emit(event.WorkerLeaving).Str("worker", e.ID).Str("reason", "its entry says so").Send()
	}
	s.entry, s.listed = e, true
	if !s.clockOK {
		// The entry is older than this reading, so the estimate lags behind.
		s.noteClock(e.ClockMs, now)
	}
	o.setWorker(s)
	if s.adopted {
		s.holdNow()
	}
	if !known {
		o.passDue = true
	}
}
