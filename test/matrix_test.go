package test

import (
	"context"
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"greengageline/internal/cell"
	"greengageline/internal/config"
	"greengageline/internal/stand"
	"greengageline/pkg/model"
)

var (
	pairs    = flag.Int("pairs", 40, "how many seeded pairs of faults TestPairs tries")
	pairSeed = flag.Uint64("pairseed", 1, "first seed of TestPairs")
	verbose  = flag.Bool("logs", false, "print the nodes' log lines of a red cell")
)

// injection brings a fault about; node is the one at whose step it strikes.
type injection func(s *scene, node string)

const (
	shortFault = 8 * time.Second
	longFault  = 25 * time.Second
)

// faults are those of the brief. Each heals by itself, if it can.
var faults = map[string]injection{
	"node-killed":   func(s *scene, n string) { s.kill(n) },
	"node-frozen":   func(s *scene, n string) { s.freeze(n, shortFault) },
	"worker-killed": func(s *scene, _ string) { s.loseWorkers(func(w *stand.Worker) bool { return w == s.busiest() }) },
	"rack-lost": func(s *scene, _ string) {
		rack := s.busiest().VM.Rack
		s.loseWorkers(func(w *stand.Worker) bool { return w.VM.Rack == rack })
	},
	"zone-lost": func(s *scene, _ string) {
		s.loseWorkers(func(w *stand.Worker) bool { return w.VM.Zone == "nausori" })
	},
	"zone-cut": func(s *scene, _ string) { s.zoneCut("nausori") },
	"workers-weak": func(s *scene, _ string) {
		for _, w := range s.workers {
			w.SetWeak(true)
		}
	},
	"worker-restarted": func(s *scene, _ string) { s.busiest().Reset() },
	"worker-fails-all": func(s *scene, _ string) {
		w := s.busiest()
		w.SetFailAll(true)
		time.AfterFunc(longFault, func() { w.SetFailAll(false) })
	},
	"lease-lapsed":       func(s *scene, n string) { s.connect(n, s.busiest().VM.Addr, linkSilent, longFault) },
	"member-silent":      func(s *scene, n string) { s.connect(n, s.reserved().VM.Addr, linkSilent, longFault) },
	"worker-mute":        func(s *scene, n string) { s.connect(n, s.busiest().VM.Addr, linkMute, longFault) },
	"workers-cut":        func(s *scene, n string) { s.allWorkers(n, linkCut, shortFault) },
	"peers-silent":       func(s *scene, n string) { s.allPeers(n, linkSilent, shortFault) },
	"peers-mute":         func(s *scene, n string) { s.allPeers(n, linkMute, shortFault) },
	"platform-cut":       func(s *scene, n string) { s.connect(n, platformAddr, linkCut, shortFault) },
	"platform-silent":    func(s *scene, n string) { s.connect(n, platformAddr, linkSilent, shortFault) },
	"platform-mute":      func(s *scene, n string) { s.connect(n, platformAddr, linkMute, shortFault) },
	"table-down":         func(s *scene, _ string) { s.platformFault(stand.Fault{Down: true}, longFault) },
	"table-slow":         func(s *scene, _ string) { s.platformFault(stand.Fault{DelayMs: 900}, longFault) },
	"answer-lost":        func(s *scene, _ string) { s.platformFault(stand.Fault{LoseNext: 3}, shortFault) },
	"answers-lost-often": func(s *scene, _ string) { s.platformFault(stand.Fault{LoseEvery: 2}, longFault) },
	"objects-down":       func(s *scene, _ string) { s.platformFault(stand.Fault{ObjectsDown: true}, longFault) },
	"stale-list": func(s *scene, _ string) {
		s.platformFault(stand.Fault{LagMs: 2000}, longFault)
		w := s.busiest()
		w.LeaveQuietly()
		vm := w.VM
		vm.Leaving = true
		s.platform.SetVM(vm)
	},
	"operators-race": func(s *scene, _ string) { go s.raceOnce() },
	"late-answers":   func(s *scene, n string) { s.allWorkers(n, linkLate, longFault); s.allPeers(n, linkLate, longFault) },
	"cancel-wave":    func(s *scene, _ string) { go s.cancelMany() },
}

var steps = []cell.Step{
	cell.StepAccept, cell.StepPlace, cell.StepReserve, cell.StepCommit, cell.StepStart,
	cell.StepRun, cell.StepCheckpoint, cell.StepFinish, cell.StepAnswer, cell.StepCancel,
	cell.StepRenew, cell.StepTakeOver, cell.StepDrain, stepDeliver, stepPush,
}

// stepDeliver and stepPush are reached by the callers and the operator.
const (
	stepDeliver cell.Step = "deliver"
	stepPush    cell.Step = "push"
)

// scene is one cell of the matrix: a fleet, its callers, and faults to strike.
type scene struct {
	*fleet
	calls     *callers
	raced     []string
	reachedBy atomic.Int32 // faults that have struck
}

