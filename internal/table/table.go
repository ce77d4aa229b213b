package table

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"greengageline/internal/wire"
)

var (
	// ErrConflict means that a precondition did not hold: nothing was written.
	ErrConflict = errors.New("table precondition failed")
	// ErrUnknown means that the outcome could not be settled in time.
	ErrUnknown = errors.New("table outcome not known")
	// ErrDown means that the table refused or could not be reached: nothing was written.
	ErrDown = errors.New("table unavailable")
	// ErrCorrupt means that a row could not be decoded.
	ErrCorrupt = errors.New("table row corrupt")
)

// keptTxns is how many transaction ids a row remembers, so that a read-back
// finds an id even when later writers came between.
const keptTxns = 8

const (
	settlePauseMin = 20 * time.Millisecond
	settlePauseMax = 500 * time.Millisecond
)

// Absent is the version of a row that does not exist.
const Absent uint64 = 0

// After returns the row as it is once p has been committed at version.
func (p Put) After(version uint64) Row {
	return Row{Key: p.Old.Key, Version: version, txns: p.Old.txns}
}

// Row is a stored value with the version that preconditions compare.
type Row struct {
	Key     string
	Version uint64
	Body    json.RawMessage
	txns    []string
}

// Decode decodes the row's body into out.
func (r Row) Decode(out any) error {
	if err := json.Unmarshal(r.Body, out); err != nil {
		return fmt.Errorf("row %q: %w: %w", r.Key, ErrCorrupt, err)
	}
	return nil
}

// Check is a precondition: the row at Key still has Version.
type Check struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
}

// Put writes Body over Old; Old is the zero Row with its Key for a new one.
type Put struct {
	Old  Row
	Body any
}

// Txn is one transaction: all puts happen if all checks hold and no row to be
// written has changed, else none.
type Txn struct {
	Checks []Check
	// Puts must not be empty: the first one settles a lost answer.
	Puts []Put
	Dels []Row
}

type envelope struct {
	Txns []string        `json:"t"`
	Body json.RawMessage `json:"b"`
}

type wireRow struct {
	Key     string          `json:"key"`
	Version uint64          `json:"version"`
	Value   json.RawMessage `json:"value"`
}

type wireWrite struct {
	Key    string    `json:"key"`
	Value  *envelope `json:"value,omitempty"`
	Delete bool      `json:"delete,omitempty"`
}

type wireTxn struct {
	ID     string      `json:"id"`
	Checks []Check     `json:"checks"`
	Writes []wireWrite `json:"writes"`
}

type txnReply struct {
	Version uint64 `json:"version"`
}

type rowsReply struct {
	Rows []wireRow `json:"rows"`
	More bool      `json:"more"`
}

// Stats counts what one process asked of the table.
type Stats struct {
	Reads, Writes, Unknowns, Settled atomic.Int64
}

// Table is a client of the table service; set Wire before use.
type Table struct {
	Wire *wire.Client
	// Observe, if set, is told how long each operation took and how it ended.
	Observe func(op string, took time.Duration, err error)
	Stats   Stats
}

// Get reads the rows at keys; an absent key yields a Row with version Absent.
func (t *Table) Get(ctx context.Context, keys ...string) ([]Row, error) {
	started := time.Now()
	var reply rowsReply
	err := t.Wire.Post(ctx, "/table/get", map[string][]string{"keys": keys}, &reply)
	t.Stats.Reads.Add(1)
	t.observe("get", started, err)
	if err != nil {
		return nil, readError(err)
	}
	return arrange(keys, reply.Rows)
}

func arrange(keys []string, found []wireRow) ([]Row, error) {
	rows := make([]Row, len(keys))
	for i, key := range keys {
		rows[i].Key = key
		at := slices.IndexFunc(found, func(r wireRow) bool { return r.Key == key })
		if at < 0 {
			continue
		}
		row, err := found[at].row()
		if err != nil {
			return nil, err
		}
		rows[i] = row
	}
	return rows, nil
}

func (r wireRow) row() (Row, error) {
	var e envelope
	if err := json.Unmarshal(r.Value, &e); err != nil {
		return Row{}, fmt.Errorf("row %q: %w: %w", r.Key, ErrCorrupt, err)
	}
	return Row{Key: r.Key, Version: r.Version, Body: e.Body, txns: e.Txns}, nil
}

// Range reads up to limit rows whose keys start with prefix and come after the
// key after, and reports whether more follow.
func (t *Table) Range(ctx context.Context, prefix, after string, limit int) ([]Row, bool, error) {
	started := time.Now()
	query := url.Values{"prefix": {prefix}, "after": {after}, "limit": {strconv.Itoa(limit)}}
	var reply rowsReply
	err := t.Wire.Get(ctx, "/table/range?"+query.Encode(), &reply)
	t.Stats.Reads.Add(1)
	t.observe("range", started, err)
	if err != nil {
		return nil, false, readError(err)
	}
	rows := make([]Row, 0, len(reply.Rows))
	for _, r := range reply.Rows {
		row, err := r.row()
		if err != nil {
			return nil, false, err
		}
		rows = append(rows, row)
	}
	return rows, reply.More, nil
}

