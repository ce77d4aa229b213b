package speed

import "math"

// group is the state of workers that have something in common. The methods of a nil group do nothing.
type group struct {
	name    string
	members int
	sum     grid
	n       float64
	// mean and square are the sums of the members' speeds and of their squares.
	mean, square float64
}

// groups are the groups of a pool of one sort.
type groups struct {
	byName map[string]*group
	// matters is set if the differences between groups are larger than chance explains.
	matters bool
}

func (s *groups) join(name string) *group {
	if name == "" {
		return nil
	}
	if s.byName == nil {
		s.byName = map[string]*group{}
	}
	g := s.byName[name]
	if g == nil {
		g = &group{name: name}
		s.byName[name] = g
	}
	g.members++
	return g
}

func (s *groups) leave(g *group) {
	if g == nil {
		return
	}
	if g.members--; g.members == 0 {
		delete(s.byName, g.name)
	}
}

func (g *group) put(w *worker) {
	if g == nil {
		return
	}
	g.sum.add(&w.post, 1)
	g.n++
	g.mean += w.mean
	g.square += w.mean * w.mean
}

func (g *group) remove(w *worker) {
	if g == nil {
		return
	}
	g.sum.add(&w.post, -1)
	g.n--
	g.mean -= w.mean
	g.square -= w.mean * w.mean
}

// prior returns the prior of the group's members, by the prior of the pool.
func (g *group) prior(pool grid, s *groups) grid {
	if g == nil || !s.matters || g.n < 1 {
		return pool
	}
	return priorOf(&g.sum, g.n, &pool, groupWeight)
}

const (
	// minWithin is the least number of degrees of freedom for a test of the groups.
	minWithin = 10
	// significance is how many standard deviations above its expectation the ratio of variances must be.
	significance = 5
)

// test compares the variance between the groups with that within them, as an analysis of variance does.
func (s *groups) test(p *pool) {
	var k, n, sum, within, between float64
	for _, g := range s.byName {
		if g.n < 1 {
			continue
		}
		k, n, sum = k+1, n+g.n, sum+g.mean
		within += max(0, g.square-g.mean*g.mean/g.n)
		between += g.mean * g.mean / g.n
	}
	s.matters = false
	if !p.uneven || k < 2 || n-k < minWithin {
		return
	}
	between = (between - sum*sum/n) / (k - 1)
	within = max(within/(n-k), binWidth*binWidth/12)
	s.matters = between/within > 1+significance*math.Sqrt(2/(k-1)+2/(n-k))
}
