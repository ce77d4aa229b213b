package leader

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"greengageline/internal/clock"
	"greengageline/internal/orders"
	"greengageline/internal/rows"
	"greengageline/internal/sched"
	"greengageline/internal/upkeep"
	"greengageline/pkg/model"
)

// fakeRun is a run at a fakeWorker.
type fakeRun struct {
	task     sched.TaskRef
	run      int64
	began    time.Duration
	duration time.Duration
	stopped  bool
	saved    string
}

// fakeWorker follows the rules of the platform's workers: it checks leases, epochs, room and run numbers,
// and lists ended runs until they are acknowledged.
type fakeWorker struct {
	id, addr string
	sim      *simulation
	room     model.Room
	// unguarded is set for a worker that starts what does not fit; roomAt is when its room changed.
	unguarded     bool
	roomAt        time.Duration
	born          int64
	dead          syncValue[bool]
	unlisted      syncValue[bool]
	unreachable   syncValue[func(node string) bool] // neither orders nor answers pass
	dropAnswers   syncValue[bool]                   // orders pass, answers do not
	delay         syncValue[func() time.Duration]   // orders get no answer and are carried out after this time
	runTime       syncValue[time.Duration]
	failRuns      syncValue[bool]
	leaving       syncValue[bool]
	resets        syncValue[func() bool] // whether the connection is closed instead of carrying an order
	crashed       syncValue[bool]        // its connections are closed, and nobody listens
	replaced      syncValue[bool]        // another incarnation answers at its address
	ignoreContext syncValue[bool]        // a hold does not end with its context, as a real call may not

	// mu guards all workers of the simulation, since a start reads another worker's runs. It is locked
	// before simulation.mu.
	mu          *sync.Mutex
	epoch       int64
	leaseEnd    time.Duration
	runs        map[sched.TaskRef]*fakeRun
	maxEndedRun map[sched.TaskRef]int64 // highest run that has ended, or was stopped, per task
	ended       []orders.Ended
	lastEnd     int64 // number of the last end
	listedEnd   int64 // number of the last end that a hold has listed
	// connected has the incarnation to which each node is connected. The connection closes with it.
	connected   map[string]int64
	clockOffset time.Duration
}

// simulation is a store, workers and nodes on one clock. It records what the workers saw and each violation
// of an invariant.
type simulation struct {
	base       time.Time
	store      *fakeStore
	workersMu  sync.Mutex // see fakeWorker.mu
	mu         sync.Mutex
	workers    map[string]*fakeWorker
	starts     []string
	violations []string
	ackedDone  map[sched.TaskRef]bool   // ends that were acknowledged as done
	liveAt     map[sched.TaskRef]string // the worker that runs a task
	plan       syncValue[model.Plan]
	work       map[string]*model.Work
	rnd        *rand.Rand
	// onStart is called with workersMu held when a worker has started a task.
	onStart      syncValue[func(m *fakeWorker, task sched.TaskRef)]
	replacements int // workers that have taken the place of another
	// beforePoll is called before a node polls another; its error fails the poll.
	beforePoll  syncValue[func(ctx context.Context, from, to string) error]
	nodesByAddr map[string]*testNode // guarded by mu
	// adviser is nil if no queue needs one.
	adviser syncValue[func(ctx context.Context, step sched.TaskRef, workers []string) (orders.Advice, error)]
	// wave is the wave that the operator asks for. upkeepUntil is until when a VM is in upkeep, lastOrderBy
	// the owner that gave the last order for it.
	wave         *upkeep.Wave
	upkeepUntil  map[string]time.Duration
	lastOrderBy  map[string]orderSource
	upkeepOrders int
}

// orderSource is an owner that ordered the upkeep of a VM, and when.
type orderSource struct {
	name  string
	epoch int64
	at    time.Duration
}

