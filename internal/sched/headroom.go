package sched

import (
	"math"

	"greengageline/pkg/model"
)

// poolUse is how much of a pool is used: the largest of the fractions of its accelerators, cores and memory that placed
// tasks use, of all workers and of those that are fast enough for urgent work.
type poolUse struct {
	all, urgent  float64
	accelerators int // the pool's
	// urgentShare is the fraction of the pool's accelerators that those workers have.
	urgentShare float64
}

// use returns how much of a pool is used. Within a pass it is summed again only after a start.
func (e *Engine) use(pool string) poolUse {
	if u, ok := e.poolUses[pool]; ok {
		return u
	}
	limit, uneven := math.Inf(1), e.uneven[pool]
	if uneven {
		limit = e.urgentLimits[pool]
	}
	var used, total, usedFast, totalFast model.Room
	for _, w := range e.sortedWorkers {
		if w.Pool != pool || !w.exists() {
			continue
		}
		used, total = used.Plus(w.used, 1), total.Plus(w.Room, 1)
		if uneven && w.speed.factor <= limit {
			usedFast, totalFast = usedFast.Plus(w.used, 1), totalFast.Plus(w.Room, 1)
		}
	}
	u := poolUse{all: largestFraction(used, total), accelerators: total.Accelerators, urgentShare: 1}
	u.urgent = u.all
	if uneven && totalFast.Accelerators > 0 {
		u.urgent, u.urgentShare = largestFraction(usedFast, totalFast), fraction(totalFast.Accelerators, total.Accelerators)
	}
	e.poolUses[pool] = u
	return u
}

// largestFraction returns the largest of the fractions of the accelerators, cores and memory that are used.
func largestFraction(used, total model.Room) float64 {
	return max(fraction(used.Accelerators, total.Accelerators), fraction(used.Millicores, total.Millicores), fraction(used.MemoryMB, total.MemoryMB))
}

// setUrgentLimits sets, for each uneven pool, the largest factor with which the work of its urgent queues meets its goal
// if it starts at once.
func (e *Engine) setUrgentLimits() {
	clear(e.urgentLimits)
	for _, q := range e.queues {
		if !e.uneven[q.Pool] || q.Priority != 0 || q.Stretch <= 0 {
			continue
		}
		limit := q.Stretch / e.errorsOf(q.Name).usual
		if old, ok := e.urgentLimits[q.Pool]; !ok || limit < old {
			e.urgentLimits[q.Pool] = limit
		}
	}
}

// headroomUsed reports whether other work has used so much of the pool that the rest is kept for guarantees. Where the
// workers differ, that is kept on those that are fast enough for urgent work; while little of the whole pool is in use,
// no work is held back for it.
func (e *Engine) headroomUsed(pool string, now Moment) bool {
	u, kept := e.use(pool), e.headroom(pool, now)
	if !e.uneven[pool] {
		return u.all > 1-kept
	}
	return u.all > yieldMinUtilization && u.urgent > 1-min(maxHeadroom, kept/u.urgentShare)
}
