package leader

import (
	"context"
	"maps"
	"slices"
	"strconv"
	"time"

	"greengageline/internal/clock"
	"greengageline/internal/event"
	"greengageline/internal/rows"
	"greengageline/internal/sched"
)

// SpeedTable has a row for each shard of what is known of the workers' speeds, in a single part.
const SpeedTable = "speed"

const (
	// speedInterval is the least time between two collections of the rows that have changed.
	speedInterval = 5 * time.Second
	// speedMaxWait is how long such a row waits for a transaction without starts before it goes with one.
	speedMaxWait = 5 * time.Second
	// speedMaxEntries is the number of rows of a transaction up to which one with speeds may be added. A shard takes up
	// to 18 KB.
	speedMaxEntries = 50
	// speedReads is how often the rows are read at most before nothing is taken as known.
	speedReads = 5
)

// speedState is what the owner keeps about the stored speeds.
type speedState struct {
	read      bool // the rows have been read, or their reading was given up
	pending   []rows.Row
	pendingAt time.Duration // when the pending rows were collected
	collectAt time.Duration // when rows are collected again
}

// reportSpeeds logs the changes of the workers' speed classes.
func (o *Owner) reportSpeeds() {
	for _, c := range o.engine.Speeds.TakeChanges() {
		e := c.Estimate
		o.lead.Log.Emit(event.WorkerSpeed).Str("worker", c.Worker).Str("class", c.To.String()).Str("before", c.From.String()).
			Str("factor", factorText(e.Factor)).Str("low", factorText(e.Low)).Str("high", factorText(e.High)).Int("samples", e.Samples).
			Int64("epoch", o.epoch).Send()
	}
}

// logPlaced logs a start that was decided, with the factor of its worker if that differs from the others.
func (o *Owner) logPlaced(order sched.Order) {
	line := o.lead.Log.Emit(event.TaskPlaced).Str("task", order.Task.String()).Int64("run", order.Run).
		Str("worker", order.Worker).Str("queue", order.Queue).Str("reason", order.Reason).
		Int64("epoch", o.epoch).Uint64("plan", o.planVersion)
	if f := o.engine.Speeds.Factor(order.Worker).Factor; f != 1 {
		line = line.Str("speed", factorText(f))
	}
	line.Send()
}

// factorText returns the text of a factor for the log.
func factorText(f float64) string { return strconv.FormatFloat(f, 'f', 2, 64) }

// readSpeeds reads the stored speeds and applies them in the loop. Neither the rebuild nor the first pass waits for it:
// without them all workers count as alike.
func (o *Owner) readSpeeds() {
	var page rows.Page
	for try := range speedReads {
		ctx, cancel := context.WithTimeout(o.ctx, storeTimeout)
		p, err := o.lead.Rows.ReadParts(ctx, SpeedTable, []string{""})
		cancel()
		if err == nil {
			page = p
			break
		}
		if o.ctx.Err() != nil {
			return
		}
		o.lead.Log.Emit(event.StoreFailed).Str("op", "read "+SpeedTable).Err(err).Send()
		clock.Sleep(o.ctx, min(retryPauseMin<<try, retryPauseMax))
	}
	o.post(func() { o.restoreSpeeds(page.Rows) })
}

// restoreSpeeds applies the stored speeds. A malformed row is left out: nothing is known of its workers then.
func (o *Owner) restoreSpeeds(stored []rows.Row) {
	for _, r := range stored {
		shard, err := strconv.Atoi(r.Key)
		if err == nil {
			err = o.engine.Speeds.Restore(shard, r.Value)
		}
		if err != nil {
			o.lead.Log.Emit(event.RowCorrupt).Str("table", SpeedTable).Str("key", r.Key).Err(err).Send()
		}
	}
	o.speeds.read = true
}

// collectSpeeds collects the rows that have changed enough, at most once in speedInterval.
func (o *Owner) collectSpeeds() {
	s, now := &o.speeds, o.lead.now()
	if !s.read || len(s.pending) > 0 || now < s.collectAt {
		return
	}
	s.collectAt = now + speedInterval
	changed := o.engine.Speeds.TakeChanged()
	for _, shard := range slices.Sorted(maps.Keys(changed)) {
		s.pending = append(s.pending, rows.Row{Table: SpeedTable, Key: strconv.Itoa(shard), Value: changed[shard]})
	}
	s.pendingAt = now
}

// addSpeeds adds one row with speeds to a transaction that is not full and delays no start, if there is one.
func (o *Owner) addSpeeds(t *pendingTxn) {
	o.collectSpeeds()
	s := &o.speeds
	if len(s.pending) == 0 || len(t.txn.Put)+len(t.txn.Delete) >= speedMaxEntries || len(o.dirtyJobs) > 0 ||
		len(t.starts) > 0 && o.lead.now()-s.pendingAt < speedMaxWait {
		return
	}
	t.txn.Put = append(t.txn.Put, s.pending[0])
	s.pending = s.pending[1:]
}
