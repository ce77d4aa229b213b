package place

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"greengageline/pkg/model"
)

// world checks the engine's decisions against its own books, which are kept
// from the decisions alone.
type world struct {
	t       *rapid.T
	e       *Engine
	now     int64
	size    map[string]int // of workers that may run work
	serving map[string]bool
	started map[string]Decision
	known   map[string]Request
	going   map[string]bool // evicted or lost, its end not yet told
	risk    map[string]bool
	queued  map[string]bool
	// barred are workers in quarantine or on probation, by the decisions.
	barred map[string]bool
}

func newWorld(t *rapid.T) *world {
	return &world{
		t: t, e: &Engine{}, size: map[string]int{}, serving: map[string]bool{},
		started: map[string]Decision{}, known: map[string]Request{}, going: map[string]bool{},
		risk: map[string]bool{}, queued: map[string]bool{}, barred: map[string]bool{},
	}
}

func (w *world) step(ev Event) {
	for _, d := range w.e.Step(w.now, ev) {
		w.note(d)
	}
	w.check()
}

func (w *world) note(d Decision) {
	switch d.Kind {
	case Start:
		w.noteStart(d)
	case Evict:
		if _, ok := w.started[d.Job]; !ok || w.known[d.Job].Idempotent == false || d.Mode != model.Borrowed && !w.known[d.Job].Checkpoint {
			w.t.Fatalf("evicts %s, which must not be evicted: %+v; %+v; started %v", d.Job, d, w.known[d.Job], w.started[d.Job])
		}
		w.going[d.Job] = true
	case Lost:
		w.going[d.Job] = true
	case Refuse, GiveUp:
		delete(w.queued, d.Job)
	case Risk:
		w.risk[d.Claim] = true
	case RiskOver:
		delete(w.risk, d.Claim)
	case Quarantine:
		w.barred[d.Worker] = true
	case Readmit:
		delete(w.barred, d.Worker)
	}
}

