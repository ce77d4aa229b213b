package edge

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"greengageline/internal/clock"
	"greengageline/internal/event"
	"greengageline/internal/leader"
	"greengageline/internal/rows"
	"greengageline/internal/sched"
	"greengageline/pkg/model"
)

// Grant is the authorization of one request: its queue, the workspace of its key, and the
// version of the plan that was used.
type Grant struct {
	Queue     model.Queue
	Workspace string
	Plan      uint64
}

// authorize finds the queue of a request and checks its key. It fails if the plan is not
// fresh.
func (n *Node) authorize(host, path, key string) (Grant, error) {
	if err := n.checkPlanFresh(); err != nil {
		return Grant{}, err
	}
	p := n.plan.Load()
	q := p.Find(host, path)
	if q == nil {
		return Grant{}, fmt.Errorf("%w on host %q for path %q", ErrNoQueue, host, path)
	}
	workspace, known := p.Space(key)
	if !known && !q.Open {
		return Grant{}, ErrUnknownKey
	}
	return Grant{Queue: *q, Workspace: workspace, Plan: p.Version}, nil
}

const (
	// writeTryTimeout limits one write attempt. A store that is 80 times slower than usual
	// still answers in about 1 s.
	writeTryTimeout = 1300 * time.Millisecond
	// maxWriteTries limits the write attempts for one request. After that the caller has to
	// retry.
	maxWriteTries = 2
	// minProbeDelay is how long a write may take before its row is read to find out whether it took effect:
	// some ten times the usual duration. After a slow write it is probeDelayFactor times what that took.
	minProbeDelay    = 100 * time.Millisecond
	probeDelayFactor = 2
	// writeRetryDelay is the shortest delay before the second attempt; random jitter of up to
	// the same length is added.
	writeRetryDelay = 30 * time.Millisecond
	// replyMargin is the part of the caller's time that is kept for sending the reply.
	replyMargin = 100 * time.Millisecond
	// maxWorkBytes limits a job as it is stored: a row of the store holds 64 KiB in base64.
	maxWorkBytes = 48 << 10
	// storeReadTimeout limits a read of the store.
	storeReadTimeout = 1500 * time.Millisecond
)

// submit stores a job. It also succeeds if an earlier request stored it.
func (n *Node) submit(ctx context.Context, g Grant, w model.Work) error {
	w.Queue, w.Workspace = g.Queue, g.Workspace
	w.Queue.Host, w.Queue.Prefix = "", ""
	w.AcceptedMs = time.Now().UnixMilli()
	if err := w.Check(); err != nil {
		return err
	}
	if g.Queue.Advice != nil && n.Candidate.Fleet.Advise == nil {
		// The workers would refuse each start that has no ticket from an adviser.
		return fmt.Errorf("%w: queue %s needs an adviser, and the settings name none", ErrNotReady, g.Queue.Name)
	}
	value, err := json.Marshal(w)
	if err != nil {
		return fmt.Errorf("encode work %s: %w", w.ID, err)
	}
	if len(value) > maxWorkBytes {
		return fmt.Errorf("%w: the job takes %d bytes, want at most %d", model.ErrInvalid, len(value), maxWorkBytes)
	}
	row := rows.Row{Table: leader.WorkTable, Part: leader.WorkPart(w.ID), Key: w.ID, Value: value}
	admission, exact, err := n.Candidate.Admit(w.Workspace, sched.StateBytes(&w, len(value)))
	if err != nil && exact {
		return n.checkStored(ctx, row, err)
	}
	if err != nil {
		return fmt.Errorf("%w: this node may accept no more without the owner", ErrFull)
	}
	started := n.now()
	row, repeated, err := n.commitIfAbsent(ctx, row)
	if err != nil || repeated {
		admission.NotStored(errors.Is(err, ErrOutcomeUnknown))
	}
	if err != nil {
		return err
	}
	took := n.now() - started
	n.Log.Emit(event.WorkAccepted).Str("job", w.ID).Str("queue", g.Queue.Name).Str("workspace", g.Workspace).
		Bool("repeated", repeated).Uint64("plan", g.Plan).Int64("took_ms", took.Milliseconds()).Send()
	if !repeated && !admission.Stored(row) && took > relayDelay {
		go n.notifyOwner(row)
	}
	return nil
}

