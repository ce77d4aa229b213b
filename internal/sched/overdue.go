package sched

import (
	"cmp"
	"slices"
	"time"

	"github.com/samber/lo"
)

const (
	// overdueAfter is how long a step may have nothing running, though it could start, before it is overdue: a
	// third of the time that the users' rules allow, as starts take time to be sent too.
	overdueAfter = time.Second
	// While passes end for want of starts, one start in overdueShare is for overdue steps.
	overdueShare = 4
)

// overdue is a start that a group is due whatever its rank: of one task, or of a whole gang.
type overdue struct {
	*group // a copy of the group with only these tasks
	of     *group
	since  time.Duration
}

// startOverdue starts work of which nothing has run for overdueAfter, the longest first. It returns the groups that
// still wait, and as unplaced those that found no room. While passes end for want of starts, groups of low rank would
// otherwise wait until there are enough for all; on a pool with ample free room nothing else keeps them from running. A
// gang starts whole and is paid back by later starts.
//
// With r starts a second, work gets a start overdueAfter + overdueShare*(n+1)/r after something of it last ran at the
// latest, where n is the number of starts due to work that has waited longer. Only a gang larger than a pass also waits
// until guaranteed work has its starts.
func (e *Engine) startOverdue(groups []*group, now Moment) (waiting, unplaced []*group) {
	guaranteedWaits := e.guaranteedUnreached || lo.SomeBy(groups, func(g *group) bool { return g.guaranteed && g.batch.readyAt == now.Steady })
	e.guaranteedUnreached = false
	if !e.startsShort {
		return groups, nil
	}
	budget := e.startsLeft
	unplaceable := map[shape]bool{}
	for _, o := range findOverdue(groups, now) {
		if guaranteedWaits && !o.guaranteed && len(o.waiting) > budget {
			continue
		}
		if e.overdueDebt >= e.startsLeft || len(o.waiting) > e.startsLeft && e.startsLeft < budget {
			break // the next pass places it first
		}
		if unplaceable[o.shape()] || !e.mayGoFirst(o.group) {
			continue
		}
		if !e.placeOverdue(o, now) {
			unplaceable[o.shape()] = true
			unplaced = append(unplaced, o.group)
		}
	}
	return lo.Filter(groups, func(g *group, _ int) bool { return len(g.waiting) > 0 }), unplaced
}

// mayGoFirst reports whether the group may start before those that rank before it: if they have ample free room all
// the same. Long-running work must run however full the pool is.
func (e *Engine) mayGoFirst(g *group) bool {
	if _, reserved := e.reservations[g.batch]; reserved || g.isolated && !e.mayIsolate(g) {
		return false
	}
	return g.step.Lasts || e.utilization(g.queue.Pool) <= yieldMinUtilization
}

// placeOverdue starts the tasks in free room, and reports whether there was enough.
func (e *Engine) placeOverdue(o overdue, now Moment) bool {
	due := o.waiting
	e.setFit(o.group, now)
	if placement := e.findForAll(o.group, now); placement != nil {
		e.start(o.group, placement, now)
	} else if !o.step.Lasts || o.step.Gang || !e.placeOnDraining(o.group, now) {
		return false
	}
	o.of.waiting = lo.Without(o.of.waiting, due...)
	e.overdueDebt += (overdueShare - 1) * len(due)
	return true
}

// findOverdue returns the starts that are overdue, those that have waited longest first.
func findOverdue(groups []*group, now Moment) []overdue {
	var out []overdue
	for _, g := range groups {
		for _, due := range g.dueTasks() {
			if since := g.idleSince(due); now.Steady-since > overdueAfter {
				c := *g
				c.waiting, c.overdue = due, true
				out = append(out, overdue{&c, g, since})
			}
		}
	}
	slices.SortStableFunc(out, func(a, b overdue) int { return cmp.Compare(a.since, b.since) })
	return out
}

// dueTasks returns the sets of tasks that would each end that nothing of the group runs: a gang, or one task. Each
// task of a long-running step is due by itself.
func (g *group) dueTasks() [][]int {
	switch {
	case g.step.Gang && g.batch.incomplete:
		return nil
	case g.step.Gang:
		return [][]int{g.waiting}
	case g.step.Lasts:
		return lo.Chunk(g.waiting, 1)
	case slices.ContainsFunc(g.batch.Tasks, func(t Task) bool { return t.Phase == Placed }):
		return nil
	}
	return [][]int{g.waiting[:1]}
}

// idleSince returns since when nothing runs of one of the sets that dueTasks returns: since it could first start or
// its last run ended.
func (g *group) idleSince(due []int) time.Duration {
	b := g.batch
	if g.step.Lasts {
		return max(b.readyAt, b.Tasks[due[0]].endedAt)
	}
	return lo.Reduce(b.Tasks, func(since time.Duration, t Task, _ int) time.Duration { return max(since, t.endedAt) }, b.readyAt)
}

// settleOverdue ends a pass in which others than overdue work got a number of starts: it records those that are paid
// back, and asks the adviser about overdue work that found no room, after the work that ranks before it. Once a pass has
// had enough starts for all, nothing is left to pay back.
func (e *Engine) settleOverdue(unplaced []*group, others int, startsShort bool, now Moment) {
	for _, g := range unplaced {
		e.recordUnplaced(g, now)
	}
	e.startsShort = startsShort
	e.overdueDebt = max(0, e.overdueDebt-others)
	if !startsShort {
		e.overdueDebt = 0
	}
}
