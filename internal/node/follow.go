package node

import (
	"context"
	"sync/atomic"
	"time"

	"greengageline/internal/config"
	"greengageline/internal/event"
)

// configSnapshot is the configuration as read at one time. It is immutable.
type configSnapshot struct {
	folder      config.Folder
	plan        config.Plan
	evacuated   map[string]bool
	confirmedAt time.Time // when the read was sent that last confirmed that the plan is the newest
}

// configView holds the configuration in force on this node. Its generation never decreases.
type configView struct {
	state       atomic.Pointer[configSnapshot]
	staleLogged atomic.Bool
}

func (f *configView) load() configSnapshot {
	if s := f.state.Load(); s != nil {
		return *s
	}
	return configSnapshot{}
}

// advance replaces the snapshot unless a newer one is already in place: several reads may be
// in progress at once.
func (f *configView) advance(next *configSnapshot) {
	for {
		old := f.state.Load()
		if old != nil && (old.plan.Generation > next.plan.Generation || old.confirmedAt.After(next.confirmedAt)) {
			return
		}
		if f.state.CompareAndSwap(old, next) {
			return
		}
	}
}

// loaded reports whether the configuration was read at least once.
func (f *configView) loaded() bool { return f.state.Load() != nil }

// KnownConfig returns the files of the configuration as last read.
func (n *Node) KnownConfig() config.Folder { return n.conf.load().folder }

// followConfig is refresh without its result, for use as a background task.
func (n *Node) followConfig(ctx context.Context) { n.refresh(ctx) }

// refresh reads the evacuated zones, the head of the configuration and the changes since the last read, and reports
// whether that succeeded. Freshness counts from before the read was sent.
func (n *Node) refresh(ctx context.Context) bool {
	sentAt := time.Now()
	ctx, cancel := context.WithTimeout(ctx, n.Settings.MaxConfigAge/2)
	defer cancel()
	current := n.conf.load()
	evacuated, err := n.readEvacuated(ctx)
	if err != nil {
		n.logStale(err)
		return false
	}
	folder, err := n.Config.Refresh(ctx, current.folder)
	if err != nil {
		n.logStale(err)
		return false
	}
	plan := current.plan
	if folder.Head.Generation > current.plan.Generation || !n.conf.loaded() {
		plan, err = folder.Plan()
		if err != nil {
			n.logStale(err)
			return false
		}
		n.Log.Emit(event.ConfigInForce).Uint64("generation", plan.Generation).Str("hash", plan.Hash).Send()
	}
	n.conf.advance(&configSnapshot{folder: folder, plan: plan, evacuated: evacuated, confirmedAt: sentAt})
	if n.conf.staleLogged.CompareAndSwap(true, false) {
		n.Log.Emit(event.NodeFresh).Uint64("generation", plan.Generation).Send()
	}
	n.ensureLeaseManagers()
	return true
}

// logStale logs, once per stale period, that the configuration is not confirmed to be the
// newest.
func (n *Node) logStale(err error) {
	s := n.conf.load()
	if s.confirmedAt.IsZero() || time.Since(s.confirmedAt) < n.Settings.MaxConfigAge {
		return
	}
	if n.conf.staleLogged.CompareAndSwap(false, true) {
		n.Log.Emit(event.NodeStale).Uint64("generation", s.plan.Generation).Err(err).Send()
	}
}

// fetchIfNewer reads the configuration if generation, which a peer reported, is newer than the
// one in force.
func (n *Node) fetchIfNewer(ctx context.Context, generation uint64) {
	if generation > n.conf.load().plan.Generation {
		n.followConfig(ctx)
	}
}
