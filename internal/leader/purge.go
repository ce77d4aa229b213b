package leader

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/samber/lo"

	"greengageline/internal/event"
	"greengageline/internal/rows"
)

// removal is a transaction that removes rows of jobs, all of one part.
type removal struct {
	part string
	ids  []string
	txn  rows.Txn
	// version is that of the transaction once it is known to have taken effect.
	version uint64
}

// purge removes the rows of jobs that need no longer be available, and cancellations of jobs that never came. The job is
// deleted before its record: the next owner deletes a record without a job, but a job without its record would run
// again. For the same reason a job stays until its final state is durable.
func (o *Owner) purge() {
	now := o.moment()
	if now.Steady < o.nextPurgeAt || o.purging || len(o.pendingDeletes) > 0 {
		return
	}
	o.nextPurgeAt = now.Steady + purgeInterval
	o.dropOldLostRuns()
	keep := 2 * o.lead.Bounds.EndedRetention
	ended := lo.Filter(o.engine.OldEnded(now.UnixMs-keep.Milliseconds()), func(id string, _ int) bool {
		_, durable := o.finals[id]
		return durable && !o.dirtyJobs[id]
	})
	unused := slices.Sorted(maps.Keys(lo.PickBy(o.earlyCancels, func(id string, _ time.Duration) bool {
		return now.Steady-o.earlyCancels[id] > keep
	})))
	if len(ended)+len(unused) == 0 {
		return
	}
	o.purging = true
	o.spawn(func() {
		jobs := o.remove("purge jobs", ended, removeJob)
		cancels := o.remove("purge cancellations", unused, removeCancel)
		o.post(func() {
			o.purging = false
			o.forgetJobs(jobs)
			o.forgetCancels(cancels)
		})
	})
}

// removeJob adds the removal of a job and its cancellation to a transaction.
func removeJob(t *rows.Txn, job, cancel rows.Row) { t.Delete = append(t.Delete, job, cancel) }

// removeCancel adds the removal of a cancellation to a transaction, provided that its job has not been stored after all.
func removeCancel(t *rows.Txn, job, cancel rows.Row) {
	t.Conditions = append(t.Conditions, job)
	t.Delete = append(t.Delete, cancel)
}

// remove removes rows of the jobs in a transaction for each part, which add fills, and returns those that are known to
// have taken effect. The next purge tries the others again.
func (o *Owner) remove(op string, ids []string, add func(t *rows.Txn, job, cancel rows.Row)) []removal {
	var done []removal
	for part, ids := range lo.GroupBy(ids, WorkPart) {
		r := removal{part: part, ids: ids[:min(len(ids), maxTxnEntries/2)]}
		for _, id := range r.ids {
			add(&r.txn, rows.Row{Table: WorkTable, Part: part, Key: id}, rows.Row{Table: WorkTable, Part: part, Key: id + CancelSuffix})
		}
		ctx, cancel := context.WithTimeout(o.ctx, storeTimeout)
		version, _, err := o.lead.Rows.Commit(ctx, r.txn)
		cancel()
		if err != nil {
			o.lead.Log.Emit(event.StoreFailed).Str("op", op).Str("part", part).Err(err).Send()
			continue
		}
		r.version = version
		done = append(done, r)
	}
	return done
}

// forgetJobs forgets the jobs that were removed and queues their records for deletion.
func (o *Owner) forgetJobs(removals []removal) {
	for _, r := range removals {
		for _, id := range r.ids {
			o.engine.Forget(id)
			if w := o.work[id]; w != nil {
				o.budget.Change(w.Workspace, -o.stateBytes[id])
			}
			delete(o.work, id)
			delete(o.stateBytes, id)
			delete(o.finals, id)
			o.removed[id] = r.version
			o.pendingDeletes = append(o.pendingDeletes, rows.Row{Table: RecordTable, Key: id})
		}
	}
}

// forgetCancels forgets the cancellations that were removed.
func (o *Owner) forgetCancels(removals []removal) {
	for _, r := range removals {
		for _, id := range r.ids {
			o.forgetEarlyCancel(id)
			o.removed[id] = r.version
		}
	}
}
