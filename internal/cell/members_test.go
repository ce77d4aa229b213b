package cell

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"greengageline/internal/wire"
	"greengageline/internal/worker"
	"greengageline/pkg/model"
)

// Pattern: a worker that can't tell the outcome of a task answers each query at once, and each answer
// evaluates the job anew, as does each check of the time limits.
func TestUnresolvedMembersAreQueriedAtIntervals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var asked atomic.Int32
		o := &Owner{
			ctx: context.Background(), inbox: make(chan message, 1024),
			host: &Host{Workers: &worker.Pool{Send: func(context.Context, string, string, string, []byte) (int, []byte, error) {
				asked.Add(1)
				return 0, nil, wire.ErrNoAnswer
			}}},
		}
		j := &openJob{members: []member{
			{Member: model.Member{Worker: "w1", Addr: "w1:1"}, phase: model.PhaseLapsed, mayHaveRun: true},
			{Member: model.Member{Worker: "w2", Addr: "w2:1"}, phase: model.PhaseDone, mayHaveRun: true, reported: true},
		}}
		const seconds = 10
		for range seconds * 20 {
			o.queryUnresolved(j)
			time.Sleep(50 * time.Millisecond)
		}
		synctest.Wait()
		is.New(t).Equal(int(asked.Load()), seconds) // one query a second, to the unresolved member only
	})
}
