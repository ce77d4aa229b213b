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
	// ErrKeyReused means that the key belongs to a request with another content.
	ErrKeyReused = errors.New("key was used for a different request")
	// ErrAbsent means that there is no such job.
	ErrAbsent = errors.New("job does not exist")
	// ErrUnknown means that it is not known yet whether the write took effect.
	ErrUnknown = errors.New("outcome is not known yet")
	// ErrUnavailable means that nothing was written because the table can't be used.
	ErrUnavailable = errors.New("table can't be used now")
)

// Fence is the condition that the writer still owns the cell.
type Fence struct {
	Cell    string
	Version uint64
}

// FenceKey is the row that a takeover rewrites.
func FenceKey(cell string) string { return "cell/" + cell }

func (f Fence) check() table.Check {
	return table.Check{Key: FenceKey(f.Cell), Version: f.Version}
}

// Entry is a job with the row that holds it.
type Entry struct {
	Job model.Job
	Row table.Row
}

// keyRow binds an idempotency key to the job that it made.
type keyRow struct {
	Job  string `json:"job"`
	Hash uint64 `json:"hash"`
}

// Ledger reads and writes jobs.
type Ledger struct {
	Table *table.Table
}

func openKey(cell, id string) string { return "open/" + cell + "/" + id }
func doneKey(cell, id string) string { return "done/" + cell + "/" + id }
func keyKey(spec model.JobSpec) string {
	return "key/" + spec.Workspace + "/" + spec.Key
}

// HashSpec returns the xxhash64 of a request's content.
func HashSpec(spec model.JobSpec) uint64 {
	data, err := json.Marshal(spec)
	if err != nil {
		return 0
	}
	return xxhash.Sum64(data)
}

// Accept makes a job durable together with its key. If the key is known, it
// returns the job that the key belongs to and repeated is true.
func (l *Ledger) Accept(ctx context.Context, f Fence, job model.Job) (e Entry, repeated bool, err error) {
	put := table.Put{Old: table.Row{Key: openKey(job.Cell, job.ID)}, Body: job}
	key := keyRow{Job: job.ID, Hash: HashSpec(job.Spec)}
	version, err := l.Table.Commit(ctx, table.Txn{
		Checks: []table.Check{f.check()},
		Puts:   []table.Put{put, {Old: table.Row{Key: keyKey(job.Spec)}, Body: key}},
	})
	if err == nil {
		return l.current(ctx, job, put, version)
	}
	if !errors.Is(err, table.ErrConflict) {
		return Entry{}, false, writeError(err)
	}
	return l.acceptConflict(ctx, job.Spec, err)
}

// current returns the entry after a put, reading the row if its version is not
// known because the answer was lost and others wrote since.
func (l *Ledger) current(ctx context.Context, job model.Job, put table.Put, version uint64) (Entry, bool, error) {
	if version != 0 {
		return Entry{Job: job, Row: put.After(version)}, false, nil
	}
	e, err := l.Load(ctx, job.ID)
	return e, false, err
}

// acceptConflict tells a known key from a lost ownership.
func (l *Ledger) acceptConflict(ctx context.Context, spec model.JobSpec, conflict error) (Entry, bool, error) {
	e, err := l.ByKey(ctx, spec)
	if errors.Is(err, ErrAbsent) {
		return Entry{}, false, fmt.Errorf("%w: %w", ErrFenced, conflict)
	}
	return e, err == nil, err
}

// ByKey returns the job that was accepted under the spec's key; ErrKeyReused
// if that was another request, ErrAbsent if the key is free.
func (l *Ledger) ByKey(ctx context.Context, spec model.JobSpec) (Entry, error) {
	rows, err := l.Table.Get(ctx, keyKey(spec))
	if err != nil {
		return Entry{}, readError(err)
	}
	if rows[0].Version == table.Absent {
		return Entry{}, ErrAbsent
	}
	var k keyRow
	if err := rows[0].Decode(&k); err != nil {
		return Entry{}, readError(err)
	}
	if k.Hash != HashSpec(spec) {
		return Entry{}, fmt.Errorf("key %q of workspace %q: %w", spec.Key, spec.Workspace, ErrKeyReused)
	}
	return l.Load(ctx, k.Job)
}

// Load reads a job, open or ended.
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
	return e, nil
}

// Save writes the next state of an open job; a final one moves to the ended
// jobs. A conflict means that another owner wrote: ErrFenced.
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

// Open reads one page of a cell's open jobs after the given row key.
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

// Purge deletes up to limit ended jobs of a cell that ended before beforeMs,
// with their keys, and returns how many.
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

type purged struct {
	Count int   `json:"count"`
	AtMs  int64 `json:"at_ms"`
}

func (l *Ledger) purgeOne(ctx context.Context, f Fence, e Entry) error {
	mark := "purge/" + f.Cell
	rows, err := l.Table.Get(ctx, keyKey(e.Job.Spec), mark)
	if err != nil {
		return readError(err)
	}
	var p purged
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
	case errors.Is(err, table.ErrUnknown):
		return fmt.Errorf("%w: %w", ErrUnknown, err)
	case errors.Is(err, table.ErrConflict):
		return fmt.Errorf("%w: %w", ErrFenced, err)
	}
	return fmt.Errorf("%w: %w", ErrUnavailable, err)
}
