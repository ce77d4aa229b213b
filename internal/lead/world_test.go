package lead

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

// memRun is a run at a memWorker.
type memRun struct {
	task    sched.Ref
	run     int64
	began   time.Duration
	takes   time.Duration
	stopped bool
	saved   string
}

// memWorker keeps the rules of the platform's workers: leases, fences, room,
// runs that are too old, and ends that are listed until acknowledged.
type memWorker struct {
	id       string
	w        *world
	room     model.Room
	born     int64
	gone     knob[bool]
	unlisted knob[bool]
	cut      knob[func(who string) bool] // orders and answers do not pass
	oneWay   knob[bool]                  // orders pass, answers do not
	late     knob[func() time.Duration]  // orders without an answer, done later
	takes    knob[time.Duration]
	fails    knob[bool]
	leaving  knob[bool]
	stubborn knob[bool] // a hold does not end with its context, as a call may not

	// mu guards all workers of the world, since a start looks at another one's
	// runs; it is taken before the world's own mutex.
	mu       *sync.Mutex
	epoch    int64
	lease    time.Duration
	runs     map[sched.Ref]*memRun
	floor    map[sched.Ref]int64
	ended    []orders.Ended
	n        int64
	clockOff time.Duration
}

// world is a store, workers and nodes on one clock, with the record of what
// the workers saw.
type world struct {
	base    time.Time
	store   *memStore
	atWork  sync.Mutex // see memWorker.mu
	mu      sync.Mutex
	workers map[string]*memWorker
	starts  []string
	faults  []string
	doneRun map[sched.Ref]bool // ends that were acknowledged as done
	live    map[sched.Ref]string
	plan    knob[model.Plan]
	work    map[string]*model.Work
	rnd     *rand.Rand
	// asks is asked before a node's question to another.
	asks   knob[func(ctx context.Context, from, to string) error]
	byAddr map[string]*node // guarded by mu
	// adviser is nil if no queue needs one.
	adviser knob[func(ctx context.Context, step sched.Ref, workers []string) (orders.Advice, error)]
	// wave is what an operator asks for; inUpkeep is until when a VM is down,
	// holders who gave the last order for it.
	wave     *upkeep.Wave
	inUpkeep map[string]time.Duration
	holders  map[string]holder
	ordered  int
}

// holder is an owner that gave an order for a VM.
type holder struct {
	name  string
	epoch int64
	at    time.Duration
}

func newWorld(n int) *world {
	w := &world{
		base: time.Now(), store: newMemStore(), workers: map[string]*memWorker{}, doneRun: map[sched.Ref]bool{},
		live: map[sched.Ref]string{}, inUpkeep: map[string]time.Duration{}, holders: map[string]holder{}, byAddr: map[string]*node{}, work: map[string]*model.Work{}, rnd: rand.New(rand.NewPCG(1, 1)),
	}
	w.plan.set(model.Plan{
		Version: 1,
		Queues: []model.Queue{
			{Name: "urgent", Pool: "p", Attempts: 3, Stretch: 2, AimMs: 500},
			{Name: "bulk", Pool: "p", Priority: 1, Attempts: 2, Stretch: 3, AimMs: 1000},
		},
		Spaces: []model.PlanSpace{{Name: "ws", Keys: []string{"k"}, Guaranteed: 16}},
	})
	for i := range n {
		w.addWorker(fmt.Sprintf("w%d", i), 1, time.Second)
	}
	return w
}

// addWorker lets a worker's life begin, whose runs take a time; the caller holds
// mu if the world runs.
func (w *world) addWorker(id string, born int64, takes time.Duration) {
	m := &memWorker{
		id: id, w: w, room: model.Room{Millicores: 64000, MemoryMB: 256000, Accelerators: 8}, born: born,
		mu: &w.atWork, runs: map[sched.Ref]*memRun{}, floor: map[sched.Ref]int64{},
	}
	m.takes.set(takes)
	w.workers[id] = m
}

func (w *world) now() time.Duration { return time.Since(w.base) }

func (w *world) fault(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faults = append(w.faults, fmt.Sprintf("%s: ", w.now())+fmt.Sprintf(format, args...))
}