// checkStored returns nil if the row of a job that can't be admitted was stored by an earlier request, and else ErrFull
// with the reason.
func (n *Node) checkStored(ctx context.Context, row rows.Row, reason error) error {
	stored, err := n.Rows.Get(ctx, row.Table, row.Part, row.Key)
	switch {
	case err != nil:
		return fmt.Errorf("%w: %w: read job %s: %w", ErrOutcomeUnknown, reason, row.Key, err)
	case stored.Version != 0:
		return nil
	}
	return fmt.Errorf("%w: %w", ErrFull, reason)
}

// commitIfAbsent writes a row if it is absent, with a limited number of attempts while the store refuses it.
// It returns the row with its version; repeated reports that the row already existed.
func (n *Node) commitIfAbsent(ctx context.Context, row rows.Row) (stored rows.Row, repeated bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, maxWriteTries*writeTryTimeout)
	defer cancel()
	absent := rows.Row{Table: row.Table, Part: row.Part, Key: row.Key}
	txn := rows.Txn{Conditions: []rows.Row{absent}, Put: []rows.Row{row}}
	probe := rows.Probe{
		Row: absent, Timeout: writeTryTimeout, After: max(minProbeDelay, probeDelayFactor*time.Duration(n.lastWriteTook.Load())),
		Applied:  func(r rows.Row) bool { return bytes.Equal(r.Value, row.Value) },
		Answered: func(err error) { n.recordWriteResult(ctx, err) },
	}
	var refused error
	for try := range maxWriteTries {
		if try > 0 {
			clock.Sleep(ctx, writeRetryDelay+rand.N(writeRetryDelay))
		}
		sent := n.now()
		version, present, err := n.Rows.CommitKnown(ctx, txn, probe)
		switch {
		case err == nil:
			n.lastWriteTook.Store(int64(n.now() - sent))
			row.Version = version
			return row, false, nil
		case errors.Is(err, rows.ErrConflict):
			if len(present) > 0 {
				row.Version = present[0].Version
			}
			return row, true, nil
		case errors.Is(err, rows.ErrOutcomeUnknown):
			return row, false, fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
		}
		refused = err
		if ctx.Err() != nil {
			break
		}
	}
	return row, false, fmt.Errorf("%w: %w", ErrBusy, refused)
}

// recordWriteResult records the result of a call to the store, unless the call was cut short by ctx, which says
// nothing about the store.
func (n *Node) recordWriteResult(ctx context.Context, err error) {
	if ctx.Err() == nil {
		n.recordStoreResult(err)
	}
}

// cancel stores a job's cancellation; found reports whether the job is known. The cancellation
// of an unknown job is stored too, because the job may still be in the process of being
// accepted.
func (n *Node) cancel(ctx context.Context, id string) (found bool, err error) {
	work, err := n.Rows.Get(ctx, leader.WorkTable, leader.WorkPart(id), id)
	if err != nil {
		return false, fmt.Errorf("%w: %w", ErrBusy, err)
	}
	row := rows.Row{Table: leader.WorkTable, Part: leader.WorkPart(id), Key: id + leader.CancelSuffix, Value: []byte("{}")}
	if work.Version == 0 {
		return false, n.cancelUnknown(ctx, row)
	}
	row, _, err = n.commitIfAbsent(ctx, row)
	if err != nil {
		return false, err
	}
	if o := n.Candidate.LocalOwner(); o != nil {
		o.ApplyAccepted(row)
	} else {
		go n.notifyOwner(row)
	}
	n.Log.Emit(event.WorkCancelled).Str("job", id).Bool("found", true).Send()
	return true, nil
}

// cancelUnknown stores the cancellation of a job that is not known. The owner keeps it until the job can no longer arrive.
func (n *Node) cancelUnknown(ctx context.Context, row rows.Row) error {
	admission, _, err := n.Candidate.AdmitCancel()
	if err != nil {
		return fmt.Errorf("%w: %w", ErrFull, err)
	}
	row, repeated, err := n.commitIfAbsent(ctx, row)
	if err != nil || repeated {
		admission.NotStored(errors.Is(err, ErrOutcomeUnknown))
		return err
	}
	if !admission.Stored(row) {
		go n.notifyOwner(row)
	}
	n.Log.Emit(event.WorkCancelled).Str("job", strings.TrimSuffix(row.Key, leader.CancelSuffix)).Bool("found", false).Send()
	return nil
}

