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

// Phase is the phase of a VM in its wave. Its values are stored.
type Phase string

// The phases of a VM. Waiting is before any order to take it down. Ordered lasts from that decision
// until the upkeep is known to have begun, Begun until the VM's next worker is up, which makes it Back.
// A Gone VM is not listed any more.
const (
	Waiting Phase = ""
	Ordered Phase = "ordered"
	Begun   Phase = "begun"
	Back    Phase = "back"
	Gone    Phase = "gone"
)

const (
	// upkeepDuration is the time that a round of VMs is allowed for an upkeep and the start of the next
	// worker: twice the time that it takes on the users' deployments.
	upkeepDuration = 4 * time.Second
	// termMargin is left of a wave's term. The term counts from the operator's write; the wave is seen
	// up to a second later, the stops of runs take as long, and the list that shows the next round is
	// half a second old.
	termMargin = 2500 * time.Millisecond
	// drainFactor times as many VMs as may be down are drained at a time, so that the next ones are
	// empty when the first are back.
	drainFactor = 2
	// retryInterval is the least time between two orders for one VM.
	retryInterval = time.Second
	// sameWorkerTimeout is how long after the begin of its upkeep a VM that is up counts as back even
	// if its worker has the same id as before.
	sameWorkerTimeout = 15 * time.Second
)

// Progress is the stored state of a VM in its wave. A Planner owns it.
type Progress struct {
	Phase Phase `json:"phase"`
	// PreviousWorker is the worker that the VM had when it was ordered down.
	PreviousWorker string `json:"before,omitempty"`

	phaseSince   time.Duration // when the VM entered the phase
	nextOrderAt  time.Duration // earliest time of the next order
	reportedBusy bool          // the platform answered ErrNotUp to the last order
}

// Record is the stored state of a wave, which the next owner needs.
type Record struct {
	// DueMs is the end of the wave's term, in Unix ms.
	DueMs int64                `json:"due_ms"`
	VMs   map[string]*Progress `json:"vms,omitempty"`
	// Completed is set once all VMs are Back or Gone.
	Completed bool `json:"completed,omitempty"`
}

// wave is the planner's state of one wave.
type wave struct {
	spec   Wave
	record Record
	// drainUntil has the VMs that are being drained: their workers get no new work, and what runs there
	// may go on until the steady time given.
	drainUntil map[string]time.Duration
}

// Planner plans all waves. It is owned by one goroutine and has no lock. The zero value is ready for
// use.
type Planner struct {
	waves   map[int64]*wave
	vms     map[string]VM
	changed map[int64]bool
}

// Restore sets the progress of a wave from its stored record; the wave itself follows with SetWave. A VM
// for which an earlier owner may have sent an order gets none before the steady time notBefore.
func (p *Planner) Restore(number int64, data []byte, notBefore time.Duration) error {
	var r Record
	if err := json.Unmarshal(data, &r); err != nil {
		return fmt.Errorf("decode the progress of wave %d: %w", number, err)
	}
	for _, pr := range r.VMs {
		if pr.PreviousWorker != "" {
			pr.nextOrderAt = notBefore
		}
	}
	p.wave(number).record = r
	return nil
}

// wave returns the wave with that number, which is created if it is unknown.
func (p *Planner) wave(number int64) *wave {
	if p.waves == nil {
		p.waves, p.changed = map[int64]*wave{}, map[int64]bool{}
	}
	w := p.waves[number]
	if w == nil {
		w = &wave{spec: Wave{Number: number}, drainUntil: map[string]time.Duration{}}
		p.waves[number] = w
	}
	return w
}

// SetWave adds a wave or replaces its specification, and reports whether the wave is new. A known wave
// keeps its progress and its due time.
func (p *Planner) SetWave(in Wave, now sched.Moment) bool {
	w := p.wave(in.Number)
	w.spec = in
	if w.record.DueMs != 0 {
		return false
	}
	w.record.DueMs = now.UnixMs + in.TimeLimit.Milliseconds()
	p.changed[in.Number] = true
	return true
}

// HasOpenWaves reports whether any wave has not been completed, by its record.
func (p *Planner) HasOpenWaves() bool {
	for _, w := range p.waves {
		if !w.record.Completed {
			return true
		}
	}
	return false
}

