package lead

import (
	"context"
	"time"
)

// Pulse tells a node how this one stands; cores are those of the asking node, or
// 0 if it could not own the work now.
func (l *Lead) Pulse(cores float64) Pulse {
	most := l.hear(cores)
	o := l.Own()
	if o == nil {
		return Pulse{Addr: l.OwnerAddr()}
	}
	return Pulse{
		Owner: true, Epoch: o.epoch, AgeMs: o.age().Milliseconds(), Version: o.committed.Load(), Addr: l.Addr, Most: most,
		Nodes: l.count(),
	}
}

// count counts a question and returns about how many nodes ask.
func (l *Lead) count() int {
	now := l.now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.asked++
	switch span := now - l.askedAt; {
	case span > 2*countSpan: // the first for a while
		l.asked, l.askedAt = 1, now
	case span >= countSpan:
		l.nodes = int(float64(l.asked) * float64(watchInterval(l.nodes)) / float64(span))
		l.asked, l.askedAt = 0, now
	}
	return l.nodes
}

// watchInterval is how often each of a number of nodes asks the owner.
func watchInterval(nodes int) time.Duration { return max(watchEvery, time.Duration(nodes)*watchEach) }

// Size returns about how many nodes there are; 0 before an owner has told.
func (l *Lead) Size() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.nodes
}

// hear notes the cores of a node that asked and returns the most that one had
// within settleTime.
func (l *Lead) hear(cores float64) float64 {
	now := l.now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if cores > 0 && (cores >= l.most || now-l.mostAt > settleTime) {
		l.most, l.mostAt = cores, now
	}
	if now-l.mostAt > settleTime {
		return 0
	}
	return l.most
}

// ownerWell asks the node that was last known as the owner.
func (l *Lead) ownerWell(ctx context.Context) (well, answers bool) {
	addr := l.OwnerAddr()
	if addr == "" || addr == l.Addr {
		return false, false
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	asked := l.now()
	p, err := l.Ask(ctx, addr)
	if err != nil {
		return false, false
	}
	if p.Owner {
		l.told, l.toldAt = p.Version, asked-time.Duration(p.AgeMs)*time.Millisecond
		l.others, l.othersAt = p.Most, asked
		l.mu.Lock()
		l.nodes = p.Nodes
		l.mu.Unlock()
	}
	return p.Owner && p.AgeMs < staleAfter.Milliseconds(), p.Owner
}
