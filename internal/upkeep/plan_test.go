package upkeep

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"greengageline/internal/sched"
)

// fakePlatform simulates VMs with what runs on them. It carries out the planner's steps and checks the
// limit and the term of a wave.
type fakePlatform struct {
	t           *testing.T
	p           *Planner
	wave        Wave
	now         time.Duration
	upkeepUntil map[string]time.Duration // when a VM's upkeep ends
	incarnation map[string]int
	runsUntil   map[string]time.Duration // when the runs on a VM end by themselves
	begun       map[string]bool
	// loseAnswer reports whether the answer to the next order is lost, answerFirst whether the answer
	// comes before the order is carried out.
	loseAnswer, answerFirst func() bool
	pending                 []func()
	stops                   int
}

// epochMs is the simulated time of day at the start, in Unix ms.
const epochMs = 1_700_000_000_000

func newFakePlatform(t *testing.T, n, atOnce int, term time.Duration) *fakePlatform {
	t.Helper()
	fp := &fakePlatform{
		t: t, p: &Planner{}, upkeepUntil: map[string]time.Duration{}, incarnation: map[string]int{}, runsUntil: map[string]time.Duration{},
		begun: map[string]bool{}, loseAnswer: func() bool { return false }, answerFirst: func() bool { return false },
	}
	fp.wave = Wave{Number: 7, MaxDown: atOnce, TimeLimit: term}
	for i := range n {
		fp.wave.VMs = append(fp.wave.VMs, fmt.Sprintf("m%02d", i))
	}
	fp.p.SetWave(fp.wave, fp.moment())
	return fp
}

func (fp *fakePlatform) moment() sched.Moment {
	return sched.Moment{Steady: time.Minute + fp.now, UnixMs: epochMs + fp.now.Milliseconds()}
}

func (fp *fakePlatform) worker(vm string) string { return fmt.Sprintf("%s/%d", vm, fp.incarnation[vm]) }

// down returns how many VMs are in upkeep.
func (fp *fakePlatform) down() int {
	n := 0
	for _, until := range fp.upkeepUntil {
		if until > fp.now {
			n++
		}
	}
	return n
}

// takeDown carries out an order.
func (fp *fakePlatform) takeDown(vm string) {
	if fp.begun[vm] {
		return // an earlier order for the VM was carried out
	}
	if fp.down() >= fp.wave.MaxDown {
		fp.t.Errorf("%s: %s goes down as number %d", fp.now, vm, fp.down()+1)
	}
	if fp.runsUntil[vm] > fp.now {
		fp.t.Errorf("%s: %s goes down with runs", fp.now, vm)
	}
	fp.begun[vm] = true
	if fp.now > fp.wave.TimeLimit-termMargin/2 {
		fp.t.Errorf("%s: %s goes down too late", fp.now, vm)
	}
	fp.upkeepUntil[vm] = fp.now + 2*time.Second
	fp.incarnation[vm]++
}

func (fp *fakePlatform) list() []VM {
	var out []VM
	for _, vm := range fp.wave.VMs {
		down := fp.upkeepUntil[vm] > fp.now
		out = append(out, VM{ID: vm, Up: !down, Down: down, Worker: fp.worker(vm)})
	}
	return out
}

func (fp *fakePlatform) load(worker string) sched.Load {
	for vm, until := range fp.runsUntil {
		if fp.worker(vm) == worker && until > fp.now {
			return sched.Load{Runs: 1, Loss: (until - fp.now).Seconds()}
		}
	}
	return sched.Load{}
}