func (w *world) noteStart(d Decision) {
	r := w.known[d.Job]
	if !w.queued[d.Job] {
		w.t.Fatalf("starts %s, which is not queued", d.Job)
	}
	n := 0
	for _, s := range d.Shares {
		if !w.serving[s.Worker] {
			w.t.Fatalf("starts %s on %s, which takes no work", d.Job, s.Worker)
		}
		if w.barred[s.Worker] && d.Reason != probeReason {
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

// check verifies the rules that hold after every event.
func (w *world) check() {
	used, firm := map[string]int{}, map[string]int{}
	for id, d := range w.started {
		for _, s := range d.Shares {
			n := s.Tasks * w.known[id].Shape.Each
			used[s.Worker] += n
			if d.Mode != model.Borrowed {
				firm[s.Worker] += n
			}
		}
	}
	for id, n := range used {
		if size, ok := w.size[id]; ok && n > size {
			w.t.Fatalf("worker %s of %d accelerators has %d in use", id, size, n)
		}
	}
	if w.e.ready {
		w.checkGuarantees(firm)
	}
}

// checkGuarantees verifies that every share that is not reported at risk could
// be formed by evicting borrowers alone.
func (w *world) checkGuarantees(firm map[string]int) {
	need := map[string]int{}
	for _, ws := range w.e.byName {
		for _, c := range ws.claims {
			tasks := 0
			for i, s := range c.spots {
				tasks += s.tasks
				if w.barred[s.w.vm.ID] || !w.serving[s.w.vm.ID] {
					tasks -= (c.left[i] + c.shape.Each - 1) / c.shape.Each
				}
				need[s.w.vm.ID] += c.left[i]
				whole := c.left[i] == s.tasks*c.shape.Each
				if whole && (w.barred[s.w.vm.ID] || !w.serving[s.w.vm.ID]) {
					w.t.Fatalf("share %s counts on %s, which takes no work", c.id, s.w.vm.ID)
				}
			}
			if (tasks < c.shape.Tasks) != w.risk[c.id] {
				w.t.Fatalf("share %s has %d of %d tasks placed, reported at risk: %v", c.id, tasks, c.shape.Tasks, w.risk[c.id])
			}
		}
	}
	for id, x := range w.e.pool.byID {
		if x.idle != need[id] {
			w.t.Fatalf("worker %s sets %d accelerators aside, shares have %d there", id, x.idle, need[id])
		}
	}
	for id, n := range need {
		if w.serving[id] && firm[id]+n > w.size[id] {
			w.t.Fatalf("worker %s: %d of firm work and %d of shares exceed %d", id, firm[id], n, w.size[id])
		}
	}
}

func (w *world) pick(label string, m map[string]bool) string {
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

func (w *world) addWorkers(racks, perRack int) {
	for r := range racks {
		for i := range perRack {
			id := fmt.Sprintf("w%d-%d", r, i)
			w.up(model.VM{ID: id, Zone: fmt.Sprintf("z%d", r%2), Rack: fmt.Sprintf("r%d", r), Accelerators: 4})
		}
	}
}

func (w *world) up(vm model.VM) {
	w.size[vm.ID], w.serving[vm.ID] = vm.Accelerators, true
	w.step(WorkerUp{VM: vm})
}

// snapshot draws guarantees that may or may not fit.
func snapshot(t *rapid.T, generation uint64) Snapshot {
	s := Snapshot{Generation: generation, Policy: Completion()}
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

func (w *world) act(n int) {
	t := w.t
	w.now += int64(rapid.IntRange(0, 4000).Draw(t, "pause"))
	switch rapid.IntRange(0, 11).Draw(t, "act") {
	case 0, 1, 2, 3:
		w.arrive(n)
	case 4, 5, 6:
		w.end()
	case 7:
		if id := w.pick("cancel", w.queued); id != "" {
			delete(w.queued, id)
			w.step(Cancel{ID: id})
		}
	case 8:
		w.lose()
	case 9:
		w.leave()
	case 10:
		w.step(Tick{})
	case 11:
		if rapid.IntRange(0, 3).Draw(t, "reconfigure") == 0 {
			w.reconfigure(n)
		}
	}
}

func (w *world) arrive(n int) {
	t := w.t
	r := Request{
		ID: fmt.Sprintf("j%d", n), Workspace: fmt.Sprintf("ws%d", rapid.IntRange(0, 2).Draw(t, "ws")),
		Shape:  model.Shape{Tasks: rapid.IntRange(1, 6).Draw(t, "tasks"), Each: rapid.IntRange(1, 4).Draw(t, "each")},
		Urgent: rapid.IntRange(0, 9).Draw(t, "urgent") == 0, Idempotent: rapid.Bool().Draw(t, "idempotent"),
		Checkpoint: rapid.Bool().Draw(t, "checkpoint"), EstimateMs: int64(rapid.IntRange(1, 20000).Draw(t, "estimate")),
		ArrivedMs: w.now,
	}
	w.known[r.ID], w.queued[r.ID] = r, true
	w.step(Arrive{Job: r})
}

// end tells the end of a started job: always of one that is going, if any.
func (w *world) end() {
	t := w.t
	running := map[string]bool{}
	for id := range w.started {
		running[id] = true
	}
	if len(w.going) > 0 && rapid.Bool().Draw(t, "going first") {
		running = w.going
	}
	id := w.pick("end", running)
	if id == "" {
		return
	}
	d := w.started[id]
	ev := Ended{ID: id, Outcome: Finished}
	if w.going[id] {
		ev.Outcome, ev.Requeue = Removed, w.known[id].Idempotent
	} else if rapid.IntRange(0, 3).Draw(t, "fails") == 0 {
		ev.Outcome, ev.Worker, ev.Requeue = Broke, d.Shares[0].Worker, w.known[id].Idempotent
	} else if rapid.IntRange(0, 5).Draw(t, "not started") == 0 {
		ev.Outcome, ev.Worker, ev.Requeue = NotStarted, d.Shares[0].Worker, true
	}
	delete(w.started, id)
	delete(w.going, id)
	if ev.Requeue {
		w.queued[id] = true
	}
	w.step(ev)
}

func (w *world) lose() {
	id := w.pick("lose", w.serving)
	if id == "" {
		return
	}
	delete(w.serving, id)
	delete(w.size, id)
	delete(w.barred, id)
	w.step(WorkerLost{ID: id})
	if rapid.Bool().Draw(w.t, "replaced") {
		var z, r int
		_, _ = fmt.Sscanf(id, "w%d-%d", &z, &r)
		w.up(model.VM{ID: id + "x", Zone: fmt.Sprintf("z%d", z%2), Rack: fmt.Sprintf("r%d", z), Accelerators: 4})
	}
}

func (w *world) leave() {
	id := w.pick("leave", w.serving)
	if id == "" {
		return
	}
	w.serving[id] = false
	w.step(WorkerLeaving{ID: id})
}

func (w *world) reconfigure(n int) {
	s := snapshot(w.t, uint64(n+2))
	listed := map[string]bool{}
	for _, ws := range s.Workspaces {
		listed[ws.Name] = true
	}
	w.risk = map[string]bool{}
	for _, ws := range w.e.byName {
		for _, c := range ws.claims {
			if c.risk && listed[ws.name] {
				w.risk[c.id] = true
			}
		}
	}
	w.step(Configure{Snapshot: s})
	w.pruneRisks()
}

// pruneRisks forgets risks of shares that no longer exist.
func (w *world) pruneRisks() {
	exists := map[string]bool{}
	for _, ws := range w.e.byName {
		for _, c := range ws.claims {
			exists[c.id] = true
		}
	}
	for id := range w.risk {
		if !exists[id] {
			delete(w.risk, id)
		}
	}
}

func TestRulesHoldForAnySequence(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		w.addWorkers(rapid.IntRange(1, 4).Draw(t, "racks"), rapid.IntRange(1, 4).Draw(t, "per rack"))
		w.step(Configure{Snapshot: snapshot(t, 1)})
		w.e.Step(w.now, Tick{})
		for _, d := range w.e.Step(w.now, Ready{}) {
			w.note(d)
		}
		for n := range rapid.IntRange(1, 60).Draw(t, "events") {
			w.act(n)
		}
		w.drain()
	})
}

// drain ends all running work in turn: whatever is queued must start or be
// refused while the pool empties, or the engine forgot it.
func (w *world) drain() {
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
		if w.going[id] {
			ev.Outcome, ev.Requeue = Removed, w.known[id].Idempotent
		}
		delete(w.started, id)
		delete(w.going, id)
		w.queued[id] = ev.Requeue
		if !ev.Requeue {
			delete(w.queued, id)
		}
		w.step(ev)
	}
	w.checkDrained()
}

// checkDrained verifies that only jobs that the pool can't hold any more, or
// that the shares of others leave no room for, are still queued.
func (w *world) checkDrained() {
	for id := range w.queued {
		j := w.e.jobs[id]
		if j == nil {
			w.t.Fatalf("job %s was lost by the engine", id)
		}
		if j.state != jobQueued {
			for _, s := range j.spots {
				w.t.Logf("on %s: size %d, firm %d, borrowed %d, idle %d, state %d, jobs %d",
					s.w.vm.ID, s.w.size, s.w.firm, s.w.borrowed, s.w.idle, s.w.state, len(s.w.jobs))
				for _, x := range s.w.jobs {
					w.t.Logf("  %s: %s, state %d, leaving %v, started here %v", x.req.ID, x.mode, x.state, x.leaving, w.started[x.req.ID].Job)
				}
			}
			w.t.Fatalf("job %s (%s) is neither queued nor started", id, j.mode)
		}
		view := viewOpen
		if !j.preemptible() {
			view = viewSpare
		}
		q := query{view: view, shape: j.req.Shape, scope: w.e.scopeFor(j), avoid: j.avoid}
		if spots := w.e.pool.find(q); spots != nil {
			w.t.Logf("misses %v, holds %d, lane %v, head %v", w.e.misses, len(w.e.holds), j.lane.key, j.lane.jobs[0].req.ID)
			w.t.Fatalf("job %s waits although an empty pool has room for it", id)
		}
	}
}
