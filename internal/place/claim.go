package place

import (
	"cmp"
	"fmt"
	"slices"

	"greengageline/pkg/model"
)

// claim is one guaranteed shape of a workspace. Its spots are the witness: a
// concrete place where the shape can be formed now, because no firm work of
// others is there.
//
// left[i] counts the accelerators of spots[i] that no job of the claim uses;
// they are part of that worker's idle count. A claim at risk has no spots for
// part of its shape.
type claim struct {
	id    string
	ws    *workspace
	shape model.Shape
	spots []spot
	left  []int
	users []*job
	risk  bool
}

func claimID(ws string, shape model.Shape, i int) string {
	return fmt.Sprintf("%s/%dx%d/%d", ws, shape.Tasks, shape.Each, i)
}

// addSpots gives the claim further places and sets their accelerators aside.
func (e *Engine) addSpots(c *claim, spots []spot) {
	for _, s := range spots {
		n := s.tasks * c.shape.Each
		c.spots = append(c.spots, s)
		c.left = append(c.left, n)
		s.w.idle += n
		s.w.claims = append(s.w.claims, c)
		e.pool.update(s.w)
	}
}

// dropSpot takes one place from the claim.
func (e *Engine) dropSpot(c *claim, i int) {
	w := c.spots[i].w
	w.idle -= c.left[i]
	if at := slices.Index(w.claims, c); at >= 0 {
		w.claims = slices.Delete(w.claims, at, at+1)
	}
	e.pool.update(w)
	e.roomier()
	c.spots = slices.Delete(c.spots, i, i+1)
	c.left = slices.Delete(c.left, i, i+1)
}

func (e *Engine) dropAll(c *claim) {
	for len(c.spots) > 0 {
		e.dropSpot(c, len(c.spots)-1)
	}
}

// missing returns how many tasks of the shape have no place; what jobs do not
// use of a place on a worker that takes no work counts as missing.
func (c *claim) missing() int {
	n := c.shape.Tasks
	for i, s := range c.spots {
		n -= s.tasks
		if !s.w.holdsShares() {
			n += (c.left[i] + c.shape.Each - 1) / c.shape.Each
		}
	}
	return n
}

// holdsShares reports whether the worker may take a share's next job.
func (w *worker) holdsShares() bool { return w.state == workerUp || w.state == workerCooling }

// mend gives the claim a whole witness again after a loss. Parts that jobs
// use stay; an unused claim is placed anew as a whole, so that it is adjacent.
func (e *Engine) mend(c *claim) bool {
	for i := len(c.spots) - 1; i >= 0; i-- {
		surplus := c.missing()+c.spots[i].tasks <= 0
		if (surplus || !c.spots[i].w.holdsShares()) && c.left[i] == c.spots[i].tasks*c.shape.Each {
			e.dropSpot(c, i)
		}
	}
	n := c.missing()
	if n <= 0 {
		return true
	}
	shape := model.Shape{Tasks: n, Each: c.shape.Each}
	if len(c.users) == 0 {
		e.dropAll(c)
		shape = c.shape
	}
	spots := e.findWitness(shape)
	e.addSpots(c, spots)
	return spots != nil
}

// findWitness looks for a place that no hold waits for, then for any.
func (e *Engine) findWitness(shape model.Shape) []spot {
	q := query{view: viewRoom, shape: shape, scope: scopeCell, avoid: e.heldWorkers()}
	spots := e.pool.find(q)
	if spots != nil || q.avoid == nil {
		return spots
	}
	q.avoid = nil
	return e.pool.find(q)
}

// stepAside moves unused claims off held places, if they find room elsewhere:
// else their workspace's next jobs would keep the gang waiting.
func (e *Engine) stepAside(h *hold) {
	avoid := e.heldWorkers()
	for _, s := range h.spots {
		for _, c := range slices.Clone(s.w.claims) {
			if len(c.users) > 0 || c.missing() > 0 {
				continue
			}
			old, misses := slices.Clone(c.spots), slices.Clone(e.misses)
			e.dropAll(c)
			to := e.pool.find(query{view: viewSpare, shape: c.shape, scope: scopeZone, avoid: avoid})
			if to == nil {
				to, e.misses = old, misses
			}
			e.addSpots(c, to)
		}
	}
}

