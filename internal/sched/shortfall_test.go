package sched

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against an operator who is not told that an evacuation takes room which was promised, or is told of gangs that
// never fitted.
func TestShortfallsOfAnEvacuation(t *testing.T) {
	cases := map[string]struct {
		workers int
		racks   []string // evacuated
		gang    int      // members that fill a worker each; 0 means no gang
		want    []Shortfall
	}{
		"no evacuation":       {8, nil, 8, nil},
		"all fits":            {12, []string{"a"}, 8, nil},
		"guarantees in full":  {8, []string{"a"}, 4, nil}, // 32 guaranteed of 32 that are left
		"a gang":              {12, []string{"a"}, 9, []Shortfall{{"ws0", true, 72, 64, 1}}},
		"a gang never fitted": {12, []string{"a"}, 13, nil},
		"guarantees in part":  {12, []string{"a", "b"}, 0, []Shortfall{{"ws0", false, 24, 16, 0}, {"ws1", false, 24, 16, 0}}},
		"all zones evacuated": {4, []string{"a"}, 1, []Shortfall{{"ws0", false, 8, 0, 0}, {"ws0", true, 8, 0, 1}, {"ws1", false, 8, 0, 0}}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			e := newEngine(c.workers)
			if c.gang > 0 {
				s := evacuable(c.gang)
				s.Gang = true
				add(e, "g", "bulk", s)
			}
			for _, r := range c.racks {
				evacuateRack(e, r, time.Second)
			}
			is.Equal(e.Shortfalls(), c.want)
		})
	}
}
