package place

import (
	"maps"
	"slices"

	"greengageline/pkg/model"
)

// adopt restores a started job on the workers where it runs. Assignments to unknown workers are left out.
func (e *Engine) adopt(a Restore) {
	ws := e.workspaces[a.Job.Workspace]
	if ws == nil {
		ws = &workspace{name: a.Job.Workspace, removed: true}
		e.workspaces[a.Job.Workspace] = ws
	}
	j := &job{req: a.Job, ws: ws, state: jobStarted, mode: a.Mode, startedMs: a.StartedMs}
	j.expectedEndMs = a.StartedMs + e.estimator.expected(a.Job)
	for _, s := range a.Assignments {
		w := e.pool.byID[s.Worker]
		if w == nil {
			continue
		}
		e.occupy(j, allocation{w, s.Tasks})
	}
	ws.inUse += j.accelerators()
	if j.mode != model.Guaranteed {
		ws.outsideClaims += j.accelerators()
	}
	for _, c := range ws.claims {
		if c.id == a.Claim && a.Mode == model.Guaranteed {
			c.jobs = append(c.jobs, j)
			j.claim = c
		}
	}
	e.jobs[a.Job.ID] = j
}

// occupy adds an allocation to the job and counts it on the worker.
func (e *Engine) occupy(j *job, a allocation) {
	n := a.tasks * j.req.Shape.Each
	if j.mode == model.Borrowed {
		a.w.borrowed += n
	}
	if j.mode != model.Borrowed {
		a.w.nonBorrowed += n
	}
	a.w.jobs = append(a.w.jobs, j)
	j.allocs = append(j.allocs, a)
	e.pool.updateIndex(a.w)
}

// becomeReady ends a rebuild: claims get allocations besides the running jobs, and a scheduling pass
// runs.
func (e *Engine) becomeReady() {
	if e.ready {
		return
	}
	e.ready = true
	var all []*claim
	for _, name := range slices.Sorted(maps.Keys(e.workspaces)) {
		for _, c := range e.workspaces[name].claims {
			e.restoreClaim(c)
			all = append(all, c)
		}
	}
	e.repairClaims(all)
	e.schedule()
}

// restoreClaim rebuilds the used part of a claim's allocations from its jobs. A job that does not fit
// the claim keeps running without one.
func (e *Engine) restoreClaim(c *claim) {
	for _, j := range slices.Clone(c.jobs) {
		if e.extendClaim(c, j) {
			continue
		}
		c.jobs = slices.DeleteFunc(c.jobs, func(x *job) bool { return x == j })
		j.claim = nil
	}
}

// extendClaim extends the claim's allocations to cover the job and reports whether the claim's shape
// and the workers' room allow it.
func (e *Engine) extendClaim(c *claim, j *job) bool {
	k := c.shape.Each
	if j.req.Shape.Each > k {
		return false
	}
	n := c.missingTasks()
	var add []allocation
	for _, a := range j.allocs {
		used := a.tasks * j.req.Shape.Each
		tasks := (used + k - 1) / k
		if tasks*k-used > a.w.count(viewAfterEviction) {
			return false
		}
		add = append(add, allocation{a.w, tasks})
		n -= tasks
	}
	if n < 0 {
		return false
	}
	for _, a := range add {
		c.allocs = append(c.allocs, a)
		c.unused = append(c.unused, a.tasks*k-e.usedOn(j, a.w))
		a.w.reserved += c.unused[len(c.unused)-1]
		a.w.claims = append(a.w.claims, c)
		e.pool.updateIndex(a.w)
	}
	return true
}

// usedOn returns how many accelerators of the worker the job uses.
func (e *Engine) usedOn(j *job, w *worker) int {
	n := 0
	for _, a := range j.allocs {
		if a.w == w {
			n += a.tasks * j.req.Shape.Each
		}
	}
	return n
}
