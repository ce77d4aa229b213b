package leader

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"strings"
	"time"

	"greengageline/internal/clock"
	"greengageline/internal/event"
	"greengageline/internal/rows"
	"greengageline/internal/sched"
	"greengageline/pkg/model"
)

const (
	// feedWait is how long a read of the feed of accepted jobs waits for a change. With feedMargin it stays well
	// below the 3 s after which a cancelled job must start nothing more: an open connection may go silent, which only
	// the timeout shows.
	feedWait = time.Second
	// feedMargin is the time allowed for the answer beyond the wait. A store that is 80 times slower than usual takes
	// 0.4 s. It doubles with each failure in a row, up to maxFeedMargin, since a large page may take longer.
	feedMargin    = 1200 * time.Millisecond
	maxFeedMargin = 5 * time.Second
)

// followFeed reads the feed of accepted jobs and cancellations until the owner ends.
func (o *Owner) followFeed(after uint64) {
	wait, margin := feedWait, feedMargin
	for failures := 0; o.ctx.Err() == nil; {
		ctx, cancel := context.WithTimeout(o.ctx, wait+margin)
		page, err := o.lead.Rows.Feed(ctx, WorkTable, after, wait)
		cancel()
		if err != nil {
			failures++
			after = o.recoverFeed(after, failures, err)
			wait, margin = 0, min(2*margin, maxFeedMargin)
			continue
		}
		failures, wait, margin = 0, feedWait, feedMargin
		after = page.Next(after)
		reached := after
		o.post(func() { o.applyWorkPage(page.Rows, reached) })
	}
}

// recoverFeed prepares the next read after a number of failures of the feed in a row and returns the version from
// which it goes on. A first failure may only mean that the connection was dead, so the feed is read again at once.
// After that, or if the store no longer has the history, the whole table is read.
func (o *Owner) recoverFeed(after uint64, failures int, err error) uint64 {
	if o.ctx.Err() != nil {
		return after
	}
	o.lead.Log.Emit(event.StoreFailed).Str("op", "feed "+WorkTable).Int("failures", failures).Err(err).Send()
	if failures == 1 && !errors.Is(err, rows.ErrCompacted) {
		if errors.Is(err, rows.ErrRefused) {
			clock.Sleep(o.ctx, retryPauseMin)
		}
		return after
	}
	clock.Sleep(o.ctx, min(retryPauseMin<<min(failures, 5), retryPauseMax))
	ctx, cancel := context.WithTimeout(o.ctx, storeTimeout)
	defer cancel()
	page, err := o.lead.Rows.ReadParts(ctx, WorkTable, WorkPartNames())
	if err != nil {
		o.lead.Log.Emit(event.StoreFailed).Str("op", "read "+WorkTable).Err(err).Send()
		clock.Sleep(o.ctx, retryPauseMin)
		return after
	}
	after = max(after, page.Version)
	o.post(func() { o.applyWorkPage(page.Rows, after) })
	return after
}

// applyWorkRow applies a row of WorkTable: an accepted job, with its stored record if there is one, or a
// cancellation. A row that was read before its job was removed is ignored: without a record the job would run again.
// Unless must is set, a job for which there is no memory is left to the feed.
func (o *Owner) applyWorkRow(r rows.Row, record []byte, must bool) {
	if removed := o.removed[strings.TrimSuffix(r.Key, CancelSuffix)]; r.Version < removed {
		o.lead.Log.Emit(event.RowStale).Str("key", r.Key).Uint64("version", r.Version).Uint64("removed", removed).Int64("epoch", o.epoch).Send()
		return
	}
	if id, ok := strings.CutSuffix(r.Key, CancelSuffix); ok {
		if !r.Deleted {
			o.applyCancel(id)
		}
		return
	}
	if r.Deleted || o.work[r.Key] != nil {
		return
	}
	w := new(model.Work)
	if err := json.Unmarshal(r.Value, w); err != nil {
		o.lead.Log.Emit(event.RowCorrupt).Str("table", WorkTable).Str("key", r.Key).Err(err).Send()
		return
	}
	size := sched.StateBytes(w, len(r.Value))
	if !must && !o.budget.Reserve(w.Workspace, size) {
		return
	}
	if must {
		o.budget.Change(w.Workspace, size)
	}
	j, err := sched.Restore(w, record)
	if err != nil {
		o.budget.Change(w.Workspace, -size)
		o.lead.Log.Emit(event.RowCorrupt).Str("table", RecordTable).Str("key", r.Key).Err(err).Send()
		return
	}
	o.work[r.Key], o.stateBytes[r.Key] = w, size
	if !j.Open() {
		o.finals[r.Key] = j.Final
	}
	o.engine.Add(j, o.moment())
	if _, cancelled := o.earlyCancels[w.ID]; cancelled {
		o.forgetEarlyCancel(w.ID)
		o.engine.Cancel(w.ID, o.moment())
	}
}

// applyCancel cancels a job, or remembers the cancellation until the job is known.
func (o *Owner) applyCancel(id string) {
	if o.work[id] == nil {
		if _, known := o.earlyCancels[id]; !known {
			o.earlyCancels[id] = o.lead.now()
			o.budget.Change("", cancelState)
		}
		return
	}
	o.engine.Cancel(id, o.moment())
}

// forgetEarlyCancel forgets the cancellation of a job that was not known, if there is one.
func (o *Owner) forgetEarlyCancel(id string) {
	if _, known := o.earlyCancels[id]; known {
		delete(o.earlyCancels, id)
		o.budget.Change("", -cancelState)
	}
}

// applyWorkPage applies rows of WorkTable that have no record yet and requests a scheduling pass. With them all changes
// up to a version of the store have been read, so that no later read shows what was removed before.
func (o *Owner) applyWorkPage(rs []rows.Row, reached uint64) {
	for _, r := range rs {
		o.applyWorkRow(r, nil, true)
	}
	o.followed = max(o.followed, reached)
	maps.DeleteFunc(o.removed, func(_ string, version uint64) bool { return version <= o.followed })
	o.passDue = o.passDue || len(rs) > 0
}

// ApplyAccepted applies a job or cancellation that another node has just made durable, before the feed delivers it. It
// does not block. It leaves the row to the feed while the loop is busy or there is no memory for the job.
func (o *Owner) ApplyAccepted(r rows.Row) {
	waiting := int64(len(r.Value)) + cancelState
	if !o.budget.Reserve("", waiting) {
		return
	}
	apply := func() {
		o.budget.Change("", -waiting)
		o.applyNoted(r, false)
	}
	select {
	case o.inbox <- apply:
	default: // the inbox is full
		o.budget.Change("", -waiting)
	}
}

// applyNoted applies, in the loop, a row that a node has stored. A row that the feed has delivered already is ignored,
// since the job may have been removed since.
func (o *Owner) applyNoted(r rows.Row, must bool) {
	// Until the stored state has been read the job's record is not known.
	if o.rebuilt.Load() && r.Version > o.followed {
		o.applyWorkRow(r, nil, must)
		o.passDue = true
	}
}
