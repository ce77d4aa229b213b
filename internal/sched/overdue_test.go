package sched

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/samber/lo"

	"greengageline/pkg/model"
)

// scarceSim drives an engine whose owner can send few starts. Runs last as long as their steps estimate, and a
// long-running task until it is ended.
type scarceSim struct {
	e      *Engine
	now    time.Duration
	budget int // of a pass
	runs   []simRun
	// idleSince has since when nothing of a step runs though it could, by step, or by task of a long-running step;
	// longestIdle is the longest such time, by job.
	idleSince   map[TaskRef]time.Duration
	longestIdle map[string]time.Duration
	started     []TaskRef
}

// scarcePass is the time between two passes of a scarceSim.
const scarcePass = 50 * time.Millisecond

// newScarceSim returns a simulation of an engine with workers as newEngine has them, and two queues after "bulk":
// "rest" and "advised", whose adviser permits all workers.
func newScarceSim(workers, budget int) *scarceSim {
	e := newEngine(workers)
	advised := queue("advised", 2, 2, 3, 1000)
	advised.Advice = &model.Advice{DecideMs: 20, EachMs: 0.5, ValidMs: 3000}
	e.plan.Queues = append(e.plan.Queues, queue("rest", 2, 2, 3, 1000), advised)
	e.SetPlan(e.plan)
	return &scarceSim{e: e, budget: budget, idleSince: map[TaskRef]time.Duration{}, longestIdle: map[string]time.Duration{}}
}

// add adds a job that was accepted at a time of the simulation, which may be negative.
func (s *scarceSim) add(id, queue string, accepted time.Duration, steps ...model.Step) {
	w := &model.Work{ID: id, Workspace: "ws0", Queue: s.e.queues[queue], Steps: steps, AcceptedMs: epochMs + accepted.Milliseconds()}
	s.e.Add(NewJob(w), moment(s.now))
}

// run makes passes until a time.
func (s *scarceSim) run(until time.Duration) {
	for ; s.now < until; s.now += scarcePass {
		s.runs = lo.Reject(s.runs, func(r simRun, _ int) bool {
			ends := r.ms > 0 && s.now >= r.began+time.Duration(r.ms)*time.Millisecond
			if ends {
				s.e.End(r.ref, r.run, Done, "", moment(s.now))
			}
			return ends
		})
		s.pass()
		s.noteIdle()
	}
}

// pass makes a pass and starts what it has placed.
func (s *scarceSim) pass() {
	s.e.PassWithin(moment(s.now), s.budget)
	for _, o := range starts(s.e.TakeOrders()) {
		s.e.Confirm(o.Task, o.Run, 0, "", moment(s.now))
		r := simRun{ref: o.Task, run: o.Run, began: s.now}
		if step := s.e.Job(o.Task.Job).Work.Steps[o.Task.Step]; !step.Lasts {
			r.ms = float64(step.EstimateMs)
		}
		s.runs = append(s.runs, r)
		s.started = append(s.started, o.Task)
	}
	for _, q := range s.e.TakeQuestions() {
		tickets := lo.SliceToMap(q.Workers, func(id string) (string, string) { return id, "t" })
		s.e.RecordAdvice(q, tickets, moment(s.now).Steady, 3*time.Second)
	}
}

// fail ends the run of a task as failed.
func (s *scarceSim) fail(ref TaskRef) {
	if run, _, placed := s.e.CurrentRun(ref); placed {
		s.e.End(ref, run, Failed, "", moment(s.now))
		s.runs = lo.Reject(s.runs, func(r simRun, _ int) bool { return r.run == run })
	}
}

// noteIdle updates longestIdle.
func (s *scarceSim) noteIdle() {
	for _, j := range s.e.openJobs {
		for i := range j.Batches[0] {
			b, step := &j.Batches[0][i], &j.Work.Steps[i]
			isPlaced := func(t Task) bool { return t.Phase == Placed }
			for k, t := range b.Tasks {
				ref := TaskRef{Job: j.Work.ID, Step: i, Task: k}
				runs := lo.SomeBy(b.Tasks, isPlaced)
				if step.Lasts {
					runs = isPlaced(t)
				}
				since, idle := s.idleSince[ref]
				switch {
				case t.Phase == Ended || runs || !j.dependenciesEnded(0, step):
					delete(s.idleSince, ref)
				case !idle:
					s.idleSince[ref] = s.now
				default:
					s.longestIdle[ref.Job] = max(s.longestIdle[ref.Job], s.now-since)
				}
			}
		}
	}
}

// tasks returns a step of n tasks with an accelerator each.
func tasks(n int) model.Step {
	return model.Step{Tasks: n, EstimateMs: 2000, Each: model.Room{Millicores: 500, MemoryMB: 500, Accelerators: 1}}
}

// isYoung reports whether a task is of the work that takes all starts in these tests.
func isYoung(ref TaskRef) bool { return strings.HasPrefix(ref.Job, "young") }

