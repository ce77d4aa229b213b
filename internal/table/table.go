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
	// ErrOutcomeUnknown means that the outcome could not be found out in time.
	ErrOutcomeUnknown = errors.New("table outcome not known")
	// ErrDown means that the table refused or could not be reached: nothing was written.
	ErrDown = errors.New("table unavailable")
	// ErrCorrupt means that a row could not be decoded.
	ErrCorrupt = errors.New("table row corrupt")
)

// maxRowTxnIDs is how many ids of its last transactions a row stores, so that a
// read-back finds an id even if later transactions have rewritten the row.
const maxRowTxnIDs = 8

const (
	settlePauseMin = 20 * time.Millisecond
	settlePauseMax = 500 * time.Millisecond
)

// Absent is the version of a row that does not exist.
const Absent uint64 = 0

// After returns the row as stored once p has been committed at version, without its
// body.
func (p Put) After(version uint64) Row {
	return Row{Key: p.Old.Key, Version: version, txnIDs: p.Old.txnIDs}
}

// Row is a stored value with the version that preconditions compare. A row that does
// not exist has the version Absent.
type Row struct {
	Key     string
	Version uint64
	Body    json.RawMessage
	txnIDs  []string
}

// Decode decodes the row's body into out; its error wraps ErrCorrupt.
func (r Row) Decode(out any) error {
	if err := json.Unmarshal(r.Body, out); err != nil {
		return fmt.Errorf("row %q: %w: %w", r.Key, ErrCorrupt, err)
	}
	return nil
}

// Check is the precondition that the row at Key still has Version.
type Check struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
}

// Put replaces Old by Body, encoded as JSON. For a new row, Old has only its Key set.
type Put struct {
	Old  Row
	Body any
}

// Txn is one transaction. If all checks hold and no row to be written has changed, all
// puts and deletions take effect, else none.
type Txn struct {
	Checks []Check
	// Puts must not be empty: if the answer is lost, the row of the first put shows
	// whether the transaction took effect.
	Puts []Put
	Dels []Row
}

// envelope is a row's value as stored: the body with the ids of the last transactions
// that wrote the row, newest first.
type envelope struct {
	TxnIDs []string        `json:"t"`
	Body   json.RawMessage `json:"b"`
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

// Stats counts the reads and written rows of one Table, the transactions whose answer
// was lost, and how many of these were settled.
type Stats struct {
	Reads, Writes, Unknowns, Settled atomic.Int64
}

// Table is a client of the table service. Set Wire before use; its methods may be
// called concurrently.
type Table struct {
	Wire *wire.Client
	// Observe, if set, is called with the duration and the error of each operation.
	Observe func(op string, took time.Duration, err error)
	Stats   Stats
}

// Get reads the rows at keys and returns them in the order of keys. A missing row has
// the version Absent. The error wraps ErrDown or ErrCorrupt.
func (t *Table) Get(ctx context.Context, keys ...string) ([]Row, error) {
	started := time.Now()
	var reply rowsReply
	err := t.Wire.Post(ctx, "/table/get", map[string][]string{"keys": keys}, &reply)
	t.Stats.Reads.Add(1)
	t.observe("get", started, err)
	if err != nil {
		return nil, readError(err)
	}
	return rowsInKeyOrder(keys, reply.Rows)
}

func rowsInKeyOrder(keys []string, found []wireRow) ([]Row, error) {
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
	return Row{Key: r.Key, Version: r.Version, Body: e.Body, txnIDs: e.TxnIDs}, nil
}

// Range reads up to limit rows whose keys start with prefix and sort after the key
// after, and reports whether more follow. The error wraps ErrDown or ErrCorrupt.
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

// Commit runs the transaction and returns the new version of its rows, or 0 if a later
// writer has already replaced the first of them. Its error wraps ErrConflict, ErrDown
// or ErrOutcomeUnknown.
func (t *Table) Commit(ctx context.Context, txn Txn) (uint64, error) {
	w, err := encode(txn)
	if err != nil {
		return 0, err
	}
	version, err := t.send(ctx, w)
	if err == nil || !errors.Is(err, ErrOutcomeUnknown) {
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
		txnIDs := append([]string{w.ID}, p.Old.txnIDs...)
		if len(txnIDs) > maxRowTxnIDs {
			txnIDs = txnIDs[:maxRowTxnIDs]
		}
		w.Checks = append(w.Checks, Check{Key: p.Old.Key, Version: p.Old.Version})
		w.Writes = append(w.Writes, wireWrite{Key: p.Old.Key, Value: &envelope{TxnIDs: txnIDs, Body: body}})
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
	return fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
}

// settle finds out whether a transaction whose answer was lost took effect, and sends it
// again if it did not. Sending it again is safe because its preconditions allow it to
// take effect only once.
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
		if slices.Contains(row.txnIDs, w.ID) {
			t.Stats.Settled.Add(1)
			return versionIfNewest(row, w.ID), nil
		}
		if row.Version != txn.Puts[0].Old.Version {
			t.Stats.Settled.Add(1)
			return 0, overwrittenError(row, txn.Puts[0].Old)
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

// settleConflict handles a repeated transaction that failed its preconditions: either an
// earlier sending of it took effect meanwhile, or another writer changed a row first.
func (t *Table) settleConflict(ctx context.Context, w wireTxn, conflict error) (uint64, error) {
	for {
		rows, err := t.Get(ctx, w.Writes[0].Key)
		if err == nil {
			t.Stats.Settled.Add(1)
			if slices.Contains(rows[0].txnIDs, w.ID) {
				return versionIfNewest(rows[0], w.ID), nil
			}
			return 0, conflict
		}
		if sleepErr := sleep(ctx, settlePauseMin); sleepErr != nil {
			return 0, fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
		}
	}
}

// versionIfNewest returns the row's version if transaction id wrote it last, else 0.
func versionIfNewest(row Row, id string) uint64 {
	if row.txnIDs[0] == id {
		return row.Version
	}
	return 0
}

// overwrittenError returns the error for a row that no longer has its old version and
// does not list the transaction's id: ErrConflict if another writer came first, or
// ErrOutcomeUnknown if the row was rewritten so often that the id may have been dropped from
// its list.
func overwrittenError(now, old Row) error {
	if len(now.txnIDs) < maxRowTxnIDs {
		return fmt.Errorf("%w: row %q was written by another", ErrConflict, now.Key)
	}
	if len(old.txnIDs) > 0 && slices.Contains(now.txnIDs, old.txnIDs[0]) {
		return fmt.Errorf("%w: row %q was written by another", ErrConflict, now.Key)
	}
	return fmt.Errorf("%w: row %q was rewritten too often", ErrOutcomeUnknown, now.Key)
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
