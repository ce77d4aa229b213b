package lead

import (
	"context"
	"errors"
	"time"

	"greengageline/internal/event"
	"greengageline/internal/orders"
	"greengageline/internal/sched"
)

// adviceSlack bounds a question besides the time that the adviser needs for it
// and for one more that may be ahead of it.
const adviceSlack = time.Second

var errNoAdviser = errors.New("the settings name no adviser")

// consult asks the adviser; its answer comes back to the loop.
func (o *Owner) consult(q sched.Question) {
	o.spawn(func() {
		sent := o.lead.now()
		out, err := orders.Advice{}, errNoAdviser
		if o.lead.Fleet.Advise != nil {
			ctx, cancel := context.WithTimeout(o.ctx, 2*q.Takes+adviceSlack)
			out, err = o.lead.Fleet.Advise(ctx, q.Step, q.Workers)
			cancel()
		}
		took := o.lead.now() - sent
		o.post(func() {
			o.lead.Count.order("advise", err)
			o.passDue = true
			if err != nil {
				o.engine.Unadvised(q, o.moment())
			} else {
				o.engine.Advised(q, out.Tickets, sent, out.Valid)
			}
			o.lead.Log.Emit(event.Advised).Str("job", q.Step.Job).Int("step", q.Step.Step).Int("asked", len(q.Workers)).
				Int("allowed", len(out.Tickets)).Int64("took_ms", took.Milliseconds()).Int64("valid_ms", out.Valid.Milliseconds()).
				Int64("epoch", o.epoch).AnErr("error", err).Send()
		})
	})
}
