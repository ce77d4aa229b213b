package cell

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"greengageline/internal/event"
	"greengageline/internal/ledger"
	"greengageline/internal/place"
	"greengageline/pkg/model"
)

// message is an item of the owner's inbox; the loop calls apply, which may touch the
// owner's state.
type message interface{ apply(o *Owner) }

// Owner runs the jobs of one cell at one epoch. The LeaseManager of the cell creates and
// stops it.
type Owner struct {
	host  *Host
	cell  string
	epoch uint64
	fence ledger.Fence

	ctx        context.Context //nolint:containedctx // the owner's lifetime, ended by stop
	cancel     context.CancelFunc
	goroutines sync.WaitGroup
	// inbox is bounded. When it is full, callers get ErrBusy and the owner's own
	// goroutines wait.
	inbox chan message
	// startSlots is a semaphore that bounds how many jobs are started at once.
	startSlots chan struct{}

	validUntil   atomic.Int64 // end of the lease in ns after clockBase, monotonic
	clockBase    time.Time
	fenced       atomic.Bool  // a worker or the table rejected this epoch as old
	suspended    atomic.Bool  // the lease expired without a renewal
	rebuilt      atomic.Bool  // the state was rebuilt from the table
	draining     atomic.Bool  // no job is accepted or started any more
	activeStarts atomic.Int32 // job starts past waitUntilAccepting

	heldMu sync.Mutex
	// held is guarded by heldMu: the memory of this owner's jobs by workspace, which is part of host.State.
	held map[string]int64

	// Only the loop touches the fields below, except stats.
	engine           place.Engine
	pendingEvents    []place.Event // not yet passed to the engine
	stepping         bool          // stepEngine is on the stack
	jobs             map[string]*openJob
	workers          map[string]*workerState
	engineGeneration uint64 // configuration generation that the engine has
	stats            atomic.Pointer[place.Stats]
	usage            usageAccount
	evacuated        map[string]bool // zones of the cell whose evacuation was logged
	purgeAt          time.Time       // when ended jobs are purged next
}

// workerState is the owner's view of one worker; only the loop touches it.
type workerState struct {
	vm      model.VM
	listed  bool
	leaving bool
	// evacuated is set while the worker's zone is evacuated; the engine then treats it as leaving.
	evacuated bool
	lost      bool // unlisted, or silent for too long; the engine treats it as lost
	// answeredAt is the time at which the last renewal that the worker answered was
	// sent. It is the present time while there is nothing to renew.
	answeredAt time.Time
	// renewing is set while a renewal is in flight.
	renewing      bool
	silenceLogged bool // the present silence was logged
	// pendingAcks are attempts whose end is to be acknowledged with the next renewal.
	pendingAcks []model.TaskRef
}

func newOwner(h *Host, cell string, epoch uint64, fence ledger.Fence) *Owner {
	ctx, cancel := context.WithCancel(context.Background())
	o := &Owner{
		host: h, cell: cell, epoch: epoch, fence: fence, ctx: ctx, cancel: cancel,
		clockBase: time.Now(), inbox: make(chan message, h.Settings.OwnerQueueSize),
		startSlots: make(chan struct{}, h.Settings.MaxConcurrentStarts),
		jobs:       map[string]*openJob{}, workers: map[string]*workerState{},
	}
	return o
}

func (o *Owner) start() {
	o.spawn(o.loop)
}

// stop ends the loop and all its goroutines and waits for them. It does not release
// the cell.
func (o *Owner) stop() {
	o.cancel()
	o.goroutines.Wait()
	o.releaseAll()
}

// spawn runs f in a goroutine; stop waits for it.
func (o *Owner) spawn(f func()) {
	o.goroutines.Add(1)
	go func() {
		defer o.goroutines.Done()
		f()
	}()
}

// extendLease makes the lease valid until t.
func (o *Owner) extendLease(t time.Time) {
	o.validUntil.Store(int64(t.Sub(o.clockBase)))
	if o.suspended.CompareAndSwap(true, false) {
		o.host.Log.Emit(event.CellResumed).Str("cell", o.cell).Uint64("epoch", o.epoch).Send()
	}
}

// leaseValid reports whether the owner may make decisions now.
func (o *Owner) leaseValid() bool {
	return int64(time.Since(o.clockBase)) < o.validUntil.Load() && !o.fenced.Load()
}

// suspendIfExpired marks the owner as suspended and logs err, once, if its lease has
// expired.
func (o *Owner) suspendIfExpired(err error) {
	if o.leaseValid() || !o.suspended.CompareAndSwap(false, true) {
		return
	}
	o.host.Log.Emit(event.CellHeld).Str("cell", o.cell).Uint64("epoch", o.epoch).Err(err).Send()
}

// acceptsWork reports whether jobs may be accepted and started now.
func (o *Owner) acceptsWork() bool {
	_, fresh := o.host.Plan()
	return o.leaseValid() && fresh && !o.draining.Load()
}

// post puts a message of the owner's own goroutines into the inbox. It blocks while the
// inbox is full and drops the message when the owner ends.
func (o *Owner) post(m message) {
	select {
	case o.inbox <- m:
	case <-o.ctx.Done():
	}
}

// tryPost puts a caller's message into the inbox, or returns ErrBusy if it is full.
func (o *Owner) tryPost(m message) error {
	select {
	case o.inbox <- m:
		return nil
	default:
		return ErrBusy
	}
}

func (o *Owner) loop() {
	if !o.rebuild() {
		return
	}
	ticker := time.NewTicker(o.tickInterval())
	defer ticker.Stop()
	for {
		select {
		case <-o.ctx.Done():
			return
		case m := <-o.inbox:
			m.apply(o)
		case <-ticker.C:
			o.tick()
		}
	}
}

