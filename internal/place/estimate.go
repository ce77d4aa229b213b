package place

import "math"

// runTimeEstimator corrects declared run times by the history of actual to declared run times of the
// same job class. The zero value uses declared run times unchanged.
type runTimeEstimator struct {
	histories map[jobClass]*history
}

// jobClass is a class of jobs within a workspace, which are expected to behave alike.
type jobClass struct{ workspace, class string }

// history holds the exponentially weighted mean and variance of ln(actual/declared).
type history struct {
	n              int
	mean, variance float64
}

const (
	minObservationWeight = 0.2 // of the newest observation
	minObservations      = 5   // before the history is used
	minRatio             = 0.05
	maxRatio             = 20.0
	upperDeviations      = 1.0 // standard deviations above the mean, for upperBound
)

// observe records the actual run time of a finished job, in ms.
func (e *runTimeEstimator) observe(r Request, actualMs int64) {
	if r.EstimateMs <= 0 || actualMs <= 0 {
		return
	}
	if e.histories == nil {
		e.histories = map[jobClass]*history{}
	}
	key := jobClass{r.Workspace, r.Class}
	h := e.histories[key]
	if h == nil {
		h = &history{}
		e.histories[key] = h
	}
	h.add(math.Log(float64(actualMs) / float64(r.EstimateMs)))
}

// add adds an observation. The first ones get equal weights.
func (h *history) add(x float64) {
	h.n++
	rate := max(minObservationWeight, 1/float64(h.n))
	d := x - h.mean
	h.mean += rate * d
	h.variance = (1 - rate) * (h.variance + rate*d*d)
}

// expected returns the expected run time in ms.
func (e *runTimeEstimator) expected(r Request) int64 { return e.scaled(r, 0) }

// upperBound returns a run time in ms that jobs rarely exceed.
func (e *runTimeEstimator) upperBound(r Request) int64 { return e.scaled(r, upperDeviations) }

// scaled returns the declared run time in ms, corrected by the class's mean ratio plus the given
// number of standard deviations.
func (e *runTimeEstimator) scaled(r Request, deviations float64) int64 {
	h := e.histories[jobClass{r.Workspace, r.Class}]
	if h == nil || h.n < minObservations {
		return r.EstimateMs
	}
	ratio := math.Exp(h.mean + deviations*math.Sqrt(h.variance))
	return int64(float64(r.EstimateMs) * min(max(ratio, minRatio), maxRatio))
}
