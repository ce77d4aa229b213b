package cell

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync/atomic"

	"github.com/google/uuid"

	"greengageline/internal/event"
	"greengageline/internal/ledger"
	"greengageline/internal/place"
	"greengageline/pkg/model"
)

// Submit accepts a job; the job that it returns is durable. ErrRefused, ErrNotReady and
// ErrBusy mean that nothing was accepted. ErrOutcomeUnknown means that the outcome is unknown
// and that the caller must retry with the same key. If the key was used before for the
// same request, Submit returns that job.
func (o *Owner) Submit(ctx context.Context, spec model.JobSpec) (model.Job, error) {
	if !o.rebuilt.Load() || !o.acceptsWork() {
		return model.Job{}, ErrNotReady
	}
	job := model.Job{
		ID: model.JobID(o.cell, newID()), Cell: o.cell, Spec: spec, AcceptedMs: nowMs(),
	}.WithState(model.Accepted, nowMs(), "durable in the table")
	plan, _ := o.host.Plan()
	job.Generation = plan.Generation
	refusal, err := o.checkAdmission(ctx, job)
	if err != nil {
		return model.Job{}, err
	}
	if refusal != nil {
		return o.refuse(ctx, spec, refusal)
	}
	if !o.reserve(&job.Spec) {
		return o.refuseFull(ctx, spec)
	}
	o.host.runHook(StepAccept, job.ID)
	reply := make(chan acceptReply, 1)
	// The write continues when the caller gives up, because the loop must learn
	// of a row that became durable.
	o.spawn(func() { o.accept(job, reply) })
	select {
	case r := <-reply:
		return r.job, r.err
	case <-ctx.Done():
		o.host.Log.Emit(event.JobNotYetKnown).Str("cell", o.cell).Str("job", job.ID).
			Str("workspace", spec.Workspace).Str("key", spec.Key).Send()
		return model.Job{}, fmt.Errorf("%w: %w", ErrOutcomeUnknown, ctx.Err())
	}
}

func newID() string {
	id, err := uuid.NewV7()
	if err != nil {
		return uuid.NewString()
	}
	return id.String()
}

// admission asks the loop whether the engine would accept the job.
type admission struct {
	request place.Request
	reply   chan *place.Refusal
}

func (m admission) apply(o *Owner) { m.reply <- o.engine.Check(m.request) }

func (o *Owner) checkAdmission(ctx context.Context, job model.Job) (*place.Refusal, error) {
	m := admission{placeRequest(job), make(chan *place.Refusal, 1)}
	if err := o.tryPost(m); err != nil {
		return nil, err
	}
	select {
	case refusal := <-m.reply:
		return refusal, nil
	case <-o.ctx.Done():
		return nil, ErrNotReady
	case <-ctx.Done():
		return nil, ErrNotReady
	}
}

// refuse returns a RefusedError, or the job itself if its key shows that it was
// accepted before.
func (o *Owner) refuse(ctx context.Context, spec model.JobSpec, refusal *place.Refusal) (model.Job, error) {
	e, err := o.host.Ledger.ByKey(ctx, spec)
	switch {
	case err == nil:
		return e.Job, nil
	case errors.Is(err, ledger.ErrAbsent):
		o.host.Log.Emit(event.JobRefused).Str("cell", o.cell).Str("workspace", spec.Workspace).
			Str("key", spec.Key).Str("code", string(refusal.Code)).Str("reason", refusal.Reason).Send()
		return model.Job{}, &RefusedError{Code: refusal.Code, Reason: refusal.Reason}
	case errors.Is(err, ledger.ErrKeyReused):
		return model.Job{}, fmt.Errorf("%w: %w", ErrKeyReused, err)
	}
	return model.Job{}, fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
}

type acceptReply struct {
	job model.Job
	err error
}

// jobAccepted passes a durable job to the loop.
type jobAccepted struct{ entry ledger.Entry }

func (o *Owner) accept(job model.Job, reply chan<- acceptReply) {
	e, repeated, err := o.host.Ledger.Accept(o.ctx, o.fence, job)
	if err != nil || repeated {
		o.release(&job.Spec)
	}
	switch {
	case err == nil && !repeated:
		o.host.Log.Emit(event.JobAccepted).Str("cell", o.cell).Str("job", e.Job.ID).
			Str("workspace", job.Spec.Workspace).Str("key", job.Spec.Key).Send()
		o.post(jobAccepted{e})
	case err == nil:
		o.host.Log.Emit(event.JobRepeated).Str("cell", o.cell).Str("job", e.Job.ID).
			Str("key", job.Spec.Key).Send()
	}
	reply <- acceptReply{e.Job, o.acceptError(err)}
}

func (o *Owner) acceptError(err error) error {
	switch {
	case err == nil:
		return nil
	case errors.Is(err, ledger.ErrKeyReused):
		return fmt.Errorf("%w: %w", ErrKeyReused, err)
	case errors.Is(err, ledger.ErrFenced):
		o.fenced.Store(true)
		return fmt.Errorf("%w: %w", ErrNotOwner, err)
	case errors.Is(err, ledger.ErrUnavailable):
		return fmt.Errorf("%w: %w", ErrNotReady, err)
	}
	return fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
}

