package place

import (
	"cmp"
	"fmt"
	"slices"

	"greengageline/pkg/model"
)

// maxAvoiders bounds how many jobs at the head of a lane are tried when they
// only wait because they avoid workers on which they failed.
const maxAvoiders = 4

// maxBackfill bounds the jobs of a lane that are weighed for held places.
const maxBackfill = 16

// miss is a search that found nothing; it stands until capacity comes free.
type miss struct {
	view  view
	scope scope
	shape model.Shape
}

// missed reports whether an easier search has already failed.
func (e *Engine) missed(q query) bool {
	return slices.ContainsFunc(e.misses, func(m miss) bool {
		return m.view == q.view && m.scope >= q.scope &&
			m.shape.Tasks <= q.shape.Tasks && m.shape.Each <= q.shape.Each
	})
}

func (e *Engine) find(q query) []spot {
	if e.missed(q) {
		return nil
	}
	spots := e.pool.find(q)
	if spots == nil && len(q.avoid) == 0 {
		e.misses = append(e.misses, miss{q.view, q.scope, q.shape})
	}
	return spots
}

// pass starts what waited for evictions or for held places, and then queued
// jobs while any fits, one of each lane in turn.
func (e *Engine) pass() {
	if !e.ready {
		return
	}
	e.startWaiting()
	e.serveHolds()
	blocked := map[*lane]bool{}
	for progress := true; progress; {
		progress = false
		for _, l := range e.sortLanes() {
			if blocked[l] || len(l.jobs) == 0 {
				continue
			}
			if e.tryLane(l) {
				progress = true
				continue
			}
			blocked[l] = true
		}
	}
	e.considerHolds()
}

func (e *Engine) tryLane(l *lane) bool {
	for i := 0; i < min(len(l.jobs), maxAvoiders); i++ {
		j := l.jobs[i]
		if e.tryStart(j) {
			return true
		}
		if j.avoid == nil {
			break
		}
	}
	return e.backfillLane(l)
}

// backfillLane looks behind a blocked head for a job that is short enough for
// held places; the lane's jobs have one shape, but not one run time.
func (e *Engine) backfillLane(l *lane) bool {
	if len(e.holds) == 0 || e.overQuota(l.jobs[0]) {
		return false
	}
	for i := 1; i < min(len(l.jobs), maxBackfill); i++ {
		if e.tryBackfill(l.jobs[i]) {
			return true
		}
	}
	return false
}

func (e *Engine) overQuota(j *job) bool {
	q := j.ws.conf.Quota
	return q > 0 && j.ws.inUse+j.accelerators() > q
}

// tryStart places the job if the policy lets it: in its workspace's share if
// nobody has to go, on open places, inside a gap of held places, in its share by
// evicting borrowers, or, if urgent, wherever borrowers are.
func (e *Engine) tryStart(j *job) bool {
	if e.overQuota(j) {
		return false
	}
	c, spots, evict := e.pickClaim(j)
	if c != nil && evict == 0 {
		e.place(j, model.Guaranteed, c, spots, "uses its share "+c.id)
		return true
	}
	if e.tryProbe(j) || e.tryOpen(j) || e.tryBackfill(j) {
		return true
	}
	if c != nil {
		e.place(j, model.Guaranteed, c, spots, fmt.Sprintf("reclaims %d accelerators of its share %s", evict, c.id))
		return true
	}
	return e.tryUrgent(j)
}

const probeReason = "probes a worker after quarantine"

// tryProbe gives a worker on probation a job that may be run again.
func (e *Engine) tryProbe(j *job) bool {
	r := j.req
	if r.Shape.Tasks != 1 || !r.Idempotent || r.Urgent {
		return false
	}
	for _, w := range e.probing {
		if len(w.jobs) == 0 && w.size >= r.Shape.Each && !j.avoid[w] {
			e.place(j, model.Borrowed, nil, []spot{{w, 1}}, probeReason)
			return true
		}
	}
	return false
}

// scopeFor returns how far apart the gang may be placed now: a gang that fits
// a rack waits for one as long as the policy says.
func (e *Engine) scopeFor(j *job) scope {
	s, _ := e.pool.widest(j.req.Shape)
	if s == scopeRack && e.now-j.req.ArrivedMs >= e.policy.RackPatienceMs {
		return scopeZone
	}
	return s
}

func (e *Engine) tryOpen(j *job) bool {
	q := query{view: viewSpare, shape: j.req.Shape, scope: e.scopeFor(j), avoid: j.avoid}
	mode := model.Spare
	if j.preemptible() {
		mode = model.Borrowed
	}
	if spots := e.find(q); spots != nil {
		e.place(j, mode, nil, spots, "best fit on places that no share needs")
		return true
	}
	if mode == model.Spare {
		return false
	}
	q.view = viewOpen
	spots := e.find(q)
	if spots == nil {
		return false
	}
	e.place(j, mode, nil, spots, "best fit on unused shares of others, until they are reclaimed")
	return true
}

