package edge

import (
	"maps"
	"time"

	"greengageline/internal/leader"
)

// Evacuation is the operator's request that nothing starts in a zone, or its withdrawal, with its version in the store.
type Evacuation struct {
	Zone    string
	Active  bool
	Version uint64
}

// evacuationView is what followPlan has read of the evacuated zones.
type evacuationView struct {
	zones map[string]bool // never changed once published
	// versions has the version of the last request or withdrawal that was read for a zone.
	versions map[string]uint64
	version  uint64 // of the store, as last read
	complete bool   // a full read has been applied
}

// apply applies a change and reports whether it shows the view to be the newest.
func (v *evacuationView) apply(c Change) bool {
	if c.Full {
		if v.complete && c.Version < v.version {
			return false // a read that is older than what is known
		}
		v.zones, v.versions, v.complete = map[string]bool{}, map[string]uint64{}, true
	}
	if !v.complete {
		return false
	}
	if len(c.Evacuations) > 0 {
		v.zones = maps.Clone(v.zones)
	}
	for _, e := range c.Evacuations {
		if e.Version < v.versions[e.Zone] {
			continue
		}
		v.versions[e.Zone] = e.Version
		if delete(v.zones, e.Zone); e.Active {
			v.zones[e.Zone] = true
		}
	}
	v.version = max(v.version, c.Version)
	return !c.Behind
}

// applyEvacuations publishes the evacuated zones after a change that was asked for at sent.
func (n *Node) applyEvacuations(v *evacuationView, c Change, sent time.Duration) {
	newest := v.apply(c)
	next := leader.Evacuations{Zones: v.zones, ConfirmedAt: n.Evacuations().ConfirmedAt}
	if newest {
		next.ConfirmedAt = sent
	}
	n.evacuations.Store(&next)
}

// Evacuations returns the evacuated zones as this node has read them last.
func (n *Node) Evacuations() leader.Evacuations {
	if p := n.evacuations.Load(); p != nil {
		return *p
	}
	return leader.Evacuations{}
}
