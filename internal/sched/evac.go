package sched

import (
	"cmp"
	"slices"
	"time"

	"github.com/samber/lo"

	"greengageline/pkg/model"
)

// moveStopTime is the time that a stop takes at most: less than a second on every deployment.
const moveStopTime = time.Second

// move is a gang, or tasks of a step that are no gang, that could leave an evacuated zone. The waiting tasks of the group
// are the runs to stop; loss is the work that stopping the first of them loses.
type move struct {
	group *group
	loss  float64
}

// moveOut stops runs in evacuated zones that save progress and reserves the capacity on which they continue, those first
// where that loses least. It is the last decision of a pass, so that waiting work comes first. A run for which no other
// zone has capacity stays, and so does one that would have to wait there, for the room that is kept for guarantees or
// because its result comes too late.
func (e *Engine) moveOut(now Moment) {
	left := e.startsLeft
	unplaceable := map[shape]bool{}
	for _, m := range e.movesOut(now) {
		if left <= 0 {
			return
		}
		g := m.group
		if g.lateness == tooLate && !g.guaranteed && e.utilization(g.queue.Pool) > tooLateMaxUtilization || e.heldBackForGuarantees(g, now) {
			continue
		}
		g.yields = e.mustYield(g)
		key := g.shape()
		if unplaceable[key] {
			continue
		}
		placement, partlyElsewhere := e.placeElsewhere(g, now)
		if len(placement) == 0 {
			unplaceable[key] = !partlyElsewhere
			e.requestAdvice(g)
			continue
		}
		e.stopAndReserve(g, placement, movedOut, now)
		left -= len(placement)
	}
}

// movesOut returns what could leave the evacuated zones, in the order in which it is to move.
func (e *Engine) movesOut(now Moment) []move {
	groups := map[*Batch]*group{}
	for _, w := range e.sortedWorkers {
		if w.EvacuateBy != 0 && !w.Silent { // a silent worker gets no stop
			e.addMovable(groups, w, now)
		}
	}
	out := make([]move, 0, len(groups))
	for _, g := range groups {
		if !e.prepareMove(g, now) {
			continue
		}
		g.guaranteed = e.guaranteedJobs[g.job]
		g.lateness, g.timeLeft = e.lateness(g.job, g.ref.Occurrence, g.queue, now)
		out = append(out, move{g, loss(&g.batch.Tasks[g.waiting[0]], g.batch, g.step, now)})
	}
	slices.SortFunc(out, func(a, b move) int {
		return cmp.Or(cmp.Compare(a.loss, b.loss), compareRefs(a.group.ref, b.group.ref))
	})
	return out
}

// addMovable adds the runs of a worker that may move to the groups of their batches.
func (e *Engine) addMovable(groups map[*Batch]*group, w *worker, now Moment) {
	for ref, t := range w.tasks {
		j, b, _ := e.find(ref)
		if j == nil || !j.Open() || t.Stopping || !t.Confirmed || t.suspect || b.incomplete {
			continue
		}
		step := &j.Work.Steps[ref.Step]
		if !step.Lasts && (!step.Resumes || t.endsBefore(w.EvacuateBy, step, now)) {
			continue
		}
		if _, reserved := e.reservations[b]; reserved {
			continue
		}
		g := groups[b]
		if g == nil {
			g = &group{job: j, ref: TaskRef{Job: ref.Job, Occurrence: ref.Occurrence, Step: ref.Step}, batch: b, step: step, queue: e.queue(j)}
			groups[b] = g
		}
		g.waiting = append(g.waiting, ref.Task)
	}
}

// endsBefore reports whether the run probably ends by itself before it would have to stop for an evacuation, or earlier
// than it could restart. A move would lose work for nothing.
func (t *Task) endsBefore(by time.Duration, step *model.Step, now Moment) bool {
	left := time.Duration(step.EstimateMs) * time.Millisecond * time.Duration(completePercent-t.percent) / completePercent
	return step.EstimateMs > 0 && left <= max(by-now.Steady-moveStopTime, time.Duration(restartCost*float64(time.Second)))
}

// prepareMove sets the waiting tasks of the group to the runs that may be stopped now, cheapest first, and reports
// whether there are any. A gang moves whole, and not while members of it start or stop, or can't be reached. Of a long-running step no more
// runs move than MayMiss allows. Where tasks of the step wait already there is no room for more.
func (e *Engine) prepareMove(g *group, now Moment) bool {
	b := g.batch
	for i := range b.Tasks {
		t := &b.Tasks[i]
		if t.Phase == Waiting || g.step.Gang && (t.Phase != Placed || t.Stopping || !t.Confirmed || t.suspect) {
			return false
		}
		if w := e.workers[t.Worker]; g.step.Gang && (w == nil || w.Silent) {
			return false
		}
	}
	if g.step.Gang {
		g.waiting = lo.Range(len(b.Tasks))
	}
	slices.SortFunc(g.waiting, func(x, y int) int {
		return cmp.Or(cmp.Compare(loss(&b.Tasks[x], b, g.step, now), loss(&b.Tasks[y], b, g.step, now)), cmp.Compare(x, y))
	})
	if g.step.Lasts {
		allowed := b.disruptionsAllowed(g.step)
		if g.step.Gang && allowed < len(g.waiting) {
			return false
		}
		g.waiting = g.waiting[:min(allowed, len(g.waiting))]
	}
	return len(g.waiting) > 0
}

// placeElsewhere returns workers for the first of the group's runs, as many as fit, or for all members of a gang. A
// gang may also use the room of its own members in other zones, since these stop too; partlyElsewhere reports whether it has
// any.
func (e *Engine) placeElsewhere(g *group, now Moment) (placement []*worker, partlyElsewhere bool) {
	if !g.step.Gang {
		if g.differ() {
			g.waiting = g.waiting[:1]
		}
		return e.findForEach(g, now), false
	}
	need := g.step.Need()
	own := lo.FilterMap(g.waiting, func(i, _ int) (*worker, bool) {
		w := e.workers[g.batch.Tasks[i].Worker]
		return w, w != nil && w.rack != nil && w.EvacuateBy == 0
	})
	for _, w := range own {
		w.used, w.rack.free = w.used.Minus(need, 1), w.rack.free.Plus(need, 1)
	}
	defer func() {
		for _, w := range own {
			w.used, w.rack.free = w.used.Plus(need, 1), w.rack.free.Minus(need, 1)
		}
	}()
	if g.step.OneRack && e.idleRackFits(g) {
		return e.findOnBestRack(g, now), len(own) > 0 // on several racks it would be slower than where it is
	}
	return e.findForAll(g, now), len(own) > 0
}
