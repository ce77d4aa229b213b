package cell

import (
	"math/rand/v2"
	"time"

	"greengageline/internal/event"
	"greengageline/internal/ledger"
	"greengageline/internal/place"
	"greengageline/pkg/model"
)

const (
	// rebuildPage is how many rows one read of a rebuild asks for.
	rebuildPage = 500
	// rebuildPause separates the tries of a rebuild while the table is out;
	// its jitter keeps returning nodes from reading all at once.
	rebuildPause = 300 * time.Millisecond
)

// rebuild reads the cell's open jobs and gives the engine its state. It comes
// back false if the ownership ended first.
func (o *Owner) rebuild() bool {
	started := time.Now()
	o.host.step(StepTakeOver, "")
	entries, ok := o.readOpen()
	if !ok || !o.awaitInputs() {
		return false
	}
	plan, _ := o.host.Plan()
	o.plan = plan.Generation
	o.step(place.Configure{Snapshot: plan.Snapshot(o.cell)})
	o.refresh()
	for _, e := range entries {
		o.restore(e)
	}
	o.step(place.Ready{})
	o.openAccount()
	o.ready.Store(true)
	o.renewAll()
	s := o.engine.Stats()
	o.stats.Store(&s)
	o.host.Log.Emit(event.CellRebuilt).Str("cell", o.cell).Uint64("epoch", o.epoch).
		Int("jobs", len(entries)).Dur("took", time.Since(started)).Send()
	return true
}

func (o *Owner) readOpen() ([]ledger.Entry, bool) {
	var all []ledger.Entry
	after := ""
	for more := true; more; {
		var page []ledger.Entry
		var err error
		page, more, err = o.host.Ledger.Open(o.ctx, o.cell, after, rebuildPage)
		if err != nil {
			more = true
			if !wait(o.ctx, rebuildPause/2+rand.N(rebuildPause)) {
				return nil, false
			}
			continue
		}
		all = append(all, page...)
		if len(page) > 0 {
			after = page[len(page)-1].Row.Key
		}
	}
	return all, o.ctx.Err() == nil
}

// awaitInputs waits for the VM list and for a configuration that was read after
// the takeover: the owner before may have applied a generation that this node
// had not heard of, and a cell never goes back to an older one.
func (o *Owner) awaitInputs() bool {
	for !o.host.Refresh(o.ctx) {
		if !wait(o.ctx, gatePoll) {
			return false
		}
	}
	for {
		if _, listed := o.host.VMs(o.cell); listed {
			return true
		}
		if !wait(o.ctx, gatePoll) {
			return false
		}
	}
}

// restore takes over one open job: a waiting one is queued again, a started one
// is adopted where its row says, and its workers are asked.
func (o *Owner) restore(e ledger.Entry) {
	l := &live{entry: e, attempt: e.Job.Attempt, ran: e.Job.Attempt > 0}
	o.jobs[e.Job.ID] = l
	if e.Job.State == model.Accepted || len(e.Job.Members) == 0 {
		o.step(place.Arrive{Job: request(e.Job)})
		return
	}
	l.phase = phaseRunning
	l.ran = true
	l.toldAt = time.Now()
	l.until = time.Now().Add(o.host.Settings.RunLease)
	lost := false
	for _, m := range e.Job.Members {
		w := o.workers[m.Worker]
		if w == nil {
			// The platform no longer lists it: keep it in the books so that
			// the job ends by the rules for a lost worker.
			o.workers[m.Worker] = &workerState{
				vm: model.VM{ID: m.Worker, Addr: m.Addr}, gone: true, okAt: time.Now(),
			}
			lost = true
		}
		lost = lost || o.workers[m.Worker].gone
		l.members = append(l.members, member{Member: m, phase: model.PhaseRunning, started: true})
	}
	o.step(place.Adopt{
		Job: request(e.Job), Mode: e.Job.Mode, Claim: e.Job.Claim,
		Shares: shares(e.Job.Members), StartedMs: e.Job.StartedMs,
	})
	if !lost {
		return
	}
	for _, m := range e.Job.Members {
		if o.workers[m.Worker].gone {
			o.loseWorker(l, m.Worker)
		}
	}
}

// engineWorkerBack tells the engine that a worker that was taken as lost answers.
func (o *Owner) engineWorkerBack(w *workerState) {
	o.step(place.WorkerUp{VM: w.vm})
	if w.leaving {
		o.step(place.WorkerLeaving{ID: w.vm.ID})
	}
}
