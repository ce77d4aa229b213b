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
	// rebuildPageSize is how many rows one read of a rebuild requests. A row may take 90 KB.
	rebuildPageSize = 100
	// rebuildRetryPause is the mean pause between attempts to read while the table is
	// unavailable. Its jitter keeps the nodes from reading at once when the table
	// returns.
	rebuildRetryPause = 300 * time.Millisecond
)

// rebuild prepares a new owner: it reads the cell's open jobs, waits for a current
// configuration and the VM list, restores the jobs and the engine from them, and then
// declares the engine ready. It retries the reads until they succeed and returns false only
// if the owner ended first.
func (o *Owner) rebuild() bool {
	started := time.Now()
	o.host.runHook(StepTakeOver, "")
	entries, ok := o.readOpenJobs()
	if !ok || !o.awaitInputs() {
		return false
	}
	plan, _ := o.host.Plan()
	o.engineGeneration = plan.Generation
	o.stepEngine(place.Configure{Snapshot: plan.Snapshot(o.cell)})
	o.applyConfigAndVMs()
	for _, e := range entries {
		o.restoreJob(e)
	}
	o.stepEngine(place.Ready{})
	o.openUsageAccount()
	o.rebuilt.Store(true)
	o.renewWorkers()
	s := o.engine.Stats()
	o.stats.Store(&s)
	o.host.Log.Emit(event.CellRebuilt).Str("cell", o.cell).Uint64("epoch", o.epoch).
		Int("jobs", len(entries)).Dur("took", time.Since(started)).Send()
	return true
}

func (o *Owner) readOpenJobs() ([]ledger.Entry, bool) {
	var all []ledger.Entry
	after := ""
	for more := true; more; {
		var page []ledger.Entry
		var err error
		page, more, err = o.host.Ledger.Open(o.ctx, o.cell, after, rebuildPageSize)
		if err != nil {
			more = true
			if !sleep(o.ctx, rebuildRetryPause/2+rand.N(rebuildRetryPause)) {
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

// awaitInputs waits for the VM list and for a configuration that was read after the
// takeover. The previous owner may have applied a generation that this node had not
// read yet, and a cell never returns to an older generation. It returns false if the
// owner ended first.
func (o *Owner) awaitInputs() bool {
	for !o.host.Refresh(o.ctx) {
		if !sleep(o.ctx, pollInterval) {
			return false
		}
	}
	for {
		if _, listed := o.host.VMs(o.cell); listed {
			return true
		}
		if !sleep(o.ctx, pollInterval) {
			return false
		}
	}
}

// restoreJob restores one open job from its row. A waiting job is queued again. A job whose
// row names members may have started; it is adopted on those workers, and the next renewals
// request its state from them.
func (o *Owner) restoreJob(e ledger.Entry) {
	j := &openJob{entry: e, attempt: e.Job.Attempt, mayHaveRun: e.Job.Attempt > 0}
	o.jobs[e.Job.ID] = j
	o.hold(&e.Job.Spec)
	if e.Job.State == model.Accepted || len(e.Job.Members) == 0 {
		o.stepEngine(place.Enqueue{Job: placeRequest(e.Job)})
		return
	}
	j.phase = phaseRunning
	j.mayHaveRun = true
	j.startSentAt = time.Now()
	j.deadline = time.Now().Add(o.host.Settings.RunLease)
	lost := false
	for _, m := range e.Job.Members {
		w := o.workers[m.Worker]
		if w == nil {
			// The platform no longer lists the worker. Record it as lost, so
			// that the rules for a lost worker apply to the job.
			o.workers[m.Worker] = &workerState{
				vm: model.VM{ID: m.Worker, Addr: m.Addr}, lost: true, answeredAt: time.Now(),
			}
			lost = true
		}
		lost = lost || o.workers[m.Worker].lost
		j.members = append(j.members, member{Member: m, phase: model.PhaseRunning, mayHaveRun: true})
	}
	o.stepEngine(place.Restore{
		Job: placeRequest(e.Job), Mode: e.Job.Mode, Claim: e.Job.Claim,
		Assignments: placeShares(e.Job.Members), StartedMs: e.Job.StartedMs,
	})
	if !lost {
		return
	}
	for _, m := range e.Job.Members {
		if o.workers[m.Worker].lost {
			o.memberWorkerLost(j, m.Worker)
		}
	}
}

// reportWorkerUp tells the engine that a worker that was treated as lost answers again.
func (o *Owner) reportWorkerUp(w *workerState) {
	up := w.vm
	up.Leaving = up.Leaving || w.evacuated
	o.stepEngine(place.WorkerUp{VM: up})
	if w.leaving {
		o.stepEngine(place.WorkerLeaving{ID: w.vm.ID})
	}
}
