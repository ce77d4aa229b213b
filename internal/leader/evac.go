package leader

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"greengageline/internal/event"
	"greengageline/internal/orders"
	"greengageline/internal/sched"
)

// evacuationMargin is the part of Bounds.Evacuation that is left for a start after its last check: the store's feeds
// may deliver nothing for a second, and an order may be in transit for up to half a second.
const evacuationMargin = 1500 * time.Millisecond

var (
	errZoneEvacuated = errors.New("the zone of the worker is evacuated")
	errOldView       = errors.New("the evacuated zones were not confirmed recently")
)

// Evacuations are the evacuated zones as a node knows them.
type Evacuations struct {
	// Zones has the zones in which nothing may start. It is never changed once it is in use.
	Zones map[string]bool
	// ConfirmedAt is when the read was sent that last showed Zones to be the newest, on the steady clock; 0 before the
	// first.
	ConfirmedAt time.Duration
}

// evacuations returns the evacuated zones as this node knows them.
func (l *Candidate) evacuations() Evacuations {
	if l.Evacuations == nil {
		return Evacuations{}
	}
	return l.Evacuations()
}

// viewLimit returns how old a view of the evacuated zones may be for a start; 0 means any age. A bound that is too short
// for the margin is halved instead, so that starts are still possible.
func (b Bounds) viewLimit() time.Duration {
	return max(b.Evacuation-evacuationMargin, b.Evacuation/2)
}

// checkView returns an error if the view v of the evacuated zones is too old to start anything by it.
func (l *Candidate) checkView(v Evacuations) error {
	limit := l.Bounds.viewLimit()
	if limit <= 0 {
		return nil
	}
	if age := l.now() - v.ConfirmedAt; v.ConfirmedAt == 0 || age >= limit {
		return errOldView
	}
	return nil
}

// CheckStart returns an error that wraps orders.ErrNotSent if this node must not start a run in the zone now. Any
// goroutine may call it.
func (l *Candidate) CheckStart(zone string) error {
	v := l.evacuations()
	if v.Zones[zone] {
		return fmt.Errorf("%w: %w %s", orders.ErrNotSent, errZoneEvacuated, zone)
	}
	if err := l.checkView(v); err != nil {
		return fmt.Errorf("%w: %w", orders.ErrNotSent, err)
	}
	return nil
}

// startDeadline returns the deadline of a start whose lease would end at deadlineMs, on the worker's clock: a worker
// refuses a start that arrives after it, so it ends with the bound of an evacuation that the view may not show yet. The
// next hold extends the lease. Any goroutine may call it.
func (o *Owner) startDeadline(deadlineMs int64) int64 {
	b := &o.lead.Bounds
	if deadlineMs == 0 || b.Evacuation <= 0 {
		return deadlineMs
	}
	left := o.lead.evacuations().ConfirmedAt + b.Evacuation - o.lead.now()
	return max(1, deadlineMs-max(0, b.MaxLease-left).Milliseconds())
}

// GuardStarts returns the fleet with a check of the worker's zone directly before each start. It wraps the fleet that
// reaches the workers from this node, so that the check covers starts that wait on their way or at a carrier.
func GuardStarts(f *orders.Fleet, check func(zone string) error) *orders.Fleet {
	guarded := *f
	guarded.Start = func(ctx context.Context, e orders.Entry, in orders.Start) (int64, error) {
		if err := check(e.Zone); err != nil {
			return 0, err
		}
		return f.Start(ctx, e, in)
	}
	return &guarded
}

// evacState is the owner's state about evacuated zones; its fields belong to the loop.
type evacState struct {
	// by has, for each evacuated zone in force, until when runs that can move should be stopped.
	by map[string]time.Duration
	// stale is set while the view is too old to start anything.
	stale bool
	// shortfalls has what was last reported not to fit in the other zones, as computed at checkedAt.
	shortfalls []sched.Shortfall
	checkedAt  time.Duration
}

// shortfallInterval is how often the owner checks what no longer fits. It goes through all open gangs.
const shortfallInterval = time.Second

// reportShortfalls logs which guarantees and gangs no longer fit in the zones that are not evacuated, once for each
// change, and when they fit again.
func (o *Owner) reportShortfalls() {
	now := o.lead.now()
	if len(o.evac.by) == 0 && len(o.evac.shortfalls) == 0 || now-o.evac.checkedAt < shortfallInterval {
		return
	}
	o.evac.checkedAt = now
	before := o.evac.shortfalls
	o.evac.shortfalls = o.engine.Shortfalls()
	log := func(f sched.Shortfall, fits bool) {
		o.lead.Log.Emit(event.ZoneShortfall).Str("workspace", f.Workspace).Bool("fits_again", fits).Bool("gang", f.Gang).
			Int("accelerators", f.Accelerators).Int("fit", f.Fits).Int("gangs", f.Gangs).
			Strs("zones", slices.Sorted(maps.Keys(o.evac.by))).Int64("epoch", o.epoch).Send()
	}
	for _, f := range o.evac.shortfalls {
		if !slices.ContainsFunc(before, f.SameCondition) {
			log(f, false)
		}
	}
	for _, f := range before {
		if !slices.ContainsFunc(o.evac.shortfalls, func(x sched.Shortfall) bool { return x.Workspace == f.Workspace && x.Gang == f.Gang }) {
			log(f, true)
		}
	}
}

// shortfallStats adds what does not fit to the statistics.
func (o *Owner) shortfallStats(st *Stats) {
	st.EvacuatedZones = len(o.evac.by)
	for _, f := range o.evac.shortfalls {
		if f.Gang {
			st.UnfitGangs += f.Gangs
		} else {
			st.UnfitAccelerators += f.Accelerators - f.Fits
		}
	}
}

// applyEvacuations puts the evacuated zones in force that this node knows.
func (o *Owner) applyEvacuations() {
	v := o.lead.evacuations()
	if stale := o.lead.checkView(v) != nil; stale != o.evac.stale {
		o.evac.stale = stale
		o.passDue = true
		o.lead.Log.Emit(event.EvacuationView).Bool("stale", stale).Int64("age_ms", (o.lead.now()-v.ConfirmedAt).Milliseconds()).Int64("epoch", o.epoch).Send()
	}
	changed := map[string]bool{}
	for zone := range v.Zones {
		if _, known := o.evac.by[zone]; !known {
			if o.evac.by == nil {
				o.evac.by = map[string]time.Duration{}
			}
			o.evac.by[zone] = max(1, o.lead.now()+o.lead.Bounds.Evacuation)
			changed[zone] = true
		}
	}
	for zone := range o.evac.by {
		if !v.Zones[zone] {
			delete(o.evac.by, zone)
			changed[zone] = true
		}
	}
	if len(changed) == 0 {
		return
	}
	workers := map[string]int{}
	for _, s := range o.sessions {
		if changed[s.entry.Zone] {
			workers[s.entry.Zone]++
			o.updateWorker(s)
		}
	}
	for zone := range changed {
		_, evacuated := o.evac.by[zone]
		o.lead.Log.Emit(event.ZoneEvacuated).Str("zone", zone).Bool("evacuated", evacuated).Int("workers", workers[zone]).Int64("epoch", o.epoch).Send()
	}
	o.passDue = true
}

// inEvacuatedZone reports whether the worker is in an evacuated zone.
func (s *session) inEvacuatedZone() bool {
	_, evacuated := s.o.evac.by[s.entry.Zone]
	return evacuated
}
