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
	"greengageline/internal/fakes"
	"greengageline/pkg/model"
)

var (
	pairCount = flag.Int("pairs", 40, "number of seeded pairs of faults that TestPairs runs")
	pairSeed  = flag.Uint64("pairseed", 1, "first seed of TestPairs")
	printLogs = flag.Bool("logs", false, "print the nodes' log lines of each failed case")
)

// injection injects a fault; node is the name of the node that reached the step.
type injection func(s *scenario, node string)

// Durations of the injected faults.
const (
	shortFault = 8 * time.Second
	longFault  = 25 * time.Second
)

// faults maps the name of each fault to its injection. Link, platform and process faults end after
// shortFault or longFault. Lost workers, restarted workers, and workers that ignore epochs
// ("workers-weak") or are marked as leaving stay so. Seeds draw from the sorted names.
var faults = map[string]injection{
	"node-killed":   func(s *scenario, n string) { s.kill(n) },
	"node-frozen":   func(s *scenario, n string) { s.freeze(n, shortFault) },
	"worker-killed": func(s *scenario, _ string) { s.removeWorkers(func(w *fakes.Worker) bool { return w == s.busiest() }) },
	"rack-lost": func(s *scenario, _ string) {
		rack := s.busiest().VM.Rack
		s.removeWorkers(func(w *fakes.Worker) bool { return w.VM.Rack == rack })
	},
	"zone-lost": func(s *scenario, _ string) {
		s.removeWorkers(func(w *fakes.Worker) bool { return w.VM.Zone == "nausori" })
	},
	"zone-cut": func(s *scenario, _ string) { s.isolateZone("nausori") },
	"workers-weak": func(s *scenario, _ string) {
		for _, w := range s.workers {
			w.SetWeak(true)
		}
	},
	"worker-restarted": func(s *scenario, _ string) { s.busiest().Reset() },
	"worker-fails-all": func(s *scenario, _ string) {
		w := s.busiest()
		w.SetFailAll(true)
		time.AfterFunc(longFault, func() { w.SetFailAll(false) })
	},
	"lease-lapsed":       func(s *scenario, n string) { s.setLinkFault(n, s.busiest().VM.Addr, linkDropsAll, longFault) },
	"member-silent":      func(s *scenario, n string) { s.setLinkFault(n, s.reserved().VM.Addr, linkDropsAll, longFault) },
	"worker-mute":        func(s *scenario, n string) { s.setLinkFault(n, s.busiest().VM.Addr, linkDropsReplies, longFault) },
	"workers-cut":        func(s *scenario, n string) { s.allWorkers(n, linkRefuses, shortFault) },
	"peers-silent":       func(s *scenario, n string) { s.allPeers(n, linkDropsAll, shortFault) },
	"peers-mute":         func(s *scenario, n string) { s.allPeers(n, linkDropsReplies, shortFault) },
	"platform-cut":       func(s *scenario, n string) { s.setLinkFault(n, platformAddr, linkRefuses, shortFault) },
	"platform-silent":    func(s *scenario, n string) { s.setLinkFault(n, platformAddr, linkDropsAll, shortFault) },
	"platform-mute":      func(s *scenario, n string) { s.setLinkFault(n, platformAddr, linkDropsReplies, shortFault) },
	"table-down":         func(s *scenario, _ string) { s.injectPlatformFault(fakes.Fault{Down: true}, longFault) },
	"table-slow":         func(s *scenario, _ string) { s.injectPlatformFault(fakes.Fault{DelayMs: 900}, longFault) },
	"answer-lost":        func(s *scenario, _ string) { s.injectPlatformFault(fakes.Fault{LoseNext: 3}, shortFault) },
	"answers-lost-often": func(s *scenario, _ string) { s.injectPlatformFault(fakes.Fault{LoseEvery: 2}, longFault) },
	"objects-down":       func(s *scenario, _ string) { s.injectPlatformFault(fakes.Fault{ObjectsDown: true}, longFault) },
	"stale-list": func(s *scenario, _ string) {
		s.injectPlatformFault(fakes.Fault{LagMs: 2000}, longFault)
		w := s.busiest()
		w.LeaveQuietly()
		vm := w.VM
		vm.Leaving = true
		s.platform.SetVM(vm)
	},
	"operators-race": func(s *scenario, _ string) { go s.checkConfigRace() },
	"late-answers":   func(s *scenario, n string) { s.allWorkers(n, linkLate, longFault); s.allPeers(n, linkLate, longFault) },
	"cancel-wave":    func(s *scenario, _ string) { go s.cancelEverySecondJob() },
}