// Guards against a job of which nothing runs for seconds beside free room: each pass ended for want of starts before it came to it.
func TestOldWorkIsStartedWhileStartsAreScarce(t *testing.T) {
	const (
		span    = 20 * time.Second
		maxIdle = 3 * time.Second
		old     = -time.Minute // too late for its caller to use
	)
	second := tasks(1)
	second.After = []int{0}
	lasting := tasks(3)
	lasting.Lasts = true
	for name, c := range map[string]struct {
		add func(*scarceSim)
		// fails is a task whose run fails midway, if it is set.
		fails TaskRef
	}{
		"too late":                     {add: func(s *scarceSim) { s.add("old", "bulk", old, tasks(1)) }},
		"in time, of a later queue":    {add: func(s *scarceSim) { s.add("old", "rest", 0, tasks(1)) }},
		"many tasks":                   {add: func(s *scarceSim) { s.add("old", "bulk", old, tasks(40)) }},
		"a step after another":         {add: func(s *scarceSim) { s.add("old", "bulk", old, tasks(1), second) }},
		"a gang larger than a pass":    {add: func(s *scarceSim) { s.add("old", "bulk", old, gangStep(12, 1)) }},
		"gangs and tasks":              {add: func(s *scarceSim) { addOld(s, gangStep(6, 1), tasks(1), gangStep(6, 1), tasks(1), tasks(2)) }},
		"several jobs, one task each":  {add: func(s *scarceSim) { addOld(s, tasks(1), tasks(1), tasks(1), tasks(1), tasks(1), tasks(1)) }},
		"long-running":                 {add: func(s *scarceSim) { s.add("old", "rest", 0, lasting) }},
		"advised":                      {add: func(s *scarceSim) { s.add("old", "advised", old, tasks(1), second) }},
		"long-running, one run failed": {add: func(s *scarceSim) { s.add("old", "rest", 0, lasting) }, fails: TaskRef{Job: "old", Task: 1}},
		"a failed run of the last task": {
			add: func(s *scarceSim) {
				s.add("old", "bulk", old, model.Step{Tasks: 1, EstimateMs: 15000, Each: tasks(1).Each})
			},
			fails: TaskRef{Job: "old"},
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := newScarceSim(24, 2)
			s.add("young-0", "bulk", 0, tasks(400))
			s.run(time.Second)
			c.add(s)
			for n := 1; s.now < span; n++ {
				s.add(fmt.Sprintf("young-%d", n), "bulk", s.now, tasks(200))
				s.run(s.now + 4*time.Second)
				if c.fails.Job != "" && n == 2 {
					s.fail(c.fails)
				}
			}
			watched := 0
			for id, idle := range s.longestIdle {
				if isYoung(TaskRef{Job: id}) {
					continue
				}
				watched++
				if idle > maxIdle {
					t.Errorf("nothing of %s ran for %s, want at most %s", id, idle, maxIdle)
				}
			}
			is.New(t).True(watched > 0)
		})
	}
}

// addOld adds jobs of one step each that are too late for their callers to use.
func addOld(s *scarceSim, steps ...model.Step) {
	for i, step := range steps {
		s.add(fmt.Sprintf("old-%d", i), "bulk", -time.Minute, step)
	}
}

// Guards against guaranteed work that waits behind old work while starts are scarce.
func TestOldWorkTakesNoMoreThanItsShareOfStarts(t *testing.T) {
	single := lo.Times(40, func(int) model.Step { return tasks(1) })
	for name, c := range map[string]struct {
		old    []model.Step
		budget int
		queue  string
		// most is how many of the first 40 starts may be of old work.
		most int
	}{
		"guaranteed, one start a pass":                  {single, 1, "urgent", 10},
		"guaranteed, four starts a pass":                {single, 4, "urgent", 10},
		"guaranteed, 40 starts a pass":                  {single, 40, "urgent", 10},
		"guaranteed, before gangs larger than a pass":   {[]model.Step{gangStep(12, 1), gangStep(12, 1)}, 4, "urgent", 0},
		"guaranteed, before gangs smaller than a pass":  {[]model.Step{gangStep(3, 1), gangStep(3, 1), gangStep(3, 1), gangStep(3, 1)}, 4, "urgent", 12},
		"not guaranteed, one start a pass":              {single, 1, "bulk", 10},
		"not guaranteed, 40 starts a pass":              {single, 40, "bulk", 10},
		"not guaranteed, with gangs larger than a pass": {[]model.Step{gangStep(8, 1), gangStep(8, 1), gangStep(8, 1)}, 4, "bulk", 16},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newScarceSim(24, c.budget)
			s.add("young-0", "bulk", 0, tasks(1000))
			addOld(s, c.old...)
			s.pass()
			s.started = nil
			s.now = 1500 * time.Millisecond
			s.add("young-1", c.queue, s.now, tasks(40))
			for range 41 {
				s.now += time.Millisecond
				s.pass()
			}
			is.True(len(s.started) >= 40)
			n := 40 - lo.CountBy(s.started[:40], isYoung)
			if n > c.most {
				t.Errorf("%d of the first 40 starts are of old work, want at most %d", n, c.most)
			}
		})
	}
}

// Guards against old work that takes room from work in time because it may go first when starts are scarce.
func TestOldWorkTakesNoScarceRoom(t *testing.T) {
	lasting := tasks(1)
	lasting.Lasts = true
	for name, c := range map[string]struct {
		inUse int // accelerators of 16
		old   model.Step
		want  bool
	}{
		"room is scarce":                 {11, tasks(1), false},
		"room is free":                   {6, tasks(1), true},
		"long-running, room is scarce":   {11, lasting, true},
		"long-running, there is no room": {16, lasting, false},
	} {
		t.Run(name, func(t *testing.T) {
			s := newScarceSim(2, c.inUse)
			s.add("busy", "bulk", 0, model.Step{Tasks: c.inUse, EstimateMs: 60000, Each: model.Room{Accelerators: 1}})
			s.run(scarcePass)
			s.budget = 1
			s.add("old-0", "rest", -time.Minute, c.old)
			for n := range 4 {
				// These tasks keep starts scarce and use hardly any room.
				s.add(fmt.Sprintf("young-%d", n), "bulk", s.now, model.Step{Tasks: 100, EstimateMs: 50, Each: model.Room{Millicores: 1, MemoryMB: 1}})
				s.run(s.now + time.Second)
			}
			is.New(t).Equal(slices.Contains(s.started, TaskRef{Job: "old-0"}), c.want)
		})
	}
}
