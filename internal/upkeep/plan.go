package upkeep

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"greengageline/internal/sched"
)

// Phase is how far a VM has come in its wave.
type Phase string

// The phases: Ordered lasts from the decision to take a VM down until that is
// known to have begun, Begun until its next worker is up. Gone VMs have left.
const (
	Waiting Phase = ""
	Ordered Phase = "ordered"
	Begun   Phase = "begun"
	Back    Phase = "back"
	Gone    Phase = "gone"
)

const (
	// downFor is the time that an upkeep takes, with the start of the next
	// worker: twice that on the users' sites.
	downFor = 4 * time.Second
	// termMargin is left of a wave's term, which counts from the operator's
	// write: the wave is seen up to a second later, the stops of runs take as
	// long, and the list that shows the next round is half a second old.
	termMargin = 2500 * time.Millisecond
	// closeAhead times as many VMs as may be down are emptied at a time, so that
	// the next ones are empty when the first are back.
	closeAhead = 2
	// retryPause lies between two orders for one VM.
	retryPause = time.Second
	// backAfter is when a VM that is up counts as back even if its worker has
	// the same id as before.
	backAfter = 15 * time.Second
)

// Progress is how a VM stands in its wave, as it is stored.
type Progress struct {
	Phase Phase `json:"phase"`
	// Before is the worker that the VM had when it was ordered down.
	Before string `json:"before,omitempty"`

	at   time.Duration // when it came into the phase
	next time.Duration // when an order may be sent again
	busy bool          // the last order found the VM not up
}

// Record is what must outlive the owner of a wave's progress.
type Record struct {
	// DueMs is when the wave's term ends, in Unix ms.
	DueMs int64                `json:"due_ms"`
	VMs   map[string]*Progress `json:"vms,omitempty"`
	// Completed is set once all VMs are back or gone.
	Completed bool `json:"completed,omitempty"`
}

type wave struct {
	ask Wave
	rec Record
	// closing has the VMs that are being emptied, with the time until which
	// what runs there may go on.
	closing map[string]time.Duration
}

// Planner holds the waves; the zero value works. It is not safe for concurrent
// use.
type Planner struct {
	waves   map[int64]*wave
	vms     map[string]VM
	changed map[int64]bool
}

// Restore takes in a wave's stored progress; the wave itself follows with Ask. A
// VM for which another owner has given an order gets none before notBefore.
func (p *Planner) Restore(number int64, data []byte, notBefore time.Duration) error {
	var r Record
	if err := json.Unmarshal(data, &r); err != nil {
		return fmt.Errorf("decode the progress of wave %d: %w", number, err)
	}
	for _, g := range r.VMs {
		if g.Before != "" {
			g.next = notBefore
		}
	}
	p.wave(number).rec = r
	return nil
}

func (p *Planner) wave(number int64) *wave {
	if p.waves == nil {
		p.waves, p.changed = map[int64]*wave{}, map[int64]bool{}
	}
	w := p.waves[number]
	if w == nil {
		w = &wave{ask: Wave{Number: number}, closing: map[string]time.Duration{}}
		p.waves[number] = w
	}
	return w
}

// Ask takes in a wave as the operator wants it; one that is known keeps its
// progress. It reports whether the wave is new.
func (p *Planner) Ask(in Wave, now sched.Moment) bool {
	w := p.wave(in.Number)
	w.ask = in
	if w.rec.DueMs != 0 {
		return false
	}
	w.rec.DueMs = now.UnixMs + in.Term.Milliseconds()
	p.changed[in.Number] = true
	return true
}

// Open reports whether a wave has not been completed, as far as its record tells.
func (p *Planner) Open() bool {
	for _, w := range p.waves {
		if !w.rec.Completed {
			return true
		}
	}
	return false
}

// Ordered lists the workers whose VMs were ordered down and are not back: what
// started there now would end with the upkeep.
func (p *Planner) Ordered() []string {
	var out []string
	for _, w := range p.waves {
		for _, g := range w.rec.VMs {
			if g.Phase == Ordered || g.Phase == Begun {
				out = append(out, g.Before)
			}
		}
	}
	return out
}

// progress returns a VM's, which is made when it is first needed.
func (w *wave) progress(vm string) *Progress {
	g := w.rec.VMs[vm]
	if g == nil {
		g = &Progress{}
		if w.rec.VMs == nil {
			w.rec.VMs = map[string]*Progress{}
		}
		w.rec.VMs[vm] = g
	}
	return g
}

func (p *Planner) enter(w *wave, vm string, phase Phase, now sched.Moment) {
	g := w.progress(vm)
	g.Phase, g.at = phase, now.Steady
	p.changed[w.ask.Number] = true
}

// See takes in the platform's list of all VMs.
func (p *Planner) See(vms []VM, now sched.Moment) {
	p.vms = make(map[string]VM, len(vms))
	for _, v := range vms {
		p.vms[v.ID] = v
	}
	for _, w := range p.open() {
		for _, id := range w.ask.VMs {
			p.seeOne(w, id, now)
		}
	}
}

func (p *Planner) seeOne(w *wave, id string, now sched.Moment) {
	v, listed := p.vms[id]
	g := w.progress(id)
	switch {
	case !listed && g.Phase != Gone && g.Phase != Back:
		p.enter(w, id, Gone, now)
	case g.Phase == Gone && listed:
		p.enter(w, id, Waiting, now)
	case g.Phase == Ordered && v.Down:
		p.enter(w, id, Begun, now)
	case g.Phase == Ordered && g.busy:
		// It is neither in upkeep nor was it up: the order did nothing.
		g.busy = false
		p.enter(w, id, Waiting, now)
	case g.Phase == Begun && v.Up && (v.Worker != g.Before || now.Steady-g.at > backAfter):
		p.enter(w, id, Back, now)
	}
}

