package cell

import (
	"context"
	"errors"
	"slices"
	"time"

	"greengageline/internal/event"
	"greengageline/internal/worker"
	"greengageline/pkg/model"
)

// renewWorkers sends one renewal to each worker that has tasks or pending
// acknowledgements of the cell, or that is listed but lost, unless one is in flight. A
// renewal extends leases and returns the state of the worker's tasks.
func (o *Owner) renewWorkers() {
	tasks := o.tasksByWorker()
	for id, w := range o.workers {
		refs, has := tasks[id]
		if !has && !w.listed {
			o.host.Workers.CloseAddr(w.vm.Addr)
			delete(o.workers, id)
			continue
		}
		silent := w.lost && w.listed
		if w.renewing || w.vm.Addr == "" || (!has && len(w.pendingAcks) == 0 && !silent) {
			if !has {
				w.answeredAt = time.Now()
			}
			continue
		}
		if time.Since(w.answeredAt) > o.host.Settings.RunLease/2 {
			// Request the state only. Extending the leases of a worker that does
			// not answer would keep tasks alive that are about to be given up.
			refs = nil
		}
		w.renewing = true
		o.spawn(o.renewer(w.vm, refs, slices.Clone(w.pendingAcks)))
	}
}

// tasksByWorker returns, for each worker that has members of the cell, the attempts
// whose leases are to be extended. Jobs that are being stopped, or whose members are
// not all running, add their workers but no attempt: their state is requested without
// an extension.
func (o *Owner) tasksByWorker() map[string][]model.TaskRef {
	out := map[string][]model.TaskRef{}
	for _, j := range o.jobs {
		if j.phase != phaseRunning && j.phase != phaseStopping && j.phase != phaseStarting {
			continue
		}
		for _, m := range j.members {
			refs := out[m.Worker]
			if j.allRunning && j.phase == phaseRunning {
				refs = append(refs, j.ref())
			}
			out[m.Worker] = refs
		}
	}
	return out
}

// renewalResult is a worker's answer to a renewal, or the error.
type renewalResult struct {
	worker string
	sent   time.Time
	acked  []model.TaskRef
	reply  model.RenewReply
	err    error
}

func (o *Owner) renewer(vm model.VM, refs, acks []model.TaskRef) func() {
	return func() {
		o.host.runHook(StepRenew, "")
		sent := time.Now()
		ctx, cancel := context.WithTimeout(o.ctx, o.host.Settings.RunLease/4)
		defer cancel()
		reply, err := o.host.Workers.Renew(ctx, vm.Addr, model.Renew{
			Fence:   model.Fence{Cell: o.cell, Epoch: o.epoch},
			LeaseMs: o.host.Settings.RunLease.Milliseconds(), Tasks: refs, Ack: acks,
		})
		o.markIfFenced(err)
		o.post(renewalResult{vm.ID, sent, acks, reply, err})
	}
}

func (m renewalResult) apply(o *Owner) {
	w := o.workers[m.worker]
	if w == nil {
		return
	}
	w.renewing = false
	if m.err != nil {
		o.handleSilence(w, m.err)
		return
	}
	w.answeredAt = m.sent
	w.silenceLogged = false
	w.pendingAcks = slices.DeleteFunc(w.pendingAcks, func(r model.TaskRef) bool { return slices.Contains(m.acked, r) })
	if w.lost && w.listed {
		w.lost = false
		o.host.Log.Emit(event.WorkerBack).Str("cell", o.cell).Str("worker", m.worker).Send()
		o.reportWorkerUp(w)
	}
	if m.reply.Leaving {
		o.host.MarkWorkerLeaving(m.worker)
		o.markWorkerLeaving(w, "the worker's own answer")
	}
	o.reconcile(w, m)
}

// handleSilence handles a failed renewal. It logs the silence once after three renewal
// intervals and treats the worker as lost after WorkerLostAfter without an answer.
func (o *Owner) handleSilence(w *workerState, err error) {
	silence := time.Since(w.answeredAt)
	if !w.silenceLogged && silence > 3*o.host.Settings.RunRenew && !errors.Is(err, worker.ErrFenced) {
		w.silenceLogged = true
		o.host.Log.Emit(event.WorkerSilent).Str("cell", o.cell).Str("worker", w.vm.ID).Err(err).Send()
	}
	if silence > o.host.Settings.WorkerLostAfter {
		o.markWorkerLost(w, "it has not answered for "+silence.Round(time.Second).String())
	}
}