// newSimulation returns a simulation with n workers and no nodes.
func newSimulation(n int) *simulation {
	sim := &simulation{
		base: time.Now(), store: newFakeStore(), workers: map[string]*fakeWorker{}, ackedDone: map[sched.TaskRef]bool{},
		liveAt: map[sched.TaskRef]string{}, upkeepUntil: map[string]time.Duration{}, lastOrderBy: map[string]orderSource{}, nodesByAddr: map[string]*testNode{}, work: map[string]*model.Work{}, rnd: rand.New(rand.NewPCG(1, 1)),
	}
	sim.plan.set(model.Plan{
		Version: 1,
		Queues: []model.Queue{
			{Name: "urgent", Pool: "p", Attempts: 3, Stretch: 2, AimMs: 500},
			{Name: "bulk", Pool: "p", Priority: 1, Attempts: 2, Stretch: 3, AimMs: 1000},
		},
		Spaces: []model.PlanSpace{{Name: "ws", Keys: []string{"k"}, Guaranteed: 16}},
	})
	for i := range n {
		sim.addWorker(fmt.Sprintf("w%d", i), 1, time.Second)
	}
	return sim
}

// addWorker adds a worker, or a new incarnation of one, whose runs take runTime. The caller holds mu if the
// simulation runs.
func (sim *simulation) addWorker(id string, born int64, runTime time.Duration) {
	m := &fakeWorker{
		id: id, addr: id, sim: sim, room: model.Room{Millicores: 64000, MemoryMB: 256000, Accelerators: 8}, born: born,
		mu: &sim.workersMu, runs: map[sched.TaskRef]*fakeRun{}, maxEndedRun: map[sched.TaskRef]int64{}, connected: map[string]int64{},
	}
	m.runTime.set(runTime)
	sim.workers[id] = m
}

func (sim *simulation) now() time.Duration { return time.Since(sim.base) }

// addViolation records that an invariant did not hold.
func (sim *simulation) addViolation(format string, args ...any) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.violations = append(sim.violations, fmt.Sprintf("%s: ", sim.now())+fmt.Sprintf(format, args...))
}

// fleet returns the workers as a node reaches them.
func (sim *simulation) fleet(node string) *orders.Fleet {
	return &orders.Fleet{
		Advise: func(ctx context.Context, step sched.TaskRef, workers []string) (orders.Advice, error) {
			return sim.adviser.get()(ctx, step, workers)
		},
		List: func(ctx context.Context) ([]orders.Entry, error) {
			if err := sim.store.admit(ctx, node, "list"); err != nil {
				return nil, err
			}
			return sim.entries(), nil
		},
		Hold: func(ctx context.Context, e orders.Entry, in orders.Hold) (orders.HoldReply, error) {
			m := sim.worker(e.ID)
			if err := m.deliver(ctx, node, nil); err != nil {
				return orders.HoldReply{}, err
			}
			return m.hold(ctx, in)
		},
		Start: func(ctx context.Context, e orders.Entry, in orders.Start) (int64, error) {
			m := sim.worker(e.ID)
			if err := m.deliver(ctx, node, func() { _, _ = m.start(in) }); err != nil {
				return 0, err
			}
			born := m.incarnation()
			clockMs, err := m.start(in)
			clock.Sleep(ctx, messageDelay)
			if m.crashed.get() || m.incarnation() != born {
				return 0, errClosed
			}
			if m.dead.get() || m.dropAnswers.get() {
				<-ctx.Done()
				return 0, orders.ErrOutcomeUnknown
			}
			return clockMs, err
		},
		Stop: func(ctx context.Context, e orders.Entry, task sched.TaskRef, run, epoch int64) error {
			m := sim.worker(e.ID)
			if err := m.deliver(ctx, node, func() { _ = m.stop(task, run, epoch) }); err != nil {
				return err
			}
			return m.stop(task, run, epoch)
		},
	}
}

func (sim *simulation) worker(id string) *fakeWorker {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return sim.workers[id]
}

