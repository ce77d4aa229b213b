package place

import (
	"cmp"
	"fmt"
	"slices"

	"greengageline/pkg/model"
)

// claim is one instance of a workspace's guarantee. Its allocations say where the shape can run now:
// non-borrowed jobs of others leave room for it there, and borrowed jobs can be evicted.
//
// unused[i] is how many accelerators of allocs[i] no job of the claim uses; they count as reserved on
// that worker. A claim is at risk while part of its shape has no allocation.
type claim struct {
	id     string
	ws     *workspace
	shape  model.Shape
	allocs []allocation
	unused []int
	jobs   []*job
	atRisk bool // as last reported
}

// claimID names the i-th claim of a workspace for a shape.
func claimID(ws string, shape model.Shape, i int) string {
	return fmt.Sprintf("%s/%dx%d/%d", ws, shape.Tasks, shape.Each, i)
}

// addAllocations gives the claim further allocations and reserves their accelerators.
func (e *Engine) addAllocations(c *claim, allocs []allocation) {
	for _, a := range allocs {
		n := a.tasks * c.shape.Each
		c.allocs = append(c.allocs, a)
		c.unused = append(c.unused, n)
		a.w.reserved += n
		a.w.claims = append(a.w.claims, c)
		e.pool.updateIndex(a.w)
	}
}

// dropAllocation takes the i-th allocation from the claim and ends its reservation.
func (e *Engine) dropAllocation(c *claim, i int) {
	w := c.allocs[i].w
	w.reserved -= c.unused[i]
	if at := slices.Index(w.claims, c); at >= 0 {
		w.claims = slices.Delete(w.claims, at, at+1)
	}
	e.pool.updateIndex(w)
	e.forgetFailedSearches()
	c.allocs = slices.Delete(c.allocs, i, i+1)
	c.unused = slices.Delete(c.unused, i, i+1)
}

func (e *Engine) dropAllocations(c *claim) {
	for len(c.allocs) > 0 {
		e.dropAllocation(c, len(c.allocs)-1)
	}
}

// missingTasks returns how many tasks of the shape have no usable allocation. The unused part of an
// allocation on a worker that takes no jobs counts as missing. The result is negative if the claim has
// more than it needs.
func (c *claim) missingTasks() int {
	n := c.shape.Tasks
	for i, a := range c.allocs {
		n -= a.tasks
		if !a.w.canServeClaims() {
			n += (c.unused[i] + c.shape.Each - 1) / c.shape.Each
		}
	}
	return n
}

// canServeClaims reports whether claims may keep unused allocations on the worker.
func (w *worker) canServeClaims() bool { return w.state == workerUp || w.state == workerInBackoff }

// repairClaim completes the claim's allocations and reports whether it succeeded. Allocations that
// jobs use stay. A claim without jobs is placed anew as a whole, so that its tasks are close together.
func (e *Engine) repairClaim(c *claim) bool {
	for i := len(c.allocs) - 1; i >= 0; i-- {
		surplus := c.missingTasks()+c.allocs[i].tasks <= 0
		if (surplus || !c.allocs[i].w.canServeClaims()) && c.unused[i] == c.allocs[i].tasks*c.shape.Each {
			e.dropAllocation(c, i)
		}
	}
	n := c.missingTasks()
	if n <= 0 {
		return true
	}
	shape := model.Shape{Tasks: n, Each: c.shape.Each}
	if len(c.jobs) == 0 {
		e.dropAllocations(c)
		shape = c.shape
	}
	allocs := e.findForClaim(shape)
	e.addAllocations(c, allocs)
	return allocs != nil
}

// findForClaim finds allocations for a claim on workers without holds, or if there are none, on any
// workers.
func (e *Engine) findForClaim(shape model.Shape) []allocation {
	q := query{view: viewAfterEviction, shape: shape, scope: scopeCell, avoid: e.heldWorkers()}
	allocs := e.pool.find(q)
	if allocs != nil || q.avoid == nil {
		return allocs
	}
	q.avoid = nil
	return e.pool.find(q)
}

