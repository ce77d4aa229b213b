package sched

import (
	"cmp"
	"slices"

	"greengageline/pkg/model"
)

// victim is a run that may be preempted. cost is the work that this loses, in core-seconds weighted by
// priority: a run that has just started has lost nothing yet, whoever waited for it.
type victim struct {
	ref  TaskRef
	task *Task
	need model.Room
	cost float64
	// awaited is set for a run that ends so soon that the group waits for it.
	awaited bool
}

// preemptionOption is a worker with the capacity that preemption could free on it. room is what is free
// with the chosen victims gone, less the tasks assigned so far.
type preemptionOption struct {
	w       *worker
	room    model.Room
	victims []victim // cheapest first; runs that are stopping already cost nothing
	chosen  int      // how many of victims are to be stopped
	// quota is how many more tasks of the group the worker may get.
	quota int
}

// preempt stops preemptible runs so that the urgent group can start once they have ended, and reserves
// the capacity for it. It reports whether that was possible; for work that is not urgent it never is.
func (e *Engine) preempt(g *group, now Moment) bool {
	if g.queue.Priority != 0 || len(g.waiting) == 0 {
		return false
	}
	if !g.fit.forSpeed && e.mayWaitForRoom(g, now) {
		return false
	}
	guaranteed := e.guaranteedJobs
	if g.step.OneRack && !g.maySpread(e, now) && e.idleRackFits(g) {
		return e.preemptOnRack(g, guaranteed, now)
	}
	var ws []*worker
	for _, r := range e.racks {
		if r.pool == g.queue.Pool {
			ws = append(ws, e.candidates(g, r.workers, now)...)
		}
	}
	options, cost := e.cheapestOptions(g, ws, guaranteed, now)
	if cost < 0 || !e.worthwhile(g, options, now) {
		return false
	}
	e.preemptAndReserve(g, options, now)
	return true
}

// preemptOnRack preempts runs on the one rack where that loses least work.
func (e *Engine) preemptOnRack(g *group, guaranteed map[*Job]bool, now Moment) bool {
	var best []*preemptionOption
	least := -1.0
	for _, r := range e.racks {
		if r.pool != g.queue.Pool {
			continue
		}
		options, cost := e.cheapestOptions(g, e.candidates(g, r.workers, now), guaranteed, now)
		if cost >= 0 && (least < 0 || cost < least) {
			best, least = options, cost
		}
	}
	if best == nil || !e.worthwhile(g, best, now) {
		return false
	}
	e.preemptAndReserve(g, best, now)
	return true
}

// cheapestOptions chooses a worker for each waiting task, each time the one where least work is lost.
// It returns one option for each task, in order, and the total weighted cost, which is negative
// if not all tasks can be placed.
func (e *Engine) cheapestOptions(g *group, ws []*worker, guaranteed map[*Job]bool, now Moment) ([]*preemptionOption, float64) {
	options := make([]*preemptionOption, 0, len(ws))
	counted := map[*Batch]int{}
	for _, w := range ws {
		if p := e.optionFor(g, w, guaranteed, counted, now); p != nil {
			options = append(options, p)
		}
	}
	var out []*preemptionOption
	total := 0.0
	need := g.step.Need()
	for range g.waiting {
		var best *preemptionOption
		least, victims := 0.0, 0
		for _, p := range options {
			if p.quota == 0 {
				continue
			}
			cost, n, ok := p.next(need)
			if ok && (best == nil || cost < least) {
				best, least, victims = p, cost, n
			}
		}
		if best == nil {
			return nil, -1
		}
		for _, v := range best.victims[best.chosen:victims] {
			best.room = best.room.Plus(v.need, 1)
		}
		chosen := best.victims[best.chosen:victims]
		best.chosen = victims
		e.lowerCosts(options, chosen, now)
		best.room = best.room.Minus(need, 1)
		best.quota--
		total += least
		out = append(out, best)
	}
	return out, total
}

