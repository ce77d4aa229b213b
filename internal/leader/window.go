package leader

import (
	"time"

	"greengageline/internal/orders"
)

const (
	// initialWindow is how many starts may be in flight before any was answered, minWindow and maxWindow are
	// the bounds of that number. A start carries up to 4 KB, so that 8 of them take an eighth of a second on
	// the slowest link of the users' deployments, 2 Mbit/s.
	initialWindow = 8
	minWindow     = 4
	maxWindow     = 1024
	// windowCutFactor is by how much the window shrinks, at most once in windowCutInterval.
	windowCutFactor   = 0.7
	windowCutInterval = 100 * time.Millisecond
	// smoothingShare is the weight of one answer in the smoothed time of answers. A few workers that are slow
	// or silent must not look like a full link.
	smoothingShare = 1.0 / 16
	// congestionDelay is how much longer than the fastest answer the smoothed one must take for this node's link
	// or processor to count as full.
	congestionDelay = 100 * time.Millisecond
	// congestionAge is how long after the last answer to a start its lateness still counts.
	congestionAge = 2 * time.Second
	// timeoutFactor times the smoothed time of answers is the timeout of an order, within orderTimeout and
	// maxOrderTimeout.
	timeoutFactor   = 4
	maxOrderTimeout = 2 * time.Second
	// backlogFactor times the window may be decided but not sent yet.
	backlogFactor = 2
	// maxPassTime is how long a scheduling pass should take at most: while it lasts the owner handles no answers, and a
	// lease allows for a few holds that are handled late. minPassStarts is the least number of starts that a pass may
	// decide.
	maxPassTime   = 250 * time.Millisecond
	minPassStarts = 32
)

// startWindow bounds the starts that are in flight to all workers together, by the time that their answers take:
// where this node's link or processor is full, more orders at a time only make all of them late. It grows by one
// with each prompt answer and shrinks by windowCutFactor while answers are late. The zero value is ready for use.
type startWindow struct {
	limit    float64 // 0 means initialWindow
	inFlight int
	// smoothed is the smoothed time of answers, fastest the least of all.
	smoothed, fastest time.Duration
	answeredAt        time.Duration // when the last start was answered or timed out
	lastCutAt         time.Duration
}

// size returns how many starts may be in flight.
func (w *startWindow) size() int {
	if w.limit == 0 {
		return initialWindow
	}
	return int(w.limit)
}

// full reports whether no further start may be sent now.
func (w *startWindow) full() bool { return w.inFlight >= w.size() }

// budget returns how many more starts may be decided while backlog of them have not been sent.
func (w *startWindow) budget(backlog int) int {
	return max(0, backlogFactor*w.size()-w.inFlight-backlog)
}

// answered records that a start was answered, or timed out, after a time; now is the present time.
func (w *startWindow) answered(took, now time.Duration) {
	w.inFlight--
	w.answeredAt = now
	limit := float64(w.size())
	if w.fastest == 0 || took < w.fastest {
		w.fastest = took
	}
	if w.smoothed == 0 {
		w.smoothed = took
	}
	w.smoothed += time.Duration(float64(took-w.smoothed) * smoothingShare)
	switch {
	case took < w.fastest+congestionDelay/2 && !w.congested(now):
		w.limit = min(limit+1, maxWindow)
	case w.congested(now) && now-w.lastCutAt >= max(windowCutInterval, w.smoothed):
		w.limit, w.lastCutAt = max(limit*windowCutFactor, minWindow), now
	default:
		w.limit = limit
	}
}

// notSent records that a start was not sent after all.
func (w *startWindow) notSent() { w.inFlight-- }

// congested reports whether starts are answered so much later than the fastest that this node's own link or
// processor is the likely cause.
func (w *startWindow) congested(now time.Duration) bool {
	return w.smoothed > w.fastest+congestionDelay && now-w.answeredAt < congestionAge
}

// timeout returns how long an order may take.
func (w *startWindow) timeout() time.Duration {
	return min(max(orderTimeout, timeoutFactor*w.smoothed), maxOrderTimeout)
}

const (
	// initialStopWindow, minStopWindow and maxStopsInFlight are the first value and the bounds of a stopWindow.
	initialStopWindow = 8
	minStopWindow     = 4
	// promptStop and lateStop are the times of an answer below which the window grows and above which it shrinks.
	promptStop = 100 * time.Millisecond
	lateStop   = 150 * time.Millisecond
)

// stopWindow bounds the stops in flight to one worker, by the time that their answers take. A worker may carry out one
// order at a time, also one that is no longer waited for, and a hold behind too many of them comes too late for the
// leases of the runs that go on. The zero value is ready for use.
type stopWindow struct {
	limit int // 0 means initialStopWindow
}

// size returns how many stops may be in flight.
func (w *stopWindow) size() int {
	if w.limit == 0 {
		return initialStopWindow
	}
	return w.limit
}

// answered records the outcome of a stop after a time.
func (w *stopWindow) answered(took time.Duration, err error) {
	switch {
	case err != nil && !orders.HadNoEffect(err):
		w.limit = max(minStopWindow, w.size()/2)
	case err != nil:
	case took < promptStop:
		w.limit = min(w.size()+1, maxStopsInFlight)
	case took > lateStop:
		w.limit = max(minStopWindow, w.size()-1)
	}
}

// passLimit bounds the starts that a scheduling pass may decide, by how long earlier passes took. The zero value sets no
// bound.
type passLimit struct{ starts int }

// bound returns how many of budget starts the next pass may decide.
func (l *passLimit) bound(budget int) int {
	if l.starts == 0 {
		return budget
	}
	return min(budget, l.starts)
}

// record records that a pass has decided a number of starts and took a time. A pass that takes too long for other causes
// than its starts still has minPassStarts.
func (l *passLimit) record(starts int, took time.Duration) {
	switch {
	case took > maxPassTime:
		l.starts = max(minPassStarts, int(float64(starts)*float64(maxPassTime)/float64(took)))
	case took < maxPassTime/2 && l.starts > 0 && starts >= l.starts:
		l.starts = min(2*l.starts, backlogFactor*maxWindow)
	}
}
