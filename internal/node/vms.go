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

// vmBook is the VM list as last read, joined with what is known better: a VM
// that said it is leaving, or of which a peer says so, stays leaving for as
// long as the list names it.
type vmBook struct {
	mu sync.Mutex
	// All below is guarded by mu.
	read    bool
	list    []model.VM
	leaving map[string]bool
	bad     map[string]bool
}

func (b *vmBook) noteLeaving(ids ...string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.leaving == nil {
		b.leaving = map[string]bool{}
	}
	for _, id := range ids {
		b.leaving[id] = true
	}
}

// set replaces the list and forgets leaving VMs that it no longer names.
func (b *vmBook) set(list []model.VM) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.read = true
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
}

// newBad returns the ids of bad entries that were not seen before.
func (b *vmBook) newBad(ids []string) (fresh []string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.bad == nil {
		b.bad = map[string]bool{}
	}
	for _, id := range ids {
		if !b.bad[id] {
			fresh = append(fresh, id)
		}
		b.bad[id] = true
	}
	return fresh
}

func (b *vmBook) pick(role string) []model.VM {
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

func (b *vmBook) targets() []model.VM { return b.pick("") }

func (b *vmBook) entries() []model.VM { return b.pick(model.RoleEntry) }

func (b *vmBook) leavers() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	var ids []string
	for id := range b.leaving {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// cell returns the function by which owners read the workers of a cell.
func (b *vmBook) cell(n *Node) func(string) ([]model.VM, bool) {
	return func(name string) ([]model.VM, bool) {
		b.mu.Lock()
		read := b.read
		b.mu.Unlock()
		plan, _ := n.plan()
		vms := slices.DeleteFunc(b.targets(), func(vm model.VM) bool { return plan.CellOf(vm.Zone) != name })
		return vms, read
	}
}

// readVMs takes over the platform's list.
func (n *Node) readVMs(ctx context.Context) {
	list, bad, err := n.VMList.Read(ctx)
	if err != nil {
		return
	}
	for _, id := range n.vms.newBad(bad) {
		n.Log.Emit(event.BadVM).Str("worker", id).Send()
	}
	n.vms.set(list)
	n.settleHomes()
	n.ensureKeepers()
}

// settleHomes gives this node the targets of which it is the home.
func (n *Node) settleHomes() {
	names := []string{n.Settings.Node}
	for _, p := range n.mesh.live() {
		names = append(names, p.Node)
	}
	var mine []model.VM
	for _, vm := range n.vms.targets() {
		if route.Rank(vm.ID, names)[0] == n.Settings.Node {
			mine = append(mine, vm)
		}
	}
	n.home.Set(mine)
}
