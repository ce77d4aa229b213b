package speed

import "math"

const (
	// priorWeight is the weight of basePrior in the prior of a pool, in workers; groupWeight is that of the pool's prior in
	// the prior of a group.
	priorWeight = 2
	groupWeight = 6
	// leastPrior bounds the prior of each speed from below, so that a single worker that differs can be found in the
	// largest pool: seven samples outweigh it.
	leastPrior = 3e-5
	// differsMass and surelyMass are the probabilities from which a worker counts as different, and counts so on its own.
	differsMass = 0.98
	surelyMass  = 0.9995
	// staysMass is the probability down to which a worker goes on to count as it did.
	staysMass = 0.9
	// minEvidence is the weight of the samples from which a worker can count as different: two samples, one of them
	// partly forgotten.
	minEvidence = 1.5
	// minDiffering and differingPart say how many workers must differ before a pool is uneven, if none does so surely.
	minDiffering  = 3
	differingPart = 0.01
	// recentred is the part of the pool's offset by which new comparisons are corrected.
	recentred = 0.3
	// groupInterval is the number of refreshes between two tests of the groups.
	groupInterval = 128
)

// pool is the state of the workers of a pool.
type pool struct {
	workers []*worker
	sum     grid    // sum of the posteriors of the n workers with samples
	n       float64 // workers with samples
	sampled int     // workers with two samples or more
	// center is the logarithm of the median factor.
	center float64
	// tallied is the center by which it was decided which workers differ.
	tallied float64
	uneven  bool
	// differing and surely count the workers that differ, and those of them that do so surely.
	differing, surely int
	// noise is the standard deviation of the logarithm of the times of like runs on one worker.
	noise      float64
	kinds      groups
	racks      groups
	refreshes  int
	fresh      int // samples
	nextWorker int
	cached     grid // the prior
	cachedOK   bool
}

// pool returns a pool and creates it if there is none.
func (t *Table) pool(name string) *pool {
	p := t.pools[name]
	if p == nil {
		p = &pool{noise: 0.25}
		t.pools[name] = p
	}
	return p
}

// prior returns the distribution of the speeds of the pool's workers.
func (p *pool) prior() *grid {
	if !p.cachedOK {
		p.cached = priorOf(&p.sum, p.n, &basePrior, priorWeight)
		p.cachedOK = true
	}
	return &p.cached
}

// priorOf returns the prior from the sum of n posteriors and a base of some weight.
func priorOf(sum *grid, n float64, base *grid, weight float32) (out grid) {
	scale := 1 / (float32(n) + weight)
	for i := range out {
		out[i] = max((sum[i]+weight*base[i])*scale, leastPrior)
	}
	return out
}

// join adds a worker to a pool and to its groups.
func (t *Table) join(w *worker, p *pool) {
	w.pool, w.at = p, len(p.workers)
	p.workers = append(p.workers, w)
	w.kind, w.rack = p.kinds.join(w.Kind), p.racks.join(w.Rack)
}

// leave removes a worker from its pool and its groups.
func (t *Table) leave(w *worker) {
	p := w.pool
	p.uncount(w)
	p.tally(w, notTallied)
	last := p.workers[len(p.workers)-1]
	p.workers[w.at], last.at = last, w.at
	p.workers = p.workers[:len(p.workers)-1]
	p.kinds.leave(w.kind)
	p.racks.leave(w.rack)
	if w.inSampled {
		w.inSampled = false
		p.sampled--
	}
	w.pool, w.kind, w.rack = nil, nil, nil
	p.judge()
}

// uncount takes the worker's posterior out of the sums.
func (p *pool) uncount(w *worker) {
	if !w.counted {
		return
	}
	w.counted = false
	p.sum.add(&w.post, -1)
	p.n--
	w.kind.remove(w)
	w.rack.remove(w)
	p.cachedOK = false
}

// count puts the worker's posterior into the sums.
func (p *pool) count(w *worker) {
	w.counted = true
	p.sum.add(&w.post, 1)
	p.n++
	w.kind.put(w)
	w.rack.put(w)
	p.cachedOK = false
}

