package sched

import (
	"cmp"
	"slices"
	"time"

	"greengageline/pkg/model"
)

func stallAfter(s *model.Step) time.Duration {
	return max(minStall, time.Duration(stallShare*float64(s.EstimateMs))*time.Millisecond)
}

// victim is a run that may be stopped for other work.
type victim struct {
	ref  Ref
	task *Task
	need model.Room
	cost float64
}

// option is a worker with what could be made free on it.
type option struct {
	w       *worker
	room    model.Room
	victims []victim // cheapest first; those already stopping cost nothing
	chosen  int      // how many of them are taken
	quota   int
}

// makeRoom stops work of less right so that the group can start once that has
// ended, and keeps the room for it; it reports whether it could.
func (e *Engine) makeRoom(g *group, now Moment) bool {
	if g.queue.Priority != 0 || len(g.waiting) == 0 {
		return false
	}
	owed := e.owedNow
	if g.step.OneRack && !g.scatters(e, now) && e.rackCould(g) {
		return e.evictOnRack(g, owed, now)
	}
	var ws []*worker
	for _, r := range e.racks {
		if r.pool == g.queue.Pool {
			ws = append(ws, e.candidates(g, r.workers, now)...)
		}
	}
	options, cost := e.cheapest(g, ws, owed, now)
	if cost < 0 {
		return false
	}
	e.evict(g, options, now)
	return true
}

func (e *Engine) evictOnRack(g *group, owed map[*Job]bool, now Moment) bool {
	var best []*option
	least := -1.0
	for _, r := range e.racks {
		if r.pool != g.queue.Pool {
			continue
		}
		options, cost := e.cheapest(g, e.candidates(g, r.workers, now), owed, now)
		if cost >= 0 && (least < 0 || cost < least) {
			best, least = options, cost
		}
	}
	if best == nil {
		return false
	}
	e.evict(g, best, now)
	return true
}

// cheapest chooses a worker for each waiting task so that the least work is lost;
// the cost is negative if there is no such choice. The options come back one for
// each task, in order.
func (e *Engine) cheapest(g *group, ws []*worker, owed map[*Job]bool, now Moment) ([]*option, float64) {
	options := make([]*option, 0, len(ws))
	lasting := map[*Batch]int{}
	for _, w := range ws {
		if p := e.option(g, w, owed, lasting, now); p != nil {
			options = append(options, p)
		}
	}
	var out []*option
	total := 0.0
	need := g.step.Need()
	for range g.waiting {
		var best *option
		least, take := 0.0, 0
		for _, p := range options {
			if p.quota == 0 {
				continue
			}
			cost, n, ok := p.next(need)
			if ok && (best == nil || cost < least) {
				best, least, take = p, cost, n
			}
		}
		if best == nil {
			return nil, -1
		}
		for _, v := range best.victims[best.chosen:take] {
			best.room = best.room.Plus(v.need, 1)
		}
		best.chosen = take
		best.room = best.room.Minus(need, 1)
		best.quota--
		total += least
		out = append(out, best)
	}
	return out, total
}

// next returns what one more task on the option costs, and how many victims that
// takes in all.
func (p *option) next(need model.Room) (cost float64, take int, ok bool) {
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

// option lists what could be made free on a worker; lasting counts the tasks of
// lasting steps that the options so far may stop.
func (e *Engine) option(g *group, w *worker, owed map[*Job]bool, lasting map[*Batch]int, now Moment) *option {
	p := &option{w: w, room: w.free(), quota: g.quota(w)}
	for ref, t := range w.tasks {
		j := e.jobs[ref.Job]
		if j == nil {
			continue
		}
		step := &j.Work.Steps[ref.Step]
		v := victim{ref: ref, task: t, need: step.Need()}
		if !t.Stopping {
			if j.Open() && !e.yields(j, g, owed) {
				continue
			}
			v.cost = loss(t, step, now)
		}
		p.victims = append(p.victims, v)
	}
	slices.SortFunc(p.victims, func(a, b victim) int {
		switch {
		case a.cost < b.cost:
			return -1
		case a.cost > b.cost:
			return 1
		}
		return compareRefs(a.ref, b.ref)
	})
	p.victims = slices.DeleteFunc(p.victims, func(v victim) bool { return !e.missable(v, lasting) })
	return p
}

// missable reports whether a victim may be away besides those that lasting
// counts, and counts it.
func (e *Engine) missable(v victim, lasting map[*Batch]int) bool {
	j, b, _ := e.find(v.ref)
	step := &j.Work.Steps[v.ref.Step]
	if !step.Lasts || v.task.Stopping || !j.Open() {
		return true
	}
	lasting[b]++
	return lasting[b] <= b.spareTasks(step)
}

func compareRefs(a, b Ref) int {
	return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Time, b.Time), cmp.Compare(a.Step, b.Step), cmp.Compare(a.Task, b.Task))
}

