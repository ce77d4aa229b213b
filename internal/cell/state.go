package cell

import (
	"context"
	"errors"
	"fmt"

	"greengageline/internal/ledger"
	"greengageline/pkg/model"
)

const (
	// jobBytes is the memory of an open job beside its payload and its tasks.
	jobBytes = 2 << 10
	// payloadFactor times the length of a payload is what it takes while it is read or written.
	payloadFactor = 2
	taskBytes     = 64
)

// stateBytes returns about how much memory an open job takes at its owner.
func stateBytes(s *model.JobSpec) int64 {
	return jobBytes + payloadFactor*int64(len(s.Payload)) + taskBytes*int64(s.Shape.Tasks)
}

// reserve reserves memory for a job that is about to be accepted and reports whether there is enough.
func (o *Owner) reserve(s *model.JobSpec) bool {
	n := stateBytes(s)
	if !o.host.State.Reserve(s.Workspace, n) {
		return false
	}
	o.addHeld(s.Workspace, n)
	return true
}

// hold counts the memory of a job that was accepted by an earlier owner.
func (o *Owner) hold(s *model.JobSpec) {
	n := stateBytes(s)
	o.host.State.Change(s.Workspace, n)
	o.addHeld(s.Workspace, n)
}

// release gives back the memory of a job that was not accepted or has ended.
func (o *Owner) release(s *model.JobSpec) {
	n := stateBytes(s)
	o.host.State.Change(s.Workspace, -n)
	o.addHeld(s.Workspace, -n)
}

func (o *Owner) addHeld(workspace string, n int64) {
	o.heldMu.Lock()
	defer o.heldMu.Unlock()
	if o.held == nil {
		o.held = map[string]int64{}
	}
	o.held[workspace] += n
}

// releaseAll gives back the memory of all jobs. The owner must have ended.
func (o *Owner) releaseAll() {
	o.heldMu.Lock()
	defer o.heldMu.Unlock()
	for workspace, n := range o.held {
		o.host.State.Change(workspace, -n)
	}
	o.held = nil
}

// refuseFull returns ErrBusy, or the job itself if its key shows that it was accepted before.
func (o *Owner) refuseFull(ctx context.Context, spec model.JobSpec) (model.Job, error) {
	e, err := o.host.Ledger.ByKey(ctx, spec)
	switch {
	case err == nil:
		return e.Job, nil
	case errors.Is(err, ledger.ErrAbsent):
		return model.Job{}, fmt.Errorf("%w: no memory for further jobs of workspace %q", ErrBusy, spec.Workspace)
	case errors.Is(err, ledger.ErrKeyReused):
		return model.Job{}, fmt.Errorf("%w: %w", ErrKeyReused, err)
	}
	return model.Job{}, fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
}
