package ledger

import (
	"context"
	"errors"

	"github.com/cespare/xxhash/v2"

	"greengageline/internal/table"
	"greengageline/pkg/model"
)

// CallState is the state of a non-idempotent request.
type CallState string

// The states of a call. It is stored as sent before it is passed to a target. It ends
// as done, or as did-not-run if every target refused it and certainly did not run it.
const (
	CallSent      CallState = "sent"
	CallDone      CallState = "done"
	CallDidNotRun CallState = "did-not-run"
)

// Call is the stored state of a non-idempotent request.
type Call struct {
	State  CallState     `json:"state"`
	Hash   uint64        `json:"hash"`
	Target string        `json:"target,omitempty"`
	Answer *model.Answer `json:"answer,omitempty"`
	AtMs   int64         `json:"at_ms"`
}

// CallEntry is a call with the row that stores it.
type CallEntry struct {
	Call Call
	Row  table.Row
}

func callKey(s model.RequestSpec) string { return "call/" + s.Workspace + "/" + s.Key }

// BeginCall makes a non-idempotent request durable before it is sent. If its key is
// already stored, it returns the stored call and repeated is true, except that a call
// that certainly did not run begins again. It returns ErrKeyReused if the key was used
// with a different payload.
func (l *Ledger) BeginCall(ctx context.Context, s model.RequestSpec, atMs int64) (e CallEntry, repeated bool, err error) {
	call := Call{State: CallSent, Hash: hashCall(s), AtMs: atMs}
	e, err = l.putCall(ctx, table.Row{Key: callKey(s)}, call)
	if !errors.Is(err, table.ErrConflict) {
		return e, false, callError(err)
	}
	rows, err := l.Table.Get(ctx, callKey(s))
	if err != nil {
		return e, false, readError(err)
	}
	if err := rows[0].Decode(&e.Call); err != nil {
		return e, false, readError(err)
	}
	e.Row = rows[0]
	if e.Call.Hash != call.Hash {
		return e, true, ErrKeyReused
	}
	if e.Call.State != CallDidNotRun {
		return e, true, nil
	}
	e, err = l.putCall(ctx, rows[0], call)
	return e, false, callError(err)
}

func hashCall(s model.RequestSpec) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(s.Workspace + "\x00" + s.Key + "\x00")
	_, _ = d.Write(s.Payload)
	return d.Sum64()
}

// EndCall stores how a call ended.
func (l *Ledger) EndCall(ctx context.Context, e CallEntry, call Call) error {
	call.Hash = e.Call.Hash
	_, err := l.putCall(ctx, e.Row, call)
	return callError(err)
}

func (l *Ledger) putCall(ctx context.Context, old table.Row, call Call) (CallEntry, error) {
	put := table.Put{Old: old, Body: call}
	version, err := l.Table.Commit(ctx, table.Txn{Puts: []table.Put{put}})
	return CallEntry{Call: call, Row: put.After(version)}, err
}

func callError(err error) error {
	if err == nil {
		return nil
	}
	return writeError(err)
}
