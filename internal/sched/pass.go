package sched

import (
	"math"
	"slices"

	"github.com/samber/lo"

	"greengageline/pkg/model"
)

// Pass makes one round of decisions: it stops stalled runs and incomplete gangs, starts batches whose
// reserved capacity has become free, and then places waiting tasks in the order of readyGroups,
// preempting other runs for urgent work. The orders are fetched with TakeOrders, questions for the
// adviser with TakeQuestions.
func (e *Engine) Pass(now Moment) { _ = e.PassWithin(now, math.MaxInt) }

// PassWithin makes a round of decisions that starts about budget tasks at most: the owner may not be able to
// send more soon. A gang is placed whole or left for a later pass; one that is larger than the budget is
// placed if it comes first. It reports whether work is left for want of budget.
func (e *Engine) PassWithin(now Moment, budget int) (more bool) {
	e.init()
	e.passAt = now.Steady
	e.stopStalledRuns(now)
	e.stopIncompleteGangs(now)
	e.startReserved(now)
	e.refreshRacks(now)
	e.refreshSpeeds(now)
	e.clearClaims()
	clear(e.poolUses)
	clear(e.outlooks)
	e.openUnneeded(now)
	unplaceable := map[shape]bool{}
	e.startsLeft = budget
	groups, unplaced := e.startOverdue(e.readyGroups(now), now)
	budget = e.startsLeft
	defer func() {
		e.waitingTasks = countWaiting(groups)
		e.settleOverdue(unplaced, budget-e.startsLeft, more, now)
		e.askAdviser(now)
	}()
	for i, g := range groups {
		if e.startsLeft <= 0 {
			e.noteUnreached(groups[i:], now)
			return true
		}
		if _, reserved := e.reservations[g.batch]; reserved {
			continue
		}
		if g.lateness == tooLate && !g.guaranteed && e.utilization(g.queue.Pool) > tooLateMaxUtilization {
			e.noteWait(g, TooLate, now)
			continue
		}
		g.yields = e.mustYield(g)
		if e.heldBackForGuarantees(g, now) {
			e.noteWait(g, ForHeadroom, now)
			e.claimRoom(g, now)
			continue
		}
		if g.isolated && !e.mayIsolate(g) {
			e.noteWait(g, ForIsolation, now)
			continue
		}
		g.relaxable = e.mayRelax(g, now)
		key := g.shape()
		if unplaceable[key] {
			e.noteWait(g, ForRoom, now)
			continue
		}
		if g.step.Gang && len(g.waiting) > e.startsLeft && e.startsLeft < budget {
			e.noteUnreached(groups[i:], now)
			return true // the next pass places it first
		}
		if !e.placeOrRelax(g, now) {
			unplaceable[key] = !g.patient
			e.recordUnplaced(g, now)
		}
	}
	e.moveOut(now)
	e.moveRuns(now)
	return e.startsLeft <= 0
}

// countWaiting returns the number of tasks of the groups that still wait.
func countWaiting(groups []*group) int {
	return lo.SumBy(groups, func(g *group) int {
		return lo.CountBy(g.waiting, func(i int) bool { return g.batch.Tasks[i].Phase == Waiting })
	})
}

// recordUnplaced records that the group found no room: it claims the workers that it could use, or has some
// vacated, and asks the adviser about others.
func (e *Engine) recordUnplaced(g *group, now Moment) {
	if g.isolated {
		e.noteWait(g, ForIsolation, now)
		e.vacate(g)
	} else {
		e.noteWait(g, g.unplacedReason(now), now)
		if !g.patient {
			e.claimRoom(g, now)
		}
	}
	g.relaxed = g.relaxable // else it is never asked about the workers that only relaxed work may use
	e.requestAdvice(g)
	g.relaxed = false
}

// unplacedReason returns why the group, which may use workers that run other work, was not placed.
func (g *group) unplacedReason(now Moment) WaitReason {
	if g.queue.Advice != nil && !g.batch.advice.anyValid(now) {
		return ForAdvice
	}
	return ForRoom
}

// utilization returns the largest of the fractions of a pool's accelerators, cores and memory that placed
// tasks use.
func (e *Engine) utilization(pool string) float64 { return e.use(pool).all }

