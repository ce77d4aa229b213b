package sched

import (
	"cmp"
	"slices"

	"greengageline/pkg/model"
)

// Pass gives free room to waiting tasks in order, makes room for owed work, and
// stops runs that stand still. The orders are fetched with TakeOrders.
func (e *Engine) Pass(now Moment) {
	e.init()
	e.watch(now)
	e.breakShort(now)
	e.startHeld(now)
	e.index(now)
	failed := map[shape]bool{}
	for _, g := range e.groups(now) {
		if _, held := e.held[g.batch]; held {
			continue
		}
		if g.band == tooLate && !g.owed && e.usedShare(g.queue.Pool) > idleShare {
			continue
		}
		if e.keptFree(g, now) {
			continue
		}
		key := g.shape()
		if failed[key] {
			continue
		}
		if !e.place(g, now) {
			failed[key] = true
			e.consult(g, now)
		}
	}
}

// usedShare is the share of a pool that runs take, of the resource of which
// they take most.
func (e *Engine) usedShare(pool string) float64 {
	var used, all model.Room
	for _, w := range e.order {
		if w.Pool == pool {
			used, all = used.Plus(w.used, 1), all.Plus(w.Room, 1)
		}
	}
	return max(part(used.Accelerators, all.Accelerators), part(used.Millicores, all.Millicores), part(used.MemoryMB, all.MemoryMB))
}

// headroom is the share of a pool that work without a guarantee leaves free:
// what workspaces are owed and don't use now, up to maxHeadroom. Urgent work
// comes at any moment and has little time; making room for it takes nearly as
// long as it may wait, and throws away what ran there.
func (e *Engine) headroom(pool string, now Moment) float64 {
	if now.Steady-e.urgentAt > urgentQuiet {
		return 0
	}
	all := 0
	for _, w := range e.order {
		if w.Pool == pool {
			all += w.Room.Accelerators
		}
	}
	if all == 0 {
		return 0
	}
	owed := 0
	for space, guaranteed := range e.spaces {
		owed += max(0, guaranteed-e.urgentUse[space])
	}
	return min(maxHeadroom, part(owed, all))
}

// keptFree reports whether the room that is left is kept for owed work. What
// starts may start whole, as half a bundle helps nobody. Lasting work is exempt:
// it must run however full the pool is; and so is what has waited long for its
// goal, or a queue of low priority would get nothing on a full day.
func (e *Engine) keptFree(g *group, now Moment) bool {
	return g.queue.Priority > 0 && !g.step.Lasts && g.waited < patience && e.usedShare(g.queue.Pool) > 1-e.headroom(g.queue.Pool, now)
}

func part(n, of int) float64 {
	if of <= 0 {
		return 0
	}
	return float64(n) / float64(of)
}

// share sums the parts of each resource that are left; what is fullest counts
// least. Any one resource alone would leave the others in pieces.
func share(left, of model.Room) float64 {
	return part(left.Accelerators, of.Accelerators) + part(left.Millicores, of.Millicores) + part(left.MemoryMB, of.MemoryMB)
}

// shape is what decides whether a group can be placed: after one has failed,
// others of the same shape would fail in the same pass too.
type shape struct {
	pool, label, rack string
	need              model.Room
	tasks, perWorker  int
	oneRack, owed     bool
	retry             bool
	priority          int
	// only is set for a group that may fail where others of its shape would not:
	// it has a bound on each worker, workers that it avoids, or an adviser.
	only *Batch
}

func (g *group) shape() shape {
	n := 1
	if g.step.Gang {
		n = len(g.waiting)
	}
	var only *Batch
	if g.queue.Advice != nil || g.step.PerWorker > 0 || g.retry() || g.batch.short {
		only = g.batch
	}
	return shape{
		only: only, pool: g.queue.Pool, label: g.step.Label, rack: g.step.DataRack, need: g.step.Need(), tasks: n,
		perWorker: g.step.PerWorker, oneRack: g.step.OneRack, owed: g.owed, retry: g.retry(),
		priority: g.queue.Priority,
	}
}

// retry reports whether tasks of the group have failed, so that they go only to
// workers without a doubt. Lasting tasks may fail at any time and must be at
// work; they just go to such workers last.
func (g *group) retry() bool {
	if g.step.Lasts {
		return false
	}
	return g.batch.Failures > 0 || slices.ContainsFunc(g.waiting, func(i int) bool { return g.batch.Tasks[i].Failures > 0 })
}

// place starts the group, or as many tasks of it as fit if they are no gang; it
// reports whether all were placed.
func (e *Engine) place(g *group, now Moment) bool {
	if g.step.Gang && g.batch.short {
		return e.join(g, now)
	}
	if g.step.Gang || g.step.OneRack {
		if spots := e.together(g, now); spots != nil {
			e.start(g, spots, now)
			return true
		}
		if g.step.Gang {
			return e.makeRoom(g, now)
		}
		if !g.scatters(e, now) {
			return false
		}
	}
	if e.singly(g, now) {
		return true
	}
	return e.makeRoom(g, now)
}