// runWave simulates until the wave is completed or limit has passed, and reports whether it was
// completed.
func (fp *fakePlatform) runWave(limit time.Duration) bool {
	for ; fp.now < limit; fp.now += 100 * time.Millisecond {
		if fp.now%(400*time.Millisecond) == 0 {
			fp.p.UpdateVMs(fp.list(), fp.moment())
		}
		for _, f := range fp.pending {
			f()
		}
		fp.pending = nil
		steps := fp.p.Next(fp.load, fp.moment())
		fp.checkWorkersGoingDown()
		for _, s := range steps {
			switch {
			case s.Begin && fp.answerFirst():
				vm := s.VM
				fp.pending = append(fp.pending, func() { fp.takeDown(vm) })
				fp.p.RecordAnswer(s.Wave, s.VM, ErrOutcomeUnknown, fp.moment())
			case s.Begin:
				fp.takeDown(s.VM)
				var err error
				if fp.loseAnswer() {
					err = ErrOutcomeUnknown
				}
				fp.p.RecordAnswer(s.Wave, s.VM, err, fp.moment())
			case s.Stop:
				fp.runsUntil[s.VM] = min(fp.runsUntil[s.VM], fp.now+200*time.Millisecond)
				fp.stops++
			}
		}
		for _, r := range fp.p.TakeChanged() {
			if r.Completed {
				fp.checkCompleted()
				return true
			}
		}
	}
	return false
}

// checkWorkersGoingDown checks that WorkersGoingDown names the worker of each VM that was ordered down, until
// the VM's next worker is up.
func (fp *fakePlatform) checkWorkersGoingDown() {
	for vm, progress := range fp.p.wave(7).record.VMs {
		if progress.Phase != Ordered && progress.Phase != Begun {
			continue
		}
		if !slices.Contains(fp.p.WorkersGoingDown(), progress.PreviousWorker) {
			fp.t.Errorf("%s: %s was ordered down but its worker is not in Ordered", fp.now, vm)
		}
	}
}

// checkCompleted checks that every VM went through upkeep.
func (fp *fakePlatform) checkCompleted() {
	for _, vm := range fp.wave.VMs {
		if !fp.begun[vm] {
			fp.t.Errorf("the wave is completed and %s was not in upkeep", vm)
		}
	}
}

func TestWaveMeetsTermAndLimit(t *testing.T) {
	cases := map[string]struct {
		vms, atOnce int
		term        time.Duration
		busy        float64 // fraction of the VMs with runs
		lose, late  float64 // probabilities that an answer is lost, and that it precedes the order's effect
		stops       bool    // runs may have to be stopped
	}{
		"idle VMs, one at a time":                 {6, 1, 30 * time.Second, 0, 0, 0, false},
		"busy VMs, long term":                     {6, 2, 60 * time.Second, 1, 0, 0, false},
		"busy VMs, short term":                    {6, 2, 18 * time.Second, 1, 0, 0, true},
		"answers are lost":                        {8, 2, 40 * time.Second, 0.3, 0.4, 0, true},
		"orders are carried out after the answer": {8, 2, 60 * time.Second, 0.3, 0.2, 0.4, true},
		"all at once":                             {8, 8, 12 * time.Second, 0.5, 0, 0, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			for seed := range uint64(20) {
				rnd := rand.New(rand.NewPCG(seed, 1))
				fp := newFakePlatform(t, c.vms, c.atOnce, c.term)
				for _, vm := range fp.wave.VMs {
					if rnd.Float64() < c.busy {
						fp.runsUntil[vm] = time.Duration(rnd.IntN(9000)+1000) * time.Millisecond
					}
				}
				fp.loseAnswer = func() bool { return rnd.Float64() < c.lose }
				fp.answerFirst = func() bool { return rnd.Float64() < c.late }
				is.True(fp.runWave(c.term + upkeepDuration))
				is.True(c.stops || fp.stops == 0)
			}
		})
	}
}

// A new owner continues from the stored records: VMs that were ordered down count as down, and no VM
// goes down twice.
func TestNewOwnerResumesWave(t *testing.T) {
	for seed := range uint64(30) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			is := is.New(t)
			fp := newFakePlatform(t, 6, 2, 40*time.Second)
			rnd := rand.New(rand.NewPCG(seed, 2))
			fp.loseAnswer = func() bool { return rnd.Float64() < 0.3 }
			if fp.runWave(time.Duration(rnd.IntN(12000)) * time.Millisecond / 100 * 100) {
				return
			}
			data, err := json.Marshal(fp.p.wave(7).record)
			is.NoErr(err)
			fp.p = &Planner{}
			is.NoErr(fp.p.Restore(7, data, fp.moment().Steady+3*time.Second))
			is.True(!fp.p.SetWave(fp.wave, fp.moment()))
			is.True(fp.runWave(60 * time.Second))
		})
	}
}

