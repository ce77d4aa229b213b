package sched

import (
	"math"
	"time"

	"greengageline/pkg/model"
)

// estimateError tracks how far the estimates of a queue's steps are off: quantiles of the time that a step's slowest run
// takes, as a multiple of its estimate times the factor of its worker. It is on a logarithmic scale. The zero value
// stands for a queue of which no step has ended.
type estimateError struct {
	median, high float64
	samples      int
}

const (
	// safeQuantile is the fraction of steps that end within the safe multiple of their estimate. A higher one would
	// be set by the few tasks that take several times as long as the others, which no worker is fast enough for.
	safeQuantile = 0.8
	// priorMargin is the safe multiple before any step has ended: estimates are off by 20 to 50 %.
	priorMargin = 1.3
	// maxError bounds the multiples both ways.
	maxError = 2.0
	// minErrorStep is the change of a quantile with one sample once there are many; before, it is 1/samples.
	minErrorStep, maxErrorStep = 0.04, 0.2
)

// usual returns the multiple within which half of the steps end.
func (q estimateError) usual() float64 { return math.Exp(q.median) }

// safe returns the multiple within which safeQuantile of the steps end.
func (q estimateError) safe() float64 { return math.Exp(max(q.median, q.high+math.Log(priorMargin))) }

// observe adds a sample. A quantile moves by a fixed step towards the sample, so that a few very long tasks move it as
// little as any other.
func (q *estimateError) observe(ratio float64) {
	q.samples++
	step := min(maxErrorStep, max(minErrorStep, 1/float64(q.samples)))
	q.median = moveQuantile(q.median, 0.5, step, math.Log(ratio))
	q.high = moveQuantile(q.high+math.Log(priorMargin), safeQuantile, step, math.Log(ratio)) - math.Log(priorMargin)
}

// moveQuantile returns an estimate of a quantile after a sample.
func moveQuantile(old, quantile, step, sample float64) float64 {
	if sample > old {
		old += step * quantile
	} else {
		old -= step * (1 - quantile)
	}
	return max(-math.Log(maxError), min(math.Log(maxError), old))
}

// observeEnd notes how long a run of the batch took that has ended as done, and once all of the batch has ended, adds
// the slowest run to what is known of the estimates of its queue. For a gang, t is the member that ended first, and the
// factor that of its slowest member. Steps whose runs began before this owner or from a checkpoint tell nothing.
func (e *Engine) observeEnd(b *Batch, t *Task, step *model.Step, queue string, now Moment) {
	factor := e.workerFactor(t.Worker)
	if step.Gang {
		for i := range b.Tasks {
			factor = max(factor, e.workerFactor(b.Tasks[i].Worker))
		}
	}
	took := now.Steady - t.placedAt
	estimate := time.Duration(step.EstimateMs) * time.Millisecond
	if estimate <= 0 || took <= 0 {
		return
	}
	b.slowestRun = max(b.slowestRun, float64(took)/(float64(estimate)*factor))
	if b.ended < len(b.Tasks) || b.unmeasured || e.ranAway(b, step) {
		return
	}
	q := e.estimateErrors[queue]
	q.observe(b.slowestRun)
	e.estimateErrors[queue] = q
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

// workerFactor returns the factor of a worker as of the last refresh; 1 if it is unknown.
func (e *Engine) workerFactor(id string) float64 {
	if w := e.workers[id]; w != nil && w.speed.known && e.uneven[w.Pool] {
		return w.speed.factor
	}
	return 1
}
