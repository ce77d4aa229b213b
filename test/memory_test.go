package test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/samber/lo"

	"greengageline/internal/cell"
	"greengageline/internal/fakes"
	"greengageline/pkg/model"
)

// Pattern: a workspace submits large jobs without end. Guards against an owner that runs out of memory, against a refusal of a
// job that was accepted before, and against memory that stays counted after the jobs have ended.
func TestJobsAreRefusedWithoutMemory(t *testing.T) {
	const limit = 1 << 20
	payload := lo.Must(json.Marshal(fakes.Work{RunMs: 5000, Answer: strings.Repeat("x", 30_000)}))
	job := func(workspace, key string, payload []byte) model.JobSpec {
		return model.JobSpec{Workspace: workspace, Key: key, Shape: model.Shape{Tasks: 1, Each: 1}, EstimateMs: 5000, Idempotent: true, Payload: payload}
	}
	runSim(t, func(sim *simCluster) {
		is := is.New(t)
		time.Sleep(5 * time.Second)
		for _, n := range sim.nodes {
			n.Host.State.Limit = limit
		}
		used := func() int64 { return lo.SumBy(sim.nodes, func(n *simNode) int64 { return n.Host.State.Used() }) }
		n := sim.nodes[0]
		var err error
		accepted := 0
		for ; err == nil && accepted < 100; accepted++ {
			_, err = n.Submit(context.Background(), job("routes", fmt.Sprintf("k%d", accepted), payload))
		}
		is.True(errors.Is(err, cell.ErrBusy))
		is.True(accepted > 5 && accepted < 20)
		is.True(used() > limit/4 && used() <= limit)
		sim.submitTo(n, job("routes", "k0", payload))   // it was accepted before
		sim.submitTo(n, job("proofs", "ordinary", nil)) // another workspace is served
		sim.submitTo(n, job("routes", "ordinary", nil)) // and so are ordinary jobs of the same
		time.Sleep(time.Minute)
		is.Equal(used(), int64(0))
		sim.submitTo(n, job("routes", "later", payload))
	})
}
