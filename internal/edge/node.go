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
	"greengageline/internal/guard"
	"greengageline/internal/leader"
	"greengageline/internal/metric"
	"greengageline/internal/peer"
	"greengageline/internal/relay"
	"greengageline/internal/rows"
	"greengageline/pkg/model"
)

var (
	// ErrNoQueue means that the plan has no queue for the host and path of the call.
	ErrNoQueue = errors.New("no such queue")
	// ErrUnknownKey means that the API key belongs to no workspace and the queue requires one.
	ErrUnknownKey = errors.New("unknown key")
	// ErrNotReady means that this node cannot serve callers now. Nothing was done.
	ErrNotReady = errors.New("node is not ready")
	// ErrBusy means that the store refused the write or could not be read. Nothing was
	// written.
	ErrBusy = errors.New("store refused the write")
	// ErrFull means that there is no memory for the state of a job. Nothing was written.
	ErrFull = errors.New("too many jobs")
	// ErrOutcomeUnknown means that the write may have taken effect, or may still do so.
	ErrOutcomeUnknown = errors.New("outcome is not known")
)

// Change is the result of following the plan. Plan is nil if there is no newer plan. Version
// is the store version from which to continue.
type Change struct {
	Plan    *model.Plan
	Version uint64
	// Evacuations are requests to evacuate zones and withdrawals, in the order in which they were made. If Full is set,
	// they are all requests in force at Version.
	Evacuations []Evacuation
	Full        bool
	// Behind means that there are further changes up to the store's present version.
	Behind bool
}

