package sched

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"greengageline/pkg/model"
)

// startedOn returns the worker on which each task of the orders starts, by the task's name.
func startedOn(orders []Order) map[string]string {
	out := map[string]string{}
	for _, o := range starts(orders) {
		out[o.Task.String()] = o.Worker
	}
	return out
}

// crashSim drives an engine on which the workers crash that start a deadly task.
type crashSim struct {
	e      *Engine
	deadly map[string]bool // names of tasks
	now    time.Duration
	// crashes counts the crashes under each deadly task, lost the runs of other jobs that were lost with a worker,
	// by job. crashed counts all crashes, so that each new incarnation gets another id.
	crashes map[string]int
	lost    map[string]int
	crashed int
}

// pass makes a pass, confirms the runs that it starts, and crashes the workers of deadly ones 10 ms later.
func (s *crashSim) pass() {
	s.now += 100 * time.Millisecond
	s.e.Pass(moment(s.now))
	orders := starts(s.e.TakeOrders())
	for _, o := range orders {
		s.e.Confirm(o.Task, o.Run, 0, "", moment(s.now))
	}
	for _, o := range orders {
		if s.deadly[o.Task.String()] && s.e.workers[o.Worker] != nil {
			s.crashes[o.Task.String()]++
			s.crash(o.Worker, o.Task.Job)
		}
	}
	for id, j := range s.e.jobs {
		for ref, t := range s.placed(id, j) {
			switch {
			case t.Stopping:
				s.e.End(ref, t.Run, Stopped, "", moment(s.now))
			case s.now+time.Minute-t.placedAt > 2*time.Second:
				s.e.End(ref, t.Run, Done, "", moment(s.now))
			default:
				s.e.Confirm(ref, t.Run, 50, "", moment(s.now))
			}
		}
	}
}

func (s *crashSim) placed(id string, j *Job) map[TaskRef]*Task {
	out := map[TaskRef]*Task{}
	for k := range j.Batches {
		for st := range j.Batches[k] {
			for i := range j.Batches[k][st].Tasks {
				if t := &j.Batches[k][st].Tasks[i]; t.Phase == Placed {
					out[TaskRef{id, k, st, i}] = t
				}
			}
		}
	}
	return out
}

// crash ends a worker with its runs; another incarnation takes its place.
func (s *crashSim) crash(id, culprit string) {
	s.crashed++
	w := s.e.workers[id].Worker
	for ref, run := range s.e.RunsOn(id) {
		if ref.Job != culprit {
			s.lost[ref.Job]++
		}
		_, _, t := s.e.find(ref)
		s.e.EndCrashed(ref, run, s.now+time.Minute-t.confirmedAt, moment(s.now))
	}
	s.e.DropWorker(id, moment(s.now))
	w.ID = fmt.Sprintf("%s-%d", w.ID, s.crashed)
	s.e.SetWorker(w)
}

// Guards against a task that crashes worker after worker, and against failing the jobs that merely shared one.
func TestTaskThatCrashesWorkersFailsItsJobAlone(t *testing.T) {
	for name, c := range map[string]struct {
		step   model.Step
		deadly string
	}{
		"a single task":          {singleStep(1), "deadly.0.0.0"},
		"one task of many":       {singleStep(6), "deadly.0.0.2"},
		"a member of a gang":     {gangStep(3, 1), "deadly.0.0.1"},
		"a member of a wide one": {gangStep(3, 8), "deadly.0.0.1"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := &crashSim{e: newEngine(8), deadly: map[string]bool{c.deadly: true}, crashes: map[string]int{}, lost: map[string]int{}}
			for i := range 6 {
				add(s.e, fmt.Sprintf("before%d", i), "bulk", singleStep(4))
			}
			s.pass()
			add(s.e, "deadly", "bulk", c.step)
			for i := range 4 {
				add(s.e, fmt.Sprintf("beside%d", i), "bulk", singleStep(4))
			}
			for range 200 {
				s.pass()
			}
			is.Equal(s.e.Job("deadly").Final, JobFailed)
			is.Equal(s.e.Job("deadly").Reason, "3 workers have crashed under tasks of step 0")
			is.Equal(s.crashes[c.deadly], startCrashLimit)
			for id, j := range s.e.jobs {
				if id != "deadly" {
					is.Equal(j.Final, Completed) // a job that shared a worker
				}
				is.True(s.lost[id] <= 4) // only the first crash costs other jobs
			}
			is.Equal(len(s.e.isolatedWorkers), 0)
		})
	}
}