// WorkersGoingDown returns the workers whose VMs were ordered down and are not back yet. They must get no new
// work, since the upkeep would end it.
func (p *Planner) WorkersGoingDown() []string {
	var out []string
	for _, w := range p.waves {
		for _, pr := range w.record.VMs {
			if pr.Phase == Ordered || pr.Phase == Begun {
				out = append(out, pr.PreviousWorker)
			}
		}
	}
	return out
}

// progress returns the progress of a VM, which is created if there is none.
func (w *wave) progress(vm string) *Progress {
	pr := w.record.VMs[vm]
	if pr == nil {
		pr = &Progress{}
		if w.record.VMs == nil {
			w.record.VMs = map[string]*Progress{}
		}
		w.record.VMs[vm] = pr
	}
	return pr
}

// setPhase sets the phase of a VM and marks the wave's record as changed.
func (p *Planner) setPhase(w *wave, vm string, phase Phase, now sched.Moment) {
	pr := w.progress(vm)
	pr.Phase, pr.phaseSince = phase, now.Steady
	p.changed[w.spec.Number] = true
}

// UpdateVMs updates the phases from the platform's list of all VMs.
func (p *Planner) UpdateVMs(vms []VM, now sched.Moment) {
	p.vms = make(map[string]VM, len(vms))
	for _, v := range vms {
		p.vms[v.ID] = v
	}
	for _, w := range p.openWaves() {
		for _, id := range w.spec.VMs {
			p.updateVM(w, id, now)
		}
	}
}

// updateVM updates the phase of one VM from the last list.
func (p *Planner) updateVM(w *wave, id string, now sched.Moment) {
	v, listed := p.vms[id]
	pr := w.progress(id)
	switch {
	case !listed && pr.Phase != Gone && pr.Phase != Back:
		p.setPhase(w, id, Gone, now)
	case pr.Phase == Gone && listed:
		p.setPhase(w, id, Waiting, now)
	case pr.Phase == Ordered && v.Down:
		p.setPhase(w, id, Begun, now)
	case pr.Phase == Ordered && pr.reportedBusy:
		// The VM is not in upkeep and was not up at the order, so the order had no effect.
		pr.reportedBusy = false
		p.setPhase(w, id, Waiting, now)
	case pr.Phase == Begun && v.Up && (v.Worker != pr.PreviousWorker || now.Steady-pr.phaseSince > sameWorkerTimeout):
		p.setPhase(w, id, Back, now)
	}
}

// RecordAnswer records the answer to an order to take a VM down; err is nil or wraps one of the package's
// errors.
func (p *Planner) RecordAnswer(number int64, vm string, err error, now sched.Moment) {
	w := p.wave(number)
	pr := w.progress(vm)
	if pr.Phase != Ordered {
		return
	}
	pr.nextOrderAt = now.Steady + retryInterval
	switch {
	case err == nil:
		p.setPhase(w, vm, Begun, now)
	case errors.Is(err, ErrUnknown):
		p.setPhase(w, vm, Gone, now)
	case errors.Is(err, ErrNotUp):
		// An earlier order that got no answer may have begun the upkeep; the next list shows it.
		pr.reportedBusy = true
	}
}

// Step is an action that the owner must take for a wave.
type Step struct {
	Wave   int64
	VM     string
	Worker string
	// Begin means that the VM is to be taken down; otherwise its worker is only to get no new work.
	Begin bool
	// Stop means that the runs that are left on the worker are to be stopped.
	Stop bool
}

// Next returns the steps to take now; load returns what runs on a worker. The workers of all steps and
// those in WorkersGoingDown must get no new work; other workers may.
func (p *Planner) Next(load func(worker string) sched.Load, now sched.Moment) []Step {
	var out []Step
	for _, w := range p.openWaves() {
		out = append(out, p.advanceWave(w, load, now)...)
	}
	return out
}

// openWaves returns the waves with a known specification that are not completed, by number.
func (p *Planner) openWaves() []*wave {
	var out []*wave
	for _, n := range slices.Sorted(maps.Keys(p.waves)) {
		if w := p.waves[n]; !w.record.Completed && w.spec.MaxDown > 0 {
			out = append(out, w)
		}
	}
	return out
}

