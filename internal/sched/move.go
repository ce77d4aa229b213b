package sched

import "greengageline/pkg/model"

// moveCause is why runs are stopped to continue elsewhere.
type moveCause uint8

const (
	notMoving   moveCause = iota
	movedOut              // their zone is evacuated
	movedFaster           // they would be late on their workers
)

// stopReason returns the reason for the stop of a run that moves, for the log.
func (c moveCause) stopReason() string {
	if c == movedFaster {
		return "it would be late on its worker, and a faster one has room"
	}
	return "its zone is evacuated and it can continue elsewhere"
}

// stopAndReserve stops the first of the group's runs, one for each worker of placement, and reserves the capacity there.
func (e *Engine) stopAndReserve(g *group, placement []*worker, cause moveCause, now Moment) {
	for at, w := range placement {
		i := g.waiting[at]
		ref := g.ref
		ref.Task = i
		e.orderStop(ref, &g.batch.Tasks[i], cause.stopReason())
		g.batch.Tasks[i].reservedOn = w.ID
		w.reserved = w.reserved.Plus(g.step.Need(), 1)
		w.rack.free = w.rack.free.Minus(g.step.Need(), 1)
	}
	g.batch.reservedAt, g.batch.moving = now.Steady, cause
	e.reservations[g.batch] = g.ref
}

// awaitsMove reports whether nothing of a batch with a reservation is to start in this pass since it is being moved: its
// runs still stop, or have ended meanwhile. Capacity for a run that has ended by itself is released.
func (e *Engine) awaitsMove(b *Batch, step *model.Step, now Moment) bool {
	if b.moving == notMoving {
		return false
	}
	left, stopping := 0, 0
	for i := range b.Tasks {
		t := &b.Tasks[i]
		switch {
		case t.reservedOn == "":
		case t.Phase == Ended:
			if w := e.workers[t.reservedOn]; w != nil {
				w.reserved = w.reserved.Minus(step.Need(), 1)
			}
			t.reservedOn = ""
		default:
			left++
			if t.Phase == Placed {
				stopping++
			}
		}
	}
	if left == 0 || stopping > 0 && now.Steady-b.reservedAt >= reservationTimeout {
		e.releaseReservation(b, step)
		return true
	}
	return stopping > 0
}
