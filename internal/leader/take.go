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
// long while the store answered. p is the owner's answer to the last poll, the zero Pulse if there was none.
func (l *Candidate) takeIfFree(ctx context.Context, p Pulse) {
	asked := l.now()
	readCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	row, err := l.Rows.Get(readCtx, OwnershipTable, "", ownershipKey)
	cancel()
	if err != nil {
		l.lastRowValid, l.storeAway = false, true
		return
	}
	if l.storeAway {
		l.storeAway, l.storeBackAt = false, l.now()
	}
	var r ownership
	if row.Version != 0 {
		if err := json.Unmarshal(row.Value, &r); err != nil {
			l.Log.Emit(event.RowCorrupt).Str("table", OwnershipTable).Str("key", ownershipKey).Err(err).Send()
			return
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
	wait, ok := l.takeableIn(row, r, p, l.now()-asked > slowReadThreshold)
	if !ok || wait > 0 && (p.Owner || wait > silentOwnerTakeoverAge) {
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

// takeableIn returns in how long this node may take the row if it stays unchanged, and false if it may not. p is
// the owner's answer to the last poll, and slowStore means that the store was slow to answer this node. An owner that
// answers polls is given the same time after the store's return as after its last commit: while the store was away
// for all, it could not commit.
func (l *Candidate) takeableIn(row rows.Row, r ownership, p Pulse, slowStore bool) (time.Duration, bool) {
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
	limit := takeoverAge
	switch {
	case !p.Owner:
		limit = silentOwnerTakeoverAge
	case slowStore:
		limit = slowStoreTakeoverAge
	case p.Stuck:
		limit = stuckTakeoverAge
	}
	since := l.unchangedSince
	if p.Owner {
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
	next := ownership{Owner: l.Node, Addr: l.Addr, Epoch: prev.Epoch + 1, Nonce: l.nonce, N: 1}
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
	l.Log.Emit(event.LeadTaken).Int64("epoch", next.Epoch).Str("before", prev.Owner).Bool("released", prev.Released).
		Int64("unchanged_ms", (l.now() - l.unchangedSince).Milliseconds()).Send()
	l.setOwnerAddr(l.Addr)
	l.mu.Lock()
	l.owner = o
	l.mu.Unlock()
	o.start(prev.Owner != "" && !prev.Released)
}