// headroom returns the fraction of a pool's accelerators that non-urgent work must leave free: the
// guarantees of all workspaces, less what their urgent jobs within them need, whether running or waiting,
// up to maxHeadroom. Guarantees are not per pool, so every pool is measured against all of them. It is 0
// once no urgent job has been open for headroomTimeout; long-running jobs do not count as urgent here.
// Urgent work can come at any moment and has little time. Preempting runs for it takes nearly as long as
// it may wait, and the work of those runs is lost.
func (e *Engine) headroom(pool string, now Moment) float64 {
	if now.Steady-e.lastUrgentAt > headroomTimeout {
		return 0
	}
	total := e.use(pool).accelerators
	if total == 0 {
		return 0
	}
	unused := 0
	for workspace, guaranteed := range e.guarantees {
		unused += max(0, guaranteed-e.urgentAccelerators[workspace])
	}
	return min(maxHeadroom, fraction(unused, total))
}

// heldBackForGuarantees reports whether the group must wait because the free capacity is kept as
// headroom. Urgent queues (priority 0) are exempt. Only the utilization before the group counts, so a
// group that starts may do so in full: half of a step's tasks is of no use. Long-running work is exempt,
// as it must run however full the pool is. Work whose time until its goal is running out (headroomTimeLeft)
// is exempt too, otherwise it would start too late to be of use.
func (e *Engine) heldBackForGuarantees(g *group, now Moment) bool {
	return g.queue.Priority > 0 && !g.step.Lasts && g.timeLeft > headroomTimeLeft && e.headroomUsed(g.queue.Pool, now)
}

// fraction returns n divided by total, or 0 if total is not positive.
func fraction(n, total int) float64 {
	if total <= 0 {
		return 0
	}
	return float64(n) / float64(total)
}

// freeFractions returns the sum of the free fractions of all resources. Workers with the smallest sum
// are filled first; ordering them by a single resource would fragment the others.
func freeFractions(free, total model.Room) float64 {
	return fraction(free.Accelerators, total.Accelerators) + fraction(free.Millicores, total.Millicores) + fraction(free.MemoryMB, total.MemoryMB)
}

// shape is what decides whether a group can be placed. After one group could not be, a pass skips the
// others of the same shape.
type shape struct {
	pool, label, rack   string
	need                model.Room
	tasks, perWorker    int
	oneRack, guaranteed bool
	healthyOnly, yields bool
	isolated, relaxable bool
	priority            int
	// batch is set for a group that may fail where others of its shape would not: one with a limit per
	// worker, workers to avoid, or an adviser.
	batch *Batch
}

// shape returns the group's shape.
func (g *group) shape() shape {
	n := 1
	if g.step.Gang {
		n = len(g.waiting)
	}
	var batch *Batch
	if g.queue.Advice != nil || g.step.PerWorker > 0 || g.needsHealthyWorkers() || g.batch.incomplete {
		batch = g.batch
	}
	return shape{
		batch: batch, pool: g.queue.Pool, label: g.step.Label, rack: g.step.DataRack, need: g.step.Need(), tasks: n,
		perWorker: g.step.PerWorker, oneRack: g.step.OneRack, guaranteed: g.guaranteed, healthyOnly: g.needsHealthyWorkers(),
		yields: g.yields, isolated: g.isolated, relaxable: g.relaxable, priority: g.queue.Priority,
	}
}

// needsHealthyWorkers reports whether a task of the group has failed before, so that the group may only
// use workers without recent failures. Long-running tasks may fail at any time and must be running, so
// they may use any worker; those with recent failures come last.
func (g *group) needsHealthyWorkers() bool {
	if g.step.Lasts || g.relaxed {
		return false
	}
	return g.batch.Failures > 0 || slices.ContainsFunc(g.waiting, func(i int) bool { return g.batch.Tasks[i].Failures > 0 })
}

// place starts the group, or as many of its tasks as fit if it is not a gang. It reports whether all
// tasks were placed or capacity was reserved for them.
func (e *Engine) place(g *group, now Moment) bool {
	e.setFit(g, now)
	if g.step.Gang && g.batch.incomplete {
		return e.placeMissingMembers(g, now)
	}
	if g.step.Gang || g.step.OneRack {
		if placement := e.findForAll(g, now); placement != nil {
			if !e.preemptForSpeed(g, placement, now) {
				e.start(g, placement, now)
			}
			return true
		}
		if g.step.Gang {
			return !g.relaxed && e.preemptBySpeed(g, now)
		}
		if !g.maySpread(e, now) {
			return false
		}
	}
	if e.placeEachBySpeed(g, now) || g.step.Lasts && e.placeOnDraining(g, now) {
		return true
	}
	return !g.relaxed && e.preemptBySpeed(g, now)
}