// join places the missing members of a gang, on the rack of the others if that
// matters.
func (e *Engine) join(g *group, now Moment) bool {
	spots := []*worker(nil)
	if g.step.OneRack {
		at := g.rack(e)
		for _, r := range e.racks {
			if r.pool == g.queue.Pool && r.name == at {
				spots = fill(g, e.candidates(g, r.workers, now), (*worker).free)
			}
		}
	}
	if spots == nil {
		spots = e.anywhere(g, now)
	}
	if spots == nil {
		return false
	}
	e.start(g, spots, now)
	return true
}

// rack returns that of a placed member of the group's gang.
func (g *group) rack(e *Engine) string {
	for i := range g.batch.Tasks {
		if w := e.workers[g.batch.Tasks[i].Worker]; w != nil && g.batch.Tasks[i].Phase == Placed {
			return w.Rack
		}
	}
	return ""
}

// singly places each waiting task for itself; it reports whether all were.
func (e *Engine) singly(g *group, now Moment) bool {
	all := g.waiting
	for _, i := range all {
		g.waiting = []int{i}
		spots := e.near(g, now)
		if spots == nil {
			g.waiting = slices.DeleteFunc(slices.Clone(all), func(x int) bool { return g.batch.Tasks[x].Phase != Waiting })
			return false
		}
		e.start(g, spots, now)
	}
	return true
}

// near finds places on the rack of the data, or after a while on any.
func (e *Engine) near(g *group, now Moment) []*worker {
	if g.step.DataRack == "" {
		return e.anywhere(g, now)
	}
	for _, r := range e.racksOf(g, true) {
		if r.name != g.step.DataRack {
			continue
		}
		if spots := fill(g, e.candidates(g, r.workers, now), (*worker).free); spots != nil {
			return spots
		}
	}
	if !g.scatters(e, now) && e.rackExists(g) {
		return nil
	}
	return e.anywhere(g, now)
}

// anywhere finds places on any racks.
func (e *Engine) anywhere(g *group, now Moment) []*worker {
	racks := e.racksOf(g, false)
	fits := 0
	for _, r := range racks {
		fits += r.free.Times(g.step.Need(), len(g.waiting))
	}
	if fits < len(g.waiting) {
		return nil
	}
	var ws []*worker
	for _, r := range racks {
		ws = append(ws, e.candidates(g, r.workers, now)...)
	}
	return fill(g, ws, (*worker).free)
}

// together finds places for all waiting tasks at once, on one rack if that
// matters and can be had.
func (e *Engine) together(g *group, now Moment) []*worker {
	if !g.step.OneRack {
		return e.near(g, now)
	}
	if spots := e.bestRack(g, now); spots != nil {
		return spots
	}
	if !g.scatters(e, now) && e.rackCould(g) {
		return nil
	}
	return e.anywhere(g, now)
}

// bestRack fills the rack that has least left over afterwards; the rack of the
// data goes first.
func (e *Engine) bestRack(g *group, now Moment) []*worker {
	var best []*worker
	least := 0.0
	for _, r := range e.racksOf(g, true) {
		data := r.name == g.step.DataRack
		left := share(r.free, r.room)
		if best != nil && !data && left >= least {
			continue
		}
		spots := fill(g, e.candidates(g, r.workers, now), (*worker).free)
		if spots == nil {
			continue
		}
		if data {
			return spots
		}
		best, least = spots, left
	}
	return best
}

// rackCould reports whether an idle rack could hold the whole group.
func (e *Engine) rackCould(g *group) bool {
	most := e.perWorker(g)
	for _, r := range e.racks {
		if r.pool != g.queue.Pool {
			continue
		}
		fits := 0
		for _, w := range r.workers {
			if w.Leaving {
				continue
			}
			fits += w.Room.Times(g.step.Need(), most)
			if fits >= len(g.waiting) {
				return true
			}
		}
	}
	return false
}

func (e *Engine) rackExists(g *group) bool {
	return slices.ContainsFunc(e.order, func(w *worker) bool {
		return w.Pool == g.queue.Pool && w.Rack == g.step.DataRack && w.Room.Times(g.step.Need(), 1) > 0
	})
}

func (e *Engine) perWorker(g *group) int {
	if g.step.PerWorker > 0 {
		return g.step.PerWorker
	}
	return len(g.batch.Tasks)
}

// candidates lists which of a rack's workers may run the group's tasks.
func (e *Engine) candidates(g *group, ws []*worker, now Moment) []*worker {
	var out []*worker
	proven := g.retry()
	for _, w := range ws {
		if g.suits(w, proven, now) && (g.queue.Advice == nil || g.batch.advice.valid(w.ID, now)) {
			out = append(out, w)
		}
	}
	return out
}

