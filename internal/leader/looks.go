package leader

import (
	"time"

	"greengageline/internal/sched"
)

// maxLooksPerTick bounds the looks at workers in one tick, as a fraction of what the owner exchanges anyway.
const maxLooksPerTick = 20

// maxColdTime bounds how long a worker counts as cold.
const maxColdTime = 10 * time.Minute

// takeLooks starts the looks that the scheduler has decided on. A look is a hold that is answered at once: the usual one
// waits for up to 2 s, in which a short gang has ended.
func (o *Owner) takeLooks() {
	for _, l := range o.engine.TakeLooks() {
		if s := o.sessions[l.Worker]; s != nil && !s.lookPlanned {
			s.lookPlanned = true
			time.AfterFunc(l.After, func() { o.post(s.look) })
		}
	}
}

// look asks the worker for the progress of its runs, unless it is not in touch or another hold tells as soon.
func (s *session) look() {
	s.lookPlanned = false
	if s.closed || s.silent || s.entry.Addr == "" || s.holdsInFlight >= maxHoldsInFlight || s.o.looksLeft <= 0 || !s.o.engine.Busy(s.entry.ID) {
		return
	}
	s.o.looksLeft--
	s.o.looksSent++
	s.sendHold(0)
}

// addSpeedFacts adds to the description of the worker what its speed may depend on.
func (s *session) addSpeedFacts(w *sched.Worker) {
	w.StartedMs = s.reachedIncarnation()
	e, now := &s.entry, s.o.lead.now()
	left := time.Duration(min(max(e.ColdLeftMs, 0), maxColdTime.Milliseconds())) * time.Millisecond
	if s.coldOf != w.StartedMs || now+left < s.coldUntil {
		s.coldOf, s.coldUntil = w.StartedMs, now+left
	}
	w.Cold = now < s.coldUntil
}
