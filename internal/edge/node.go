package edge

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"

	"greengageline/internal/clock"
	"greengageline/internal/event"
	"greengageline/internal/lead"
	"greengageline/internal/meter"
	"greengageline/internal/peer"
	"greengageline/internal/rows"
	"greengageline/pkg/model"
)

var (
	// ErrNoQueue means that the plan has no such queue.
	ErrNoQueue = errors.New("no such queue")
	// ErrKey means that the key belongs to no workspace.
	ErrKey = errors.New("unknown key")
	// ErrNotReady means that this node can't serve callers now; nothing was done.
	ErrNotReady = errors.New("node is not ready")
	// ErrBusy means that the store refused the write; nothing was done.
	ErrBusy = errors.New("store refused the write")
	// ErrUnclear means that the work may have been accepted, or still may be.
	ErrUnclear = errors.New("outcome is not known")
)

// Change is a newer plan, or none if Plan is nil, with the store's version from
// which to go on.
type Change struct {
	Plan    *model.Plan
	Version uint64
}

// Node is one node; set the exported fields, then Run.
type Node struct {
	Name string
	Rows *rows.Store
	Lead *lead.Lead
	Log  *event.Log
	// Follow returns the plan after a version, waiting up to wait for a change;
	// with version 0 it reads the present one.
	Follow func(ctx context.Context, after uint64, wait time.Duration) (Change, error)
	// Meter counts calls; nil counts nothing.
	Meter *meter.Work
	// FreshFor is how long a plan that was the newest may be acted on.
	FreshFor time.Duration
	// Dial makes the client for a node's address; nil means peer.Client.
	Dial func(addr string) *peer.Client
	// Now is the steady clock; nil means clock.Boot.
	Now func() time.Duration

	plan    atomic.Pointer[model.Plan]
	freshAt atomic.Int64 // ns of the steady clock; 0 before the first plan
	stale   atomic.Bool
	// storeBad is set by a call of the store that failed and cleared by one
	// that did not; the plan's reads go on all the while.
	storeBad atomic.Bool
	// wroteIn is how long the last write took that succeeded, in ns.
	wroteIn  atomic.Int64
	draining atomic.Bool

	scanning sync.Mutex
	// scan is guarded by scanning, which lets one scan run at a time.
	scan scan

	mu sync.Mutex
	// peers is guarded by mu.
	peers map[string]*peer.Client
}

func (n *Node) now() time.Duration {
	if n.Now != nil {
		return n.Now()
	}
	return clock.Boot()
}

// Plan returns the newest plan known here; its Version is 0 before the first.
func (n *Node) Plan() model.Plan {
	if p := n.plan.Load(); p != nil {
		return *p
	}
	return model.Plan{}
}

// Ready reports whether callers should be sent here.
func (n *Node) Ready() error {
	if n.draining.Load() {
		return fmt.Errorf("%w: it is being stopped", ErrNotReady)
	}
	return n.fresh()
}

// fresh reports whether the plan can be shown to be recent.
func (n *Node) fresh() error {
	at := time.Duration(n.freshAt.Load())
	if at == 0 {
		return fmt.Errorf("%w: it has read no plan yet", ErrNotReady)
	}
	if age := n.now() - at; age > n.FreshFor {
		return fmt.Errorf("%w: its plan was last shown to be the newest %s ago", ErrNotReady, age)
	}
	return nil
}

// statsTimeout bounds the figures of a scrape.
const statsTimeout = 200 * time.Millisecond

// Gauges returns the node's figures for a scrape.
func (n *Node) Gauges() meter.WorkGauges {
	g := meter.WorkGauges{Plan: n.Plan().Version}
	if at := time.Duration(n.freshAt.Load()); at != 0 {
		g.PlanAge = n.now() - at
	}
	if n.Lead.Count != nil {
		g.StoreFails = n.Lead.Count.StoreFailed.Load()
	}
	p := n.Lead.Pulse(0)
	g.Owner, g.Epoch = p.Owner, p.Epoch
	if o := n.Lead.Own(); o != nil {
		g.CommitAge = time.Duration(p.AgeMs) * time.Millisecond
		ctx, cancel := context.WithTimeout(context.Background(), statsTimeout)
		defer cancel()
		if st, ok := o.Stats(ctx); ok {
			g.OpenJobs, g.Unstarted, g.Placed, g.Quarantine, g.Silent = st.Open, st.Unstarted, st.Placed, st.Quarantined, st.Silent
		}
	}
	return g
}

// Run performs the node's duties until ctx ends.
func (n *Node) Run(ctx context.Context) {
	var wg sync.WaitGroup
	for _, duty := range []func(context.Context){n.followPlan, n.Lead.Run, n.watchFresh} {
		wg.Add(1)
		go func() {
			defer wg.Done()
			duty(ctx)
		}()
	}
	wg.Wait()
}