// reconcile updates the cell's jobs to what the worker reports.
func (o *Owner) reconcile(w *workerState, m renewalResult) {
	reported := map[model.TaskRef]bool{}
	for _, s := range m.reply.Tasks {
		reported[s.TaskRef] = true
		o.applyStatus(w, s)
	}
	for _, j := range o.jobs {
		x := j.memberOn(w.vm.ID)
		if x == nil || x.reported && x.phase.Ended() || reported[j.ref()] {
			continue
		}
		if j.phase == phaseStarting || m.sent.Before(j.startSentAt) {
			continue
		}
		o.handleUnlisted(j, x, m.reply.Boot)
	}
}

// applyStatus applies a worker's report on one task.
func (o *Owner) applyStatus(w *workerState, s model.TaskStatus) {
	j := o.jobs[s.Job]
	if j == nil || j.attempt != s.Attempt {
		o.handleOrphan(w, s)
		return
	}
	x := j.memberOn(w.vm.ID)
	if x == nil || j.phase == phaseStarting || j.phase == phaseEnding {
		return
	}
	x.phase, x.mayHaveRun, x.reported, x.taskError, x.answer = s.Phase, s.Started, true, s.Error, s.Answer
	o.evaluate(j)
}

// handleOrphan handles a task that belongs to no open attempt: it acknowledges the end
// of an ended task and stops any other.
func (o *Owner) handleOrphan(w *workerState, s model.TaskStatus) {
	if s.Phase.Ended() {
		w.pendingAcks = addRef(w.pendingAcks, s.TaskRef)
		return
	}
	addr := w.vm.Addr
	o.spawn(func() {
		o.markIfFenced(o.host.Workers.Stop(o.ctx, addr, model.Stop{
			TaskRef: s.TaskRef, Fence: model.Fence{Cell: o.cell, Epoch: o.epoch},
		}))
	})
}

func addRef(refs []model.TaskRef, r model.TaskRef) []model.TaskRef {
	if slices.Contains(refs, r) {
		return refs
	}
	return append(refs, r)
}

// handleUnlisted handles a member that its worker does not list. A worker lists every
// task until its end is acknowledged, so in the same incarnation the attempt has not
// started there, which lookUp confirms. After a restart of the worker it is unknown whether it ran.
func (o *Owner) handleUnlisted(j *openJob, x *member, boot string) {
	if boot == x.Boot {
		o.lookUp(j, x)
		return
	}
	x.phase, x.reported = model.PhaseLapsed, false
	x.mayHaveRun = true
	j.workerLost = true
	o.evaluate(j)
}

// lookupResult is a worker's answer about one attempt that it did not list.
type lookupResult struct {
	job     string
	attempt int
	worker  string
	reply   model.LookReply
	err     error
}

// lookUp asks the worker about one attempt. If the reply has Fenced set, a worker that does
// not know the attempt promises that it will not start later.
func (o *Owner) lookUp(j *openJob, x *member) {
	ref, id, addr := j.ref(), x.Worker, x.Addr
	o.spawn(func() {
		reply, err := o.host.Workers.LookUp(o.ctx, addr, model.Look{
			TaskRef: ref, Fence: model.Fence{Cell: o.cell, Epoch: o.epoch},
		})
		o.markIfFenced(err)
		o.post(lookupResult{ref.Job, ref.Attempt, id, reply, err})
	})
}

func (m lookupResult) apply(o *Owner) {
	j := o.currentAttempt(m.job, m.attempt)
	if j == nil || m.err != nil {
		return
	}
	x := j.memberOn(m.worker)
	if x == nil || j.phase == phaseStarting || j.phase == phaseEnding {
		return
	}
	s := m.reply.Status
	switch {
	case m.reply.Boot != x.Boot:
		x.phase, x.reported, x.mayHaveRun = model.PhaseLapsed, false, true
	case s.Phase == model.PhaseNone && m.reply.Fenced:
		x.phase, x.reported, x.mayHaveRun = model.PhaseLapsed, true, false
	case s.Phase == model.PhaseNone:
		x.phase, x.reported, x.mayHaveRun = model.PhaseLapsed, false, true
	default:
		x.phase, x.reported, x.mayHaveRun, x.taskError, x.answer = s.Phase, true, s.Started, s.Error, s.Answer
	}
	o.evaluate(j)
}