// Guards against a count of crashes that a change of owner loses, and against suspects that the next owner puts
// beside other work.
func TestCrashesOutliveOwnerChange(t *testing.T) {
	is := is.New(t)
	e := newEngine(2)
	j := add(e, "deadly", "bulk", singleStep(1))
	ref := TaskRef{Job: "deadly"}
	for n := range startCrashLimit {
		e.Pass(moment(0))
		order := starts(e.TakeOrders())
		is.Equal(len(order), 1)
		e.EndCrashed(ref, order[0].Run, 0, moment(0))
		crashes, suspect := e.Crashes(ref)
		is.Equal(crashes, n+1)
		is.True(suspect)

		r := j.Record()
		data, err := r.Encode()
		is.NoErr(err)
		j, err = Restore(j.Work, data)
		is.NoErr(err)
		e = newEngine(2)
		e.Limits.FirstRun = int64(1000 * (n + 1))
		e.Add(j, moment(0))
	}
	is.Equal(j.Final, JobFailed)
	is.Equal(j.Reason, "3 workers have crashed under tasks of step 0")
}

// Guards against taking work that merely shared crashed workers, or whose worker was out of touch before it
// crashed, for the cause.
func TestCrashEvidence(t *testing.T) {
	const unknown = time.Duration(-1)
	for name, c := range map[string]struct {
		known   []time.Duration
		suspect bool
		failed  bool
	}{
		"had run for long":               {[]time.Duration{5 * time.Second}, false, false},
		"had just started":               {[]time.Duration{10 * time.Millisecond}, true, false},
		"worker was out of touch":        {[]time.Duration{unknown}, false, false},
		"out of touch twice":             {[]time.Duration{unknown, unknown}, true, false},
		"out of touch three times":       {[]time.Duration{unknown, unknown, unknown}, true, false},
		"crashed after a while, 5 times": {[]time.Duration{2e9, 2e9, 2e9, 2e9, 2e9}, true, true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			e := newEngine(2)
			j := add(e, "j", "bulk", singleStep(1))
			ref := TaskRef{Job: "j"}
			for _, known := range c.known {
				e.Pass(moment(0))
				order := starts(e.TakeOrders())
				is.Equal(len(order), 1)
				e.EndCrashed(ref, order[0].Run, known, moment(0))
				e.CountCrash(ref, order[0].Run, known, false, moment(0)) // each run counts once
			}
			n, suspect := e.Crashes(ref)
			is.Equal(n, len(c.known))
			is.Equal(suspect, c.suspect)
			is.Equal(j.Final == JobFailed, c.failed)
		})
	}
}

// Guards against a second crash that costs other work, and against workers that stay empty once a suspect has
// lived through its start.
func TestSuspectRunsApartUntilItHasLivedThroughItsStart(t *testing.T) {
	is := is.New(t)
	e := newEngine(2)
	add(e, "first", "bulk", singleStep(1))
	e.Pass(moment(0))
	on := startedOn(e.TakeOrders())["first.0.0.0"]
	add(e, "suspect", "bulk", singleStep(1))
	e.Pass(moment(0))
	order := starts(e.TakeOrders())
	is.Equal(order[0].Worker, on) // beside other work, as the fullest worker comes first
	e.EndCrashed(order[0].Task, order[0].Run, 0, moment(0))
	e.Pass(moment(100 * time.Millisecond))
	order = starts(e.TakeOrders())
	is.True(order[0].Worker != on) // on a worker of its own
	e.Confirm(order[0].Task, order[0].Run, 0, "", moment(100*time.Millisecond))
	add(e, "other", "bulk", gangStep(1, 7))
	add(e, "wide", "bulk", gangStep(1, 7))
	e.Pass(moment(200 * time.Millisecond))
	is.Equal(startedOn(e.TakeOrders()), map[string]string{"other.0.0.0": on})
	e.Confirm(order[0].Task, order[0].Run, 60, "", moment(1300*time.Millisecond))
	e.Pass(moment(1300 * time.Millisecond))
	is.Equal(startedOn(e.TakeOrders()), map[string]string{"wide.0.0.0": order[0].Worker})
}

// Guards against a suspect that waits for ever on a pool without an empty worker.
func TestSuspectStartsWithoutEmptyWorkerInTheEnd(t *testing.T) {
	is := is.New(t)
	e := newEngine(2)
	add(e, "a", "bulk", gangStep(2, 5))
	add(e, "suspect", "bulk", singleStep(1))
	e.Pass(moment(0))
	for _, o := range starts(e.TakeOrders()) {
		if o.Task.Job == "suspect" {
			e.EndCrashed(o.Task, o.Run, 0, moment(0))
		}
	}
	started := time.Duration(0)
	for at := 100 * time.Millisecond; at < 10*time.Second && started == 0; at += 100 * time.Millisecond {
		e.Pass(moment(at))
		if startedJobs(e.TakeOrders())["suspect"] > 0 {
			started = at
		}
	}
	is.True(started > isolationWait)
	is.True(started < isolationWait+time.Second)
}

// labelled returns a step of n tasks of one accelerator that need a label.
func labelled(n int, label string) model.Step {
	s := singleStep(n)
	s.Label, s.Each.Accelerators = label, 1
	return s
}

// rareSim has jobs of a kind of which there are few workers, beside many others.
type rareSim struct {
	t    *testing.T
	e    *Engine
	kind int // workers of the kind
	jobs map[string]*Job
	now  time.Duration
}

const rareOthers = 13