// yields reports whether a job's run must give way to the group.
func (e *Engine) yields(j *Job, g *group, owed map[*Job]bool) bool {
	p := e.queue(j).Priority
	return p > 0 || g.owed && !owed[j] && j != g.job
}

// loss estimates the work, in core-seconds, that stopping a run throws away.
func loss(t *Task, step *model.Step, now Moment) float64 {
	ran := (now.Steady - t.placedAt).Seconds()
	n := 1
	if step.Gang {
		n = step.Tasks
	}
	if step.Resumes {
		ran = min(ran, resumeLoss)
	}
	return (ran + restartCost) * float64(n) * step.Need().Cores()
}

const (
	// resumeLoss is the work in s that a run with checkpoints loses: the
	// longest cadence of checkpoints on the users' sites.
	resumeLoss = 2
	// restartCost is the time in s that a second start takes, in which its
	// room does no work.
	restartCost = 0.6
)

// evict stops the chosen victims and keeps the room for the group.
func (e *Engine) evict(g *group, options []*option, now Moment) {
	for _, p := range options {
		for _, v := range p.victims[:p.chosen] {
			e.stopRun(v.ref, "urgent work of "+g.job.Work.Workspace+" is owed its room")
		}
		p.chosen = 0
	}
	for at, i := range g.waiting {
		w := options[at].w
		g.batch.Tasks[i].held = w.ID
		w.held = w.held.Plus(g.step.Need(), 1)
		w.rack.free = w.rack.free.Minus(g.step.Need(), 1)
	}
	g.batch.heldAt = now.Steady
	e.held[g.batch] = g.ref
}

// stopRun stops a run, and with a gang's member all of its gang.
func (e *Engine) stopRun(ref Ref, reason string) {
	j, b, t := e.find(ref)
	if t == nil {
		return
	}
	if !j.Work.Steps[ref.Step].Gang {
		e.stop(ref, t, reason)
		return
	}
	for i := range b.Tasks {
		ref.Task = i
		e.stop(ref, &b.Tasks[i], reason)
	}
}

// startHeld starts the groups whose room has come free, and gives up room that
// has been kept for too long or whose worker is no longer to be had.
func (e *Engine) startHeld(now Moment) {
	batches := make([]*Batch, 0, len(e.held))
	for b := range e.held {
		batches = append(batches, b)
	}
	slices.SortFunc(batches, func(a, b *Batch) int { return compareRefs(e.held[a], e.held[b]) })
	for _, b := range batches {
		e.startHeldBatch(b, now)
	}
}

func (e *Engine) startHeldBatch(b *Batch, now Moment) {
	ref := e.held[b]
	j := e.jobs[ref.Job]
	g := &group{job: j, ref: ref, batch: b, step: &j.Work.Steps[ref.Step], queue: e.queue(j)}
	var spots []*worker
	keep, fits := now.Steady-b.heldAt < holdLimit, true
	wants := map[*worker]int{}
	for i := range b.Tasks {
		t := &b.Tasks[i]
		if t.held == "" {
			continue
		}
		w := e.workers[t.held]
		if w == nil || !w.open(now) {
			keep = false
			break
		}
		wants[w]++
		fits = fits && w.Room.Minus(w.used, 1).Times(g.step.Need(), wants[w]) >= wants[w]
		g.waiting = append(g.waiting, i)
		spots = append(spots, w)
	}
	switch {
	case keep && fits && g.queue.Advice != nil && !b.advice.allValid(spots, now):
		e.consult(g, now)
	case keep && fits:
		e.unhold(b, g.step)
		g.owed = true
		e.start(g, spots, now)
	case !keep:
		e.unhold(b, g.step)
	}
}

// unhold gives up the room kept for a batch.
func (e *Engine) unhold(b *Batch, step *model.Step) {
	if _, ok := e.held[b]; !ok {
		return
	}
	delete(e.held, b)
	for i := range b.Tasks {
		t := &b.Tasks[i]
		if w := e.workers[t.held]; w != nil {
			w.held = w.held.Minus(step.Need(), 1)
		}
		t.held = ""
	}
}
