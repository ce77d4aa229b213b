package lead

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
	// maxEntries is how many entries a transaction of the store holds.
	maxEntries = 100
	// maxTxn bounds the bytes of one transaction well under the store's 1 MB,
	// base64 and names included.
	maxTxn = 500 << 10
)

// flight is one transaction and what may be done once it is durable.
type flight struct {
	txn    rows.Txn
	right  right
	starts []sched.Order
	begins []upkeep.Step
	acks   map[*session]int64
	finals map[string]sched.State
	sent   time.Duration
	last   bool // it releases the right
}

// commit sends the next transaction unless one is on its way: the records that
// changed, or a renewal when the last one is old.
func (o *Owner) commit() {
	if o.flying {
		return
	}
	if len(o.dirty) == 0 && len(o.drops) == 0 && len(o.waiting) == 0 && len(o.waves.dirty) == 0 && len(o.waves.begins) == 0 &&
		o.age() < renewEvery && !o.ackable() {
		return
	}
	f := o.flight()
	o.flying, o.flownAt = true, o.lead.now()
	o.spawn(func() { o.fly(f) })
}

// ackable reports whether a worker listed ends that no transaction covers yet.
func (o *Owner) ackable() bool {
	for _, s := range o.sessions {
		if s.heard > s.acked && s.heard > s.offered {
			return true
		}
	}
	return false
}

func (o *Owner) flight() *flight {
	f := &flight{right: o.mine, finals: map[string]sched.State{}, acks: map[*session]int64{}}
	f.right.N++
	ids := make([]string, 0, len(o.dirty))
	for id := range o.dirty {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	o.putWaves(f)
	size := 0
	for _, id := range ids {
		j := o.engine.Job(id)
		if j == nil {
			delete(o.dirty, id)
			continue
		}
		value, err := json.Marshal(j.Record())
		if err != nil {
			o.lead.Log.Emit(event.RowCorrupt).Str("table", RecordTable).Str("key", id).Err(err).Send()
			delete(o.dirty, id)
			continue
		}
		if len(f.txn.Put) >= maxEntries-2 || size+len(value) > maxTxn {
			break
		}
		size += len(value)
		f.txn.Put = append(f.txn.Put, rows.Row{Table: RecordTable, Key: id, Value: value})
		if !j.Open() {
			f.finals[id] = j.Final
		}
		delete(o.dirty, id)
	}
	o.takeStarts(f)
	if len(o.dirty) == 0 {
		for _, s := range o.sessions {
			if s.heard > s.acked {
				f.acks[s], s.offered = s.heard, s.heard
			}
		}
		if n := min(len(o.drops), maxEntries-2-len(f.txn.Put)); n > 0 {
			f.txn.Drop, o.drops = o.drops[:n:n], o.drops[n:]
		}
	}
	return f
}

// takeStarts moves the starts whose records are in the flight, or durable
// already, from those that wait.
func (o *Owner) takeStarts(f *flight) {
	o.waiting = slices.DeleteFunc(o.waiting, func(s sched.Order) bool {
		if o.dirty[s.Task.Job] {
			return false
		}
		f.starts = append(f.starts, s)
		return true
	})
}

// fly sends the transaction until its outcome is known. It is sent again as it
// is: only one of the sendings can take effect, since each rewrites the row
// that all are conditional on.
func (o *Owner) fly(f *flight) {
	value, err := json.Marshal(f.right)
	if err != nil {
		o.cancel()
		return
	}
	f.txn.If = []rows.Row{{Table: RightTable, Key: rightKey, Version: o.version}}
	f.txn.Put = append(f.txn.Put, rows.Row{Table: RightTable, Key: rightKey, Value: value})
	limit := min(max(firstTry, tryFactor*o.tookLast), storeTimeout)
	began := o.lead.now()
	for pause := retryMin; o.ctx.Err() == nil; pause = min(2*pause, retryMax) {
		f.sent = o.lead.now()
		ctx, cancel := context.WithTimeout(o.ctx, limit)
		limit = min(2*limit, storeTimeout)
		version, present, err := o.lead.Rows.Commit(ctx, f.txn)
		cancel()
		if errors.Is(err, rows.ErrConflict) {
			version, err = o.own(f, present)
		}
		if err == nil {
			o.committedAt.Store(int64(f.sent))
			o.committed.Store(version)
			took := o.lead.now() - began
			o.post(func() {
				o.tookLast = took
				o.landed(f, version)
			})
			return
		}
		if errors.Is(err, errLost) {
			o.lead.Log.Emit(event.LeadLost).Int64("epoch", o.epoch).Str("reason", "another node has taken the ownership").Send()
			o.cancel()
			return
		}
		o.lead.Count.storeFailed()
		o.lead.Log.Emit(event.StoreFailed).Str("op", "commit").Int64("n", f.right.N).Int64("age_ms", o.age().Milliseconds()).Err(err).Send()
		clock.Sleep(o.ctx, pause)
	}
}

var errLost = errors.New("ownership lost")

// own tells after a conflict whether an earlier sending of the same transaction
// has taken effect; else another node has the right.
func (o *Owner) own(f *flight, present []rows.Row) (uint64, error) {
	for _, r := range present {
		if r.Table != RightTable || r.Key != rightKey {
			continue
		}
		var now right
		if err := json.Unmarshal(r.Value, &now); err == nil && now.same(f.right) && now.N == f.right.N {
			return r.Version, nil
		}
	}
	return 0, errLost
}

// landed does what had to wait for the transaction.
func (o *Owner) landed(f *flight, version uint64) {
	o.flying = false
	o.version = version
	o.mine = f.right
	for id, s := range f.finals {
		if o.shown[id] == "" {
			o.shown[id] = s
			if j := o.engine.Job(id); j != nil {
				o.lead.Count.ended(s, o.sinceAccepted(j))
			}
			o.lead.Log.Emit(event.WorkEnded).Str("job", id).Str("state", string(s)).Int64("epoch", o.epoch).Send()
		}
	}
	for s, n := range f.acks {
		s.acked = max(s.acked, n)
		s.holdNow()
	}
	for _, order := range f.starts {
		o.sendStart(order)
	}
	for _, s := range f.begins {
		o.begin(s)
	}
	if f.last {
		o.cancel()
	}
}

// release gives the right up, once what is on its way has landed, so that
// another node takes it at once.
func (o *Owner) release(ctx context.Context) {
	asked := o.ask(ctx, func() { o.quiet = true })
	for asked && ctx.Err() == nil && o.ctx.Err() == nil {
		released := false
		o.ask(ctx, func() {
			if o.flying || len(o.dirty) > 0 {
				return
			}
			f := o.flight()
			f.right.Released, f.last = true, true
			o.flying = true
			o.spawn(func() { o.fly(f) })
			released = true
		})
		if released {
			break
		}
		clock.Sleep(ctx, retryMin)
	}
	select {
	case <-o.ctx.Done():
	case <-ctx.Done():
	}
	o.lead.Log.Emit(event.LeadReleased).Int64("epoch", o.epoch).AnErr("error", ctx.Err()).Send()
}
