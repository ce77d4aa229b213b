package sched

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against work that waits without a line that says for what.
func TestWaitIsReportedWithItsReason(t *testing.T) {
	for name, c := range map[string]struct {
		at   time.Duration
		want []WaitReason
	}{
		"at once":                        {0, nil},
		"after a second":                 {time.Second, []WaitReason{ForRoom}},
		"too late for its caller to use": {100 * time.Second, []WaitReason{TooLate}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			e := newEngine(2)
			add(e, "first", "bulk", gangStep(2, 8))
			add(e, "second", "bulk", gangStep(2, 8))
			e.Pass(moment(0))
			e.Pass(moment(c.at))
			var got []WaitReason
			for _, w := range e.TakeWaits() {
				is.Equal(w.Step.Job, "second")
				is.Equal(w.Waiting, 2)
				got = append(got, w.Reason)
			}
			is.Equal(got, c.want)
			e.Pass(moment(c.at + time.Millisecond))
			is.Equal(len(e.TakeWaits()), 0) // the same reason is reported once
		})
	}
}
