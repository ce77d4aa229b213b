package cell

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"greengageline/internal/event"
	"greengageline/internal/ledger"
	"greengageline/internal/table"
)

// Ownership is the row that names a cell's owner. A takeover rewrites it, and every
// write by the owner is conditional on the row's version.
type Ownership struct {
	Owner string `json:"owner"`
	Addr  string `json:"addr"`
	Epoch uint64 `json:"epoch"`
}

// lease is the row that an owner rewrites to renew its lease on the cell.
type lease struct {
	Owner    string `json:"owner"`
	Epoch    uint64 `json:"epoch"`
	Released bool   `json:"released,omitempty"`
}

func leaseKey(cell string) string { return "lease/" + cell }

// LeaseManager watches one cell, takes it over when it is free, and renews its lease. Run
// drives it; Owner, LastOwnership and Drain may be called from any goroutine.
type LeaseManager struct {
	Cell string
	Host *Host
	// Rank returns this node's place in the order in which nodes try to take a
	// free cell: 0 tries first, and a node of negative rank never takes it.
	Rank func(cell string) int

	// ownership is the newest ownership row that was read, for routing.
	ownership atomic.Pointer[Ownership]

	mu sync.Mutex
	// owner is guarded by mu and nil while another node owns the cell.
	owner *Owner

	// The fields below, except draining, belong to the goroutine of Run.
	ownershipRow, leaseRow table.Row
	seenLeaseVersion       uint64    // version of the lease row as last read
	seenOwnershipVersion   uint64    // version of the ownership row as last read
	changeSeenAt           time.Time // when these two versions were first read
	freeSince              time.Time
	draining               atomic.Bool // set by Drain
}

// rankDelay is the delay between the takeover attempts of successive ranks.
const rankDelay = 200 * time.Millisecond

// Run watches, takes over and renews the cell until ctx ends. It does not release the
// cell on return.
func (k *LeaseManager) Run(ctx context.Context) {
	interval := k.Host.Settings.CellRenew
	for {
		k.runOnce(ctx)
		pause := interval - interval/8 + rand.N(interval/4)
		if !sleep(ctx, pause) {
			return
		}
	}
}

func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

func (k *LeaseManager) runOnce(ctx context.Context) {
	o := k.Owner()
	if o != nil && o.fenced.Load() {
		k.endOwnership("a worker or the table rejected this owner's epoch")
		o = nil
	}
	if o != nil {
		k.renew(ctx, o)
		return
	}
	k.watch(ctx)
}

// Owner returns the running owner, or nil if this node does not own the cell.
func (k *LeaseManager) Owner() *Owner {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.owner
}

// LastOwnership returns the newest ownership row that was read, or the zero Ownership if none was.
func (k *LeaseManager) LastOwnership() Ownership {
	if r := k.ownership.Load(); r != nil {
		return *r
	}
	return Ownership{}
}

// opTimeout is the time limit of one table operation of the lease manager. It is shorter than
// the lease, so that a table that does not answer does not delay the next attempt.
func (k *LeaseManager) opTimeout() time.Duration { return k.Host.Settings.CellLease * 2 / 3 }

func (k *LeaseManager) renew(ctx context.Context, o *Owner) {
	ctx, cancel := context.WithTimeout(ctx, k.opTimeout())
	defer cancel()
	sent := time.Now()
	put := table.Put{Old: k.leaseRow, Body: lease{Owner: k.Host.Node, Epoch: o.epoch}}
	version, err := k.Host.Table.Commit(ctx, table.Txn{
		Checks: []table.Check{{Key: ledger.OwnershipKey(k.Cell), Version: k.ownershipRow.Version}},
		Puts:   []table.Put{put},
	})
	switch {
	case err == nil && version != 0:
		k.leaseRow = put.After(version)
		o.extendLease(sent.Add(k.Host.Settings.CellLease))
	case err == nil, errors.Is(err, table.ErrConflict):
		k.resolveConflict(ctx, o)
	default:
		o.suspendIfExpired(err)
	}
}

// resolveConflict finds out after a conflict whether another node took the cell over
// or an earlier renewal of this node, whose answer was lost, took effect.
func (k *LeaseManager) resolveConflict(ctx context.Context, o *Owner) {
	rows, err := k.Host.Table.Get(ctx, ledger.OwnershipKey(k.Cell), leaseKey(k.Cell))
	if err != nil {
		o.suspendIfExpired(err)
		return
	}
	if rows[0].Version != k.ownershipRow.Version {
		k.observe(rows)
		k.endOwnership("another node took the cell")
		return
	}
	k.leaseRow = rows[1]
}

// endOwnership stops the owner because another node has taken the cell over or will.
func (k *LeaseManager) endOwnership(reason string) {
	k.mu.Lock()
	o := k.owner
	k.owner = nil
	k.mu.Unlock()
	if o == nil {
		return
	}
	o.stop()
	k.changeSeenAt = time.Time{}
	k.Host.Log.Emit(event.CellLost).Str("cell", k.Cell).Uint64("epoch", o.epoch).Str("reason", reason).Send()
}

