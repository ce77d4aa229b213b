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

// usageWriteInterval is how often usage is made durable. A new owner charges from the
// time up to which usage is durable, so that a takeover leaves no gap.
const usageWriteInterval = 10 * time.Second

// Usage is the accelerator time, in accelerator-ms, that is charged in one cell under
// the cost agreement of one configuration generation.
type Usage struct {
	Generation uint64 `json:"generation"`
	FromMs     int64  `json:"from_ms"`
	ToMs       int64  `json:"to_ms"`
	// Pool is the time of all accelerators of all listed VMs, whether used or not.
	Pool int64 `json:"pool"`
	// Partners is each partner's part of Pool by the agreement in force.
	Partners map[string]float64 `json:"partners"`
	// Workspaces is the time for which each workspace's jobs held accelerators.
	Workspaces map[string]int64 `json:"workspaces"`
}

// WithSpan returns the usage extended by ms, during which the pool had poolSize
// accelerators and each workspace held the number in held.
func (u Usage) WithSpan(ms int64, poolSize int, held map[string]int, plan config.Plan) Usage {
	u.ToMs += ms
	u.Pool += ms * int64(poolSize)
	u.Partners, u.Workspaces = maps.Clone(u.Partners), maps.Clone(u.Workspaces)
	if u.Partners == nil {
		u.Partners = map[string]float64{}
	}
	if u.Workspaces == nil {
		u.Workspaces = map[string]int64{}
	}
	for name, p := range plan.Partners {
		u.Partners[name] += p.Share * float64(ms) * float64(poolSize)
	}
	for ws, n := range held {
		u.Workspaces[ws] += ms * int64(n)
	}
	return u
}

// WithSum returns the usage with next, a later span of the same generation, added.
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

// UsageKey returns the key of the row of a cell's usage under a generation.
func UsageKey(cell string, generation uint64) string {
	return fmt.Sprintf("usage/%s/%020d", cell, generation)
}

// usageMark is the row that holds the time up to which a cell's usage is durable.
type usageMark struct {
	AtMs int64 `json:"at_ms"`
}

// usageAccount charges time under the agreement that was in force during that time.
// Only the owner's loop touches it.
type usageAccount struct {
	current Usage
	plan    config.Plan // the agreement of current
	closeAt time.Time
	// pending holds the closed spans that are not durable yet, oldest first.
	pending []Usage
	writing bool
}

// maxPending bounds the closed spans that are not durable. When it is reached while
// the table is unavailable, the open span grows instead.
const maxPending = 64

// chargeUsage adds the time since the last call to the open span, and closes the span
// when the agreement changes or the span is due.
func (o *Owner) chargeUsage() {
	a := &o.usage
	if a.current.ToMs == 0 {
		return
	}
	if span := nowMs() - a.current.ToMs; span > 0 {
		a.current = a.current.WithSpan(span, o.poolSize(), o.acceleratorsByWorkspace(), a.plan)
	}
	plan, _ := o.host.Plan()
	changed := plan.Generation != a.current.Generation
	due := time.Now().After(a.closeAt) && len(a.pending) < maxPending
	if changed || due {
		a.pending = append(a.pending, a.current)
		a.openSpan(plan, a.current.ToMs)
	}
	o.writeUsage()
}

func (a *usageAccount) openSpan(plan config.Plan, atMs int64) {
	a.plan = plan
	a.current = Usage{Generation: plan.Generation, FromMs: atMs, ToMs: atMs}
	a.closeAt = time.Now().Add(usageWriteInterval)
}

func (o *Owner) poolSize() int {
	n := 0
	for _, w := range o.workers {
		if w.listed {
			n += w.vm.Accelerators
		}
	}
	return n
}

func (o *Owner) acceleratorsByWorkspace() map[string]int {
	held := map[string]int{}
	for _, j := range o.jobs {
		if j.phase == phaseRunning || j.phase == phaseStopping {
			held[j.job().Spec.Workspace] += j.job().Spec.Shape.Accelerators()
		}
	}
	return held
}

// usageWritten reports that the oldest closed span is durable, or why it is not.
type usageWritten struct{ err error }

func (m usageWritten) apply(o *Owner) {
	o.usage.writing = false
	if m.err == nil {
		o.usage.pending = o.usage.pending[1:]
	}
}

func (o *Owner) writeUsage() {
	a := &o.usage
	if a.writing || len(a.pending) == 0 || !o.leaseValid() {
		return
	}
	a.writing = true
	delta := a.pending[0]
	o.spawn(func() {
		ctx, cancel := context.WithTimeout(o.ctx, usageWriteInterval)
		defer cancel()
		o.post(usageWritten{o.addUsage(ctx, delta)})
	})
}

// addUsage adds a closed span to its generation's row and advances the mark, if this
// node still owns the cell. A mark at or past the end of the span shows that an earlier
// write of it took effect.
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
		Checks: []table.Check{{Key: ledger.OwnershipKey(o.cell), Version: o.fence.Version}},
		Puts: []table.Put{
			{Old: rows[0], Body: sum},
			{Old: rows[1], Body: usageMark{AtMs: delta.ToMs}},
		},
	})
	return err
}

// openUsageAccount starts charging from the time up to which the previous owner's
// usage is durable.
func (o *Owner) openUsageAccount() {
	plan, _ := o.host.Plan()
	at := nowMs()
	rows, err := o.host.Table.Get(o.ctx, "usage-mark/"+o.cell)
	var mark usageMark
	if err == nil && rows[0].Version != table.Absent && rows[0].Decode(&mark) == nil && mark.AtMs < at {
		at = mark.AtMs
	}
	o.usage.openSpan(plan, at)
}

// ReadUsage returns a cell's usage, one entry for each generation, oldest first. Its
// errors wrap ErrNotReady.
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
