package edge

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"greengageline/internal/clock"
	"greengageline/internal/event"
	"greengageline/internal/lead"
	"greengageline/internal/rows"
	"greengageline/internal/sched"
	"greengageline/pkg/model"
)

// Grant is the right of one request: the queue that it names and the workspace
// of its key.
type Grant struct {
	Queue     model.Queue
	Workspace string
	Plan      uint64
}

// admit finds the queue of a request and checks its key.
func (n *Node) admit(host, path, key string) (Grant, error) {
	if err := n.fresh(); err != nil {
		return Grant{}, err
	}
	p := n.plan.Load()
	q := p.Find(host, path)
	if q == nil {
		return Grant{}, fmt.Errorf("%w on host %q for path %q", ErrNoQueue, host, path)
	}
	space, known := p.Space(key)
	if !known && !q.Open {
		return Grant{}, ErrKey
	}
	return Grant{Queue: *q, Workspace: space, Plan: p.Version}, nil
}

const (
	// storeTry bounds one try of a write: a store 80 times slower than usual
	// still answers in about 1 s.
	storeTry = 1300 * time.Millisecond
	// storeTries bounds the tries of one request; the caller comes again.
	storeTries = 2
	// retryPause lies before the second try, with as much jitter.
	retryPause = 30 * time.Millisecond
	// answerMargin is left of a caller's time for the answer's way back.
	answerMargin = 100 * time.Millisecond
	// readStore bounds a read of the store.
	readStore = 1500 * time.Millisecond
)

// submit makes work durable; it succeeds also if an earlier request did.
func (n *Node) submit(ctx context.Context, g Grant, w model.Work) error {
	w.Queue, w.Workspace = g.Queue, g.Workspace
	w.Queue.Host, w.Queue.Prefix = "", ""
	w.AcceptedMs = time.Now().UnixMilli()
	if err := w.Check(); err != nil {
		return err
	}
	if g.Queue.Advice != nil && n.Lead.Fleet.Advise == nil {
		// Its workers would refuse each start without an adviser's ticket.
		return fmt.Errorf("%w: queue %s needs an adviser, and the settings name none", ErrNotReady, g.Queue.Name)
	}
	value, err := json.Marshal(w)
	if err != nil {
		return fmt.Errorf("encode work %s: %w", w.ID, err)
	}
	row := rows.Row{Table: lead.WorkTable, Part: lead.WorkPart(w.ID), Key: w.ID, Value: value}
	started := n.now()
	repeated, err := n.write(ctx, rows.Txn{
		If:  []rows.Row{{Table: row.Table, Part: row.Part, Key: row.Key}},
		Put: []rows.Row{row},
	})
	if err != nil {
		return err
	}
	took := n.now() - started
	n.Log.Emit(event.WorkAccepted).Str("job", w.ID).Str("queue", g.Queue.Name).Str("workspace", g.Workspace).
		Bool("repeated", repeated).Uint64("plan", g.Plan).Int64("took_ms", took.Milliseconds()).Send()
	o := n.Lead.Own()
	switch {
	case repeated:
	case o != nil:
		o.Accepted(row)
	case took > relayAfter:
		go n.note(row)
	}
	return nil
}

// write commits a transaction that is conditional on a row's absence, in a
// bounded number of tries; repeated tells that the row was there already.
func (n *Node) write(ctx context.Context, txn rows.Txn) (repeated bool, err error) {
	unclear := false
	for try := range storeTries {
		if try > 0 {
			clock.Sleep(ctx, retryPause+rand.N(retryPause))
		}
		sent := n.now()
		tryCtx, cancel := context.WithTimeout(ctx, storeTry)
		_, _, err = n.Rows.Commit(tryCtx, txn)
		cancel()
		if ctx.Err() == nil {
			n.noteStore(err)
		}
		switch {
		case err == nil:
			n.wroteIn.Store(int64(n.now() - sent))
			return false, nil
		case errors.Is(err, rows.ErrConflict):
			return true, nil
		case errors.Is(err, rows.ErrUnclear):
			unclear = true
		}
		if ctx.Err() != nil {
			break
		}
	}
	if unclear {
		return false, fmt.Errorf("%w: %w", ErrUnclear, err)
	}
	return false, fmt.Errorf("%w: %w", ErrBusy, err)
}

