package place

import (
	"cmp"
	"container/heap"
	"fmt"
	"maps"
	"slices"

	"greengageline/pkg/model"
)

// Engine holds the state of one cell's placement; the zero value is an empty
// cell that is being rebuilt until it gets Ready. It is not safe for
// concurrent use.
type Engine struct {
	now        int64 // ms, of the event being handled
	generation uint64
	policy     Policy
	pool       pool
	byName     map[string]*workspace
	jobs       map[string]*job
	lanes      map[laneKey]*lane
	order      []*lane // of lanes, in order of creation
	guess      guess
	streaks    map[guessKey]*streak
	waiting    []*job // placed, with evictions under way
	holds      []*hold
	atRisk     []*claim
	resting    []*worker // cooling or quarantined
	probing    []*worker
	deadlines  deadlineHeap
	misses     []miss
	nextHope   int64 // when queued jobs are next looked at for hope, in ms
	// quarantined counts workers in quarantine or on probation.
	quarantined int
	ready       bool
	out         []Decision
}

// Step handles one event at the time now, in ms, and returns the decisions.
func (e *Engine) Step(now int64, ev Event) []Decision {
	e.init()
	e.now = max(e.now, now)
	e.out = nil
	e.handle(ev)
	return e.out
}

func (e *Engine) init() {
	if e.jobs != nil {
		return
	}
	e.jobs = map[string]*job{}
	e.byName = map[string]*workspace{}
	e.lanes = map[laneKey]*lane{}
	e.streaks = map[guessKey]*streak{}
	e.policy = Completion()
}

func (e *Engine) handle(ev Event) {
	switch ev := ev.(type) {
	case Configure:
		e.configure(ev.Snapshot)
	case WorkerUp:
		e.workerUp(ev.VM)
	case WorkerLeaving:
		e.workerLeaving(ev.ID)
	case WorkerLost:
		e.workerLost(ev.ID)
	case Arrive:
		e.arrive(ev.Job)
	case Adopt:
		e.adopt(ev)
	case Ready:
		e.becomeReady()
	case Cancel:
		e.cancel(ev.ID)
	case Ended:
		e.ended(ev)
	case Tick:
		e.tick()
	}
}

func (e *Engine) decide(d Decision) { e.out = append(e.out, d) }

// roomier forgets failed searches because capacity may have come free.
func (e *Engine) roomier() { e.misses = e.misses[:0] }

func (e *Engine) configure(s Snapshot) {
	e.generation = s.Generation
	e.policy = s.Policy
	if e.policy == (Policy{}) {
		e.policy = Completion()
	}
	listed := map[string]bool{}
	var fresh []*claim
	for _, conf := range s.Workspaces {
		listed[conf.Name] = true
		ws := e.byName[conf.Name]
		if ws == nil {
			ws = &workspace{name: conf.Name}
			e.byName[conf.Name] = ws
		}
		ws.conf, ws.gone = conf, false
		fresh = append(fresh, e.reshape(ws)...)
	}
	for _, name := range slices.Sorted(maps.Keys(e.byName)) {
		if !listed[name] {
			e.retire(e.byName[name])
		}
	}
	if !e.ready {
		return
	}
	e.roomier()
	e.mendAll(fresh)
	e.mendRisks()
	e.pass()
}

// reshape makes the workspace's claims match its guarantees and returns the
// new ones. Used claims are kept first; jobs of a claim that goes run on.
func (e *Engine) reshape(ws *workspace) (fresh []*claim) {
	want := map[model.Shape]int{}
	for _, g := range ws.conf.Guarantees {
		want[g.Shape] += g.Count
	}
	old := slices.Clone(ws.claims)
	slices.SortStableFunc(old, func(a, b *claim) int {
		return cmp.Compare(len(b.users), len(a.users))
	})
	ws.claims = nil
	taken := map[string]bool{}
	for _, c := range old {
		if want[c.shape] == 0 {
			e.removeClaim(c)
			continue
		}
		want[c.shape]--
		taken[c.id] = true
		ws.claims = append(ws.claims, c)
	}
	for _, g := range ws.conf.Guarantees {
		for i := 0; want[g.Shape] > 0; i++ {
			id := claimID(ws.name, g.Shape, i)
			if taken[id] {
				continue
			}
			want[g.Shape]--
			c := &claim{id: id, ws: ws, shape: g.Shape}
			ws.claims = append(ws.claims, c)
			fresh = append(fresh, c)
		}
	}
	return fresh
}