func (o *Owner) tickInterval() time.Duration { return o.host.Settings.RunRenew / 2 }

func (o *Owner) tick() {
	o.chargeUsage()
	o.applyConfigAndVMs()
	o.stepEngine(place.Tick{})
	o.checkTimeouts()
	o.renewWorkers()
	o.purge()
	s := o.engine.Stats()
	o.stats.Store(&s)
}

// applyConfigAndVMs passes a new configuration and changes of the VM list to the engine.
func (o *Owner) applyConfigAndVMs() {
	if plan, _ := o.host.Plan(); plan.Generation > o.engineGeneration {
		o.engineGeneration = plan.Generation
		o.stepEngine(place.Configure{Snapshot: plan.Snapshot(o.cell)})
	}
	vms, ok := o.host.VMs(o.cell)
	if !ok {
		return
	}
	listed := map[string]bool{}
	for _, vm := range vms {
		listed[vm.ID] = true
		o.updateListedWorker(vm)
	}
	for id, w := range o.workers {
		if !listed[id] && w.listed {
			w.listed = false
			o.markWorkerLost(w, "it is no longer in the VM list")
		}
	}
	o.logEvacuations()
}

// updateListedWorker records a worker that is in the VM list. A worker that is known to
// be leaving stays so, even if the list still shows it as live.
func (o *Owner) updateListedWorker(vm model.VM) {
	w := o.workers[vm.ID]
	if w == nil {
		w = &workerState{answeredAt: time.Now()}
		o.workers[vm.ID] = w
	}
	newlyListed := !w.listed
	w.vm, w.listed = vm, true
	if newlyListed {
		w.lost, w.leaving = false, false
		w.answeredAt = time.Now()
		w.evacuated = o.host.isEvacuated(vm.Zone)
		up := vm
		up.Leaving = up.Leaving || w.evacuated
		o.stepEngine(place.WorkerUp{VM: up})
	}
	o.applyEvacuation(w)
	if vm.Leaving {
		o.markWorkerLeaving(w, "the VM list or a peer")
	}
}

func (o *Owner) markWorkerLeaving(w *workerState, source string) {
	if w.leaving || w.lost {
		return
	}
	w.leaving = true
	o.host.Log.Emit(event.WorkerLeaving).Str("cell", o.cell).Str("worker", w.vm.ID).Str("told_by", source).Send()
	o.stepEngine(place.WorkerLeaving{ID: w.vm.ID})
}

func (o *Owner) markWorkerLost(w *workerState, reason string) {
	if w.lost {
		return
	}
	w.lost = true
	o.host.Log.Emit(event.WorkerGone).Str("cell", o.cell).Str("worker", w.vm.ID).Str("reason", reason).Send()
	o.stepEngine(place.WorkerLost{ID: w.vm.ID})
}

// stepEngine passes an event to the engine and executes its decisions. Events that
// arise while decisions are executed are queued, so that all decisions of one event
// are executed before the next event.
func (o *Owner) stepEngine(ev place.Event) {
	o.pendingEvents = append(o.pendingEvents, ev)
	if o.stepping {
		return
	}
	o.stepping = true
	for len(o.pendingEvents) > 0 {
		next := o.pendingEvents[0]
		o.pendingEvents = o.pendingEvents[1:]
		for _, d := range o.engine.Step(nowMs(), next) {
			o.execute(d)
		}
	}
	o.stepping = false
}

func (o *Owner) execute(d place.Decision) {
	o.logDecision(d)
	j := o.jobs[d.Job]
	if j == nil {
		return
	}
	switch d.Kind {
	case place.Start:
		o.beginStart(j, d)
	case place.Evict:
		o.host.Meter.Evicted(d.Workspace)
		o.stopMembers(j, stopEvicted)
	case place.Lost:
		o.memberWorkerLost(j, d.Worker)
	case place.Refuse:
		o.endJob(j, refusedOrFailed(j, d.Reason))
	case place.GiveUp:
		o.endJob(j, j.job().WithState(model.Failed, nowMs(), d.Reason))
	default:
	}
}

// refusedOrFailed returns the final state of a queued job that the engine refuses:
// refused if no part of it ever ran, else failed.
func refusedOrFailed(j *openJob, reason string) model.Job {
	if j.mayHaveRun {
		return j.job().WithState(model.Failed, nowMs(), reason+"; an earlier attempt may have run in part")
	}
	return j.job().WithState(model.Refused, nowMs(), reason)
}

var decisionEvents = map[place.Kind]event.ID{
	place.Start: event.Placed, place.Evict: event.Evicted, place.Refuse: event.JobRefused,
	place.GiveUp: event.JobRefused, place.Lost: event.WorkerGone, place.Hold: event.Held,
	place.Release: event.HoldReleased, place.Quarantine: event.Quarantined,
	place.Readmit: event.Readmitted, place.GuaranteeAtRisk: event.AtRisk, place.GuaranteeRestored: event.RiskOver,
}

func (o *Owner) logDecision(d place.Decision) {
	line := o.host.Log.Emit(decisionEvents[d.Kind]).Str("cell", o.cell).Uint64("epoch", o.epoch).
		Str("decision", string(d.Kind)).Str("reason", d.Reason)
	if d.Job != "" {
		line = line.Str("job", d.Job)
	}
	if d.Workspace != "" {
		line = line.Str("workspace", d.Workspace)
	}
	if d.Worker != "" {
		line = line.Str("worker", d.Worker)
	}
	if d.Accelerators > 0 {
		line = line.Int("accelerators", d.Accelerators)
	}
	if d.Kind == place.Start {
		line = line.Str("mode", string(d.Mode)).Str("claim", d.Claim).Interface("shares", d.Assignments)
	}
	line.Send()
}
