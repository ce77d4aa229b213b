package node

import (
	"context"
	"fmt"

	"greengageline/internal/config"
	"greengageline/internal/event"
	"greengageline/internal/place"
)

// Status is one node's view of the fleet.
type Status struct {
	Node       string                 `json:"node"`
	Zone       string                 `json:"zone"`
	Draining   bool                   `json:"draining"`
	Generation uint64                 `json:"generation"`
	Fresh      bool                   `json:"fresh"`
	Nodes      []PeerStatus           `json:"nodes"`
	Cells      []CellStatus           `json:"cells"`
	Workspaces []place.WorkspaceStats `json:"workspaces,omitempty"`
	Targets    int                    `json:"targets"`
	FreeSlots  int                    `json:"free_slots"`
}

// PeerStatus describes a live node.
type PeerStatus struct {
	Node       string `json:"node"`
	Addr       string `json:"addr"`
	Zone       string `json:"zone"`
	Generation uint64 `json:"generation"`
	Draining   bool   `json:"draining"`
}

// CellStatus describes a cell, with its statistics if this node owns it.
type CellStatus struct {
	Cell  string       `json:"cell"`
	Owner string       `json:"owner"`
	Epoch uint64       `json:"epoch"`
	Ready bool         `json:"ready"`
	Stats *place.Stats `json:"stats,omitempty"`
}

// Status returns the node's current view of the fleet.
func (n *Node) Status() Status {
	plan, fresh := n.plan()
	s := Status{
		Node: n.Settings.Node, Zone: n.Settings.Zone, Draining: n.draining.Load(),
		Generation: plan.Generation, Fresh: fresh,
		Targets: len(n.vms.targets()), FreeSlots: n.home.Free(),
	}
	s.Nodes = append(s.Nodes, PeerStatus{n.Settings.Node, n.Settings.PeerAddress(), n.Settings.Zone, plan.Generation, s.Draining})
	for _, b := range n.mesh.live() {
		s.Nodes = append(s.Nodes, PeerStatus{b.Node, b.Addr, b.Zone, b.Generation, b.Draining})
	}
	for _, name := range n.cells() {
		s.Cells = append(s.Cells, n.cellStatus(name, &s))
	}
	return s
}

func (n *Node) cellStatus(name string, s *Status) CellStatus {
	out := CellStatus{Cell: name}
	k := n.leaseManager(name)
	if k == nil {
		return out
	}
	right := k.LastOwnership()
	out.Owner, out.Epoch = right.Owner, right.Epoch
	o := k.Owner()
	if o == nil {
		return out
	}
	stats, ok := o.Stats()
	if !ok {
		return out
	}
	out.Ready = o.Ready()
	s.Workspaces = append(s.Workspaces, stats.Workspaces...)
	stats.Workspaces = nil
	out.Stats = &stats
	return out
}

// maxWaitingChanges bounds the changes of the configuration that wait for their turn on a node.
const maxWaitingChanges = 16

// awaitChange waits until no other change of the configuration is in progress on this node: each takes several times the
// memory of the files, and of two at once one would have to be repeated. done must be called at the end of the change.
func (n *Node) awaitChange(ctx context.Context) (done func(), err error) {
	defer n.waitingChanges.Add(-1)
	if n.waitingChanges.Add(1) > maxWaitingChanges {
		return nil, fmt.Errorf("%d changes wait already: %w", maxWaitingChanges, config.ErrUnavailable)
	}
	select {
	case n.changing <- struct{}{}:
		return func() { <-n.changing }, nil
	case <-ctx.Done():
		return nil, fmt.Errorf("%w: %w", config.ErrUnavailable, ctx.Err())
	}
}

// ChangeConfig writes a new generation of the configuration and applies it here at once. It
// refuses a change whose guarantees cannot be packed on the workers of the VM list.
func (n *Node) ChangeConfig(ctx context.Context, c config.Change) (uint64, error) {
	done, err := n.awaitChange(ctx)
	if err != nil {
		return 0, err
	}
	defer done()
	generation, err := n.Config.Change(ctx, c, func(p config.Plan) error {
		targets := n.vms.targets()
		before, _ := n.plan()
		if err := p.CheckZoneMoves(before, targets); err != nil {
			return err
		}
		return p.CheckGuaranteesFit(targets)
	})
	if err != nil {
		return 0, err
	}
	n.Log.Emit(event.ConfigAccepted).Uint64("generation", generation).Str("author", c.Author).
		Str("note", c.Note).Send()
	n.followConfig(ctx)
	n.mesh.exchangeBeats(ctx) // peers learn of the generation from the heartbeat and read it at once
	return generation, nil
}
