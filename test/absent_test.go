package test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"greengageline/internal/cell"
	"greengageline/pkg/model"
)

// runSim runs f in a synctest bubble with a simulated cluster of three nodes and four workers.
func runSim(t *testing.T, f func(*simCluster)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		sim := newSimCluster(t, 3, 4, 1)
		defer time.Sleep(2 * time.Second) // until the last late reply was delivered
		defer sim.close()
		f(sim)
	})
}

// otherThan returns a node of the cluster that is not n.
func (sim *simCluster) otherThan(n *simNode) *simNode {
	if sim.nodes[0] != n {
		return sim.nodes[0]
	}
	return sim.nodes[1]
}

// submitTo submits a job through n and fails the test if it is not accepted.
func (sim *simCluster) submitTo(n *simNode, spec model.JobSpec) model.Job {
	sim.t.Helper()
	j, err := n.Submit(context.Background(), spec)
	if err != nil {
		sim.t.Fatalf("submit %s: %v", spec.Key, err)
	}
	return j
}

// Pattern: the table answers nobody for a while. A job that has ended is known to the table alone, so
// no node may say that it does not exist.
func TestEndedJobIsNotAbsentWhileTableFails(t *testing.T) {
	cases := map[string]struct {
		fault linkFault
		ask   func(ctx context.Context, n *simNode, id string) error
	}{
		"state, refused": {linkRefuses, func(ctx context.Context, n *simNode, id string) error {
			_, err := n.Job(ctx, id, false)
			return err
		}},
		"state, silent": {linkDropsAll, func(ctx context.Context, n *simNode, id string) error {
			_, err := n.Job(ctx, id, false)
			return err
		}},
		"cancel, refused": {linkRefuses, func(ctx context.Context, n *simNode, id string) error {
			_, err := n.Cancel(ctx, id)
			return err
		}},
		"answer, refused": {linkRefuses, func(ctx context.Context, n *simNode, id string) error {
			_, err := n.Answer(ctx, id, noLimit)
			return err
		}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			runSim(t, func(sim *simCluster) {
				is := is.New(sim.t)
				owner := sim.awaitOwner()
				job := sim.submitTo(owner, jobSpec("routes", "ended", 1, 1, true, 10, ""))
				done, err := owner.Job(context.Background(), job.ID, true)
				is.NoErr(err)
				is.Equal(done.State, model.Done)
				other := sim.otherThan(owner)
				for _, n := range []*simNode{owner, other} {
					sim.setLinkFault(n.name, platformAddr, tc.fault, time.Second)
				}
				for _, n := range []*simNode{owner, other} {
					ctx, cancel := context.WithTimeout(context.Background(), 400*time.Millisecond)
					err := tc.ask(ctx, n, job.ID)
					cancel()
					is.True(err != nil)
					is.True(!errors.Is(err, cell.ErrAbsent)) // only a read of the table shows that a job does not exist
					is.True(errors.Is(err, cell.ErrNotReady) || errors.Is(err, cell.ErrOutcomeUnknown))
				}
				time.Sleep(2 * time.Second)
				found, err := other.Job(context.Background(), job.ID, false)
				is.NoErr(err)
				is.Equal(found.State, model.Done)
			})
		})
	}
}

// A read of the table that succeeds and shows no job is what makes a job absent.
func TestUnknownJobIsAbsentAfterRead(t *testing.T) {
	runSim(t, func(sim *simCluster) {
		is := is.New(sim.t)
		for _, n := range []*simNode{sim.awaitOwner(), sim.otherThan(sim.awaitOwner())} {
			_, err := n.Job(context.Background(), "viti.0199-none", false)
			is.True(errors.Is(err, cell.ErrAbsent))
		}
	})
}

// Pattern: the answer to a cancellation is lost, and the retry does not reach the owner. The
// cancellation was carried out, so the caller must not hear that it had no effect.
func TestCancelWithLostAnswerIsUnknown(t *testing.T) {
	runSim(t, func(sim *simCluster) {
		is := is.New(sim.t)
		owner := sim.awaitOwner()
		other := sim.otherThan(owner)
		job := sim.submitTo(owner, jobSpec("routes", "long", 1, 1, true, 60_000, ""))
		sim.setLinkFault(other.name, owner.name, linkDropsReplies, 30*time.Second)
		wait := other.Settings.AnswerWait
		time.AfterFunc(wait/4, func() { sim.setLinkFault(other.name, owner.name, linkRefuses, 30*time.Second) })
		ctx, cancel := context.WithTimeout(context.Background(), wait)
		defer cancel()
		_, err := other.Cancel(ctx, job.ID)
		is.True(errors.Is(err, cell.ErrOutcomeUnknown))
	})
}

// Pattern: the owner's loop is held up when a cancellation comes, and carries it out after its caller
// has stopped waiting.
func TestCancelOfBusyOwnerIsUnknown(t *testing.T) {
	runSim(t, func(sim *simCluster) {
		is := is.New(sim.t)
		owner := sim.awaitOwner()
		job := sim.submitTo(owner, jobSpec("routes", "long", 1, 1, true, 60_000, ""))
		var once sync.Once
		held := make(chan struct{})
		sim.mu.Lock()
		sim.onStep = func(_ string, step cell.Step, id string) {
			if step == cell.StepRun && id != job.ID {
				once.Do(func() {
					close(held)
					time.Sleep(time.Second)
				})
			}
		}
		sim.mu.Unlock()
		sim.submitTo(owner, jobSpec("routes", "second", 1, 1, true, 1_000, ""))
		<-held
		ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
		defer cancel()
		_, err := owner.Cancel(ctx, job.ID)
		is.True(errors.Is(err, cell.ErrOutcomeUnknown))
		time.Sleep(5 * time.Second)
		found, err := owner.Job(context.Background(), job.ID, false)
		is.NoErr(err)
		is.Equal(found.State, model.Cancelled) // it was carried out
	})
}

// Pattern: the owner is cut off, and the table still names it. A caller of another node hears at once
// that nothing was done, instead of waiting for a node that is known to be silent.
func TestSuspectedOwnerIsNotAsked(t *testing.T) {
	runSim(t, func(sim *simCluster) {
		is := is.New(sim.t)
		owner := sim.awaitOwner()
		other := sim.otherThan(owner)
		sim.setLinkFault(other.name, owner.name, linkDropsAll, 30*time.Second)
		time.Sleep(10 * time.Second) // three heartbeats fail
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_, err := other.Submit(ctx, jobSpec("routes", "cut", 1, 1, false, 10, ""))
		is.True(errors.Is(err, cell.ErrNotOwner))
		is.True(!errors.Is(err, cell.ErrOutcomeUnknown)) // nothing was sent to the silent node
	})
}
