package sched

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"greengageline/internal/speed"
	"greengageline/pkg/model"
)

const (
	// speedRefresh is how often a pass reads the speeds of the workers again: estimates change with the reports of
	// workers, which come every 0.5 to 2 s.
	speedRefresh = 200 * time.Millisecond
	// classWidth is the ratio of the factors of neighboring speed classes. Workers of one class count as alike, so that
	// the fullest of them is filled first; estimates of workers that are alike differ by less than this.
	classWidth = 1.2
	// minClass and maxClass bound the speed classes: factors from 0.23 to 18.
	minClass, maxClass = -8, 16
	// unknownFactor is how slow an unknown worker may turn out to be for work that tolerates it.
	unknownFactor = 2
)

// workerSpeed is the speed of a worker as placement uses it. factor is how many times as long a task takes as on the
// typical worker, and high is one standard error above it. The zero value is an unknown worker.
type workerSpeed struct {
	factor, high float64
	class        int
	known        bool
}

// newWorkerSpeed returns the speed of a worker by its estimate.
func newWorkerSpeed(est speed.Estimate) workerSpeed {
	if est.Samples == 0 || est.Factor <= 0 {
		return workerSpeed{factor: 1, high: 1}
	}
	return workerSpeed{factor: est.Factor, high: max(est.Factor, est.High), class: classOf(est.Factor), known: true}
}

// classOf returns the speed class of a factor.
func classOf(factor float64) int {
	return min(maxClass, max(minClass, int(math.Round(math.Log(factor)/math.Log(classWidth)))))
}

// tier says how well a worker suits the goal of a group; lower tiers are used first.
type tier int

const (
	fits     tier = iota // the group meets its goal there, with a margin for the error of its estimates
	untried              // the speed of the worker is unknown, and the group would not tolerate a slow one
	fitsJust             // the group meets its goal if its estimates are right
	tooSlow              // it does not
)

// fit is what a group requires of the speed of its workers. The zero value requires nothing; it is that of all groups of
// a pool whose workers are alike.
type fit struct {
	// uneven is set if the workers of the pool differ in speed.
	uneven bool
	// limit is the largest factor with which the group meets its goal, and safeLimit the same with a margin for the
	// error of its estimates.
	limit, safeLimit float64
	// stopCost is by how much limit falls while other runs are stopped for the group.
	stopCost float64
	// slowed is how many times as long the group takes on the workers that are considered because they are on several
	// racks or away from its data.
	slowed float64
	// only restricts the group to workers that are not too slow. forSpeed is set while it could start at once on others, so
	// that preemption may lose no more than for work without a guarantee.
	only, forSpeed bool
}

// tier returns how well a worker suits the group.
func (f *fit) tier(s workerSpeed, gang bool) tier {
	switch {
	case !s.known && !gang && unknownFactor*f.slowed <= f.safeLimit:
		return fits
	case !s.known && f.slowed <= f.limit:
		return untried
	case !s.known:
		return tooSlow
	case s.high*f.slowed <= f.safeLimit:
		return fits
	case s.factor*f.slowed <= f.limit:
		return fitsJust
	}
	return tooSlow
}

// order returns the position of a worker in the order in which the group uses workers: by tier; of those that fit, the
// untried and then the slowest ones, so that fast ones are left for other work; of the others, the fastest. Work with no
// goal to meet fits everywhere.
func (f *fit) order(s workerSpeed, gang bool) int {
	if !f.uneven {
		return 0
	}
	t := f.tier(s, gang)
	at := s.class - minClass
	switch {
	case t == fits && !s.known && !gang:
		at = 0
	case t == fits:
		at = maxClass - s.class + 1
	}
	return int(t)*tierWidth + at
}

// tierWidth is more than the number of speed classes.
const tierWidth = maxClass - minClass + 3

// meets reports whether the group may use a worker of that speed while it is restricted to those that meet its goal.
func (f *fit) meets(s workerSpeed, gang bool) bool {
	return !f.only || f.tier(s, gang) != tooSlow
}

// refreshSpeeds reads the speeds of the workers of uneven pools. It is called once in each pass.
func (e *Engine) refreshSpeeds(now Moment) {
	due := e.speedsAt == 0 || now.Steady-e.speedsAt >= speedRefresh
	if !due {
		return
	}
	e.speedsAt = max(1, now.Steady)
	seen := map[string]bool{}
	for _, w := range e.sortedWorkers {
		if !seen[w.Pool] {
			seen[w.Pool] = true
			e.setUneven(w.Pool, e.differs(w.Pool))
		}
	}
	clear(e.fastest)
	for _, w := range e.sortedWorkers {
		if !e.uneven[w.Pool] {
			continue
		}
		w.speed = newWorkerSpeed(e.estimateOf(w.ID))
		if fastest, ok := e.fastest[w.Pool]; w.exists() && !w.Leaving && (!ok || w.speed.factor < fastest) {
			e.fastest[w.Pool] = w.speed.factor
		}
	}
	e.setUrgentLimits()
}

