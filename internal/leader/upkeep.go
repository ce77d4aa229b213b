package leader

import (
	"context"
	"encoding/json"
	"errors"
	"strconv"
	"time"

	"github.com/samber/lo"

	"greengageline/internal/clock"
	"greengageline/internal/event"
	"greengageline/internal/rows"
	"greengageline/internal/sched"
	"greengageline/internal/upkeep"
)

// UpkeepTable has a row for each upkeep wave with its progress.
const UpkeepTable = "upkeep"

const (
	// wavePollInterval is how often new waves are looked for; their terms are five seconds and more.
	wavePollInterval = 700 * time.Millisecond
	// vmPollInterval is how often the VMs are listed while a wave is open: a few times within an upkeep,
	// which takes 2 s on the users' sites.
	vmPollInterval = 400 * time.Millisecond
	// vmListMaxAge is the age up to which a list of VMs is used for decisions.
	vmListMaxAge = 2 * time.Second
	// upkeepOrderTimeout bounds an order to take a VM into upkeep; the platform may be some 50 times slower
	// than its usual few ms.
	upkeepOrderTimeout = 2 * time.Second
	// defaultOwnerGap is Bounds.MinOwnerGap on the users' sites.
	defaultOwnerGap = 3 * time.Second
	// ownerGapMargin is added to Bounds.MinOwnerGap for the time that an order is in transit.
	ownerGapMargin = 500 * time.Millisecond
)

// waveState is the owner's state about upkeep waves; its fields belong to the loop.
type waveState struct {
	planner upkeep.Planner
	// vmsListedAt is when the list of VMs that the planner saw last was requested.
	vmsListedAt  time.Duration
	vmListFailed bool // the platform's list of VMs can't be read
	// dirtyRecords are records to store; pendingUpkeeps are orders to send once these are durable.
	dirtyRecords   map[int64]upkeep.Record
	pendingUpkeeps []upkeep.Step
	// closedWorkers are the workers that get no new tasks because of an upkeep.
	closedWorkers map[string]closure
	// reported is the status last reported to the operator for each wave.
	reported map[int64]string
}

// closure is how far a worker is closed because of an upkeep.
type closure int

// The closures. A worker that drains may still get long-running tasks that find no other room; one that goes
// down gets none.
const (
	notClosed closure = iota
	draining
	goingDown
)

// watchWaves reads the waves and, while one is open, the VMs, until the owner ends.
func (o *Owner) watchWaves() {
	site := o.lead.Site
	for o.ctx.Err() == nil {
		ctx, cancel := context.WithTimeout(o.ctx, storeTimeout)
		asked, err := site.Waves(ctx)
		cancel()
		if err != nil {
			o.lead.Log.Emit(event.StoreFailed).Str("op", "read waves").Err(err).Send()
		}
		open := false
		o.postAndWait(o.ctx, func() {
			for _, w := range asked {
				if o.waves.planner.SetWave(w, o.moment()) {
					o.lead.Log.Emit(event.WaveAsked).Int64("wave", w.Number).Int("vms", len(w.VMs)).Int("at_once", w.MaxDown).
						Int64("term_ms", w.TimeLimit.Milliseconds()).Int64("epoch", o.epoch).Send()
				}
			}
			open = o.waves.planner.HasOpenWaves()
		})
		if !open {
			clock.Sleep(o.ctx, wavePollInterval)
			continue
		}
		sent := o.lead.now()
		ctx, cancel = context.WithTimeout(o.ctx, storeTimeout)
		vms, err := site.VMs(ctx)
		cancel()
		o.post(func() { o.applyVMList(vms, sent, err) })
		clock.Sleep(o.ctx, vmPollInterval)
	}
}

// applyVMList applies a list of VMs that was requested at sent, or the failure to read it.
func (o *Owner) applyVMList(vms []upkeep.VM, sent time.Duration, err error) {
	if (err != nil) != o.waves.vmListFailed {
		o.waves.vmListFailed = err != nil
		o.lead.Log.Emit(event.VMsListed).Bool("away", o.waves.vmListFailed).AnErr("error", err).Int64("epoch", o.epoch).Send()
	}
	if err == nil {
		o.waves.vmsListedAt = sent
		o.waves.planner.UpdateVMs(vms, o.moment())
	}
}

