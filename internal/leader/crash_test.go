package leader

import (
	"context"
	"fmt"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"greengageline/internal/sched"
	"greengageline/pkg/model"
)

const (
	// crashDelay is how long after the start of a deadly task its worker crashes, and restartDelay how long
	// it takes until it is back.
	crashDelay   = 10 * time.Millisecond
	restartDelay = 3 * time.Second
	// maxDeadlyStarts is how often a task may be started: three crashes, and less than three starts after them,
	// by the users' rules.
	maxDeadlyStarts = 5
)

// crashCase is a way in which workers crash under a task. onCrash is called with the number of the crash.
type crashCase struct {
	sameID       bool
	restartDelay time.Duration
	// unanswered means that the worker crashes before it answers the start, silent that its connections stay open.
	unanswered, silent bool
	// gang means that the deadly task is one of three that start together.
	gang    bool
	onCrash func(nodes []*testNode, n int)
}

var crashCases = map[string]crashCase{
	"worker returns under its id":                           {sameID: true, restartDelay: restartDelay},
	"worker returns under another id":                       {restartDelay: restartDelay},
	"worker returns after its leases end":                   {restartDelay: 12 * time.Second},
	"before the start is answered":                          {sameID: true, restartDelay: 2 * time.Second, unanswered: true},
	"before the start is answered, back soon":               {sameID: true, restartDelay: 150 * time.Millisecond, unanswered: true},
	"before the start is answered, back late":               {sameID: true, restartDelay: 12 * time.Second, unanswered: true},
	"before the start is answered, another id":              {restartDelay: 2 * time.Second, unanswered: true},
	"before the start is answered, connections stay open":   {sameID: true, restartDelay: 2 * time.Second, unanswered: true, silent: true},
	"before the start of a gang is answered":                {sameID: true, restartDelay: 2 * time.Second, unanswered: true, gang: true},
	"before the start is answered, owner dies at the first": {sameID: true, restartDelay: 2 * time.Second, unanswered: true, onCrash: killOwnerAt(1)},
	"before the start is answered, owner dies twice":        {sameID: true, restartDelay: 2 * time.Second, unanswered: true, onCrash: killOwnerAt(1, 3)},
	"owner dies after the first crash": {restartDelay: restartDelay, onCrash: func(nodes []*testNode, n int) {
		if n == 1 {
			ownerOf(nodes).kill()
		}
	}},
	"owner resigns after the first two crashes": {restartDelay: restartDelay, onCrash: func(nodes []*testNode, n int) {
		if n <= 2 {
			time.Sleep(200 * time.Millisecond)
			ownerOf(nodes).Resign(context.Background())
		}
	}},
	"owner dies as its worker crashes": {restartDelay: restartDelay, onCrash: func(nodes []*testNode, n int) {
		if n == 2 || n == 3 {
			time.Sleep(20 * time.Millisecond)
			ownerOf(nodes).kill()
		}
	}},
}

// killOwnerAt returns a function that kills the owner after the crashes with these numbers, once it has seen them.
func killOwnerAt(crashes ...int) func(nodes []*testNode, n int) {
	return func(nodes []*testNode, n int) {
		if slices.Contains(crashes, n) {
			time.Sleep(200 * time.Millisecond)
			ownerOf(nodes).kill()
		}
	}
}

// Guards against a task that crashes worker after worker until the end of the day, over changes of the owner,
// and against failing the jobs that ran beside it.
func TestTaskThatCrashesWorkersIsGivenUp(t *testing.T) {
	for name, c := range crashCases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runCrashCase(t, c) })
		})
	}
}

func runCrashCase(t *testing.T, c crashCase) {
	t.Helper()
	is := is.New(t)
	sim, nodes, stop := startSimulation(6, 3)
	defer stop()
	var crashes atomic.Int64
	sim.onStart.set(func(m *fakeWorker, task sched.TaskRef) {
		if task.Job != "deadly" {
			return
		}
		if c.gang && task.Task != 1 {
			m.runs[task].duration = time.Hour // it works only together with the others
			return
		}
		n := int(crashes.Add(1))
		delay := crashDelay
		if c.unanswered {
			delay = 0
		}
		time.AfterFunc(delay, func() {
			if c.silent {
				m.powerOff()
			} else {
				m.crash()
			}
			time.AfterFunc(c.restartDelay, func() { m.restart(c.sameID) })
			if c.onCrash != nil {
				c.onCrash(nodes, n)
			}
		})
	})
	ids := sim.submitAll(9)
	deadly := oneGPU(1)
	if c.gang {
		deadly = gang(3)
	}
	sim.submit("deadly", "bulk", deadly)
	for i := range 3 {
		ids = append(ids, fmt.Sprintf("k%d", i))
		sim.submit(ids[len(ids)-1], "bulk", oneGPU(4))
	}
	sim.awaitCompleted(t, ids, completionLimit)
	from := sim.now()
	for sim.state("deadly") != sched.JobFailed && sim.now()-from < completionLimit {
		time.Sleep(50 * time.Millisecond)
	}
	is.Equal(sim.state("deadly"), sched.JobFailed)
	if n := crashes.Load(); n > maxDeadlyStarts {
		t.Errorf("the task was started %d times, want at most %d", n, maxDeadlyStarts)
	}
	for _, v := range sim.violations {
		t.Error(v)
	}
}

// Guards against taking a worker that is silent, leaves or is cut off for one that has crashed.
func TestOnlyCrashesCountAsCrashes(t *testing.T) {
	for name, fault := range map[string]func(m *fakeWorker){
		"silent for a while": func(m *fakeWorker) {
			from := m.sim.now()
			m.unreachable.set(func(string) bool { return m.sim.now()-from < 9*time.Second })
		},
		"resets connections for a while": func(m *fakeWorker) {
			from, n := m.sim.now(), atomic.Int64{}
			m.resets.set(func() bool { return m.sim.now()-from < 4*time.Second && n.Add(1)%3 != 0 })
			for i := range 6 {
				m.sim.submit(fmt.Sprintf("r%d", i), "bulk", oneGPU(1))
			}
		},
		"leaves and is replaced": func(m *fakeWorker) {
			m.leaving.set(true)
			time.Sleep(2 * time.Second)
			m.crash()
			time.Sleep(restartDelay)
			m.restart(false)
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				sim, nodes, stop := startSimulation(2, 3)
				defer stop()
				sim.setRunTime(20 * time.Second)
				for i := range 4 {
					sim.submit(fmt.Sprintf("j%d", i), "bulk", model.Step{
						Tasks: 3, EstimateMs: 20000, Each: model.Room{Millicores: 1000, MemoryMB: 1000, Accelerators: 1},
					})
				}
				time.Sleep(2 * time.Second)
				fault(sim.worker("w0"))
				time.Sleep(12 * time.Second)
				o := ownerOf(nodes).LocalOwner()
				o.postAndWait(context.Background(), func() {
					for id, w := range o.work {
						for task := range w.Steps[0].Tasks {
							n, suspect := o.engine.Crashes(sched.TaskRef{Job: id, Task: task})
							is.Equal(n, 0)
							is.True(!suspect)
						}
					}
					is.True(len(o.work) >= 4)
				})
			})
		})
	}
}