// fleet returns the workers as the node who reaches them.
func (w *world) fleet(who string) *orders.Fleet {
	return &orders.Fleet{
		Advise: func(ctx context.Context, step sched.Ref, workers []string) (orders.Advice, error) {
			return w.adviser.get()(ctx, step, workers)
		},
		List: func(ctx context.Context) ([]orders.Entry, error) {
			if err := w.store.asked(ctx, who, "list"); err != nil {
				return nil, err
			}
			return w.entries(), nil
		},
		Hold: func(ctx context.Context, e orders.Entry, in orders.Hold) (orders.Held, error) {
			m := w.worker(e.ID)
			if err := m.pass(ctx, who, nil); err != nil {
				return orders.Held{}, err
			}
			return m.hold(ctx, in)
		},
		Start: func(ctx context.Context, e orders.Entry, in orders.Start) (int64, error) {
			m := w.worker(e.ID)
			if err := m.pass(ctx, who, func() { _, _ = m.start(in) }); err != nil {
				return 0, err
			}
			clock, err := m.start(in)
			if m.oneWay.get() {
				<-ctx.Done()
				return 0, orders.ErrUnclear
			}
			return clock, err
		},
		Stop: func(ctx context.Context, e orders.Entry, task sched.Ref, run, epoch int64) error {
			m := w.worker(e.ID)
			if err := m.pass(ctx, who, func() { _ = m.stop(task, run, epoch) }); err != nil {
				return err
			}
			return m.stop(task, run, epoch)
		},
	}
}

func (w *world) worker(id string) *memWorker {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.workers[id]
}

// takeLong lets every run that begins from now on take a time.
func (w *world) takeLong(d time.Duration) {
	for _, m := range w.workers {
		m.takes.set(d)
	}
}

// running counts the runs at all workers.
func (w *world) running() int {
	n := 0
	for _, m := range w.workers {
		m.mu.Lock()
		n += len(m.runs)
		m.mu.Unlock()
	}
	return n
}

func (w *world) entries() []orders.Entry {
	w.atWork.Lock()
	defer w.atWork.Unlock()
	w.mu.Lock()
	workers := maps.Clone(w.workers)
	w.mu.Unlock()
	var out []orders.Entry
	for id, m := range workers {
		if !m.gone.get() && !m.unlisted.get() {
			out = append(out, orders.Entry{
				Worker: sched.Worker{ID: id, Pool: "p", Rack: "r", Labels: []string{"a", "r"}, Room: m.room, Leaving: m.leaving.get()},
				Addr:   id, Born: m.born,
			})
		}
	}
	slices.SortFunc(out, func(a, b orders.Entry) int { return strings.Compare(a.ID, b.ID) })
	return out
}

const travel = 2 * time.Millisecond

func (m *memWorker) pass(ctx context.Context, who string, later func()) error {
	clock.Sleep(ctx, travel)
	if cut := m.cut.get(); cut != nil && cut(who) {
		<-ctx.Done()
		return orders.ErrUnclear
	}
	if m.gone.get() {
		<-ctx.Done()
		return orders.ErrUnclear
	}
	if late := m.late.get(); late != nil && later != nil {
		if d := late(); d > 0 {
			time.AfterFunc(d, later)
			<-ctx.Done()
			return orders.ErrUnclear
		}
	}
	return nil
}

func (m *memWorker) clock() int64 { return (m.w.now() + m.clockOff).Milliseconds() + 1000 }

// fenced notes the epoch and reports whether it is lower than a former one.
func (m *memWorker) fenced(epoch int64) bool {
	if epoch < m.epoch {
		return true
	}
	m.epoch = epoch
	return false
}

const (
	longestLease = 6 * time.Second
	killTime     = 300 * time.Millisecond
)

func (m *memWorker) extend(deadlineMs int64) {
	d := time.Duration(deadlineMs-1000) * time.Millisecond
	m.lease = max(m.lease, min(d, m.w.now()+longestLease))
}

