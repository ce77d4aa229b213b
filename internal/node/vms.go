package node

import (
	"context"
	"slices"
	"strings"
	"sync"

	"greengageline/internal/event"
	"greengageline/internal/route"
	"greengageline/pkg/model"
)

// vmRegistry holds the VM list as last read, and the VMs known to be leaving. A VM that has
// reported that it is leaving, or that a peer reports as leaving, stays so for as long as the
// list names it.
type vmRegistry struct {
	mu sync.Mutex
	// The fields below are guarded by mu.
	loaded      bool
	list        []model.VM
	listed      map[string]bool // the ids in list
	leaving     map[string]bool
	reportedBad map[string]bool
}

// noteLeaving records VMs that are leaving. Those that the list does not name are not recorded once it has been read; peers
// repeat what they report.
func (b *vmRegistry) noteLeaving(ids ...string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.leaving == nil {
		b.leaving = map[string]bool{}
	}
	for _, id := range ids {
		if !b.loaded && len(b.leaving) < maxUnlisted || b.listed[id] {
			b.leaving[id] = true
		}
	}
}

// maxUnlisted bounds the leaving VMs that are recorded before the list has been read.
const maxUnlisted = 4096

// replace replaces the list and removes leaving VMs that it no longer names.
func (b *vmRegistry) replace(list []model.VM) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.loaded = true
	b.list = list
	named := map[string]bool{}
	for _, vm := range list {
		named[vm.ID] = true
		if vm.Leaving && b.leaving == nil {
			b.leaving = map[string]bool{}
		}
		if vm.Leaving {
			b.leaving[vm.ID] = true
		}
	}
	for id := range b.leaving {
		if !named[id] {
			delete(b.leaving, id)
		}
	}
	b.listed = named
}

// newlyBad returns those of the IDs of invalid list entries that it was not given before.
func (b *vmRegistry) newlyBad(ids []string) (fresh []string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.reportedBad == nil {
		b.reportedBad = map[string]bool{}
	}
	for _, id := range ids {
		if !b.reportedBad[id] {
			fresh = append(fresh, id)
		}
		b.reportedBad[id] = true
	}
	return fresh
}

func (b *vmRegistry) byRole(role string) []model.VM {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []model.VM
	for _, vm := range b.list {
		if vm.Role != role {
			continue
		}
		vm.Leaving = vm.Leaving || b.leaving[vm.ID]
		out = append(out, vm)
	}
	slices.SortFunc(out, func(x, y model.VM) int { return strings.Compare(x.ID, y.ID) })
	return out
}

func (b *vmRegistry) targets() []model.VM { return b.byRole("") }

func (b *vmRegistry) entryVMs() []model.VM { return b.byRole(model.RoleEntry) }

func (b *vmRegistry) leavingIDs() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	var ids []string
	for id := range b.leaving {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// cellWorkers returns the function with which owners read the workers of a cell. Its second
// result is false until the VM list has been read.
func (b *vmRegistry) cellWorkers(n *Node) func(string) ([]model.VM, bool) {
	return func(name string) ([]model.VM, bool) {
		b.mu.Lock()
		read := b.loaded
		b.mu.Unlock()
		plan, _ := n.plan()
		vms := slices.DeleteFunc(b.targets(), func(vm model.VM) bool { return plan.CellOf(vm.Zone) != name })
		return vms, read
	}
}

// readVMs reads the platform's VM list and applies it. If the read fails, the last list stays
// in use.
func (n *Node) readVMs(ctx context.Context) {
	list, bad, err := n.VMList.Read(ctx)
	if err != nil {
		return
	}
	for _, id := range n.vms.newlyBad(bad) {
		n.Log.Emit(event.BadVM).Str("worker", id).Send()
	}
	n.vms.replace(list)
	n.updateHomeTargets()
	n.ensureLeaseManagers()
}

// updateHomeTargets assigns to this node the targets of which it is the home node.
func (n *Node) updateHomeTargets() {
	names := []string{n.Settings.Node}
	for _, p := range n.mesh.live() {
		names = append(names, p.Node)
	}
	var mine []model.VM
	evacuated := n.evacuatedZones()
	for _, vm := range n.vms.targets() {
		vm.Leaving = vm.Leaving || evacuated[vm.Zone]
		if route.Rank(vm.ID, names)[0] == n.Settings.Node {
			mine = append(mine, vm)
		}
	}
	n.home.SetTargets(mine)
}