// planUpkeep closes and empties the workers whose VMs are next in a wave, and decides which VMs go into
// upkeep.
func (o *Owner) planUpkeep() {
	now := o.moment()
	closed := lo.SliceToMap(o.waves.planner.WorkersGoingDown(), func(id string) (string, closure) { return id, goingDown })
	if now.Steady-o.waves.vmsListedAt > vmListMaxAge || o.waves.vmsListedAt == 0 || !o.mayStart() || o.releasing {
		// Nothing is decided on an old list; closed workers stay closed.
		if o.waves.planner.HasOpenWaves() {
			closed = lo.Assign(o.waves.closedWorkers, closed)
		}
		o.setClosedWorkers(closed)
		o.collectWaveRecords()
		return
	}
	for _, s := range o.waves.planner.Next(func(id string) sched.Load { return o.engine.Load(id, now) }, now) {
		switch {
		case s.Begin:
			closed[s.Worker] = goingDown
			o.waves.pendingUpkeeps = append(o.waves.pendingUpkeeps, s)
		default:
			closed[s.Worker] = max(closed[s.Worker], draining)
			if s.Stop {
				o.engine.DrainWorker(s.Worker, "its VM is due for upkeep")
			}
		}
	}
	o.setClosedWorkers(closed)
	o.collectWaveRecords()
}

// setClosedWorkers makes closed the set of workers that get no new tasks.
func (o *Owner) setClosedWorkers(closed map[string]closure) {
	before := o.waves.closedWorkers
	o.waves.closedWorkers = closed
	if len(before) == 0 && len(closed) == 0 {
		return
	}
	for id, s := range o.sessions {
		if before[id] != closed[id] {
			o.updateWorker(s)
		}
	}
}

// collectWaveRecords collects the wave records that changed, for the next transaction.
func (o *Owner) collectWaveRecords() {
	for n, r := range o.waves.planner.TakeChanged() {
		if o.waves.dirtyRecords == nil {
			o.waves.dirtyRecords = map[int64]upkeep.Record{}
		}
		o.waves.dirtyRecords[n] = r
	}
}

// addWaveRows adds the changed wave records, the statuses reported to the operator and the pending upkeep
// orders to a transaction.
func (o *Owner) addWaveRows(t *pendingTxn) {
	for n, r := range o.waves.dirtyRecords {
		if len(t.txn.Put) >= maxTxnEntries-3 {
			return
		}
		value, err := json.Marshal(r)
		if err != nil {
			o.lead.Log.Emit(event.RowCorrupt).Str("table", UpkeepTable).Int64("wave", n).Err(err).Send()
			delete(o.waves.dirtyRecords, n)
			continue
		}
		t.txn.Put = append(t.txn.Put, rows.Row{Table: UpkeepTable, Key: strconv.FormatInt(n, 10), Value: value})
		table, key, status := o.lead.Site.Report(n, r.Completed)
		if o.waves.reported[n] != string(status) {
			if o.waves.reported == nil {
				o.waves.reported = map[int64]string{}
			}
			o.waves.reported[n] = string(status)
			t.txn.Put = append(t.txn.Put, rows.Row{Table: table, Key: key, Value: status})
			o.lead.Log.Emit(event.WaveTold).Int64("wave", n).Bool("completed", r.Completed).Int64("epoch", o.epoch).Send()
		}
		delete(o.waves.dirtyRecords, n)
	}
	t.upkeeps, o.waves.pendingUpkeeps = o.waves.pendingUpkeeps, nil
}

// orderUpkeep orders the platform to take a VM into upkeep, once the record of that is durable.
func (o *Owner) orderUpkeep(s upkeep.Step) {
	if !o.mayStart() {
		return // the planner decides it again
	}
	o.spawn(func() {
		ctx, cancel := context.WithTimeout(o.ctx, upkeepOrderTimeout)
		err := o.lead.Site.Begin(ctx, s.VM, s.Wave, o.lead.Node, o.epoch)
		cancel()
		o.post(func() {
			o.lead.Metrics.orderSent("upkeep", err)
			o.lead.Log.Emit(event.UpkeepOrdered).Int64("wave", s.Wave).Str("vm", s.VM).Str("worker", s.Worker).
				Int64("epoch", o.epoch).AnErr("error", err).Send()
			if errors.Is(err, upkeep.ErrFenced) {
				o.lead.Log.Emit(event.LeadLost).Int64("epoch", o.epoch).Str("reason", "a VM has received orders of a later epoch").Send()
				o.cancel()
				return
			}
			o.waves.planner.RecordAnswer(s.Wave, s.VM, err, o.moment())
			o.collectWaveRecords()
		})
	})
}

// restoreWaveRecords applies the progress of waves that earlier owners have stored. VMs that these have
// given orders for get none before Bounds.MinOwnerGap has passed.
func (o *Owner) restoreWaveRecords(page rows.Page) {
	gap := o.lead.Bounds.MinOwnerGap
	if gap == 0 {
		gap = defaultOwnerGap
	}
	for _, r := range page.Rows {
		n, err := strconv.ParseInt(r.Key, 10, 64)
		if err == nil {
			err = o.waves.planner.Restore(n, r.Value, o.takenAt+gap+ownerGapMargin)
		}
		if err != nil {
			o.lead.Log.Emit(event.RowCorrupt).Str("table", UpkeepTable).Str("key", r.Key).Err(err).Send()
		}
	}
}
