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

// yard is a set of VMs with what runs on them; it carries steps out and checks
// the promises of a wave.
type yard struct {
	t     *testing.T
	p     *Planner
	wave  Wave
	now   time.Duration
	until map[string]time.Duration // when a VM in upkeep is back
	life  map[string]int
	runs  map[string]time.Duration // when a worker's runs end by themselves
	begun map[string]bool
	// lose tells whether the answer of an order is lost, late whether it is
	// carried out only after that.
	lose, late func() bool
	pending    []func()
	stopped    int
}

const start = 1_700_000_000_000

func newYard(t *testing.T, n, atOnce int, term time.Duration) *yard {
	t.Helper()
	y := &yard{
		t: t, p: &Planner{}, until: map[string]time.Duration{}, life: map[string]int{}, runs: map[string]time.Duration{},
		begun: map[string]bool{}, lose: func() bool { return false }, late: func() bool { return false },
	}
	y.wave = Wave{Number: 7, AtOnce: atOnce, Term: term}
	for i := range n {
		y.wave.VMs = append(y.wave.VMs, fmt.Sprintf("m%02d", i))
	}
	y.p.Ask(y.wave, y.moment())
	return y
}

func (y *yard) moment() sched.Moment {
	return sched.Moment{Steady: time.Minute + y.now, UnixMs: start + y.now.Milliseconds()}
}

func (y *yard) worker(vm string) string { return fmt.Sprintf("%s/%d", vm, y.life[vm]) }

func (y *yard) down() int {
	n := 0
	for _, until := range y.until {
		if until > y.now {
			n++
		}
	}
	return n
}

// upkeep is what the platform does with an order.
func (y *yard) upkeep(vm string) {
	if y.begun[vm] {
		return // it was done already
	}
	if y.down() >= y.wave.AtOnce {
		y.t.Errorf("%s: %s goes down as number %d", y.now, vm, y.down()+1)
	}
	if y.runs[vm] > y.now {
		y.t.Errorf("%s: %s goes down with runs", y.now, vm)
	}
	y.begun[vm] = true
	if y.now > y.wave.Term-termMargin/2 {
		y.t.Errorf("%s: %s goes down too late", y.now, vm)
	}
	y.until[vm] = y.now + 2*time.Second
	y.life[vm]++
}

func (y *yard) list() []VM {
	var out []VM
	for _, vm := range y.wave.VMs {
		down := y.until[vm] > y.now
		out = append(out, VM{ID: vm, Up: !down, Down: down, Worker: y.worker(vm)})
	}
	return out
}

func (y *yard) load(worker string) sched.Load {
	for vm, until := range y.runs {
		if y.worker(vm) == worker && until > y.now {
			return sched.Load{Runs: 1, Loss: (until - y.now).Seconds()}
		}
	}
	return sched.Load{}
}

// play goes on until the wave is completed or limit has passed.
func (y *yard) play(limit time.Duration) bool {
	for ; y.now < limit; y.now += 100 * time.Millisecond {
		if y.now%(400*time.Millisecond) == 0 {
			y.p.See(y.list(), y.moment())
		}
		for _, f := range y.pending {
			f()
		}
		y.pending = nil
		steps := y.p.Next(y.load, y.moment())
		y.checkClosed()
		for _, s := range steps {
			switch {
			case s.Begin && y.late():
				vm := s.VM
				y.pending = append(y.pending, func() { y.upkeep(vm) })
				y.p.Answered(s.Wave, s.VM, ErrUnclear, y.moment())
			case s.Begin:
				y.upkeep(s.VM)
				var err error
				if y.lose() {
					err = ErrUnclear
				}
				y.p.Answered(s.Wave, s.VM, err, y.moment())
			case s.Stop:
				y.runs[s.VM] = min(y.runs[s.VM], y.now+200*time.Millisecond)
				y.stopped++
			}
		}
		for _, r := range y.p.TakeChanged() {
			if r.Completed {
				y.check()
				return true
			}
		}
	}
	return false
}

// checkClosed verifies that a VM which was ordered down gets nothing new until
// its next worker is up.
func (y *yard) checkClosed() {
	for vm, g := range y.p.wave(7).rec.VMs {
		if g.Phase != Ordered && g.Phase != Begun {
			continue
		}
		if !slices.Contains(y.p.Ordered(), g.Before) {
			y.t.Errorf("%s: %s was ordered down and its worker is open", y.now, vm)
		}
	}
}

func (y *yard) check() {
	for _, vm := range y.wave.VMs {
		if !y.begun[vm] {
			y.t.Errorf("the wave is completed and %s was not in upkeep", vm)
		}
	}
}

