package lead

import (
	"errors"
	"sync/atomic"

	"greengageline/internal/orders"
)

// Counters is told of what the owner does; nil functions and a nil pointer
// count nothing.
type Counters struct {
	// Ended is told of each job whose final state is durable.
	Ended func(state string)
	// End is told of each run that ended, by cause.
	End func(cause string)
	// Order is told of each order to a worker, by kind and outcome.
	Order func(kind, outcome string)
	// StoreFailed counts the store's calls that failed.
	StoreFailed atomic.Int64
}

func (c *Counters) ended(state string) {
	if c != nil && c.Ended != nil {
		c.Ended(state)
	}
}

func (c *Counters) end(cause string) {
	if c != nil && c.End != nil {
		c.End(cause)
	}
}

func (c *Counters) storeFailed() {
	if c != nil {
		c.StoreFailed.Add(1)
	}
}

func (c *Counters) order(kind string, err error) {
	if c == nil || c.Order == nil {
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
	c.Order(kind, outcome)
}