// worthwhile reports whether the group may preempt what the options have chosen, and otherwise marks it as patient.
// Guaranteed and long-running work always may. Other work may lose a multiple of the work that it is to do: beyond that,
// others lose more than it gains.
func (e *Engine) worthwhile(g *group, options []*preemptionOption, now Moment) bool {
	if !g.fit.forSpeed && (g.guaranteed || g.step.Lasts || g.step.EstimateMs == 0) {
		return true
	}
	ratio := maxLossRatio
	if g.lateness != inTime {
		ratio = maxLateLossRatio
	}
	own := float64(len(g.waiting)) * g.step.Need().Cores() * float64(g.step.EstimateMs) / 1000
	g.patient = e.lostWork(options, now) > ratio*own
	return !g.patient
}

// lostWork returns the work, in core-seconds, that is lost if the victims that the options have chosen are stopped.
func (e *Engine) lostWork(options []*preemptionOption, now Moment) float64 {
	total := 0.0
	counted := map[TaskRef]bool{}
	for _, p := range options {
		for _, v := range p.victims[:p.chosen] {
			step := &e.jobs[v.ref.Job].Work.Steps[v.ref.Step]
			if step.Gang {
				v.ref.Task = 0
			}
			if !v.task.Stopping && !v.awaited && !counted[v.ref] {
				counted[v.ref] = true
				total += loss(v.task, &e.jobs[v.ref.Job].Batches[v.ref.Occurrence][v.ref.Step], step, now)
			}
		}
	}
	return total
}

// next returns what one more task on the option costs, and how many victims must then
// be stopped in total; ok is false if the task does not fit.
func (p *preemptionOption) next(need model.Room) (cost float64, take int, ok bool) {
	room := p.room
	for take = p.chosen; ; take++ {
		if room.Times(need, 1) > 0 {
			return cost, take, true
		}
		if take == len(p.victims) {
			return 0, 0, false
		}
		room = room.Plus(p.victims[take].need, 1)
		cost += p.victims[take].cost
	}
}

// optionFor returns what preemption for the group could free on a worker. counted is the number of
// tasks, by batch of a long-running step, that the options so far may stop.
func (e *Engine) optionFor(g *group, w *worker, guaranteed map[*Job]bool, counted map[*Batch]int, now Moment) *preemptionOption {
	p := &preemptionOption{w: w, room: w.free(), quota: g.quota(w)}
	limit := e.awaitLimit(g, now)
	for ref, t := range w.tasks {
		j := e.jobs[ref.Job]
		if j == nil {
			continue
		}
		step := &j.Work.Steps[ref.Step]
		v := victim{ref: ref, task: t, need: step.Need()}
		if !t.Stopping {
			if j.Open() && !e.preemptible(j, g, guaranteed) {
				continue
			}
			v.cost = e.costOf(ref, j, t, e.cachedOutlook(j, ref, now), now)
			v.await(&j.Batches[ref.Occurrence][ref.Step], step.Gang, limit, now)
		}
		p.victims = append(p.victims, v)
	}
	sortVictims(p.victims)
	p.victims = slices.DeleteFunc(p.victims, func(v victim) bool { return !e.mayStop(v, counted) })
	return p
}

// mayStop reports whether a victim may be stopped in addition to the tasks in counted without exceeding
// MayMiss of its step, and adds it to counted.
func (e *Engine) mayStop(v victim, counted map[*Batch]int) bool {
	j, b, _ := e.find(v.ref)
	step := &j.Work.Steps[v.ref.Step]
	if !step.Lasts || v.task.Stopping || !j.Open() {
		return true
	}
	counted[b]++
	return counted[b] <= b.disruptionsAllowed(step)
}

// compareRefs orders references by job, occurrence, step and task.
func compareRefs(a, b TaskRef) int {
	return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Occurrence, b.Occurrence), cmp.Compare(a.Step, b.Step), cmp.Compare(a.Task, b.Task))
}

// preemptible reports whether the group may preempt the job's runs: those of work that is not urgent,
// and, for a guaranteed group, those of urgent work outside its guarantee.
func (e *Engine) preemptible(j *Job, g *group, guaranteed map[*Job]bool) bool {
	p := e.queue(j).Priority
	return p > 0 || g.guaranteed && !guaranteed[j] && j != g.job
}

