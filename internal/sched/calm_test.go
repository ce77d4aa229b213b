package sched

import (
	"flag"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"greengageline/internal/speed"
	"greengageline/pkg/model"
)

// calmSeeds is the number of seeds that TestNothingIsLeftAfterTrouble plays of each trouble.
var calmSeeds = flag.Int("calmseeds", 25, "seeds of each trouble in TestNothingIsLeftAfterTrouble")

const (
	// maxIdle is how long work may wait beside room for it twice over on a pool that is less than half used, by the
	// users' rules.
	maxIdle = 3 * time.Second
	// calmStep is the time between passes.
	calmStep = 100 * time.Millisecond
	// troubleFor is how long trouble lasts, calmFor how long it is watched after that.
	troubleFor = 20 * time.Second
	calmFor    = 100 * time.Second
	// calmLease is how long a silent worker's runs go on.
	calmLease = 4 * time.Second
)

// calmWorker is a worker in trouble or not.
type calmWorker struct {
	Worker
	failingUntil time.Duration // until when it fails what it starts
	downUntil    time.Duration // until when it does not answer
	crashed      bool          // it is down as it has crashed
	oddUntil     time.Duration // until when it is draining, or its zone is evacuated
}

// up reports whether the worker could start work.
func (w *calmWorker) up(now time.Duration) bool {
	return now >= w.downUntil && now >= w.failingUntil && !w.Draining && !w.Leaving
}

// calmRun is a run on a worker.
type calmRun struct {
	run         int64
	worker      string
	began, ends time.Duration
	fails       bool
	stopping    bool
}

// calmSim plays trouble and then calm on a pool of workers of three kinds, and records work that waits for too long in
// the calm.
type calmSim struct {
	e       *Engine
	plan    model.Plan
	rnd     *rand.Rand
	speeds  bool // the workers differ in speed, and the engine knows it of most of them
	now     time.Duration
	workers map[string]*calmWorker
	runs    map[TaskRef]*calmRun
	jobs    map[string]*Job
	last    map[string]time.Duration // how long a run of a job takes, by job
	idle    map[TaskRef]time.Duration
	left    map[TaskRef]time.Duration // what waited for longer than maxIdle, and how long
	owners  int64
	added   int
	saves   bool // every second job saves its progress
}

// newCalmPool returns a pool without workers, whose queues allow for a number of attempts.
func newCalmPool(seed uint64, attempts int) *calmSim {
	s := &calmSim{
		rnd: rand.New(rand.NewPCG(seed, 41)), workers: map[string]*calmWorker{}, runs: map[TaskRef]*calmRun{}, jobs: map[string]*Job{},
		last: map[string]time.Duration{}, idle: map[TaskRef]time.Duration{}, left: map[TaskRef]time.Duration{},
	}
	s.plan = model.Plan{
		Version: 1, Spaces: guarantees(2, 8),
		Queues: []model.Queue{queue("urgent", 0, attempts, 2, 500), queue("bulk", 1, attempts, 3, 1000), queue("low", 2, attempts, 3, 5000)},
	}
	s.newOwner()
	return s
}

// newCalmSim returns a pool of 4 to 23 workers of three kinds.
func newCalmSim(seed uint64) *calmSim {
	s := newCalmPool(seed, 4)
	for i := range 4 + s.rnd.IntN(20) {
		label := "a"
		switch {
		case i == 0 || i%8 == 7:
			label = "b"
		case i == 1 || i%8 == 3:
			label = "c"
		}
		s.addWorker(label, fmt.Sprintf("r%d", i%3))
	}
	return s
}

func (s *calmSim) addWorker(label, rack string) {
	room := model.Room{Millicores: 32000, MemoryMB: 64000, Accelerators: 8}
	if label == "c" {
		room.MemoryMB = 256000
	}
	id := fmt.Sprintf("w%03d", s.added)
	s.added++
	w := &calmWorker{Worker: Worker{ID: id, Pool: "p", Rack: rack, Labels: []string{label, rack}, Room: room}}
	s.workers[id] = w
	if s.e != nil {
		s.e.SetWorker(w.Worker)
	}
}