// setUneven notes whether the workers of a pool differ. What the ends of steps have told of estimates before does not
// hold for the new factors.
func (e *Engine) setUneven(pool string, uneven bool) {
	if uneven == e.uneven[pool] {
		return
	}
	e.uneven[pool] = uneven
	maps.DeleteFunc(e.estimateErrors, func(queue string, _ *estimateErrors) bool { return e.queues[queue].Pool == pool })
}

// estimateOf returns the estimate of a worker's speed.
func (e *Engine) estimateOf(worker string) speed.Estimate {
	if e.speedOf != nil {
		return e.speedOf(worker)
	}
	return e.Speeds.Factor(worker)
}

// differs reports whether workers of the pool are known to differ in speed.
func (e *Engine) differs(pool string) bool {
	if e.speedOf == nil {
		return !e.Speeds.Even(pool)
	}
	for _, w := range e.sortedWorkers {
		if est := e.speedOf(w.ID); w.Pool == pool && est.Samples > 0 && est.Factor != 1 {
			return true
		}
	}
	return false
}

// setFit sets what the group requires of the speed of its workers. A group that can't meet its goal even on the fastest
// workers is to end before its result is of no use, and if it can't do that either, it uses what other work leaves.
func (e *Engine) setFit(g *group, now Moment) {
	g.fit = fit{}
	if !e.uneven[g.queue.Pool] {
		return
	}
	g.fit = fit{uneven: true, limit: math.Inf(1), safeLimit: math.Inf(1), slowed: 1}
	goal := g.job.goalMs(g.queue)
	if goal <= 0 || g.job.longRunning() {
		return
	}
	passed := float64(now.UnixMs - g.job.Work.DueMs(g.ref.Occurrence))
	remaining := max(1, float64(g.job.remainingMs(g.ref.Occurrence, nil)))
	errs := e.errorsOf(g.queue.Name)
	for _, times := range [...]float64{1, lateFactor} {
		left := (times*goal - passed) / remaining
		if left/errs.usual >= e.fastest[g.queue.Pool] {
			g.fit.limit, g.fit.safeLimit = left/errs.usual, left/errs.safe
			g.fit.stopCost = 1000 * restartCost / remaining / errs.usual
			return
		}
	}
}

// goalMs returns the time in ms within which the job is to end, by the terms of its queue; 0 if it has no goal.
func (j *Job) goalMs(q model.Queue) float64 {
	return q.Stretch*float64(j.Work.ChainMs()) + float64(q.AimMs)
}

// speedOrder returns the position of a worker in the order in which the group uses workers.
func (g *group) speedOrder(w *worker) int { return g.fit.order(w.speed, g.step.Gang) }

// away has f consider workers on any racks, where the group takes longer if it wants one rack or that of its data.
func (e *Engine) away(g *group, f func() []*worker) []*worker {
	if g.fit.uneven && (g.step.OneRack || g.step.DataRack != "") {
		g.fit.slowed = e.spreadFactor()
		defer func() { g.fit.slowed = 1 }()
	}
	return f()
}

// slowedOn returns how many times as long the group takes on these workers because of their racks.
func (e *Engine) slowedOn(g *group, placement []*worker) float64 {
	offRack := func(w *worker) bool { return w.Rack != placement[0].Rack }
	offData := func(w *worker) bool { return w.Rack != g.step.DataRack }
	if g.step.OneRack && slices.ContainsFunc(placement, offRack) || g.step.DataRack != "" && slices.ContainsFunc(placement, offData) {
		return e.spreadFactor()
	}
	return 1
}

// outcome describes a placement of a whole group; lower is better.
type outcome struct {
	tier tier
	// waste is the capacity of faster workers that waits for the slowest member, in quarters of that of all members.
	waste int
	order int
	free  float64
}

// compareOutcomes orders placements: those that meet the goal first, then those on workers of one speed, then those on
// the workers that the group should use first, then those on the fullest rack.
func compareOutcomes(a, b outcome) int {
	return cmp.Or(cmp.Compare(a.tier, b.tier), cmp.Compare(a.waste, b.waste), cmp.Compare(a.order, b.order), cmp.Compare(a.free, b.free))
}

// outcome returns the outcome of a placement on a rack with that sum of free fractions. A gang ends with its slowest
// member. Of placements that are too slow the soonest is best, whatever it wastes.
func (e *Engine) outcome(g *group, placement []*worker, free float64) outcome {
	g.fit.slowed = e.slowedOn(g, placement)
	defer func() { g.fit.slowed = 1 }()
	out := outcome{free: free}
	worst, rate := 0.0, 0.0
	for _, w := range placement {
		out.tier = max(out.tier, g.fit.tier(w.speed, g.step.Gang))
		out.order = max(out.order, g.speedOrder(w))
		worst = max(worst, w.speed.factor)
		rate += 1 / max(w.speed.factor, 0.01)
	}
	if g.step.Gang && out.tier != tooSlow {
		out.waste = int(math.Round(4 * (worst*rate/float64(len(placement)) - 1)))
	}
	return out
}