const (
	// planWait is how long a read of the plan waits for a change; each answer
	// shows that the plan is the newest, so it is a fraction of FreshFor.
	planWait = time.Second
	// planSlack bounds the answer besides that; a slow store takes 0.4 s.
	planSlack = 1200 * time.Millisecond
	// planRetry is the pause after a failed read.
	planRetry = 100 * time.Millisecond
)

func (n *Node) followPlan(ctx context.Context) {
	var after uint64
	wait := time.Duration(0)
	for ctx.Err() == nil {
		sent := n.now()
		callCtx, cancel := context.WithTimeout(ctx, wait+planSlack)
		change, err := n.Follow(callCtx, after, wait)
		cancel()
		n.noteStore(err)
		switch {
		case errors.Is(err, rows.ErrCompacted):
			after, wait = 0, 0
			continue
		case err != nil:
			// The next read does not wait, so that freshness is shown as soon
			// as the store answers again.
			wait = 0
			clock.Sleep(ctx, planRetry)
			continue
		}
		after, wait = max(after, change.Version), planWait
		n.apply(change.Plan)
		if n.plan.Load() != nil {
			n.freshAt.Store(int64(sent))
		}
	}
}

// noteStore notes whether the store answers this node.
func (n *Node) noteStore(err error) {
	n.storeBad.Store(errors.Is(err, rows.ErrRefused) || errors.Is(err, rows.ErrUnclear))
}

// apply puts a newer plan in force; a node never goes back to an older one.
func (n *Node) apply(p *model.Plan) {
	if p == nil || p.Version <= n.Plan().Version {
		return
	}
	n.plan.Store(p)
	n.Log.Emit(event.PlanInForce).Uint64("plan", p.Version).Int("queues", len(p.Queues)).Int("workspaces", len(p.Spaces)).Send()
}

// freshCheck is how often a change of freshness is looked for, for the log.
const freshCheck = 200 * time.Millisecond

func (n *Node) watchFresh(ctx context.Context) {
	for ctx.Err() == nil {
		err := n.fresh()
		switch {
		case err != nil && n.freshAt.Load() != 0 && n.stale.CompareAndSwap(false, true):
			n.Log.Emit(event.PlanStale).Uint64("plan", n.Plan().Version).Err(err).Send()
		case err == nil && n.stale.CompareAndSwap(true, false):
			n.Log.Emit(event.PlanFresh).Uint64("plan", n.Plan().Version).Send()
		}
		clock.Sleep(ctx, freshCheck)
	}
}

// Drain begins a planned stop: callers are sent elsewhere and the ownership is
// handed on. Requests are still served.
func (n *Node) Drain(ctx context.Context) {
	n.draining.Store(true)
	n.Log.Emit(event.NodeDraining).Send()
	n.Lead.Resign(ctx)
}

// Draining reports whether a planned stop has begun.
func (n *Node) Draining() bool { return n.draining.Load() }

type pulseIn struct {
	From string `json:"from"`
	// Cores is 0 for a node that could not own the work now.
	Cores float64 `json:"cores"`
}

// Server returns the gRPC server for the other nodes.
func (n *Node) Server() *grpc.Server {
	return peer.Serve(
		peer.Method("Pulse", func(_ context.Context, in *pulseIn) (*lead.Pulse, error) {
			p := n.Lead.Pulse(in.Cores)
			return &p, nil
		}),
		peer.Method("Serve", n.serveRelayed),
		peer.Method("Note", n.noted),
	)
}

// Ask asks the node at addr how it is; it is the Ask of a lead.Lead.
func (n *Node) Ask(ctx context.Context, addr string) (lead.Pulse, error) {
	var out lead.Pulse
	in := pulseIn{From: n.Name}
	if !n.storeBad.Load() && n.fresh() == nil {
		in.Cores = n.Lead.Cores // without the store it could not own the work
	}
	err := n.call(ctx, addr, "Pulse", &in, &out)
	return out, err
}

// call asks another node and drops the connection after a failure, so that the
// next call dials: a connection may be silent while new ones work.
func (n *Node) call(ctx context.Context, addr, method string, in, out any) error {
	c := n.peer(addr)
	if err := c.Ask(ctx, method, in, out); err != nil {
		c.Close()
		return fmt.Errorf("ask node %s: %w", addr, err)
	}
	return nil
}

func (n *Node) peer(addr string) *peer.Client {
	n.mu.Lock()
	defer n.mu.Unlock()
	c := n.peers[addr]
	if c != nil {
		return c
	}
	if n.peers == nil {
		n.peers = map[string]*peer.Client{}
	}
	c = &peer.Client{Addr: addr}
	if n.Dial != nil {
		c = n.Dial(addr)
	}
	n.peers[addr] = c
	return c
}
