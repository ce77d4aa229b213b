package leader

import (
	"slices"
	"time"

	"github.com/samber/lo"

	"greengageline/internal/event"
)

// loadReportInterval is the time between two reports of the owner's load.
const loadReportInterval = 5 * time.Second

// reportLoad logs what the owner's node has exchanged since the last report, by kind of message, so that a full link can
// be told from a full processor and from starts that the scheduler does not make.
func (o *Owner) reportLoad() {
	now := o.lead.now()
	if !o.rebuilt.Load() || now-o.loadReportedAt < loadReportInterval {
		return
	}
	flows := o.lead.Metrics.traffic()
	since := now - max(o.loadReportedAt, o.takenAt)
	line := o.lead.Log.Emit(event.OwnerLoad).Int64("epoch", o.epoch).Int64("ms", since.Milliseconds()).
		Int("waiting", o.engine.WaitingTasks()).Int("window", o.starts.size()).Int("in_flight", o.starts.inFlight).
		Int("backlog", len(o.pendingStarts)+len(o.readyStarts)).Int64("answer_ms", o.starts.smoothed.Milliseconds()).
		Int64("commit_ms", o.lastTxnTook.Milliseconds()).Int64("pass_ms", o.longestPass.Milliseconds()).Int64("state_kb", o.budget.Used()>>10)
	kinds := lo.Keys(flows)
	slices.Sort(kinds)
	for _, kind := range kinds {
		f := flows[kind].Minus(o.reportedFlows[kind])
		line = line.Ints64(kind, []int64{f.Messages, f.Sent, f.Received})
	}
	line.Send()
	o.loadReportedAt, o.reportedFlows, o.longestPass = now, flows, 0
}