// newOwner replaces the engine, if there is one, by another made from the records.
func (s *rareSim) newOwner() {
	first := s.e == nil
	s.e = newEngine(rareOthers)
	s.restoreWorkers()
	if first {
		return
	}
	s.e.Limits.FirstRun = 1000
	for id, j := range s.jobs {
		r := j.Record()
		data, err := r.Encode()
		if err == nil {
			s.jobs[id], err = Restore(j.Work, data)
		}
		if err != nil {
			s.t.Fatal(err)
		}
		s.e.Add(s.jobs[id], moment(s.now))
	}
}

func (s *rareSim) worker(i int) Worker {
	return Worker{ID: fmt.Sprintf("rare%d", i), Pool: "p", Rack: "rare", Labels: []string{"rare"}, Room: model.Room{Millicores: 64000, MemoryMB: 64000, Accelerators: 8}}
}

// restoreWorkers adds the workers of the kind, or brings them back.
func (s *rareSim) restoreWorkers() {
	for i := range s.kind {
		s.e.SetWorker(s.worker(i))
	}
}

// pass makes a pass after a time, and confirms the progress of all runs.
func (s *rareSim) pass(after time.Duration) {
	s.now += after
	s.e.Pass(moment(s.now))
	s.e.TakeOrders()
	for id, j := range s.jobs {
		for i := range j.Batches[0][0].Tasks {
			if tk := &j.Batches[0][0].Tasks[i]; tk.Phase == Placed {
				s.e.Confirm(TaskRef{Job: id, Task: i}, tk.Run, min(100, int(s.now/(200*time.Millisecond))), "", moment(s.now))
			}
		}
	}
}

// crash crashes the first n workers of the kind.
func (s *rareSim) crash(n int) {
	for i := range n {
		w := s.worker(i)
		for ref, run := range s.e.RunsOn(w.ID) {
			_, _, tk := s.e.find(ref)
			s.e.EndCrashed(ref, run, moment(s.now).Steady-tk.confirmedAt, moment(s.now))
		}
		w.Silent = true
		s.e.SetWorker(w)
	}
}

// waiting returns the tasks that wait.
func (s *rareSim) waiting() (out []string) {
	for id, j := range s.jobs {
		for i := range j.Batches[0][0].Tasks {
			if j.Batches[0][0].Tasks[i].Phase != Placed {
				out = append(out, fmt.Sprintf("%s.%d", id, i))
			}
		}
	}
	return out
}

// Guards against workers that are kept for a job whose suspects no longer wait for workers of their own, so that
// neither it nor any other work ever starts there (LOST).
func TestWorkersKeptForSuspectsAreGivenBack(t *testing.T) {
	for name, c := range map[string]struct {
		kind     int // workers of the kind, each with a long-running task
		crashed  int // of them, and back after a second
		suspects int // jobs that have just started when the workers crash
		wide     bool
		owner    bool // a new owner follows after the crash
		waiting  []string
	}{
		"one worker of a kind":           {kind: 1, crashed: 1, suspects: 1},
		"one of two":                     {kind: 2, crashed: 1, suspects: 1},
		"one of two, several suspects":   {kind: 2, crashed: 1, suspects: 3},
		"both of two":                    {kind: 2, crashed: 2, suspects: 4},
		"two of three":                   {kind: 3, crashed: 2, suspects: 2},
		"a suspect that fits nowhere":    {kind: 1, crashed: 1, suspects: 1, wide: true, waiting: []string{"suspect0.0"}},
		"one of two, then a new owner":   {kind: 2, crashed: 1, suspects: 2, owner: true},
		"all of three, then a new owner": {kind: 3, crashed: 3, suspects: 5, owner: true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := &rareSim{t: t, kind: c.kind, jobs: map[string]*Job{}}
			s.newOwner()
			lasting := labelled(c.kind, "rare")
			lasting.Lasts, lasting.PerWorker = true, 1
			s.jobs["lasting"] = add(s.e, "lasting", "bulk", lasting)
			s.pass(0)
			for i := range c.suspects {
				step := labelled(1, "rare")
				step.Each.MemoryMB += i // of another shape, so that each has a worker kept
				if c.wide {
					step.Each.Accelerators = 7
				}
				id := fmt.Sprintf("suspect%d", i)
				s.jobs[id] = add(s.e, id, "bulk", step)
			}
			s.pass(10 * time.Second)
			s.now += 100 * time.Millisecond
			s.crash(c.crashed)
			s.pass(0)
			s.now += time.Second
			if c.owner {
				s.newOwner()
			}
			s.restoreWorkers()
			s.jobs["other"] = add(s.e, "other", "bulk", labelled(1, "rare"))
			for until := s.now + isolationWait + time.Second; s.now < until; {
				s.pass(100 * time.Millisecond)
			}
			is.Equal(s.waiting(), c.waiting)
			for w := range s.e.isolatedWorkers {
				is.True(w.isolatedRuns > 0) // nothing is kept any more
			}
		})
	}
}
