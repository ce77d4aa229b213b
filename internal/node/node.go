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
	"greengageline/internal/metric"
	"greengageline/internal/peer"
	"greengageline/internal/route"
	"greengageline/internal/setup"
	"greengageline/internal/vmlist"
)

// Node is the server process of one entry VM. Set the exported fields, then call Prepare and
// Run.
type Node struct {
	Settings setup.Settings
	Host     *cell.Host
	Config   *config.Store
	VMList   *vmlist.List
	Log      *event.Log
	Meter    *metric.Meter
	// Dial creates the client for a peer's address. Tests replace it; nil means a peer.Client.
	Dial func(addr string) *peer.Client

	home   route.Home
	budget route.Budget
	conf   configView
	vms    vmRegistry
	mesh   mesh

	draining       atomic.Bool
	activeRequests atomic.Int64 // callers' and peers' requests in progress
	// changing has an element while a change of the configuration is in progress; waitingChanges counts those that wait.
	changing       chan struct{}
	waitingChanges atomic.Int64

	mu sync.Mutex
	// leaseManagers is keyed by cell and guarded by mu.
	leaseManagers map[string]*runningLeaseManager
	ctx           context.Context //nolint:containedctx // the context passed to Run
	loops         sync.WaitGroup
}

// runningLeaseManager is a lease manager whose Run was started. stop ends it, and done is closed after it
// has returned.
type runningLeaseManager struct {
	*cell.LeaseManager
	stop context.CancelFunc
	done chan struct{}
}

// Prepare connects the node's components. It must be called once before Run.
func (n *Node) Prepare() {
	if n.Dial == nil {
		n.Dial = func(addr string) *peer.Client { return &peer.Client{Addr: addr} }
	}
	n.changing = make(chan struct{}, 1)
	n.leaseManagers = map[string]*runningLeaseManager{}
	n.mesh.node = n
	n.budget.Percent = n.Settings.RetryPercent
	n.home.Slots = n.Settings.SlotsPerVM
	n.home.Call = n.Host.Workers.Call
	n.Host.Workers.CallConns = n.Settings.SlotsPerVM
	n.Host.Node, n.Host.Addr = n.Settings.Node, n.Settings.PeerAddress()
	n.Host.Settings = n.Settings
	n.Host.Log, n.Host.Meter = n.Log, n.Meter
	n.Host.Plan = n.plan
	n.Host.Refresh = n.refresh
	n.Host.Evacuated = n.evacuatedZones
	n.Host.VMs = n.vms.cellWorkers(n)
	n.Host.MarkWorkerLeaving = n.noteLeaving
}

// Run runs the node's background loops until ctx ends.
func (n *Node) Run(ctx context.Context) {
	n.mu.Lock()
	n.ctx = ctx
	n.mu.Unlock()
	n.Log.Emit(event.NodeStarted).Str("zone", n.Settings.Zone).Str("listen", n.Settings.Listen).
		Str("peer", n.Settings.PeerAddress()).Send()
	n.runEvery(ctx, n.Settings.ConfigPoll, n.followConfig)
	n.runEvery(ctx, n.Settings.VMPoll, n.readVMs)
	n.runEvery(ctx, n.Settings.Heartbeat, n.mesh.exchangeBeats)
	n.loops.Wait()
}

