package sched

import (
	"container/heap"
	"fmt"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"time"

	"greengageline/pkg/model"
)

// kind is a class of jobs in a simulated load.
type kind struct {
	queue    model.Queue
	perS     float64
	width    float64 // mean tasks of a step
	most     int
	each     model.Room
	gpus     []int
	ms       float64 // mean time of a task
	gang     bool
	oneRack  float64 // share of jobs
	saves    float64
	steps    float64
	fails    float64 // share of runs that fail by themselves
	worth    float64
	lateness float64 // share of the worth that a late job earns
}

// load is a deployment with its traffic.
type load struct {
	name    string
	workers int
	rack    int
	room    model.Room
	kinds   []kind
	spaces  []model.PlanSpace
	// bursts multiply the traffic of a kind between two times.
	bursts []burst
	// stop is how long the stop of a run takes: on the users' sites nearly always
	// all of the time that it may.
	stop   time.Duration
	factor float64
	// bad workers fail all that they start, hung ones make no progress,
	// slow ones take slowBy times as long.
	bad, hung, slow []int
	slowBy          float64
	faultFrom       time.Duration
	faultFor        time.Duration
	// advice makes an adviser allow the share allowed of the workers for each
	// step; it takes one question at a time and fails each failAdvice-th.
	advice     *model.Advice
	allowed    float64
	failAdvice int
}

type burst struct {
	kind     int
	from, to time.Duration
	x        float64
}