// moveClaimsOff moves the reservations of unused claims off held workers if they fit elsewhere.
// Otherwise the next jobs of their workspaces would use the held workers and keep the gang waiting.
func (e *Engine) moveClaimsOff(h *hold) {
	avoid := e.heldWorkers()
	for _, a := range h.allocs {
		for _, c := range slices.Clone(a.w.claims) {
			if len(c.jobs) > 0 || c.missingTasks() > 0 {
				continue
			}
			old, savedSearches := slices.Clone(c.allocs), slices.Clone(e.failedSearches)
			e.dropAllocations(c)
			to := e.pool.find(query{view: viewSpare, shape: c.shape, scope: scopeZone, avoid: avoid})
			if to == nil {
				to, e.failedSearches = old, savedSearches
			}
			e.addAllocations(c, to)
		}
	}
}

// repairClaims repairs claims, the largest tasks first, and reports which claims are newly at risk or
// no longer at risk.
func (e *Engine) repairClaims(claims []*claim) {
	sortClaims(claims)
	failed := false
	for _, c := range claims {
		if !e.repairClaim(c) {
			failed = true
		}
	}
	if failed {
		e.repackUnused()
	}
	for _, c := range claims {
		e.updateRisk(c)
	}
}

func sortClaims(claims []*claim) {
	slices.SortStableFunc(claims, func(a, b *claim) int {
		return cmp.Or(
			cmp.Compare(b.shape.Each, a.shape.Each),
			cmp.Compare(b.shape.Tasks, a.shape.Tasks),
			cmp.Compare(a.id, b.id))
	})
}

// repackUnused places all unused claims anew, the hardest first, because the allocations of some may
// fragment the room that another needs.
func (e *Engine) repackUnused() {
	var unused []*claim
	for _, ws := range e.workspaces {
		for _, c := range ws.claims {
			if len(c.jobs) == 0 {
				unused = append(unused, c)
			}
		}
	}
	sortClaims(unused)
	for _, c := range unused {
		e.dropAllocations(c)
	}
	for _, c := range unused {
		e.repairClaim(c)
	}
	for _, c := range unused {
		e.updateRisk(c)
	}
}

// updateRisk emits a GuaranteeAtRisk or GuaranteeRestored decision if that state of the claim has changed since its
// last decision.
func (e *Engine) updateRisk(c *claim) {
	risk := c.missingTasks() > 0
	if risk == c.atRisk {
		return
	}
	c.atRisk = risk
	d := Decision{
		Kind: GuaranteeRestored, Workspace: c.ws.name, Claim: c.id,
		Accelerators: c.shape.Accelerators(), Reason: "the share can be formed again",
	}
	e.atRisk = slices.DeleteFunc(e.atRisk, func(x *claim) bool { return x == c })
	if risk {
		d.Kind = GuaranteeAtRisk
		d.Accelerators = min(c.missingTasks(), c.shape.Tasks) * c.shape.Each
		d.Reason = "no place is left for this part of the share"
		e.atRisk = append(e.atRisk, c)
	}
	e.emit(d)
}

// repairAtRisk retries claims at risk when capacity may have become free.
func (e *Engine) repairAtRisk() {
	if len(e.atRisk) == 0 {
		return
	}
	e.repairClaims(slices.Clone(e.atRisk))
}

// fit returns allocations for a job of this shape within the unused part of the claim, and how many
// borrowed accelerators must be evicted for it. Free accelerators are used first. It returns nil if
// the job does not fit.
func (c *claim) fit(shape model.Shape) (allocs []allocation, evict int) {
	if shape.Each > c.shape.Each || shape.Tasks*shape.Each > c.shape.Accelerators() {
		return nil, 0
	}
	n := shape.Tasks
	// First free accelerators (borrowed is 0), then those of borrowers (borrowed is 1).
	for borrowed := range 2 {
		for i, a := range c.allocs {
			if n == 0 || a.w.state != workerUp {
				continue
			}
			room := min(c.unused[i], a.w.free()) / shape.Each
			if borrowed == 1 {
				room = c.unused[i]/shape.Each - room
			}
			if take := min(room, n); take > 0 {
				allocs = addTasks(allocs, a.w, take)
				n -= take
				evict += borrowed * take * shape.Each
			}
		}
	}
	if n > 0 {
		return nil, 0
	}
	return allocs, evict
}

