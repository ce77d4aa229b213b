package sched

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// preemptedOf returns the jobs of which the engine orders stops when an urgent gang of one worker comes at a time.
func preemptedOf(e *Engine, at time.Duration) map[string]int {
	addUrgent(e, "urgent", at, shortGang(1, 10_000))
	e.Pass(moment(at))
	e.Pass(moment(at + roomWait))
	out := map[string]int{}
	for _, o := range stops(e.TakeOrders()) {
		out[o.Task.Job]++
	}
	return out
}

// Load: one urgent gang on a full pool of two workers. Guards against a stop that makes a job late which has time for just
// one run, or that throws away what another run has saved, beside a run whose loss is smaller.
func TestPreemptionStopsWhatLosesLeast(t *testing.T) {
	const at = 4 * time.Second
	for name, c := range map[string]struct {
		prepare func(e *Engine)
		want    string
	}{
		"younger run":      {func(*Engine) {}, "b"},
		"saved checkpoint": {func(e *Engine) { confirmAll(e, "a", 40, "c1", at-100*time.Millisecond) }, "a"},
		"younger run of a job that is in time only just": {func(e *Engine) { e.Job("b").Work.AcceptedMs -= 19_000 }, "a"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			e := newEngine(2)
			step := gangStep(1, 8)
			step.EstimateMs, step.Resumes = 10_000, true
			add(e, "a", "bulk", step)
			e.Pass(moment(0))
			add(e, "b", "bulk", step)
			e.Pass(moment(at - time.Second))
			e.TakeOrders()
			c.prepare(e)
			is.Equal(preemptedOf(e, at), map[string]int{c.want: 1})
		})
	}
}

// confirmAll reports progress and a checkpoint of all runs of a job.
func confirmAll(e *Engine, id string, percent int, checkpoint string, at time.Duration) {
	ref := TaskRef{Job: id}
	for i := range e.Job(id).Batches[0][0].Tasks {
		ref.Task = i
		run, _, _ := e.CurrentRun(ref)
		e.Confirm(ref, run, percent, checkpoint, moment(at))
	}
}

// Load: one urgent gang on a full pool whose run is about to end. Guards against a stop that throws away a run just before
// its end, and against guaranteed work that waits for a run that doesn't end as predicted.
func TestUrgentWorkWaitsForRunsAboutToEnd(t *testing.T) {
	is := is.New(t)
	e := newEngine(1)
	step := gangStep(1, 8)
	step.EstimateMs = 10_000
	add(e, "a", "bulk", step)
	e.Pass(moment(0))
	e.TakeOrders()
	confirmAll(e, "a", 0, "", 100*time.Millisecond)
	confirmAll(e, "a", 98, "", 9_900*time.Millisecond)
	const at = 9_900 * time.Millisecond
	addUrgent(e, "urgent", at, shortGang(1, 1000))
	e.Pass(moment(at))
	is.Equal(len(stops(e.TakeOrders())), 0)
	is.Equal(len(e.reservations), 1) // at 98 %, the run ends in 0.2 s
	stopped := time.Duration(0)
	for d := 100 * time.Millisecond; d < reclaimTime && stopped == 0; d += 100 * time.Millisecond {
		e.Pass(moment(at + d))
		if len(stops(e.TakeOrders())) > 0 {
			stopped = d
		}
	}
	is.True(stopped > 0)
	is.True(stopped <= reclaimTime-maxStop-sendReserve)
}
