package leader

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"greengageline/internal/sched"
)

// link is a model of a link that sends one start after another, each of which a worker answers after a time.
type link struct {
	perStart, answer time.Duration
	freeAt           time.Duration
}

// send returns when the answer to a start that is sent now arrives.
func (l *link) send(now time.Duration) time.Duration {
	l.freeAt = max(l.freeAt, now) + l.perStart
	return l.freeAt + l.answer
}

// runWindow sends total starts through a window and returns the longest time of an answer after the first
// second, the number that took longer than the timeout then in force, and when the last was answered.
func runWindow(w *startWindow, l *link, total int) (longest time.Duration, late int, end time.Duration) {
	type flight struct{ sent, answered, timeout time.Duration }
	var flights []flight
	now := time.Duration(0)
	for sent := 0; sent < total || len(flights) > 0; {
		for sent < total && !w.full() {
			w.inFlight++
			flights = append(flights, flight{now, l.send(now), w.timeout()})
			sent++
		}
		f := flights[0]
		flights = flights[1:]
		now = f.answered
		took := f.answered - f.sent
		if took > f.timeout {
			late++
		}
		if now > time.Second {
			longest = max(longest, took)
		}
		w.answered(took, now)
	}
	return longest, late, now
}

// Patterns: a burst of 2,000 starts over links of different rates. However slow the link, no start may be given
// up as unanswered, and a fast link must be used in full.
func TestStartWindowFollowsTheLink(t *testing.T) {
	cases := map[string]struct {
		perStart time.Duration
		// maxEnd bounds the time of the whole burst: the time that the link needs, and a tenth or a second more.
		maxEnd time.Duration
	}{
		"200 Mbit/s": {100 * time.Microsecond, time.Second},
		"20 Mbit/s":  {time.Millisecond, 3 * time.Second},
		"2 Mbit/s":   {12 * time.Millisecond, 26 * time.Second},
		"1 Mbit/s":   {24 * time.Millisecond, 53 * time.Second},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := &startWindow{}
			longest, late, end := runWindow(w, &link{perStart: tc.perStart, answer: 2 * time.Millisecond}, 2000)
			t.Logf("longest %s, late %d, end %s, window %d", longest, late, end, w.size())
			is.Equal(late, 0)
			is.True(longest < orderTimeout)
			is.True(end < tc.maxEnd)
		})
	}
}

// Pattern: some workers of a healthy fleet do not answer. Their timeouts must not be held to be a full link.
func TestStartWindowIgnoresAFewSilentWorkers(t *testing.T) {
	is := is.New(t)
	w := &startWindow{}
	now := time.Duration(0)
	for i := range 1000 {
		w.inFlight++
		took := 3 * time.Millisecond
		if i%20 == 19 {
			took = w.timeout()
		}
		now += took
		w.answered(took, now)
		is.True(!w.congested(now))
	}
	is.Equal(w.inFlight, 0)
	is.True(w.size() > initialWindow)
}

// The window recovers once the link does.
func TestStartWindowGrowsAgain(t *testing.T) {
	is := is.New(t)
	w := &startWindow{}
	l := &link{perStart: 50 * time.Millisecond, answer: 2 * time.Millisecond}
	_, _, _ = runWindow(w, l, 200)
	is.True(w.size() < initialWindow)
	l = &link{perStart: 100 * time.Microsecond, answer: 2 * time.Millisecond}
	_, _, end := runWindow(w, l, 500)
	is.True(!w.congested(end))
	is.True(w.size() > initialWindow)
	is.True(end < 2*time.Second)
}

// Pattern: starts are lost, and none follow. Their lateness must not excuse the silence of workers for ever.
func TestStartWindowForgetsLateness(t *testing.T) {
	is := is.New(t)
	w := &startWindow{}
	now := time.Duration(0)
	for i := range 40 {
		w.inFlight++
		took := time.Millisecond
		if i > 10 {
			took = orderTimeout
		}
		now += took
		w.answered(took, now)
	}
	is.True(w.congested(now))
	is.True(!w.congested(now + congestionAge))
}

func TestStartWindowBudget(t *testing.T) {
	is := is.New(t)
	w := &startWindow{}
	is.Equal(w.budget(0), backlogFactor*initialWindow)
	is.Equal(w.budget(backlogFactor*initialWindow+5), 0)
	w.inFlight = initialWindow
	is.True(w.full())
	is.Equal(w.budget(0), initialWindow)
	w.notSent()
	is.True(!w.full())
}

// Pattern: an owner is paused, or turned away by the store, while starts wait for the window. Another node may have
// taken over meanwhile, so they must wait until a commit shows that none has.
func TestWaitingStartsNeedARecentCommit(t *testing.T) {
	is := is.New(t)
	now := time.Minute
	l := &Candidate{Now: func() time.Duration { return now }}
	o := newOwner(l, ownership{Epoch: 1}, 1, now)
	defer o.cancel()
	o.readyStarts = []sched.Order{{Task: sched.TaskRef{Job: "a"}, Run: 1, Worker: "w"}}
	now += takeoverAge
	o.sendReadyStarts()
	is.Equal(len(o.readyStarts), 1)
	o.committedAt.Store(int64(now))
	o.sendReadyStarts()
	is.Equal(len(o.readyStarts), 0) // the order has no placed task any more and is dropped
}

// Guards against passes of several seconds, in which leases lapse because no answer of a worker is handled.
func TestPassesAreShort(t *testing.T) {
	for name, perStart := range map[string]time.Duration{
		"starts that cost much":   2300 * time.Microsecond,
		"starts that cost more":   6 * time.Millisecond,
		"starts that cost little": 20 * time.Microsecond,
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w, p := startWindow{}, passLimit{}
			var now, longest time.Duration
			decided := 0
			for range 60 {
				n := p.bound(w.budget(0))
				took := 20*time.Millisecond + time.Duration(n)*perStart
				longest = max(longest, took)
				p.record(n, took)
				now += took
				decided += n
				for range w.size() { // all are answered promptly, so that the window grows
					w.inFlight++
					w.answered(time.Millisecond, now)
				}
			}
			is.True(longest < 2*maxPassTime)
			is.Equal(w.size(), maxWindow)
			is.True(perStart > time.Millisecond || p.bound(w.budget(0)) == w.budget(0)) // cheap passes have no bound
			is.True(time.Duration(decided)*perStart > now/2)                            // most of the time goes to starts
		})
	}
}

// A pass that was slow once must not bound the starts for long.
func TestPassLimitGrowsAgain(t *testing.T) {
	is := is.New(t)
	p := passLimit{}
	p.record(1000, 10*time.Second)
	is.Equal(p.bound(1000), minPassStarts)
	for range 6 {
		p.record(p.bound(1000), 10*time.Millisecond)
	}
	is.Equal(p.bound(1000), 1000)
}