// setRunTime sets how long runs take that begin from now on.
func (sim *simulation) setRunTime(d time.Duration) {
	for _, m := range sim.workers {
		m.runTime.set(d)
	}
}

// running counts the runs at all workers.
func (sim *simulation) running() int {
	n := 0
	for _, m := range sim.workers {
		m.mu.Lock()
		n += len(m.runs)
		m.mu.Unlock()
	}
	return n
}

// entries returns the entries of the workers that are alive and listed.
func (sim *simulation) entries() []orders.Entry {
	sim.workersMu.Lock()
	defer sim.workersMu.Unlock()
	sim.mu.Lock()
	workers := maps.Clone(sim.workers)
	sim.mu.Unlock()
	var out []orders.Entry
	for id, m := range workers {
		if !m.dead.get() && !m.unlisted.get() {
			out = append(out, orders.Entry{
				Worker: sched.Worker{ID: id, Pool: "p", Rack: "r", Labels: []string{"a", "r"}, Room: m.room, Leaving: m.leaving.get()},
				Addr:   m.addr, StartedMs: m.born,
			})
		}
	}
	slices.SortFunc(out, func(a, b orders.Entry) int { return strings.Compare(a.ID, b.ID) })
	return out
}

// messageDelay is how long a message between nodes or to a worker or VM takes.
const messageDelay = 2 * time.Millisecond

// deliver applies the delay and the faults of an order; later carries out a delayed one.
func (m *fakeWorker) deliver(ctx context.Context, node string, later func()) error {
	clock.Sleep(ctx, messageDelay)
	if unreachable := m.unreachable.get(); unreachable != nil && unreachable(node) {
		<-ctx.Done()
		return orders.ErrOutcomeUnknown
	}
	switch {
	case m.replaced.get():
		return orders.ErrOtherIncarnation
	case m.crashed.get():
		return orders.ErrNotSent
	case m.dead.get():
		<-ctx.Done()
		return orders.ErrOutcomeUnknown
	case m.connectionClosed(node):
		return errClosed
	}
	if resets := m.resets.get(); resets != nil && resets() {
		return errClosed
	}
	if delay := m.delay.get(); delay != nil && later != nil {
		if d := delay(); d > 0 {
			time.AfterFunc(d, later)
			<-ctx.Done()
			return orders.ErrOutcomeUnknown
		}
	}
	return nil
}

func (m *fakeWorker) incarnation() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.born
}

// connectionClosed reports whether the node's connection leads to an earlier incarnation; the next call of the node
// connects anew.
func (m *fakeWorker) connectionClosed(node string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	born, ok := m.connected[node]
	if ok && born != m.born {
		delete(m.connected, node)
		return true
	}
	m.connected[node] = m.born
	return false
}

// clock returns the worker's clock in ms.
func (m *fakeWorker) clock() int64 { return (m.sim.now() + m.clockOffset).Milliseconds() + 1000 }

// fenced reports whether the epoch is lower than an earlier one, else it records the epoch.
func (m *fakeWorker) fenced(epoch int64) bool {
	if epoch < m.epoch {
		return true
	}
	m.epoch = epoch
	return false
}

// maxListedEnds is how many ends a worker lists at a time.
const maxListedEnds = 500

const (
	maxLease  = 6 * time.Second
	killGrace = 300 * time.Millisecond
)

// extend extends the lease up to a deadline on the worker's clock, at most by maxLease.
func (m *fakeWorker) extend(deadlineMs int64) {
	d := time.Duration(deadlineMs-1000)*time.Millisecond - m.clockOffset
	m.leaseEnd = max(m.leaseEnd, min(d, m.sim.now()+maxLease))
}