func readError(err error) error {
	return fmt.Errorf("%w: %w", ErrDown, err)
}

// Commit runs the transaction and returns the version that its rows now have,
// or 0 if a later writer has already replaced them. Its error wraps
// ErrConflict, ErrDown or ErrUnknown.
func (t *Table) Commit(ctx context.Context, txn Txn) (uint64, error) {
	w, err := encode(txn)
	if err != nil {
		return 0, err
	}
	version, err := t.send(ctx, w)
	if err == nil || !errors.Is(err, ErrUnknown) {
		return version, err
	}
	t.Stats.Unknowns.Add(1)
	return t.settle(ctx, txn, w, err)
}

func encode(txn Txn) (wireTxn, error) {
	w := wireTxn{ID: uuid.NewString(), Checks: slices.Clone(txn.Checks)}
	if len(txn.Puts) == 0 {
		return w, fmt.Errorf("transaction without a put: %w", ErrDown)
	}
	for _, p := range txn.Puts {
		body, err := json.Marshal(p.Body)
		if err != nil {
			return w, fmt.Errorf("encode row %q: %w: %w", p.Old.Key, ErrDown, err)
		}
		txns := append([]string{w.ID}, p.Old.txns...)
		if len(txns) > keptTxns {
			txns = txns[:keptTxns]
		}
		w.Checks = append(w.Checks, Check{Key: p.Old.Key, Version: p.Old.Version})
		w.Writes = append(w.Writes, wireWrite{Key: p.Old.Key, Value: &envelope{Txns: txns, Body: body}})
	}
	for _, r := range txn.Dels {
		w.Checks = append(w.Checks, Check{Key: r.Key, Version: r.Version})
		w.Writes = append(w.Writes, wireWrite{Key: r.Key, Delete: true})
	}
	return w, nil
}

func (t *Table) send(ctx context.Context, w wireTxn) (uint64, error) {
	started := time.Now()
	var reply txnReply
	err := t.Wire.Post(ctx, "/table/txn", w, &reply)
	t.Stats.Writes.Add(int64(len(w.Writes)))
	err = sendError(err)
	t.observe("txn", started, err)
	return reply.Version, err
}

func sendError(err error) error {
	if err == nil {
		return nil
	}
	var status *wire.StatusError
	switch {
	case errors.As(err, &status) && status.Status == http.StatusConflict:
		return fmt.Errorf("%w: %s", ErrConflict, status.Body)
	case errors.Is(err, wire.ErrNotSent):
		return fmt.Errorf("%w: %w", ErrDown, err)
	}
	return fmt.Errorf("%w: %w", ErrUnknown, err)
}

// settle finds out whether a transaction whose answer was lost took effect.
// Sending it again is safe: its preconditions let it take effect only once.
func (t *Table) settle(ctx context.Context, txn Txn, w wireTxn, cause error) (uint64, error) {
	key := w.Writes[0].Key
	for pause := settlePauseMin; ; pause = min(2*pause, settlePauseMax) {
		if err := sleep(ctx, pause/2+rand.N(pause/2)); err != nil {
			return 0, cause
		}
		rows, err := t.Get(ctx, key)
		if err != nil {
			continue
		}
		row := rows[0]
		if slices.Contains(row.txns, w.ID) {
			t.Stats.Settled.Add(1)
			return newest(row, w.ID), nil
		}
		if row.Version != txn.Puts[0].Old.Version {
			t.Stats.Settled.Add(1)
			return 0, overtaken(row, txn.Puts[0].Old)
		}
		version, err := t.send(ctx, w)
		if err == nil {
			return version, nil
		}
		if errors.Is(err, ErrConflict) {
			return t.settleConflict(ctx, w, err)
		}
	}
}

// settleConflict handles a repeat that failed its preconditions: either the
// first sending took effect meanwhile, or another writer came first.
func (t *Table) settleConflict(ctx context.Context, w wireTxn, conflict error) (uint64, error) {
	for {
		rows, err := t.Get(ctx, w.Writes[0].Key)
		if err == nil {
			t.Stats.Settled.Add(1)
			if slices.Contains(rows[0].txns, w.ID) {
				return newest(rows[0], w.ID), nil
			}
			return 0, conflict
		}
		if sleepErr := sleep(ctx, settlePauseMin); sleepErr != nil {
			return 0, fmt.Errorf("%w: %w", ErrUnknown, err)
		}
	}
}

func newest(row Row, id string) uint64 {
	if row.txns[0] == id {
		return row.Version
	}
	return 0
}

// overtaken tells a lost race from a row that was rewritten so often that the
// id may have dropped out of its list.
func overtaken(now, old Row) error {
	if len(now.txns) < keptTxns {
		return fmt.Errorf("%w: row %q was written by another", ErrConflict, now.Key)
	}
	if len(old.txns) > 0 && slices.Contains(now.txns, old.txns[0]) {
		return fmt.Errorf("%w: row %q was written by another", ErrConflict, now.Key)
	}
	return fmt.Errorf("%w: row %q was rewritten too often", ErrUnknown, now.Key)
}

func (t *Table) observe(op string, started time.Time, err error) {
	if t.Observe != nil {
		t.Observe(op, time.Since(started), err)
	}
}

func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
