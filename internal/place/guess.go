package place

import "math"

// guess corrects declared run times by each workspace's and class's own
// history of real against declared; the zero value believes what is declared.
type guess struct {
	seen map[guessKey]*history
}

type guessKey struct{ workspace, class string }

// history holds the moving mean and variance of ln(real/declared).
type history struct {
	n              int
	mean, variance float64
}

const (
	historyRate   = 0.2 // weight of a new observation
	historyWarm   = 5   // observations before the history is used
	minRatio      = 0.05
	maxRatio      = 20.0
	upperDeviates = 1.0 // standard deviations above the mean for upper
)

func (g *guess) observe(r Request, realMs int64) {
	if r.EstimateMs <= 0 || realMs <= 0 {
		return
	}
	if g.seen == nil {
		g.seen = map[guessKey]*history{}
	}
	key := guessKey{r.Workspace, r.Class}
	h := g.seen[key]
	if h == nil {
		h = &history{}
		g.seen[key] = h
	}
	h.add(math.Log(float64(realMs) / float64(r.EstimateMs)))
}

func (h *history) add(x float64) {
	h.n++
	rate := max(historyRate, 1/float64(h.n))
	d := x - h.mean
	h.mean += rate * d
	h.variance = (1 - rate) * (h.variance + rate*d*d)
}

// expect returns the likely run time in ms.
func (g *guess) expect(r Request) int64 { return g.scaled(r, 0) }

// upper returns a run time in ms that is rarely exceeded.
func (g *guess) upper(r Request) int64 { return g.scaled(r, upperDeviates) }

func (g *guess) scaled(r Request, deviates float64) int64 {
	h := g.seen[guessKey{r.Workspace, r.Class}]
	if h == nil || h.n < historyWarm {
		return r.EstimateMs
	}
	ratio := math.Exp(h.mean + deviates*math.Sqrt(h.variance))
	return int64(float64(r.EstimateMs) * min(max(ratio, minRatio), maxRatio))
}
