package cell

import (
	"context"
	"fmt"
	"maps"
	"time"

	"greengageline/internal/config"
	"greengageline/internal/ledger"
	"greengageline/internal/table"
)

// usageEvery is how often usage is made durable; a new owner charges from the
// last durable moment on, so that a takeover leaves no gap.
const usageEvery = 10 * time.Second

// Usage is what one generation's cost agreement is charged in one cell, in
// accelerator-ms.
type Usage struct {
	Generation uint64 `json:"generation"`
	FromMs     int64  `json:"from_ms"`
	ToMs       int64  `json:"to_ms"`
	// Pool is the time of all accelerators of all listed VMs, used or not.
	Pool int64 `json:"pool"`
	// Partners splits Pool by the agreement in force.
	Partners map[string]float64 `json:"partners"`
	// Workspaces is the time that each workspace's jobs held accelerators.
	Workspaces map[string]int64 `json:"workspaces"`
}

// WithSpan returns the usage with ms more of the pool at its present state.
func (u Usage) WithSpan(ms int64, size int, held map[string]int, plan config.Plan) Usage {
	u.ToMs += ms
	u.Pool += ms * int64(size)
	u.Partners, u.Workspaces = maps.Clone(u.Partners), maps.Clone(u.Workspaces)
	if u.Partners == nil {
		u.Partners = map[string]float64{}
	}
	if u.Workspaces == nil {
		u.Workspaces = map[string]int64{}
	}
	for name, p := range plan.Partners {
		u.Partners[name] += p.Share * float64(ms) * float64(size)
	}
	for ws, n := range held {
		u.Workspaces[ws] += ms * int64(n)
	}
	return u
}

// WithSum returns the usage with a later span of the same generation added.
func (u Usage) WithSum(next Usage) Usage {
	u.ToMs = next.ToMs
	u.Pool += next.Pool
	partners, workspaces := map[string]float64{}, map[string]int64{}
	for _, x := range []Usage{u, next} {
		for p, v := range x.Partners {
			partners[p] += v
		}
		for ws, v := range x.Workspaces {
			workspaces[ws] += v
		}
	}
	u.Partners, u.Workspaces = partners, workspaces
	return u
}

// UsageKey is the row of a cell's usage under a generation.
func UsageKey(cell string, generation uint64) string {
	return fmt.Sprintf("usage/%s/%020d", cell, generation)
}

// usageMark remembers until when a cell's usage is durable.
type usageMark struct {
	AtMs int64 `json:"at_ms"`
}

// account charges time under the agreement that was in force during it; only
// the loop touches it.
type account struct {
	now    Usage
	plan   config.Plan // the agreement of now
	nextAt time.Time
	// pending are closed spans that are not durable yet, oldest first.
	pending []Usage
	writing bool
}

// maxPending bounds the closed spans; while the table is out for longer, the
// open one grows instead.
const maxPending = 64

// charge adds the time since the last call to the open span, and closes it
// when the agreement changes or it is due.
func (o *Owner) charge() {
	a := &o.account
	if a.now.ToMs == 0 {
		return
	}
	if span := nowMs() - a.now.ToMs; span > 0 {
		a.now = a.now.WithSpan(span, o.size(), o.heldBy(), a.plan)
	}
	plan, _ := o.host.Plan()
	changed := plan.Generation != a.now.Generation
	due := time.Now().After(a.nextAt) && len(a.pending) < maxPending
	if changed || due {
		a.pending = append(a.pending, a.now)
		a.open(plan, a.now.ToMs)
	}
	o.writeUsage()
}

func (a *account) open(plan config.Plan, atMs int64) {
	a.plan = plan
	a.now = Usage{Generation: plan.Generation, FromMs: atMs, ToMs: atMs}
	a.nextAt = time.Now().Add(usageEvery)
}

func (o *Owner) size() int {
	n := 0
	for _, w := range o.workers {
		if w.listed {
			n += w.vm.Accelerators
		}
	}
	return n
}

func (o *Owner) heldBy() map[string]int {
	held := map[string]int{}
	for _, l := range o.jobs {
		if l.phase == phaseRunning || l.phase == phaseStopping {
			held[l.job().Spec.Workspace] += l.job().Spec.Shape.Accelerators()
		}
	}
	return held
}

// usageKept says that the oldest closed span is durable, or why it is not.
type usageKept struct{ err error }

func (m usageKept) apply(o *Owner) {
	o.account.writing = false
	if m.err == nil {
		o.account.pending = o.account.pending[1:]
	}
}

func (o *Owner) writeUsage() {
	a := &o.account
	if a.writing || len(a.pending) == 0 || !o.valid() {
		return
	}
	a.writing = true
	delta := a.pending[0]
	o.spawn(func() {
		ctx, cancel := context.WithTimeout(o.ctx, usageEvery)
		defer cancel()
		o.post(usageKept{o.addUsage(ctx, delta)})
	})
}

// addUsage adds a closed span to its generation's row and moves the mark, if
// this node still owns the cell. A mark past the span shows that an earlier try
// took effect.
func (o *Owner) addUsage(ctx context.Context, delta Usage) error {
	markKey := "usage-mark/" + o.cell
	rows, err := o.host.Table.Get(ctx, UsageKey(o.cell, delta.Generation), markKey)
	if err != nil {
		return err
	}
	var mark usageMark
	if rows[1].Version != table.Absent {
		if err := rows[1].Decode(&mark); err != nil {
			return err
		}
	}
	if mark.AtMs >= delta.ToMs {
		return nil
	}
	sum := Usage{Generation: delta.Generation, FromMs: delta.FromMs}
	if rows[0].Version != table.Absent {
		if err := rows[0].Decode(&sum); err != nil {
			return err
		}
	}
	sum = sum.WithSum(delta)
	_, err = o.host.Table.Commit(ctx, table.Txn{
		Checks: []table.Check{{Key: ledger.FenceKey(o.cell), Version: o.fence.Version}},
		Puts: []table.Put{
			{Old: rows[0], Body: sum},
			{Old: rows[1], Body: usageMark{AtMs: delta.ToMs}},
		},
	})
	return err
}

// openAccount starts charging from where the last owner's usage is durable.
func (o *Owner) openAccount() {
	plan, _ := o.host.Plan()
	at := nowMs()
	rows, err := o.host.Table.Get(o.ctx, "usage-mark/"+o.cell)
	var mark usageMark
	if err == nil && rows[0].Version != table.Absent && rows[0].Decode(&mark) == nil && mark.AtMs < at {
		at = mark.AtMs
	}
	o.account.open(plan, at)
}

// ReadUsage returns a cell's usage, one entry for each generation, oldest first.
func ReadUsage(ctx context.Context, t *table.Table, cell string) ([]Usage, error) {
	const limit = 1000
	rows, _, err := t.Range(ctx, "usage/"+cell+"/", "", limit)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotReady, err)
	}
	var all []Usage
	for _, r := range rows {
		var u Usage
		if err := r.Decode(&u); err != nil {
			return nil, fmt.Errorf("%w: %w", ErrNotReady, err)
		}
		all = append(all, u)
	}
	return all, nil
}
