package node

import (
	"context"
	"sync/atomic"
	"time"

	"greengageline/internal/config"
	"greengageline/internal/event"
)

// confState is one immutable view of the configuration.
type confState struct {
	folder  config.Folder
	plan    config.Plan
	freshAt time.Time // when the newest proof of freshness was asked for
}

// follower holds the configuration in force on this node; it only moves to
// higher generations.
type follower struct {
	state atomic.Pointer[confState]
	stale atomic.Bool
}

func (f *follower) load() confState {
	if s := f.state.Load(); s != nil {
		return *s
	}
	return confState{}
}

// advance replaces the view unless a newer one came first: several reads may
// be under way at once.
func (f *follower) advance(next *confState) {
	for {
		old := f.state.Load()
		if old != nil && (old.plan.Generation > next.plan.Generation || old.freshAt.After(next.freshAt)) {
			return
		}
		if f.state.CompareAndSwap(old, next) {
			return
		}
	}
}

// known reports whether the configuration was read at least once.
func (f *follower) known() bool { return f.state.Load() != nil }

// followConfig reads the head and what changed since; freshness counts from
// before the read was sent.
func (n *Node) followConfig(ctx context.Context) { n.refresh(ctx) }

// refresh is followConfig, and reports whether the head could be read.
func (n *Node) refresh(ctx context.Context) bool {
	asked := time.Now()
	ctx, cancel := context.WithTimeout(ctx, n.Settings.FreshBound/2)
	defer cancel()
	have := n.conf.load()
	folder, err := n.Config.Follow(ctx, have.folder)
	if err != nil {
		n.noteStale(err)
		return false
	}
	plan := have.plan
	if folder.Head.Generation > have.plan.Generation || !n.conf.known() {
		plan, err = folder.Plan()
		if err != nil {
			n.noteStale(err)
			return false
		}
		n.Log.Emit(event.ConfigInForce).Uint64("generation", plan.Generation).Str("hash", plan.Hash).Send()
	}
	n.conf.advance(&confState{folder: folder, plan: plan, freshAt: asked})
	if n.conf.stale.CompareAndSwap(true, false) {
		n.Log.Emit(event.NodeFresh).Uint64("generation", plan.Generation).Send()
	}
	n.ensureKeepers()
	return true
}

// noteStale logs once that the configuration can't be shown to be fresh.
func (n *Node) noteStale(err error) {
	s := n.conf.load()
	if s.freshAt.IsZero() || time.Since(s.freshAt) < n.Settings.FreshBound {
		return
	}
	if n.conf.stale.CompareAndSwap(false, true) {
		n.Log.Emit(event.NodeStale).Uint64("generation", s.plan.Generation).Err(err).Send()
	}
}

// heardGeneration fetches a newer generation that a peer has told of.
func (n *Node) heardGeneration(ctx context.Context, generation uint64) {
	if generation > n.conf.load().plan.Generation {
		n.followConfig(ctx)
	}
}
