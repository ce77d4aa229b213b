package leader

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

// takeIfFree reads the ownership row and takes it if it is free: absent, released, or unchanged for too
// long while the store answered. p is the owner's answer to the last poll; silent says that it was polled and did
// not answer.
func (l *Candidate) takeIfFree(ctx context.Context, p Pulse, silent bool) {
	asked := l.now()
	row, r, ok := l.readOwnership(ctx)
	if !ok {
		return
	}
	wait, ok := l.takeableIn(row, r, takeoverLimit(p, silent, l.now()-asked > slowReadThreshold), p.Owner)
	if !ok || wait > 0 && !silent {
		return
	}
	// All nodes that know that the owner is silent go on at the moment at which its row may be taken. If each
	// polled it again first, a small node could come before a large one.
	delay := wait + l.takeDelay()
	clock.Sleep(ctx, delay)
	if delay > rereadDelay {
		readCtx, cancel := context.WithTimeout(ctx, storeTimeout)
		again, err := l.Rows.Get(readCtx, OwnershipTable, "", ownershipKey)
		cancel()
		if err != nil || again.Version != row.Version {
			return // another node took the row first, or the owner lives
		}
	}
	if l.resigned.Load() {
		return
	}
	l.take(ctx, row, r)
}

// readOwnership reads the ownership row and records since when it has been unchanged; ok is false if it can't be
// read.
func (l *Candidate) readOwnership(ctx context.Context) (row rows.Row, r ownership, ok bool) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	row, err := l.Rows.Get(ctx, OwnershipTable, "", ownershipKey)
	if err != nil {
		l.lastRowValid, l.storeAway = false, true
		return row, r, false
	}
	if l.storeAway {
		l.storeAway, l.storeBackAt = false, l.now()
	}
	if row.Version != 0 {
		if err := json.Unmarshal(row.Value, &r); err != nil {
			l.Log.Emit(event.RowCorrupt).Str("table", OwnershipTable).Str("key", ownershipKey).Err(err).Send()
			return row, r, false
		}
	}
	if !l.lastRowValid || row.Version != l.lastRow.Version {
		l.lastRow, l.unchangedSince, l.lastRowValid = row, l.now(), true
		if row.Version != 0 && row.Version == l.polledVersion {
			l.unchangedSince = l.polledVersionAt // the owner reported when it wrote this version
		}
		if r.Owner != "" && !r.Released {
			l.setOwnerAddr(r.Addr)
		}
	}
	return row, r, true
}

// takeoverLimit returns how long the row must be unchanged before this node may take it. p and silent are the
// outcome of the last poll of the owner, and slowStore means that the store was slow to answer this node.
func takeoverLimit(p Pulse, silent, slowStore bool) time.Duration {
	switch {
	case silent:
		return silentOwnerTakeoverAge
	case p.Owner && slowStore:
		return slowStoreTakeoverAge
	case p.Owner && p.Stuck:
		return stuckTakeoverAge
	}
	return takeoverAge
}

// takeableIn returns in how long this node may take the row if it stays unchanged, and false if it may not. An owner
// that answers polls is given the limit after the store's return as after its last commit: while the store was away
// for all, it could not commit.
func (l *Candidate) takeableIn(row rows.Row, r ownership, limit time.Duration, ownerAnswers bool) (time.Duration, bool) {
	now := l.now()
	if l.resigned.Load() || l.handedOverAt != 0 && r.Released && now-l.handedOverAt < settleTime {
		return 0, false
	}
	// After this node could not read the stored state, another one is given the time to try.
	if at := time.Duration(l.gaveUpAt.Load()); at != 0 && now-at < settleTime {
		return 0, false
	}
	earlierIncarnation := r.Owner == l.Node && r.Addr == l.Addr && r.Nonce != l.nonce
	if row.Version == 0 || r.Released || earlierIncarnation {
		return 0, true
	}
	since := l.unchangedSince
	if ownerAnswers {
		since = max(since, l.storeBackAt)
	}
	return max(0, since+limit-now), true
}

// takeDelay returns how long the node waits before it takes a free row. Larger nodes go first; a node that
// knows of a much larger one also leaves that one the time of a poll to detect the free row.
func (l *Candidate) takeDelay() time.Duration {
	jitter := takeJitter * time.Duration(max(1, l.NodeCount()/nodesPerJitter))
	d := rand.N(jitter) + time.Duration(float64(takeDelayOneCore)/max(l.Cores, minCores))
	if l.peerCores >= handOverRatio*l.Cores && l.now()-l.peerCoresAt < peerCoresTTL {
		d += pollInterval
	}
	return d
}

// take rewrites the row with the next epoch, on condition that it is unchanged since it was read, and
// starts the owner.
func (l *Candidate) take(ctx context.Context, row rows.Row, prev ownership) {
	lease := prev.lease(l.Bounds.MaxLease)
	next := ownership{Owner: l.Node, Addr: l.Addr, Epoch: prev.Epoch + 1, Nonce: l.nonce, N: 1, LeaseMs: lease.Milliseconds()}
	value, err := json.Marshal(next)
	if err != nil {
		return
	}
	sent := l.now()
	ctx2, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	lead := rows.Row{Table: OwnershipTable, Key: ownershipKey, Version: row.Version}
	version, _, err := l.Rows.CommitKnown(ctx2, rows.Txn{
		Conditions: []rows.Row{lead},
		Put:        []rows.Row{{Table: OwnershipTable, Key: ownershipKey, Value: value}},
	}, rows.Probe{Row: lead, Applied: next.isStored, After: minProbeDelay, Resend: resendDelay, Timeout: storeTimeout})
	if err != nil {
		// A write whose outcome is unknown may still take effect. The next read then finds a row of this
		// node that no owner renews, and takes it over again.
		if !errors.Is(err, rows.ErrConflict) {
			l.Log.Emit(event.StoreFailed).Str("op", "take").Err(err).Send()
		}
		return
	}
	o := newOwner(l, next, version, sent)
	o.earlierOrdersUntil, o.earlierLease = l.now()+prev.ordersLeft(), lease
	l.Log.Emit(event.LeadTaken).Int64("epoch", next.Epoch).Str("before", prev.Owner).Bool("released", prev.Released).
		Int64("unchanged_ms", (l.now()-l.unchangedSince).Milliseconds()).Int64("orders_ms", prev.ordersLeft().Milliseconds()).Send()
	l.setOwnerAddr(l.Addr)
	l.mu.Lock()
	l.owner = o
	l.mu.Unlock()
	o.start()
}