// advanceWave returns the steps to take now for one wave, and completes the wave when no VM is left.
func (p *Planner) advanceWave(w *wave, load func(string) sched.Load, now sched.Moment) []Step {
	var out []Step
	var waiting []VM
	down, unfinished := 0, 0
	for _, id := range w.spec.VMs {
		pr := w.progress(id)
		switch pr.Phase {
		case Ordered, Begun:
			unfinished++
			down++
			if pr.Phase == Ordered && now.Steady >= pr.nextOrderAt {
				pr.nextOrderAt = now.Steady + retryInterval
				out = append(out, Step{Wave: w.spec.Number, VM: id, Worker: pr.PreviousWorker, Begin: true})
			}
		case Waiting:
			unfinished++
			// A VM that can't be drained now keeps getting work, otherwise its free capacity would be
			// unused.
			if v := p.vms[id]; v.Up && now.Steady >= pr.nextOrderAt && !load(v.Worker).CannotDrain {
				waiting = append(waiting, v)
				continue
			}
		case Back, Gone:
		}
		delete(w.drainUntil, id)
	}
	if unfinished == 0 {
		w.record.Completed = true
		p.changed[w.spec.Number] = true
		return out
	}
	p.startDraining(w, waiting, w.spec.MaxDown-down, load, now)
	return append(out, p.stepsForDraining(w, waiting, w.spec.MaxDown-down, load, now)...)
}

// stepsForDraining returns the steps for the VMs that are being drained. It takes up to free empty ones
// down, and has the runs on the others stopped when their time is over and another VM may go down.
func (p *Planner) stepsForDraining(w *wave, waiting []VM, free int, load func(string) sched.Load, now sched.Moment) []Step {
	var out []Step
	for _, v := range waiting {
		until, draining := w.drainUntil[v.ID]
		if !draining {
			continue
		}
		s := Step{Wave: w.spec.Number, VM: v.ID, Worker: v.Worker}
		runs := load(v.Worker).Runs
		switch {
		case runs == 0 && free > 0:
			free--
			delete(w.drainUntil, v.ID)
			pr := w.progress(v.ID)
			pr.PreviousWorker, pr.nextOrderAt = v.Worker, now.Steady+retryInterval
			p.setPhase(w, v.ID, Ordered, now)
			s.Begin = true
		case runs > 0:
			s.Stop = now.Steady >= until && free > 0
		}
		out = append(out, s)
	}
	return out
}

// startDraining chooses VMs to drain, those where stopping the runs would lose least work first.
// Long-running work does not end by itself: a VM with nothing else is drained only when it may go down,
// and its runs are stopped at once.
func (p *Planner) startDraining(w *wave, waiting []VM, free int, load func(string) sched.Load, now sched.Moment) {
	slices.SortStableFunc(waiting, func(a, b VM) int {
		_, drainingA := w.drainUntil[a.ID]
		_, drainingB := w.drainUntil[b.ID]
		if drainingA != drainingB {
			if drainingA {
				return -1
			}
			return 1
		}
		la, lb := load(a.Worker), load(b.Worker)
		return cmp.Or(cmp.Compare(la.Loss, lb.Loss), cmp.Compare(la.Runs, lb.Runs), cmp.Compare(a.ID, b.ID))
	})
	until := now.Steady + w.drainTimeout(len(waiting), now)
	for _, v := range waiting {
		if len(w.drainUntil) >= drainFactor*w.spec.MaxDown {
			return
		}
		if _, draining := w.drainUntil[v.ID]; draining {
			continue
		}
		switch l := load(v.Worker); {
		case l.LongRunning == 0 || l.LongRunning < l.Runs:
			w.drainUntil[v.ID] = until
		case len(w.drainUntil) < free:
			w.drainUntil[v.ID] = now.Steady
		}
	}
}

// drainTimeout returns how long runs may go on while their worker is drained: the time that the term
// leaves for each round of VMs besides the upkeep itself. The upkeep of the last round must only begin
// within the term.
func (w *wave) drainTimeout(waiting int, now sched.Moment) time.Duration {
	left := time.Duration(w.record.DueMs-now.UnixMs)*time.Millisecond - termMargin
	rounds := time.Duration(max(1, (waiting+w.spec.MaxDown-1)/w.spec.MaxDown))
	return max(0, (left-(rounds-1)*upkeepDuration)/rounds)
}

// TakeChanged returns the records that have changed since the last call, by wave number.
func (p *Planner) TakeChanged() map[int64]Record {
	out := make(map[int64]Record, len(p.changed))
	for n := range p.changed {
		out[n] = p.waves[n].record
	}
	clear(p.changed)
	return out
}