func (m *fakeWorker) hold(ctx context.Context, in orders.Hold) (orders.HoldReply, error) {
	if m.ignoreContext.get() {
		ctx = context.WithoutCancel(ctx)
	}
	until := m.sim.now() + in.Wait
	born := int64(0)
	for {
		m.mu.Lock()
		if born != 0 && born != m.born {
			m.mu.Unlock()
			return orders.HoldReply{}, errClosed
		}
		born = m.born
		if m.fenced(in.Epoch) {
			m.mu.Unlock()
			return orders.HoldReply{}, orders.ErrFenced
		}
		m.forget(in.Acked)
		in.Acked = 0
		m.endFinishedRuns()
		if in.DeadlineMs > 0 {
			m.extend(in.DeadlineMs)
			in.DeadlineMs = 0
		}
		listed := m.ended[:min(len(m.ended), maxListedEnds)]
		out := orders.HoldReply{StartedMs: m.born, ClockMs: m.clock(), Ended: slices.Clone(listed), More: len(listed) == maxListedEnds}
		if len(listed) > 0 {
			m.listedEnd = max(m.listedEnd, listed[len(listed)-1].Seq)
		}
		for _, r := range m.runs {
			p := int(100 * (m.sim.now() - r.began) / max(1, r.duration))
			out.Running = append(out.Running, orders.Running{Task: r.task, Run: r.run, Checkpoint: r.saved, Percent: min(p, 100)})
		}
		dead, dropAnswers := m.dead.get(), m.dropAnswers.get()
		m.mu.Unlock()
		if m.crashed.get() {
			return orders.HoldReply{}, errClosed
		}
		if dead || dropAnswers {
			<-ctx.Done()
			return orders.HoldReply{}, orders.ErrOutcomeUnknown
		}
		if len(out.Ended) > 0 || m.sim.now() >= until {
			clock.Sleep(ctx, messageDelay)
			return out, ctx.Err()
		}
		clock.Sleep(ctx, 10*time.Millisecond)
		if ctx.Err() != nil {
			return orders.HoldReply{}, orders.ErrOutcomeUnknown
		}
	}
}

// forget removes the acknowledged ends, and records which tasks were acknowledged as done. It records a violation
// if they include ends that this incarnation has not listed.
func (m *fakeWorker) forget(acked int64) {
	if acked > m.listedEnd {
		m.sim.addViolation("%s is told to forget its ends up to %d and has listed %d", m.id, acked, m.listedEnd)
	}
	for len(m.ended) > 0 && m.ended[0].Seq <= acked {
		e := m.ended[0]
		if e.Cause == sched.Done && m.sim.now() <= m.leaseEnd {
			m.sim.mu.Lock()
			m.sim.ackedDone[e.Task] = true
			m.sim.mu.Unlock()
		}
		m.ended = m.ended[1:]
	}
}

// endFinishedRuns ends the runs that have finished, were stopped, or have no lease any more.
func (m *fakeWorker) endFinishedRuns() {
	now := m.sim.now()
	for ref, r := range m.runs {
		switch {
		case now > m.leaseEnd:
			m.end(ref, r, sched.LeaseExpired)
		case r.stopped && now >= r.began+r.duration:
			m.end(ref, r, sched.Stopped)
		case now >= r.began+r.duration && m.failRuns.get():
			m.end(ref, r, sched.Failed)
		case now >= r.began+r.duration:
			m.end(ref, r, sched.Done)
		}
	}
}

func (m *fakeWorker) end(ref sched.TaskRef, r *fakeRun, cause sched.Cause) {
	delete(m.runs, ref)
	m.maxEndedRun[ref] = max(m.maxEndedRun[ref], r.run)
	m.lastEnd++
	m.ended = append(m.ended, orders.Ended{Seq: m.lastEnd, Task: ref, Run: r.run, Cause: cause, Checkpoint: r.saved})
	m.sim.mu.Lock()
	if m.sim.liveAt[ref] == m.id {
		delete(m.sim.liveAt, ref)
	}
	m.sim.mu.Unlock()
}

