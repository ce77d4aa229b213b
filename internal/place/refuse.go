package place

import (
	"fmt"
	"slices"
)

// RefusalCode says what kind of reason a refusal has.
type RefusalCode string

// The kinds of refusals.
const (
	UnknownWorkspace RefusalCode = "unknown-workspace"
	QueueFull        RefusalCode = "queue-full"
	OverQuota        RefusalCode = "over-quota"
	ImpossibleShape  RefusalCode = "impossible-shape"
	AllGuaranteed    RefusalCode = "all-guaranteed"
)

// Refusal is why a job can't be taken.
type Refusal struct {
	Code   RefusalCode
	Reason string
}

func refusal(code RefusalCode, format string, args ...any) *Refusal {
	return &Refusal{Code: code, Reason: fmt.Sprintf(format, args...)}
}

// Check returns why the job would be refused if it arrived now, or nil.
func (e *Engine) Check(r Request) *Refusal {
	e.init()
	return e.impossible(e.byName[r.Workspace], r)
}

// impossible returns why a job can't be taken, or nil if it can.
func (e *Engine) impossible(ws *workspace, r Request) *Refusal {
	if ws == nil || ws.gone {
		return refusal(UnknownWorkspace, "workspace %q is not configured", r.Workspace)
	}
	limit := ws.conf.Queue
	if limit == 0 {
		limit = e.policy.QueueLimit
	}
	if ws.queued >= limit {
		return refusal(QueueFull, "the queue of workspace %q is full with %d jobs", ws.name, ws.queued)
	}
	return e.hopeless(ws, r)
}

// hopeless returns why a job could not run even on an idle pool, or nil.
func (e *Engine) hopeless(ws *workspace, r Request) *Refusal {
	n := r.Shape.Accelerators()
	if q := ws.conf.Quota; q > 0 && n > q {
		return refusal(OverQuota, "the job needs %d accelerators, the quota of workspace %q is %d", n, ws.name, q)
	}
	if !e.ready {
		return nil
	}
	if _, ok := e.pool.widest(r.Shape); !ok {
		return refusal(ImpossibleShape, "no set of workers can ever hold %d tasks of %d accelerators", r.Shape.Tasks, r.Shape.Each)
	}
	return e.impossibleSpare(ws, r)
}

// impossibleSpare finds unpreemptible jobs that fit no claim of their
// workspace and more accelerators than are guaranteed to nobody.
func (e *Engine) impossibleSpare(ws *workspace, r Request) *Refusal {
	if r.Idempotent {
		return nil
	}
	for _, c := range ws.claims {
		if r.Shape.Each <= c.shape.Each && r.Shape.Accelerators() <= c.shape.Accelerators() {
			return nil
		}
	}
	size, promised := 0, 0
	for _, z := range e.pool.zones {
		size += z.index[viewSize].total[1]
	}
	for _, other := range e.byName {
		for _, c := range other.claims {
			promised += c.shape.Accelerators()
		}
	}
	if n := r.Shape.Accelerators(); n > size-promised {
		return refusal(AllGuaranteed, "the job can't be preempted and needs %d accelerators, "+
			"of %d all but %d are guaranteed", n, size, max(size-promised, 0))
	}
	return nil
}

// hopeEveryMs is how often queued jobs are looked at for whether they could
// still run.
const hopeEveryMs = 5_000

// refuseHopeless refuses queued jobs that have for long not been able to run
// even on an idle pool: VMs were lost, or guarantees have grown. A shorter loss
// only makes them wait.
func (e *Engine) refuseHopeless() {
	if e.now < e.nextHope {
		return
	}
	e.nextHope = e.now + hopeEveryMs
	for _, l := range slices.Clone(e.order) {
		no := e.hopeless(l.ws, l.jobs[0].req)
		switch {
		case no == nil:
			l.hopelessSince = 0
		case l.hopelessSince == 0:
			l.hopelessSince = e.now
		case e.now-l.hopelessSince >= e.policy.HopelessMs:
			for _, j := range slices.Clone(l.jobs) {
				e.refuseQueued(j, fmt.Sprintf("for %d s: %s", (e.now-l.hopelessSince)/1000, no.Reason))
			}
		}
	}
}
