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

// pollInterval is the interval of the checks in waits for the owner's state and inputs.
const pollInterval = 50 * time.Millisecond

// attemptsPerEpoch is the size of the range of attempt numbers of one epoch. Attempts
// of different owners never share a number.
const attemptsPerEpoch = 1 << 16

// beginStart starts a job in the background: it reserves every member, commits the
// attempt, then starts every member.
func (o *Owner) beginStart(j *openJob, d place.Decision) {
	o.host.runHook(StepPlace, d.Job)
	j.epochAttempts++
	j.attempt = int(o.epoch)*attemptsPerEpoch + j.epochAttempts
	j.phase = phaseStarting
	j.allRunning, j.stopReason, j.failedWorker, j.workerLost, j.startRecorded = false, "", "", false, false
	s := &starter{o: o, entry: j.entry, decision: d, attempt: j.attempt, members: o.membersOf(d), zones: o.zonesOf(d)}
	j.members = nil
	for _, m := range s.members {
		j.members = append(j.members, member{Member: m, phase: model.PhaseNone})
	}
	o.spawn(s.run)
}

func (o *Owner) membersOf(d place.Decision) []model.Member {
	var members []model.Member
	rank := 0
	for _, s := range d.Assignments {
		m := model.Member{Rank: rank, Tasks: s.Tasks, Worker: s.Worker}
		if w := o.workers[s.Worker]; w != nil {
			m.Addr = w.vm.Addr
		}
		members = append(members, m)
		rank += s.Tasks
	}
	return members
}

// starter executes one start of a job in its own goroutine. It owns its copies of the
// job's state.
type starter struct {
	o        *Owner
	entry    ledger.Entry
	decision place.Decision
	attempt  int
	members  []model.Member
	zones    []string // of the members' workers
}

// startFailed reports that no part of the attempt ran or will run.
type startFailed struct {
	job     string
	attempt int
	worker  string // worker that failed the reservation; empty if the commit failed
	entry   ledger.Entry
	err     error
}

// attemptCommitted reports that the attempt is durable and that the start orders
// follow.
type attemptCommitted struct {
	job     string
	attempt int
	entry   ledger.Entry
	members []model.Member
}

// startAnswered reports each member's answer to its start order.
type startAnswered struct {
	job     string
	attempt int
	errs    []error
	at      time.Time
}

func (s *starter) run() {
	o := s.o
	select {
	case o.startSlots <- struct{}{}:
	case <-o.ctx.Done():
		return
	}
	defer func() { <-o.startSlots }()
	if !s.waitUntilAccepting() {
		return
	}
	o.activeStarts.Add(1)
	defer o.activeStarts.Add(-1)
	if s.inEvacuatedZone() {
		o.post(startFailed{s.entry.Job.ID, s.attempt, "", s.entry, errEvacuated})
		return
	}
	o.host.runHook(StepReserve, s.entry.Job.ID)
	reservedAt := time.Now()
	if worker, err := s.reserve(); err != nil {
		s.release()
		o.post(startFailed{s.entry.Job.ID, s.attempt, worker, s.entry, err})
		return
	}
	if !s.commit() {
		return
	}
	s.startMembers(reservedAt)
}

