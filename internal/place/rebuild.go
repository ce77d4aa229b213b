package place

import (
	"maps"
	"slices"

	"greengageline/pkg/model"
)

// adopt restores a started job at the places it holds.
func (e *Engine) adopt(a Adopt) {
	ws := e.byName[a.Job.Workspace]
	if ws == nil {
		ws = &workspace{name: a.Job.Workspace, gone: true}
		e.byName[a.Job.Workspace] = ws
	}
	j := &job{req: a.Job, ws: ws, state: jobStarted, mode: a.Mode, started: a.StartedMs}
	j.expect = a.StartedMs + e.guess.expect(a.Job)
	for _, s := range a.Shares {
		w := e.pool.byID[s.Worker]
		if w == nil {
			continue
		}
		e.occupy(j, spot{w, s.Tasks})
	}
	ws.inUse += j.accelerators()
	if j.mode != model.Guaranteed {
		ws.borrows += j.accelerators()
	}
	for _, c := range ws.claims {
		if c.id == a.Claim && a.Mode == model.Guaranteed {
			c.users = append(c.users, j)
			j.claim = c
		}
	}
	e.jobs[a.Job.ID] = j
}

func (e *Engine) occupy(j *job, s spot) {
	n := s.tasks * j.req.Shape.Each
	if j.mode == model.Borrowed {
		s.w.borrowed += n
	}
	if j.mode != model.Borrowed {
		s.w.firm += n
	}
	s.w.jobs = append(s.w.jobs, j)
	j.spots = append(j.spots, s)
	e.pool.update(s.w)
}

// becomeReady ends a rebuild: claims get their witnesses around what runs.
func (e *Engine) becomeReady() {
	if e.ready {
		return
	}
	e.ready = true
	var all []*claim
	for _, name := range slices.Sorted(maps.Keys(e.byName)) {
		for _, c := range e.byName[name].claims {
			e.restoreClaim(c)
			all = append(all, c)
		}
	}
	e.mendAll(all)
	e.pass()
}

// restoreClaim rebuilds the used part of a claim's witness from its jobs. A
// job that the claim can't account for runs on without a claim.
func (e *Engine) restoreClaim(c *claim) {
	for _, j := range slices.Clone(c.users) {
		if e.claimHolds(c, j) {
			continue
		}
		c.users = slices.DeleteFunc(c.users, func(x *job) bool { return x == j })
		j.claim = nil
	}
}

// claimHolds extends the claim's spots to cover the job, if the claim's shape
// and the workers' room allow it.
func (e *Engine) claimHolds(c *claim, j *job) bool {
	k := c.shape.Each
	if j.req.Shape.Each > k {
		return false
	}
	n := c.missing()
	var add []spot
	for _, s := range j.spots {
		used := s.tasks * j.req.Shape.Each
		tasks := (used + k - 1) / k
		if tasks*k-used > s.w.count(viewRoom) {
			return false
		}
		add = append(add, spot{s.w, tasks})
		n -= tasks
	}
	if n < 0 {
		return false
	}
	for _, s := range add {
		c.spots = append(c.spots, s)
		c.left = append(c.left, s.tasks*k-e.usedOn(j, s.w))
		s.w.idle += c.left[len(c.left)-1]
		s.w.claims = append(s.w.claims, c)
		e.pool.update(s.w)
	}
	return true
}

func (e *Engine) usedOn(j *job, w *worker) int {
	n := 0
	for _, s := range j.spots {
		if s.w == w {
			n += s.tasks * j.req.Shape.Each
		}
	}
	return n
}
