package speed

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// maxSteps bounds the steps that are kept for comparisons, and maxMembers the runs of each.
	maxSteps   = 4096
	maxMembers = 32
	// minPercent is the least progress from which a time is inferred. Percents are whole numbers.
	minPercent = 3
	// lagTime is the uncertainty of the time of a report.
	lagTime = 0.02
	// maxLog bounds the logarithm of an inferred time in seconds.
	maxLog = 20
	// clip is how many standard deviations from the median a run counts in full in the mean of the others.
	clip = 1.5
	// sweepFactor is by how much a step must have grown before its members are compared anew.
	sweepFactor = 3
	// enoughOthers is the number of others from which more of them hardly make a comparison more precise.
	enoughOthers = 4
	// refreshInterval is the number of samples after which one more worker is brought up to date.
	refreshInterval = 4
	// maxSd bounds the standard deviation of a comparison.
	maxSd = 2
)

// member is a run of a step. y is the logarithm of the time that its whole work takes in seconds, and v the variance of
// y for want of precision.
type member struct {
	w    *worker
	task int32
	y, v float32
	// compared is the number of others that it has been compared with.
	compared int
}

// step is a step of one occurrence of a job.
type step struct {
	name    string
	id      uint32
	queue   *queue
	est     float64 // logarithm of the estimate in seconds; NaN if there is none
	members []member
	next    int // the member that is replaced next once there are maxMembers
	swept   int // number of members when all were compared last
}

// stepCache holds the latest steps.
type stepCache struct {
	byName map[string]*step
	ring   []*step
	next   int
	lastID uint32
}

// get returns a step and creates it if there is none; the oldest one is reused if there are too many.
func (c *stepCache) get(name string) (s *step, created bool) {
	if s = c.byName[name]; s != nil {
		return s, false
	}
	if c.byName == nil {
		c.byName = map[string]*step{}
	}
	c.lastID++
	if len(c.ring) < maxSteps {
		s = &step{}
		c.ring = append(c.ring, s)
	} else {
		s = c.ring[c.next]
		c.next = (c.next + 1) % maxSteps
		delete(c.byName, s.name)
	}
	clear(s.members)
	*s = step{name: name, id: c.lastID, est: math.NaN(), members: s.members[:0]}
	c.byName[name] = s
	return s, true
}

// queue is what is known of the estimates of a queue: a task takes exp(bias) times its estimate on a typical worker,
// and the estimates of steps differ from that by the standard deviation spread.
type queue struct {
	bias, spread float64
	n            int
}

// queueOf returns a queue and creates it if there is none.
func (t *Table) queueOf(name string) *queue {
	q := t.queues[name]
	if q == nil {
		q = &queue{spread: 0.4}
		t.queues[name] = q
	}
	return q
}

// Observe adds a sample.
func (t *Table) Observe(s Sample) {
	w := t.workers[s.Worker]
	if w == nil || s.Ran <= 0 || s.Percent < minPercent || s.Percent > 100 || s.Percent == 100 && !s.Ended {
		return
	}
	t.now = max(t.now, s.At)
	st, created := t.steps.get(s.Step)
	if created {
		st.queue = t.queueOf(s.Queue)
	}
	if s.Estimate > 0 && math.IsNaN(st.est) {
		st.est = math.Log(s.Estimate.Seconds())
	}
	m := memberOf(w, s)
	at := st.put(m)
	if created {
		st.queue.learn(w, m, st.est)
	}
	fresh := t.compare(st, at, s.At)
	if n := len(st.members); n >= sweepFactor*st.swept && n > 1 {
		st.swept = n
		t.compareOthers(st, m, s.At)
	}
	if w.pool.fresh++; fresh && w.pool.fresh%refreshInterval == 0 {
		t.refreshNext(w.pool)
	}
}

// compareOthers compares the other members of a step anew, since there are more to compare them with now. Those whose
// speed is known gain nothing by more than enoughOthers.
func (t *Table) compareOthers(s *step, m member, at time.Duration) {
	for i := range s.members {
		if o := &s.members[i]; o.w.pool != nil && (!o.w.known() || o.compared < enoughOthers) && (o.w != m.w || o.task != m.task) {
			t.compare(s, o, at)
		}
	}
}

// refreshNext brings one worker of the pool up to date, since the priors change with each sample.
func (t *Table) refreshNext(p *pool) {
	if len(p.workers) > 1 {
		p.nextWorker = (p.nextWorker + 1) % len(p.workers)
		t.refresh(p.workers[p.nextWorker])
	}
}