// preemptAndReserve stops the chosen victims and reserves capacity for the group's tasks.
func (e *Engine) preemptAndReserve(g *group, options []*preemptionOption, now Moment) {
	limit := e.awaitLimit(g, now)
	for _, p := range options {
		for _, v := range p.victims[:p.chosen] {
			if v.awaited {
				g.batch.awaitRun(v.ref, v.task.Run, now.Steady+limit)
				continue
			}
			e.stopRun(v.ref, "urgent work of "+g.job.Work.Workspace+" needs the capacity")
		}
		p.chosen = 0
	}
	for at, i := range g.waiting {
		w := options[at].w
		g.batch.Tasks[i].reservedOn = w.ID
		w.reserved = w.reserved.Plus(g.step.Need(), 1)
		w.rack.free = w.rack.free.Minus(g.step.Need(), 1)
	}
	g.batch.reservedAt = now.Steady
	e.reservations[g.batch] = g.ref
}

// stopRun stops a run; for a gang member it stops all members.
func (e *Engine) stopRun(ref TaskRef, reason string) {
	j, b, t := e.find(ref)
	if t == nil {
		return
	}
	if !j.Work.Steps[ref.Step].Gang {
		e.orderStop(ref, t, reason)
		return
	}
	for i := range b.Tasks {
		ref.Task = i
		e.orderStop(ref, &b.Tasks[i], reason)
	}
}

// startReserved starts the batches whose reserved capacity has become free. It releases a reservation
// that is older than reservationTimeout or whose worker is gone or not schedulable.
func (e *Engine) startReserved(now Moment) {
	batches := make([]*Batch, 0, len(e.reservations))
	for b := range e.reservations {
		batches = append(batches, b)
	}
	slices.SortFunc(batches, func(a, b *Batch) int { return compareRefs(e.reservations[a], e.reservations[b]) })
	for _, b := range batches {
		e.startReservedBatch(b, now)
	}
}

// startReservedBatch starts one batch with a reservation, releases the reservation, or leaves it for a
// later pass.
func (e *Engine) startReservedBatch(b *Batch, now Moment) {
	ref := e.reservations[b]
	j := e.jobs[ref.Job]
	e.stopAwaited(b, j.Work.Workspace, now)
	g := &group{job: j, ref: ref, batch: b, step: &j.Work.Steps[ref.Step], queue: e.queue(j), moving: b.moving}
	if e.awaitsMove(b, g.step, now) {
		return
	}
	var placement []*worker
	keepReservation, fits := now.Steady-b.reservedAt < reservationTimeout, true
	tasksOn := map[*worker]int{}
	for i := range b.Tasks {
		t := &b.Tasks[i]
		if t.reservedOn == "" {
			continue
		}
		w := e.workers[t.reservedOn]
		if w == nil || !w.schedulable(now) {
			keepReservation = false
			break
		}
		tasksOn[w]++
		fits = fits && w.Room.Minus(w.used, 1).Times(g.step.Need(), tasksOn[w]) >= tasksOn[w]
		g.waiting = append(g.waiting, i)
		placement = append(placement, w)
	}
	switch {
	case len(g.waiting) == 0:
		e.releaseReservation(b, g.step)
	case keepReservation && fits && g.queue.Advice != nil && !b.advice.allValid(placement, now):
		e.requestAdvice(g)
	case keepReservation && fits:
		g.guaranteed = b.moving != movedFaster
		e.releaseReservation(b, g.step)
		e.start(g, placement, now)
	case !keepReservation:
		e.releaseReservation(b, g.step)
	}
}

// releaseReservation releases the capacity reserved for a batch, if there is any.
func (e *Engine) releaseReservation(b *Batch, step *model.Step) {
	if _, ok := e.reservations[b]; !ok {
		return
	}
	delete(e.reservations, b)
	b.moving, b.awaited = notMoving, nil
	for i := range b.Tasks {
		t := &b.Tasks[i]
		if w := e.workers[t.reservedOn]; w != nil {
			w.reserved = w.reserved.Minus(step.Need(), 1)
		}
		t.reservedOn = ""
	}
}