func (m *fakeWorker) start(in orders.Start) (int64, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.dead.get() {
		return 0, orders.ErrOutcomeUnknown
	}
	if m.fenced(in.Epoch) {
		return m.clock(), orders.ErrFenced
	}
	m.endFinishedRuns()
	if !m.acceptsTicket(in) {
		return m.clock(), orders.ErrBadTicket
	}
	if r := m.runs[in.Task]; r != nil && r.run == in.Run {
		return m.clock(), nil
	}
	if m.maxEndedRun[in.Task] >= in.Run || m.runs[in.Task] != nil {
		return m.clock(), orders.ErrStaleRun
	}
	if in.DeadlineMs < m.clock() {
		return m.clock(), orders.ErrLeaseExpired
	}
	step := m.sim.stepOf(in.Task)
	used := model.Room{}
	for ref := range m.runs {
		used = used.Plus(m.sim.stepOf(ref).Each, 1)
	}
	if m.room.Minus(used, 1).Times(step.Each, 1) < 1 {
		if !m.unguarded {
			return m.clock(), orders.ErrNoRoom
		}
		if m.sim.now()-m.roomAt > roomGrace {
			m.sim.addViolation("%s brings %s over its room", in.Task, m.id)
		}
	}
	m.extend(in.DeadlineMs)
	m.runs[in.Task] = &fakeRun{task: in.Task, run: in.Run, began: m.sim.now(), duration: m.runTime.get()}
	m.sim.checkStart(in.Task, m.id)
	if onStart := m.sim.onStart.get(); onStart != nil {
		onStart(m, in.Task)
	}
	return m.clock(), nil
}

// errClosed is the error of an order during which the worker crashes.
var errClosed = fmt.Errorf("%w: %w", orders.ErrOutcomeUnknown, orders.ErrDisconnected)

// crash ends the worker with its runs and closes its connections.
func (m *fakeWorker) crash() {
	m.crashed.set(true)
	m.powerOff()
}

// powerOff ends the worker with its runs and leaves its connections open.
func (m *fakeWorker) powerOff() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.dead.set(true)
	m.runs, m.ended, m.lastEnd, m.listedEnd = map[sched.TaskRef]*fakeRun{}, nil, 0, 0
	m.epoch, m.leaseEnd, m.maxEndedRun = 0, 0, map[sched.TaskRef]int64{}
}

// restart starts a crashed worker again, under its id or under another one at the same address.
func (m *fakeWorker) restart(sameID bool) {
	if !sameID {
		m.replaced.set(true)
		m.sim.mu.Lock()
		defer m.sim.mu.Unlock()
		m.sim.replacements++
		id := fmt.Sprintf("%s-%d", m.id, m.sim.replacements)
		m.sim.addWorker(id, m.sim.now().Milliseconds(), m.runTime.get())
		m.sim.workers[id].addr = m.addr
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.born, m.clockOffset = m.sim.now().Milliseconds(), -m.sim.now()
	m.dead.set(false)
	m.crashed.set(false)
}

func (m *fakeWorker) stop(task sched.TaskRef, run, epoch int64) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.dead.get() {
		return orders.ErrOutcomeUnknown
	}
	if m.fenced(epoch) {
		return orders.ErrFenced
	}
	m.endFinishedRuns() // those that finished before the stop
	m.maxEndedRun[task] = max(m.maxEndedRun[task], run)
	if r := m.runs[task]; r != nil && r.run <= run && !r.stopped {
		r.stopped = true
		r.duration = m.sim.now() - r.began + killGrace
	}
	return nil
}

func (sim *simulation) stepOf(ref sched.TaskRef) model.Step {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return sim.work[ref.Job].Steps[ref.Step]
}

