package sched

import "time"

// WaitReason is why a pass did not start a step's waiting tasks.
type WaitReason string

// The reasons for which tasks wait. ForRoom means that no worker has the room, nor can preemption free it;
// ForAdvice that the step has no valid ticket of the adviser for any worker;
// ForHeadroom that the free room is kept for guarantees; ForIsolation that a suspect awaits a worker on which
// nothing else runs; ForStarts that as many tasks as the owner can send have been placed; TooLate that the result is
// no longer of use and
// other work needs the room.
const (
	ForRoom      WaitReason = "no room"
	ForAdvice    WaitReason = "no valid ticket"
	ForHeadroom  WaitReason = "room is kept for guarantees"
	ForIsolation WaitReason = "no worker of its own after a crash"
	ForStarts    WaitReason = "starts are limited"
	TooLate      WaitReason = "too late to be of use"
)

// waitReportInterval is the least time between two reports about one step, so that a step whose reason
// changes with every pass does not fill the log.
const waitReportInterval = time.Second

// Wait reports that the tasks of a step wait for another reason than last reported.
type Wait struct {
	// Step names the step; Task is not used.
	Step   TaskRef
	Reason WaitReason
	// Waiting is the number of the step's tasks that wait, For the time since the step could first start.
	Waiting  int
	For      time.Duration
	Queue    string
	Priority int
}

// noteWait records why the group waits. It reports a step that has waited for waitReportInterval, and then
// each change of the reason.
func (e *Engine) noteWait(g *group, reason WaitReason, now Moment) {
	b := g.batch
	if b.waitReason == reason || now.Steady-max(b.waitReportedAt, b.readyAt) < waitReportInterval {
		return
	}
	b.waitReason, b.waitReportedAt = reason, now.Steady
	e.waits = append(e.waits, Wait{
		Step: g.ref, Reason: reason, Waiting: len(g.waiting), For: now.Steady - b.readyAt, Queue: g.queue.Name, Priority: g.queue.Priority,
	})
}

// noteUnreached records that the groups wait because the pass ended before it reached all of their tasks.
func (e *Engine) noteUnreached(groups []*group, now Moment) {
	for _, g := range groups {
		if _, reserved := e.reservations[g.batch]; !reserved {
			e.guaranteedUnreached = e.guaranteedUnreached || g.guaranteed
			e.noteWait(g, ForStarts, now)
		}
	}
}

// WaitingTasks returns the number of tasks that could start and waited after the last pass.
func (e *Engine) WaitingTasks() int { return e.waitingTasks }

// TakeWaits returns the reports about waiting steps since the last call.
func (e *Engine) TakeWaits() []Wait {
	out := e.waits
	e.waits = nil
	return out
}