// look returns a job's state: from the owner if it runs on this node and knows the job, else
// from the store.
func (n *Node) look(ctx context.Context, id string) (leader.JobState, error) {
	if o := n.Candidate.LocalOwner(); o != nil {
		if look, ok := o.JobState(ctx, id); ok && look.Known {
			return look, nil
		}
	}
	ctx, cancel := context.WithTimeout(ctx, storeReadTimeout)
	defer cancel()
	look, err := leader.ReadJobState(ctx, n.Rows, id)
	if err != nil {
		return look, fmt.Errorf("%w: %w", ErrBusy, err)
	}
	return look, nil
}

// countUnstarted counts a queue's accepted jobs of which no task has started.
func (n *Node) countUnstarted(ctx context.Context, queue string) (int, error) {
	if o := n.Candidate.LocalOwner(); o != nil {
		if count, ok := o.CountUnstarted(ctx, queue); ok {
			return count, nil
		}
	}
	return n.countFromStore(ctx, queue)
}

const (
	// scanMaxAge is how long a count read from the store may be returned again. The
	// documentation for users allows 2 s.
	scanMaxAge = 1500 * time.Millisecond
	// scanIntervalPerNode is multiplied by the number of nodes to get the shortest time
	// between two scans by one node, so that all nodes together scan once per
	// scanIntervalPerNode. A scan takes about 17 reads, and a quarter of the store's 2,000
	// reads a second is available for scans.
	scanIntervalPerNode = 34 * time.Millisecond
)

// unstartedScan is the result of one scan of the store: the number of unstarted jobs by queue.
type unstartedScan struct {
	at     time.Duration
	counts map[string]int
}

// countFromStore counts a queue's unstarted jobs from the store if the owner cannot be asked.
// The rate of scans is limited, because a new owner needs the store's read capacity while it
// starts.
func (n *Node) countFromStore(ctx context.Context, queue string) (int, error) {
	nodes := n.Candidate.NodeCount()
	if nodes == 0 {
		return 0, fmt.Errorf("%w: no owner has told how many nodes there are", ErrNotReady)
	}
	n.scanMu.Lock()
	defer n.scanMu.Unlock()
	now := n.now()
	if age := now - n.scan.at; n.scan.counts == nil || age > scanMaxAge {
		if n.scan.at != 0 && age < time.Duration(nodes)*scanIntervalPerNode {
			return 0, fmt.Errorf("%w: the rows were counted %s ago", ErrNotReady, age)
		}
		n.scan.at = now
		ctx, cancel := context.WithTimeout(ctx, storeReadTimeout)
		defer cancel()
		counts, err := n.scanUnstarted(ctx)
		if err != nil {
			n.scan.counts = nil
			return 0, fmt.Errorf("%w: %w", ErrBusy, err)
		}
		n.scan.counts = counts
	}
	return n.scan.counts[queue], nil
}

// scanUnstarted reads the store and counts the unstarted jobs by queue. Records are read first: a job that is removed
// between the two reads must not seem to have none.
func (n *Node) scanUnstarted(ctx context.Context) (map[string]int, error) {
	records, err := n.Rows.ReadPart(ctx, leader.RecordTable, "")
	if err != nil {
		return nil, fmt.Errorf("read records: %w", err)
	}
	work, err := n.Rows.ReadParts(ctx, leader.WorkTable, leader.WorkPartNames())
	if err != nil {
		return nil, fmt.Errorf("read work: %w", err)
	}
	excluded := map[string]bool{}
	for _, r := range records.Rows {
		rec, err := sched.DecodeRecord(r.Value)
		if err == nil && (rec.Started || rec.Final != "") {
			excluded[r.Key] = true
		}
	}
	for _, r := range work.Rows {
		if id, ok := strings.CutSuffix(r.Key, leader.CancelSuffix); ok {
			excluded[id] = true
		}
	}
	counts := map[string]int{}
	for _, r := range work.Rows {
		var w model.Work
		if !excluded[r.Key] && json.Unmarshal(r.Value, &w) == nil {
			counts[w.Queue.Name]++
		}
	}
	return counts, nil
}

// requestTimeout returns how long a request may take, given how long its caller waits and the
// queue's own limit; 0 means no limit for either.
func requestTimeout(caller time.Duration, q model.Queue) time.Duration {
	limit := time.Duration(q.TimeoutMs) * time.Millisecond
	if caller > 0 && (limit == 0 || caller < limit) {
		limit = caller
	}
	if limit == 0 {
		limit = maxWriteTries * writeTryTimeout
	}
	return max(limit-replyMargin, replyMargin)
}
