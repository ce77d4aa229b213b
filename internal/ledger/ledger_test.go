package ledger

import (
	"context"
	"errors"
	"fmt"
	"testing"

	"github.com/matryer/is"

	"greengageline/internal/fakes"
	"greengageline/internal/table"
	"greengageline/internal/wire"
	"greengageline/pkg/model"
)

const cell = "viti"

// newLedger returns a ledger on the fake platform p and the fence of a first owner.
func newLedger(t *testing.T, p *fakes.Platform) (*Ledger, Fence) {
	t.Helper()
	send := func(_ context.Context, _, method, path string, body []byte) (int, []byte, error) {
		status, answer := p.Handle(method, path, body)
		if status == 0 {
			return 0, nil, wire.ErrNoAnswer
		}
		return status, answer, nil
	}
	l := &Ledger{Table: &table.Table{Wire: &wire.Client{Send: send}}}
	return l, takeOver(t, l, table.Row{Key: OwnershipKey(cell)})
}

func takeOver(t *testing.T, l *Ledger, old table.Row) Fence {
	t.Helper()
	version, err := l.Table.Commit(context.Background(), table.Txn{Puts: []table.Put{{Old: old, Body: "owner"}}})
	if err != nil {
		t.Fatal(err)
	}
	return Fence{Cell: cell, Version: version}
}

func newJob(key string, payload string) model.Job {
	return model.Job{
		ID: model.JobID(cell, "id-"+key+payload), Cell: cell, State: model.Accepted,
		Spec: model.JobSpec{
			Workspace: "proofs", Key: key, Shape: model.Shape{Tasks: 1, Each: 1}, EstimateMs: 1, Payload: []byte(payload),
		},
	}
}

func TestAcceptIsIdempotentPerKey(t *testing.T) {
	faults := map[string]fakes.Fault{
		"healthy":           {},
		"answer lost":       {LoseNext: 1},
		"every answer lost": {LoseEvery: 2},
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := &fakes.Platform{}
			l, f := newLedger(t, p)
			p.SetFault(fault)
			ctx := context.Background()
			first, repeated, err := l.Accept(ctx, f, newJob("k", ""))
			is.NoErr(err)
			is.True(!repeated)
			other := newJob("k", "")
			other.ID = model.JobID(cell, "another")
			again, repeated, err := l.Accept(ctx, f, other)
			is.NoErr(err)
			is.True(repeated)
			is.Equal(again.Job.ID, first.Job.ID) // the same key is the same job
			_, _, err = l.Accept(ctx, f, newJob("k", "different"))
			is.True(errors.Is(err, ErrKeyReused))
		})
	}
}

func TestFormerOwnerIsFenced(t *testing.T) {
	is := is.New(t)
	l, old := newLedger(t, &fakes.Platform{})
	ctx := context.Background()
	e, _, err := l.Accept(ctx, old, newJob("k", ""))
	is.NoErr(err)
	rows, err := l.Table.Get(ctx, OwnershipKey(cell))
	is.NoErr(err)
	takeOver(t, l, rows[0])
	_, err = l.Save(ctx, old, e, e.Job.WithState(model.Done, 1, ""))
	is.True(errors.Is(err, ErrFenced))
	_, _, err = l.Accept(ctx, old, newJob("k2", ""))
	is.True(errors.Is(err, ErrFenced))
	now, err := l.Load(ctx, e.Job.ID)
	is.NoErr(err)
	is.Equal(now.Job.State, model.Accepted)
}

func TestEndedJobsAreMovedAndPurged(t *testing.T) {
	is := is.New(t)
	p := &fakes.Platform{}
	l, f := newLedger(t, p)
	ctx := context.Background()
	for i := range 3 {
		e, _, err := l.Accept(ctx, f, newJob(fmt.Sprint("k", i), ""))
		is.NoErr(err)
		if i == 0 {
			continue
		}
		p.SetFault(fakes.Fault{LoseNext: 1}) // the answer to the end is lost
		_, err = l.Save(ctx, f, e, e.Job.WithState(model.Done, int64(i*100), ""))
		is.NoErr(err)
	}
	open, more, err := l.Open(ctx, cell, "", 10)
	is.NoErr(err)
	is.True(!more)
	is.Equal(len(open), 1)
	n, err := l.Purge(ctx, f, 150, 10)
	is.NoErr(err)
	is.Equal(n, 1) // only k1 ended before 150 ms
	_, err = l.ByKey(ctx, newJob("k1", "").Spec)
	is.True(errors.Is(err, ErrAbsent)) // its key was deleted with it
	_, err = l.ByKey(ctx, newJob("k2", "").Spec)
	is.NoErr(err)
}

func TestCallIsBegunOnce(t *testing.T) {
	is := is.New(t)
	l, _ := newLedger(t, &fakes.Platform{})
	ctx := context.Background()
	s := model.RequestSpec{Workspace: "proofs", Key: "visit"}
	e, repeated, err := l.BeginCall(ctx, s, 1)
	is.NoErr(err)
	is.True(!repeated)
	_, repeated, err = l.BeginCall(ctx, s, 2)
	is.NoErr(err)
	is.True(repeated) // already sent: must not be sent again
	is.NoErr(l.EndCall(ctx, e, Call{State: CallDidNotRun}))
	_, repeated, err = l.BeginCall(ctx, s, 3)
	is.NoErr(err)
	is.True(!repeated) // it certainly did not run, so it may begin again
	s.Payload = []byte("other")
	_, _, err = l.BeginCall(ctx, s, 4)
	is.True(errors.Is(err, ErrKeyReused))
}
