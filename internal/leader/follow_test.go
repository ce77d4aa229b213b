package leader

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"greengageline/internal/rows"
	"greengageline/internal/sched"
)

// cancelLimit is how long after its confirmation, and after the connections were last disturbed, a cancelled job may
// still start tasks, by the users' rules.
const cancelLimit = 3 * time.Second

// Guards against a cancelled job that starts more tasks because the owner waits for the feed on a connection that
// has gone silent (UNASKED), at whatever moment of the wait that happens.
func TestCancelArrivesOverSilentFeed(t *testing.T) {
	for name, c := range map[string]struct {
		// gaps lie before each time that the connections go silent; cancelAfter is the time from the last of
		// these to the confirmation of the cancel.
		gaps        []time.Duration
		cancelAfter time.Duration
		// redialled counts the feeds that go over dead connections after the last time.
		redialled int
		slow      time.Duration
	}{
		"cancel right after":          {gaps: []time.Duration{1200 * time.Millisecond}, cancelAfter: 10 * time.Millisecond},
		"cancel 1.5 s after":          {gaps: []time.Duration{1200 * time.Millisecond}, cancelAfter: 1500 * time.Millisecond},
		"cancel 2 s after":            {gaps: []time.Duration{300 * time.Millisecond}, cancelAfter: 2 * time.Second},
		"as the wait begins":          {gaps: []time.Duration{1010 * time.Millisecond}, cancelAfter: 100 * time.Millisecond},
		"silent three times":          {gaps: []time.Duration{300 * time.Millisecond, time.Second, 2100 * time.Millisecond}, cancelAfter: 50 * time.Millisecond},
		"silent while store is slow":  {gaps: []time.Duration{time.Second}, cancelAfter: 200 * time.Millisecond, slow: 300 * time.Millisecond},
		"other dead connections wait": {gaps: []time.Duration{time.Second}, cancelAfter: 200 * time.Millisecond, redialled: 1},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				sim, _, stop := startSimulation(2, 3)
				defer stop()
				if c.slow > 0 {
					sim.store.callTime.set(c.slow)
				}
				sim.setRunTime(20 * time.Second)
				second := oneGPU(4)
				second.After = []int{0}
				sim.submit("cancelled", "bulk", oneGPU(4), second)
				for sim.state("cancelled") != sched.Running {
					time.Sleep(10 * time.Millisecond)
				}
				for _, gap := range c.gaps {
					time.Sleep(gap)
					sim.store.silenced.Add(1)
				}
				var redialled atomic.Int64
				sim.store.silentFeed.set(func(string) bool { return int(redialled.Add(1)) <= c.redialled })
				silentAt := sim.now()
				time.Sleep(c.cancelAfter)
				sim.cancel("cancelled")
				limit := max(sim.now(), silentAt) + cancelLimit
				if c.redialled > 0 {
					limit += feedMargin + feedWait // each dead connection takes a timeout
				}
				for sim.running() > 0 {
					if sim.now() > limit+killGrace {
						t.Fatalf("%d tasks run %s after the cancel", sim.running(), sim.now()-silentAt-c.cancelAfter)
					}
					time.Sleep(10 * time.Millisecond)
				}
				is.Equal(sim.violations, nil)
			})
		})
	}
}

// Guards against a feed that never gets through when a page takes longer than the first timeout, or the store no
// longer serves feeds at all.
func TestWorkArrivesOverFailingFeed(t *testing.T) {
	for name, refuse := range map[string]func(sim *simulation) func(node, op string) error{
		"an answer takes 4 s": func(sim *simulation) func(string, string) error {
			return func(_, op string) error {
				if op == "feed" {
					time.Sleep(4 * time.Second)
				}
				return nil
			}
		},
		"feeds are refused": func(*simulation) func(string, string) error {
			return func(_, op string) error {
				if op == "feed" {
					return rows.ErrRefused
				}
				return nil
			}
		},
		"history is gone": func(sim *simulation) func(string, string) error {
			return func(_, op string) error {
				if op == "feed" {
					return rows.ErrCompacted
				}
				return nil
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				sim, _, stop := startSimulation(2, 1)
				defer stop()
				sim.store.refuse.set(refuse(sim))
				sim.submit("a", "bulk", oneGPU(2))
				sim.awaitCompleted(t, []string{"a"}, 20*time.Second)
				is.Equal(sim.violations, nil)
			})
		})
	}
}
