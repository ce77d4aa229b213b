package leader

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"time"

	"greengageline/internal/clock"
	"greengageline/internal/event"
	"greengageline/internal/rows"
	"greengageline/internal/sched"
	"greengageline/internal/upkeep"
)

const (
	// maxTxnEntries is how many entries a transaction of the store holds.
	maxTxnEntries = 100
	// maxTxnBytes bounds the bytes of the records in one transaction, well under the store's 1 MB including
	// base64 and names.
	maxTxnBytes = 500 << 10
)

// releaseGrace is how long a release waits for records to be stored and starts to be sent: a few transactions.
const releaseGrace = 500 * time.Millisecond

// pendingTxn is one transaction and what may be done once it is durable. The loop builds it, sendTxn's
// goroutine owns it while it is in flight, and applyCommitted receives it back.
type pendingTxn struct {
	txn       rows.Txn
	row       ownership
	starts    []sched.Order          // starts to send
	upkeeps   []upkeep.Step          // upkeep orders to send
	ackedEnds map[*session]endMark   // per session, the ends that become durable
	finals    map[string]sched.State // jobs that have ended, with their final states
	sent      time.Duration          // when the last attempt was sent
	release   bool                   // it releases the ownership
}

// endMark is the highest of the ends that an incarnation of a worker has numbered.
type endMark struct{ incarnation, last int64 }

// commit sends the next transaction unless one is in flight: it carries the records that changed, or is a
// renewal if the last commit is old.
func (o *Owner) commit() {
	if o.inFlight {
		return
	}
	if o.releasing && o.mayRelease() {
		o.sendRelease()
		return
	}
	if len(o.dirtyJobs) == 0 && len(o.pendingDeletes) == 0 && len(o.pendingStarts) == 0 && len(o.waves.dirtyRecords) == 0 && len(o.waves.pendingUpkeeps) == 0 &&
		o.commitAge() < renewInterval && !o.hasUncoveredEnds() {
		return
	}
	t := o.buildTxn()
	o.inFlight = true
	o.txnSentAt.Store(int64(o.lead.now()))
	o.spawn(func() { o.sendTxn(t) })
}

// hasUncoveredEnds reports whether a worker listed ends that no transaction covers yet.
func (o *Owner) hasUncoveredEnds() bool {
	for _, s := range o.sessions {
		if s.seenEnd > s.durableEnd && s.seenEnd > s.coveredEnd {
			return true
		}
	}
	return false
}

// buildTxn returns the next transaction: changed records up to the store's limits, the ends that they cover, and, once
// no changed record is left, the rows to delete.
func (o *Owner) buildTxn() *pendingTxn {
	t := &pendingTxn{row: o.row, finals: map[string]sched.State{}, ackedEnds: map[*session]endMark{}}
	t.row.N++
	t.row.LeaseMs = o.longestLease().Milliseconds()
	o.addWaveRows(t)
	o.addRecords(t)
	o.addStarts(t)
	for _, s := range o.sessions {
		if s.coverEnds() {
			t.ackedEnds[s] = endMark{s.incarnation, s.coveredEnd}
		}
	}
	if len(o.dirtyJobs) == 0 {
		// The record of a job that has been accepted anew under its id is the new job's.
		o.pendingDeletes = slices.DeleteFunc(o.pendingDeletes, func(r rows.Row) bool { return o.work[r.Key] != nil })
		if n := min(len(o.pendingDeletes), maxTxnEntries-2-len(t.txn.Put)); n > 0 {
			t.txn.Delete, o.pendingDeletes = o.pendingDeletes[:n:n], o.pendingDeletes[n:]
		}
	}
	o.addSpeeds(t)
	return t
}