// refresh computes the worker's posterior anew and what follows from it.
func (t *Table) refresh(w *worker) {
	p := w.pool
	p.uncount(w)
	w.cachedOK = false
	prior := priorOf(&p.sum, p.n, &basePrior, priorWeight)
	prior = w.kind.prior(prior, &p.kinds)
	prior = w.rack.prior(prior, &p.racks)
	if w.used == 0 {
		w.post = prior
	} else {
		w.post = grid{}
		w.evidence = 0
		for i := range w.used {
			e := &w.ring[i]
			weight := e.weight * w.fresh(e, t.now)
			w.evidence += weight
			w.post.addSample(e.z, e.sd, weight)
		}
		w.post.toPosterior(&prior)
	}
	w.mean, w.variance = w.post.moments()
	w.noteTurn(t.now)
	w.settled = w.post.massNear(w.mean, openWidth)
	w.differs = 1 - w.post.massNear(p.center, differs)
	if w.used == 0 {
		return
	}
	p.count(w)
	if !w.inSampled && w.evidence >= minEvidence {
		w.inSampled = true
		p.sampled++
	}
	p.tally(w, w.tally())
	p.judge()
	if p.refreshes++; p.refreshes%max(groupInterval, len(p.racks.byName)) == 0 {
		p.kinds.test(p)
		p.racks.test(p)
	}
	p.recenter()
	w.class = w.classify(w.class)
	t.noteClass(w)
	t.noteStored(w)
}

// noteClass records a change of a worker's class since it was last recorded. That a worker is typical at first is no change.
func (t *Table) noteClass(w *worker) {
	is, was := w.classNow(), w.noted
	if is == was || len(t.changes) >= maxChanges {
		return
	}
	w.noted = is
	if is != Typical || was != Unknown {
		t.changes = append(t.changes, Change{Worker: w.ID, From: was, To: is, Estimate: w.estimate()})
	}
}

// tally returns how the worker counts in the decision whether its pool is even.
func (w *worker) tally() tally {
	switch {
	case w.evidence < minEvidence:
		return notTallied
	case w.differs >= surelyMass:
		return surelyTallied
	case w.differs >= differsMass:
		return max(w.tallied, differsTallied)
	case w.differs >= staysMass:
		return w.tallied
	}
	return notTallied
}

// tally records how the worker counts in the decision whether the pool is even.
func (p *pool) tally(w *worker, to tally) {
	p.addTally(w.tallied, -1)
	p.addTally(to, 1)
	w.tallied = to
}

func (p *pool) addTally(k tally, sign int) {
	if k >= differsTallied {
		p.differing += sign
	}
	if k == surelyTallied {
		p.surely += sign
	}
}

// judge decides whether the pool is even.
func (p *pool) judge() {
	need := minDiffering + differingPart*p.n
	switch {
	case p.surely > 0 || float64(p.differing) >= need:
		p.uneven = true
	case float64(p.differing) < need/2:
		p.uneven = false
	}
}

// recenter moves the center if it is no longer a median of the speeds. Between two halves of the pool any speed is a
// median, so the center stays.
func (p *pool) recenter() {
	if p.n < 3 {
		return
	}
	low, high := p.sum.quantile(0.45, p.n), p.sum.quantile(0.55, p.n)
	p.center = min(max(p.center, low-binWidth/2), high+binWidth/2)
	if !p.uneven && math.Abs(p.center) < binWidth {
		p.center = 0
	}
	if math.Abs(p.center-p.tallied) > binWidth/2 {
		p.tallied = p.center
		p.tallyAll()
	}
}

// tallyAll decides again which workers differ, after the center has moved.
func (p *pool) tallyAll() {
	for _, w := range p.workers {
		w.differs = 1 - w.post.massNear(p.center, differs)
		if w.used > 0 {
			p.tally(w, w.tally())
			w.class = w.classify(w.class)
		}
	}
	p.judge()
}