func (m jobAccepted) apply(o *Owner) {
	id := m.entry.Job.ID
	if o.jobs[id] != nil {
		o.release(&m.entry.Job.Spec)
		return
	}
	o.jobs[id] = &openJob{entry: m.entry}
	o.stepEngine(place.Enqueue{Job: placeRequest(m.entry.Job)})
}

// watcher waits for the end of a job.
type watcher struct {
	ended chan model.Job
	// left is set once nobody waits any more.
	left atomic.Bool
}

// minWatchers is the least number of watchers of a job from which those that have left are removed.
const minWatchers = 16

// watch adds a watcher. Those that have left are removed each time the number has doubled.
func (j *openJob) watch(w *watcher) {
	if len(j.watchers) >= max(minWatchers, j.pruneAt) {
		j.watchers = slices.DeleteFunc(j.watchers, func(w *watcher) bool { return w.left.Load() })
		j.pruneAt = 2 * len(j.watchers)
	}
	j.watchers = append(j.watchers, w)
}

// jobQuery asks the loop for a job and, if watcher is set, for its final state later.
type jobQuery struct {
	id      string
	reply   chan model.Job
	watcher *watcher
}

func (m jobQuery) apply(o *Owner) {
	j := o.jobs[m.id]
	if j == nil {
		close(m.reply)
		return
	}
	job := j.job()
	if j.phase == phaseRunning && j.allRunning {
		job.State = model.Running
	}
	if m.watcher != nil {
		j.watch(m.watcher)
	}
	m.reply <- job
}

// Job returns an open job as the owner sees it, or ErrAbsent. If waitEnd is set, it
// waits until the job has ended, or until ctx ends and then returns the job's state
// from before the wait.
func (o *Owner) Job(ctx context.Context, id string, waitEnd bool) (model.Job, error) {
	m := jobQuery{id: id, reply: make(chan model.Job, 1)}
	if waitEnd {
		m.watcher = &watcher{ended: make(chan model.Job, 1)}
		defer m.watcher.left.Store(true)
	}
	if err := o.tryPost(m); err != nil {
		return model.Job{}, err
	}
	var job model.Job
	select {
	case found, ok := <-m.reply:
		if !ok {
			return model.Job{}, ErrAbsent
		}
		job = found
	case <-o.ctx.Done():
		return model.Job{}, ErrNotOwner
	case <-ctx.Done():
		return model.Job{}, ErrNotReady
	}
	if !waitEnd {
		return job, nil
	}
	select {
	case final := <-m.watcher.ended:
		return final, nil
	case <-o.ctx.Done():
		return job, ErrNotOwner
	case <-ctx.Done():
		return job, nil
	}
}

// cancelRequest asks the loop to cancel a job.
type cancelRequest struct {
	id    string
	reply chan error
}

// Cancel requests the cancellation of an open job and returns before it has ended. The
// final state of the job shows whether it was cancelled or ended first. After
// ErrOutcomeUnknown the loop may still carry out the cancellation.
func (o *Owner) Cancel(ctx context.Context, id string) error {
	m := cancelRequest{id, make(chan error, 1)}
	if err := o.tryPost(m); err != nil {
		return err
	}
	select {
	case err := <-m.reply:
		return err
	case <-o.ctx.Done():
		return fmt.Errorf("%w: the owner ended", ErrOutcomeUnknown)
	case <-ctx.Done():
		return fmt.Errorf("%w: %w", ErrOutcomeUnknown, ctx.Err())
	}
}

func (m cancelRequest) apply(o *Owner) {
	j := o.jobs[m.id]
	if j == nil {
		m.reply <- ErrAbsent
		return
	}
	m.reply <- nil
	if j.cancelled || j.phase == phaseEnding {
		return
	}
	o.host.runHook(StepCancel, m.id)
	j.cancelled = true
	o.stepEngine(place.Cancel{ID: m.id})
	switch j.phase {
	case phaseQueued:
		o.endJob(j, j.job().WithState(model.Cancelled, nowMs(), string(stopCancelled)+" while it was queued"))
	case phaseStarting, phaseRunning:
		o.stopMembers(j, stopCancelled)
	default:
	}
}

// Stats returns the engine's newest statistics, or false before the first.
func (o *Owner) Stats() (place.Stats, bool) {
	s := o.stats.Load()
	if s == nil {
		return place.Stats{}, false
	}
	return *s, true
}

// Abandon ends the owner without releasing the cell, as a crash would.
func (o *Owner) Abandon() { o.stop() }

// Epoch returns the epoch at which the owner owns the cell.
func (o *Owner) Epoch() uint64 { return o.epoch }

// Ready reports whether the owner accepts and starts jobs now.
func (o *Owner) Ready() bool { return o.rebuilt.Load() && o.acceptsWork() }
