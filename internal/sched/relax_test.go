package sched

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"greengageline/pkg/model"
)

// Guards against a failed task that no worker is good enough for any more, since all workers that can run it have failed
// since their last success, and only a success would end that (LOST).
func TestFailedTasksAreTriedAgain(t *testing.T) {
	const trouble = 6 * time.Second
	kind := func(n int) model.Step { s := labelled(n, "b"); s.EstimateMs = 2000; return s }
	for name, c := range map[string]struct {
		kind  int // workers that fail all that they start during the trouble
		step  model.Step
		alter func(s *model.Step)
		busy  bool // most of the other workers is in use
		owner bool // a new owner follows at the end of the trouble
		fresh bool // the job is submitted at the end of the trouble, when others have failed
		asked bool // the queue has an adviser, which allows all workers
	}{
		"one worker of a kind":            {kind: 1, step: kind(1)},
		"two of a kind":                   {kind: 2, step: kind(1)},
		"two of a kind, many tasks":       {kind: 2, step: kind(6)},
		"two of a kind, a busy pool":      {kind: 2, step: kind(1), busy: true},
		"two of a kind, a new owner":      {kind: 2, step: kind(1), owner: true},
		"one of a kind, a new owner":      {kind: 1, step: kind(1), owner: true},
		"a gang":                          {kind: 3, step: kind(3), alter: func(s *model.Step) { s.Gang = true }},
		"a gang on one rack, a busy pool": {kind: 3, step: kind(3), alter: func(s *model.Step) { s.Gang, s.OneRack = true, true }, busy: true},
		"two of a kind, an adviser":       {kind: 2, step: kind(1), asked: true},
		"quarantine, an adviser":          {kind: 1, step: kind(1), fresh: true, asked: true},
		"one task on each worker":         {kind: 2, step: kind(2), alter: func(s *model.Step) { s.PerWorker = 1 }},
		"a rack of its data":              {kind: 2, step: kind(1), alter: func(s *model.Step) { s.DataRack = "r1" }},
		"long-running":                    {kind: 2, step: kind(2), alter: func(s *model.Step) { s.Lasts = true }},
		"a worker in quarantine":          {kind: 1, step: kind(1), fresh: true},
		"workers in quarantine, new gang": {kind: 3, step: kind(2), alter: func(s *model.Step) { s.Gang = true }, fresh: true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newCalmPool(1, 20)
			if c.asked {
				for i := range s.plan.Queues {
					s.plan.Queues[i].Advice = &model.Advice{DecideMs: 50, EachMs: 1, ValidMs: 3000}
				}
				s.e.SetPlan(s.plan)
			}
			for i := range 9 {
				s.addWorker("a", fmt.Sprintf("r%d", i%3))
			}
			for i := range c.kind {
				s.addWorker("b", fmt.Sprintf("r%d", i%3))
			}
			for _, w := range s.workers {
				if w.Labels[0] == "b" {
					w.failingUntil = trouble
				}
			}
			submit := func(id string, step model.Step) {
				s.add(&model.Work{ID: id, Workspace: "ws0", Queue: s.e.queues["bulk"], Steps: []model.Step{step}, AcceptedMs: moment(s.now).UnixMs})
			}
			if c.busy {
				fill := labelled(9, "a")
				fill.Each.Accelerators, fill.EstimateMs = 7, 60_000
				submit("fill", fill)
			}
			if c.alter != nil {
				c.alter(&c.step)
			}
			if c.fresh {
				for i := range 4 {
					submit(fmt.Sprintf("before%d", i), kind(2))
				}
			} else {
				submit("j", c.step)
			}
			for s.now < trouble {
				s.step()
			}
			if c.fresh {
				submit("j", c.step)
			}
			if c.owner {
				s.newOwner()
			}
			running := func() bool {
				for ref, r := range s.runs {
					if ref.Job == "j" && !r.fails {
						return true
					}
				}
				return s.jobs["j"].Final == Completed
			}
			for !running() && s.now < trouble+maxIdle {
				s.step()
			}
			is.True(running())
		})
	}
}

// Guards against attempts that are spent on workers that fail all they start while sound workers are there (BUDGET and
// jobs that fail without need).
func TestAttemptsAreKeptForHealthyWorkers(t *testing.T) {
	for name, c := range map[string]struct {
		workers, failing int
		every            time.Duration // between jobs of four tasks of two seconds each
		urgent           bool
	}{
		"an idle pool":           {workers: 12, failing: 1, every: 2 * time.Second},
		"two of twelve, idle":    {workers: 12, failing: 2, every: 2 * time.Second},
		"two of twelve, busy":    {workers: 12, failing: 2, every: 200 * time.Millisecond},
		"three of twelve, full":  {workers: 12, failing: 3, every: 100 * time.Millisecond},
		"one of four, full":      {workers: 4, failing: 1, every: 300 * time.Millisecond},
		"two of twelve, urgent":  {workers: 12, failing: 2, every: 200 * time.Millisecond, urgent: true},
		"half of four, busy":     {workers: 4, failing: 2, every: 500 * time.Millisecond},
		"half of twelve, urgent": {workers: 12, failing: 6, every: 300 * time.Millisecond, urgent: true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newCalmPool(2, 4)
			for i := range c.workers {
				s.addWorker("a", fmt.Sprintf("r%d", i%3))
			}
			for i := range c.failing {
				s.workers[fmt.Sprintf("w%03d", i)].failingUntil = 20 * time.Second
			}
			queue := "bulk"
			if c.urgent {
				queue = "urgent"
			}
			n := 0
			for s.now < 30*time.Second {
				if s.now%c.every == 0 && s.now < 20*time.Second {
					step := singleStep(4)
					step.Each.Accelerators, step.EstimateMs = 2, 2000
					s.add(&model.Work{ID: fmt.Sprintf("j%03d", n), Workspace: "ws0", Queue: s.e.queues[queue], Steps: []model.Step{step}, AcceptedMs: moment(s.now).UnixMs})
					n++
				}
				s.step()
			}
			failed, most, runs := 0, 0, 0
			for _, j := range s.jobs {
				if j.Final == JobFailed {
					failed++
				}
				for _, tk := range j.Batches[0][0].Tasks {
					most = max(most, tk.Failures)
					runs += tk.Failures
				}
			}
			t.Logf("%d jobs, %d failed; %d failed runs, at most %d of one task", n, failed, runs, most)
			is.Equal(failed, 0)
			is.True(most < 4)
		})
	}
}