// tryUrgent evicts borrowers for an urgent job that has no share to use.
func (e *Engine) tryUrgent(j *job) bool {
	if !j.req.Urgent {
		return false
	}
	q := query{view: viewRoom, shape: j.req.Shape, scope: e.scopeFor(j), avoid: j.avoid}
	spots := e.find(q)
	if spots == nil {
		return false
	}
	e.place(j, model.Spare, nil, spots, "urgent: borrowers give way")
	return true
}

// place gives the job its places, evicts who is in the way, and starts it as
// soon as nobody is.
func (e *Engine) place(j *job, mode model.Mode, c *claim, spots []spot, reason string) {
	e.dropHold(j.hold, "")
	e.dequeue(j)
	j.mode = mode
	if c != nil {
		e.use(c, j, spots)
	}
	for _, s := range spots {
		e.occupy(j, s)
	}
	j.ws.inUse += j.accelerators()
	if mode != model.Guaranteed {
		j.ws.borrows += j.accelerators()
	}
	for _, s := range spots {
		e.makeRoom(s.w, j)
	}
	j.reason = reason
	if j.blocked() {
		j.state = jobWaiting
		e.waiting = append(e.waiting, j)
		return
	}
	e.start(j)
}

func (e *Engine) start(j *job) {
	j.state = jobStarted
	j.started = e.now
	j.expect = e.now + e.guess.expect(j.req)
	d := Decision{
		Kind: Start, Job: j.req.ID, Workspace: j.req.Workspace, Mode: j.mode,
		Accelerators: j.accelerators(), Reason: j.reason,
	}
	if j.claim != nil {
		d.Claim = j.claim.id
	}
	for _, s := range j.spots {
		d.Shares = append(d.Shares, Share{Worker: s.w.vm.ID, Tasks: s.tasks})
	}
	e.decide(d)
}

// blocked reports whether an eviction must still end on one of its places.
func (j *job) blocked() bool {
	return slices.ContainsFunc(j.spots, func(s spot) bool { return s.w.overfull() })
}

func (e *Engine) startWaiting() {
	for _, j := range slices.Clone(e.waiting) {
		if j.blocked() {
			continue
		}
		e.waiting = slices.DeleteFunc(e.waiting, func(x *job) bool { return x == j })
		e.start(j)
	}
}

// makeRoom evicts borrowers from an overfull worker, the least loss first.
func (e *Engine) makeRoom(w *worker, by *job) {
	for w.firm+w.borrowed-leavingOn(w) > w.size {
		victim := e.cheapest(w, func(*job) bool { return true })
		if victim == nil {
			return
		}
		e.evict(victim, fmt.Sprintf("job %s of workspace %s takes its place on %s",
			by.req.ID, by.req.Workspace, w.vm.ID))
	}
}

// leavingOn counts the borrowed accelerators whose eviction is under way.
func leavingOn(w *worker) int {
	n := 0
	for _, j := range w.jobs {
		if j.mode != model.Borrowed || !j.leaving {
			continue
		}
		for _, s := range j.spots {
			if s.w == w {
				n += s.tasks * j.req.Shape.Each
			}
		}
	}
	return n
}

// cheapest returns the borrower whose eviction loses least, of those allowed.
func (e *Engine) cheapest(w *worker, allowed func(*job) bool) *job {
	var best *job
	for _, j := range w.jobs {
		if j.mode != model.Borrowed || j.leaving || !allowed(j) {
			continue
		}
		if best == nil || cmp.Or(
			cmp.Compare(e.loss(j), e.loss(best)),
			cmp.Compare(j.req.ID, best.req.ID)) < 0 {
			best = j
		}
	}
	return best
}

// loss is what evicting the job wastes, in accelerator-ms.
func (e *Engine) loss(j *job) int64 {
	ran := e.now - j.started
	if j.req.Checkpoint {
		ran = min(ran, e.policy.MoveCostMs)
	}
	return ran * int64(j.accelerators())
}

func (e *Engine) evict(j *job, reason string) {
	if j.leaving {
		return
	}
	j.leaving = true
	if j.state == jobWaiting {
		e.unplace(j)
		return
	}
	e.decide(Decision{
		Kind: Evict, Job: j.req.ID, Workspace: j.req.Workspace, Mode: j.mode,
		Accelerators: j.accelerators(), Reason: reason,
	})
}