// placeOnDraining places waiting long-running tasks on workers that are being drained, and reports whether
// all were placed. Such a task must run wherever there is room; when its worker has to be empty it is
// stopped like those that run there already.
func (e *Engine) placeOnDraining(g *group, now Moment) bool {
	draining := lo.Filter(e.sortedWorkers, func(w *worker, _ int) bool { return w.Pool == g.queue.Pool && w.Draining })
	if len(draining) == 0 {
		return false
	}
	onDraining := &rack{pool: g.queue.Pool, workers: draining}
	all := g.waiting
	g.onDraining = true
	for _, i := range all {
		g.waiting = []int{i}
		if placement := e.assign(g, now, onDraining); placement != nil {
			e.start(g, placement, now)
		}
	}
	g.onDraining = false
	g.waiting = lo.Filter(all, func(i, _ int) bool { return g.batch.Tasks[i].Phase == Waiting })
	return len(g.waiting) == 0
}

// placeMissingMembers places the missing members of an incomplete gang, on the rack of the others if
// possible where the step asks for one rack.
func (e *Engine) placeMissingMembers(g *group, now Moment) bool {
	placement := []*worker(nil)
	if g.step.OneRack {
		rackName := g.gangRack(e)
		for _, r := range e.racks {
			if r.pool == g.queue.Pool && r.name == rackName {
				placement = e.assign(g, now, r)
			}
		}
	}
	if placement == nil {
		placement = e.findOnAnyRack(g, now)
	}
	if placement == nil {
		return false
	}
	e.start(g, placement, now)
	return true
}

// gangRack returns the rack of a placed member of the gang, or "" if there is none.
func (g *group) gangRack(e *Engine) string {
	for i := range g.batch.Tasks {
		if w := e.workers[g.batch.Tasks[i].Worker]; w != nil && g.batch.Tasks[i].Phase == Placed {
			return w.Rack
		}
	}
	return ""
}

// placeEach places each waiting task on its own and reports whether all were placed.
func (e *Engine) placeEach(g *group, now Moment) bool {
	rest := g.waiting
	for len(rest) > 0 {
		g.waiting = rest
		if e.startsLeft <= 0 {
			e.noteUnreached([]*group{g}, now)
			return true // the next pass places the others
		}
		if g.differ() {
			g.waiting = rest[:1]
		} else {
			g.waiting = rest[:min(len(rest), e.startsLeft)]
		}
		placement := e.findForEach(g, now)
		if len(placement) == 0 {
			g.waiting = rest
			return false
		}
		for _, w := range placement {
			if w.rack.free.Times(g.step.Need(), 1) == 0 {
				break
			}
			g.waiting = rest[:1]
			e.start(g, []*worker{w}, now)
			rest = rest[1:]
		}
	}
	return true
}

// differ reports whether the workers that one of the waiting tasks may use depend on the task, or on where those before
// it were placed beyond the room that they take.
func (g *group) differ() bool {
	return g.isolated || g.batch.incomplete || g.needsHealthyWorkers()
}

// findForEach finds workers for the first of the waiting tasks, as many as fit: on the rack of the step's data as long
// as there is room, then on any rack as in findNearData.
func (e *Engine) findForEach(g *group, now Moment) []*worker {
	for _, r := range e.dataRacks(g) {
		if r.free.Times(g.step.Need(), 1) == 0 {
			continue
		}
		if placement := e.assignUpTo(g, now, r); len(placement) > 0 {
			return placement
		}
	}
	if e.waitsForDataRack(g, now) {
		return nil
	}
	return e.away(g, func() []*worker { return e.assignUpTo(g, now, e.racksWithRoom(g, false)...) })
}

// findNearData finds workers on the rack of the step's data, or on any rack once the group has waited
// long enough or no worker on that rack is large enough.
func (e *Engine) findNearData(g *group, now Moment) []*worker {
	for _, r := range e.dataRacks(g) {
		if r.free.Times(g.step.Need(), len(g.waiting)) < len(g.waiting) {
			continue
		}
		if placement := e.assign(g, now, r); placement != nil {
			return placement
		}
	}
	if e.waitsForDataRack(g, now) {
		return nil
	}
	return e.findOnAnyRack(g, now)
}

