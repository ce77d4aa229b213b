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

// Right is the row that names a cell's owner; a takeover rewrites it, and every
// write of an owner is conditional on its version.
type Right struct {
	Owner string `json:"owner"`
	Addr  string `json:"addr"`
	Epoch uint64 `json:"epoch"`
}

// lease is the row that an owner rewrites to show that it lives.
type lease struct {
	Owner    string `json:"owner"`
	Epoch    uint64 `json:"epoch"`
	Released bool   `json:"released,omitempty"`
}

func leaseKey(cell string) string { return "lease/" + cell }

// Keeper watches one cell, takes it when it is free, and renews it.
type Keeper struct {
	Cell string
	Host *Host
	// Rank is this node's turn to take a free cell; 0 goes first, and a
	// negative rank never takes it.
	Rank func(cell string) int

	// right is the newest owner that was seen, for routing.
	right atomic.Pointer[Right]

	mu sync.Mutex
	// owner is guarded by mu and nil while another node owns the cell.
	owner *Owner

	// All below belongs to the goroutine of Run.
	rightRow, leaseRow table.Row
	seenLease          uint64    // version of the lease row when it last changed
	seenRight          uint64    // version of the right row when it last changed
	seenAt             time.Time // when that was first observed
	freeSince          time.Time
	draining           atomic.Bool // set by Drain
}

// takeDelay separates the attempts of nodes of different ranks.
const takeDelay = 200 * time.Millisecond

// Run keeps the cell until ctx ends; it does not release it.
func (k *Keeper) Run(ctx context.Context) {
	every := k.Host.Settings.CellRenew
	for {
		k.turn(ctx)
		pause := every - every/8 + rand.N(every/4)
		if !wait(ctx, pause) {
			return
		}
	}
}