func TestWaveIsDoneInTimeAndNeverTooManyAtOnce(t *testing.T) {
	cases := map[string]struct {
		vms, atOnce int
		term        time.Duration
		busy        float64 // share of the VMs with runs
		lose, late  float64
		stops       bool // runs may have to be stopped
	}{
		"idle VMs, one at a time":           {6, 1, 30 * time.Second, 0, 0, 0, false},
		"busy VMs with much time":           {6, 2, 60 * time.Second, 1, 0, 0, false},
		"busy VMs with little time":         {6, 2, 18 * time.Second, 1, 0, 0, true},
		"answers are lost":                  {8, 2, 40 * time.Second, 0.3, 0.4, 0, true},
		"orders are carried out afterwards": {8, 2, 60 * time.Second, 0.3, 0.2, 0.4, true},
		"all at once":                       {8, 8, 12 * time.Second, 0.5, 0, 0, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			for seed := range uint64(20) {
				rnd := rand.New(rand.NewPCG(seed, 1))
				y := newYard(t, c.vms, c.atOnce, c.term)
				for _, vm := range y.wave.VMs {
					if rnd.Float64() < c.busy {
						y.runs[vm] = time.Duration(rnd.IntN(9000)+1000) * time.Millisecond
					}
				}
				y.lose = func() bool { return rnd.Float64() < c.lose }
				y.late = func() bool { return rnd.Float64() < c.late }
				is.True(y.play(c.term + downFor))
				is.True(c.stops || y.stopped == 0)
			}
		})
	}
}

// A new owner goes by the records: VMs that were ordered down count, and none
// goes twice.
func TestNextOwnerGoesOnWithAWave(t *testing.T) {
	for seed := range uint64(30) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			is := is.New(t)
			y := newYard(t, 6, 2, 40*time.Second)
			rnd := rand.New(rand.NewPCG(seed, 2))
			y.lose = func() bool { return rnd.Float64() < 0.3 }
			if y.play(time.Duration(rnd.IntN(12000)) * time.Millisecond / 100 * 100) {
				return
			}
			data, err := json.Marshal(y.p.wave(7).rec)
			is.NoErr(err)
			y.p = &Planner{}
			is.NoErr(y.p.Restore(7, data, y.moment().Steady+3*time.Second))
			is.True(!y.p.Ask(y.wave, y.moment()))
			is.True(y.play(60 * time.Second))
		})
	}
}

func TestVMThatLeavesHoldsNoWaveUp(t *testing.T) {
	is := is.New(t)
	y := newYard(t, 3, 1, 30*time.Second)
	y.p.See(y.list()[:2], y.moment())
	y.begun["m02"] = true
	y.wave.VMs = y.wave.VMs[:2] // it is not listed any more
	is.True(y.play(30 * time.Second))
}

// A VM that is not up counts as down until the list shows that no earlier order
// has begun its upkeep.
func TestBusyVMIsLeftAloneUntilTheListTells(t *testing.T) {
	is := is.New(t)
	y := newYard(t, 2, 1, 30*time.Second)
	y.p.See(y.list(), y.moment())
	idle := func(string) sched.Load { return sched.Load{} }
	s := y.p.Next(idle, y.moment())
	is.True(s[0].Begin)
	y.p.Answered(7, s[0].VM, ErrBusy, y.moment())
	for _, s := range y.p.Next(idle, y.moment()) {
		is.True(!s.Begin)
	}
	vms := y.list()
	vms[0].Up = false
	y.p.See(vms, y.moment())
	begins := 0
	for _, s := range y.p.Next(idle, y.moment()) {
		if s.Begin {
			begins++
			is.Equal(s.VM, "m01")
		}
	}
	is.Equal(begins, 1)
}

// Lasting work is stopped at once, on no more VMs than may be down.
func TestVMWithLastingWorkIsClosedOnlyWhenItMayGoDown(t *testing.T) {
	is := is.New(t)
	y := newYard(t, 4, 1, 60*time.Second)
	y.p.See(y.list(), y.moment())
	steps := y.p.Next(func(string) sched.Load { return sched.Load{Runs: 2, Lasting: 2} }, y.moment())
	is.Equal(len(steps), 1)
	is.True(steps[0].Stop)
	steps = y.p.Next(func(string) sched.Load { return sched.Load{Runs: 2, Lasting: 1} }, y.moment())
	is.Equal(len(steps), closeAhead) // what else runs there may go on for a while
}

// A VM that can't be emptied now stays open, and the others go on.
func TestVMThatCanNotBeEmptiedStaysOpen(t *testing.T) {
	is := is.New(t)
	y := newYard(t, 3, 1, 30*time.Second)
	bound := true
	load := func(id string) sched.Load {
		return sched.Load{Bound: bound && id == "m01/0"}
	}
	var begun []string
	for ; y.now < 20*time.Second; y.now += 400 * time.Millisecond {
		y.p.See(y.list(), y.moment())
		if len(begun) == 2 && y.down() == 0 {
			bound = false
		}
		for _, s := range y.p.Next(load, y.moment()) {
			is.True(!bound || s.VM != "m01")
			if s.Begin {
				y.upkeep(s.VM)
				begun = append(begun, s.VM)
				y.p.Answered(s.Wave, s.VM, nil, y.moment())
			}
		}
	}
	is.Equal(begun, []string{"m00", "m02", "m01"})
}

func TestWaveChecksItself(t *testing.T) {
	cases := map[string]struct {
		wave Wave
		ok   bool
	}{
		"whole":         {Wave{Number: 1, VMs: []string{"a"}, AtOnce: 1, Term: time.Second}, true},
		"none at once":  {Wave{Number: 1, VMs: []string{"a"}}, false},
		"negative term": {Wave{Number: 1, AtOnce: 1, Term: -1}, false},
		"no VMs":        {Wave{Number: 1, AtOnce: 1}, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(c.wave.Check() == nil, c.ok)
		})
	}
}