// dataRacks returns the rack of the step's data in the group's pool, if it has one.
func (e *Engine) dataRacks(g *group) []*rack {
	if g.step.DataRack == "" {
		return nil
	}
	for i, r := range e.racks {
		if r.pool == g.queue.Pool && r.name == g.step.DataRack {
			return e.racks[i : i+1]
		}
	}
	return nil
}

// waitsForDataRack reports whether the group waits for room on the rack of its step's data.
func (e *Engine) waitsForDataRack(g *group, now Moment) bool {
	return g.step.DataRack != "" && !g.maySpread(e, now) && e.dataRackFits(g)
}

// findOnAnyRack finds workers on any racks of the pool.
func (e *Engine) findOnAnyRack(g *group, now Moment) []*worker {
	racks := e.racksWithRoom(g, false)
	fits := 0
	for _, r := range racks {
		fits += r.free.Times(g.step.Need(), len(g.waiting))
	}
	if fits < len(g.waiting) {
		return nil
	}
	return e.away(g, func() []*worker { return e.assign(g, now, racks...) })
}

// findForAll finds workers for all waiting tasks at once. A step that asks for one rack gets one if
// possible; it waits for one as long as maySpread is false and an idle rack could hold it. Other steps
// are placed as by findNearData.
func (e *Engine) findForAll(g *group, now Moment) []*worker {
	if !g.step.OneRack {
		return e.findNearData(g, now)
	}
	if placement := e.findOnBestRack(g, now); placement != nil {
		return e.findFaster(g, placement, now)
	}
	if !g.maySpread(e, now) && e.idleRackFits(g) {
		return nil
	}
	return e.findOnAnyRack(g, now)
}

// findOnBestRack finds workers for all waiting tasks on the rack that has least free capacity relative
// to its size. The rack of the step's data is preferred.
func (e *Engine) findOnBestRack(g *group, now Moment) []*worker {
	if g.fit.uneven {
		return e.findOnRackBySpeed(g, now)
	}
	var best []*worker
	least := 0.0
	for _, r := range e.racksWithRoom(g, true) {
		onDataRack := r.name == g.step.DataRack
		freeSum := freeFractions(r.free, r.room)
		if best != nil && !onDataRack && freeSum >= least {
			continue
		}
		placement := e.assign(g, now, r)
		if placement == nil {
			continue
		}
		if onDataRack {
			return placement
		}
		best, least = placement, freeSum
	}
	return best
}

// idleRackFits reports whether a rack could hold the whole group if nothing else ran there.
func (e *Engine) idleRackFits(g *group) bool {
	limit := e.maxPerWorker(g)
	for _, r := range e.racks {
		if r.pool != g.queue.Pool {
			continue
		}
		fits := 0
		for _, w := range r.workers {
			if w.Leaving {
				continue
			}
			fits += w.Room.Times(g.step.Need(), limit)
			if fits >= len(g.waiting) {
				return true
			}
		}
	}
	return false
}

// dataRackFits reports whether some worker on the rack of the step's data is large enough for a task.
func (e *Engine) dataRackFits(g *group) bool {
	return slices.ContainsFunc(e.sortedWorkers, func(w *worker) bool {
		return w.Pool == g.queue.Pool && w.Rack == g.step.DataRack && w.EvacuateBy == 0 && w.Room.Times(g.step.Need(), 1) > 0
	})
}

// maxPerWorker returns how many tasks of the step one worker may get.
func (e *Engine) maxPerWorker(g *group) int {
	if g.step.PerWorker > 0 {
		return g.step.PerWorker
	}
	return len(g.batch.Tasks)
}

// candidates returns the workers of ws that may run the group's tasks: those that are eligible and, if
// the queue has an adviser, have a valid ticket.
func (e *Engine) candidates(g *group, ws []*worker, now Moment) []*worker {
	var out []*worker
	healthyOnly := g.needsHealthyWorkers()
	for _, w := range ws {
		if g.mayUse(w, healthyOnly, now) {
			out = append(out, w)
		}
	}
	return out
}

// mayUse reports whether the worker is eligible and, if the queue has an adviser, has a valid ticket.
func (g *group) mayUse(w *worker, healthyOnly bool, now Moment) bool {
	return g.eligible(w, healthyOnly, now) && g.fit.meets(w.speed, g.step.Gang) && (g.queue.Advice == nil || g.batch.advice.valid(w.ID, now))
}