// runEvery starts a loop that runs task at once and then again after each pause, until ctx
// ends.
func (n *Node) runEvery(ctx context.Context, pause time.Duration, task func(context.Context)) {
	n.loops.Add(1)
	go func() {
		defer n.loops.Done()
		for ctx.Err() == nil {
			task(ctx)
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

// ensureLeaseManagers starts a lease manager for each cell that has none, unless the node is draining.
func (n *Node) ensureLeaseManagers() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.ctx == nil || n.draining.Load() {
		return
	}
	for _, name := range n.cells() {
		if n.leaseManagers[name] != nil {
			continue
		}
		ctx, cancel := context.WithCancel(context.WithoutCancel(n.ctx))
		k := &runningLeaseManager{
			LeaseManager: &cell.LeaseManager{Cell: name, Host: n.Host, Rank: n.takeoverRank},
			stop:         cancel, done: make(chan struct{}),
		}
		n.leaseManagers[name] = k
		go func() {
			defer close(k.done)
			k.Run(ctx)
		}()
	}
}

// cells returns the names of the plan's cells, sorted.
func (n *Node) cells() []string {
	plan, _ := n.plan()
	var names []string
	for name := range plan.Cells {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

func (n *Node) leaseManager(name string) *runningLeaseManager {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.leaseManagers[name]
}

func (n *Node) allLeaseManagers() []*runningLeaseManager {
	n.mu.Lock()
	defer n.mu.Unlock()
	var all []*runningLeaseManager
	for _, k := range n.leaseManagers {
		all = append(all, k)
	}
	return all
}

// takeoverRank returns this node's place in the order in which the live nodes that do not
// drain take over a free cell; 0 is first. It returns -1 if this node must not take one: it is
// draining or has not read the configuration.
func (n *Node) takeoverRank(name string) int {
	if n.draining.Load() || n.conf.load().folder.Head.Generation == 0 && !n.conf.loaded() {
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

// Ready returns nil if the load balancer may send callers to this node, else an error with the
// reason.
func (n *Node) Ready() error {
	switch {
	case n.draining.Load():
		return fmt.Errorf("node %s is draining", n.Settings.Node)
	case !n.conf.loaded():
		return fmt.Errorf("node %s has not read the configuration yet", n.Settings.Node)
	}
	return nil
}

// TrackRequest counts a request in progress, so that a planned shutdown waits for it. It returns the
// function that must be called when the request ends.
func (n *Node) TrackRequest() func() {
	n.activeRequests.Add(1)
	return func() { n.activeRequests.Add(-1) }
}

// drainPollInterval is how often a planned shutdown checks for requests in progress.
const drainPollInterval = 20 * time.Millisecond

// Drain performs a planned shutdown. The node reports that it is not ready, drains its cells
// and releases them so that other nodes take them over at once, and finishes the requests in
// progress. It reports whether all requests ended before ctx did.
func (n *Node) Drain(ctx context.Context) bool {
	n.draining.Store(true)
	n.Log.Emit(event.NodeDraining).Send()
	n.mesh.exchangeBeats(ctx)
	var wg sync.WaitGroup
	for _, k := range n.allLeaseManagers() {
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
	for n.activeRequests.Load() > 0 {
		if ctx.Err() != nil {
			return false
		}
		sleep(ctx, drainPollInterval)
	}
	return true
}

// Kill ends all lease managers without releasing their cells, as a crash would. Only tests use it.
func (n *Node) Kill() {
	for _, k := range n.allLeaseManagers() {
		k.stop()
		<-k.done
		if o := k.Owner(); o != nil {
			o.Abandon()
		}
	}
}

// Gauges returns the metrics of each cell. Only a cell that this node owns has more than its
// name.
func (n *Node) Gauges() []metric.Gauges {
	var out []metric.Gauges
	for _, k := range n.allLeaseManagers() {
		g := metric.Gauges{Cell: k.Cell}
		if o := k.Owner(); o != nil {
			s, _ := o.Stats()
			g = metric.Gauges{
				Cell: k.Cell, Owned: true, Fragmentation: s.Fragmentation, AtRisk: s.AtRisk,
				Queued: s.Queued, Running: s.Running, Open: s.Open, Quarantined: s.Quarantined,
			}
		}
		out = append(out, g)
	}
	return out
}

// plan returns the configuration in force and whether it was confirmed to be the newest within
// MaxConfigAge.
func (n *Node) plan() (config.Plan, bool) {
	s := n.conf.load()
	return s.plan, time.Since(s.confirmedAt) < n.Settings.MaxConfigAge && !s.confirmedAt.IsZero()
}

// noteLeaving records that a worker has reported that it is leaving.
func (n *Node) noteLeaving(id string) {
	n.vms.noteLeaving(id)
	n.home.MarkLeaving(id)
}