// watch reads who owns the cell and takes it over once the owner's lease has expired.
// The lease is measured from when this node first read its last change, so that the
// clocks of two nodes are never compared.
func (k *LeaseManager) watch(ctx context.Context) {
	opCtx, cancel := context.WithTimeout(ctx, k.opTimeout())
	defer cancel()
	rows, err := k.Host.Table.Get(opCtx, ledger.OwnershipKey(k.Cell), leaseKey(k.Cell))
	if err != nil {
		return
	}
	k.observe(rows)
	if k.draining.Load() || !k.free(rows) {
		k.freeSince = time.Time{}
		return
	}
	now := time.Now()
	if k.freeSince.IsZero() {
		k.freeSince = now
	}
	rank := k.Rank(k.Cell)
	if rank < 0 || now.Sub(k.freeSince) < time.Duration(rank)*rankDelay {
		return
	}
	k.takeOver(ctx, rows)
}

// observe records changed rows and the time at which the change was first read.
func (k *LeaseManager) observe(rows []table.Row) {
	if rows[0].Version != k.seenOwnershipVersion || rows[1].Version != k.seenLeaseVersion || k.changeSeenAt.IsZero() {
		k.seenOwnershipVersion, k.seenLeaseVersion = rows[0].Version, rows[1].Version
		k.changeSeenAt = time.Now()
	}
	var r Ownership
	if rows[0].Version != table.Absent && rows[0].Decode(&r) == nil {
		k.ownership.Store(&r)
	}
}

// free reports whether the cell may be taken over. An ownership row that names this
// node while no owner runs here was written by a takeover whose answer was lost or by
// an earlier process; the new epoch fences that owner if it still runs.
func (k *LeaseManager) free(rows []table.Row) bool {
	if rows[0].Version == table.Absent || k.LastOwnership().Owner == k.Host.Node {
		return true
	}
	var l lease
	if rows[1].Version != table.Absent && rows[1].Decode(&l) == nil && l.Released {
		return true
	}
	return time.Since(k.changeSeenAt) > k.Host.Settings.CellLease
}

// takeOver writes the next epoch on condition that neither row has changed, so it fails
// if the present owner renewed first. On success it starts an Owner.
func (k *LeaseManager) takeOver(ctx context.Context, rows []table.Row) {
	var before Ownership
	if rows[0].Version != table.Absent && rows[0].Decode(&before) != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, k.opTimeout())
	defer cancel()
	ownership := Ownership{Owner: k.Host.Node, Addr: k.Host.Addr, Epoch: before.Epoch + 1}
	sent := time.Now()
	ownershipPut := table.Put{Old: rows[0], Body: ownership}
	leasePut := table.Put{Old: rows[1], Body: lease{Owner: k.Host.Node, Epoch: ownership.Epoch}}
	version, err := k.Host.Table.Commit(ctx, table.Txn{Puts: []table.Put{ownershipPut, leasePut}})
	if err != nil || version == 0 {
		return
	}
	k.ownershipRow, k.leaseRow = ownershipPut.After(version), leasePut.After(version)
	k.ownership.Store(&ownership)
	k.freeSince = time.Time{}
	o := newOwner(k.Host, k.Cell, ownership.Epoch, ledger.Fence{Cell: k.Cell, Version: version})
	o.extendLease(sent.Add(k.Host.Settings.CellLease))
	k.mu.Lock()
	k.owner = o
	k.mu.Unlock()
	k.Host.Log.Emit(event.CellTaken).Str("cell", k.Cell).Uint64("epoch", ownership.Epoch).
		Str("before", before.Owner).Str("reason", takeoverReason(rows, before)).Send()
	o.start()
}

func takeoverReason(rows []table.Row, before Ownership) string {
	var l lease
	switch {
	case rows[0].Version == table.Absent:
		return "the cell had no owner"
	case rows[1].Version != table.Absent && rows[1].Decode(&l) == nil && l.Released:
		return "owner " + before.Owner + " released it"
	}
	return "the lease of owner " + before.Owner + " expired"
}

// Drain stops this node from taking the cell over. If it owns the cell, Drain waits
// until the owner's starts and end-of-job writes in progress are complete or ctx ends.
// It does not release the cell; Release does.
func (k *LeaseManager) Drain(ctx context.Context) {
	k.draining.Store(true)
	o := k.Owner()
	if o == nil {
		return
	}
	o.drain(ctx)
}

// Release stops the owner and marks the lease as released, so that another node may
// take the cell over at once; call it after Run has returned.
func (k *LeaseManager) Release(ctx context.Context) {
	o := k.Owner()
	if o == nil {
		return
	}
	o.stop()
	ctx, cancel := context.WithTimeout(ctx, k.opTimeout())
	defer cancel()
	rows, err := k.Host.Table.Get(ctx, leaseKey(k.Cell))
	if err == nil {
		_, err = k.Host.Table.Commit(ctx, table.Txn{
			Checks: []table.Check{{Key: ledger.OwnershipKey(k.Cell), Version: k.ownershipRow.Version}},
			Puts:   []table.Put{{Old: rows[0], Body: lease{Owner: k.Host.Node, Epoch: o.epoch, Released: true}}},
		})
	}
	k.Host.Log.Emit(event.CellReleased).Str("cell", k.Cell).Uint64("epoch", o.epoch).AnErr("error", err).Send()
}
