package cell

import (
	"testing"

	"github.com/matryer/is"

	"greengageline/pkg/model"
)

// Pattern: a caller asks for the end of a long job again and again, and waits for a moment each time. Guards against watchers
// that have left and are kept until the job ends, and against the loss of those that have not.
func TestWatchersThatHaveLeftAreRemoved(t *testing.T) {
	is := is.New(t)
	var j openJob
	var staying []*watcher
	for i := range 10_000 {
		w := &watcher{ended: make(chan model.Job, 1)}
		j.watch(w)
		if i%1000 == 0 {
			staying = append(staying, w)
			continue
		}
		w.left.Store(true)
	}
	is.True(len(j.watchers) <= 2*(len(staying)+minWatchers))
	for _, w := range j.watchers {
		w.ended <- model.Job{}
	}
	for _, w := range staying {
		is.Equal(len(w.ended), 1)
	}
}
