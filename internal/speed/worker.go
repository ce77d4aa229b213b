package speed

import (
	"math"
	"time"
)

const (
	// ringSize is the number of latest runs that a worker's estimate rests on. With a noise of 30 % between tasks it
	// is then known to 10 %.
	ringSize = 8
	// forgetTime is the time in which the weight of a sample falls to 1/e.
	// It is long, since a worker that gets no work tells nothing, and samples that contradict the estimate replace those
	// before at once.
	forgetTime = time.Hour
	// turnedBy is the difference from its usual speed, as a logarithm, from which a worker has turned slow. Most such
	// workers are back at their usual speed within seconds and get too few runs to show it, so the samples lose their weight
	// in turnedForgetTime and are dropped after turnedTime, unless usualSamples agree with each other within agreeWidth.
	turnedBy         = 0.3
	turnedForgetTime = 5 * time.Second
	turnedTime       = 30 * time.Second
	usualSamples     = 6
	agreeWidth       = 0.35
	// tick is the resolution of the times of samples.
	tick = 100 * time.Millisecond
	// rebornWeight is the weight of what an earlier incarnation has shown, in samples.
	rebornWeight = 0.7
	// maxRestored bounds the weight of a restored estimate, in samples.
	maxRestored = 4
	// differs is the least difference from the typical speed that counts, as a logarithm: 16 %. Half of it counts as noise.
	differs = 0.15
	// enterMass and leaveMass are the probabilities of a speed from which a worker enters its class and below which it
	// leaves it.
	enterMass = 0.9
	leaveMass = 0.5
	// openWidth is how far a speed may lie from the mean of a settled estimate.
	openWidth = 0.25
	// deviation is how many standard deviations from the estimate a sample is that may contradict it.
	deviation = 2
	// contradiction is the log-likelihood ratio from which the latest samples contradict those before. Two tails in a
	// row give 5.6, but only if they agree with each other.
	contradiction = 4.5
)

// entry is a comparison of one run on a worker with others: z is the logarithm of its factor.
type entry struct {
	z, sd, weight float32
	at            uint32 // in ticks
	step          uint32
	task          int32
}

// worker is the state of a worker.
type worker struct {
	Worker
	key        uint64
	pool       *pool
	kind, rack *group
	at         int // its place in pool.workers
	ring       [ringSize]entry
	used, next int
	samples    int
	post       grid
	// counted is set while post is part of the sums of the pool and the groups, in which the worker's speed counts as
	// mean.
	counted, inSampled bool
	mean, variance     float64
	evidence           float32 // weight of the samples
	// usual is the speed on which the samples last agreed, if usualOK is set. turnedAt is when the worker turned slow, in
	// ticks; 0 if it has not.
	usual        float64
	usualOK      bool
	turnedAt     uint32
	settled      float64 // probability of a speed near the mean
	differs      float64 // probability of a speed that differs from the typical one
	class, noted Class   // by the estimate; as last recorded
	tallied      tally
	// storedMean, storedWeight and storedClass are what counts as stored.
	storedMean   float64
	storedWeight float32
	storedClass  Class
	// cached is the estimate at the center cachedAt of the pool, if cachedOK is set.
	cached   Estimate
	cachedAt float64
	cachedOK bool
}

// tally is how a worker counts in the decision whether its pool is even.
type tally uint8

const (
	notTallied tally = iota
	differsTallied
	surelyTallied
)

// known reports whether the worker's speed is known well.
func (w *worker) known() bool { return w.used > ringSize/2 && w.settled >= settledMass }

// find returns the index of the entry of a run, or -1.
func (w *worker) find(step uint32, task int32) int {
	for i := range w.used {
		if w.ring[i].step == step && w.ring[i].task == task {
			return i
		}
	}
	return -1
}

// put adds an entry and reports whether it is of another run than the others.
func (w *worker) put(e entry) bool {
	if i := w.find(e.step, e.task); i >= 0 {
		w.ring[i] = e
		return false
	}
	w.ring[w.next] = e
	w.next = (w.next + 1) % ringSize
	w.used = min(w.used+1, ringSize)
	w.samples++
	return true
}

// latest returns the entry that was added last but back others.
func (w *worker) latest(back int) *entry { return &w.ring[(w.next-1-back+2*ringSize)%ringSize] }

// keepLatest forgets all but the n latest entries.
func (w *worker) keepLatest(n int) {
	var ring [ringSize]entry
	for i := range n {
		ring[n-1-i] = *w.latest(i)
	}
	w.ring, w.used, w.next = ring, n, n%ringSize
}

// weaken reduces the weight of what is known to that of a weak prior, after a restart of the worker.
func (w *worker) weaken(now time.Duration) {
	if w.used == 0 {
		return
	}
	r := w.record(now)
	r.weight = min(r.weight, rebornWeight)
	w.restore(r, now)
}

