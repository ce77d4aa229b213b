package place

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"greengageline/pkg/model"
)

// modelChecker sends random events to an engine and checks its decisions against a model of the cell
// that it keeps from the events and decisions.
type modelChecker struct {
	t        *rapid.T
	e        *Engine
	now      int64
	size     map[string]int // of workers that may run jobs
	serving  map[string]bool
	started  map[string]Decision
	requests map[string]Request
	stopping map[string]bool // evicted or lost, its end not yet reported
	atRisk   map[string]bool
	queued   map[string]bool
	// quarantined holds the workers in quarantine or on probation, by the decisions.
	quarantined map[string]bool
}

func newModelChecker(t *rapid.T) *modelChecker {
	return &modelChecker{
		t: t, e: &Engine{}, size: map[string]int{}, serving: map[string]bool{},
		started: map[string]Decision{}, requests: map[string]Request{}, stopping: map[string]bool{},
		atRisk: map[string]bool{}, queued: map[string]bool{}, quarantined: map[string]bool{},
	}
}

func (w *modelChecker) step(ev Event) {
	for _, d := range w.e.Step(w.now, ev) {
		w.record(d)
	}
	w.check()
}

func (w *modelChecker) record(d Decision) {
	switch d.Kind {
	case Start:
		w.recordStart(d)
	case Evict:
		if _, ok := w.started[d.Job]; !ok || w.requests[d.Job].Idempotent == false || d.Mode != model.Borrowed && !w.requests[d.Job].Checkpoint {
			w.t.Fatalf("evicts %s, which must not be evicted: %+v; %+v; started %v", d.Job, d, w.requests[d.Job], w.started[d.Job])
		}
		w.stopping[d.Job] = true
	case Lost:
		w.stopping[d.Job] = true
	case Refuse, GiveUp:
		delete(w.queued, d.Job)
	case GuaranteeAtRisk:
		w.atRisk[d.Claim] = true
	case GuaranteeRestored:
		delete(w.atRisk, d.Claim)
	case Quarantine:
		w.quarantined[d.Worker] = true
	case Readmit:
		delete(w.quarantined, d.Worker)
	}
}

func (w *modelChecker) recordStart(d Decision) {
	r := w.requests[d.Job]
	if !w.queued[d.Job] {
		w.t.Fatalf("starts %s, which is not queued", d.Job)
	}
	n := 0
	for _, s := range d.Assignments {
		if !w.serving[s.Worker] {
			w.t.Fatalf("starts %s on %s, which takes no jobs", d.Job, s.Worker)
		}
		if w.quarantined[s.Worker] && d.Reason != probeReason {
			w.t.Fatalf("starts %s on %s, which is in quarantine", d.Job, s.Worker)
		}
		n += s.Tasks
	}
	if n != r.Shape.Tasks {
		w.t.Fatalf("starts %d of %d tasks of %s", n, r.Shape.Tasks, d.Job)
	}
	delete(w.queued, d.Job)
	w.started[d.Job] = d
}

// check verifies the invariants that hold after every event.
func (w *modelChecker) check() {
	used, nonBorrowed := map[string]int{}, map[string]int{}
	for id, d := range w.started {
		for _, s := range d.Assignments {
			n := s.Tasks * w.requests[id].Shape.Each
			used[s.Worker] += n
			if d.Mode != model.Borrowed {
				nonBorrowed[s.Worker] += n
			}
		}
	}
	for id, n := range used {
		if size, ok := w.size[id]; ok && n > size {
			w.t.Fatalf("worker %s has %d accelerators, of which %d are in use", id, size, n)
		}
	}
	if w.e.ready {
		w.checkGuarantees(nonBorrowed)
	}
}

// checkGuarantees verifies that every claim that is not reported at risk could be formed by evicting
// borrowers alone.
func (w *modelChecker) checkGuarantees(nonBorrowed map[string]int) {
	need := map[string]int{}
	for _, ws := range w.e.workspaces {
		for _, c := range ws.claims {
			tasks := 0
			for i, a := range c.allocs {
				tasks += a.tasks
				if w.quarantined[a.w.vm.ID] || !w.serving[a.w.vm.ID] {
					tasks -= (c.unused[i] + c.shape.Each - 1) / c.shape.Each
				}
				need[a.w.vm.ID] += c.unused[i]
				whole := c.unused[i] == a.tasks*c.shape.Each
				if whole && (w.quarantined[a.w.vm.ID] || !w.serving[a.w.vm.ID]) {
					w.t.Fatalf("claim %s has an unused allocation on %s, which takes no jobs", c.id, a.w.vm.ID)
				}
			}
			if (tasks < c.shape.Tasks) != w.atRisk[c.id] {
				w.t.Fatalf("claim %s has allocations for %d of %d tasks, reported at risk: %v", c.id, tasks, c.shape.Tasks, w.atRisk[c.id])
			}
		}
	}
	for id, x := range w.e.pool.byID {
		if x.reserved != need[id] {
			w.t.Fatalf("worker %s counts %d accelerators as reserved, its claims have %d unused there", id, x.reserved, need[id])
		}
	}
	for id, n := range need {
		if w.serving[id] && nonBorrowed[id]+n > w.size[id] {
			w.t.Fatalf("worker %s: %d non-borrowed and %d reserved accelerators exceed its size of %d", id, nonBorrowed[id], n, w.size[id])
		}
	}
}