func wait(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

func (k *Keeper) turn(ctx context.Context) {
	o := k.Owner()
	if o != nil && o.lost.Load() {
		k.drop("a worker obeys a newer owner")
		o = nil
	}
	if o != nil {
		k.renew(ctx, o)
		return
	}
	k.watch(ctx)
}

// Owner returns the running owner, or nil.
func (k *Keeper) Owner() *Owner {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.owner
}

// Seen returns the newest owner that was observed; the zero Right if none.
func (k *Keeper) Seen() Right {
	if r := k.right.Load(); r != nil {
		return *r
	}
	return Right{}
}

// opTimeout bounds one operation of the keeper, so that a silent table does
// not hold up the next try.
func (k *Keeper) opTimeout() time.Duration { return k.Host.Settings.CellLease * 2 / 3 }

func (k *Keeper) renew(ctx context.Context, o *Owner) {
	ctx, cancel := context.WithTimeout(ctx, k.opTimeout())
	defer cancel()
	sent := time.Now()
	put := table.Put{Old: k.leaseRow, Body: lease{Owner: k.Host.Node, Epoch: o.epoch}}
	version, err := k.Host.Table.Commit(ctx, table.Txn{
		Checks: []table.Check{{Key: ledger.FenceKey(k.Cell), Version: k.rightRow.Version}},
		Puts:   []table.Put{put},
	})
	switch {
	case err == nil && version != 0:
		k.leaseRow = put.After(version)
		o.extend(sent.Add(k.Host.Settings.CellLease))
	case err == nil, errors.Is(err, table.ErrConflict):
		k.resolve(ctx, o)
	default:
		o.noteHeld(err)
	}
}

// resolve finds out after a conflict whether another node took the cell or an
// own renewal, thought lost, had taken effect.
func (k *Keeper) resolve(ctx context.Context, o *Owner) {
	rows, err := k.Host.Table.Get(ctx, ledger.FenceKey(k.Cell), leaseKey(k.Cell))
	if err != nil {
		o.noteHeld(err)
		return
	}
	if rows[0].Version != k.rightRow.Version {
		k.observe(rows)
		k.drop("another node took the cell")
		return
	}
	k.leaseRow = rows[1]
}

// drop ends the owner; another node has the cell or will.
func (k *Keeper) drop(reason string) {
	k.mu.Lock()
	o := k.owner
	k.owner = nil
	k.mu.Unlock()
	if o == nil {
		return
	}
	o.stop()
	k.seenAt = time.Time{}
	k.Host.Log.Emit(event.CellLost).Str("cell", k.Cell).Uint64("epoch", o.epoch).Str("reason", reason).Send()
}

// watch reads who owns the cell and takes it when its lease has run out. The
// lease is counted from when its last change was first seen here, so that
// clocks of two nodes are never compared.
func (k *Keeper) watch(ctx context.Context) {
	opCtx, cancel := context.WithTimeout(ctx, k.opTimeout())
	defer cancel()
	rows, err := k.Host.Table.Get(opCtx, ledger.FenceKey(k.Cell), leaseKey(k.Cell))
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
	if rank < 0 || now.Sub(k.freeSince) < time.Duration(rank)*takeDelay {
		return
	}
	k.take(ctx, rows)
}

// observe notes changes of the rows and the time at which they were seen.
func (k *Keeper) observe(rows []table.Row) {
	if rows[0].Version != k.seenRight || rows[1].Version != k.seenLease || k.seenAt.IsZero() {
		k.seenRight, k.seenLease = rows[0].Version, rows[1].Version
		k.seenAt = time.Now()
	}
	var r Right
	if rows[0].Version != table.Absent && rows[0].Decode(&r) == nil {
		k.right.Store(&r)
	}
}

// free reports whether the cell may be taken. A right in this node's own name
// without an owner here is left over from a lost answer or an earlier process;
// the new epoch fences that one off, should it still exist.
func (k *Keeper) free(rows []table.Row) bool {
	if rows[0].Version == table.Absent || k.Seen().Owner == k.Host.Node {
		return true
	}
	var l lease
	if rows[1].Version != table.Absent && rows[1].Decode(&l) == nil && l.Released {
		return true
	}
	return time.Since(k.seenAt) > k.Host.Settings.CellLease
}

// take writes the next epoch, on condition that neither row has changed: a
// renewal that came first makes it fail.
func (k *Keeper) take(ctx context.Context, rows []table.Row) {
	var before Right
	if rows[0].Version != table.Absent && rows[0].Decode(&before) != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, k.opTimeout())
	defer cancel()
	right := Right{Owner: k.Host.Node, Addr: k.Host.Addr, Epoch: before.Epoch + 1}
	sent := time.Now()
	rightPut := table.Put{Old: rows[0], Body: right}
	leasePut := table.Put{Old: rows[1], Body: lease{Owner: k.Host.Node, Epoch: right.Epoch}}
	version, err := k.Host.Table.Commit(ctx, table.Txn{Puts: []table.Put{rightPut, leasePut}})
	if err != nil || version == 0 {
		return
	}
	k.rightRow, k.leaseRow = rightPut.After(version), leasePut.After(version)
	k.right.Store(&right)
	k.freeSince = time.Time{}
	o := newOwner(k.Host, k.Cell, right.Epoch, ledger.Fence{Cell: k.Cell, Version: version})
	o.extend(sent.Add(k.Host.Settings.CellLease))
	k.mu.Lock()
	k.owner = o
	k.mu.Unlock()
	k.Host.Log.Emit(event.CellTaken).Str("cell", k.Cell).Uint64("epoch", right.Epoch).
		Str("before", before.Owner).Str("reason", takeReason(rows, before)).Send()
	o.start()
}

func takeReason(rows []table.Row, before Right) string {
	var l lease
	switch {
	case rows[0].Version == table.Absent:
		return "the cell had no owner"
	case rows[1].Version != table.Absent && rows[1].Decode(&l) == nil && l.Released:
		return "owner " + before.Owner + " released it"
	}
	return "the lease of " + before.Owner + " ran out"
}

// Drain stops taking the cell; if it is owned, the owner settles what it is
// writing and the cell is released for others.
func (k *Keeper) Drain(ctx context.Context) {
	k.draining.Store(true)
	o := k.Owner()
	if o == nil {
		return
	}
	o.quiesce(ctx)
}

// Release gives up an owned cell after Run has ended.
func (k *Keeper) Release(ctx context.Context) {
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
			Checks: []table.Check{{Key: ledger.FenceKey(k.Cell), Version: k.rightRow.Version}},
			Puts:   []table.Put{{Old: rows[0], Body: lease{Owner: k.Host.Node, Epoch: o.epoch, Released: true}}},
		})
	}
	k.Host.Log.Emit(event.CellReleased).Str("cell", k.Cell).Uint64("epoch", o.epoch).AnErr("error", err).Send()
}
