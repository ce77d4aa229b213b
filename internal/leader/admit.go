package leader

import (
	"errors"
	"sync"
	"time"

	"greengageline/internal/rows"
)

// ErrFull means that there is no memory for the state of a job. Nothing was done.
var ErrFull = errors.New("no memory for the state of the job")

// cancelState is the memory of a cancellation whose job is not known, in bytes.
const cancelState = 512

const (
	// feedLag is how long the owner may take to learn of a job that another node has accepted.
	feedLag = 2 * time.Second
	// sharedPart is the part of what the owner has left that all other nodes together may accept in feedLag without asking.
	sharedPart = 0.5
	// minShares is the least number of nodes among which that is divided.
	minShares = 8
	// unknownPart is the part of the whole limit that a node may accept before it has heard from an owner.
	unknownPart = 1.0 / 512
)

// allowance bounds the state of the jobs that a node accepts without asking the owner. The zero value has no bound.
type allowance struct {
	mu sync.Mutex
	// The fields below are guarded by mu: whether there is a bound, and how many bytes may be accepted in feedLag.
	bounded bool
	bytes   int64
	// recent is what has been accepted since recentSince, and earlier what was in the span before, of at least feedLag.
	recent, earlier int64
	recentSince     time.Duration
}

// setUnknown sets the bound until an owner has been heard of, from the limit of this node.
func (a *allowance) setUnknown(limit int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.bounded, a.bytes = limit > 0, int64(float64(limit)*unknownPart)
}

// polled sets the bound from an owner's answer to a poll that was sent at a time. What was accepted at least feedLag before
// is in the answer; without answers nothing is forgotten.
func (a *allowance) polled(p Pulse, sent time.Duration) {
	if p.Rebuilding {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.bounded = p.Bounded
	a.bytes = int64(max(0, float64(p.Free)) * sharedPart / float64(max(minShares, p.Nodes)))
	if sent-a.recentSince >= feedLag {
		a.earlier, a.recent, a.recentSince = a.recent, 0, sent
	}
}

// take accepts n bytes and reports whether they are within the bound.
func (a *allowance) take(n int64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.bounded && a.earlier+a.recent+n > a.bytes {
		return false
	}
	a.recent += n
	return true
}

// giveBack takes back n bytes for a job that was not stored.
func (a *allowance) giveBack(n int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.recent = max(0, a.recent-n)
}

// Admission is the memory reserved for a row of WorkTable that is about to be stored. Exactly one of its methods must be
// called.
type Admission struct {
	lead      *Candidate
	owner     *Owner // nil if the row was admitted without the owner
	workspace string
	bytes     int64
}

// Admit reserves n bytes for the state of a job of a workspace: at the owner, if it runs on this node and knows all jobs,
// else from this node's part of what the owner has left. It returns ErrFull if there are too few; exact reports whether
// that was the owner's answer.
func (l *Candidate) Admit(workspace string, n int64) (a *Admission, exact bool, err error) {
	if o := l.LocalOwner(); o != nil && o.rebuilt.Load() {
		if !o.budget.Reserve(workspace, n) {
			return nil, true, ErrFull
		}
		return &Admission{lead: l, owner: o, workspace: workspace, bytes: n}, true, nil
	}
	if !l.allowance.take(n) {
		return nil, false, ErrFull
	}
	return &Admission{lead: l, bytes: n}, false, nil
}

// AdmitCancel is Admit for the cancellation of a job that is not known.
func (l *Candidate) AdmitCancel() (a *Admission, exact bool, err error) {
	return l.Admit("", cancelState)
}

// Stored passes a row that has been stored to the owner, if that runs on this node, and reports whether it does.
func (a *Admission) Stored(r rows.Row) bool {
	if a.owner != nil {
		// The reservation ends once the state itself is counted. The loop may be busy for a while.
		go a.owner.post(func() {
			a.owner.applyNoted(r, true)
			a.owner.budget.Change(a.workspace, -a.bytes)
		})
		return true
	}
	o := a.lead.LocalOwner()
	if o != nil {
		o.ApplyAccepted(r)
	}
	return o != nil
}

// NotStored ends the reservation for a row that was not stored, or had been stored before. If mayBe is set, it may still have
// been stored; the owner then counts it when its feed delivers it.
func (a *Admission) NotStored(mayBe bool) {
	switch {
	case a.owner != nil:
		a.owner.budget.Change(a.workspace, -a.bytes)
	case !mayBe:
		a.lead.allowance.giveBack(a.bytes)
	}
}