// steps are the points at which faults are injected. Seeds draw from this order.
var steps = []cell.Step{
	cell.StepAccept, cell.StepPlace, cell.StepReserve, cell.StepCommit, cell.StepStart,
	cell.StepRun, cell.StepCheckpoint, cell.StepFinish, cell.StepAnswer, cell.StepCancel,
	cell.StepRenew, cell.StepTakeOver, cell.StepDrain, stepDeliver, stepPush,
}

// Steps of the clients rather than of a node: stepDeliver comes after the jobs were submitted, and
// stepPush just before the operator changes the configuration.
const (
	stepDeliver cell.Step = "deliver"
	stepPush    cell.Step = "push"
)

// scenario is one case of the matrix: a simulated cluster, its callers and the faults to inject. The
// cluster's mu guards raceViolations.
type scenario struct {
	*simCluster
	callers        *callers
	raceViolations []string
	injectedCount  atomic.Int32 // number of faults injected so far
}

// busiest returns the live worker that runs the most tasks; the lowest address wins a tie.
func (s *scenario) busiest() *fakes.Worker {
	var best *fakes.Worker
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

// removeWorkers kills the matching workers permanently and removes them from the platform's VM list.
func (s *scenario) removeWorkers(match func(*fakes.Worker) bool) {
	var lost []*fakes.Worker
	for _, addr := range slices.Sorted(maps.Keys(s.workers)) {
		if w := s.workers[addr]; match(w) {
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

// isolateZone drops all traffic between a zone's workers and every node for longFault, as the loss of
// a switch would.
func (s *scenario) isolateZone(zone string) {
	for _, n := range s.nodes {
		for addr, w := range s.workers {
			if w.VM.Zone == zone {
				s.setLinkFault(n.name, addr, linkDropsAll, longFault)
			}
		}
	}
}

// reserved returns a worker that holds a reservation, or else the busiest. A fault on it can keep one
// member of a gang from starting.
func (s *scenario) reserved() *fakes.Worker {
	for _, addr := range slices.Sorted(maps.Keys(s.workers)) {
		if s.workers[addr].Reserved() {
			return s.workers[addr]
		}
	}
	return s.busiest()
}

// allWorkers sets a fault on the links between a node and every worker for d.
func (s *scenario) allWorkers(node string, fault linkFault, d time.Duration) {
	for addr := range s.workers {
		s.setLinkFault(node, addr, fault, d)
	}
}

// allPeers sets a fault on the links between a node and every other node for d.
func (s *scenario) allPeers(node string, fault linkFault, d time.Duration) {
	for _, n := range s.nodes {
		if n.name != node {
			s.setLinkFault(node, n.name, fault, d)
		}
	}
}

// injectPlatformFault sets the platform's fault and clears all platform faults after d.
func (s *scenario) injectPlatformFault(f fakes.Fault, d time.Duration) {
	s.platform.SetFault(f)
	time.AfterFunc(d, func() { s.platform.SetFault(fakes.Fault{}) })
}

// checkConfigRace records a violation if both of two concurrent configuration changes are accepted.
func (s *scenario) checkConfigRace() {
	accepted, _ := s.raceConfigChanges()
	s.mu.Lock()
	defer s.mu.Unlock()
	if accepted > 1 {
		s.raceViolations = append(s.raceViolations, "two operators changed the same file from the same base")
	}
}

// cancelEverySecondJob cancels every second job submitted so far, if its ID is known.
func (s *scenario) cancelEverySecondJob() {
	s.callers.mu.Lock()
	submissions := slices.Clone(s.callers.submissions)
	s.callers.mu.Unlock()
	for i, sub := range submissions {
		if id := sub.jobID(); i%2 == 1 && id != "" {
			_, _ = callLiveNode(s.callers, func(ctx context.Context, n *simNode) (model.Job, error) { return n.Cancel(ctx, id) })
		}
	}
}

// injectAtStep returns a function that injects the fault when it is first called for step, and does
// nothing afterwards.
func (s *scenario) injectAtStep(step cell.Step, fault string) func(node string, at cell.Step) {
	var injected atomic.Bool
	return func(node string, at cell.Step) {
		if at == step && injected.CompareAndSwap(false, true) {
			s.injectedCount.Add(1)
			faults[fault](s, node)
		}
	}
}

// plannedFault is a fault and the step at which it is injected.
type plannedFault struct {
	step  cell.Step
	fault string
}

func (p plannedFault) String() string { return fmt.Sprintf("%s at %s", p.fault, p.step) }

// runScenario runs the workload with the planned faults on a new simulated cluster of 3 nodes and 8
// workers. It returns the violations, how many faults were injected, and the nodes' logs.
func runScenario(t *testing.T, seed uint64, planned []plannedFault) (violations []string, injected int, logs string) {
	synctest.Test(t, func(t *testing.T) {
		sim := newSimCluster(t, 3, 8, seed)
		s := &scenario{simCluster: sim, callers: &callers{sim: sim}}
		sim.awaitOwner()
		var armed []func(string, cell.Step)
		for _, p := range planned {
			armed = append(armed, s.injectAtStep(p.step, p.fault))
		}
		sim.mu.Lock()
		sim.onStep = func(node string, step cell.Step, _ string) {
			for _, inject := range armed {
				inject(node, step)
			}
		}
		sim.mu.Unlock()
		violations = s.runWorkload()
		injected = int(s.injectedCount.Load())
		sim.close()
		sim.logMu.Lock()
		logs = sim.logs.String()
		sim.logMu.Unlock()
	})
	return violations, injected, logs
}

// runWorkload performs the workload of every case and returns the violations. It submits idempotent
// and non-idempotent jobs, gangs, a job with a large answer and one that reclaims guaranteed
// capacity, cancels a job, changes the configuration and drains the owner.
func (s *scenario) runWorkload() []string {
	c := s.callers
	var monitor generationMonitor
	stop, monitorDone := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(monitorDone)
		for {
			select {
			case <-stop:
				return
			case <-time.After(500 * time.Millisecond):
				monitor.observe(s.simCluster)
			}
		}
	}()
	for i := range 4 {
		c.submit(jobSpec("routes", fmt.Sprintf("fill%d", i), 2, 8, true, 30_000, ""))
	}
	time.Sleep(1500 * time.Millisecond)
	for i := range 4 {
		c.submit(jobSpec("routes", fmt.Sprintf("once%d", i), 1, 2, false, 3_000, ""))
		c.submit(jobSpec("proofs", fmt.Sprintf("gang%d", i), 2, 3, true, 2_000, ""))
	}
	c.submit(jobSpec("proofs", "reclaim", 2, 8, false, 4_000, ""))
	c.submit(jobSpec("proofs", "large", 1, 1, true, 1_000, strings.Repeat("abcdefghijklmnopqrstuvwxyz", 2000)[:50_000]))
	toCancel := c.submit(jobSpec("routes", "victim", 1, 1, true, 20_000, ""))
	time.Sleep(3 * time.Second)
	if id := toCancel.jobID(); id != "" {
		_, _ = callLiveNode(c, func(ctx context.Context, n *simNode) (model.Job, error) { return n.Cancel(ctx, id) })
	}
	s.stepReached(s.nodes[0].name, stepDeliver, "")
	s.stepReached(s.nodes[0].name, stepPush, "")
	s.pushConfig()
	s.drainOwner()
	c.wg.Wait()
	close(stop)
	<-monitorDone
	violations := append(c.check(), monitor.violations...)
	return append(violations, s.raceViolations...)
}

// pushConfig changes the configuration. It edits a different file than checkConfigRace does, so that
// the two do not conflict.
func (s *scenario) pushConfig() {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	_, _ = s.nodes[len(s.nodes)-1].ChangeConfig(ctx, config.Change{
		Author: "test", Edits: []config.Edit{{Name: "20-more.toml", Text: "[policy]\nmax_holds = 4\n"}},
	})
}

// drainOwner performs a planned stop of the owner, so that at least two nodes remain. It does nothing
// if there is no owner or if anything of the cluster is dead: s.dead also holds removed workers.
func (s *scenario) drainOwner() {
	n := s.owner()
	s.mu.Lock()
	alive := len(s.nodes) - len(s.dead)
	s.mu.Unlock()
	if n == nil || alive < 3 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	n.Drain(ctx)
	s.mu.Lock()
	s.dead[n.name] = true
	s.mu.Unlock()
	n.cancel()
}

// jobSpec returns the spec of a job that runs for runMs. Its answer is its key, or, if answer is not
// empty, generated data of the same length as answer.
func jobSpec(workspace, key string, tasks, each int, idempotent bool, runMs int64, answer string) model.JobSpec {
	work := fakes.Work{RunMs: runMs, Answer: key}
	if answer != "" {
		work = fakes.Work{RunMs: runMs, AnswerBytes: len(answer)}
	}
	return model.JobSpec{
		Workspace: workspace, Key: key, Shape: model.Shape{Tasks: tasks, Each: each}, Class: "c",
		Idempotent: idempotent, Checkpoint: idempotent, EstimateMs: runMs, Payload: work.Encode(),
	}
}

// expectedAnswer returns the complete answer that a job with this spec must produce.
func expectedAnswer(spec model.JobSpec) string { return string(fakes.Expected(spec.Payload)) }

// reportViolations fails the test if there are violations, and prints the command that repeats the
// case.
func reportViolations(t *testing.T, name string, violations []string, logs, replay string) {
	t.Helper()
	if len(violations) == 0 {
		return
	}
	t.Errorf("%s:\n  %s\nreplay: %s", name, strings.Join(violations, "\n  "), replay)
	if *printLogs {
		t.Log(logs)
	}
}

// TestMatrix injects every fault at every step, one case each. A case whose step is not reached fails.
func TestMatrix(t *testing.T) {
	var tried, failed, notReached atomic.Int32
	t.Run("cells", func(t *testing.T) {
		for _, fault := range slices.Sorted(maps.Keys(faults)) {
			for _, step := range steps {
				p := plannedFault{step, fault}
				t.Run(fault+"/"+string(step), func(t *testing.T) {
					t.Parallel()
					violations, injected, logs := runScenario(t, 1, []plannedFault{p})
					tried.Add(1)
					if injected == 0 {
						notReached.Add(1)
						violations = append(violations, "the step was never reached")
					}
					if len(violations) > 0 {
						failed.Add(1)
					}
					reportViolations(t, p.String(), violations, logs, fmt.Sprintf("go test ./test -run 'TestMatrix/cells/%s/%s$' -logs", fault, step))
				})
			}
		}
	})
	t.Logf("matrix: %d cells tried, %d passed, %d red, %d steps not reached", tried.Load(), tried.Load()-failed.Load(), failed.Load(), notReached.Load())
}

// TestPairs injects pairs of faults, each drawn by a seed together with the step of each fault.
func TestPairs(t *testing.T) {
	var failed atomic.Int32
	t.Run("seeds", func(t *testing.T) {
		for i := range *pairCount {
			seed := *pairSeed + uint64(i)
			t.Run(fmt.Sprint(seed), func(t *testing.T) {
				t.Parallel()
				planned := drawFaults(seed)
				violations, _, logs := runScenario(t, seed, planned)
				if len(violations) > 0 {
					failed.Add(1)
				}
				reportViolations(t, fmt.Sprintf("%v and %v", planned[0], planned[1]), violations, logs,
					fmt.Sprintf("go test ./test -run TestPairs -pairs 1 -pairseed %d -logs", seed))
			})
		}
	})
	t.Logf("pairs: %d tried, %d passed, %d red", *pairCount, *pairCount-int(failed.Load()), failed.Load())
}

// drawFaults draws two faults and their steps. The same seed always draws the same.
func drawFaults(seed uint64) []plannedFault {
	rng := rand.New(rand.NewPCG(seed, 3))
	names := slices.Sorted(maps.Keys(faults))
	drawOne := func() plannedFault { return plannedFault{steps[rng.IntN(len(steps))], names[rng.IntN(len(names))]} }
	return []plannedFault{drawOne(), drawOne()}
}