// Answered takes in the outcome of an order for a VM.
func (p *Planner) Answered(number int64, vm string, err error, now sched.Moment) {
	w := p.wave(number)
	g := w.progress(vm)
	if g.Phase != Ordered {
		return
	}
	g.next = now.Steady + retryPause
	switch {
	case err == nil:
		p.enter(w, vm, Begun, now)
	case errors.Is(err, ErrUnknown):
		p.enter(w, vm, Gone, now)
	case errors.Is(err, ErrBusy):
		// An earlier order without an answer may have begun the upkeep; the next
		// list tells.
		g.busy = true
	}
}

// Step is something to do for a wave.
type Step struct {
	Wave   int64
	VM     string
	Worker string
	// Begin takes the VM down; otherwise its worker is closed for new work.
	Begin bool
	// Stop means that what still runs there must be stopped.
	Stop bool
}

// Next decides what to do now, given what runs on each worker. The workers of
// all steps and those in Ordered get nothing new; others are open.
func (p *Planner) Next(load func(worker string) sched.Load, now sched.Moment) []Step {
	var out []Step
	for _, w := range p.open() {
		out = append(out, p.next(w, load, now)...)
	}
	return out
}

func (p *Planner) open() []*wave {
	var out []*wave
	for _, n := range slices.Sorted(maps.Keys(p.waves)) {
		if w := p.waves[n]; !w.rec.Completed && w.ask.AtOnce > 0 {
			out = append(out, w)
		}
	}
	return out
}

func (p *Planner) next(w *wave, load func(string) sched.Load, now sched.Moment) []Step {
	var out []Step
	var waiting []VM
	down, left := 0, 0
	for _, id := range w.ask.VMs {
		g := w.progress(id)
		switch g.Phase {
		case Ordered, Begun:
			left++
			down++
			if g.Phase == Ordered && now.Steady >= g.next {
				g.next = now.Steady + retryPause
				out = append(out, Step{Wave: w.ask.Number, VM: id, Worker: g.Before, Begin: true})
			}
		case Waiting:
			left++
			// One that can't be emptied now stays open, or its free room would
			// be of use to nobody.
			if v := p.vms[id]; v.Up && now.Steady >= g.next && !load(v.Worker).Bound {
				waiting = append(waiting, v)
				continue
			}
		case Back, Gone:
		}
		delete(w.closing, id)
	}
	if left == 0 {
		w.rec.Completed = true
		p.changed[w.ask.Number] = true
		return out
	}
	p.choose(w, waiting, w.ask.AtOnce-down, load, now)
	return append(out, p.empty(w, waiting, w.ask.AtOnce-down, load, now)...)
}

// empty takes closed VMs down that are empty, up to free of them, and has what
// runs on the others stopped when its time is over.
func (p *Planner) empty(w *wave, waiting []VM, free int, load func(string) sched.Load, now sched.Moment) []Step {
	var out []Step
	for _, v := range waiting {
		until, closing := w.closing[v.ID]
		if !closing {
			continue
		}
		s := Step{Wave: w.ask.Number, VM: v.ID, Worker: v.Worker}
		runs := load(v.Worker).Runs
		switch {
		case runs == 0 && free > 0:
			free--
			delete(w.closing, v.ID)
			g := w.progress(v.ID)
			g.Before, g.next = v.Worker, now.Steady+retryPause
			p.enter(w, v.ID, Ordered, now)
			s.Begin = true
		case runs > 0:
			s.Stop = now.Steady >= until && free > 0
		}
		out = append(out, s)
	}
	return out
}

// choose closes VMs, those on which least would be lost first. Lasting work does
// not end while it is waited for: a VM with nothing else is closed only when it
// may go down, and its runs are stopped at once.
func (p *Planner) choose(w *wave, waiting []VM, free int, load func(string) sched.Load, now sched.Moment) {
	slices.SortStableFunc(waiting, func(a, b VM) int {
		_, closingA := w.closing[a.ID]
		_, closingB := w.closing[b.ID]
		if closingA != closingB {
			if closingA {
				return -1
			}
			return 1
		}
		la, lb := load(a.Worker), load(b.Worker)
		return cmp.Or(cmp.Compare(la.Loss, lb.Loss), cmp.Compare(la.Runs, lb.Runs), cmp.Compare(a.ID, b.ID))
	})
	until := now.Steady + w.patience(len(waiting), now)
	for _, v := range waiting {
		if len(w.closing) >= closeAhead*w.ask.AtOnce {
			return
		}
		if _, closing := w.closing[v.ID]; closing {
			continue
		}
		switch l := load(v.Worker); {
		case l.Lasting == 0 || l.Lasting < l.Runs:
			w.closing[v.ID] = until
		case len(w.closing) < free:
			w.closing[v.ID] = now.Steady
		}
	}
}

// patience is how long runs on a closed worker may go on: what the term leaves
// for each round of VMs besides the upkeep itself; that of the last round must
// begin within the term.
func (w *wave) patience(waiting int, now sched.Moment) time.Duration {
	left := time.Duration(w.rec.DueMs-now.UnixMs)*time.Millisecond - termMargin
	rounds := time.Duration(max(1, (waiting+w.ask.AtOnce-1)/w.ask.AtOnce))
	return max(0, (left-(rounds-1)*downFor)/rounds)
}

// TakeChanged returns the records that changed since the last call, by wave.
func (p *Planner) TakeChanged() map[int64]Record {
	out := make(map[int64]Record, len(p.changed))
	for n := range p.changed {
		out[n] = p.waves[n].rec
	}
	clear(p.changed)
	return out
}
