package leader

import (
	"context"
	"time"
)

// Pulse answers a poll of another node. cores are those of the polling node, or 0 if it could not own the
// jobs now.
func (l *Candidate) Pulse(cores float64) Pulse {
	most := l.recordCores(cores)
	o := l.LocalOwner()
	if o == nil {
		return Pulse{Addr: l.OwnerAddr()}
	}
	return Pulse{
		Owner: true, Epoch: o.epoch, AgeMs: o.commitAge().Milliseconds(), Version: o.committedVersion.Load(), Addr: l.Addr, Most: most,
		Nodes: l.countPoll(), Stuck: o.turnedAway(l.now()), Bounded: o.budget.Limit > 0, Free: o.budget.Left(), Rebuilding: !o.rebuilt.Load(),
	}
}

// countPoll counts a poll and returns about how many nodes poll this one.
func (l *Candidate) countPoll() int {
	now := l.now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pollCount++
	switch span := now - l.pollCountSince; {
	case span > 2*pollCountWindow: // the first poll for a while
		l.pollCount, l.pollCountSince = 1, now
	case span >= pollCountWindow:
		l.nodeCount = int(float64(l.pollCount) * float64(pollIntervalFor(l.nodeCount)) / float64(span))
		l.pollCount, l.pollCountSince = 0, now
	}
	return l.nodeCount
}

// pollIntervalFor returns how often each of a number of nodes polls the owner.
func pollIntervalFor(n int) time.Duration { return max(pollInterval, time.Duration(n)*pollSpacing) }

// NodeCount returns about how many nodes there are; 0 before an owner has reported it.
func (l *Candidate) NodeCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.nodeCount
}

// recordCores records the cores of a node that polled and returns the most that any reported within
// settleTime, or 0.
func (l *Candidate) recordCores(cores float64) float64 {
	now := l.now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if cores > 0 && (cores >= l.pollerCores || now-l.pollerCoresAt > settleTime) {
		l.pollerCores, l.pollerCoresAt = cores, now
	}
	if now-l.pollerCoresAt > settleTime {
		return 0
	}
	return l.pollerCores
}

// pollOwner polls the node that was last known as the owner and returns its answer. Without an answer it is the zero
// Pulse; silent then says whether a node was polled.
func (l *Candidate) pollOwner(ctx context.Context) (p Pulse, silent bool) {
	addr := l.OwnerAddr()
	if addr == "" || addr == l.Addr {
		return Pulse{}, false
	}
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	asked := l.now()
	p, err := l.Poll(ctx, addr)
	if err != nil {
		return Pulse{}, true
	}
	if p.Owner {
		l.polledVersion, l.polledVersionAt = p.Version, asked-time.Duration(p.AgeMs)*time.Millisecond
		l.peerCores, l.peerCoresAt = p.Most, asked
		l.allowance.polled(p, asked)
		l.mu.Lock()
		l.nodeCount = p.Nodes
		l.mu.Unlock()
	}
	return p, false
}

// healthy reports whether the answering node is an owner that has committed recently.
func (p Pulse) healthy() bool {
	limit := staleCommitAge
	if p.Stuck {
		limit = stuckCommitAge
	}
	return p.Owner && p.AgeMs < limit.Milliseconds()
}
