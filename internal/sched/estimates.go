package sched

import (
	"slices"
	"time"

	"greengageline/pkg/model"
)

// estimateErrors tells how far the estimates of a queue's steps are off: by the last steps that have ended, the time of
// the slowest run as a multiple of the estimate times the factor of its worker.
type estimateErrors struct {
	ratios [errorSamples]float64
	n, at  int // how many ratios there are, and where the next one is put
	// usual and safe are the multiples within which half and safeQuantile of the steps end.
	usual, safe float64
}

const (
	// errorSamples is the number of steps by which the errors are judged: enough for the quantiles, and few enough to
	// follow the load within a minute.
	errorSamples = 64
	// safeQuantile is the fraction of steps that end within the safe multiple of their estimate. A higher one would
	// be set by the few tasks that take several times as long as the others, which no worker is fast enough for.
	safeQuantile = 0.8
	// maxSafe bounds the safe multiple, against the usual one.
	maxSafe = 2.0
)

// priorErrors stand for steps that have ended, until enough have: estimates are off by 20 to 50 %.
var priorErrors = [...]float64{0.7, 0.9, 1, 1.15, 1.3, 1.5}

// newEstimateErrors returns the errors of a queue of which no step has ended and whose tasks take pace times as long as
// their estimates on a typical worker.
func newEstimateErrors(pace float64) *estimateErrors {
	q := &estimateErrors{}
	for _, ratio := range priorErrors {
		q.observe(pace * ratio)
	}
	return q
}

// observe adds the ratio of a step that has ended.
func (q *estimateErrors) observe(ratio float64) {
	q.ratios[q.at] = ratio
	q.at, q.n = (q.at+1)%errorSamples, min(q.n+1, errorSamples)
	sorted := q.ratios
	slices.Sort(sorted[:q.n])
	q.usual = sorted[(q.n-1)/2]
	q.safe = min(sorted[int(safeQuantile*float64(q.n-1))], maxSafe*q.usual)
}

// errorsOf returns what is known of the errors of the estimates of a queue.
func (e *Engine) errorsOf(queue string) *estimateErrors {
	q := e.estimateErrors[queue]
	if q == nil {
		q = newEstimateErrors(e.typicalPace(queue))
		e.estimateErrors[queue] = q
	}
	return q
}

// typicalPace returns how many times as long as its estimate a task of the queue takes on a typical worker, as far as
// that is known before the workers of the pool were known to differ.
func (e *Engine) typicalPace(queue string) float64 {
	if e.paceOf != nil {
		return e.paceOf(queue)
	}
	return e.Speeds.Pace(queue)
}

// noteStepEnd notes how long a run of the batch took that has ended as done, and once all of the batch has ended, adds
// the slowest run to what is known of the estimates of its queue. For a gang, t is the member that ended first, and the
// factor that of its slowest member. Steps whose runs began before this owner, from a checkpoint or on an unknown worker
// tell nothing, and neither do those of a pool whose workers are not known to differ, where nothing uses it.
func (e *Engine) noteStepEnd(b *Batch, t *Task, step *model.Step, q model.Queue, now Moment) {
	took := now.Steady - t.placedAt
	estimate := time.Duration(step.EstimateMs) * time.Millisecond
	if !e.uneven[q.Pool] || estimate <= 0 || took <= 0 {
		return
	}
	factor, known := e.workerFactor(t.Worker)
	for i := range b.Tasks {
		if step.Gang {
			f, ok := e.workerFactor(b.Tasks[i].Worker)
			factor, known = max(factor, f), known && ok
		}
	}
	b.unmeasured = b.unmeasured || !known
	b.slowestRun = max(b.slowestRun, float64(took)/(float64(estimate)*factor))
	if b.ended < len(b.Tasks) || b.unmeasured || e.ranAway(b, step) {
		return
	}
	e.errorsOf(q.Name).observe(b.slowestRun)
}

// ranAway reports whether tasks of the batch took longer because they were on several racks or away from their data.
func (e *Engine) ranAway(b *Batch, step *model.Step) bool {
	if !step.OneRack && step.DataRack == "" {
		return false
	}
	home := step.DataRack
	for i := range b.Tasks {
		w := e.workers[b.Tasks[i].Worker]
		if w == nil || home != "" && w.Rack != home {
			return true
		}
		home = w.Rack
	}
	return false
}

// workerFactor returns the factor of a worker as of the last refresh, and whether it is known.
func (e *Engine) workerFactor(id string) (factor float64, known bool) {
	if w := e.workers[id]; w != nil && w.speed.known {
		return w.speed.factor, true
	}
	return 1, false
}

// lateness returns the lateness of the job's occurrence k and the time until its goal, as Job.lateness does. Where the
// workers differ, its steps are expected to take as long as usual on the fastest ones, and those that run as long as they
// take where they are.
func (e *Engine) lateness(j *Job, k int, q model.Queue, now Moment) (lateness, float64) {
	return j.lateness(k, q, now, e.remainingMs(j, k, q, now))
}

// remainingMs estimates the time until occurrence k of the job ends, in ms, as lateness expects it.
func (e *Engine) remainingMs(j *Job, k int, q model.Queue, now Moment) int64 {
	if !e.uneven[q.Pool] {
		return j.remainingMs(k, nil)
	}
	return j.remainingMs(k, func(b *Batch, s *model.Step) int64 { return e.stepRemainingMs(b, s, q, now) })
}

// stepRemainingMs estimates how long a step still takes that has not ended.
func (e *Engine) stepRemainingMs(b *Batch, s *model.Step, q model.Queue, now Moment) int64 {
	took := float64(s.EstimateMs) * e.errorsOf(q.Name).usual
	longest := 0.0
	for i := range b.Tasks {
		t := &b.Tasks[i]
		switch t.Phase {
		case Placed:
			f, _ := e.workerFactor(t.Worker)
			longest = max(longest, took*f-float64((now.Steady-t.placedAt).Milliseconds()))
		case Waiting:
			longest = max(longest, took*e.fastest[q.Pool])
		case Ended:
		}
	}
	return int64(longest)
}
