package node

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"greengageline/internal/cell"
	"greengageline/internal/config"
	"greengageline/internal/event"
	"greengageline/internal/meter"
	"greengageline/internal/peer"
	"greengageline/internal/route"
	"greengageline/internal/setup"
	"greengageline/internal/vmlist"
)

// Node is one process of the fleet; New makes it and Run serves.
type Node struct {
	Settings setup.Settings
	Host     *cell.Host
	Config   *config.Store
	VMList   *vmlist.List
	Log      *event.Log
	Meter    *meter.Meter
	// Dial makes the client for a peer's address; a seam for tests.
	Dial func(addr string) *peer.Client

	home   route.Home
	budget route.Budget
	conf   follower
	vms    vmBook
	mesh   mesh

	draining atomic.Bool
	busy     atomic.Int64 // requests in progress

	mu sync.Mutex
	// keepers is guarded by mu.
	keepers map[string]*keeperRun
	ctx     context.Context //nolint:containedctx // the lifetime that Run was given
	duties  sync.WaitGroup
}

// keeperRun is a running keeper.
type keeperRun struct {
	*cell.Keeper
	stop context.CancelFunc
	done chan struct{}
}

// Prepare connects the node's parts; it must be called once before Run.
func (n *Node) Prepare() {
	if n.Dial == nil {
		n.Dial = func(addr string) *peer.Client { return &peer.Client{Addr: addr} }
	}
	n.keepers = map[string]*keeperRun{}
	n.mesh.node = n
	n.budget.Percent = n.Settings.RetryPercent
	n.home.Slots = n.Settings.SlotsPerVM
	n.home.Call = n.Host.Workers.Call
	n.Host.Workers.CallConns = n.Settings.SlotsPerVM
	n.Host.Node, n.Host.Addr = n.Settings.Node, n.Settings.Address()
	n.Host.Settings = n.Settings
	n.Host.Log, n.Host.Meter = n.Log, n.Meter
	n.Host.Plan = n.plan
	n.Host.Refresh = n.refresh
	n.Host.VMs = n.vms.cell(n)
	n.Host.NoteLeaving = n.noteLeaving
}

// Run performs the node's duties until ctx ends.
func (n *Node) Run(ctx context.Context) {
	n.mu.Lock()
	n.ctx = ctx
	n.mu.Unlock()
	n.Log.Emit(event.NodeStarted).Str("zone", n.Settings.Zone).Str("listen", n.Settings.Listen).
		Str("peer", n.Settings.Address()).Send()
	n.every(ctx, n.Settings.ConfigPoll, n.followConfig)
	n.every(ctx, n.Settings.VMPoll, n.readVMs)
	n.every(ctx, n.Settings.Heartbeat, n.mesh.turn)
	n.duties.Wait()
}

// every runs a duty at once and then again after each pause.
func (n *Node) every(ctx context.Context, pause time.Duration, duty func(context.Context)) {
	n.duties.Add(1)
	go func() {
		defer n.duties.Done()
		for ctx.Err() == nil {
			duty(ctx)
			sleep(ctx, pause)
		}
	}()
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// ensureKeepers starts a keeper for each cell that exists.
func (n *Node) ensureKeepers() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.ctx == nil || n.draining.Load() {
		return
	}
	for _, name := range n.cells() {
		if n.keepers[name] != nil {
			continue
		}
		ctx, cancel := context.WithCancel(context.WithoutCancel(n.ctx))
		k := &keeperRun{
			Keeper: &cell.Keeper{Cell: name, Host: n.Host, Rank: n.rank},
			stop:   cancel, done: make(chan struct{}),
		}
		n.keepers[name] = k
		go func() {
			defer close(k.done)
			k.Run(ctx)
		}()
	}
}

// cells lists the cells of the plan and of the VM list, sorted.
func (n *Node) cells() []string {
	plan, _ := n.plan()
	var names []string
	for name := range plan.Cells {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

func (n *Node) keeper(name string) *keeperRun {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.keepers[name]
}

func (n *Node) allKeepers() []*keeperRun {
	n.mu.Lock()
	defer n.mu.Unlock()
	var all []*keeperRun
	for _, k := range n.keepers {
		all = append(all, k)
	}
	return all
}

// rank is this node's turn to take a free cell.
func (n *Node) rank(name string) int {
	if n.draining.Load() || n.conf.load().folder.Head.Generation == 0 && !n.conf.known() {
		return -1
	}
	var names []string
	for _, p := range n.mesh.live() {
		if !p.Draining {
			names = append(names, p.Node)
		}
	}
	names = append(names, n.Settings.Node)
	return slices.Index(route.Rank(name, names), n.Settings.Node)
}

// Ready reports whether the balancer should send callers here.
func (n *Node) Ready() error {
	switch {
	case n.draining.Load():
		return fmt.Errorf("node %s is draining", n.Settings.Node)
	case !n.conf.known():
		return fmt.Errorf("node %s has not read the configuration yet", n.Settings.Node)
	}
	return nil
}

// Begin counts a caller's request, so that a planned stop waits for it; it
// returns the function that ends it.
func (n *Node) Begin() func() {
	n.busy.Add(1)
	return func() { n.busy.Add(-1) }
}

// drainPoll is how often a planned stop looks for requests in progress.
const drainPoll = 20 * time.Millisecond

// Drain performs a planned stop: readiness goes off, cells are settled and
// released so that others take them at once, and requests in progress are
// finished. It reports whether everything ended within ctx.
func (n *Node) Drain(ctx context.Context) bool {
	n.draining.Store(true)
	n.Log.Emit(event.NodeDraining).Send()
	n.mesh.turn(ctx)
	var wg sync.WaitGroup
	for _, k := range n.allKeepers() {
		wg.Add(1)
		go func() {
			defer wg.Done()
			k.Drain(ctx)
			k.stop()
			<-k.done
			k.Release(ctx)
		}()
	}
	wg.Wait()
	for n.busy.Load() > 0 {
		if ctx.Err() != nil {
			return false
		}
		sleep(ctx, drainPoll)
	}
	return true
}

// Kill ends all keepers without releasing their cells, as a crash would; tests
// use it.
func (n *Node) Kill() {
	for _, k := range n.allKeepers() {
		k.stop()
		<-k.done
		if o := k.Owner(); o != nil {
			o.Abandon()
		}
	}
}

// Gauges returns the metrics of the cells.
func (n *Node) Gauges() []meter.Gauges {
	var out []meter.Gauges
	for _, k := range n.allKeepers() {
		g := meter.Gauges{Cell: k.Cell}
		if o := k.Owner(); o != nil {
			s, _ := o.Stats()
			g = meter.Gauges{
				Cell: k.Cell, Owned: true, Fragmentation: s.Fragmentation, AtRisk: s.AtRisk,
				Queued: s.Queued, Running: s.Running, Open: s.Open, Quarantined: s.Quarantined,
			}
		}
		out = append(out, g)
	}
	return out
}

// plan returns the configuration in force and whether it is fresh.
func (n *Node) plan() (config.Plan, bool) {
	s := n.conf.load()
	return s.plan, time.Since(s.freshAt) < n.Settings.FreshBound && !s.freshAt.IsZero()
}

// noteLeaving records a worker's own word that it is leaving.
func (n *Node) noteLeaving(id string) {
	n.vms.noteLeaving(id)
	n.home.Leaving(id)
}