// addRecords adds the changed records to the transaction, up to the store's limits, in the order in which they changed.
func (o *Owner) addRecords(t *pendingTxn) {
	size, done := 0, 0
	var record sched.Record
	for _, id := range o.dirtyOrder {
		j := o.engine.Job(id)
		if j == nil {
			delete(o.dirtyJobs, id)
			done++
			continue
		}
		record.SetTo(j)
		value, trimmed, err := record.EncodeForRow()
		if trimmed {
			o.lead.Log.Emit(event.RecordTrimmed).Str("job", id).Int("bytes", len(value)).Int64("epoch", o.epoch).Send()
		}
		if err != nil {
			o.lead.Log.Emit(event.RowCorrupt).Str("table", RecordTable).Str("key", id).Err(err).Send()
			delete(o.dirtyJobs, id)
			done++
			continue
		}
		if len(t.txn.Put) >= maxTxnEntries-2 || size+len(value) > maxTxnBytes {
			break
		}
		size += len(value)
		t.txn.Put = append(t.txn.Put, rows.Row{Table: RecordTable, Key: id, Value: value})
		if !j.Open() {
			t.finals[id] = j.Final
		}
		delete(o.dirtyJobs, id)
		done++
	}
	o.dirtyOrder = o.dirtyOrder[done:]
}

// addStarts moves to the transaction the pending starts whose records it holds or that are durable already.
func (o *Owner) addStarts(t *pendingTxn) {
	o.pendingStarts = slices.DeleteFunc(o.pendingStarts, func(s sched.Order) bool {
		if o.dirtyJobs[s.Task.Job] {
			return false
		}
		t.starts = append(t.starts, s)
		return true
	})
}

// sendTxn sends the transaction until its outcome is known. It is sent again unchanged: only one attempt
// can take effect, since each rewrites the row on which all are conditional.
func (o *Owner) sendTxn(t *pendingTxn) {
	value, err := json.Marshal(t.row)
	if err != nil {
		o.cancel()
		return
	}
	lead := rows.Row{Table: OwnershipTable, Key: ownershipKey, Version: o.rowVersion}
	t.txn.Conditions = []rows.Row{lead}
	t.txn.Put = append(t.txn.Put, rows.Row{Table: OwnershipTable, Key: ownershipKey, Value: value})
	probe := rows.Probe{
		Row: lead, Applied: func(r rows.Row) bool { return t.row.isStored(r) }, Timeout: storeTimeout, Resend: resendDelay,
		After: min(max(minProbeDelay, probeDelayFactor*o.lastTxnTook), storeTimeout),
		Answered: func(err error) {
			if err == nil || errors.Is(err, rows.ErrConflict) {
				o.storeAnsweredAt.Store(int64(o.lead.now()))
			} else {
				o.lead.Metrics.storeFailed()
				o.lead.Log.Emit(event.StoreFailed).Str("op", "commit").Int64("n", t.row.N).Int64("age_ms", o.commitAge().Milliseconds()).Err(err).Send()
			}
		},
	}
	for pause := retryPauseMin; o.ctx.Err() == nil; pause = min(2*pause, retryPauseMax) {
		o.quiet.Store(t.release)
		t.sent = o.lead.now()
		version, _, err := o.lead.Rows.CommitKnown(o.ctx, t.txn, probe)
		if err == nil {
			o.committedAt.Store(int64(t.sent))
			o.committedVersion.Store(version)
			took := o.lead.now() - t.sent
			o.post(func() {
				o.lastTxnTook = took
				o.applyCommitted(t, version)
			})
			return
		}
		if errors.Is(err, rows.ErrConflict) {
			o.lead.Log.Emit(event.LeadLost).Int64("epoch", o.epoch).Str("reason", "another node has taken the ownership").Send()
			o.cancel()
			return
		}
		if errors.Is(err, rows.ErrRefused) {
			o.quiet.Store(false) // the release has not taken effect and is not in flight
		}
		clock.Sleep(o.ctx, pause)
	}
}

