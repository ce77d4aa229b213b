package leader

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// Regardless of the number of nodes, together they poll the owner at most about 500 times a second, and
// each learns how many nodes there are.
func TestPollRateIsBoundedForManyNodes(t *testing.T) {
	cases := map[string]struct {
		nodes    int
		perSecLo int
		perSecHi int
	}{
		"nine":          {9, 30, 42},
		"three hundred": {300, 380, 620},
		"two thousand":  {2000, 380, 620},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				base := time.Now()
				l := &Candidate{Now: func() time.Duration { return time.Since(base) + time.Hour }}
				polls, nodes := 0, 0
				next := make([]time.Duration, c.nodes)
				for i := range next {
					next[i] = time.Duration(i) * pollInterval / time.Duration(c.nodes)
				}
				for ms := range 30_000 {
					now := time.Duration(ms) * time.Millisecond
					for i := range next {
						if next[i] > now {
							continue
						}
						nodes = l.countPoll()
						next[i] = now + pollIntervalFor(nodes)
						if ms >= 20_000 {
							polls++
						}
					}
					time.Sleep(time.Millisecond)
				}
				is.True(polls/10 >= c.perSecLo && polls/10 <= c.perSecHi)
				is.True(nodes > c.nodes*7/10 && nodes < c.nodes*13/10)
			})
		})
	}
}