func (s *scene) busiest() *stand.Worker {
	var best *stand.Worker
	most := -1
	for _, addr := range slices.Sorted(maps.Keys(s.workers)) {
		w := s.workers[addr]
		s.mu.Lock()
		dead := s.dead[addr]
		s.mu.Unlock()
		n := 0
		for _, r := range w.Record() {
			if r.Phase == model.PhaseRunning {
				n++
			}
		}
		if n > most && !dead {
			best, most = w, n
		}
	}
	return best
}

// loseWorkers ends workers for good: the platform lists them no longer.
func (s *scene) loseWorkers(which func(*stand.Worker) bool) {
	var lost []*stand.Worker
	for _, addr := range slices.Sorted(maps.Keys(s.workers)) {
		if w := s.workers[addr]; which(w) {
			lost = append(lost, w)
		}
	}
	for _, w := range lost {
		s.platform.RemoveVM(w.VM.ID)
		s.mu.Lock()
		s.dead[w.VM.Addr] = true
		s.mu.Unlock()
		w.Reset()
	}
}

// zoneCut silences a zone's workers towards every node, as a lost switch would.
func (s *scene) zoneCut(zone string) {
	for _, m := range s.nodes {
		for addr, w := range s.workers {
			if w.VM.Zone == zone {
				s.connect(m.name, addr, linkSilent, longFault)
			}
		}
	}
}

// reserved returns a worker that holds a reservation, so that a fault can keep
// one member of a gang from starting; else the busiest.
func (s *scene) reserved() *stand.Worker {
	for _, addr := range slices.Sorted(maps.Keys(s.workers)) {
		if s.workers[addr].Reserved() {
			return s.workers[addr]
		}
	}
	return s.busiest()
}

func (s *scene) allWorkers(node string, l link, d time.Duration) {
	for addr := range s.workers {
		s.connect(node, addr, l, d)
	}
}

func (s *scene) allPeers(node string, l link, d time.Duration) {
	for _, m := range s.nodes {
		if m.name != node {
			s.connect(node, m.name, l, d)
		}
	}
}

func (s *scene) platformFault(f stand.Fault, d time.Duration) {
	s.platform.SetFault(f)
	time.AfterFunc(d, func() { s.platform.SetFault(stand.Fault{}) })
}

func (s *scene) raceOnce() {
	won, _ := s.race()
	s.mu.Lock()
	defer s.mu.Unlock()
	if won > 1 {
		s.raced = append(s.raced, "two operators changed the same file from the same base")
	}
}

func (s *scene) cancelMany() {
	s.calls.mu.Lock()
	list := slices.Clone(s.calls.list)
	s.calls.mu.Unlock()
	for i, t := range list {
		if id := t.jobID(); i%2 == 1 && id != "" {
			_, _ = try(s.calls, func(ctx context.Context, m *member) (model.Job, error) { return m.Cancel(ctx, id) })
		}
	}
}

// strike arms a fault for the first time that a step is reached.
func (s *scene) strike(step cell.Step, fault string) func(node string, at cell.Step) {
	var struck atomic.Bool
	return func(node string, at cell.Step) {
		if at == step && struck.CompareAndSwap(false, true) {
			s.reachedBy.Add(1)
			faults[fault](s, node)
		}
	}
}

// shot is a fault at a step.
type shot struct {
	step  cell.Step
	fault string
}

func (x shot) String() string { return fmt.Sprintf("%s at %s", x.fault, x.step) }

// play runs the standard story with the given faults and returns what is wrong.
func play(t *testing.T, seed uint64, shots []shot) (wrong []string, struck int, logs string) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3, 8, seed)
		s := &scene{fleet: f, calls: &callers{f: f}}
		f.awaitOwner()
		var armed []func(string, cell.Step)
		for _, x := range shots {
			armed = append(armed, s.strike(x.step, x.fault))
		}
		f.mu.Lock()
		f.hook = func(node string, step cell.Step, _ string) {
			for _, a := range armed {
				a(node, step)
			}
		}
		f.mu.Unlock()
		wrong = s.story()
		struck = int(s.reachedBy.Load())
		f.close()
		f.logMu.Lock()
		logs = f.logs.String()
		f.logMu.Unlock()
	})
	return wrong, struck, logs
}

