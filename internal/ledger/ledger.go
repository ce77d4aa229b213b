package ledger

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/cespare/xxhash/v2"

	"greengageline/internal/table"
	"greengageline/pkg/model"
)

var (
	// ErrFenced means that the writer no longer owns the cell: nothing was written.
	ErrFenced = errors.New("cell is owned by another")
	// ErrKeyReused means that the key was used for a request with different content.
	ErrKeyReused = errors.New("key was used for a different request")
	// ErrAbsent means that there is no such job.
	ErrAbsent = errors.New("job does not exist")
	// ErrOutcomeUnknown means that the write may or may not have taken effect.
	ErrOutcomeUnknown = errors.New("outcome is not known yet")
	// ErrUnavailable means that the table can't be read or written; nothing was written.
	ErrUnavailable = errors.New("table can't be used now")
)

// Fence is the condition that the writer still owns the cell: the row at OwnershipKey
// still has Version.
type Fence struct {
	Cell    string
	Version uint64
}

// OwnershipKey returns the key of the cell's ownership row, which every takeover rewrites.
func OwnershipKey(cell string) string { return "cell/" + cell }

func (f Fence) check() table.Check {
	return table.Check{Key: OwnershipKey(f.Cell), Version: f.Version}
}

// Entry is a job with the row that stores it.
type Entry struct {
	Job model.Job
	Row table.Row
}

// idempotencyRow is the row that binds an idempotency key to the job accepted under it.
type idempotencyRow struct {
	Job  string `json:"job"`
	Hash uint64 `json:"hash"`
}

// Ledger reads and writes jobs and calls in Table.
type Ledger struct {
	Table *table.Table
}

func openKey(cell, id string) string { return "open/" + cell + "/" + id }
func doneKey(cell, id string) string { return "done/" + cell + "/" + id }
func idempotencyRowKey(spec model.JobSpec) string {
	return "key/" + spec.Workspace + "/" + spec.Key
}

// HashSpec returns the xxhash64 of a request's JSON encoding, or 0 if it can't be
// encoded.
func HashSpec(spec model.JobSpec) uint64 {
	data, err := json.Marshal(spec)
	if err != nil {
		return 0
	}
	return xxhash.Sum64(data)
}

// Accept makes a job durable together with its idempotency key. If the key is already
// stored for the same request, it returns the job accepted under it and repeated is
// true; ErrKeyReused if it is stored for another request.
func (l *Ledger) Accept(ctx context.Context, f Fence, job model.Job) (e Entry, repeated bool, err error) {
	put := table.Put{Old: table.Row{Key: openKey(job.Cell, job.ID)}, Body: job}
	key := idempotencyRow{Job: job.ID, Hash: HashSpec(job.Spec)}
	version, err := l.Table.Commit(ctx, table.Txn{
		Checks: []table.Check{f.check()},
		Puts:   []table.Put{put, {Old: table.Row{Key: idempotencyRowKey(job.Spec)}, Body: key}},
	})
	if err == nil {
		return l.committedEntry(ctx, job, put, version)
	}
	if !errors.Is(err, table.ErrConflict) {
		return Entry{}, false, writeError(err)
	}
	return l.acceptConflict(ctx, job.Spec, err)
}

// committedEntry returns the entry after a put. If version is 0, because the answer was
// lost and a later writer has replaced the row, it reads the row.
func (l *Ledger) committedEntry(ctx context.Context, job model.Job, put table.Put, version uint64) (Entry, bool, error) {
	if version != 0 {
		return Entry{Job: job, Row: put.After(version)}, false, nil
	}
	e, err := l.Load(ctx, job.ID)
	return e, false, err
}

// acceptConflict distinguishes the causes of a conflict: a key that is already stored,
// or an owner that no longer owns the cell.
func (l *Ledger) acceptConflict(ctx context.Context, spec model.JobSpec, conflict error) (Entry, bool, error) {
	e, err := l.ByKey(ctx, spec)
	if errors.Is(err, ErrAbsent) {
		return Entry{}, false, fmt.Errorf("%w: %w", ErrFenced, conflict)
	}
	return e, err == nil, err
}

// ByKey returns the job that was accepted under the spec's key. It returns
// ErrKeyReused if the key belongs to another request, ErrAbsent if the key is free.
func (l *Ledger) ByKey(ctx context.Context, spec model.JobSpec) (Entry, error) {
	rows, err := l.Table.Get(ctx, idempotencyRowKey(spec))
	if err != nil {
		return Entry{}, readError(err)
	}
	if rows[0].Version == table.Absent {
		return Entry{}, ErrAbsent
	}
	var k idempotencyRow
	if err := rows[0].Decode(&k); err != nil {
		return Entry{}, readError(err)
	}
	if k.Hash != HashSpec(spec) {
		return Entry{}, fmt.Errorf("key %q of workspace %q: %w", spec.Key, spec.Workspace, ErrKeyReused)
	}
	return l.Load(ctx, k.Job)
}

