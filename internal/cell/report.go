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

// renewAll sends each worker that has anything of the cell one renewal, if
// none is on its way: it extends leases and brings back the state of tasks.
func (o *Owner) renewAll() {
	tasks := o.tasksByWorker()
	for id, w := range o.workers {
		refs, has := tasks[id]
		if !has && !w.listed {
			o.host.Workers.Forget(w.vm.Addr)
			delete(o.workers, id)
			continue
		}
		silent := w.gone && w.listed
		if w.busy || w.vm.Addr == "" || (!has && len(w.acks) == 0 && !silent) {
			if !has {
				w.okAt = time.Now()
			}
			continue
		}
		if time.Since(w.okAt) > o.host.Settings.RunLease/2 {
			// Extending leases without hearing back would keep tasks alive that
			// are about to be given up: only ask.
			refs = nil
		}
		w.busy = true
		o.spawn(o.renewer(w.vm, refs, slices.Clone(w.acks)))
	}
}

// tasksByWorker lists the attempts on each worker; those of jobs that are not
// whole, or that are being stopped, are asked about but not extended.
func (o *Owner) tasksByWorker() map[string][]model.TaskRef {
	out := map[string][]model.TaskRef{}
	for _, l := range o.jobs {
		if l.phase != phaseRunning && l.phase != phaseStopping && l.phase != phaseStarting {
			continue
		}
		for _, m := range l.members {
			refs := out[m.Worker]
			if l.whole && l.phase == phaseRunning {
				refs = append(refs, l.ref())
			}
			out[m.Worker] = refs
		}
	}
	return out
}

// report is a worker's answer to a renewal, or the lack of one.
type report struct {
	worker string
	sent   time.Time
	acked  []model.TaskRef
	reply  model.RenewReply
	err    error
}

func (o *Owner) renewer(vm model.VM, refs, acks []model.TaskRef) func() {
	return func() {
		o.host.step(StepRenew, "")
		sent := time.Now()
		ctx, cancel := context.WithTimeout(o.ctx, o.host.Settings.RunLease/4)
		defer cancel()
		reply, err := o.host.Workers.Renew(ctx, vm.Addr, model.Renew{
			Fence:   model.Fence{Cell: o.cell, Epoch: o.epoch},
			LeaseMs: o.host.Settings.RunLease.Milliseconds(), Tasks: refs, Ack: acks,
		})
		o.noteFenced(err)
		o.post(report{vm.ID, sent, acks, reply, err})
	}
}

func (m report) apply(o *Owner) {
	w := o.workers[m.worker]
	if w == nil {
		return
	}
	w.busy = false
	if m.err != nil {
		o.workerSilent(w, m.err)
		return
	}
	w.okAt = m.sent
	w.told = false
	w.acks = slices.DeleteFunc(w.acks, func(r model.TaskRef) bool { return slices.Contains(m.acked, r) })
	if w.gone && w.listed {
		w.gone = false
		o.host.Log.Emit(event.WorkerBack).Str("cell", o.cell).Str("worker", m.worker).Send()
		o.engineWorkerBack(w)
	}
	if m.reply.Leaving {
		o.host.NoteLeaving(m.worker)
		o.workerLeaving(w, "the worker's own answer")
	}
	o.compare(w, m)
}

// workerSilent notes a failed renewal; after GoneAfter without an answer the
// worker is taken as lost.
func (o *Owner) workerSilent(w *workerState, err error) {
	silence := time.Since(w.okAt)
	if !w.told && silence > 3*o.host.Settings.RunRenew && !errors.Is(err, worker.ErrFenced) {
		w.told = true
		o.host.Log.Emit(event.WorkerSilent).Str("cell", o.cell).Str("worker", w.vm.ID).Err(err).Send()
	}
	if silence > o.host.Settings.GoneAfter {
		o.workerGone(w, "it has not answered for "+silence.Round(time.Second).String())
	}
}

// compare brings the cell's jobs in line with what the worker reports.
func (o *Owner) compare(w *workerState, m report) {
	reported := map[model.TaskRef]bool{}
	for _, s := range m.reply.Tasks {
		reported[s.TaskRef] = true
		o.status(w, s)
	}
	for _, l := range o.jobs {
		x := l.on(w.vm.ID)
		if x == nil || x.known && x.phase.Ended() || reported[l.ref()] {
			continue
		}
		if l.phase == phaseStarting || m.sent.Before(l.toldAt) {
			continue
		}
		o.missing(l, x, m.reply.Boot)
	}
}

// status applies a worker's word on one task.
func (o *Owner) status(w *workerState, s model.TaskStatus) {
	l := o.jobs[s.Job]
	if l == nil || l.attempt != s.Attempt {
		o.orphan(w, s)
		return
	}
	x := l.on(w.vm.ID)
	if x == nil || l.phase == phaseStarting || l.phase == phaseEnding {
		return
	}
	x.phase, x.started, x.known, x.err, x.answer = s.Phase, s.Started, true, s.Error, s.Answer
	o.evaluate(l)
}

// orphan handles a task that belongs to no open attempt: its end is
// acknowledged, or it is stopped.
func (o *Owner) orphan(w *workerState, s model.TaskStatus) {
	if s.Phase.Ended() {
		w.acks = addRef(w.acks, s.TaskRef)
		return
	}
	addr := w.vm.Addr
	o.spawn(func() {
		o.noteFenced(o.host.Workers.Stop(o.ctx, addr, model.Stop{
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

// missing handles a member that its worker does not list. A worker lists every
// task until its end is acknowledged, so in the same incarnation the attempt
// never started there; after a restart nobody can tell.
func (o *Owner) missing(l *live, x *member, boot string) {
	if boot == x.Boot {
		o.look(l, x)
		return
	}
	x.phase, x.known = model.PhaseLapsed, false
	x.started = true
	l.lostVM = true
	o.evaluate(l)
}

// looked is a worker's answer about one attempt that it did not list.
type looked struct {
	job     string
	attempt int
	worker  string
	reply   model.LookReply
	err     error
}

// look asks once more, with a promise that the attempt will not start later.
func (o *Owner) look(l *live, x *member) {
	ref, id, addr := l.ref(), x.Worker, x.Addr
	o.spawn(func() {
		reply, err := o.host.Workers.Look(o.ctx, addr, model.Look{
			TaskRef: ref, Fence: model.Fence{Cell: o.cell, Epoch: o.epoch},
		})
		o.noteFenced(err)
		o.post(looked{ref.Job, ref.Attempt, id, reply, err})
	})
}

func (m looked) apply(o *Owner) {
	l := o.current(m.job, m.attempt)
	if l == nil || m.err != nil {
		return
	}
	x := l.on(m.worker)
	if x == nil || l.phase == phaseStarting || l.phase == phaseEnding {
		return
	}
	s := m.reply.Status
	switch {
	case m.reply.Boot != x.Boot:
		x.phase, x.known, x.started = model.PhaseLapsed, false, true
	case s.Phase == model.PhaseNone && m.reply.Fenced:
		x.phase, x.known, x.started = model.PhaseLapsed, true, false
	case s.Phase == model.PhaseNone:
		x.phase, x.known, x.started = model.PhaseLapsed, false, true
	default:
		x.phase, x.known, x.started, x.err, x.answer = s.Phase, true, s.Started, s.Error, s.Answer
	}
	o.evaluate(l)
}