func (m *memWorker) hold(ctx context.Context, in orders.Hold) (orders.Held, error) {
	if m.stubborn.get() {
		ctx = context.WithoutCancel(ctx)
	}
	until := m.w.now() + in.Wait
	for {
		m.mu.Lock()
		if m.fenced(in.Epoch) {
			m.mu.Unlock()
			return orders.Held{}, orders.ErrFenced
		}
		m.forget(in.Acked)
		m.turn()
		if in.DeadlineMs > 0 {
			m.extend(in.DeadlineMs)
			in.DeadlineMs = 0
		}
		out := orders.Held{Born: m.born, ClockMs: m.clock(), Ended: slices.Clone(m.ended)}
		for _, r := range m.runs {
			p := int(100 * (m.w.now() - r.began) / max(1, r.takes))
			out.Running = append(out.Running, orders.Running{Task: r.task, Run: r.run, Saved: r.saved, Percent: min(p, 100)})
		}
		gone, oneWay := m.gone.get(), m.oneWay.get()
		m.mu.Unlock()
		if gone || oneWay {
			<-ctx.Done()
			return orders.Held{}, orders.ErrUnclear
		}
		if len(out.Ended) > 0 || m.w.now() >= until {
			clock.Sleep(ctx, travel)
			return out, ctx.Err()
		}
		clock.Sleep(ctx, 10*time.Millisecond)
		if ctx.Err() != nil {
			return orders.Held{}, orders.ErrUnclear
		}
	}
}

func (m *memWorker) forget(acked int64) {
	for len(m.ended) > 0 && m.ended[0].N <= acked {
		e := m.ended[0]
		if e.Cause == sched.Done && m.w.now() <= m.lease {
			m.w.mu.Lock()
			m.w.doneRun[e.Task] = true
			m.w.mu.Unlock()
		}
		m.ended = m.ended[1:]
	}
}

// turn ends what is through, stopped, or without a lease.
func (m *memWorker) turn() {
	now := m.w.now()
	for ref, r := range m.runs {
		switch {
		case now > m.lease:
			m.end(ref, r, sched.Lapsed)
		case r.stopped && now >= r.began+r.takes:
			m.end(ref, r, sched.Stopped)
		case now >= r.began+r.takes && m.fails.get():
			m.end(ref, r, sched.Failed)
		case now >= r.began+r.takes:
			m.end(ref, r, sched.Done)
		}
	}
}

func (m *memWorker) end(ref sched.Ref, r *memRun, cause sched.Cause) {
	delete(m.runs, ref)
	m.floor[ref] = max(m.floor[ref], r.run)
	m.n++
	m.ended = append(m.ended, orders.Ended{N: m.n, Task: ref, Run: r.run, Cause: cause, Saved: r.saved})
	m.w.mu.Lock()
	if m.w.live[ref] == m.id {
		delete(m.w.live, ref)
	}
	m.w.mu.Unlock()
}

func (m *memWorker) start(in orders.Start) (int64, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.gone.get() {
		return 0, orders.ErrUnclear
	}
	if m.fenced(in.Epoch) {
		return m.clock(), orders.ErrFenced
	}
	m.turn()
	if !m.ticketed(in) {
		return m.clock(), orders.ErrTicket
	}
	if r := m.runs[in.Task]; r != nil && r.run == in.Run {
		return m.clock(), nil
	}
	if m.floor[in.Task] >= in.Run || m.runs[in.Task] != nil {
		return m.clock(), orders.ErrOld
	}
	if in.DeadlineMs < m.clock() {
		return m.clock(), orders.ErrLate
	}
	step := m.w.stepOf(in.Task)
	used := model.Room{}
	for ref := range m.runs {
		used = used.Plus(m.w.stepOf(ref).Each, 1)
	}
	if m.room.Minus(used, 1).Times(step.Each, 1) < 1 {
		return m.clock(), orders.ErrNoRoom
	}
	m.extend(in.DeadlineMs)
	m.runs[in.Task] = &memRun{task: in.Task, run: in.Run, began: m.w.now(), takes: m.takes.get()}
	m.w.began(in.Task, m.id)
	return m.clock(), nil
}

