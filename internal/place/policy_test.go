package place

import (
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"

	"greengageline/pkg/model"
)

// testCell is a small cell whose clock advances 1 ms with each event.
type testCell struct {
	*Engine
	now int64
}

// newCell returns a cell with racks of two workers of 8 accelerators each.
func newCell(workers int, s Snapshot) *testCell {
	c := &testCell{Engine: &Engine{}}
	for i := range workers {
		c.do(WorkerUp{VM: model.VM{
			ID: fmt.Sprintf("w%d", i), Zone: "z", Rack: fmt.Sprintf("r%d", i/2), Accelerators: 8,
		}})
	}
	if len(s.Workspaces) == 0 {
		s.Workspaces = []Workspace{{Name: "a"}, {Name: "b"}}
	}
	c.do(Configure{Snapshot: s})
	c.do(Ready{})
	return c
}

func (c *testCell) do(ev Event) []Decision {
	c.now++
	return c.Step(c.now, ev)
}

func (c *testCell) arrive(id string, tasks, each int, change ...func(*Request)) []Decision {
	r := Request{
		ID: id, Workspace: "a", Shape: model.Shape{Tasks: tasks, Each: each}, Idempotent: true,
		Checkpoint: true, EstimateMs: 1000, ArrivedMs: c.now,
	}
	for _, f := range change {
		f(&r)
	}
	return c.do(Enqueue{Job: r})
}

func kinds(all []Decision) string {
	var out []string
	for _, d := range all {
		out = append(out, string(d.Kind))
	}
	return strings.Join(out, " ")
}

func urgent(r *Request)            { r.Urgent = true }
func notIdempotent(r *Request)     { r.Idempotent = false }
func otherWS(r *Request)           { r.Workspace = "b" }
func longer(r *Request)            { r.EstimateMs = 3_600_000 }
func shortDeadline(r *Request)     { r.DeadlineMs = 5_000 }
func withoutCheckpoint(r *Request) { r.Checkpoint = false }

// failOnStart submits a job and, if it starts at once, reports its failure on the worker that the
// engine picked.
func (c *testCell) failOnStart(id string) []Decision {
	out := c.arrive(id, 1, 8)
	if len(out) == 0 || out[0].Kind != Start {
		return out
	}
	worker := out[0].Assignments[0].Worker
	return c.do(Ended{ID: id, Outcome: Failed, Worker: worker})
}

func TestFailingWorkerIsQuarantinedThenReadmittedAfterProbation(t *testing.T) {
	is := is.New(t)
	c := newCell(1, Snapshot{})
	var last []Decision
	for i := range 3 {
		last = c.failOnStart(fmt.Sprint("j", i))
	}
	is.Equal(kinds(last), "quarantine")
	is.Equal(kinds(c.arrive("waits", 1, 8)), "") // no worker takes it
	c.now += CompletionPolicy().QuarantineMs
	out := c.do(Tick{})
	is.Equal(kinds(out), "start") // one job tests the worker
	is.Equal(out[0].Reason, probeReason)
	is.Equal(kinds(c.do(Ended{ID: "waits", Outcome: Finished})), "readmit")
	is.Equal(kinds(c.arrive("next", 1, 8)), "start")
}

func TestFailingJobsQuarantineAtMostATenthOfWorkers(t *testing.T) {
	is := is.New(t)
	c := newCell(20, Snapshot{})
	out := map[string]bool{}
	for i := range 200 {
		for _, d := range c.failOnStart(fmt.Sprint("bad", i)) {
			if d.Kind == Quarantine {
				out[d.Worker] = true
			}
		}
	}
	is.True(len(out) <= 2) // at most a tenth of the workers
	is.Equal(kinds(c.arrive("good", 8, 8)), "start")
}

func TestJobIsGivenUpAfterFailingOnThreeWorkers(t *testing.T) {
	is := is.New(t)
	c := newCell(8, Snapshot{})
	out := c.arrive("bad", 1, 8)
	seen := map[string]bool{}
	for range 3 {
		is.Equal(out[0].Kind, Start)
		w := out[0].Assignments[0].Worker
		is.True(!seen[w]) // never again on a worker where it failed
		seen[w] = true
		out = c.do(Ended{ID: "bad", Outcome: Failed, Worker: w, Requeue: true})
	}
	is.Equal(kinds(out), "give-up")
}