// maxRacksCompared is how many more racks are compared once one has been found on which the group meets its goal: the
// best of them is nearly as good as the best of all, at a fraction of the time.
const maxRacksCompared = 12

// findOnRackBySpeed finds workers for all waiting tasks on the rack with the best outcome. The rack of the step's data is
// preferred unless it is too slow.
func (e *Engine) findOnRackBySpeed(g *group, now Moment) []*worker {
	racks := e.racksWithRoom(g, true)
	free := make(map[*rack]float64, len(racks))
	for _, r := range racks {
		free[r] = freeFractions(r.free, r.room)
	}
	slices.SortStableFunc(racks, func(a, b *rack) int {
		return cmp.Or(-compareBools(a.name == g.step.DataRack, b.name == g.step.DataRack), cmp.Compare(free[a], free[b]))
	})
	var best []*worker
	var least outcome
	compared := 0
	for _, r := range racks {
		placement := e.assign(g, now, r)
		if placement == nil {
			continue
		}
		out := e.outcome(g, placement, free[r])
		if r.name == g.step.DataRack && out.tier != tooSlow {
			return placement
		}
		if best == nil || compareOutcomes(out, least) < 0 {
			best, least = placement, out
		}
		if least.tier == fits && least.waste == 0 {
			if compared++; compared > maxRacksCompared {
				break
			}
		}
	}
	return best
}

// findFaster returns a placement on several racks if it ends sooner than the one on one rack, which does not meet the
// group's goal; else it returns the latter.
func (e *Engine) findFaster(g *group, onRack []*worker, now Moment) []*worker {
	if !g.fit.uneven || onRack == nil || e.outcome(g, onRack, 0).tier != tooSlow {
		return onRack
	}
	spread := e.findOnAnyRack(g, now)
	if spread == nil || slowest(spread)*e.spreadFactor() >= slowest(onRack) {
		return onRack
	}
	return spread
}

// slowest returns the factor of the slowest of the workers.
func slowest(ws []*worker) float64 {
	f := 0.0
	for _, w := range ws {
		f = max(f, w.speed.factor)
	}
	return f
}

// preferOneClass changes the order of the candidates for a gang so that it gets workers of one speed: those of the first
// class that holds all of it and on which it meets its goal.
func (g *group) preferOneClass(list []candidate) {
	var room [maxClass - minClass + 1]int
	for _, c := range list {
		if c.doubt == 0 && c.w.speed.known && g.fit.tier(c.w.speed, true) == fits {
			room[c.w.speed.class-minClass] += c.n
		}
	}
	for class := maxClass; class >= minClass; class-- {
		if room[class-minClass] < len(g.waiting) {
			continue
		}
		for i := range list {
			if s := list[i].w.speed; s.known && s.class == class && g.fit.tier(s, true) == fits {
				list[i].order = -1
			}
		}
		return
	}
}

// preemptForSpeed preempts other runs on workers where the urgent group meets its goal, as it would not with the
// placement that was found in free room. It reports whether it did.
func (e *Engine) preemptForSpeed(g *group, placement []*worker, now Moment) bool {
	if !g.fit.uneven || g.queue.Priority != 0 || g.relaxed || math.IsInf(g.fit.limit, 1) || e.outcome(g, placement, 0).tier != tooSlow {
		return false
	}
	g.fit.forSpeed = true
	defer func() { g.fit.forSpeed = false }()
	return e.preemptWhereInTime(g, now)
}

// preemptBySpeed preempts runs for the group where it meets its goal. Guaranteed work has to start whatever the speed.
func (e *Engine) preemptBySpeed(g *group, now Moment) bool {
	if !g.fit.uneven {
		return e.preempt(g, now)
	}
	g.fit.forSpeed = g.guaranteed
	ok := e.preemptWhereInTime(g, now)
	g.fit.forSpeed = false
	return ok || g.guaranteed && e.preempt(g, now)
}

// preemptWhereInTime preempts runs on workers that are not too slow for the group.
func (e *Engine) preemptWhereInTime(g *group, now Moment) bool {
	old := g.fit
	defer func() { g.fit = old }()
	g.fit.only = true
	g.fit.limit -= g.fit.stopCost
	if g.step.OneRack && (g.maySpread(e, now) || !e.idleRackFits(g)) {
		g.fit.slowed = e.spreadFactor()
	}
	return e.preempt(g, now)
}

// placeEachBySpeed places each waiting task on its own and reports whether all were placed or have room reserved. Urgent
// tasks that would not be in time in free room first preempt others where they are.
func (e *Engine) placeEachBySpeed(g *group, now Moment) bool {
	if !g.fit.uneven || g.queue.Priority != 0 || math.IsInf(g.fit.limit, 1) {
		return e.placeEach(g, now)
	}
	g.fit.only, g.fit.forSpeed = true, true
	done := e.placeEach(g, now) || !g.relaxed && e.preempt(g, now)
	g.fit.only, g.fit.forSpeed = false, false
	return done || e.placeEach(g, now)
}