// eligible reports whether the worker may run the group's tasks as far as the engine knows, whatever
// capacity is free. With healthyOnly, workers with failures since their last success or on which one of
// the waiting tasks failed last are left out.
func (g *group) eligible(w *worker, healthyOnly bool, now Moment) bool {
	mayStart := w.responsive(now) || g.relaxed && w.reachable(now)
	if !mayStart || w.Draining && !g.onDraining || w.Room.Times(g.step.Need(), 1) == 0 {
		return false
	}
	if !g.sharesWith(w, now) {
		return false
	}
	if g.yields && w.claimed && w.claimRank < g.rank() {
		return false
	}
	if g.step.Label != "" && !slices.Contains(w.Labels, g.step.Label) {
		return false
	}
	if healthyOnly && (w.failureStreak > 0 || g.failedOn(w)) {
		return false
	}
	return !g.batch.incomplete || !slices.ContainsFunc(g.waiting, func(i int) bool { return g.batch.Tasks[i].avoidWorker == w.ID })
}

// quota returns how many of the group's waiting tasks the worker may get under the step's limit per
// worker.
func (g *group) quota(w *worker) int {
	if g.step.PerWorker <= 0 {
		return len(g.waiting)
	}
	n := g.step.PerWorker
	for ref := range w.tasks {
		if ref.Job == g.ref.Job && ref.Occurrence == g.ref.Occurrence && ref.Step == g.ref.Step {
			n--
		}
	}
	return max(0, min(n, len(g.waiting)))
}

// start places the waiting tasks on their workers and adds the orders that start them. The members of a
// gang share a run number and a checkpoint; members added to an incomplete gang get the number of its
// present run.
func (e *Engine) start(g *group, placement []*worker, now Moment) {
	addsMembers := g.step.Gang && g.batch.incomplete
	run := g.batch.run
	if !addsMembers {
		e.lastRun++
		run = e.lastRun
		g.batch.run, g.batch.startedAt = run, now.Steady
	}
	g.batch.incomplete, g.batch.waitReason = false, ""
	delete(e.poolUses, g.queue.Pool)
	e.startsLeft -= len(g.waiting)
	for pos, i := range g.waiting {
		if pos > 0 && !g.step.Gang {
			e.lastRun++
			run = e.lastRun
		}
		t := &g.batch.Tasks[i]
		ref := g.ref
		ref.Task = i
		t.Phase, t.Run, t.Worker = Placed, run, placement[pos].ID
		t.Confirmed, t.Stopping, t.percent = false, false, 0
		t.renewing, t.renewals = false, 0
		t.placedAt, t.progressAt = now.Steady, now.Steady
		if g.isolated {
			e.isolate(placement[pos], g.ref.Job, t)
		}
		placement[pos].tasks[ref] = t
		placement[pos].allocate(g.step.Need())
		checkpoint := t.Checkpoint
		if g.step.Gang {
			checkpoint = g.batch.Checkpoint
		}
		g.batch.unmeasured = g.batch.unmeasured || checkpoint != ""
		v := verdict{}
		if g.queue.Advice != nil {
			v = g.batch.advice.verdicts[t.Worker]
		}
		e.orders = append(e.orders, Order{
			Task: ref, Run: t.Run, Worker: t.Worker, Checkpoint: checkpoint, Reason: g.reason(placement[pos]),
			Ticket: v.ticket, TicketExpiresAt: v.expiresAt(),
			Queue: g.queue.Name, Priority: g.queue.Priority, PlacedAt: now.Steady,
		})
	}
	if g.batch.suspectsWaitFrom != 0 && !g.batch.hasWaitingSuspect() {
		g.batch.suspectsWaitFrom = 0
	}
	e.changedJobs[g.ref.Job] = true
}

// reason returns the reason for starting a task of the group on the worker, for the log.
func (g *group) reason(w *worker) string {
	switch {
	case g.moving == movedOut:
		return "room that was reserved as its zone was evacuated"
	case g.moving == movedFaster:
		return "in time on a faster worker"
	case g.relaxed:
		return "no preferred worker has taken it in time"
	case g.overdue:
		return "nothing of it runs while starts are limited"
	case g.guaranteed:
		return "within its workspace's guarantee"
	case g.lateness == tooLate:
		return "free room that no work in time needs"
	case g.fit.uneven && g.fit.tier(w.speed, g.step.Gang) == tooSlow:
		return "free room, on a worker too slow for its goal"
	}
	return "free room"
}