// summary returns the robust mean of the entries, their standard deviation and their total weight, at most
// maxRestored.
func (w *worker) summary(now time.Duration) (z, sd, weight float32) {
	var sum, precision float32
	for i := range w.used {
		e := &w.ring[i]
		if math.Abs(float64(e.z)-w.mean) > deviation*float64(e.sd)+openWidth && w.used > 2 {
			continue
		}
		a := e.weight * w.fresh(e, now)
		p := a / (e.sd * e.sd)
		sum, precision, weight = sum+p*e.z, precision+p, weight+a
	}
	if precision == 0 {
		return float32(w.mean), 1, 0
	}
	return sum / precision, float32(math.Sqrt(float64(weight / precision))), min(weight, maxRestored)
}

// fresh returns the part of an entry's weight that is not forgotten.
func (w *worker) fresh(e *entry, now time.Duration) float32 {
	age := float64(now/tick) - float64(e.at)
	if age <= 0 {
		return 1
	}
	forget := forgetTime
	if w.turnedAt > 0 {
		forget = turnedForgetTime
	}
	return float32(math.Exp(-age * tick.Seconds() / forget.Seconds()))
}

// noteTurn records whether the worker has turned slow, and forgets its samples once that is long ago.
func (w *worker) noteTurn(now time.Duration) {
	switch {
	case w.turnedAt == 0 && w.usualOK && w.mean-w.usual > turnedBy:
		w.turnedAt = uint32(max(1, now/tick)) //nolint:gosec // wraps after 13 years
	case w.turnedAt > 0 && now/tick > time.Duration(w.turnedAt)+turnedTime/tick:
		w.used, w.next, w.turnedAt = 0, 0, 0
	}
}

// noteUsual records the worker's speed as its usual one if enough samples agree on it.
func (w *worker) noteUsual() {
	agree := 0
	for i := range w.used {
		if math.Abs(float64(w.ring[i].z)-w.mean) <= agreeWidth {
			agree++
		}
	}
	if agree >= usualSamples {
		w.usual, w.usualOK, w.turnedAt = w.mean, true, 0
	}
}

// contradicted reports how many of the latest entries contradict those before; 0 if none do.
func (w *worker) contradicted() int {
	last := w.latest(0)
	if w.used < 3 || math.Abs(float64(last.z)-w.mean) < deviation*float64(last.sd) {
		return 0
	}
	for n := 2; n <= 3 && n < w.used; n++ {
		var recent, before grid
		for i := range w.used {
			e := w.latest(i)
			if i < n {
				recent.addSample(e.z, e.sd, 1)
			} else {
				before.addSample(e.z, e.sd, e.weight)
			}
		}
		was, is := before.peak(), recent.peak()
		need := float32(contradiction)
		if n == 2 && w.pool.prior()[is] < 0.05 {
			continue // this speed is not usual in the pool, so that a third sample must confirm it
		}
		if recent[is]-recent[was] > need {
			return n
		}
	}
	return 0
}

// peak returns the bin of the largest weight.
func (g *grid) peak() int {
	best := 0
	for i := range g {
		if g[i] > g[best] {
			best = i
		}
	}
	return best
}

// estimate returns the worker's factor relative to its pool.
func (w *worker) estimate() Estimate {
	e := Estimate{Factor: 1, Low: 1, High: 1, Samples: w.samples}
	if w.pool == nil || !w.pool.uneven {
		return e
	}
	if w.cachedOK && w.cachedAt == w.pool.center {
		return w.cached
	}
	x, sd := w.mean-w.pool.center, math.Sqrt(w.variance)
	if math.Abs(x) < differs/2 || w.used == 0 && !w.pool.kinds.matters && !w.pool.racks.matters {
		x = 0
	}
	e.Factor, e.Low, e.High = math.Exp(x), math.Exp(x-sd), math.Exp(x+sd)
	w.cached, w.cachedAt, w.cachedOK = e, w.pool.center, true
	return e
}

// classNow returns the worker's present class.
func (w *worker) classNow() Class {
	if w.used == 0 {
		return Unknown
	}
	if w.pool == nil || !w.pool.uneven {
		return Typical
	}
	return w.class
}

// classify returns the class by the estimate. A worker enters a class with enterMass and stays in it down to leaveMass, so
// that it does not change again and again between two.
func (w *worker) classify(old Class) Class {
	var below, above float64
	for i, p := range w.post {
		switch x := speedAt(i) - w.pool.center; {
		case x > differs:
			above += float64(p)
		case x < -differs:
			below += float64(p)
		}
	}
	switch {
	case above >= enterMass || old == Slow && above >= leaveMass:
		return Slow
	case below >= enterMass || old == Fast && below >= leaveMass:
		return Fast
	}
	return Typical
}
