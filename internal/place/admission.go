package place

import (
	"fmt"
	"slices"
)

// RefusalCode is the kind of a refusal.
type RefusalCode string

// The kinds of refusals.
const (
	// UnknownWorkspace means that the workspace is not configured.
	UnknownWorkspace RefusalCode = "unknown-workspace"
	// QueueFull means that the workspace has as many queued jobs as allowed.
	QueueFull RefusalCode = "queue-full"
	// OverQuota means that the job is larger than the workspace's quota.
	OverQuota RefusalCode = "over-quota"
	// ImpossibleShape means that the job would not fit on the workers even if all were idle.
	ImpossibleShape RefusalCode = "impossible-shape"
	// AllGuaranteed means that guarantees leave too few accelerators for a job that can't be
	// preempted.
	AllGuaranteed RefusalCode = "all-guaranteed"
)

// Refusal says why a job can't be accepted.
type Refusal struct {
	Code   RefusalCode
	Reason string
}

func refusal(code RefusalCode, format string, args ...any) *Refusal {
	return &Refusal{Code: code, Reason: fmt.Sprintf(format, args...)}
}

// Check returns why the job would be refused if it arrived now, or nil. A job that passes Check may still
// be refused when it arrives.
func (e *Engine) Check(r Request) *Refusal {
	e.init()
	return e.admissionRefusal(e.workspaces[r.Workspace], r)
}

// admissionRefusal returns the first reason not to accept the job, or nil: its workspace is unknown, its
// queue is full, or the job is infeasible.
func (e *Engine) admissionRefusal(ws *workspace, r Request) *Refusal {
	if ws == nil || ws.removed {
		return refusal(UnknownWorkspace, "workspace %q is not configured", r.Workspace)
	}
	limit := ws.conf.Queue
	if limit == 0 {
		limit = e.policy.QueueLimit
	}
	if ws.queued >= limit {
		return refusal(QueueFull, "the queue of workspace %q is full with %d jobs", ws.name, ws.queued)
	}
	return e.infeasible(ws, r)
}

// infeasible returns why the job could not run even on an idle pool, or nil. Before Ready only the quota
// is checked, since the workers are not known yet.
func (e *Engine) infeasible(ws *workspace, r Request) *Refusal {
	n := r.Shape.Accelerators()
	if q := ws.conf.Quota; q > 0 && n > q {
		return refusal(OverQuota, "the job needs %d accelerators, the quota of workspace %q is %d", n, ws.name, q)
	}
	if !e.ready {
		return nil
	}
	if _, ok := e.pool.narrowestScope(r.Shape); !ok {
		return refusal(ImpossibleShape, "no set of workers can ever hold %d tasks of %d accelerators", r.Shape.Tasks, r.Shape.Each)
	}
	return e.unpreemptibleRefusal(ws, r)
}

// unpreemptibleRefusal refuses a job that can't be preempted if no claim of its workspace can serve it
// and it needs more accelerators than are left outside all guarantees.
func (e *Engine) unpreemptibleRefusal(ws *workspace, r Request) *Refusal {
	if r.Idempotent {
		return nil
	}
	for _, c := range ws.claims {
		if r.Shape.Each <= c.shape.Each && r.Shape.Accelerators() <= c.shape.Accelerators() {
			return nil
		}
	}
	size, guaranteed := 0, 0
	for _, z := range e.pool.zones {
		size += z.index[viewSize].total[1]
	}
	for _, other := range e.workspaces {
		for _, c := range other.claims {
			guaranteed += c.shape.Accelerators()
		}
	}
	if n := r.Shape.Accelerators(); n > size-guaranteed {
		return refusal(AllGuaranteed, "the job can't be preempted and needs %d accelerators, "+
			"of %d all but %d are guaranteed", n, size, max(size-guaranteed, 0))
	}
	return nil
}

// feasibilityCheckMs is the interval between checks for infeasible queued jobs.
const feasibilityCheckMs = 5_000

// refuseInfeasible refuses queued jobs that have been infeasible for the policy's HopelessMs, because
// VMs were lost or guarantees have grown. During a shorter loss they only wait. The jobs of a queue have
// the same shape and are alike in whether they are idempotent, so the first decides for all.
func (e *Engine) refuseInfeasible() {
	if e.now < e.nextFeasibilityCheckMs {
		return
	}
	e.nextFeasibilityCheckMs = e.now + feasibilityCheckMs
	for _, q := range slices.Clone(e.queueOrder) {
		refused := e.infeasible(q.ws, q.jobs[0].req)
		switch {
		case refused == nil:
			q.infeasibleSinceMs = 0
		case q.infeasibleSinceMs == 0:
			q.infeasibleSinceMs = e.now
		case e.now-q.infeasibleSinceMs >= e.policy.HopelessMs:
			for _, j := range slices.Clone(q.jobs) {
				e.refuseQueued(j, fmt.Sprintf("for %d s: %s", (e.now-q.infeasibleSinceMs)/1000, refused.Reason))
			}
		}
	}
}
