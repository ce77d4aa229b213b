package sched

import (
	"cmp"
	"slices"
)

// candidate is a worker on which n tasks of a group fit.
type candidate struct {
	w       *worker
	n       int
	freeSum float64
	doubt   int // as returned by doubt
	order   int // as returned by speedOrder
	at      int // its position among the workers considered
}

// compareCandidates orders candidates as they are filled: workers that have answered and have no recent failures come
// first, then those whose speed suits the group, and of those the fullest.
func compareCandidates(a, b candidate) int {
	return cmp.Or(cmp.Compare(a.doubt, b.doubt), cmp.Compare(a.order, b.order), cmp.Compare(a.freeSum, b.freeSum), cmp.Compare(a.at, b.at))
}

// doubt returns how doubtful it is that the worker carries out a run of the group: 0 for one that has answered and has no
// recent failures, 2 for one in quarantine or on which one of the waiting tasks failed last, and else 1.
func (g *group) doubt(w *worker, now Moment) int {
	switch {
	case w.failureStreak == 0 && !w.Unproven:
		return 0
	case w.quarantined(now) || g.failedOn(w):
		return 2
	}
	return 1
}

// failedOn reports whether one of the waiting tasks failed last on the worker.
func (g *group) failedOn(w *worker) bool {
	return slices.ContainsFunc(g.waiting, func(i int) bool { return g.batch.Tasks[i].failedOn == w.ID })
}

// minShortlist is the least number of candidates after which a shortlist is cut.
const minShortlist = 16

// shortlist collects the first candidates in the order of compareCandidates, without sorting all of them.
type shortlist struct {
	list  []candidate
	limit int  // how many candidates are needed
	cut   bool // list[limit-1] was the last of those needed when the list was cut last
}

// add adds a candidate unless it is certainly not needed.
func (s *shortlist) add(c candidate) {
	if s.cut && compareCandidates(c, s.list[s.limit-1]) > 0 {
		return
	}
	s.list = append(s.list, c)
	if len(s.list) >= 2*max(s.limit, minShortlist) {
		slices.SortFunc(s.list, compareCandidates)
		s.list, s.cut = s.list[:s.limit], true
	}
}

// sorted returns the candidates needed, in order.
func (s *shortlist) sorted() []candidate {
	slices.SortFunc(s.list, compareCandidates)
	return s.list[:min(len(s.list), s.limit)]
}

// assign returns a worker of the racks for each waiting task of the group, or nil if not all tasks fit.
func (e *Engine) assign(g *group, now Moment, racks ...*rack) []*worker {
	out := e.assignUpTo(g, now, racks...)
	if len(out) < len(g.waiting) {
		return nil
	}
	return out
}

// assignUpTo returns a worker of the racks for each of the first waiting tasks of the group, as many as fit.
func (e *Engine) assignUpTo(g *group, now Moment, racks ...*rack) []*worker {
	need, healthyOnly := g.step.Need(), g.needsHealthyWorkers()
	s := shortlist{list: e.candidatesBuffer[:0], limit: max(1, len(g.waiting))}
	all := e.gangBuffer[:0]
	at, fits := 0, 0
	for _, r := range racks {
		for _, w := range r.workers {
			at++
			free := w.free()
			if free.Times(need, 1) == 0 || !g.mayUse(w, healthyOnly, now) {
				continue
			}
			if n := free.Times(need, g.quota(w)); n > 0 {
				c := candidate{w, n, freeFractions(free, w.Room), g.doubt(w, now), g.speedOrder(w), at}
				fits += n
				if g.fit.uneven && g.step.Gang {
					all = append(all, c)
				} else {
					s.add(c)
				}
			}
		}
	}
	g.preferOneClass(all)
	for _, c := range all {
		s.add(c)
	}
	e.gangBuffer = all[:0]
	chosen := s.sorted()
	e.candidatesBuffer = s.list[:0]
	out := make([]*worker, 0, min(fits, len(g.waiting)))
	for _, c := range chosen {
		for range min(c.n, len(g.waiting)-len(out)) {
			out = append(out, c.w)
		}
	}
	return out
}
