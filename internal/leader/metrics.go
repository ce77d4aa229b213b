package leader

import (
	"errors"
	"sync/atomic"
	"time"

	"greengageline/internal/metric"
	"greengageline/internal/orders"
	"greengageline/internal/sched"
)

// Metrics holds the metrics of the owner; the methods of a nil pointer count nothing.
type Metrics struct {
	// Meter receives the counts of jobs, runs and orders.
	Meter *metric.Work
	// StoreFailed counts the calls of the store that failed.
	StoreFailed atomic.Int64
	// Traffic counts what this node exchanges, by kind of message; nil means that it is not counted.
	Traffic *metric.Traffic
}

// traffic returns what this node has exchanged until now, by kind of message.
func (c *Metrics) traffic() map[string]metric.Flow {
	if c == nil {
		return nil
	}
	return c.Traffic.Flows()
}

func (c *Metrics) jobEnded(state sched.State, took time.Duration) {
	if c != nil {
		c.Meter.Ended(string(state), took)
	}
}

func (c *Metrics) jobStarted(took time.Duration) {
	if c != nil {
		c.Meter.Begun(took)
	}
}

func (c *Metrics) runEnded(cause sched.Cause) {
	if c != nil {
		c.Meter.End(string(cause))
	}
}

// runStopped counts a run of a priority that the scheduler has stopped and that was placed for ran.
func (c *Metrics) runStopped(priority int, ran time.Duration) {
	if c != nil {
		c.Meter.Stop(priority, ran)
	}
}

func (c *Metrics) storeFailed() {
	if c != nil {
		c.StoreFailed.Add(1)
	}
}

// orderSent counts an order of a kind to a worker, the adviser or the platform by its outcome.
func (c *Metrics) orderSent(kind string, err error) {
	if c == nil {
		return
	}
	outcome := "done"
	switch {
	case err == nil:
	case errors.Is(err, orders.ErrNoRoom):
		outcome = "no-room"
	case orders.HadNoEffect(err):
		outcome = "refused"
	default:
		outcome = "unclear"
	}
	c.Meter.Order(kind, outcome)
}
