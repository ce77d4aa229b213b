package lead

import (
	"errors"
	"sync/atomic"
	"time"

	"greengageline/internal/meter"
	"greengageline/internal/orders"
	"greengageline/internal/sched"
)

// Counters is told of what the owner does; a nil pointer counts nothing.
type Counters struct {
	Meter *meter.Work
	// StoreFailed counts the store's calls that failed.
	StoreFailed atomic.Int64
}

func (c *Counters) ended(state sched.State, took time.Duration) {
	if c != nil {
		c.Meter.Ended(string(state), took)
	}
}

func (c *Counters) begun(took time.Duration) {
	if c != nil {
		c.Meter.Begun(took)
	}
}

func (c *Counters) end(cause sched.Cause) {
	if c != nil {
		c.Meter.End(string(cause))
	}
}

func (c *Counters) storeFailed() {
	if c != nil {
		c.StoreFailed.Add(1)
	}
}

func (c *Counters) order(kind string, err error) {
	if c == nil {
		return
	}
	outcome := "done"
	switch {
	case err == nil:
	case errors.Is(err, orders.ErrNoRoom):
		outcome = "no-room"
	case orders.Nothing(err):
		outcome = "refused"
	default:
		outcome = "unclear"
	}
	c.Meter.Order(kind, outcome)
}
