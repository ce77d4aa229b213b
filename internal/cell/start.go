package cell

import (
	"context"
	"errors"
	"sync"
	"time"

	"greengageline/internal/ledger"
	"greengageline/internal/place"
	"greengageline/internal/worker"
	"greengageline/pkg/model"
)

// gatePoll is how often a start that must wait for the lease looks again.
const gatePoll = 50 * time.Millisecond

// epochTries is how many attempts one epoch may number; attempts of different
// owners never share a number.
const epochTries = 1 << 16

// launch begins the two steps of a start: reserve every member, commit the
// attempt, then start every member.
func (o *Owner) launch(l *live, d place.Decision) {
	o.host.step(StepPlace, d.Job)
	l.tries++
	l.attempt = int(o.epoch)*epochTries + l.tries
	l.phase = phaseStarting
	l.whole, l.why, l.failed, l.lostVM, l.startSeen = false, "", "", false, false
	s := &starter{o: o, entry: l.entry, decision: d, attempt: l.attempt, members: o.membersOf(d)}
	l.members = nil
	for _, m := range s.members {
		l.members = append(l.members, member{Member: m, phase: model.PhaseNone})
	}
	o.spawn(s.run)
}

func (o *Owner) membersOf(d place.Decision) []model.Member {
	var members []model.Member
	rank := 0
	for _, s := range d.Shares {
		m := model.Member{Rank: rank, Tasks: s.Tasks, Worker: s.Worker}
		if w := o.workers[s.Worker]; w != nil {
			m.Addr = w.vm.Addr
		}
		members = append(members, m)
		rank += s.Tasks
	}
	return members
}

// starter carries out one start; it owns its copies of the job's state.
type starter struct {
	o        *Owner
	entry    ledger.Entry
	decision place.Decision
	attempt  int
	members  []model.Member
}

// startFailed says that nothing of the attempt ran or will run.
type startFailed struct {
	job     string
	attempt int
	worker  string // that refused or was not reached, if one did
	entry   ledger.Entry
	err     error
}

// committed says that the attempt is durable and its members are being told.
type committed struct {
	job     string
	attempt int
	entry   ledger.Entry
	members []model.Member
}

// startTold says what each member answered to the start.
type startTold struct {
	job     string
	attempt int
	errs    []error
	at      time.Time
}

func (s *starter) run() {
	o := s.o
	select {
	case o.starts <- struct{}{}:
	case <-o.ctx.Done():
		return
	}
	defer func() { <-o.starts }()
	if !s.gate() {
		return
	}
	o.inStart.Add(1)
	defer o.inStart.Add(-1)
	o.host.step(StepReserve, s.entry.Job.ID)
	reservedAt := time.Now()
	if worker, err := s.reserve(); err != nil {
		s.release()
		o.post(startFailed{s.entry.Job.ID, s.attempt, worker, s.entry, err})
		return
	}
	if !s.commit() {
		return
	}
	s.tell(reservedAt)
}

// gate waits until the owner may start work.
func (s *starter) gate() bool {
	for !s.o.open() {
		if !wait(s.o.ctx, gatePoll) {
			return false
		}
	}
	return true
}

func (s *starter) fence() model.Fence {
	return model.Fence{Cell: s.o.cell, Epoch: s.o.epoch}
}

func (s *starter) ref() model.TaskRef {
	return model.TaskRef{Job: s.entry.Job.ID, Attempt: s.attempt}
}

// reserve holds every member and returns the first worker that did not.
func (s *starter) reserve() (string, error) {
	errs := s.each(func(ctx context.Context, m *model.Member) error {
		reply, err := s.o.host.Workers.Reserve(ctx, m.Addr, model.Reserve{
			TaskRef: s.ref(), Fence: s.fence(), Rank: m.Rank,
			Count:   m.Tasks * s.entry.Job.Spec.Shape.Each,
			LeaseMs: s.o.host.Settings.StartLease.Milliseconds(),
		})
		m.Boot = reply.Boot
		return err
	})
	for i, err := range errs {
		if err != nil {
			s.o.noteFenced(err)
			return s.members[i].Worker, err
		}
	}
	return "", nil
}

// each calls f for every member at once and returns the errors in order.
func (s *starter) each(f func(ctx context.Context, m *model.Member) error) []error {
	errs := make([]error, len(s.members))
	var wg sync.WaitGroup
	for i := range s.members {
		wg.Add(1)
		go func() {
			defer wg.Done()
			errs[i] = f(s.o.ctx, &s.members[i])
		}()
	}
	wg.Wait()
	return errs
}

// release frees the reservations of a start that does not go on; what it does
// not reach lapses by itself.
func (s *starter) release() {
	s.each(func(ctx context.Context, m *model.Member) error {
		return s.o.host.Workers.Stop(ctx, m.Addr, model.Stop{TaskRef: s.ref(), Fence: s.fence()})
	})
}