// story is what callers and operators do in every cell: jobs that may and may
// not run twice, gangs, a large answer, a reclaim, cancels, a changed folder
// and a drained owner.
func (s *scene) story() []string {
	c := s.calls
	var gens generations
	stop, watched := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(watched)
		for {
			select {
			case <-stop:
				return
			case <-time.After(500 * time.Millisecond):
				gens.look(s.fleet)
			}
		}
	}()
	for i := range 4 {
		c.submit(job("routes", fmt.Sprintf("fill%d", i), 2, 8, true, 30_000, ""))
	}
	time.Sleep(1500 * time.Millisecond)
	for i := range 4 {
		c.submit(job("routes", fmt.Sprintf("once%d", i), 1, 2, false, 3_000, ""))
		c.submit(job("proofs", fmt.Sprintf("gang%d", i), 2, 3, true, 2_000, ""))
	}
	c.submit(job("proofs", "reclaim", 2, 8, false, 4_000, ""))
	c.submit(job("proofs", "large", 1, 1, true, 1_000, strings.Repeat("abcdefghijklmnopqrstuvwxyz", 2000)[:50_000]))
	victim := c.submit(job("routes", "victim", 1, 1, true, 20_000, ""))
	time.Sleep(3 * time.Second)
	if id := victim.jobID(); id != "" {
		_, _ = try(c, func(ctx context.Context, m *member) (model.Job, error) { return m.Cancel(ctx, id) })
	}
	s.reached(s.nodes[0].name, stepDeliver, "")
	s.reached(s.nodes[0].name, stepPush, "")
	s.push()
	s.drainOwner()
	c.wg.Wait()
	close(stop)
	<-watched
	wrong := append(c.check(), gens.bad...)
	return append(wrong, s.raced...)
}

// push changes another file than the racing operators do.
func (s *scene) push() {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	_, _ = s.nodes[len(s.nodes)-1].ChangeConfig(ctx, config.Change{
		Author: "test", Edits: []config.Edit{{Name: "20-more.toml", Text: "[policy]\nmax_holds = 4\n"}},
	})
}

// drainOwner stops the owner as planned, unless only one node is left.
func (s *scene) drainOwner() {
	m := s.owner()
	s.mu.Lock()
	alive := len(s.nodes) - len(s.dead)
	s.mu.Unlock()
	if m == nil || alive < 3 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	m.Drain(ctx)
	s.mu.Lock()
	s.dead[m.name] = true
	s.mu.Unlock()
	m.cancel()
}

func job(ws, key string, tasks, each int, idempotent bool, runMs int64, answer string) model.JobSpec {
	work := stand.Work{RunMs: runMs, Answer: key}
	if answer != "" {
		work = stand.Work{RunMs: runMs, AnswerBytes: len(answer)}
	}
	return model.JobSpec{
		Workspace: ws, Key: key, Shape: model.Shape{Tasks: tasks, Each: each}, Class: "c",
		Idempotent: idempotent, Checkpoint: idempotent, EstimateMs: runMs, Payload: work.Encode(),
	}
}

// want is the whole answer that a job of the story must get.
func want(spec model.JobSpec) string { return string(stand.Expected(spec.Payload)) }

func report(t *testing.T, what string, wrong []string, logs, replay string) {
	t.Helper()
	if len(wrong) == 0 {
		return
	}
	t.Errorf("%s:\n  %s\nreplay: %s", what, strings.Join(wrong, "\n  "), replay)
	if *verbose {
		t.Log(logs)
	}
}

// TestMatrix tries every fault at every step.
func TestMatrix(t *testing.T) {
	var tried, red, missed atomic.Int32
	t.Run("cells", func(t *testing.T) {
		for _, fault := range slices.Sorted(maps.Keys(faults)) {
			for _, step := range steps {
				x := shot{step, fault}
				t.Run(fault+"/"+string(step), func(t *testing.T) {
					t.Parallel()
					wrong, struck, logs := play(t, 1, []shot{x})
					tried.Add(1)
					if struck == 0 {
						missed.Add(1)
						wrong = append(wrong, "the step was never reached")
					}
					if len(wrong) > 0 {
						red.Add(1)
					}
					report(t, x.String(), wrong, logs, fmt.Sprintf("go test ./test -run 'TestMatrix/cells/%s/%s$' -logs", fault, step))
				})
			}
		}
	})
	t.Logf("matrix: %d cells tried, %d passed, %d red, %d steps not reached", tried.Load(), tried.Load()-red.Load(), red.Load(), missed.Load())
}

// TestPairs tries pairs of faults drawn by seed.
func TestPairs(t *testing.T) {
	var red atomic.Int32
	t.Run("seeds", func(t *testing.T) {
		for i := range *pairs {
			seed := *pairSeed + uint64(i)
			t.Run(fmt.Sprint(seed), func(t *testing.T) {
				t.Parallel()
				shots := draw(seed)
				wrong, _, logs := play(t, seed, shots)
				if len(wrong) > 0 {
					red.Add(1)
				}
				report(t, fmt.Sprintf("%v and %v", shots[0], shots[1]), wrong, logs,
					fmt.Sprintf("go test ./test -run TestPairs -pairs 1 -pairseed %d -logs", seed))
			})
		}
	})
	t.Logf("pairs: %d tried, %d passed, %d red", *pairs, *pairs-int(red.Load()), red.Load())
}

func draw(seed uint64) []shot {
	rng := rand.New(rand.NewPCG(seed, 3))
	names := slices.Sorted(maps.Keys(faults))
	one := func() shot { return shot{steps[rng.IntN(len(steps))], names[rng.IntN(len(names))]} }
	return []shot{one(), one()}
}