// waitUntilAccepting waits until the owner may start jobs; false means that the owner
// ended.
func (s *starter) waitUntilAccepting() bool {
	for !s.o.acceptsWork() {
		if !sleep(s.o.ctx, pollInterval) {
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

// reserve reserves accelerators for every member, and on failure returns the first
// member's worker that failed.
func (s *starter) reserve() (string, error) {
	errs := s.forEachMember(func(ctx context.Context, m *model.Member) error {
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
			s.o.markIfFenced(err)
			return s.members[i].Worker, err
		}
	}
	return "", nil
}

// forEachMember calls f for all members concurrently and returns the errors in the
// order of the members.
func (s *starter) forEachMember(f func(ctx context.Context, m *model.Member) error) []error {
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

// release frees the reservations of an aborted start. Reservations on workers that it
// can't reach expire with their lease.
func (s *starter) release() {
	s.forEachMember(func(ctx context.Context, m *model.Member) error {
		return s.o.host.Workers.Stop(ctx, m.Addr, model.Stop{TaskRef: s.ref(), Fence: s.fence()})
	})
}

// commit makes the attempt durable before any start order is sent.
func (s *starter) commit() bool {
	o := s.o
	o.host.runHook(StepCommit, s.entry.Job.ID)
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
	o.post(attemptCommitted{entry.Job.ID, s.attempt, entry, s.members})
	return true
}

// startMembers sends the start order to every member. If the reservations may have
// expired during the commit, or a zone has been evacuated, it sends nothing and reports every member as refused; the
// loop then stops the attempt.
func (s *starter) startMembers(reservedAt time.Time) {
	o := s.o
	o.host.runHook(StepStart, s.entry.Job.ID)
	lapsed := time.Since(reservedAt) > o.host.Settings.StartLease || s.inEvacuatedZone()
	errs := s.forEachMember(func(ctx context.Context, m *model.Member) error {
		if lapsed {
			return worker.ErrRefused
		}
		return o.host.Workers.Start(ctx, m.Addr, model.Start{
			TaskRef: s.ref(), Fence: s.fence(), Rank: m.Rank, Tasks: m.Tasks,
			Gang:    s.entry.Job.Spec.Shape.Tasks,
			LeaseMs: s.initialLease().Milliseconds(),
			Payload: s.entry.Job.Spec.Payload,
		})
	})
	for _, err := range errs {
		o.markIfFenced(err)
	}
	o.post(startAnswered{s.entry.Job.ID, s.attempt, errs, time.Now()})
}

// initialLease is the lease with which members start. The members of a gang get the
// short start lease until all of them run, so that no part of a gang runs alone for
// long. A job on one worker gets a full run lease, so that it survives the death of the
// owner that started it.
func (s *starter) initialLease() time.Duration {
	if len(s.members) == 1 {
		return s.o.host.Settings.RunLease
	}
	return s.o.host.Settings.StartLease
}

// markIfFenced marks the owner as fenced if err says that a worker has received orders
// of a newer epoch; the LeaseManager then ends the ownership.
func (o *Owner) markIfFenced(err error) {
	if errors.Is(err, worker.ErrFenced) {
		o.fenced.Store(true)
	}
}

// currentAttempt returns the open job if attempt is its newest attempt, else nil.
func (o *Owner) currentAttempt(job string, attempt int) *openJob {
	j := o.jobs[job]
	if j == nil || j.attempt != attempt {
		return nil
	}
	return j
}

func (m startFailed) apply(o *Owner) {
	j := o.currentAttempt(m.job, m.attempt)
	if j == nil {
		return
	}
	j.phase = phaseQueued
	j.members = nil
	if errors.Is(m.err, worker.ErrLeaving) {
		if w := o.workers[m.worker]; w != nil {
			o.host.MarkWorkerLeaving(m.worker)
			o.markWorkerLeaving(w, "the worker's own answer")
		}
	}
	if j.cancelled {
		o.stepEngine(place.Ended{ID: m.job, Outcome: place.Stopped})
		o.endJob(j, j.job().WithState(model.Cancelled, nowMs(), string(stopCancelled)))
		return
	}
	outcome := place.NotStarted
	if m.worker == "" {
		outcome = place.Stopped
	}
	o.requeue(j, outcome, m.worker, m.err.Error())
}

func (m attemptCommitted) apply(o *Owner) {
	j := o.currentAttempt(m.job, m.attempt)
	if j == nil {
		return
	}
	j.entry = m.entry
	j.members = nil
	for _, x := range m.members {
		j.members = append(j.members, member{Member: x, phase: model.PhaseReserved})
	}
}

func (m startAnswered) apply(o *Owner) {
	j := o.currentAttempt(m.job, m.attempt)
	if j == nil || j.phase != phaseStarting {
		return
	}
	j.phase = phaseRunning
	j.startSentAt = m.at
	j.deadline = m.at.Add(o.host.Settings.StartLease)
	refused := false
	for i, err := range m.errs {
		j.members[i].applyStartAnswer(err)
		refused = refused || j.members[i].phase == model.PhaseLapsed
		j.mayHaveRun = j.mayHaveRun || j.members[i].mayHaveRun
	}
	switch {
	case j.stopReason != "":
		o.stopMembers(j, j.stopReason)
	case j.workerLost:
		o.stopMembers(j, stopTaskGone)
	case refused:
		o.stopMembers(j, stopGangIncomplete)
	default:
		o.evaluate(j)
	}
}

// applyStartAnswer records a member's answer to its start order. If the answer was
// lost, the member may have started.
func (m *member) applyStartAnswer(err error) {
	switch {
	case err == nil:
		m.phase, m.mayHaveRun, m.reported = model.PhaseRunning, true, true
	case errors.Is(err, worker.ErrOutcomeUnknown):
		m.mayHaveRun = true
	default:
		m.phase, m.reported = model.PhaseLapsed, true
	}
}