// mendAll mends claims, the largest first, and raises or ends their risks.
func (e *Engine) mendAll(claims []*claim) {
	sortClaims(claims)
	failed := false
	for _, c := range claims {
		if !e.mend(c) {
			failed = true
		}
	}
	if failed {
		e.repack()
	}
	for _, c := range claims {
		e.setRisk(c)
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

// repack places all unused claims anew, the hardest first, because the room
// for one may be split by the witnesses of others.
func (e *Engine) repack() {
	var unused []*claim
	for _, ws := range e.byName {
		for _, c := range ws.claims {
			if len(c.users) == 0 {
				unused = append(unused, c)
			}
		}
	}
	sortClaims(unused)
	for _, c := range unused {
		e.dropAll(c)
	}
	for _, c := range unused {
		e.mend(c)
	}
	for _, c := range unused {
		e.setRisk(c)
	}
}

// setRisk compares the claim with what was last said about it.
func (e *Engine) setRisk(c *claim) {
	risk := c.missing() > 0
	if risk == c.risk {
		return
	}
	c.risk = risk
	d := Decision{
		Kind: RiskOver, Workspace: c.ws.name, Claim: c.id,
		Accelerators: c.shape.Accelerators(), Reason: "the share can be formed again",
	}
	e.atRisk = slices.DeleteFunc(e.atRisk, func(x *claim) bool { return x == c })
	if risk {
		d.Kind = Risk
		d.Accelerators = min(c.missing(), c.shape.Tasks) * c.shape.Each
		d.Reason = "no place is left for this part of the share"
		e.atRisk = append(e.atRisk, c)
	}
	e.decide(d)
}

// mendRisks retries claims at risk when capacity may have come back.
func (e *Engine) mendRisks() {
	if len(e.atRisk) == 0 {
		return
	}
	e.mendAll(slices.Clone(e.atRisk))
}

// fit returns places for the job inside the unused part of the claim, those
// without borrowers first, and how many accelerators must be evicted for it.
func (c *claim) fit(shape model.Shape) (spots []spot, evict int) {
	if shape.Each > c.shape.Each || shape.Tasks*shape.Each > c.shape.Accelerators() {
		return nil, 0
	}
	n := shape.Tasks
	for pass := range 2 {
		for i, s := range c.spots {
			if n == 0 || s.w.state != workerUp {
				continue
			}
			room := min(c.left[i], s.w.free()) / shape.Each
			if pass == 1 {
				room = c.left[i]/shape.Each - room
			}
			if take := min(room, n); take > 0 {
				spots = addTasks(spots, s.w, take)
				n -= take
				evict += pass * take * shape.Each
			}
		}
	}
	if n > 0 {
		return nil, 0
	}
	return spots, evict
}

func addTasks(spots []spot, w *worker, n int) []spot {
	for i := range spots {
		if spots[i].w == w {
			spots[i].tasks += n
			return spots
		}
	}
	return append(spots, spot{w, n})
}

// pickClaim returns the workspace's claim that serves the job with the least
// eviction; claims that are partly used go before unused ones.
func (e *Engine) pickClaim(j *job) (best *claim, spots []spot, evict int) {
	for _, c := range j.ws.claims {
		got, cost := c.fit(j.req.Shape)
		if got == nil || hits(got, j.avoid) {
			continue
		}
		if best == nil || betterClaim(c, cost, best, evict) {
			best, spots, evict = c, got, cost
		}
	}
	if best == nil || evict == 0 || len(best.users) > 0 {
		return best, spots, evict
	}
	return e.relocate(best, j, spots, evict)
}

func betterClaim(c *claim, cost int, best *claim, bestCost int) bool {
	return cmp.Or(
		cmp.Compare(cost, bestCost),
		cmp.Compare(len(best.users), len(c.users)),
		cmp.Compare(c.shape.Accelerators(), best.shape.Accelerators())) < 0
}

// relocate moves an unused claim's witness to open places, if there are any,
// so that nobody has to be evicted.
func (e *Engine) relocate(c *claim, j *job, spots []spot, evict int) (*claim, []spot, int) {
	old, misses := slices.Clone(c.spots), slices.Clone(e.misses)
	e.dropAll(c)
	to := e.pool.find(query{view: viewSpare, shape: c.shape, scope: scopeCell, avoid: j.avoid})
	if to == nil {
		e.addSpots(c, old)
		e.misses = misses
		return c, spots, evict
	}
	e.addSpots(c, to)
	got, cost := c.fit(j.req.Shape)
	return c, got, cost
}

func hits(spots []spot, avoid map[*worker]bool) bool {
	return slices.ContainsFunc(spots, func(s spot) bool { return avoid[s.w] })
}

// use moves accelerators of the claim from unused to used by the job.
func (e *Engine) use(c *claim, j *job, spots []spot) {
	c.users = append(c.users, j)
	j.claim = c
	for _, s := range spots {
		n := s.tasks * j.req.Shape.Each
		for i := range c.spots {
			if c.spots[i].w != s.w {
				continue
			}
			take := min(n, c.left[i])
			c.left[i] -= take
			s.w.idle -= take
			n -= take
		}
	}
}

// giveBack returns what the job used to its claim's witness.
func (e *Engine) giveBack(c *claim, j *job) {
	c.users = slices.DeleteFunc(c.users, func(x *job) bool { return x == j })
	j.claim = nil
	for _, s := range j.spots {
		n := s.tasks * j.req.Shape.Each
		for i := range c.spots {
			if c.spots[i].w != s.w {
				continue
			}
			back := min(n, c.spots[i].tasks*c.shape.Each-c.left[i])
			c.left[i] += back
			s.w.idle += back
			n -= back
		}
		e.pool.update(s.w)
	}
}