func (e *Engine) removeClaim(c *claim) {
	for _, j := range c.users {
		j.claim = nil
	}
	c.users = nil
	e.dropAll(c)
	e.atRisk = slices.DeleteFunc(e.atRisk, func(x *claim) bool { return x == c })
}

// retire handles a workspace that is no longer configured: queued jobs are
// refused, running ones end by themselves.
func (e *Engine) retire(ws *workspace) {
	ws.gone = true
	for _, c := range ws.claims {
		e.removeClaim(c)
	}
	ws.claims = nil
	ws.conf.Guarantees = nil
	for _, l := range slices.Clone(e.order) {
		if l.ws != ws {
			continue
		}
		for _, j := range slices.Clone(l.jobs) {
			e.refuseQueued(j, "its workspace was removed from the configuration")
		}
	}
}

func (e *Engine) refuseQueued(j *job, reason string) {
	e.dropHold(j.hold, "")
	e.dequeue(j)
	delete(e.jobs, j.req.ID)
	e.decide(Decision{Kind: Refuse, Job: j.req.ID, Workspace: j.req.Workspace, Reason: reason})
}

func (e *Engine) workerUp(vm model.VM) {
	w := e.pool.byID[vm.ID]
	if w != nil && (w.vm.Rack != vm.Rack || w.vm.Zone != vm.Zone || w.vm.Accelerators != vm.Accelerators) {
		e.workerLost(vm.ID)
		delete(e.pool.byID, vm.ID)
		w = nil
	}
	switch {
	case w == nil:
		e.pool.add(vm)
	case w.state == workerLost || w.state == workerLeaving:
		w.vm = vm
		w.blame = blame{}
		e.pool.setState(w, workerUp)
	default:
		w.vm = vm
		return
	}
	e.roomier()
	if !e.ready {
		return
	}
	e.mendRisks()
	e.pass()
}

func (e *Engine) workerLeaving(id string) {
	w := e.pool.byID[id]
	if w == nil || w.state == workerLeaving || w.state == workerLost {
		return
	}
	e.leaveQuarantine(w)
	e.pool.setState(w, workerLeaving)
	e.withdraw(w)
	for _, j := range slices.Clone(w.jobs) {
		if j.preemptible() && j.req.Checkpoint {
			e.evict(j, fmt.Sprintf("worker %s is leaving and the job can be checkpointed", id))
		}
	}
	e.afterLoss(w)
}

func (e *Engine) workerLost(id string) {
	w := e.pool.byID[id]
	if w == nil || w.state == workerLost {
		return
	}
	e.leaveQuarantine(w)
	e.pool.setState(w, workerLost)
	e.withdraw(w)
	for _, j := range slices.Clone(w.jobs) {
		j.leaving = true
		e.decide(Decision{
			Kind: Lost, Job: j.req.ID, Workspace: j.req.Workspace, Worker: id,
			Reason: "a worker that runs part of the job is lost",
		})
	}
	e.afterLoss(w)
	e.pool.purge(w)
}

func (e *Engine) afterLoss(w *worker) {
	if !e.ready {
		return
	}
	e.mendAll(slices.Clone(w.claims))
	e.pass()
}

// withdraw takes back what was planned on a worker and has not started.
func (e *Engine) withdraw(w *worker) {
	e.dropHoldsOn(w)
	for _, j := range slices.Clone(w.jobs) {
		if j.state == jobWaiting {
			e.unplace(j)
		}
	}
}

// unplace takes back a placement that has not started.
func (e *Engine) unplace(j *job) {
	e.free(j)
	e.enqueue(j)
}

func (e *Engine) arrive(r Request) {
	if e.jobs[r.ID] != nil {
		return
	}
	ws := e.byName[r.Workspace]
	if no := e.impossible(ws, r); no != nil {
		e.decide(Decision{Kind: Refuse, Job: r.ID, Workspace: r.Workspace, Reason: no.Reason})
		return
	}
	j := &job{req: r, ws: ws}
	e.jobs[r.ID] = j
	e.enqueue(j)
	if r.DeadlineMs > 0 {
		heap.Push(&e.deadlines, deadline{at: r.DeadlineMs, id: r.ID})
	}
	switch {
	case !e.ready:
	case j.lane.jobs[0] == j:
		e.tryStart(j)
	case len(j.lane.jobs) <= maxBackfill && !e.overQuota(j):
		e.tryBackfill(j)
	}
}