// Load reads a job, open or ended; its error wraps ErrAbsent or ErrUnavailable.
func (l *Ledger) Load(ctx context.Context, id string) (Entry, error) {
	cell := model.CellOf(id)
	if cell == "" {
		return Entry{}, fmt.Errorf("job %q: %w", id, ErrAbsent)
	}
	rows, err := l.Table.Get(ctx, openKey(cell, id), doneKey(cell, id))
	if err != nil {
		return Entry{}, readError(err)
	}
	for _, r := range rows {
		if r.Version != table.Absent {
			return decode(r)
		}
	}
	return Entry{}, fmt.Errorf("job %q: %w", id, ErrAbsent)
}

func decode(r table.Row) (Entry, error) {
	e := Entry{Row: r}
	if err := r.Decode(&e.Job); err != nil {
		return e, readError(err)
	}
	e.Row.Body = nil // the job has it all
	return e, nil
}

// Save writes the next state of an open job. A job in a final state moves to the
// ended jobs. A conflict means that another owner has written: ErrFenced.
func (l *Ledger) Save(ctx context.Context, f Fence, e Entry, job model.Job) (Entry, error) {
	txn := table.Txn{Checks: []table.Check{f.check()}}
	put := table.Put{Old: e.Row, Body: job}
	if job.State.Final() {
		put.Old = table.Row{Key: doneKey(job.Cell, job.ID)}
		txn.Dels = []table.Row{e.Row}
	}
	txn.Puts = []table.Put{put}
	version, err := l.Table.Commit(ctx, txn)
	if errors.Is(err, table.ErrConflict) {
		return e, fmt.Errorf("%w: %w", ErrFenced, err)
	}
	if err != nil {
		return e, writeError(err)
	}
	if version == 0 {
		return e, fmt.Errorf("job %q was written again by another: %w", job.ID, ErrFenced)
	}
	return Entry{Job: job, Row: put.After(version)}, nil
}

// Open reads one page of up to limit open jobs of a cell, in key order after the given
// row key, and reports whether more follow.
func (l *Ledger) Open(ctx context.Context, cell, after string, limit int) (entries []Entry, more bool, err error) {
	rows, more, err := l.Table.Range(ctx, openKey(cell, ""), after, limit)
	if err != nil {
		return nil, false, readError(err)
	}
	for _, r := range rows {
		e, err := decode(r)
		if err != nil {
			return nil, false, err
		}
		entries = append(entries, e)
	}
	return entries, more, nil
}

// Purge reads up to limit ended jobs of a cell, deletes those that ended before
// beforeMs together with their keys, and returns how many it deleted.
func (l *Ledger) Purge(ctx context.Context, f Fence, beforeMs int64, limit int) (int, error) {
	rows, _, err := l.Table.Range(ctx, doneKey(f.Cell, ""), "", limit)
	if err != nil {
		return 0, readError(err)
	}
	n := 0
	for _, r := range rows {
		e, err := decode(r)
		if err != nil {
			return n, err
		}
		if e.Job.EndedMs >= beforeMs {
			continue
		}
		if err := l.purgeOne(ctx, f, e); err != nil {
			return n, err
		}
		n++
	}
	return n, nil
}

// purgeRecord is the row that counts a cell's purged jobs.
type purgeRecord struct {
	Count int   `json:"count"`
	AtMs  int64 `json:"at_ms"`
}

func (l *Ledger) purgeOne(ctx context.Context, f Fence, e Entry) error {
	purgeKey := "purge/" + f.Cell
	rows, err := l.Table.Get(ctx, idempotencyRowKey(e.Job.Spec), purgeKey)
	if err != nil {
		return readError(err)
	}
	var p purgeRecord
	if rows[1].Version != table.Absent {
		if err := rows[1].Decode(&p); err != nil {
			return readError(err)
		}
	}
	p.Count++
	p.AtMs = e.Job.EndedMs
	_, err = l.Table.Commit(ctx, table.Txn{
		Checks: []table.Check{f.check()},
		Puts:   []table.Put{{Old: rows[1], Body: p}},
		Dels:   []table.Row{e.Row, rows[0]},
	})
	if err != nil {
		return writeError(err)
	}
	return nil
}

func readError(err error) error {
	return fmt.Errorf("%w: %w", ErrUnavailable, err)
}

func writeError(err error) error {
	switch {
	case errors.Is(err, table.ErrOutcomeUnknown):
		return fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
	case errors.Is(err, table.ErrConflict):
		return fmt.Errorf("%w: %w", ErrFenced, err)
	}
	return fmt.Errorf("%w: %w", ErrUnavailable, err)
}