// addTasks adds n tasks on the worker to the allocations.
func addTasks(allocs []allocation, w *worker, n int) []allocation {
	for i := range allocs {
		if allocs[i].w == w {
			allocs[i].tasks += n
			return allocs
		}
	}
	return append(allocs, allocation{w, n})
}

// pickClaim returns the claim of the job's workspace that serves the job with the fewest evicted
// accelerators, or nil. Among equals, the claim with more jobs and then the smaller claim is
// preferred.
func (e *Engine) pickClaim(j *job) (best *claim, allocs []allocation, evict int) {
	for _, c := range j.ws.claims {
		got, cost := c.fit(j.req.Shape)
		if got == nil || usesAny(got, j.avoid) {
			continue
		}
		if best == nil || betterClaim(c, cost, best, evict) {
			best, allocs, evict = c, got, cost
		}
	}
	if best == nil || evict == 0 || len(best.jobs) > 0 {
		return best, allocs, evict
	}
	return e.relocateClaim(best, j, allocs, evict)
}

func betterClaim(c *claim, cost int, best *claim, bestCost int) bool {
	return cmp.Or(
		cmp.Compare(cost, bestCost),
		cmp.Compare(len(best.jobs), len(c.jobs)),
		cmp.Compare(c.shape.Accelerators(), best.shape.Accelerators())) < 0
}

// relocateClaim moves an unused claim's reservation to free accelerators if there are any, so that
// nothing has to be evicted for the job.
func (e *Engine) relocateClaim(c *claim, j *job, allocs []allocation, evict int) (*claim, []allocation, int) {
	old, savedSearches := slices.Clone(c.allocs), slices.Clone(e.failedSearches)
	e.dropAllocations(c)
	to := e.pool.find(query{view: viewSpare, shape: c.shape, scope: scopeCell, avoid: j.avoid})
	if to == nil {
		e.addAllocations(c, old)
		e.failedSearches = savedSearches
		return c, allocs, evict
	}
	e.addAllocations(c, to)
	got, cost := c.fit(j.req.Shape)
	return c, got, cost
}

// usesAny reports whether an allocation is on one of the workers to avoid.
func usesAny(allocs []allocation, avoid map[*worker]bool) bool {
	return slices.ContainsFunc(allocs, func(a allocation) bool { return avoid[a.w] })
}

// assignToClaim makes the job a user of the claim and turns the accelerators it takes from reserved to
// used.
func (e *Engine) assignToClaim(c *claim, j *job, allocs []allocation) {
	c.jobs = append(c.jobs, j)
	j.claim = c
	for _, a := range allocs {
		n := a.tasks * j.req.Shape.Each
		for i := range c.allocs {
			if c.allocs[i].w != a.w {
				continue
			}
			take := min(n, c.unused[i])
			c.unused[i] -= take
			a.w.reserved -= take
			n -= take
		}
	}
}

// returnToClaim turns the accelerators that the job used back into reserved ones of the claim.
func (e *Engine) returnToClaim(c *claim, j *job) {
	c.jobs = slices.DeleteFunc(c.jobs, func(x *job) bool { return x == j })
	j.claim = nil
	for _, a := range j.allocs {
		n := a.tasks * j.req.Shape.Each
		for i := range c.allocs {
			if c.allocs[i].w != a.w {
				continue
			}
			back := min(n, c.allocs[i].tasks*c.shape.Each-c.unused[i])
			c.unused[i] += back
			a.w.reserved += back
			n -= back
		}
		e.pool.updateIndex(a.w)
	}
}
