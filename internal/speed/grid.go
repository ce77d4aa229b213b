package speed

import "math"

// The speed of a worker is estimated as a distribution over the logarithm of its factor, on a grid.
const (
	bins     = 32
	binWidth = 0.1
	zeroBin  = 12 // the grid reaches from 0.30 to 6.7 times the typical time
	// slowTail is how likely a sample above the speed by tailFrom or more is, relative to one at the speed, and otherTail the
	// same of any other sample far from the speed: 3 % of the tasks take seven times as long, and hardly any is far from its
	// like otherwise. slowTail is above that share, so that such tasks alone never make a pool look uneven.
	slowTail  = 0.06
	otherTail = 0.015
	tailFrom  = 1.2
	// lossStep is the resolution of the tables of log-likelihoods in standard deviations, lossSize their length.
	lossStep = 16
	lossSize = 6 * lossStep
)

// grid is a weight for each speed of the grid.
type grid [bins]float32

// slowLoss and otherLoss are the log-likelihoods of a sample that is above the speed by tailFrom or more, and of any other,
// by its distance from the speed.
var slowLoss, otherLoss = lossTable(slowTail), lossTable(otherTail)

func lossTable(tail float64) (out [lossSize + 1]float32) {
	for i := range out {
		r := float64(i) / lossStep
		out[i] = float32(math.Log((math.Exp(-r*r/2) + tail) / (1 + tail)))
	}
	out[lossSize] = float32(math.Log(tail / (1 + tail)))
	return out
}

// speedAt returns the logarithm of the factor at a bin.
func speedAt(i int) float64 { return float64(i-zeroBin) * binWidth }

// addSample adds to the log-likelihoods those of a sample z with a standard deviation, with a weight.
func (g *grid) addSample(z, sd, weight float32) {
	scale := lossStep / sd
	for i := range g {
		d := z - float32(i-zeroBin)*binWidth
		if d >= tailFrom {
			g[i] += weight * slowLoss[int(min(d*scale, lossSize))]
		} else {
			g[i] += weight * otherLoss[int(min(max(d, -d)*scale, lossSize))]
		}
	}
}

// toPosterior turns log-likelihoods into the posterior distribution under a prior.
func (g *grid) toPosterior(prior *grid) {
	best := float32(math.Inf(-1))
	for i := range g {
		best = max(best, g[i])
	}
	sum := float32(0)
	for i := range g {
		d := g[i] - best
		if d < -20 {
			g[i] = 0
			continue
		}
		g[i] = prior[i] * float32(math.Exp(float64(d)))
		sum += g[i]
	}
	if sum <= 0 {
		*g = *prior
		return
	}
	for i := range g {
		g[i] /= sum
	}
}

// moments returns the mean and the variance of a distribution.
func (g *grid) moments() (mean, variance float64) {
	for i, p := range g {
		x := speedAt(i)
		mean += float64(p) * x
		variance += float64(p) * x * x
	}
	return mean, max(variance-mean*mean, 0) + binWidth*binWidth/12
}

// massNear returns the probability of a speed within width of x.
func (g *grid) massNear(x, width float64) float64 {
	sum := 0.0
	for i, p := range g {
		if math.Abs(speedAt(i)-x) <= width {
			sum += float64(p)
		}
	}
	return sum
}

// quantile returns the speed below which a fraction of the weight lies.
func (g *grid) quantile(fraction, total float64) float64 {
	left := fraction * total
	for i, p := range g {
		if left <= float64(p) && p > 0 {
			return speedAt(i) + (left/float64(p)-0.5)*binWidth
		}
		left -= float64(p)
	}
	return speedAt(bins - 1)
}

func (g *grid) add(o *grid, sign float32) {
	for i := range g {
		g[i] = max(0, g[i]+sign*o[i])
	}
}

// basePrior is the prior of the speeds of a pool before anything is known.
var basePrior = func() (out grid) {
	for i := range out {
		out[i] = 0.2 / (bins - 3)
	}
	out[zeroBin-1], out[zeroBin], out[zeroBin+1] = 0.1, 0.6, 0.1
	return out
}()