// cancel makes a job's cancellation durable; found tells whether the job is
// known. A cancellation of an unknown job is kept too, since its acceptance
// may still be on its way.
func (n *Node) cancel(ctx context.Context, id string) (found bool, err error) {
	work, err := n.Rows.Get(ctx, lead.WorkTable, lead.WorkPart(id), id)
	if err != nil {
		return false, fmt.Errorf("%w: %w", ErrBusy, err)
	}
	row := rows.Row{Table: lead.WorkTable, Part: lead.WorkPart(id), Key: id + lead.CancelSuffix, Value: []byte("{}")}
	if _, err := n.write(ctx, rows.Txn{If: []rows.Row{{Table: row.Table, Part: row.Part, Key: row.Key}}, Put: []rows.Row{row}}); err != nil {
		return false, err
	}
	if o := n.Lead.Own(); o != nil {
		o.Accepted(row)
	}
	n.Log.Emit(event.WorkCancelled).Str("job", id).Bool("found", work.Version != 0).Send()
	return work.Version != 0, nil
}

// look returns a job's state: the owner's word if it runs here and knows the
// job, else what the store holds.
func (n *Node) look(ctx context.Context, id string) (lead.Look, error) {
	if o := n.Lead.Own(); o != nil {
		if look, ok := o.Look(ctx, id); ok && look.Known {
			return look, nil
		}
	}
	ctx, cancel := context.WithTimeout(ctx, readStore)
	defer cancel()
	look, err := lead.StateOf(ctx, n.Rows, id)
	if err != nil {
		return look, fmt.Errorf("%w: %w", ErrBusy, err)
	}
	return look, nil
}

// unstarted counts a queue's accepted jobs of which nothing has started.
func (n *Node) unstarted(ctx context.Context, queue string) (int, error) {
	if o := n.Lead.Own(); o != nil {
		if count, ok := o.Unstarted(ctx, queue); ok {
			return count, nil
		}
	}
	return n.scanned(ctx, queue)
}

const (
	// scanFresh is how long a count from the rows may be told again; the users'
	// page allows 2 s.
	scanFresh = 1500 * time.Millisecond
	// scanEach is the time between two scans of all nodes together: each takes
	// some 17 reads, and a quarter of the store's 2,000 a second is for them.
	scanEach = 34 * time.Millisecond
)

// scan is a count of waiting jobs by queue, as read from the rows at a time.
type scan struct {
	at     time.Duration
	counts map[string]int
}

// scanned counts from the rows if the owner can't be asked, but not more often
// than the store bears from all nodes: while an owner begins it needs the reads.
func (n *Node) scanned(ctx context.Context, queue string) (int, error) {
	nodes := n.Lead.Size()
	if nodes == 0 {
		return 0, fmt.Errorf("%w: no owner has told how many nodes there are", ErrNotReady)
	}
	n.scanning.Lock()
	defer n.scanning.Unlock()
	now := n.now()
	if age := now - n.scan.at; n.scan.counts == nil || age > scanFresh {
		if n.scan.at != 0 && age < time.Duration(nodes)*scanEach {
			return 0, fmt.Errorf("%w: the rows were counted %s ago", ErrNotReady, age)
		}
		n.scan.at = now
		ctx, cancel := context.WithTimeout(ctx, readStore)
		defer cancel()
		counts, err := n.countStored(ctx)
		if err != nil {
			n.scan.counts = nil
			return 0, fmt.Errorf("%w: %w", ErrBusy, err)
		}
		n.scan.counts = counts
	}
	return n.scan.counts[queue], nil
}

// countStored counts from the rows, for a node that can't ask the owner.
func (n *Node) countStored(ctx context.Context) (map[string]int, error) {
	work, err := n.Rows.Parts(ctx, lead.WorkTable, lead.WorkPartNames())
	if err != nil {
		return nil, fmt.Errorf("read work: %w", err)
	}
	records, err := n.Rows.All(ctx, lead.RecordTable, "")
	if err != nil {
		return nil, fmt.Errorf("read records: %w", err)
	}
	begun := map[string]bool{}
	for _, r := range records.Rows {
		var rec sched.Record
		if json.Unmarshal(r.Value, &rec) == nil && (rec.Begun || rec.Final != "") {
			begun[r.Key] = true
		}
	}
	for _, r := range work.Rows {
		if id, ok := strings.CutSuffix(r.Key, lead.CancelSuffix); ok {
			begun[id] = true
		}
	}
	counts := map[string]int{}
	for _, r := range work.Rows {
		var w model.Work
		if !begun[r.Key] && json.Unmarshal(r.Value, &w) == nil {
			counts[w.Queue.Name]++
		}
	}
	return counts, nil
}

// within returns the time that a request may take, given what its caller waits
// and the queue's own limit; 0 means none.
func within(caller time.Duration, q model.Queue) time.Duration {
	limit := time.Duration(q.TimeoutMs) * time.Millisecond
	if caller > 0 && (limit == 0 || caller < limit) {
		limit = caller
	}
	if limit == 0 {
		limit = storeTries * storeTry
	}
	return max(limit-answerMargin, answerMargin)
}