// newOwner replaces the engine by one made from the stored records. What waits is given maxIdle anew, as after any
// disturbance.
func (s *calmSim) newOwner() {
	clear(s.idle)
	e := &Engine{Limits: Limits{SpreadFactor: 3, FirstRun: s.owners * 1_000_000}}
	if s.speeds {
		e.speedOf = estimateByID
	}
	s.owners++
	e.SetPlan(s.plan)
	for _, id := range slices.Sorted(maps.Keys(s.jobs)) {
		r := s.jobs[id].Record()
		data, err := r.Encode()
		if err != nil {
			panic(err)
		}
		j, err := Restore(s.jobs[id].Work, data)
		if err != nil {
			panic(err)
		}
		s.jobs[id] = j
		e.Add(j, moment(s.now))
	}
	s.e = e
	for _, id := range slices.Sorted(maps.Keys(s.workers)) {
		e.SetWorker(s.workers[id].Worker)
	}
}

// submit adds a random job.
func (s *calmSim) submit(i int) {
	r := s.rnd
	names := []string{"urgent", "bulk", "bulk", "low"}
	q := s.e.queues[names[r.IntN(len(names))]]
	step := model.Step{
		Tasks: 1 + r.IntN(5), EstimateMs: 200 + int64(r.IntN(12000)),
		Each: model.Room{Millicores: 1000 * (1 + r.IntN(4)), MemoryMB: 1000 * (1 + r.IntN(8)), Accelerators: r.IntN(5)},
	}
	step.Label = []string{"", "", "a", "b", "c"}[r.IntN(5)]
	if r.IntN(12) == 0 {
		step.Each.MemoryMB = 80000 // only the largest workers have that
	}
	if r.IntN(5) == 0 {
		step.DataRack = fmt.Sprintf("r%d", r.IntN(3))
	}
	switch r.IntN(6) {
	case 0, 1:
		step.Gang, step.OneRack = true, r.IntN(2) == 0
	case 2:
		step.PerWorker = 1
	case 3:
		step.Lasts, step.PerWorker = r.IntN(2) == 0, r.IntN(2)
	}
	w := &model.Work{ID: fmt.Sprintf("j%02d", i), Workspace: fmt.Sprintf("ws%d", r.IntN(2)), Queue: q, Steps: []model.Step{step}, AcceptedMs: moment(s.now).UnixMs}
	if !step.Lasts && r.IntN(4) == 0 {
		w.Steps = append(w.Steps, model.Step{Tasks: 2, EstimateMs: step.EstimateMs, Each: step.Each, Label: step.Label, After: []int{0}})
	}
	w.Steps[0].Resumes = s.saves && i%2 == 0
	s.add(w)
}

// add adds a job whose runs take as long as estimated.
func (s *calmSim) add(w *model.Work) {
	s.last[w.ID] = time.Duration(w.Steps[0].EstimateMs) * time.Millisecond
	j := NewJob(w)
	s.jobs[w.ID] = j
	s.e.Add(j, moment(s.now))
}

// refs returns the tasks that run, sorted.
func (s *calmSim) refs() []TaskRef { return slices.SortedFunc(maps.Keys(s.runs), compareRefs) }

// step carries on by calmStep.
func (s *calmSim) step() {
	s.now += calmStep
	for _, id := range slices.Sorted(maps.Keys(s.workers)) {
		s.settleWorker(s.workers[id])
	}
	for _, ref := range s.refs() {
		if r := s.runs[ref]; r != nil && s.now >= s.workers[r.worker].downUntil {
			s.carryOn(ref, r)
		}
	}
	s.e.Pass(moment(s.now))
	s.e.TakeChanged()
	s.e.TakeWaits()
	for _, q := range s.e.TakeQuestions() {
		tickets := map[string]string{}
		for _, id := range q.Workers {
			tickets[id] = "ticket"
		}
		s.e.RecordAdvice(q, tickets, moment(s.now).Steady, 3*time.Second)
	}
	for _, o := range s.e.TakeOrders() {
		if !o.Stop {
			s.start(o)
		} else if r := s.runs[o.Task]; r != nil && r.run == o.Run {
			r.stopping = true
		}
	}
}

