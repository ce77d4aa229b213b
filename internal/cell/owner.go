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

// message is something that the owner's loop applies to its state.
type message interface{ apply(o *Owner) }

// Owner runs one cell at one epoch.
type Owner struct {
	host  *Host
	cell  string
	epoch uint64
	fence ledger.Fence

	ctx    context.Context //nolint:containedctx // the owner's lifetime, ended by stop
	cancel context.CancelFunc
	done   sync.WaitGroup
	// inbox is bounded: callers get ErrBusy when it is full, the owner's own
	// duties wait.
	inbox chan message
	// starts bounds the jobs being started at once.
	starts chan struct{}

	validUntil atomic.Int64 // on the monotonic clock, ns since base
	base       time.Time
	lost       atomic.Bool  // a worker obeys a newer epoch
	held       atomic.Bool  // the lease could not be renewed
	ready      atomic.Bool  // the rebuild is over
	quiet      atomic.Bool  // nothing new is started or accepted
	inStart    atomic.Int32 // starts that have passed the gate

	// All below belongs to the loop.
	engine   place.Engine
	events   []place.Event // to be handed to the engine
	deciding bool          // decisions of an event are being carried out
	jobs     map[string]*live
	workers  map[string]*workerState
	plan     uint64 // generation that the engine has
	stats    atomic.Pointer[place.Stats]
	account  account
	purgeAt  time.Time // when ended jobs are next purged
}

// workerState is what the owner knows of one worker.
type workerState struct {
	vm      model.VM
	listed  bool
	leaving bool
	gone    bool // silent or unlisted for too long; the engine takes it as lost
	// okAt is when the last renewal that the worker answered was sent.
	okAt time.Time
	// busy is set while a renewal is on its way.
	busy bool
	told bool // silence was logged
	acks []model.TaskRef
}

func newOwner(h *Host, cell string, epoch uint64, fence ledger.Fence) *Owner {
	ctx, cancel := context.WithCancel(context.Background())
	o := &Owner{
		host: h, cell: cell, epoch: epoch, fence: fence, ctx: ctx, cancel: cancel,
		base: time.Now(), inbox: make(chan message, h.Settings.Inbox),
		starts: make(chan struct{}, h.Settings.StartAtOnce),
		jobs:   map[string]*live{}, workers: map[string]*workerState{},
	}
	return o
}

func (o *Owner) start() {
	o.spawn(o.loop)
}

// stop ends the loop and all its goroutines without releasing the cell.
func (o *Owner) stop() {
	o.cancel()
	o.done.Wait()
}

// spawn runs f in a goroutine that stop waits for.
func (o *Owner) spawn(f func()) {
	o.done.Add(1)
	go func() {
		defer o.done.Done()
		f()
	}()
}

// extend makes the lease valid until t.
func (o *Owner) extend(t time.Time) {
	o.validUntil.Store(int64(t.Sub(o.base)))
	if o.held.CompareAndSwap(true, false) {
		o.host.Log.Emit(event.CellResumed).Str("cell", o.cell).Uint64("epoch", o.epoch).Send()
	}
}

// valid reports whether the owner may decide now.
func (o *Owner) valid() bool {
	return int64(time.Since(o.base)) < o.validUntil.Load() && !o.lost.Load()
}

// noteHeld logs once that the lease has run out unrenewed.
func (o *Owner) noteHeld(err error) {
	if o.valid() || !o.held.CompareAndSwap(false, true) {
		return
	}
	o.host.Log.Emit(event.CellHeld).Str("cell", o.cell).Uint64("epoch", o.epoch).Err(err).Send()
}

// open reports whether new work may be accepted and started.
func (o *Owner) open() bool {
	_, fresh := o.host.Plan()
	return o.valid() && fresh && !o.quiet.Load()
}

// post puts a message of the owner's own duties into the inbox.
func (o *Owner) post(m message) {
	select {
	case o.inbox <- m:
	case <-o.ctx.Done():
	}
}