// commit makes the attempt durable before any worker is told to start it.
func (s *starter) commit() bool {
	o := s.o
	o.host.step(StepCommit, s.entry.Job.ID)
	job := s.entry.Job.WithAttempt(s.attempt, s.decision.Mode, s.decision.Claim, s.members).
		WithState(model.Starting, nowMs(), s.decision.Reason)
	job.StartedMs = nowMs()
	entry, err := o.save(s.entry, job, o.host.Settings.StartLease)
	if err != nil {
		s.release()
		o.post(startFailed{s.entry.Job.ID, s.attempt, "", s.entry, err})
		return false
	}
	s.entry = entry
	o.post(committed{entry.Job.ID, s.attempt, entry, s.members})
	return true
}

// tell starts every member, unless the reservations may have lapsed while the
// attempt was being committed; then the loop finds out what became of them.
func (s *starter) tell(reservedAt time.Time) {
	o := s.o
	o.host.step(StepStart, s.entry.Job.ID)
	lapsed := time.Since(reservedAt) > o.host.Settings.StartLease
	errs := s.each(func(ctx context.Context, m *model.Member) error {
		if lapsed {
			return worker.ErrRefused
		}
		return o.host.Workers.Start(ctx, m.Addr, model.Start{
			TaskRef: s.ref(), Fence: s.fence(), Rank: m.Rank, Tasks: m.Tasks,
			Gang:    s.entry.Job.Spec.Shape.Tasks,
			LeaseMs: s.firstLease().Milliseconds(),
			Payload: s.entry.Job.Spec.Payload,
		})
	})
	for _, err := range errs {
		o.noteFenced(err)
	}
	o.post(startTold{s.entry.Job.ID, s.attempt, errs, time.Now()})
}

// firstLease is the lease with which members start. A gang gets a short one
// until all its members run, so that no part of it runs alone for long; a job on
// one worker gets a whole one, so that it outlives the owner that started it.
func (s *starter) firstLease() time.Duration {
	if len(s.members) == 1 {
		return s.o.host.Settings.RunLease
	}
	return s.o.host.Settings.StartLease
}

// noteFenced ends the ownership when a worker obeys a newer owner.
func (o *Owner) noteFenced(err error) {
	if errors.Is(err, worker.ErrFenced) {
		o.lost.Store(true)
	}
}

// current returns the open job if the message is about its newest attempt.
func (o *Owner) current(job string, attempt int) *live {
	l := o.jobs[job]
	if l == nil || l.attempt != attempt {
		return nil
	}
	return l
}

func (m startFailed) apply(o *Owner) {
	l := o.current(m.job, m.attempt)
	if l == nil {
		return
	}
	l.phase = phaseQueued
	l.members = nil
	if errors.Is(m.err, worker.ErrLeaving) {
		if w := o.workers[m.worker]; w != nil {
			o.host.NoteLeaving(m.worker)
			o.workerLeaving(w, "the worker's own answer")
		}
	}
	if l.cancelled {
		o.step(place.Ended{ID: m.job, Outcome: place.Removed})
		o.finish(l, l.job().WithState(model.Cancelled, nowMs(), string(whyCancel)))
		return
	}
	outcome := place.NotStarted
	if m.worker == "" {
		outcome = place.Removed
	}
	o.requeue(l, outcome, m.worker, m.err.Error())
}

func (m committed) apply(o *Owner) {
	l := o.current(m.job, m.attempt)
	if l == nil {
		return
	}
	l.entry = m.entry
	l.members = nil
	for _, x := range m.members {
		l.members = append(l.members, member{Member: x, phase: model.PhaseReserved})
	}
}

func (m startTold) apply(o *Owner) {
	l := o.current(m.job, m.attempt)
	if l == nil || l.phase != phaseStarting {
		return
	}
	l.phase = phaseRunning
	l.toldAt = m.at
	l.until = m.at.Add(o.host.Settings.StartLease)
	refused := false
	for i, err := range m.errs {
		l.members[i].told(err)
		refused = refused || l.members[i].phase == model.PhaseLapsed
		l.ran = l.ran || l.members[i].started
	}
	switch {
	case l.why != "":
		o.stopMembers(l, l.why)
	case l.lostVM:
		o.stopMembers(l, whyGone)
	case refused:
		o.stopMembers(l, whyIncomplete)
	default:
		o.evaluate(l)
	}
}

// told notes a member's answer to the start: an answer that was lost leaves
// open whether it started.
func (m *member) told(err error) {
	switch {
	case err == nil:
		m.phase, m.started, m.known = model.PhaseRunning, true, true
	case errors.Is(err, worker.ErrUnclear):
		m.started = true
	default:
		m.phase, m.known = model.PhaseLapsed, true
	}
}
