package lead

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"time"

	"greengageline/internal/clock"
	"greengageline/internal/event"
	"greengageline/internal/rows"
)

// look reads the row and takes it if it is free: absent, released, or unchanged
// for too long while the store answered.
func (l *Lead) look(ctx context.Context, answers bool) {
	asked := l.now()
	readCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	row, err := l.Rows.Get(readCtx, RightTable, "", rightKey)
	cancel()
	if err != nil {
		l.seenNow = false
		return
	}
	var r right
	if row.Version != 0 {
		if err := json.Unmarshal(row.Value, &r); err != nil {
			l.Log.Emit(event.RowCorrupt).Str("table", RightTable).Str("key", rightKey).Err(err).Send()
			return
		}
	}
	if !l.seenNow || row.Version != l.seen.Version {
		l.seen, l.seenAt, l.seenNow = row, l.now(), true
		if row.Version != 0 && row.Version == l.told {
			l.seenAt = l.toldAt // the owner has told since when it stands
		}
		if r.Owner != "" && !r.Released {
			l.setAddr(r.Addr)
		}
	}
	if !l.free(row, r, answers && l.now()-asked > promptRead) {
		return
	}
	delay := l.takeDelay()
	clock.Sleep(ctx, delay)
	if delay > lookAgain {
		readCtx, cancel := context.WithTimeout(ctx, storeTimeout)
		now, err := l.Rows.Get(readCtx, RightTable, "", rightKey)
		cancel()
		if err != nil || now.Version != row.Version {
			return // another node was first
		}
	}
	l.take(ctx, row, r)
}

// free reports whether this node may take the row; slow tells that the owner
// answers and the store is slow.
func (l *Lead) free(row rows.Row, r right, slow bool) bool {
	if l.resigning.Load() || l.yielded != 0 && r.Released && l.now()-l.yielded < settleTime {
		return false
	}
	own := r.Owner == l.Node && r.Addr == l.Addr && r.Nonce != l.nonce
	limit := deadAfter
	if slow {
		limit = takeAfter
	}
	return row.Version == 0 || r.Released || own || l.now()-l.seenAt >= limit
}

// takeDelay is how long the node waits before it takes a free row: the larger
// ones go first, and a node that knows of a much larger one gives it the time to
// look, too.
func (l *Lead) takeDelay() time.Duration {
	jitter := takeJitter * time.Duration(max(1, l.Size()/takersAtOnce))
	d := rand.N(jitter) + time.Duration(float64(takeStep)/max(l.Cores, minCores))
	if l.others >= muchLarger*l.Cores && l.now()-l.othersAt < othersFor {
		d += watchEvery
	}
	return d
}

// take rewrites the row with the next epoch, on condition that it has not
// changed since it was read.
func (l *Lead) take(ctx context.Context, row rows.Row, before right) {
	mine := right{Owner: l.Node, Addr: l.Addr, Epoch: before.Epoch + 1, Nonce: l.nonce, N: 1}
	value, err := json.Marshal(mine)
	if err != nil {
		return
	}
	sent := l.now()
	ctx2, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	version, _, err := l.Rows.Commit(ctx2, rows.Txn{
		If:  []rows.Row{{Table: RightTable, Key: rightKey, Version: row.Version}},
		Put: []rows.Row{{Table: RightTable, Key: rightKey, Value: value}},
	})
	if err != nil {
		// A write without an answer may still have taken effect: the next look
		// then finds the row unchanged and takes it over again.
		if !errors.Is(err, rows.ErrConflict) {
			l.Log.Emit(event.StoreFailed).Str("op", "take").Err(err).Send()
		}
		return
	}
	o := newOwner(l, mine, version, sent)
	l.Log.Emit(event.LeadTaken).Int64("epoch", mine.Epoch).Str("before", before.Owner).Bool("released", before.Released).
		Int64("unchanged_ms", (l.now() - l.seenAt).Milliseconds()).Send()
	l.setAddr(l.Addr)
	l.mu.Lock()
	l.owner = o
	l.mu.Unlock()
	o.start(before.Owner != "" && !before.Released)
}
