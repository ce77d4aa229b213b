package node

import (
	"context"
	"fmt"
	"slices"

	"greengageline/internal/config"
	"greengageline/pkg/model"
)

// evacuatedZones returns the zones that are evacuated as far as this node has read. Their freshness is that of the plan.
func (n *Node) evacuatedZones() map[string]bool { return n.conf.load().evacuated }

// readEvacuated reads the evacuated zones.
func (n *Node) readEvacuated(ctx context.Context) (map[string]bool, error) {
	list, err := n.Config.Evacuations(ctx)
	if err != nil {
		return nil, err
	}
	out := make(map[string]bool, len(list))
	for _, e := range list {
		out[e.Zone] = true
	}
	return out, nil
}

// Evacuate stores a request to evacuate a zone, or its withdrawal, and applies it here at once. It refuses a zone that
// neither the configuration nor the VM list names.
func (n *Node) Evacuate(ctx context.Context, e config.Evacuation) error {
	plan, _ := n.plan()
	known := plan.CellOf(e.Zone) != "" || slices.ContainsFunc(n.vms.targets(), func(vm model.VM) bool { return vm.Zone == e.Zone })
	if !e.Withdrawn && !known {
		return fmt.Errorf("no cell and no VM is in zone %q: %w", e.Zone, config.ErrInvalid)
	}
	if err := n.Config.SetEvacuation(ctx, e); err != nil {
		return err
	}
	n.followConfig(ctx)
	n.updateHomeTargets()
	return nil
}