// settleWorker ends the silence of a worker, or the runs on one that has been silent for a lease.
func (s *calmSim) settleWorker(w *calmWorker) {
	if w.Silent && s.now >= w.downUntil {
		w.Silent, w.crashed = false, false
		s.e.SetWorker(w.Worker)
	}
	if (w.Draining || w.Leaving) && s.now >= w.oddUntil {
		w.Draining, w.Leaving, w.EvacuateBy = false, false, 0
		s.e.SetWorker(w.Worker)
	}
}

// carryOn reports the progress or the end of a run.
func (s *calmSim) carryOn(ref TaskRef, r *calmRun) {
	step := &s.jobs[ref.Job].Work.Steps[ref.Step]
	switch {
	case r.stopping:
		s.end(ref, r, Stopped)
	case r.fails && s.now >= r.ends:
		s.end(ref, r, Failed)
	case s.now >= r.ends && !step.Lasts:
		s.end(ref, r, Done)
		if step.Gang {
			for _, m := range s.refs() {
				if o := s.runs[m]; o != nil && o.run == r.run {
					delete(s.runs, m)
				}
			}
		}
	default:
		percent := 100
		if !step.Lasts {
			percent = min(100, int(100*(s.now-r.began)/(s.last[ref.Job]+1)))
		}
		s.e.Confirm(ref, r.run, percent, "", moment(s.now))
	}
}

func (s *calmSim) end(ref TaskRef, r *calmRun, c Cause) {
	delete(s.runs, ref)
	s.e.End(ref, r.run, c, "", moment(s.now))
}

func (s *calmSim) start(o Order) {
	w := s.workers[o.Worker]
	if w.Leaving {
		s.left[o.Task] = 0 // starts in an evacuated zone
	}
	r := &calmRun{run: o.Run, worker: o.Worker, began: s.now, ends: s.now + s.last[o.Task.Job]}
	if s.speeds {
		r.ends = s.now + time.Duration(estimateByID(o.Worker).Factor*float64(s.last[o.Task.Job]))
	}
	if s.now < w.failingUntil {
		r.fails, r.ends = true, s.now+time.Duration(s.rnd.IntN(400))*time.Millisecond
	}
	s.runs[o.Task] = r
}

// crash crashes a worker, which is back after a time, perhaps as another.
func (s *calmSim) crash(w *calmWorker, down time.Duration) {
	for _, ref := range s.refs() {
		if r := s.runs[ref]; r.worker == w.ID {
			delete(s.runs, ref)
			s.e.EndCrashed(ref, r.run, s.now-r.began, moment(s.now))
		}
	}
	if s.rnd.IntN(3) == 0 {
		s.replace(w)
		return
	}
	w.Silent, w.crashed, w.downUntil = true, true, s.now+down
	s.e.SetWorker(w.Worker)
}

// replace removes a worker; another of its kind takes its place.
func (s *calmSim) replace(w *calmWorker) {
	for _, ref := range s.refs() {
		if r := s.runs[ref]; r.worker == w.ID {
			delete(s.runs, ref)
		}
	}
	s.e.DropWorker(w.ID, moment(s.now))
	delete(s.workers, w.ID)
	s.addWorker(w.Labels[0], w.Rack)
}

// someWorkers returns one worker, a few, or all of a kind.
func (s *calmSim) someWorkers() []*calmWorker {
	ids := slices.Sorted(maps.Keys(s.workers))
	var out []*calmWorker
	label := []string{"", "a", "b", "c", "b", "c"}[s.rnd.IntN(6)]
	for _, id := range ids {
		w := s.workers[id]
		if label == "" && s.rnd.IntN(len(ids)) < 2 || w.Labels[0] == label && s.rnd.IntN(3) > 0 {
			out = append(out, w)
		}
	}
	return out
}