// Node is one edge node. Set the exported fields, then call Run.
type Node struct {
	Name      string
	Rows      *rows.Store
	Candidate *leader.Candidate
	Log       *event.Log
	// Follow returns the plan that is newer than version after, waiting up to wait for a
	// change. With after 0 it reads the current plan.
	Follow func(ctx context.Context, after uint64, wait time.Duration) (Change, error)
	// Carrier carries the orders of an owner on another node; nil means that this node carries none.
	Carrier *relay.Carrier
	// CarryTraffic counts the bytes that streams to carriers exchange; nil disables counting.
	CarryTraffic func(sent, received int)
	// Peers bounds what other nodes send; nil means that nothing is bounded but each message.
	Peers *guard.Peers
	// Meter counts calls; nil disables counting.
	Meter *metric.Work
	// MaxPlanAge is how long a plan may be used after it was confirmed to be the newest.
	MaxPlanAge time.Duration
	// Dial creates the client for a node's address; nil means a peer.Client.
	Dial func(addr string) *peer.Client
	// Now returns the monotonic time; nil means clock.Boot.
	Now func() time.Duration

	plan            atomic.Pointer[model.Plan]
	planConfirmedAt atomic.Int64 // monotonic time in ns at which the newest plan was requested; 0 before the first plan
	staleLogged     atomic.Bool
	evacuations     atomic.Pointer[leader.Evacuations]
	// storeFailing is set by a store call that was refused or had an unknown outcome, and
	// cleared by one that was not. Reads of the plan continue meanwhile.
	storeFailing atomic.Bool
	// lastWriteTook is the duration of the last successful write, in ns.
	lastWriteTook atomic.Int64
	draining      atomic.Bool

	scanMu sync.Mutex
	// scan is guarded by scanMu, which also ensures that only one scan runs at a time.
	scan unstartedScan

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

// Plan returns the newest plan that this node has read; its Version is 0 before the first.
func (n *Node) Plan() model.Plan {
	if p := n.plan.Load(); p != nil {
		return *p
	}
	return model.Plan{}
}

// Ready returns nil if callers may be sent to this node, else an error that wraps ErrNotReady.
func (n *Node) Ready() error {
	if n.draining.Load() {
		return fmt.Errorf("%w: it is being stopped", ErrNotReady)
	}
	return n.checkPlanFresh()
}

// checkPlanFresh returns nil if the plan was confirmed to be the newest within MaxPlanAge, else
// an error that wraps ErrNotReady.
func (n *Node) checkPlanFresh() error {
	at := time.Duration(n.planConfirmedAt.Load())
	if at == 0 {
		return fmt.Errorf("%w: it has read no plan yet", ErrNotReady)
	}
	if age := n.now() - at; age > n.MaxPlanAge {
		return fmt.Errorf("%w: its plan was last shown to be the newest %s ago", ErrNotReady, age)
	}
	return nil
}

// statsTimeout limits the wait for the owner's statistics during a metrics scrape.
const statsTimeout = 200 * time.Millisecond

// Gauges returns the values of the node's gauges for a metrics scrape.
func (n *Node) Gauges() metric.WorkGauges {
	g := metric.WorkGauges{Plan: n.Plan().Version}
	if at := time.Duration(n.planConfirmedAt.Load()); at != 0 {
		g.PlanAge = n.now() - at
	}
	if n.Candidate.Metrics != nil {
		g.StoreFails = n.Candidate.Metrics.StoreFailed.Load()
	}
	p := n.Candidate.Pulse(0)
	g.Owner, g.Epoch = p.Owner, p.Epoch
	if o := n.Candidate.LocalOwner(); o != nil {
		g.CommitAge = time.Duration(p.AgeMs) * time.Millisecond
		ctx, cancel := context.WithTimeout(context.Background(), statsTimeout)
		defer cancel()
		if st, ok := o.Stats(ctx); ok {
			g.EvacuatedZones, g.UnfitAccelerators, g.UnfitGangs = st.EvacuatedZones, st.UnfitAccelerators, st.UnfitGangs
			g.StartWindow, g.StartsWaiting = st.StartWindow, st.StartsWaiting
			g.OpenJobs, g.Unstarted, g.Placed, g.Quarantine, g.Silent = st.Open, st.Unstarted, st.Placed, st.Quarantined, st.Silent
			g.StateBytes, g.StateLeft = st.StateBytes, st.StateLeft
			g.Speeds = st.Speeds.ByName()
		}
	}
	return g
}

// Run runs the node's background loops until ctx ends.
func (n *Node) Run(ctx context.Context) {
	var wg sync.WaitGroup
	for _, loop := range []func(context.Context){n.followPlan, n.Candidate.Run, n.logFreshness} {
		wg.Add(1)
		go func() {
			defer wg.Done()
			loop(ctx)
		}()
	}
	wg.Wait()
}

const (
	// planReadWait is how long a read of the plan waits for a change. It is a fraction of
	// MaxPlanAge because each reply confirms that the plan is the newest.
	planReadWait = time.Second
	// planReadMargin is the time allowed for the reply in addition to the wait. A slow store
	// takes 0.4 s.
	planReadMargin = 1200 * time.Millisecond
	// planRetryDelay is the delay after a failed read.
	planRetryDelay = 100 * time.Millisecond
)

func (n *Node) followPlan(ctx context.Context) {
	var after uint64
	var evac evacuationView
	wait := time.Duration(0)
	for ctx.Err() == nil {
		sent := n.now()
		callCtx, cancel := context.WithTimeout(ctx, wait+planReadMargin)
		change, err := n.Follow(callCtx, after, wait)
		cancel()
		n.recordStoreResult(err)
		switch {
		case errors.Is(err, rows.ErrCompacted):
			after, wait = 0, 0
			continue
		case err != nil:
			// The next read does not wait for a change, so that freshness is confirmed as soon
			// as the store answers again.
			wait = 0
			clock.Sleep(ctx, planRetryDelay)
			continue
		}
		after, wait = max(after, change.Version), planReadWait
		if change.Behind {
			wait = 0
		}
		n.applyEvacuations(&evac, change, sent)
		n.applyPlan(change.Plan)
		if n.plan.Load() != nil && !change.Behind {
			n.planConfirmedAt.Store(int64(sent))
		}
	}
}

// recordStoreResult records whether a store call failed: it was refused or its outcome is
// unknown.
func (n *Node) recordStoreResult(err error) {
	n.storeFailing.Store(errors.Is(err, rows.ErrRefused) || errors.Is(err, rows.ErrOutcomeUnknown))
}

// applyPlan puts a newer plan in force. It ignores a plan that is not newer than the current
// one.
func (n *Node) applyPlan(p *model.Plan) {
	if p == nil || p.Version <= n.Plan().Version {
		return
	}
	n.plan.Store(p)
	n.Log.Emit(event.PlanInForce).Uint64("plan", p.Version).Int("queues", len(p.Queues)).Int("workspaces", len(p.Spaces)).Send()
}

// freshnessCheckInterval is how often the plan's freshness is checked in order to log a
// change.
const freshnessCheckInterval = 200 * time.Millisecond

func (n *Node) logFreshness(ctx context.Context) {
	for ctx.Err() == nil {
		err := n.checkPlanFresh()
		switch {
		case err != nil && n.planConfirmedAt.Load() != 0 && n.staleLogged.CompareAndSwap(false, true):
			n.Log.Emit(event.PlanStale).Uint64("plan", n.Plan().Version).Err(err).Send()
		case err == nil && n.staleLogged.CompareAndSwap(true, false):
			n.Log.Emit(event.PlanFresh).Uint64("plan", n.Plan().Version).Send()
		}
		clock.Sleep(ctx, freshnessCheckInterval)
	}
}

// Drain begins a planned shutdown: the node reports that it is not ready, so that callers are
// sent to other nodes, and ownership is handed over. Requests are still served.
func (n *Node) Drain(ctx context.Context) {
	n.draining.Store(true)
	n.Log.Emit(event.NodeDraining).Send()
	n.Candidate.Resign(ctx)
}

// Draining reports whether a planned shutdown has begun.
func (n *Node) Draining() bool { return n.draining.Load() }

type pulseRequest struct {
	From string `json:"from"`
	// Addr is the sender's address if it may carry the owner's orders, and then CarryCores are its cores.
	Addr       string  `json:"addr,omitempty"`
	CarryCores float64 `json:"carry,omitempty"`
	// Cores is 0 if the sender could not own the work now.
	Cores float64 `json:"cores"`
}

// maxPeerNameBytes bounds the name and the address of a node in a message.
const maxPeerNameBytes = 256

// Check returns an error that wraps model.ErrInvalid if the sender's name or address is too long.
func (r *pulseRequest) Check() error {
	if len(r.From) > maxPeerNameBytes || len(r.Addr) > maxPeerNameBytes {
		return fmt.Errorf("poll with a name of %d and an address of %d bytes: %w", len(r.From), len(r.Addr), model.ErrInvalid)
	}
	return nil
}

// Server returns the gRPC server that serves calls from other nodes.
func (n *Node) Server() *grpc.Server {
	return peer.NewServerWithStreams(n.Peers, []grpc.StreamDesc{peer.Stream("Carry", n.serveCarry)},
		peer.Method("Pulse", func(_ context.Context, in *pulseRequest) (*leader.Pulse, error) {
			if in.Addr != "" {
				n.Candidate.NotePeer(in.Addr, in.CarryCores)
			}
			p := n.Candidate.Pulse(in.Cores)
			return &p, nil
		}),
		peer.Method("Serve", n.serveRelayed),
		peer.Method("Note", n.handleNote),
		peer.Method("Advise", n.serveAdvise),
	)
}

// serveCarry carries the orders of an owner until the stream ends.
func (n *Node) serveCarry(s grpc.ServerStream) error {
	if n.Carrier == nil {
		return ErrNotReady
	}
	return n.Carrier.Serve(s.Context(), relay.Sink{
		Recv: func(b *relay.Batch) error { return s.RecvMsg(b) },
		Send: func(a *relay.Answers) error { return s.SendMsg(a) },
	})
}

// OpenCarrier opens a stream to the carrier at addr. It is used as the Open field of a relay.Router.
func (n *Node) OpenCarrier(ctx context.Context, addr string) (relay.Source, error) {
	c := &peer.Client{Addr: addr, Traffic: n.CarryTraffic}
	s, err := c.Stream(ctx, "Carry")
	if err != nil {
		c.Close()
		return relay.Source{}, fmt.Errorf("open a stream to carrier %s: %w", addr, err)
	}
	context.AfterFunc(ctx, c.Close)
	return relay.Source{
		Send: func(b *relay.Batch) error { return s.SendMsg(b) },
		Recv: func(a *relay.Answers) error { return s.RecvMsg(a) },
	}, nil
}

// Ask exchanges heartbeats with the node at addr and returns its state. It is used as the Poll
// field of a leader.Candidate.
func (n *Node) Ask(ctx context.Context, addr string) (leader.Pulse, error) {
	var out leader.Pulse
	in := pulseRequest{From: n.Name}
	if !n.storeFailing.Load() && n.checkPlanFresh() == nil {
		in.Cores = n.Candidate.Cores // a node that cannot reach the store cannot own the work
		if n.Carrier != nil && !n.Draining() {
			in.Addr, in.CarryCores = n.Candidate.Addr, n.Candidate.Cores
		}
	}
	err := n.call(ctx, addr, "Pulse", &in, &out)
	return out, err
}

// call calls a method of another node. It drops the connection after a failure, so that the
// next call dials a new one: an established connection may have stopped working while new ones
// work.
func (n *Node) call(ctx context.Context, addr, method string, in, out any) error {
	c := n.peerClient(addr)
	if err := c.Ask(ctx, method, in, out); err != nil {
		c.Close()
		return fmt.Errorf("ask node %s: %w", addr, err)
	}
	return nil
}

func (n *Node) peerClient(addr string) *peer.Client {
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
