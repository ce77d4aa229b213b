package leader

import (
	"context"
	"errors"
	"time"

	"greengageline/internal/event"
	"greengageline/internal/orders"
	"greengageline/internal/sched"
)

const (
	// askerInterval is how often the owner chooses the nodes from which the adviser is asked.
	askerInterval = time.Second
	// maxAskers bounds those nodes.
	maxAskers = 16
)

var errNoAdviser = errors.New("no adviser is configured")

// chooseAskers chooses the nodes from which the adviser is asked, since it handles the questions of each node one at a
// time: this one first, then those that poll it.
func (o *Owner) chooseAskers() {
	now := o.lead.now()
	if o.lead.Fleet.AdviseFrom == nil || !o.hasAdvice || now < o.askersAt+askerInterval {
		return
	}
	o.askersAt = now
	peers := o.lead.livePeers()
	names := []string{""}
	for _, p := range peers[:min(len(peers), maxAskers-1)] {
		names = append(names, p.addr)
	}
	o.engine.SetAskers(names)
}

// advise asks the adviser from the node that the question names.
func (o *Owner) advise(ctx context.Context, q sched.Question) (orders.Advice, error) {
	f := o.lead.Fleet
	switch {
	case q.Asker != "":
		return f.AdviseFrom(ctx, q.Asker, q.Step, q.Workers)
	case f.Advise == nil:
		return orders.Advice{}, errNoAdviser
	}
	return f.Advise(ctx, q.Step, q.Workers)
}

// askAdviser sends a question to the adviser; the answer is handled in the owner's loop.
func (o *Owner) askAdviser(q sched.Question) {
	o.spawn(func() {
		sent := o.lead.now()
		ctx, cancel := context.WithTimeout(o.ctx, q.Timeout)
		out, err := o.advise(ctx, q)
		cancel()
		at := o.lead.now()
		o.post(func() {
			o.lead.Metrics.orderSent("advise", err)
			o.passDue = true
			if err != nil {
				o.engine.RecordAdviceFailure(q, o.moment())
			} else {
				o.engine.RecordAdvice(q, out.Tickets, at, out.ValidFor)
			}
			o.sendReadyStarts()
			o.lead.Log.Emit(event.Advised).Str("job", q.Step.Job).Int("step", q.Step.Step).Int("asked", len(q.Workers)).
				Int("allowed", len(out.Tickets)).Str("asker", q.Asker).Int("ahead", q.Ahead).Int64("took_ms", (at-sent).Milliseconds()).Int64("valid_ms", out.ValidFor.Milliseconds()).
				Int64("epoch", o.epoch).AnErr("error", err).Send()
		})
	})
}