// trouble begins some trouble of a kind. None lasts beyond until.
func (s *calmSim) trouble(kind string, until time.Duration) {
	span := func(least, most float64) time.Duration {
		d := time.Duration((least + (most-least)*s.rnd.Float64()) * float64(time.Second))
		return min(d, until-s.now)
	}
	if kind == "mixed" {
		kind = []string{"failing", "crashes", "silent", "draining", "replaced", "owners"}[s.rnd.IntN(6)]
	}
	if kind == "owners" {
		s.newOwner()
		return
	}
	for _, w := range s.someWorkers() {
		if w.Silent || s.now < w.downUntil {
			continue
		}
		switch kind {
		case "failing":
			w.failingUntil = s.now + span(1, 7)
		case "crashes":
			s.crash(w, span(0.3, 3))
		case "silent":
			w.Silent, w.downUntil = true, s.now+span(0.5, 8)
			s.e.SetWorker(w.Worker)
		case "draining":
			w.Draining, w.oddUntil = true, s.now+span(1, 8)
			s.e.SetWorker(w.Worker)
		case "evacuated", "evacuated for good":
			w.Leaving, w.EvacuateBy, w.oddUntil = true, moment(s.now+5*time.Second).Steady, s.now+span(1, 12)
			if kind != "evacuated" {
				w.oddUntil = math.MaxInt64
			}
			s.e.SetWorker(w.Worker)
		case "replaced":
			s.replace(w)
		}
	}
}

// loseSilent ends the runs of workers that have been silent for a lease.
func (s *calmSim) loseSilent(since map[string]time.Duration) {
	for id, w := range s.workers {
		if !w.Silent {
			delete(since, id)
		} else if _, ok := since[id]; !ok {
			since[id] = s.now
		}
	}
	for _, ref := range s.refs() {
		if r := s.runs[ref]; r != nil {
			if at, ok := since[r.worker]; ok && s.now-at > calmLease {
				s.end(ref, r, Lost)
			}
		}
	}
}

// check records what has waited for too long beside ample room.
func (s *calmSim) check() {
	used, total := map[string]model.Room{}, model.Room{}
	sum := model.Room{}
	for ref, r := range s.runs {
		need := s.jobs[ref.Job].Work.Steps[ref.Step].Need()
		used[r.worker], sum = used[r.worker].Plus(need, 1), sum.Plus(need, 1)
	}
	for _, w := range s.workers {
		total = total.Plus(w.Room, 1)
	}
	calm := max(fraction(sum.Accelerators, total.Accelerators), fraction(sum.Millicores, total.Millicores), fraction(sum.MemoryMB, total.MemoryMB)) < 0.5
	idle := map[TaskRef]time.Duration{}
	for id, j := range s.jobs {
		for ref := range s.waitingOf(id, j) {
			if calm && s.fitsTwice(ref, j, used) {
				idle[ref] = s.idle[ref] + calmStep
				if idle[ref] > maxIdle {
					s.left[ref] = idle[ref]
				}
			}
		}
	}
	s.idle = idle
}

// waitingOf returns what of an open job should run and does not: a step if nothing of the job runs, or a lasting task.
func (s *calmSim) waitingOf(id string, j *Job) map[TaskRef]bool {
	out := map[TaskRef]bool{}
	if !j.Open() {
		return out
	}
	for ref := range s.runs {
		if ref.Job == id && !j.Work.Steps[ref.Step].Lasts {
			return out
		}
	}
	for st := range j.Work.Steps {
		step, b := &j.Work.Steps[st], &j.Batches[0][st]
		if !j.dependenciesEnded(0, step) || b.ended == len(b.Tasks) {
			continue
		}
		for i := range b.Tasks {
			ref := TaskRef{Job: id, Step: st, Task: i}
			if s.runs[ref] == nil && b.Tasks[i].Phase != Ended {
				out[ref] = true
				if !step.Lasts {
					break
				}
			}
		}
	}
	return out
}