// offer puts a caller's message into the inbox unless it is full.
func (o *Owner) offer(m message) error {
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
	ticker := time.NewTicker(o.tickEvery())
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

func (o *Owner) tickEvery() time.Duration { return o.host.Settings.RunRenew / 2 }

func (o *Owner) tick() {
	o.charge()
	o.refresh()
	o.step(place.Tick{})
	o.checkJobs()
	o.renewAll()
	o.purge()
	s := o.engine.Stats()
	o.stats.Store(&s)
}

// refresh applies a new configuration and changes of the VM list.
func (o *Owner) refresh() {
	if plan, _ := o.host.Plan(); plan.Generation > o.plan {
		o.plan = plan.Generation
		o.step(place.Configure{Snapshot: plan.Snapshot(o.cell)})
	}
	vms, ok := o.host.VMs(o.cell)
	if !ok {
		return
	}
	listed := map[string]bool{}
	for _, vm := range vms {
		listed[vm.ID] = true
		o.see(vm)
	}
	for id, w := range o.workers {
		if !listed[id] && w.listed {
			w.listed = false
			o.workerGone(w, "it is no longer in the VM list")
		}
	}
}

// see notes a listed worker. A worker that is known to be leaving is not
// revived by a list that still shows it as live.
func (o *Owner) see(vm model.VM) {
	w := o.workers[vm.ID]
	if w == nil {
		w = &workerState{okAt: time.Now()}
		o.workers[vm.ID] = w
	}
	back := !w.listed
	w.vm, w.listed = vm, true
	if back {
		w.gone, w.leaving = false, false
		w.okAt = time.Now()
		o.step(place.WorkerUp{VM: vm})
	}
	if vm.Leaving {
		o.workerLeaving(w, "the VM list or a peer")
	}
}

func (o *Owner) workerLeaving(w *workerState, who string) {
	if w.leaving || w.gone {
		return
	}
	w.leaving = true
	o.host.Log.Emit(event.WorkerLeaving).Str("cell", o.cell).Str("worker", w.vm.ID).Str("told_by", who).Send()
	o.step(place.WorkerLeaving{ID: w.vm.ID})
}

func (o *Owner) workerGone(w *workerState, reason string) {
	if w.gone {
		return
	}
	w.gone = true
	o.host.Log.Emit(event.WorkerGone).Str("cell", o.cell).Str("worker", w.vm.ID).Str("reason", reason).Send()
	o.step(place.WorkerLost{ID: w.vm.ID})
}

// step hands an event to the engine and carries out its decisions; an event
// that a decision brings about is handled after all decisions of the first.
func (o *Owner) step(ev place.Event) {
	o.events = append(o.events, ev)
	if o.deciding {
		return
	}
	o.deciding = true
	for len(o.events) > 0 {
		next := o.events[0]
		o.events = o.events[1:]
		for _, d := range o.engine.Step(nowMs(), next) {
			o.carryOut(d)
		}
	}
	o.deciding = false
}

func (o *Owner) carryOut(d place.Decision) {
	o.logDecision(d)
	l := o.jobs[d.Job]
	if l == nil {
		return
	}
	switch d.Kind {
	case place.Start:
		o.launch(l, d)
	case place.Evict:
		o.host.Meter.Evicted(d.Workspace)
		o.stopMembers(l, whyEvict)
	case place.Lost:
		o.loseWorker(l, d.Worker)
	case place.Refuse:
		o.finish(l, refusedJob(l, d.Reason))
	case place.GiveUp:
		o.finish(l, l.job().WithState(model.Failed, nowMs(), d.Reason))
	default:
	}
}

// refusedJob ends a queued job: as refused if no part of it ever ran.
func refusedJob(l *live, reason string) model.Job {
	if l.ran {
		return l.job().WithState(model.Failed, nowMs(), reason+"; an earlier attempt may have run in part")
	}
	return l.job().WithState(model.Refused, nowMs(), reason)
}

var decisionEvents = map[place.Kind]event.ID{
	place.Start: event.Placed, place.Evict: event.Evicted, place.Refuse: event.JobRefused,
	place.GiveUp: event.JobRefused, place.Lost: event.WorkerGone, place.Hold: event.Held,
	place.Release: event.HoldReleased, place.Quarantine: event.Quarantined,
	place.Readmit: event.Readmitted, place.Risk: event.AtRisk, place.RiskOver: event.RiskOver,
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
		line = line.Str("mode", string(d.Mode)).Str("claim", d.Claim).Interface("shares", d.Shares)
	}
	line.Send()
}
