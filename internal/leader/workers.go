package leader

import (
	"context"
	"time"

	"greengageline/internal/clock"
	"greengageline/internal/event"
	"greengageline/internal/orders"
)

const (
	// listInterval is how often the workers' entries are read: a few times within the 2 s after which a
	// leaving worker must get nothing new.
	listInterval = 500 * time.Millisecond
	// listTimeout bounds a read of the entries, so that one over a dead connection and the next still fit into these
	// 2 s. It doubles with each failure in a row, up to maxListTimeout, since a read of all entries may take longer.
	listTimeout    = 1200 * time.Millisecond
	maxListTimeout = 5 * time.Second
)

// pollWorkerList reads the workers' entries until the owner ends. A failure may only mean that the connection was dead,
// so the next read follows at once.
func (o *Owner) pollWorkerList() {
	for timeout := listTimeout; o.ctx.Err() == nil; {
		ctx, cancel := context.WithTimeout(o.ctx, timeout)
		entries, err := o.lead.Fleet.List(ctx)
		cancel()
		o.post(func() { o.applyWorkerList(entries, err) })
		if err != nil {
			timeout = min(2*timeout, maxListTimeout)
			clock.Sleep(o.ctx, retryPauseMin)
			continue
		}
		timeout = listTimeout
		clock.Sleep(o.ctx, listInterval)
	}
}

// applyWorkerList applies the workers' entries, or a failure to read them. A worker whose entry is missing
// is leaving, but not within missingEntryGrace after the store's return.
func (o *Owner) applyWorkerList(entries []orders.Entry, err error) {
	now := o.lead.now()
	if err != nil {
		if o.listOK {
			o.lead.Log.Emit(event.StoreFailed).Str("op", "list workers").Err(err).Send()
		}
		o.listOK = false
		return
	}
	if !o.listOK {
		o.listOK, o.listOKSince = true, now
	}
	listed := make(map[string]bool, len(entries))
	for _, e := range entries {
		listed[e.ID] = true
		o.applyEntry(e, now)
	}
	o.listed = true
	if now-o.listOKSince < missingEntryGrace {
		return
	}
	for id, s := range o.sessions {
		if !listed[id] && s.listed {
			s.listed = false
			o.updateWorker(s)
			o.lead.Log.Emit(event.WorkerLeaving).Str("worker", id).Str("reason", "its entry was removed").Send()
		}
	}
}

// applyEntry applies a worker's entry, read at the time now.
func (o *Owner) applyEntry(e orders.Entry, now time.Duration) {
	s := o.session(e)
	known := s.listed
	if o.listed && !known && !s.proven {
		s.silent = true // there may be no worker behind a new entry: it has to answer first
	}
	if known && !s.entry.Leaving && e.Leaving {
		o.lead.Log.Emit(event.WorkerLeaving).Str("worker", e.ID).Str("reason", "its entry is marked as leaving").Send()
	}
	if old := o.silentAt[e.Addr]; !known && old != nil && old != s && old.endsUnplanned() {
		old.countLostRuns() // the worker at the address is a later incarnation
	}
	restarted := s.entry.StartedMs != e.StartedMs
	if restarted {
		s.noteUncertain()
	}
	e.Addr = s.checkedAddr(e)
	s.entry, s.listed = e, true
	if s.incarnation == 0 {
		s.incarnation = e.StartedMs
	}
	switch {
	case restarted && e.StartedMs != s.incarnation:
		s.clockOK = false // it begins anew, so that the estimate may be ahead of it, until the worker answers
	case !s.clockOK && !known:
		// The entry was written before this reading, so the estimate of the clock is behind it.
		s.recordClock(e.ClockMs, now)
	}
	o.updateWorker(s)
	if s.adopted {
		s.holdIfIdle()
	}
	if !known {
		o.passDue = true
	}
}

// checkedAddr returns the address at which to reach the worker after its entry was read. An incarnation that has
// answered stays at its address; an entry that says otherwise may come from another writer.
func (s *session) checkedAddr(e orders.Entry) string {
	if s.provenAddr == "" || e.Addr == s.provenAddr || e.StartedMs == 0 || e.StartedMs != s.entry.StartedMs {
		return e.Addr
	}
	if e.Addr != s.rejectedAddr {
		s.rejectedAddr = e.Addr
		s.o.lead.Log.Emit(event.BadVM).Str("worker", e.ID).Str("address", e.Addr).Str("answers_at", s.provenAddr).Int64("epoch", s.o.epoch).Send()
	}
	return s.provenAddr
}

// settled reports whether checkLeases has nothing to do: the worker is listed and answers, and a hold is in flight or none
// is needed.
func (s *session) settled() bool {
	return s.listed && !s.silent && (s.holdsInFlight > 0 || !s.needsHold())
}
