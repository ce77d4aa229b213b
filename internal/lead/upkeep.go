package lead

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

// UpkeepTable has a row for each wave of upkeep with its progress.
const UpkeepTable = "upkeep"

const (
	// wavesEvery is how often new waves are looked for; their terms are five
	// seconds and more.
	wavesEvery = 700 * time.Millisecond
	// vmsEvery is how often the VMs are listed while a wave is open: a few times
	// within an upkeep, which takes 2 s on the users' sites.
	vmsEvery = 400 * time.Millisecond
	// vmsFresh is the age up to which a list of VMs is acted on.
	vmsFresh = 2 * time.Second
	// beginTimeout bounds an order to take a VM down; the platform may be some
	// 50 times slower than its usual few ms.
	beginTimeout = 2 * time.Second
	// defaultTurn is Bounds.Turn on the users' sites.
	defaultTurn = 3 * time.Second
	// turnMargin is added to Bounds.Turn for the way of an order.
	turnMargin = 500 * time.Millisecond
)

// waves is what the owner knows of upkeep; its fields belong to the loop.
type waves struct {
	planner upkeep.Planner
	// listedAt is when the list of VMs was asked for that the planner has seen.
	listedAt time.Duration
	away     bool // the platform's list can't be read
	// dirty are records to store, begins orders that wait for that.
	dirty  map[int64]upkeep.Record
	begins []upkeep.Step
	// closed are the workers that get nothing new because of an upkeep.
	closed map[string]bool
	// told is what the operator was told last of each wave.
	told map[int64]string
}

// watchWaves reads the waves and, while one is open, the VMs.
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
		o.ask(o.ctx, func() {
			for _, w := range asked {
				if o.waves.planner.Ask(w, o.moment()) {
					o.lead.Log.Emit(event.WaveAsked).Int64("wave", w.Number).Int("vms", len(w.VMs)).Int("at_once", w.AtOnce).
						Int64("term_ms", w.Term.Milliseconds()).Int64("epoch", o.epoch).Send()
				}
			}
			open = o.waves.planner.Open()
		})
		if !open {
			clock.Sleep(o.ctx, wavesEvery)
			continue
		}
		sent := o.lead.now()
		ctx, cancel = context.WithTimeout(o.ctx, storeTimeout)
		vms, err := site.VMs(ctx)
		cancel()
		o.post(func() { o.seeVMs(vms, sent, err) })
		clock.Sleep(o.ctx, vmsEvery)
	}
}

func (o *Owner) seeVMs(vms []upkeep.VM, sent time.Duration, err error) {
	if (err != nil) != o.waves.away {
		o.waves.away = err != nil
		o.lead.Log.Emit(event.VMsListed).Bool("away", o.waves.away).AnErr("error", err).Int64("epoch", o.epoch).Send()
	}
	if err == nil {
		o.waves.listedAt = sent
		o.waves.planner.See(vms, o.moment())
	}
}

// tend closes and empties the workers whose VMs are next, and decides which VMs
// go down.
func (o *Owner) tend() {
	now := o.moment()
	closed := lo.SliceToMap(o.waves.planner.Ordered(), func(id string) (string, bool) { return id, true })
	if now.Steady-o.waves.listedAt > vmsFresh || o.waves.listedAt == 0 || !o.mayStart() || o.quiet {
		// Nothing is decided on an old list; what is closed stays so.
		if o.waves.planner.Open() {
			closed = lo.Assign(closed, o.waves.closed)
		}
		o.reopen(closed)
		o.noteWaves()
		return
	}
	for _, s := range o.waves.planner.Next(func(id string) sched.Load { return o.engine.Load(id, now) }, now) {
		closed[s.Worker] = true
		if s.Begin {
			o.waves.begins = append(o.waves.begins, s)
			continue
		}
		if s.Stop {
			o.engine.Evacuate(s.Worker, "its VM is due for upkeep")
		}
	}
	o.reopen(closed)
	o.noteWaves()
}

// reopen lets exactly the workers in closed get nothing new.
func (o *Owner) reopen(closed map[string]bool) {
	before := o.waves.closed
	o.waves.closed = closed
	for id, s := range o.sessions {
		if before[id] != closed[id] {
			o.setWorker(s)
		}
	}
}

func (o *Owner) noteWaves() {
	for n, r := range o.waves.planner.TakeChanged() {
		if o.waves.dirty == nil {
			o.waves.dirty = map[int64]upkeep.Record{}
		}
		o.waves.dirty[n] = r
	}
}

// putWaves adds the changed records of waves, and what the operator is told, to
// a transaction.
func (o *Owner) putWaves(f *flight) {
	for n, r := range o.waves.dirty {
		if len(f.txn.Put) >= maxEntries-3 {
			return
		}
		value, err := json.Marshal(r)
		if err != nil {
			o.lead.Log.Emit(event.RowCorrupt).Str("table", UpkeepTable).Int64("wave", n).Err(err).Send()
			delete(o.waves.dirty, n)
			continue
		}
		f.txn.Put = append(f.txn.Put, rows.Row{Table: UpkeepTable, Key: strconv.FormatInt(n, 10), Value: value})
		table, key, told := o.lead.Site.Report(n, r.Completed)
		if o.waves.told[n] != string(told) {
			if o.waves.told == nil {
				o.waves.told = map[int64]string{}
			}
			o.waves.told[n] = string(told)
			f.txn.Put = append(f.txn.Put, rows.Row{Table: table, Key: key, Value: told})
			o.lead.Log.Emit(event.WaveTold).Int64("wave", n).Bool("completed", r.Completed).Int64("epoch", o.epoch).Send()
		}
		delete(o.waves.dirty, n)
	}
	f.begins, o.waves.begins = o.waves.begins, nil
}

// begin takes a VM down whose record is durable.
func (o *Owner) begin(s upkeep.Step) {
	if !o.mayStart() {
		return // the planner comes back to it
	}
	o.spawn(func() {
		ctx, cancel := context.WithTimeout(o.ctx, beginTimeout)
		err := o.lead.Site.Begin(ctx, s.VM, s.Wave, o.lead.Node, o.epoch)
		cancel()
		o.post(func() {
			o.lead.Count.order("upkeep", err)
			o.lead.Log.Emit(event.UpkeepOrdered).Int64("wave", s.Wave).Str("vm", s.VM).Str("worker", s.Worker).
				Int64("epoch", o.epoch).AnErr("error", err).Send()
			if errors.Is(err, upkeep.ErrFenced) {
				o.lead.Log.Emit(event.LeadLost).Int64("epoch", o.epoch).Str("reason", "a VM obeys a later owner").Send()
				o.cancel()
				return
			}
			o.waves.planner.Answered(s.Wave, s.VM, err, o.moment())
			o.noteWaves()
		})
	})
}

// restoreWaves takes in the progress of waves that owners before have stored.
func (o *Owner) restoreWaves(page rows.Page) {
	turn := o.lead.Bounds.Turn
	if turn == 0 {
		turn = defaultTurn
	}
	for _, r := range page.Rows {
		n, err := strconv.ParseInt(r.Key, 10, 64)
		if err == nil {
			err = o.waves.planner.Restore(n, r.Value, o.since+turn+turnMargin)
		}
		if err != nil {
			o.lead.Log.Emit(event.RowCorrupt).Str("table", UpkeepTable).Str("key", r.Key).Err(err).Send()
		}
	}
}
