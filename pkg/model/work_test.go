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

// Guards against a job with a number at the limits of its type, which spoils the sums that other jobs are weighed
// with, and against one that no row holds.
func TestWorkCheckBoundsNumbers(t *testing.T) {
	const (
		largest  = int64(^uint64(0) >> 1)
		smallest = -largest - 1
	)
	set := map[string]func(w *Work, n int64){
		"millicores":   func(w *Work, n int64) { w.Steps[0].Each.Millicores = int(n) },
		"memory":       func(w *Work, n int64) { w.Steps[0].Each.MemoryMB = int(n) },
		"accelerators": func(w *Work, n int64) { w.Steps[0].Each.Accelerators = int(n) },
		"estimate":     func(w *Work, n int64) { w.Steps[0].EstimateMs = n },
		"target":       func(w *Work, n int64) { w.Steps[0].TargetMs = n },
		"per worker":   func(w *Work, n int64) { w.Steps[0].PerWorker = int(n) },
		"may miss":     func(w *Work, n int64) { w.Steps[0].MayMiss = int(n) },
		"tasks":        func(w *Work, n int64) { w.Steps[0].Tasks = int(n) },
		"repeats":      func(w *Work, n int64) { w.Repeats = int(n) },
		"first":        func(w *Work, n int64) { w.FirstMs = n },
		"every":        func(w *Work, n int64) { w.EveryMs = n },
	}
	harmless := map[string]bool{"per worker": true, "may miss": true} // the largest number means no bound
	for field, put := range set {
		for name, n := range map[string]int64{"largest": largest, "smallest": smallest, "minus one": -1, "one": 1} {
			t.Run(field+"/"+name, func(t *testing.T) {
				is := is.New(t)
				w := Work{ID: "a", Steps: []Step{{Tasks: 1}}}
				put(&w, n)
				err := w.Check()
				is.Equal(err == nil, n == 1 || n == largest && harmless[field])
				is.True(err == nil || errors.Is(err, ErrInvalid))
			})
		}
	}
}
