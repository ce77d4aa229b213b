package cell

import (
	"context"
	"errors"
	"fmt"

	"github.com/google/uuid"

	"greengageline/internal/event"
	"greengageline/internal/ledger"
	"greengageline/internal/place"
	"greengageline/pkg/model"
)

// Submit accepts a job: when it returns one, the job is durable. ErrRefused,
// ErrNotReady and ErrBusy mean that nothing was accepted; ErrNotKnown that the
// caller has to ask again with the same key.
func (o *Owner) Submit(ctx context.Context, spec model.JobSpec) (model.Job, error) {
	if !o.ready.Load() || !o.open() {
		return model.Job{}, ErrNotReady
	}
	job := model.Job{
		ID: model.JobID(o.cell, newID()), Cell: o.cell, Spec: spec, AcceptedMs: nowMs(),
	}.WithState(model.Accepted, nowMs(), "durable in the table")
	plan, _ := o.host.Plan()
	job.Generation = plan.Generation
	no, err := o.admit(ctx, job)
	if err != nil {
		return model.Job{}, err
	}
	if no != nil {
		return o.refuse(ctx, spec, no)
	}
	o.host.step(StepAccept, job.ID)
	reply := make(chan acceptReply, 1)
	// The write goes on when the caller gives up: a row that became durable
	// must reach the loop.
	o.spawn(func() { o.accept(job, reply) })
	select {
	case r := <-reply:
		return r.job, r.err
	case <-ctx.Done():
		o.host.Log.Emit(event.JobNotYetKnown).Str("cell", o.cell).Str("job", job.ID).
			Str("workspace", spec.Workspace).Str("key", spec.Key).Send()
		return model.Job{}, fmt.Errorf("%w: %w", ErrNotKnown, ctx.Err())
	}
}

func newID() string {
	id, err := uuid.NewV7()
	if err != nil {
		return uuid.NewString()
	}
	return id.String()
}

// admission asks the loop whether the engine would take the job.
type admission struct {
	request place.Request
	reply   chan *place.Refusal
}

func (m admission) apply(o *Owner) { m.reply <- o.engine.Check(m.request) }

func (o *Owner) admit(ctx context.Context, job model.Job) (*place.Refusal, error) {
	m := admission{request(job), make(chan *place.Refusal, 1)}
	if err := o.offer(m); err != nil {
		return nil, err
	}
	select {
	case no := <-m.reply:
		return no, nil
	case <-o.ctx.Done():
		return nil, ErrNotReady
	case <-ctx.Done():
		return nil, ErrNotReady
	}
}

// refuse turns a job away unless its key shows that it was accepted before.
func (o *Owner) refuse(ctx context.Context, spec model.JobSpec, no *place.Refusal) (model.Job, error) {
	e, err := o.host.Ledger.ByKey(ctx, spec)
	switch {
	case err == nil:
		return e.Job, nil
	case errors.Is(err, ledger.ErrAbsent):
		o.host.Log.Emit(event.JobRefused).Str("cell", o.cell).Str("workspace", spec.Workspace).
			Str("key", spec.Key).Str("code", string(no.Code)).Str("reason", no.Reason).Send()
		return model.Job{}, &RefusedError{Code: no.Code, Reason: no.Reason}
	case errors.Is(err, ledger.ErrKeyReused):
		return model.Job{}, fmt.Errorf("%w: %w", ErrKeyReused, err)
	}
	return model.Job{}, fmt.Errorf("%w: %w", ErrNotKnown, err)
}

type acceptReply struct {
	job model.Job
	err error
}

// arrived gives a durable job to the loop.
type arrived struct{ entry ledger.Entry }

func (o *Owner) accept(job model.Job, reply chan<- acceptReply) {
	e, repeated, err := o.host.Ledger.Accept(o.ctx, o.fence, job)
	switch {
	case err == nil && !repeated:
		o.host.Log.Emit(event.JobAccepted).Str("cell", o.cell).Str("job", e.Job.ID).
			Str("workspace", job.Spec.Workspace).Str("key", job.Spec.Key).Send()
		o.post(arrived{e})
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
		o.lost.Store(true)
		return fmt.Errorf("%w: %w", ErrNotOwner, err)
	case errors.Is(err, ledger.ErrUnavailable):
		return fmt.Errorf("%w: %w", ErrNotReady, err)
	}
	return fmt.Errorf("%w: %w", ErrNotKnown, err)
}

func (m arrived) apply(o *Owner) {
	id := m.entry.Job.ID
	if o.jobs[id] != nil {
		return
	}
	o.jobs[id] = &live{entry: m.entry}
	o.step(place.Arrive{Job: request(m.entry.Job)})
}

// query asks the loop for a job, and to be told of its end.
type query struct {
	id    string
	reply chan model.Job
	end   chan model.Job
}

func (m query) apply(o *Owner) {
	l := o.jobs[m.id]
	if l == nil {
		close(m.reply)
		return
	}
	job := l.job()
	if l.phase == phaseRunning && l.whole {
		job.State = model.Running
	}
	if m.end != nil {
		l.watchers = append(l.watchers, m.end)
	}
	m.reply <- job
}

// Job returns an open job as the owner sees it; if wait is set, it returns
// when the job has ended or ctx ends.
func (o *Owner) Job(ctx context.Context, id string, waitEnd bool) (model.Job, error) {
	m := query{id: id, reply: make(chan model.Job, 1)}
	if waitEnd {
		m.end = make(chan model.Job, 1)
	}
	if err := o.offer(m); err != nil {
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
	case final := <-m.end:
		return final, nil
	case <-o.ctx.Done():
		return job, ErrNotOwner
	case <-ctx.Done():
		return job, nil
	}
}

// cancelling asks the loop to cancel a job.
type cancelling struct {
	id    string
	reply chan error
}

// Cancel asks for a job's end; whether the cancel or the job's own end wins is
// told by the job's final state.
func (o *Owner) Cancel(ctx context.Context, id string) error {
	m := cancelling{id, make(chan error, 1)}
	if err := o.offer(m); err != nil {
		return err
	}
	select {
	case err := <-m.reply:
		return err
	case <-o.ctx.Done():
		return ErrNotOwner
	case <-ctx.Done():
		return ErrNotReady
	}
}

func (m cancelling) apply(o *Owner) {
	l := o.jobs[m.id]
	if l == nil {
		m.reply <- ErrAbsent
		return
	}
	m.reply <- nil
	if l.cancelled || l.phase == phaseEnding {
		return
	}
	o.host.step(StepCancel, m.id)
	l.cancelled = true
	o.step(place.Cancel{ID: m.id})
	switch l.phase {
	case phaseQueued:
		o.finish(l, l.job().WithState(model.Cancelled, nowMs(), string(whyCancel)+" while it was queued"))
	case phaseStarting, phaseRunning:
		o.stopMembers(l, whyCancel)
	default:
	}
}

// Stats returns the engine's newest summary.
func (o *Owner) Stats() (place.Stats, bool) {
	s := o.stats.Load()
	if s == nil {
		return place.Stats{}, false
	}
	return *s, true
}

// Abandon ends the owner as a crash would, without releasing the cell.
func (o *Owner) Abandon() { o.stop() }

// Epoch returns the epoch of the ownership.
func (o *Owner) Epoch() uint64 { return o.epoch }

// Ready reports whether the owner decides now.
func (o *Owner) Ready() bool { return o.ready.Load() && o.open() }