func (m *memWorker) stop(task sched.Ref, run, epoch int64) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.gone.get() {
		return orders.ErrUnclear
	}
	if m.fenced(epoch) {
		return orders.ErrFenced
	}
	m.floor[task] = max(m.floor[task], run)
	if r := m.runs[task]; r != nil && r.run <= run && !r.stopped {
		r.stopped = true
		r.takes = m.w.now() - r.began + killTime
	}
	return nil
}

func (w *world) stepOf(ref sched.Ref) model.Step {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.work[ref.Job].Steps[ref.Step]
}

// began checks that a start breaks no promise; the caller holds atWork.
func (w *world) began(ref sched.Ref, worker string) {
	w.mu.Lock()
	at, twice := w.live[ref]
	other := w.workers[at]
	done := w.doneRun[ref]
	w.live[ref] = worker
	w.starts = append(w.starts, ref.String())
	w.mu.Unlock()
	if done {
		w.fault("%s starts after it was done", ref)
	}
	if !twice || other == nil || at == worker || other.gone.get() {
		return
	}
	if w.now() <= other.lease && other.runs[ref] != nil {
		w.fault("%s runs on %s and %s", ref, at, worker)
	}
}

// submit writes a job as a node does.
func (w *world) submit(id, queue string, steps ...model.Step) {
	work := &model.Work{ID: id, Workspace: "ws", Steps: steps, AcceptedMs: time.Now().UnixMilli()}
	for _, q := range w.plan.get().Queues {
		if q.Name == queue {
			work.Queue = q
		}
	}
	value, err := json.Marshal(work)
	if err != nil {
		panic(err)
	}
	w.mu.Lock()
	w.work[id] = work
	w.mu.Unlock()
	_, _, _ = w.store.apply(rows.Txn{Put: []rows.Row{{Table: WorkTable, Part: WorkPart(id), Key: id, Value: value}}})
}

func (w *world) cancel(id string) {
	_, _, _ = w.store.apply(rows.Txn{Put: []rows.Row{{Table: WorkTable, Part: WorkPart(id), Key: id + CancelSuffix, Value: []byte("{}")}}})
}

// node is one node's part in the ownership, with a clock that can be paused.
type node struct {
	*Lead
	cancel context.CancelFunc
	done   chan struct{}
}

// nodes starts n nodes that ask each other.
func (w *world) nodes(ctx context.Context, cores ...float64) []*node {
	out := make([]*node, len(cores))
	for i, c := range cores {
		out[i] = w.node(fmt.Sprintf("n%d", i), c)
	}
	for _, n := range out {
		n.begin(ctx)
	}
	return out
}

// node makes a node, which does nothing before it begins.
func (w *world) node(name string, cores float64) *node {
	l := &Lead{
		Node: name, Addr: name, Rows: w.store.view(name), Fleet: w.fleet(name), Cores: cores, Site: w.site(),
		Bounds: Bounds{MaxHold: longestLease, KillGrace: killTime, KeepEnded: 2 * time.Minute, Factor: 3},
		Plan:   w.plan.get,
		Now:    w.now,
	}
	l.Ask = func(ctx context.Context, addr string) (Pulse, error) {
		if asks := w.asks.get(); asks != nil {
			if err := asks(ctx, name, addr); err != nil {
				return Pulse{}, err
			}
		}
		clock.Sleep(ctx, travel)
		w.mu.Lock()
		asked := w.byAddr[addr]
		w.mu.Unlock()
		return asked.Pulse(l.Cores), nil
	}
	n := &node{Lead: l, done: make(chan struct{})}
	w.mu.Lock()
	w.byAddr[name] = n
	w.mu.Unlock()
	return n
}

func (n *node) begin(ctx context.Context) {
	ctx, n.cancel = context.WithCancel(ctx)
	go func() {
		defer close(n.done)
		n.Run(ctx)
	}()
}

// kill ends a node as a crash does: nothing of it is carried out any more.
func (n *node) kill() {
	n.cancel()
	if o := n.last(); o != nil {
		o.cancel()
		o.wait()
	}
	<-n.done
}

// state returns a job's stored state.
func (w *world) state(id string) sched.State {
	look, err := StateOf(context.Background(), w.store.view("test"), id)
	if err != nil || !look.Known {
		return ""
	}
	return look.State
}