// isStored reports whether r is the ownership row as this transaction of this owner wrote it.
func (r ownership) isStored(row rows.Row) bool {
	var stored ownership
	return json.Unmarshal(row.Value, &stored) == nil && stored.sameOwner(r) && stored.N == r.N
}

// applyCommitted does, in the loop, what had to wait until the transaction was durable.
func (o *Owner) applyCommitted(t *pendingTxn, version uint64) {
	o.inFlight = false
	o.txnSentAt.Store(0)
	o.rowVersion = version
	o.row = t.row
	for id, s := range t.finals {
		if o.finals[id] == "" {
			o.finals[id] = s
			if j := o.engine.Job(id); j != nil {
				o.lead.Metrics.jobEnded(s, o.sinceAccepted(j))
			}
			line := o.lead.Log.Emit(event.WorkEnded).Str("job", id).Str("state", string(s))
			if j := o.engine.Job(id); j != nil && j.Reason != "" {
				line = line.Str("reason", j.Reason)
			}
			line.Int64("epoch", o.epoch).Send()
		}
	}
	for s, ends := range t.ackedEnds {
		if ends.incarnation != s.incarnation {
			continue // the worker has restarted since and numbers its ends anew
		}
		s.durableEnd = max(s.durableEnd, ends.last)
		s.holdIfIdle()
	}
	o.readyStarts = append(o.readyStarts, t.starts...)
	o.sendReadyStarts()
	for _, s := range t.upkeeps {
		o.orderUpkeep(s)
	}
	if t.release {
		o.cancel()
	}
}

// release gives the ownership up, so that another node can take it at once: as soon as no changed records and no orders
// to send are left, or after releaseGrace without what is left. It returns when the owner has ended or ctx ends.
func (o *Owner) release(ctx context.Context) {
	o.postAndWait(ctx, func() {
		if !o.releasing {
			o.releasing, o.releasingSince = true, o.lead.now()
		}
	})
	select {
	case <-o.ctx.Done():
	case <-ctx.Done():
	}
	o.lead.Log.Emit(event.LeadReleased).Int64("epoch", o.epoch).AnErr("error", ctx.Err()).Send()
}

// resume ends an attempt to release the ownership, unless the release has been sent.
func (o *Owner) resume() {
	if !o.inFlightRelease {
		o.releasing, o.passDue = false, true
	}
}

// mayRelease reports whether the release may be sent. Upkeep orders must be sent first, since their records say that they
// were; the rest is worth waiting for only as long as releaseGrace.
func (o *Owner) mayRelease() bool {
	if len(o.waves.pendingUpkeeps) > 0 {
		return false
	}
	return len(o.dirtyJobs) == 0 && len(o.pendingStarts) == 0 && len(o.readyStarts) == 0 || o.lead.now()-o.releasingSince >= releaseGrace
}

// dropUnsentStarts takes back the starts that have not been sent, since none may be sent after the release.
func (o *Owner) dropUnsentStarts() {
	for _, order := range slices.Concat(o.pendingStarts, o.readyStarts) {
		o.engine.End(order.Task, order.Run, sched.Refused, "", o.moment())
	}
	o.pendingStarts, o.readyStarts = nil, nil
	o.collectChanged()
}

// sendRelease sends the transaction that releases the ownership. From then on the owner gives no orders: the next one
// relies on that, and this one may never learn that the transaction took effect. Changed records that do not fit are lost
// as in a crash: the workers list again all ends that they tell of.
func (o *Owner) sendRelease() {
	o.dropUnsentStarts()
	t := o.buildTxn()
	t.release, t.row.Released = true, true
	left := max(0, o.earlierOrdersUntil-o.lead.now())
	if o.carried {
		left = max(left, maxCarryTime)
	}
	t.row.OrdersMs = left.Milliseconds() + 1 // rounded up, and never 0
	o.inFlight, o.inFlightRelease = true, true
	o.txnSentAt.Store(int64(o.lead.now()))
	o.spawn(func() { o.sendTxn(t) })
}