// suits reports whether a worker may run the group's tasks as far as the engine
// knows; proven leaves out workers on which work has failed lately.
func (g *group) suits(w *worker, proven bool, now Moment) bool {
	if !w.open(now) || w.Room.Times(g.step.Need(), 1) == 0 {
		return false
	}
	if g.step.Label != "" && !slices.Contains(w.Labels, g.step.Label) {
		return false
	}
	if proven && (w.strikes > 0 || slices.ContainsFunc(g.waiting, func(i int) bool { return g.batch.Tasks[i].blamed == w.ID })) {
		return false
	}
	return !g.batch.short || !slices.ContainsFunc(g.waiting, func(i int) bool { return g.batch.Tasks[i].avoid == w.ID })
}

// fill gives each waiting task of the group a worker out of ws, fullest first,
// or returns nil if not all fit.
func fill(g *group, ws []*worker, room func(*worker) model.Room) []*worker {
	type spot struct {
		w     *worker
		n     int
		left  float64
		rough bool
	}
	need := g.step.Need()
	spots := make([]spot, 0, len(ws))
	total := 0
	for _, w := range ws {
		r := room(w)
		n := r.Times(need, g.quota(w))
		if n > 0 {
			spots = append(spots, spot{w, n, share(r, w.Room), w.strikes > 0})
			total += n
		}
	}
	if total < len(g.waiting) {
		return nil
	}
	slices.SortStableFunc(spots, func(a, b spot) int {
		if a.rough != b.rough {
			if a.rough {
				return 1
			}
			return -1
		}
		return cmp.Compare(a.left, b.left)
	})
	out := make([]*worker, 0, len(g.waiting))
	for _, s := range spots {
		for range s.n {
			if len(out) == len(g.waiting) {
				return out
			}
			out = append(out, s.w)
		}
	}
	return out
}

// quota is how many of the step's tasks the worker may still get.
func (g *group) quota(w *worker) int {
	if g.step.PerWorker <= 0 {
		return len(g.waiting)
	}
	n := g.step.PerWorker
	for ref := range w.tasks {
		if ref.Job == g.ref.Job && ref.Time == g.ref.Time && ref.Step == g.ref.Step {
			n--
		}
	}
	return max(0, min(n, len(g.waiting)))
}

// start books the waiting tasks on their workers and orders their runs; the
// members of a gang share a run's number and a checkpoint.
func (e *Engine) start(g *group, spots []*worker, now Moment) {
	joins := g.step.Gang && g.batch.short
	run := g.batch.run
	if !joins {
		e.runs++
		run = e.runs
		g.batch.run, g.batch.startedAt = run, now.Steady
	}
	g.batch.short = false
	for at, i := range g.waiting {
		if at > 0 && !g.step.Gang {
			e.runs++
			run = e.runs
		}
		t := &g.batch.Tasks[i]
		ref := g.ref
		ref.Task = i
		t.Phase, t.Run, t.Worker = Placed, run, spots[at].ID
		t.Live, t.Stopping, t.percent = false, false, 0
		t.placedAt, t.movedAt = now.Steady, now.Steady
		spots[at].tasks[ref] = t
		spots[at].take(g.step.Need())
		saved := t.Saved
		if g.step.Gang {
			saved = g.batch.Saved
		}
		e.orders = append(e.orders, Order{
			Task: ref, Run: t.Run, Worker: t.Worker, Saved: saved, Ticket: g.batch.advice.ticket(t.Worker), Reason: g.reason(),
		})
	}
	e.changed[g.ref.Job] = true
}

func (g *group) reason() string {
	switch {
	case g.owed:
		return "within its workspace's guarantee"
	case g.band == tooLate:
		return "room that nobody in time needs"
	}
	return "free room"
}

// wholePercent is the progress of a run that has done its work: a member of a
// gang then waits for the others, so that its progress stands still rightly.
const wholePercent = 100

// watch stops runs whose progress stands still, so that they go elsewhere.
func (e *Engine) watch(now Moment) {
	if now.Steady-e.watchedAt < watchEvery && e.watchedAt != 0 {
		return
	}
	e.watchedAt = now.Steady
	for _, w := range e.order {
		for ref, t := range w.tasks {
			j := e.jobs[ref.Job]
			if j == nil || !t.Live || t.Stopping || t.percent >= wholePercent || j.Work.Steps[ref.Step].Lasts {
				continue
			}
			if now.Steady-t.movedAt > stallAfter(&j.Work.Steps[ref.Step]) {
				e.stop(ref, t, "its progress stands still")
				e.strike(w, ref.Job, now)
			}
		}
	}
}
