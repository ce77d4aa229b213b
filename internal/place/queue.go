package place

import (
	"cmp"
	"slices"

	"greengageline/pkg/model"
)

type jobState int

const (
	jobQueued  jobState = iota
	jobWaiting          // placed, evictions under way
	jobStarted
)

// job is one job that is queued or holds places.
type job struct {
	req     Request
	ws      *workspace
	lane    *lane
	state   jobState
	mode    model.Mode
	claim   *claim
	spots   []spot
	started int64
	expect  int64 // when it is expected to end, in ms
	leaving bool  // being evicted or lost
	hold    *hold
	reason  string // of the newest placement
	// moves counts how often it was evicted to make room for a larger job.
	moves int
	// holdAfter is when a hold may next be considered, in ms.
	holdAfter int64
	// failed and avoid are nil until the first failure.
	failed []*worker
	avoid  map[*worker]bool
}

func (j *job) accelerators() int { return j.req.Shape.Accelerators() }

// preemptible reports whether the job may be stopped and started again.
func (j *job) preemptible() bool { return j.req.Idempotent }

// laneKey separates jobs that the policy treats alike, so that one failed
// search answers for a whole lane.
type laneKey struct {
	ws         string
	shape      model.Shape
	urgent     bool
	idempotent bool
}

// lane is a queue of like jobs in order of arrival.
type lane struct {
	key  laneKey
	ws   *workspace
	jobs []*job
	// score orders lanes within a pass; lower goes first.
	score float64
	// hopelessSince is when its jobs were first seen unable to run, in ms.
	hopelessSince int64
}

func compareJobs(a, b *job) int {
	return cmp.Or(cmp.Compare(a.req.ArrivedMs, b.req.ArrivedMs), cmp.Compare(a.req.ID, b.req.ID))
}

func (l *lane) insert(j *job) {
	at, _ := slices.BinarySearchFunc(l.jobs, j, compareJobs)
	l.jobs = slices.Insert(l.jobs, at, j)
}

func (l *lane) remove(j *job) {
	if len(l.jobs) > 0 && l.jobs[0] == j {
		l.jobs = l.jobs[1:]
		return
	}
	if at, ok := slices.BinarySearchFunc(l.jobs, j, compareJobs); ok {
		l.jobs = slices.Delete(l.jobs, at, at+1)
	}
}

// workspace is a tenant's state.
type workspace struct {
	name    string
	conf    Workspace
	gone    bool // no longer configured; its jobs run out
	claims  []*claim
	queued  int
	inUse   int // accelerators of placed jobs
	borrows int // accelerators of placed jobs without a claim
}

func (w *workspace) weight() float64 {
	if w.conf.Weight > 0 {
		return w.conf.Weight
	}
	return 1
}

func (e *Engine) enqueue(j *job) {
	key := laneKey{j.req.Workspace, j.req.Shape, j.req.Urgent, j.req.Idempotent}
	l := e.lanes[key]
	if l == nil {
		l = &lane{key: key, ws: j.ws}
		e.lanes[key] = l
		e.order = append(e.order, l)
	}
	j.lane = l
	j.state = jobQueued
	j.ws.queued++
	l.insert(j)
}

// dequeue takes the job out of its lane and forgets an empty lane.
func (e *Engine) dequeue(j *job) {
	l := j.lane
	if l == nil {
		return
	}
	l.remove(j)
	j.lane = nil
	j.ws.queued--
	if len(l.jobs) == 0 {
		delete(e.lanes, l.key)
		e.order = slices.DeleteFunc(e.order, func(x *lane) bool { return x == l })
	}
}

// sortLanes orders lanes for a pass by their scores, and equals by age.
func (e *Engine) sortLanes() []*lane {
	order := slices.Clone(e.order)
	for _, l := range order {
		l.score = e.score(l)
	}
	slices.SortFunc(order, func(a, b *lane) int {
		return cmp.Or(
			cmp.Compare(a.score, b.score),
			compareJobs(a.jobs[0], b.jobs[0]))
	})
	return order
}

const urgentScore = -1e18

// score is lower for what should go first. An older job's score falls with its
// wait, relative to its run time if the policy puts short jobs first, so that
// none is passed over for ever; borrowed use against the weight raises it.
func (e *Engine) score(l *lane) float64 {
	if l.key.urgent {
		return urgentScore
	}
	j := l.jobs[0]
	wait := float64(e.now-j.req.ArrivedMs) + 1
	if e.policy.ShortFirst {
		run := e.guess.expect(j.req)
		wait = (wait + float64(run)) / float64(max(run, 1))
	}
	used := 1 + float64(l.ws.borrows)/l.ws.weight()
	return -wait / used
}
