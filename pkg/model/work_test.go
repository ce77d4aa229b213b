package model

import (
	"errors"
	"testing"

	"github.com/matryer/is"
)

// Pattern: one malformed job. Each node that decides on it keeps a state for each of its tasks, so a job of too
// many must be refused before it is stored.
func TestWorkCheckBoundsTasks(t *testing.T) {
	step := func(n int) Step { return Step{Tasks: n} }
	cases := map[string]struct {
		work Work
		ok   bool
	}{
		"one task":                     {Work{Steps: []Step{step(1)}}, true},
		"largest":                      {Work{Steps: []Step{step(1000), step(1000)}, Repeats: MaxWorkTasks / 2000}, true},
		"one repetition more":          {Work{Steps: []Step{step(1000), step(1000)}, Repeats: MaxWorkTasks/2000 + 1}, false},
		"many steps":                   {Work{Steps: []Step{step(1000), step(1000), step(1000), step(1000), step(1000), step(1000), step(1000), step(1000), step(1000), step(1000), step(1)}}, false},
		"a thousand million times":     {Work{Steps: []Step{step(1)}, Repeats: 1_000_000_000}, false},
		"as often as a number can say": {Work{Steps: []Step{step(1000)}, Repeats: int(^uint(0) >> 1)}, false},
		"negative times":               {Work{Steps: []Step{step(1)}, Repeats: -1}, false},
		"no task":                      {Work{Steps: []Step{step(0)}}, false},
		"step after itself":            {Work{Steps: []Step{{Tasks: 1, After: []int{0}}}}, false},
		"step after a later one":       {Work{Steps: []Step{{Tasks: 1, After: []int{1}}, step(1)}}, false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			tc.work.ID = "a"
			err := tc.work.Check()
			is.Equal(err == nil, tc.ok)
			is.True(tc.ok || errors.Is(err, ErrInvalid))
		})
	}
}
