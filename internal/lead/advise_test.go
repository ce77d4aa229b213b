package lead

import (
	"context"
	"fmt"
	"slices"
	"time"

	"greengageline/internal/clock"
	"greengageline/internal/orders"
	"greengageline/internal/sched"
	"greengageline/pkg/model"
)

// advise lets every queue need an adviser, that allows the even workers with
// tickets for valid and loses each third question.
func (w *world) advise(valid time.Duration) {
	p := w.plan.get()
	p.Queues = slices.Clone(p.Queues)
	for i := range p.Queues {
		p.Queues[i].Advice = &model.Advice{DecideMs: 20, EachMs: 1, ValidMs: float64(valid.Milliseconds())}
	}
	p.Version++
	w.plan.set(p)
	asked := 0
	w.adviser.set(func(ctx context.Context, step sched.Ref, workers []string) (orders.Advice, error) {
		w.mu.Lock()
		asked++
		lost := asked%3 == 0
		w.mu.Unlock()
		if lost {
			<-ctx.Done()
			return orders.Advice{}, ctx.Err()
		}
		clock.Sleep(ctx, 20*time.Millisecond)
		out := orders.Advice{Tickets: map[string]string{}, Valid: valid}
		for _, id := range workers {
			if n := id[len(id)-1]; n%2 == 0 {
				out.Tickets[id] = fmt.Sprintf("%s.%d.%d %s %d", step.Job, step.Time, step.Step, id, (w.now() + valid).Milliseconds())
			}
		}
		return out, nil
	})
}

// ticketed reports whether a start carries a valid ticket, where one is needed.
func (m *memWorker) ticketed(in orders.Start) bool {
	if m.w.adviser.get() == nil {
		return true
	}
	var step, id string
	var until int64
	if _, err := fmt.Sscanf(in.Ticket, "%s %s %d", &step, &id, &until); err != nil {
		return false
	}
	want := fmt.Sprintf("%s.%d.%d", in.Task.Job, in.Task.Time, in.Task.Step)
	return step == want && id == m.id && m.w.now().Milliseconds() <= until
}