func (w *modelChecker) pick(label string, m map[string]bool) string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	if len(keys) == 0 {
		return ""
	}
	slices.Sort(keys)
	return rapid.SampledFrom(keys).Draw(w.t, label)
}

func (w *modelChecker) addWorkers(racks, perRack int) {
	for r := range racks {
		for i := range perRack {
			id := fmt.Sprintf("w%d-%d", r, i)
			w.addWorker(model.VM{ID: id, Zone: fmt.Sprintf("z%d", r%2), Rack: fmt.Sprintf("r%d", r), Accelerators: 4})
		}
	}
}

func (w *modelChecker) addWorker(vm model.VM) {
	w.size[vm.ID], w.serving[vm.ID] = vm.Accelerators, true
	w.step(WorkerUp{VM: vm})
}

// drawSnapshot draws guarantees that may or may not fit the workers.
func drawSnapshot(t *rapid.T, generation uint64) Snapshot {
	s := Snapshot{Generation: generation, Policy: CompletionPolicy()}
	s.Policy.HoldAfterMs, s.Policy.HoldGraceMs = 1000, 2000
	for i := range rapid.IntRange(1, 3).Draw(t, "workspaces") {
		ws := Workspace{Name: fmt.Sprintf("ws%d", i), Weight: float64(i + 1)}
		if rapid.Bool().Draw(t, "guaranteed") {
			ws.Guarantees = []Guarantee{{
				Shape: model.Shape{Tasks: rapid.IntRange(1, 4).Draw(t, "gtasks"), Each: rapid.IntRange(1, 4).Draw(t, "geach")},
				Count: rapid.IntRange(1, 2).Draw(t, "gcount"),
			}}
		}
		s.Workspaces = append(s.Workspaces, ws)
	}
	return s
}

func (w *modelChecker) randomEvent(n int) {
	t := w.t
	w.now += int64(rapid.IntRange(0, 4000).Draw(t, "pause"))
	switch rapid.IntRange(0, 11).Draw(t, "act") {
	case 0, 1, 2, 3:
		w.arrive(n)
	case 4, 5, 6:
		w.endJob()
	case 7:
		if id := w.pick("cancel", w.queued); id != "" {
			delete(w.queued, id)
			w.step(Cancel{ID: id})
		}
	case 8:
		w.loseWorker()
	case 9:
		w.markWorkerLeaving()
	case 10:
		w.step(Tick{})
	case 11:
		if rapid.IntRange(0, 3).Draw(t, "reconfigure") == 0 {
			w.reconfigure(n)
		}
	}
}

func (w *modelChecker) arrive(n int) {
	t := w.t
	r := Request{
		ID: fmt.Sprintf("j%d", n), Workspace: fmt.Sprintf("ws%d", rapid.IntRange(0, 2).Draw(t, "ws")),
		Shape:  model.Shape{Tasks: rapid.IntRange(1, 6).Draw(t, "tasks"), Each: rapid.IntRange(1, 4).Draw(t, "each")},
		Urgent: rapid.IntRange(0, 9).Draw(t, "urgent") == 0, Idempotent: rapid.Bool().Draw(t, "idempotent"),
		Checkpoint: rapid.Bool().Draw(t, "checkpoint"), EstimateMs: int64(rapid.IntRange(1, 20000).Draw(t, "estimate")),
		ArrivedMs: w.now,
	}
	w.requests[r.ID], w.queued[r.ID] = r, true
	w.step(Enqueue{Job: r})
}

// endJob reports the end of a random started job, and sometimes only of one that is stopping, if there
// is any.
func (w *modelChecker) endJob() {
	t := w.t
	running := map[string]bool{}
	for id := range w.started {
		running[id] = true
	}
	if len(w.stopping) > 0 && rapid.Bool().Draw(t, "going first") {
		running = w.stopping
	}
	id := w.pick("end", running)
	if id == "" {
		return
	}
	d := w.started[id]
	ev := Ended{ID: id, Outcome: Finished}
	if w.stopping[id] {
		ev.Outcome, ev.Requeue = Stopped, w.requests[id].Idempotent
	} else if rapid.IntRange(0, 3).Draw(t, "fails") == 0 {
		ev.Outcome, ev.Worker, ev.Requeue = Failed, d.Assignments[0].Worker, w.requests[id].Idempotent
	} else if rapid.IntRange(0, 5).Draw(t, "not started") == 0 {
		ev.Outcome, ev.Worker, ev.Requeue = NotStarted, d.Assignments[0].Worker, true
	}
	delete(w.started, id)
	delete(w.stopping, id)
	if ev.Requeue {
		w.queued[id] = true
	}
	w.step(ev)
}