// event is something that happens in a simulation at a time.
type event struct {
	at  time.Duration
	seq int
	do  func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	if e[i].at != e[j].at {
		return e[i].at < e[j].at
	}
	return e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

// live is a run at a simulated worker.
type live struct {
	ref    Ref
	run    int64
	worker string
	began  time.Duration
	ms     float64 // time that it takes here; +Inf if it hangs
	need   model.Room
	ended  bool
	away   bool // a stop is on its way
}

// sim drives an engine on a virtual clock and checks the rules that an engine
// alone can break.
type sim struct {
	load
	e      Engine
	seed   uint64
	rnds   []*rand.Rand // one for the arrivals of each kind
	now    time.Duration
	queue  events
	seq    int
	runs   map[Ref]*live
	used   map[string]model.Room
	room   map[string]model.Room
	racks  map[string]string
	jobs   map[string]*Job
	kindOf map[string]int
	done   map[Ref]bool
	fails  map[Ref]int
	faults []string

	owed, earned float64
	byKind       []float64
	owedKind     []float64
	counts       []int
	lostKind     []float64
	lost         float64 // core-seconds thrown away
	passes       int
	passTime     time.Duration
	firstWait    map[string]time.Duration
	// tickets are until when each is valid, by its text; adviserAt is when the
	// adviser is free again, asked how often it was asked.
	tickets   map[string]time.Duration
	adviserAt time.Duration
	asked     int
}

func newSim(l load, seed uint64) *sim {
	s := &sim{
		load: l, seed: seed, runs: map[Ref]*live{}, used: map[string]model.Room{},
		room: map[string]model.Room{}, racks: map[string]string{}, jobs: map[string]*Job{}, kindOf: map[string]int{},
		done: map[Ref]bool{}, fails: map[Ref]int{}, byKind: make([]float64, len(l.kinds)),
		owedKind: make([]float64, len(l.kinds)), counts: make([]int, len(l.kinds)), lostKind: make([]float64, len(l.kinds)), firstWait: map[string]time.Duration{},
		tickets: map[string]time.Duration{},
	}
	for i := range l.kinds {
		l.kinds[i].queue.Advice = l.advice
	}
	for i := range l.kinds {
		s.rnds = append(s.rnds, rand.New(rand.NewPCG(seed, uint64(i))))
	}
	s.e.Limits = Limits{Factor: l.factor}
	p := model.Plan{Version: 1, Spaces: l.spaces}
	for _, k := range l.kinds {
		p.Queues = append(p.Queues, k.queue)
	}
	s.e.SetPlan(p)
	for i := range l.workers {
		id := fmt.Sprintf("w%03d", i)
		rack := fmt.Sprintf("r%d", i/l.rack)
		s.room[id], s.racks[id] = l.room, rack
		s.e.SetWorker(Worker{ID: id, Pool: "p", Rack: rack, Labels: []string{"a", rack}, Room: l.room})
	}
	return s
}

func (s *sim) after(d time.Duration, f func()) {
	s.seq++
	heap.Push(&s.queue, event{s.now + d, s.seq, f})
}

func (s *sim) moment() Moment { return Moment{Steady: s.now, UnixMs: epochMs + s.now.Milliseconds()} }

// epochMs is when the simulated time of day begins.
const epochMs = 1_700_000_000_000

// run plays traffic for a span and then waits for what is left, to the limit.
func (s *sim) run(span, limit time.Duration) {
	for i := range s.kinds {
		s.arrive(i, span)
	}
	s.tick()
	for len(s.queue) > 0 {
		ev := heap.Pop(&s.queue).(event)
		if ev.at > limit {
			return
		}
		s.now = ev.at
		ev.do()
	}
}

func (s *sim) arrive(i int, span time.Duration) {
	rate := s.kinds[i].perS
	for _, b := range s.bursts {
		if b.kind == i && s.now >= b.from && s.now < b.to {
			rate *= b.x
		}
	}
	s.after(time.Duration(s.rnds[i].ExpFloat64()/rate*float64(time.Second)), func() {
		if s.now < span {
			s.submit(i)
			s.arrive(i, span)
		}
	})
}

func spread(rnd *rand.Rand, mean float64, most int) int {
	n := int(math.Round(mean * math.Exp(0.7*rnd.NormFloat64()-0.25)))
	return min(max(1, n), most)
}

func (s *sim) submit(i int) {
	k, rnd := s.kinds[i], s.rnds[i]
	s.counts[i]++
	id := fmt.Sprintf("j%d-%05d", i, s.counts[i])
	w := &model.Work{ID: id, Queue: k.queue, AcceptedMs: s.moment().UnixMs}
	w.Workspace = s.spaces[rnd.IntN(len(s.spaces))].Name
	each := k.each
	each.Accelerators = k.gpus[rnd.IntN(len(k.gpus))]
	oneRack, saves := rnd.Float64() < k.oneRack, rnd.Float64() < k.saves
	for st := range max(1, int(math.Round(k.steps))) {
		step := model.Step{
			Tasks: spread(rnd, k.width, k.most), Each: each, EstimateMs: int64(k.ms), Gang: k.gang,
			OneRack: oneRack, Resumes: saves,
		}
		if st > 0 {
			step.After = []int{st - 1}
		}
		w.Steps = append(w.Steps, step)
	}
	j := NewJob(w)
	s.jobs[id], s.kindOf[id] = j, i
	s.e.Add(j, s.moment())
	s.owed += s.worth(j)
	s.owedKind[i] += s.worth(j)
	s.pass()
}

func (s *sim) worth(j *Job) float64 {
	k := s.kinds[s.kindOf[j.Work.ID]]
	work := 0.0
	for _, st := range j.Work.Steps {
		work += float64(st.Tasks) * st.Each.Cores() * float64(st.EstimateMs)
	}
	mean := k.each
	sum := 0
	for _, g := range k.gpus {
		sum += g
	}
	mean.Accelerators = 0
	cores := mean.Cores() + coresPer*float64(sum)/float64(len(k.gpus))
	return k.worth * min(4, 0.3+0.7*work/(k.steps*k.width*cores*k.ms))
}

const coresPer = 8

func (s *sim) tick() {
	s.pass()
	s.after(100*time.Millisecond, s.tick)
}

func (s *sim) fail(format string, args ...any) {
	s.faults = append(s.faults, fmt.Sprintf("%s: ", s.now)+fmt.Sprintf(format, args...))
}

// pass lets the engine decide and carries its orders out.
func (s *sim) pass() {
	began := time.Now()
	s.e.Pass(s.moment())
	s.passTime += time.Since(began)
	s.passes++
	s.e.TakeChanged()
	for _, q := range s.e.TakeQuestions() {
		s.advise(q)
	}
	gangs := map[int64]int{}
	for _, o := range s.e.TakeOrders() {
		if o.Stop {
			s.stopRun(o)
			continue
		}
		gangs[o.Run]++
		s.startRun(o)
	}
	for run, n := range gangs {
		s.checkGang(run, n)
	}
}

// advise answers a question after those before it.
func (s *sim) advise(q Question) {
	s.asked++
	sent := s.now
	s.adviserAt = max(s.adviserAt, s.now) + q.Takes
	if s.failAdvice > 0 && s.asked%s.failAdvice == 0 {
		s.after(s.adviserAt+time.Second-s.now, func() { s.e.Unadvised(q, s.moment()) })
		return
	}
	s.after(s.adviserAt-s.now, func() {
		valid := time.Duration(s.advice.ValidMs) * time.Millisecond
		tickets := map[string]string{}
		for _, id := range q.Workers {
			if s.allows(q.Step, id) {
				tickets[id] = fmt.Sprintf("%s/%s/%d", q.Step, id, s.asked)
				s.tickets[tickets[id]] = s.now + valid
			}
		}
		s.e.Advised(q, tickets, sent, valid)
		s.pass()
	})
}

func (s *sim) allows(step Ref, worker string) bool {
	h := fnv.New64a()
	_, _ = fmt.Fprintf(h, "%s.%d.%d/%s", step.Job, step.Time, step.Step, worker)
	return rand.New(rand.NewPCG(s.seed, h.Sum64())).Float64() < s.allowed
}

func (s *sim) checkTicket(o Order) {
	if s.advice == nil {
		return
	}
	if until, ok := s.tickets[o.Ticket]; !ok || until < s.now || !s.allows(o.Task, o.Worker) {
		s.fail("%s starts on %s with ticket %q, which is valid until %s", o.Task, o.Worker, o.Ticket, until)
	}
}

func (s *sim) checkGang(run int64, n int) {
	for ref, l := range s.runs {
		if l.run == run {
			if step := s.jobs[ref.Job].Work.Steps[ref.Step]; step.Gang && n != step.Tasks {
				s.fail("gang %s started %d of %d members", ref, n, step.Tasks)
			}
			return
		}
	}
}

func (s *sim) faulty(id string, which []int) bool {
	if s.now < s.faultFrom || s.now > s.faultFrom+s.faultFor {
		return false
	}
	for _, i := range which {
		if id == fmt.Sprintf("w%03d", i) {
			return true
		}
	}
	return false
}

func (s *sim) startRun(o Order) {
	j := s.jobs[o.Task.Job]
	step := j.Work.Steps[o.Task.Step]
	if l := s.runs[o.Task]; l != nil && !l.ended {
		s.fail("%s runs twice", o.Task)
	}
	if s.done[o.Task] {
		s.fail("%s starts after it was done", o.Task)
	}
	s.checkTicket(o)
	for _, a := range step.After {
		for i := range j.Work.Steps[a].Tasks {
			if !s.done[Ref{o.Task.Job, o.Task.Time, a, i}] {
				s.fail("%s starts before step %d has ended", o.Task, a)
			}
		}
	}
	if !step.Gang && s.fails[o.Task] >= j.Work.Queue.Attempts {
		s.fail("%s starts after %d failures", o.Task, s.fails[o.Task])
	}
	used := s.used[o.Worker].Plus(step.Each, 1)
	if s.room[o.Worker].Minus(used, 1).Times(model.Room{Millicores: 1, MemoryMB: 1}, 1) < 0 ||
		used.Accelerators > s.room[o.Worker].Accelerators || used.Millicores > s.room[o.Worker].Millicores ||
		used.MemoryMB > s.room[o.Worker].MemoryMB {
		s.fail("%s brings %s over its room", o.Task, o.Worker)
	}
	s.used[o.Worker] = used
	if _, ok := s.firstWait[o.Task.Job]; !ok {
		s.firstWait[o.Task.Job] = s.now - time.Duration(j.Work.AcceptedMs-epochMs)*time.Millisecond
	}
	k := s.kinds[s.kindOf[o.Task.Job]]
	draw := s.draw(o.Task)
	ms := k.ms * (0.8 + 0.4*draw.Float64())
	if s.faulty(o.Worker, s.slow) {
		ms *= s.slowBy
	}
	if s.faulty(o.Worker, s.hung) {
		ms = math.Inf(1)
	}
	l := &live{ref: o.Task, run: o.Run, worker: o.Worker, began: s.now, ms: ms, need: step.Each}
	s.runs[o.Task] = l
	s.after(5*time.Millisecond, func() { s.confirm(l) })
	fails := draw.Float64() < k.fails || s.faulty(o.Worker, s.bad)
	switch {
	case fails:
		s.after(time.Duration(ms*draw.Float64())*time.Millisecond, func() { s.end(l, Failed) })
	case !math.IsInf(ms, 1) && !step.Gang:
		s.after(time.Duration(ms)*time.Millisecond, func() { s.end(l, Done) })
	case step.Gang:
		// A gang takes as long as its slowest member, longer on several racks.
		s.after(time.Millisecond, func() { s.gangEnd(l, step) })
	}
}

// draw returns the random numbers of a task's next run, which do not depend on
// what else was decided, so that two policies meet the same load.
func (s *sim) draw(ref Ref) *rand.Rand {
	h := fnv.New64a()
	_, _ = fmt.Fprintf(h, "%s/%d", ref, s.fails[ref])
	return rand.New(rand.NewPCG(s.seed, h.Sum64()))
}

func (s *sim) gangEnd(l *live, step model.Step) {
	if l.ref.Task != 0 || l.ended {
		return
	}
	ms, racks := 0.0, map[string]bool{}
	for i := range step.Tasks {
		m := s.runs[Ref{l.ref.Job, l.ref.Time, l.ref.Step, i}]
		if m == nil || m.run != l.run {
			return
		}
		ms = max(ms, m.ms)
		racks[s.racks[m.worker]] = true
	}
	if step.OneRack && len(racks) > 1 {
		ms *= s.factor
	}
	if math.IsInf(ms, 1) {
		return
	}
	s.after(time.Duration(ms)*time.Millisecond, func() { s.end(l, Done) })
}

func (s *sim) confirm(l *live) {
	if l.ended {
		return
	}
	percent := 0
	if !math.IsInf(l.ms, 1) {
		percent = min(100, int(100*float64((s.now-l.began).Milliseconds())/l.ms))
	}
	s.e.Confirm(l.ref, l.run, percent, "", s.moment())
	s.after(2*time.Second, func() { s.confirm(l) })
}

func (s *sim) stopRun(o Order) {
	l := s.runs[o.Task]
	if l == nil || l.ended || l.run != o.Run {
		return
	}
	l.away = true
	s.after(s.stop, func() { s.end(l, Stopped) })
}

// end frees the run's room and tells the engine; the members of a gang that has
// ended go with it.
func (s *sim) end(l *live, cause Cause) {
	if l.ended {
		return
	}
	j := s.jobs[l.ref.Job]
	step := j.Work.Steps[l.ref.Step]
	s.leave(l)
	if cause == Done {
		s.done[l.ref] = true
	}
	if cause == Failed {
		s.fails[l.ref]++
	}
	if cause == Stopped {
		ran := (s.now - l.began).Seconds()
		if step.Resumes {
			ran = min(ran, resumeLoss)
		}
		s.lost += ran * step.Each.Cores()
		s.lostKind[s.kindOf[l.ref.Job]] += ran * step.Each.Cores()
	}
	if step.Gang {
		for i := range step.Tasks {
			m := s.runs[Ref{l.ref.Job, l.ref.Time, l.ref.Step, i}]
			if m == nil || m == l || m.run != l.run {
				continue
			}
			switch {
			case cause == Done:
				s.done[m.ref] = true
				s.leave(m)
			case !m.ended && !m.away:
				m.away = true
				s.after(time.Millisecond, func() { s.end(m, Broken) })
			}
		}
	}
	s.e.End(l.ref, l.run, cause, "", s.moment())
	s.settle(j)
	s.pass()
}

func (s *sim) leave(l *live) {
	if !l.ended {
		l.ended = true
		s.used[l.worker] = s.used[l.worker].Minus(l.need, 1)
	}
}

func (s *sim) settle(j *Job) {
	if j.Final != Completed || j.EndedMs != s.moment().UnixMs {
		return
	}
	i := s.kindOf[j.Work.ID]
	q := s.kinds[i].queue
	goal := q.Stretch*float64(j.Work.ChainMs()) + float64(q.AimMs)
	took := float64(j.EndedMs - j.Work.AcceptedMs)
	gain := 0.0
	switch {
	case took <= goal:
		gain = s.worth(j)
	case took <= lateFactor*goal:
		gain = s.worth(j) * s.kinds[i].lateness
	}
	s.earned += gain
	s.byKind[i] += gain
}
