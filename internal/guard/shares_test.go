package guard

import (
	"testing"

	"github.com/matryer/is"
)

// Pattern: one workspace submits jobs without end. Guards against an owner that runs out of memory, and against a workspace
// or a kind of jobs that shuts out the others.
func TestSharesLeaveRoom(t *testing.T) {
	const mega = 1 << 20
	for name, c := range map[string]struct {
		size int64
		most int64 // bytes that one workspace gets
	}{
		"large jobs": {mega, 16 * mega},
		"small jobs": {4 << 10, 29 * mega},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := &Shares{Limit: 32 * mega}
			for b.Reserve("greedy", c.size) {
				is.True(b.Left() >= 0)
			}
			is.True(b.Used() >= c.most-mega && b.Used() <= c.most)
			is.True(b.Reserve("other", 4<<10)) // another workspace is served
			is.True(b.Reserve("other", mega))
			b.Change("other", -mega)
			b.Change("greedy", -2*mega)
			is.True(b.Reserve("greedy", c.size)) // and this one once jobs have gone
		})
	}
	is.New(t).True((&Shares{}).Reserve("a", 1<<40)) // the zero value has no bound
}