func (w *modelChecker) loseWorker() {
	id := w.pick("lose", w.serving)
	if id == "" {
		return
	}
	delete(w.serving, id)
	delete(w.size, id)
	delete(w.quarantined, id)
	w.step(WorkerLost{ID: id})
	if rapid.Bool().Draw(w.t, "replaced") {
		var z, r int
		_, _ = fmt.Sscanf(id, "w%d-%d", &z, &r)
		w.addWorker(model.VM{ID: id + "x", Zone: fmt.Sprintf("z%d", z%2), Rack: fmt.Sprintf("r%d", z), Accelerators: 4})
	}
}

func (w *modelChecker) markWorkerLeaving() {
	id := w.pick("leave", w.serving)
	if id == "" {
		return
	}
	w.serving[id] = false
	w.step(WorkerLeaving{ID: id})
}

func (w *modelChecker) reconfigure(n int) {
	s := drawSnapshot(w.t, uint64(n+2))
	listed := map[string]bool{}
	for _, ws := range s.Workspaces {
		listed[ws.Name] = true
	}
	w.atRisk = map[string]bool{}
	for _, ws := range w.e.workspaces {
		for _, c := range ws.claims {
			if c.atRisk && listed[ws.name] {
				w.atRisk[c.id] = true
			}
		}
	}
	w.step(Configure{Snapshot: s})
	w.pruneRisks()
}

// pruneRisks drops the risks of claims that no longer exist.
func (w *modelChecker) pruneRisks() {
	exists := map[string]bool{}
	for _, ws := range w.e.workspaces {
		for _, c := range ws.claims {
			exists[c.id] = true
		}
	}
	for id := range w.atRisk {
		if !exists[id] {
			delete(w.atRisk, id)
		}
	}
}

func TestInvariantsHoldForRandomEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newModelChecker(t)
		w.addWorkers(rapid.IntRange(1, 4).Draw(t, "racks"), rapid.IntRange(1, 4).Draw(t, "per rack"))
		w.step(Configure{Snapshot: drawSnapshot(t, 1)})
		w.e.Step(w.now, Tick{})
		for _, d := range w.e.Step(w.now, Ready{}) {
			w.record(d)
		}
		for n := range rapid.IntRange(1, 60).Draw(t, "events") {
			w.randomEvent(n)
		}
		w.drain()
	})
}

// drain ends all running jobs in turn. Every queued job must start or be refused while the pool
// empties; otherwise the engine lost track of it.
func (w *modelChecker) drain() {
	for range 2000 {
		w.now += 120_000
		w.step(Tick{})
		if len(w.started) == 0 {
			break
		}
		ids := make([]string, 0, len(w.started))
		for id := range w.started {
			ids = append(ids, id)
		}
		slices.Sort(ids)
		id := ids[0]
		ev := Ended{ID: id, Outcome: Finished}
		if w.stopping[id] {
			ev.Outcome, ev.Requeue = Stopped, w.requests[id].Idempotent
		}
		delete(w.started, id)
		delete(w.stopping, id)
		w.queued[id] = ev.Requeue
		if !ev.Requeue {
			delete(w.queued, id)
		}
		w.step(ev)
	}
	w.checkDrained()
}

// checkDrained verifies that the jobs still queued are only those that the pool can no longer fit, or
// for which claims of others leave no room.
func (w *modelChecker) checkDrained() {
	for id := range w.queued {
		j := w.e.jobs[id]
		if j == nil {
			w.t.Fatalf("job %s should be queued, but the engine does not know it", id)
		}
		if j.state != jobQueued {
			for _, a := range j.allocs {
				w.t.Logf("on %s: size %d, non-borrowed %d, borrowed %d, reserved %d, state %d, jobs %d",
					a.w.vm.ID, a.w.size, a.w.nonBorrowed, a.w.borrowed, a.w.reserved, a.w.state, len(a.w.jobs))
				for _, x := range a.w.jobs {
					w.t.Logf("  %s: %s, state %d, stopping %v, started in the model: %v", x.req.ID, x.mode, x.state, x.stopping, w.started[x.req.ID].Job)
				}
			}
			w.t.Fatalf("job %s (%s) is neither queued nor started", id, j.mode)
		}
		view := viewOpen
		if !j.preemptible() {
			view = viewSpare
		}
		q := query{view: view, shape: j.req.Shape, scope: w.e.scopeFor(j), avoid: j.avoid}
		if allocs := w.e.pool.find(q); allocs != nil {
			w.t.Logf("failed searches %v, holds %d, queue %v, head %v", w.e.failedSearches, len(w.e.holds), j.queue.key, j.queue.jobs[0].req.ID)
			w.t.Fatalf("job %s waits although an empty pool has room for it", id)
		}
	}
}
