package place

import (
	"cmp"
	"slices"

	"greengageline/pkg/model"
)

// jobState is the state of a job that the engine knows.
type jobState int

const (
	jobQueued           jobState = iota
	jobAwaitingEviction          // placed, but evictions are under way
	jobStarted
)

// job is a job that is queued or has allocations. The engine owns it until the job ends.
type job struct {
	req           Request
	ws            *workspace
	queue         *jobQueue
	state         jobState
	mode          model.Mode
	claim         *claim
	allocs        []allocation
	startedMs     int64
	expectedEndMs int64
	stopping      bool // being evicted, cancelled or lost
	hold          *hold
	startReason   string // of the newest placement
	// moves counts how often the job was migrated for a larger job.
	moves int
	// holdRetryAtMs is when a hold may next be considered.
	holdRetryAtMs int64
	// failedOn and avoid are nil until the first failure.
	failedOn []*worker
	avoid    map[*worker]bool
}

func (j *job) accelerators() int { return j.req.Shape.Accelerators() }

// preemptible reports whether the job may be stopped and run again.
func (j *job) preemptible() bool { return j.req.Idempotent }

// queueKey identifies jobs that the policy treats alike. If one of them does not fit, neither do the
// others of its queue, unless they avoid different workers.
type queueKey struct {
	ws         string
	shape      model.Shape
	urgent     bool
	idempotent bool
}

// jobQueue holds queued jobs with the same key in order of arrival. It is never empty between events.
type jobQueue struct {
	key  queueKey
	ws   *workspace
	jobs []*job
	// score orders queues within a pass; the lowest goes first.
	score float64
	// infeasibleSinceMs is when the jobs were first found infeasible, or 0 if they are feasible.
	infeasibleSinceMs int64
}

// compareJobs orders jobs by arrival, and those that arrived together by ID.
func compareJobs(a, b *job) int {
	return cmp.Or(cmp.Compare(a.req.ArrivedMs, b.req.ArrivedMs), cmp.Compare(a.req.ID, b.req.ID))
}

func (q *jobQueue) insert(j *job) {
	at, _ := slices.BinarySearchFunc(q.jobs, j, compareJobs)
	q.jobs = slices.Insert(q.jobs, at, j)
}

func (q *jobQueue) remove(j *job) {
	if len(q.jobs) > 0 && q.jobs[0] == j {
		q.jobs = q.jobs[1:]
		return
	}
	if at, ok := slices.BinarySearchFunc(q.jobs, j, compareJobs); ok {
		q.jobs = slices.Delete(q.jobs, at, at+1)
	}
}

// workspace is the state of one tenant.
type workspace struct {
	name          string
	conf          Workspace
	removed       bool // no longer configured; its running jobs continue
	claims        []*claim
	queued        int
	inUse         int // accelerators of placed jobs
	outsideClaims int // accelerators of placed jobs without a claim
}

func (w *workspace) weight() float64 {
	if w.conf.Weight > 0 {
		return w.conf.Weight
	}
	return 1
}

// enqueue adds the job to the queue for its key, which it creates if necessary.
func (e *Engine) enqueue(j *job) {
	key := queueKey{j.req.Workspace, j.req.Shape, j.req.Urgent, j.req.Idempotent}
	q := e.queues[key]
	if q == nil {
		q = &jobQueue{key: key, ws: j.ws}
		e.queues[key] = q
		e.queueOrder = append(e.queueOrder, q)
	}
	j.queue = q
	j.state = jobQueued
	j.ws.queued++
	q.insert(j)
}

// dequeue takes the job out of its queue and deletes the queue if it is then empty.
func (e *Engine) dequeue(j *job) {
	q := j.queue
	if q == nil {
		return
	}
	q.remove(j)
	j.queue = nil
	j.ws.queued--
	if len(q.jobs) == 0 {
		delete(e.queues, q.key)
		e.queueOrder = slices.DeleteFunc(e.queueOrder, func(x *jobQueue) bool { return x == q })
	}
}

// sortQueues returns the queues in scheduling order: by score, and equals by the age of their first
// jobs.
func (e *Engine) sortQueues() []*jobQueue {
	order := slices.Clone(e.queueOrder)
	for _, q := range order {
		q.score = e.score(q)
	}
	slices.SortFunc(order, func(a, b *jobQueue) int {
		return cmp.Or(
			cmp.Compare(a.score, b.score),
			compareJobs(a.jobs[0], b.jobs[0]))
	})
	return order
}

// urgentScore puts urgent jobs before all others.
const urgentScore = -1e18

// score returns the queue's priority; lower goes first. It falls as the first job waits, so that no
// job starves. If the policy puts short jobs first, the wait counts relative to the expected run time.
// Use outside claims, relative to the workspace's weight, raises the score.
func (e *Engine) score(q *jobQueue) float64 {
	if q.key.urgent {
		return urgentScore
	}
	j := q.jobs[0]
	wait := float64(e.now-j.req.ArrivedMs) + 1
	if e.policy.ShortFirst {
		run := e.estimator.expected(j.req)
		wait = (wait + float64(run)) / float64(max(run, 1))
	}
	used := 1 + float64(q.ws.outsideClaims)/q.ws.weight()
	return -wait / used
}