func (e *Engine) cancel(id string) {
	j := e.jobs[id]
	if j == nil {
		return
	}
	switch j.state {
	case jobQueued:
		e.dropHold(j.hold, "")
		e.dequeue(j)
		delete(e.jobs, id)
	case jobWaiting:
		e.free(j)
		delete(e.jobs, id)
		e.serve()
	case jobStarted:
		j.leaving = true
	}
}

func (e *Engine) ended(ev Ended) {
	j := e.jobs[ev.ID]
	if j == nil || j.state != jobStarted {
		return
	}
	e.learn(j, ev)
	e.free(j)
	delete(e.jobs, ev.ID)
	switch {
	case ev.Requeue && ev.Outcome == Broke && e.atFault(j):
		e.exonerate(j)
		e.decide(Decision{
			Kind: GiveUp, Job: ev.ID, Workspace: j.req.Workspace,
			Reason: fmt.Sprintf("the job failed on %d different workers", len(j.failed)),
		})
	case ev.Requeue:
		e.jobs[ev.ID] = j
		e.enqueue(j)
	}
	e.serve()
}

func (e *Engine) learn(j *job, ev Ended) {
	w := e.pool.byID[ev.Worker]
	switch ev.Outcome {
	case Finished:
		e.guess.observe(j.req, e.now-j.started)
		e.succeeded(j)
	case Broke:
		if w != nil {
			e.broke(j, w)
		}
	case NotStarted:
		if w != nil {
			e.cool(w)
		}
	case Removed:
	}
}

// free takes the job off its places and returns its part of a claim.
func (e *Engine) free(j *job) {
	for _, s := range j.spots {
		n := s.tasks * j.req.Shape.Each
		if j.mode == model.Borrowed {
			s.w.borrowed -= n
		}
		if j.mode != model.Borrowed {
			s.w.firm -= n
		}
		s.w.jobs = slices.DeleteFunc(s.w.jobs, func(x *job) bool { return x == j })
	}
	c := j.claim
	if c != nil {
		e.giveBack(c, j)
	}
	for _, s := range j.spots {
		e.pool.update(s.w)
		e.pool.purge(s.w)
	}
	j.ws.inUse -= j.accelerators()
	if j.mode != model.Guaranteed {
		j.ws.borrows -= j.accelerators()
	}
	e.waiting = slices.DeleteFunc(e.waiting, func(x *job) bool { return x == j })
	j.spots, j.mode, j.leaving = nil, "", false
	if c != nil && e.ready {
		e.mendAll([]*claim{c})
	}
	e.roomier()
}

// serve uses capacity that may have come free.
func (e *Engine) serve() {
	if !e.ready {
		return
	}
	e.mendRisks()
	e.pass()
}

func (e *Engine) tick() {
	if !e.ready {
		return
	}
	before := len(e.resting)
	e.wake()
	if len(e.resting) != before {
		e.roomier()
		e.mendRisks()
	}
	e.expire()
	e.refuseHopeless()
	e.pressHolds()
	e.pass()
}

// expire refuses queued jobs whose deadline has passed.
func (e *Engine) expire() {
	for len(e.deadlines) > 0 && e.deadlines[0].at < e.now {
		d, _ := heap.Pop(&e.deadlines).(deadline)
		if j := e.jobs[d.id]; j != nil && j.state == jobQueued {
			e.refuseQueued(j, "its deadline passed before it could start")
		}
	}
}

type deadline struct {
	at int64
	id string
}

// deadlineHeap orders deadlines, the earliest first.
type deadlineHeap []deadline

func (h deadlineHeap) Len() int           { return len(h) }
func (h deadlineHeap) Less(i, j int) bool { return h[i].at < h[j].at }
func (h deadlineHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push adds a deadline; container/heap calls it.
func (h *deadlineHeap) Push(x any) {
	if d, ok := x.(deadline); ok {
		*h = append(*h, d)
	}
}

// Pop removes the last deadline; container/heap calls it.
func (h *deadlineHeap) Pop() any {
	old := *h
	d := old[len(old)-1]
	*h = old[:len(old)-1]
	return d
}
