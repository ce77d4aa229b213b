package place

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"

	"greengageline/pkg/model"
)

const (
	minuteMs = int64(60_000)
	hourMs   = 60 * minuteMs
)

// simJob is a job with what only the simulator knows about it.
type simJob struct {
	Request
	realMs       int64
	remainingMs  int64
	startedMs    int64
	firstStartMs int64
	reclaims     bool // its workspace has an unused claim for it
}

// simEvent is an action at a time; seq keeps the order of actions at the same time.
type simEvent struct {
	at  int64
	seq int
	do  func()
}

// simHeap is a min-heap of events, for container/heap.
type simHeap []simEvent

func (h simHeap) Len() int { return len(h) }
func (h simHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}
func (h simHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *simHeap) Push(x any)   { *h = append(*h, x.(simEvent)) }
func (h *simHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

// sim drives a scheduler with a workload on a virtual clock.
type sim struct {
	scheduler     scheduler
	now           int64
	seq           int
	heap          simHeap
	jobs          map[string]*simJob
	attempts      map[string]int
	broken        map[string]bool
	outageEndMs   int64 // starts and stops take effect only after the outage of the table
	restartCostMs int64

	completionMin map[string][]float64 // completion times in minutes, by class of gang size
	reclaimDelayS []float64            // from arrival to start
	fragSum       float64
	fragSamples   int
	lostHours     float64 // accelerator-hours
	usefulHours   float64 // accelerator-hours
	refused       int
	unfinished    int
	onFinish      func(*simJob)
	onDecision    func(Decision)
}

func newSim(s scheduler) *sim {
	return &sim{
		scheduler: s, jobs: map[string]*simJob{}, attempts: map[string]int{}, broken: map[string]bool{},
		completionMin: map[string][]float64{}, restartCostMs: minuteMs,
	}
}

func (m *sim) at(t int64, do func()) {
	m.seq++
	heap.Push(&m.heap, simEvent{t, m.seq, do})
}

func (m *sim) step(ev Event) {
	for _, d := range m.scheduler.Step(m.now, ev) {
		if m.onDecision != nil {
			m.onDecision(d)
		}
		m.apply(d)
	}
}

func (m *sim) apply(d Decision) {
	j := m.jobs[d.Job]
	switch d.Kind {
	case Start:
		m.start(j, d)
	case Evict, Lost:
		n := m.attempts[d.Job]
		m.at(max(m.now+2000, m.outageEndMs), func() { m.stop(j, n, d.Kind) })
	case Refuse, GiveUp:
		m.refused++
		delete(m.jobs, d.Job)
	}
}

func (m *sim) start(j *simJob, d Decision) {
	m.attempts[j.ID]++
	n := m.attempts[j.ID]
	begin := max(m.now, m.outageEndMs)
	j.startedMs = begin
	if j.firstStartMs == 0 {
		j.firstStartMs = begin
		if j.reclaims {
			m.reclaimDelayS = append(m.reclaimDelayS, float64(begin-j.ArrivedMs)/1000)
		}
	}
	for _, s := range d.Assignments {
		if m.broken[s.Worker] {
			m.at(begin+5000, func() { m.fail(j, n, s.Worker) })
			return
		}
	}
	m.at(begin+j.remainingMs, func() { m.finish(j, n) })
}

func (m *sim) current(j *simJob, n int) bool {
	return m.jobs[j.ID] == j && m.attempts[j.ID] == n
}

func (m *sim) fail(j *simJob, n int, worker string) {
	if !m.current(j, n) {
		return
	}
	m.attempts[j.ID]++
	m.lostHours += acceleratorHours(j, m.now-j.startedMs)
	m.step(Ended{ID: j.ID, Outcome: Failed, Worker: worker, Requeue: true})
}

func (m *sim) finish(j *simJob, n int) {
	if !m.current(j, n) {
		return
	}
	delete(m.jobs, j.ID)
	if m.onFinish != nil {
		m.onFinish(j)
	}
	m.usefulHours += acceleratorHours(j, j.realMs)
	class := classOf(j.Shape)
	m.completionMin[class] = append(m.completionMin[class], float64(m.now-j.ArrivedMs)/float64(minuteMs))
	m.step(Ended{ID: j.ID, Outcome: Finished})
}

// stop ends an evicted or lost attempt. An evicted job with a checkpoint keeps its progress.
func (m *sim) stop(j *simJob, n int, kind Kind) {
	if !m.current(j, n) {
		return
	}
	m.attempts[j.ID]++
	ran := max(m.now-j.startedMs, 0)
	switch {
	case kind == Evict && j.Checkpoint:
		j.remainingMs = max(j.remainingMs-ran, 0) + m.restartCostMs
		m.lostHours += acceleratorHours(j, m.restartCostMs)
	default:
		j.remainingMs = j.realMs
		m.lostHours += acceleratorHours(j, ran)
	}
	m.step(Ended{ID: j.ID, Outcome: Stopped, Requeue: true})
}

func acceleratorHours(j *simJob, ms int64) float64 {
	return float64(j.Shape.Accelerators()) * float64(ms) / float64(hourMs)
}

func classOf(s model.Shape) string {
	switch n := s.Accelerators(); {
	case n <= 2:
		return "small"
	case n < 16:
		return "medium"
	}
	return "large"
}

// run drives the workload for the horizon, then until all jobs are done or the limit passes. Jobs that
// remain then count as unfinished.
func (m *sim) run(horizon, limit int64) {
	for t := int64(0); t < limit; t += 10_000 {
		m.at(t, func() { m.step(Tick{}) })
	}
	for t := 30 * minuteMs; t < horizon; t += minuteMs {
		m.at(t, func() {
			m.fragSum += m.scheduler.Fragmentation()
			m.fragSamples++
		})
	}
	for len(m.heap) > 0 {
		e, _ := heap.Pop(&m.heap).(simEvent)
		if e.at > limit || (e.at > horizon && len(m.jobs) == 0) {
			break
		}
		m.now = e.at
		e.do()
	}
	m.unfinished = len(m.jobs)
	for _, j := range m.jobs {
		m.completionMin[classOf(j.Shape)] = append(m.completionMin[classOf(j.Shape)], float64(limit-j.ArrivedMs)/float64(minuteMs))
	}
}

func (m *sim) submit(j *simJob) {
	j.remainingMs = j.realMs
	m.at(j.ArrivedMs, func() {
		if m.now < m.outageEndMs {
			m.at(m.outageEndMs, func() { m.arrive(j) })
			return
		}
		m.arrive(j)
	})
}

func (m *sim) arrive(j *simJob) {
	m.jobs[j.ID] = j
	m.step(Enqueue{Job: j.Request})
}

func percentile(v []float64, p float64) float64 {
	if len(v) == 0 {
		return math.NaN()
	}
	s := slices.Clone(v)
	slices.Sort(s)
	return s[min(int(p*float64(len(s))), len(s)-1)]
}

// site is the configuration of a simulated cell.
type site struct {
	name                    string
	zones, workers, perRack int
	policy                  Policy
	guarantees              map[string][]Guarantee
}

func naidu() site {
	return site{
		name: "naidu", zones: 3, workers: 50, perRack: 8, policy: CompletionPolicy(),
		guarantees: map[string][]Guarantee{
			"proofs":  {{Shape: model.Shape{Tasks: 4, Each: 8}, Count: 2}},
			"cutting": {{Shape: model.Shape{Tasks: 2, Each: 8}, Count: 3}},
			"letters": {{Shape: model.Shape{Tasks: 1, Each: 4}, Count: 4}},
			"abroad":  nil,
		},
	}
}

func tatry() site {
	return site{
		name: "tatry", zones: 4, workers: 50, perRack: 6, policy: FragmentationPolicy(),
		guarantees: map[string][]Guarantee{
			"routes":  {{Shape: model.Shape{Tasks: 4, Each: 8}, Count: 2}},
			"rosters": {{Shape: model.Shape{Tasks: 3, Each: 8}, Count: 2}},
			"visits":  {{Shape: model.Shape{Tasks: 1, Each: 4}, Count: 4}},
			"care":    nil,
		},
	}
}

func (s site) vm(i int) model.VM {
	rack := i / s.perRack
	return model.VM{
		ID: fmt.Sprintf("w%03d", i), Zone: fmt.Sprintf("z%d", rack%s.zones),
		Rack: fmt.Sprintf("r%02d", rack), Accelerators: 8, Addr: "x:1",
	}
}

func (s site) names() []string {
	var names []string
	for name := range s.guarantees {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

func (s site) snapshot() Snapshot {
	snap := Snapshot{Generation: 1, Policy: s.policy}
	for _, name := range s.names() {
		snap.Workspaces = append(snap.Workspaces, Workspace{Name: name, Guarantees: s.guarantees[name]})
	}
	return snap
}

func (m *sim) build(s site) {
	for i := range s.workers {
		m.step(WorkerUp{VM: s.vm(i)})
	}
	m.step(Configure{Snapshot: s.snapshot()})
	m.step(Ready{})
}

// shapes is the mix of jobs: weight, shape, and range of run times in minutes.
var shapes = []struct {
	weight    float64
	shape     model.Shape
	low, high float64
}{
	{0.55, model.Shape{Tasks: 1, Each: 1}, 10, 60},
	{0.15, model.Shape{Tasks: 1, Each: 2}, 10, 90},
	{0.12, model.Shape{Tasks: 1, Each: 4}, 20, 120},
	{0.08, model.Shape{Tasks: 1, Each: 8}, 30, 180},
	{0.05, model.Shape{Tasks: 2, Each: 8}, 45, 240},
	{0.03, model.Shape{Tasks: 4, Each: 8}, 60, 240},
	{0.015, model.Shape{Tasks: 8, Each: 4}, 60, 240},
	{0.005, model.Shape{Tasks: 12, Each: 8}, 60, 240},
}

// meanHours returns the mean accelerator-hours of a job of the mix.
func meanHours() float64 {
	sum := 0.0
	for _, s := range shapes {
		sum += s.weight * float64(s.shape.Accelerators()) * (s.low + s.high) / 2 / 60
	}
	return sum
}

// workload generates the jobs of a scenario.
type workload struct {
	rng           *rand.Rand
	names         []string
	n             int
	estimateNoise float64 // standard deviation of ln(declared/real)
}

func (w *workload) job(at int64, pick int) *simJob {
	s := shapes[pick]
	real := int64((s.low + (s.high-s.low)*w.rng.Float64()) * float64(minuteMs))
	w.n++
	name := w.names[w.rng.IntN(len(w.names))]
	return &simJob{
		Request: Request{
			ID: fmt.Sprintf("j%06d", w.n), Workspace: name, Class: fmt.Sprintf("c%d", pick), Shape: s.shape,
			Idempotent: w.rng.Float64() < 0.9, Checkpoint: w.rng.Float64() < 0.6,
			EstimateMs: max(int64(float64(real)*math.Exp(w.estimateNoise*w.rng.NormFloat64())), 1000), ArrivedMs: at,
		},
		realMs: real,
	}
}

func (w *workload) pick() int {
	x := w.rng.Float64()
	for i, s := range shapes {
		if x -= s.weight; x < 0 {
			return i
		}
	}
	return 0
}

// steady submits a Poisson stream of jobs that offers the load offeredLoad to the cell.
func (w *workload) steady(m *sim, s site) {
	rate := offeredLoad * float64(s.workers*8) / meanHours() / float64(hourMs) // jobs per ms
	for t := w.rng.ExpFloat64() / rate; t < float64(dayMs); t += w.rng.ExpFloat64() / rate {
		m.submit(w.job(int64(t), w.pick()))
	}
}

// burst submits n jobs of the shapes from..to-1 within a minute.
func (w *workload) burst(m *sim, at int64, n, from, to int) {
	for range n {
		t := at + w.rng.Int64N(minuteMs)
		m.submit(w.job(t, from+w.rng.IntN(to-from)))
	}
}

// scenario submits one day of jobs, with an incident in most scenarios.
type scenario func(w *workload, m *sim, s site)

const (
	dayMs       = 24 * hourMs
	offeredLoad = 0.9
)

var scenarios = map[string]scenario{
	"steady":      func(w *workload, m *sim, s site) { w.steady(m, s) },
	"small-burst": func(w *workload, m *sim, s site) { w.steady(m, s); w.burst(m, 8*hourMs, 1500, 0, 2) },
	"large-burst": func(w *workload, m *sim, s site) { w.steady(m, s); w.burst(m, 8*hourMs, 25, 4, 8) },
	"cancel-wave": func(w *workload, m *sim, s site) {
		w.steady(m, s)
		w.burst(m, 8*hourMs, 600, 0, 4)
		m.at(9*hourMs, m.cancelHalf)
	},
	"wrong-sizes": func(w *workload, m *sim, s site) { w.estimateNoise = 1.5; w.steady(m, s) },
	"bad-workers": func(w *workload, m *sim, s site) {
		w.steady(m, s)
		m.at(6*hourMs, func() { m.broken["w003"], m.broken["w021"] = true, true })
		m.at(14*hourMs, func() { m.broken = map[string]bool{} })
	},
	"rack-loss": func(w *workload, m *sim, s site) {
		w.steady(m, s)
		m.at(8*hourMs, func() {
			for i := s.perRack; i < 2*s.perRack; i++ {
				m.step(WorkerLost{ID: s.vm(i).ID})
			}
		})
		m.at(12*hourMs, func() {
			for i := s.perRack; i < 2*s.perRack; i++ {
				vm := s.vm(i)
				vm.ID += "x"
				m.step(WorkerUp{VM: vm})
			}
		})
	},
	"outage": func(w *workload, m *sim, s site) {
		w.steady(m, s)
		m.at(8*hourMs, func() { m.outageEndMs = 8*hourMs + 40*minuteMs })
	},
}

// cancelHalf cancels every second job that has not started.
func (m *sim) cancelHalf() {
	var ids []string
	for id, j := range m.jobs {
		if j.firstStartMs == 0 {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	for i, id := range ids {
		if i%2 == 0 {
			delete(m.jobs, id)
			m.step(Cancel{ID: id})
		}
	}
}

func newRng(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 1)) }

// runScenario runs one scenario on one scheduler.
func runScenario(s site, name string, seed uint64, with scheduler) *sim {
	m := newSim(with)
	m.build(s)
	w := &workload{rng: newRng(seed), names: s.names(), estimateNoise: 0.4}
	scenarios[name](w, m, s)
	m.run(dayMs, 3*dayMs)
	return m
}