func TestUnlistedVMDoesNotBlockWave(t *testing.T) {
	is := is.New(t)
	fp := newFakePlatform(t, 3, 1, 30*time.Second)
	fp.p.UpdateVMs(fp.list()[:2], fp.moment())
	fp.begun["m02"] = true
	fp.wave.VMs = fp.wave.VMs[:2] // the VM is not listed any more
	is.True(fp.runWave(30 * time.Second))
}

// After ErrNotUp a VM counts as down until the list shows that no earlier order has begun its upkeep.
func TestBusyVMCountsAsDownUntilListed(t *testing.T) {
	is := is.New(t)
	fp := newFakePlatform(t, 2, 1, 30*time.Second)
	fp.p.UpdateVMs(fp.list(), fp.moment())
	idle := func(string) sched.Load { return sched.Load{} }
	s := fp.p.Next(idle, fp.moment())
	is.True(s[0].Begin)
	fp.p.RecordAnswer(7, s[0].VM, ErrNotUp, fp.moment())
	for _, s := range fp.p.Next(idle, fp.moment()) {
		is.True(!s.Begin)
	}
	vms := fp.list()
	vms[0].Up = false
	fp.p.UpdateVMs(vms, fp.moment())
	begins := 0
	for _, s := range fp.p.Next(idle, fp.moment()) {
		if s.Begin {
			begins++
			is.Equal(s.VM, "m01")
		}
	}
	is.Equal(begins, 1)
}

// A VM with only long-running work is drained by stopping that work at once, so no more of them are
// drained than may be down.
func TestVMWithOnlyLongRunningWorkDrainsOnlyWhenItMayGoDown(t *testing.T) {
	is := is.New(t)
	fp := newFakePlatform(t, 4, 1, 60*time.Second)
	fp.p.UpdateVMs(fp.list(), fp.moment())
	steps := fp.p.Next(func(string) sched.Load { return sched.Load{Runs: 2, LongRunning: 2} }, fp.moment())
	is.Equal(len(steps), 1)
	is.True(steps[0].Stop)
	steps = fp.p.Next(func(string) sched.Load { return sched.Load{Runs: 2, LongRunning: 1} }, fp.moment())
	is.Equal(len(steps), drainFactor) // other work on the VM may go on for a while
}

// A VM that can't be drained now keeps getting work, and the wave goes on with the others.
func TestVMThatCannotDrainStaysOpen(t *testing.T) {
	is := is.New(t)
	fp := newFakePlatform(t, 3, 1, 30*time.Second)
	bound := true
	load := func(id string) sched.Load {
		return sched.Load{CannotDrain: bound && id == "m01/0"}
	}
	var begun []string
	for ; fp.now < 20*time.Second; fp.now += 400 * time.Millisecond {
		fp.p.UpdateVMs(fp.list(), fp.moment())
		if len(begun) == 2 && fp.down() == 0 {
			bound = false
		}
		for _, s := range fp.p.Next(load, fp.moment()) {
			is.True(!bound || s.VM != "m01")
			if s.Begin {
				fp.takeDown(s.VM)
				begun = append(begun, s.VM)
				fp.p.RecordAnswer(s.Wave, s.VM, nil, fp.moment())
			}
		}
	}
	is.Equal(begun, []string{"m00", "m02", "m01"})
}

func TestWaveCheck(t *testing.T) {
	cases := map[string]struct {
		wave Wave
		ok   bool
	}{
		"valid":         {Wave{Number: 1, VMs: []string{"a"}, MaxDown: 1, TimeLimit: time.Second}, true},
		"none at once":  {Wave{Number: 1, VMs: []string{"a"}}, false},
		"negative term": {Wave{Number: 1, MaxDown: 1, TimeLimit: -1}, false},
		"no VMs":        {Wave{Number: 1, MaxDown: 1}, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(c.wave.Check() == nil, c.ok)
		})
	}
}
