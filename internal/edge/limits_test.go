package edge

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"

	"greengageline/internal/leader"
	"greengageline/internal/rows"
	"greengageline/pkg/model"
)

// Guards against a path that no job can have, whose key the store refuses: the node would take the store for failing and
// refuse ordinary callers.
func TestPathThatNoJobHasIsNotStored(t *testing.T) {
	for name, id := range map[string]string{"long": strings.Repeat("x", 300), "empty": "", "of a cancellation": "a/x", "with spaces": "a b"} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				p := startPair(t)
				p.connected.Store(false)
				for _, op := range []Op{Cancel, State} {
					reply, err := p.edge.Serve(context.Background(), call(op, id))
					is.NoErr(err)
					is.True(!reply.Found && !reply.Look.Known)
				}
				is.Equal(len(p.store.find(func(r rows.Row) bool { return r.Table == leader.WorkTable }).Rows), 0)
				_, err := p.edge.Serve(context.Background(), call(Submit, "ordinary"))
				is.NoErr(err)
			})
		})
	}
}

// Pattern: a caller cancels jobs that do not exist, without end. Guards against an owner that keeps all of these.
func TestCancellationsOfUnknownJobsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := startPair(t, func(p *nodePair) {
			p.owner.Candidate.StateLimit, p.edge.Candidate.StateLimit = 64<<10, 64<<10
		})
		_, err := p.edge.Serve(context.Background(), call(Submit, "known"))
		is.NoErr(err)
		for i := 0; err == nil && i < 1000; i++ {
			_, err = p.edge.Serve(context.Background(), call(Cancel, fmt.Sprintf("j%d", i)))
		}
		is.True(errors.Is(err, ErrFull))
		reply, err := p.edge.Serve(context.Background(), call(Cancel, "known"))
		is.NoErr(err)
		is.True(reply.Found) // a job that exists can be cancelled
	})
}

// Guards against jobs that are accepted until the owner runs out of memory, and against a refusal of a job that an earlier
// request has stored.
func TestJobsAreRefusedWithoutMemoryForTheirState(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := startPair(t, func(p *nodePair) {
			p.owner.Candidate.StateLimit, p.edge.Candidate.StateLimit = 8<<20, 8<<20
		})
		submit := func(n *Node, id string, tasks int) error {
			c := call(Submit, id)
			c.Work.Steps = []model.Step{{Tasks: tasks}}
			_, err := n.Serve(context.Background(), c)
			return err
		}
		accepted := func(n *Node, prefix string) (count int, err error) {
			for ; err == nil && count < 100; count++ {
				err = submit(n, fmt.Sprintf("%s%d", prefix, count), 1000)
			}
			return count - 1, err
		}
		count, err := accepted(p.edge, "a")
		is.True(errors.Is(err, ErrFull))
		is.True(count >= 5 && count <= 11) // half of the limit, at 0.4 MB each, and one that the node accepts by itself
		is.NoErr(submit(p.edge, "a0", 1000))
		is.NoErr(submit(p.owner, "a0", 1000)) // it was stored before
		is.NoErr(submit(p.edge, "ordinary", 4))
		is.NoErr(submit(p.owner, "ordinary-too", 4))
		reply, err := p.edge.Serve(context.Background(), call(State, fmt.Sprintf("a%d", count)))
		is.NoErr(err)
		is.True(!reply.Look.Known) // what was refused was not stored

		p.connected.Store(false)
		count, err = accepted(p.edge, "b")
		is.True(errors.Is(err, ErrFull))
		is.Equal(count, 0) // without the owner the node accepts only small jobs
		is.NoErr(submit(p.edge, "ordinary-again", 4))
	})
}