// fitsTwice reports whether there is room for a task, or for a gang, twice over.
func (s *calmSim) fitsTwice(ref TaskRef, j *Job, used map[string]model.Room) bool {
	step := &j.Work.Steps[ref.Step]
	need, tasks := step.Need(), 1
	if step.Gang {
		tasks = step.Tasks
	}
	slots := 0
	for id, w := range s.workers {
		if !w.up(s.now) || step.Label != "" && !slices.Contains(w.Labels, step.Label) {
			continue
		}
		limit := 2 * tasks
		if step.PerWorker > 0 {
			limit = step.PerWorker
			for o, r := range s.runs {
				if r.worker == id && o.Job == ref.Job && o.Step == ref.Step {
					limit--
				}
			}
		}
		slots += w.Room.Minus(used[id], 1).Times(need, max(0, limit))
	}
	return slots >= 2*tasks
}

// estimateByID returns the speeds of workers that differ from 0.7 to 4; every fifth is unknown.
func estimateByID(id string) speed.Estimate {
	n := int(id[len(id)-1]-'0') + 3*int(id[len(id)-2]-'0')
	if n%5 == 0 {
		return speed.Estimate{Factor: 1, Low: 1, High: 1}
	}
	f := []float64{0.7, 0.7, 1, 1.7, 4}[n%5]
	return speed.Estimate{Factor: f, Low: f, High: f, Samples: 9}
}

// play plays trouble of a kind, or none, and then calm.
func (s *calmSim) play(kind string) {
	silent := map[string]time.Duration{}
	next, jobs := time.Duration(0), 0
	changeAt := troubleFor + time.Duration(s.rnd.IntN(15))*time.Second
	for s.now < troubleFor+calmFor {
		if jobs < 30 && s.rnd.IntN(8) == 0 {
			s.submit(jobs)
			jobs++
		}
		if kind != "" && s.now >= next && s.now < troubleFor {
			s.trouble(kind, troubleFor)
			next = s.now + time.Duration(200+s.rnd.IntN(3000))*time.Millisecond
		}
		if s.now > changeAt && kind != "" {
			changeAt = troubleFor + calmFor
			s.newOwner()
		}
		s.step()
		s.loseSilent(silent)
		if s.now >= troubleFor {
			s.check()
		}
	}
}

// Guards against work that waits for good, or for longer than the users' rules allow, beside room for it after workers
// have failed or crashed (LOST): each thing that takes a worker away from a task has to end, also under a new owner.
func TestNothingIsLeftAfterTrouble(t *testing.T) {
	for name, kind := range map[string]string{
		"none": "", "failing": "failing", "crashes": "crashes", "silent": "silent", "draining": "draining", "replaced": "replaced",
		"owners": "owners", "mixed": "mixed", "mixed, uneven speeds": "uneven", "evacuated": "evacuated", "evacuated for good": "evacuated for good",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			bad := 0
			for seed := range *calmSeeds {
				s := newCalmSim(uint64(seed))
				s.saves = strings.HasPrefix(kind, "evacuated")
				if kind == "uneven" {
					s.speeds, s.e.speedOf = true, estimateByID
				}
				s.play(strings.Replace(kind, "uneven", "mixed", 1))
				if len(s.left) > 0 {
					bad++
					t.Logf("seed %d: waits beside room: %s", seed, s.describeLeft())
				}
			}
			t.Logf("%d of %d plays left work", bad, *calmSeeds)
			is.Equal(bad, 0)
		})
	}
}

// describeLeft describes the first two tasks that were left.
func (s *calmSim) describeLeft() (out string) {
	for n, ref := range slices.SortedFunc(maps.Keys(s.left), compareRefs) {
		if n == 2 {
			return fmt.Sprintf("%s and %d more", out, len(s.left)-2)
		}
		step := s.jobs[ref.Job].Work.Steps[ref.Step]
		out += fmt.Sprintf("%s for %s (%s, label %q, gang %t, one rack %t, data %q, per worker %d, lasts %t, estimate %d, %d tasks); ", ref, s.left[ref],
			s.jobs[ref.Job].Work.Queue.Name, step.Label, step.Gang, step.OneRack, step.DataRack, step.PerWorker, step.Lasts, step.EstimateMs, step.Tasks)
	}
	return out
}