// checkStart records a violation if a start breaks an invariant: a task that was acknowledged as done
// starts again, or one runs on two workers. The caller holds workersMu.
func (sim *simulation) checkStart(ref sched.TaskRef, worker string) {
	sim.mu.Lock()
	at, running := sim.liveAt[ref]
	other := sim.workers[at]
	done := sim.ackedDone[ref]
	sim.liveAt[ref] = worker
	sim.starts = append(sim.starts, ref.String())
	sim.mu.Unlock()
	if done {
		sim.addViolation("%s starts after it was done", ref)
	}
	if !running || other == nil || at == worker || other.dead.get() {
		return
	}
	if sim.now() <= other.leaseEnd && other.runs[ref] != nil {
		sim.addViolation("%s runs on %s and %s", ref, at, worker)
	}
}

// submit stores a job as a node does.
func (sim *simulation) submit(id, queue string, steps ...model.Step) {
	work := &model.Work{ID: id, Workspace: "ws", Steps: steps, AcceptedMs: time.Now().UnixMilli()}
	for _, q := range sim.plan.get().Queues {
		if q.Name == queue {
			work.Queue = q
		}
	}
	value, err := json.Marshal(work)
	if err != nil {
		panic(err)
	}
	sim.mu.Lock()
	sim.work[id] = work
	sim.mu.Unlock()
	_, _, _ = sim.store.apply(rows.Txn{Put: []rows.Row{{Table: WorkTable, Part: WorkPart(id), Key: id, Value: value}}})
}

// cancel stores a job's cancellation as a node does.
func (sim *simulation) cancel(id string) {
	_, _, _ = sim.store.apply(rows.Txn{Put: []rows.Row{{Table: WorkTable, Part: WorkPart(id), Key: id + CancelSuffix, Value: []byte("{}")}}})
}

// testNode is a Candidate that a test can start and kill.
type testNode struct {
	*Candidate
	cancel context.CancelFunc
	done   chan struct{}
}

// startNodes creates and starts a node for each number of cores; the nodes poll each other.
func (sim *simulation) startNodes(ctx context.Context, cores ...float64) []*testNode {
	out := make([]*testNode, len(cores))
	for i, c := range cores {
		out[i] = sim.newNode(fmt.Sprintf("n%d", i), c)
	}
	for _, n := range out {
		n.start(ctx)
	}
	return out
}

// newNode creates a node, which does nothing before it is started.
func (sim *simulation) newNode(name string, cores float64) *testNode {
	l := &Candidate{
		Node: name, Addr: name, Rows: sim.store.client(name), Fleet: sim.fleet(name), Cores: cores, Site: sim.site(),
		Bounds: Bounds{MaxLease: maxLease, KillGrace: killGrace, EndedRetention: 2 * time.Minute, RemoteDataFactor: 3},
		Plan:   sim.plan.get,
		Now:    sim.now,
	}
	l.Poll = func(ctx context.Context, addr string) (Pulse, error) {
		if asks := sim.beforePoll.get(); asks != nil {
			if err := asks(ctx, name, addr); err != nil {
				return Pulse{}, err
			}
		}
		clock.Sleep(ctx, messageDelay)
		sim.mu.Lock()
		asked := sim.nodesByAddr[addr]
		sim.mu.Unlock()
		return asked.Pulse(l.Cores), nil
	}
	n := &testNode{Candidate: l, done: make(chan struct{})}
	sim.mu.Lock()
	sim.nodesByAddr[name] = n
	sim.mu.Unlock()
	return n
}

func (n *testNode) start(ctx context.Context) {
	ctx, n.cancel = context.WithCancel(ctx)
	go func() {
		defer close(n.done)
		n.Run(ctx)
	}()
}

// kill ends a node as a crash does: nothing of it is carried out any more.
func (n *testNode) kill() {
	n.cancel()
	if o := n.lastOwner(); o != nil {
		o.cancel()
		o.wait()
	}
	<-n.done
}

// state returns a job's stored state, or "" if it is not known.
func (sim *simulation) state(id string) sched.State {
	look, err := ReadJobState(context.Background(), sim.store.client("test"), id)
	if err != nil || !look.Known {
		return ""
	}
	return look.State
}