func TestReclaimEvictsJobWithLeastLostWork(t *testing.T) {
	is := is.New(t)
	s := Snapshot{Workspaces: []Workspace{
		{Name: "a", Guarantees: []Guarantee{{Shape: model.Shape{Tasks: 1, Each: 8}, Count: 1}}}, {Name: "b"},
	}}
	c := newCell(1, s)
	is.Equal(kinds(c.arrive("dear", 1, 4, otherWS, longer, withoutCheckpoint)), "start")
	c.now += 600_000
	is.Equal(kinds(c.arrive("cheap", 1, 4, otherWS, longer)), "start")
	out := c.arrive("owed", 1, 4)
	is.Equal(kinds(out), "evict")
	is.Equal(out[0].Job, "cheap")
	out = c.do(Ended{ID: "cheap", Outcome: Stopped, Requeue: true})
	is.Equal(kinds(out), "start") // as soon as the eviction has ended
	is.Equal(out[0].Mode, model.Guaranteed)
}

func TestUrgentJobEvictsBorrowersButNotFromClaims(t *testing.T) {
	is := is.New(t)
	s := Snapshot{Workspaces: []Workspace{
		{Name: "a"}, {Name: "b", Guarantees: []Guarantee{{Shape: model.Shape{Tasks: 1, Each: 8}, Count: 1}}},
	}}
	c := newCell(2, s)
	c.arrive("fill1", 1, 8, longer)
	c.arrive("fill2", 1, 8, longer)
	is.Equal(kinds(c.arrive("urgent1", 1, 8, urgent)), "evict") // on the worker without a claim
	is.Equal(kinds(c.arrive("urgent2", 1, 8, urgent)), "")      // the other worker is reserved for a claim
}

func TestQuotaDeadlineAndQueueLimit(t *testing.T) {
	is := is.New(t)
	c := newCell(2, Snapshot{Workspaces: []Workspace{{Name: "a", Quota: 8, Queue: 2}, {Name: "b"}}})
	is.Equal(kinds(c.arrive("one", 1, 8)), "start")
	is.Equal(kinds(c.arrive("two", 1, 8, shortDeadline)), "") // the quota is in use: waits
	is.Equal(c.arrive("big", 2, 8)[0].Kind, Refuse)           // larger than the quota
	c.arrive("three", 1, 1)
	is.Equal(c.arrive("four", 1, 1)[0].Kind, Refuse) // the queue is full
	c.now = 10_000
	is.Equal(kinds(c.do(Tick{})), "refuse") // its deadline passed before it could start
}

func TestUnpreemptibleJobDoesNotBorrowFromClaims(t *testing.T) {
	is := is.New(t)
	s := Snapshot{Workspaces: []Workspace{
		{Name: "a"}, {Name: "b", Guarantees: []Guarantee{{Shape: model.Shape{Tasks: 1, Each: 8}, Count: 1}}},
	}}
	c := newCell(2, s)
	is.Equal(kinds(c.arrive("first", 1, 8, notIdempotent)), "start")
	is.Equal(kinds(c.arrive("second", 1, 8, notIdempotent)), "") // only a claim's reserved worker is left
	is.Equal(kinds(c.arrive("borrower", 1, 8)), "start")
	is.Equal(kinds(c.arrive("owed", 1, 8, notIdempotent, otherWS)), "evict")
}

func TestInfeasibleJobIsRefusedAfterHopelessMs(t *testing.T) {
	is := is.New(t)
	c := newCell(2, Snapshot{})
	c.arrive("fill", 2, 8, longer)
	c.arrive("gang", 2, 8)
	is.Equal(kinds(c.do(WorkerLost{ID: "w1"})), "lost")
	c.do(Ended{ID: "fill", Outcome: Stopped})
	c.do(Tick{})
	c.now += CompletionPolicy().HopelessMs / 2
	is.Equal(kinds(c.do(Tick{})), "") // the VMs may come back
	c.now += CompletionPolicy().HopelessMs
	is.Equal(kinds(c.do(Tick{})), "refuse")
}

func TestBlockedGangGetsHoldThatOnlyShortJobsBackfill(t *testing.T) {
	is := is.New(t)
	c := newCell(2, Snapshot{})
	c.arrive("short", 1, 8, func(r *Request) { r.EstimateMs = 600_000; r.Checkpoint = false })
	c.arrive("long", 1, 8, func(r *Request) { r.EstimateMs = 1_200_000; r.Checkpoint = false })
	is.Equal(kinds(c.arrive("gang", 2, 8)), "")
	c.now += CompletionPolicy().HoldAfterMs
	is.Equal(kinds(c.do(Tick{})), "hold")
	c.now += 540_000
	c.do(Ended{ID: "short", Outcome: Finished})
	is.Equal(kinds(c.arrive("too-long", 1, 8, longer)), "") // would delay the gang
	is.Equal(kinds(c.arrive("fits", 1, 8, func(r *Request) { r.EstimateMs = 60_000 })), "start")
	c.do(Ended{ID: "fits", Outcome: Finished})
	out := c.do(Ended{ID: "long", Outcome: Finished})
	is.Equal(out[0].Job, "gang")
}