// memberOf returns the run that a sample tells of. A report of a percent means that the work done is up to one more.
func memberOf(w *worker, s Sample) member {
	done := float64(s.Percent)
	sd := 0.0
	if !s.Ended {
		done += 0.5
		sd = 0.3 / done
	}
	lag := lagTime / s.Ran.Seconds()
	y := math.Log(s.Ran.Seconds() * 100 / done)
	return member{w: w, task: int32(s.Task), y: float32(min(max(y, -maxLog), maxLog)), v: float32(sd*sd + lag*lag)} //nolint:gosec // only a name
}

// put adds a member or replaces that of the same run, and returns it.
func (s *step) put(m member) *member {
	for i := range s.members {
		if s.members[i].w == m.w && s.members[i].task == m.task {
			s.members[i] = m
			return &s.members[i]
		}
	}
	if len(s.members) < maxMembers {
		s.members = append(s.members, m)
		return &s.members[len(s.members)-1]
	}
	at := &s.members[s.next]
	*at = m
	s.next = (s.next + 1) % maxMembers
	return at
}

// learn corrects the bias and the spread of the queue by the first run of a step. The median of the spread is tracked,
// which tails don't move.
func (q *queue) learn(w *worker, m member, est float64) {
	if math.IsNaN(est) {
		return
	}
	r := float64(m.y) - w.mean - est - q.bias
	q.n++
	rate := max(0.03, 1/float64(q.n+1))
	q.bias += rate * min(max(r, -1), 1)
	trackMedian(&q.spread, math.Abs(r)/q.spread, 0.1, 1)
}

// trackMedian moves a standard deviation towards the one for which the median of |r| is that of a normal distribution.
func trackMedian(sd *float64, r, least, most float64) {
	const normalMedian, rate = 0.6745, 0.02
	if r > normalMedian {
		*sd = min(*sd*(1+rate), most)
	} else {
		*sd = max(*sd/(1+rate), least)
	}
}

// other is what a run is compared with: the logarithm of the time that the work takes on a typical worker by another
// run or by the estimate, and the variance of that.
type other struct{ y, v float64 }

// compare compares a member with the others of its step and with the estimate, and reports whether its run was not
// known at the worker before.
func (t *Table) compare(s *step, m *member, at time.Duration) bool {
	w := m.w
	noise := w.pool.noise * w.pool.noise
	list := t.others[:0]
	for i := range s.members {
		if o := &s.members[i]; o.w != w && o.w.pool != nil {
			list = append(list, other{float64(o.y) - o.w.mean, noise + float64(o.v) + o.w.variance})
		}
	}
	if !math.IsNaN(s.est) {
		list = append(list, other{s.est + s.queue.bias, s.queue.spread * s.queue.spread})
	}
	m.compared = len(list)
	t.others = list
	if len(list) == 0 {
		return false
	}
	center, v := robustMean(list)
	sd := min(math.Sqrt(noise+float64(m.v)+v), maxSd)
	e := entry{
		z: float32(float64(m.y) - center - recentred*w.pool.center), sd: float32(sd), weight: 1,
		at: uint32(max(at, 0) / tick), step: s.id, task: m.task, //nolint:gosec // wraps after 13 years
	}
	fresh := w.put(e)
	if fresh && w.used > 1 {
		if before := w.latest(1); before.step != s.id && before.weight == 1 {
			d := math.Abs(float64(e.z-before.z)) / math.Sqrt(float64(e.sd*e.sd+before.sd*before.sd))
			trackMedian(&w.pool.noise, d, 0.05, 0.6)
		}
	}
	if fresh {
		if n := w.contradicted(); n > 0 {
			w.keepLatest(n)
		}
	}
	t.refresh(w)
	if fresh {
		w.noteUsual()
	}
	return fresh
}

// robustMean returns the mean of the others by their precision, with those far from the median clipped, and its
// variance.
func robustMean(list []other) (mean, variance float64) {
	slices.SortFunc(list, func(a, b other) int { return cmp.Compare(a.y, b.y) })
	total := 0.0
	for i := range list {
		total += 1 / list[i].v
	}
	median, left := list[len(list)-1].y, total/2
	for i := range list {
		left -= 1 / list[i].v
		if left <= 0 {
			median = list[i].y
			if left == 0 && i+1 < len(list) {
				median = (median + list[i+1].y) / 2
			}
			break
		}
	}
	sum := 0.0
	for i := range list {
		bound := clip * math.Sqrt(list[i].v)
		sum += min(max(list[i].y-median, -bound), bound) / list[i].v
	}
	return median + sum/total, 1.1 / total
}
