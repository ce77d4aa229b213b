package test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"greengageline/internal/cell"
	"greengageline/internal/config"
	"greengageline/internal/event"
	"greengageline/internal/fakes"
	"greengageline/internal/ledger"
	"greengageline/internal/node"
	"greengageline/internal/object"
	"greengageline/internal/peer"
	"greengageline/internal/setup"
	"greengageline/internal/table"
	"greengageline/internal/vmlist"
	"greengageline/internal/wire"
	"greengageline/internal/worker"
	"greengageline/pkg/model"
)

// platformAddr is the simulated address of the platform.
const platformAddr = "platform:1"

// linkFault is the fault of a link in one direction. linkState compares values with max, so their
// order matters.
type linkFault int

const (
	linkHealthy      linkFault = iota
	linkRefuses                // requests are not delivered; the sender gets an error at once
	linkDropsAll               // requests are not delivered; the sender gets no error
	linkDropsReplies           // requests are delivered, replies are dropped
	linkLate                   // requests are delivered, replies are delayed and reordered
)

// simCluster is a simulated cluster: complete nodes, fake workers and a fake platform in one process.
// Function calls replace the network. It lives in a synctest bubble, which provides the clock.
// workers and nodes do not change once newSimCluster has returned.
type simCluster struct {
	t        *testing.T
	rng      *rand.Rand
	platform *fakes.Platform
	workers  map[string]*fakes.Worker // by address
	nodes    []*simNode
	logs     bytes.Buffer
	logMu    sync.Mutex // guards logs

	mu         sync.Mutex               // guards all below, and rng
	dead       map[string]bool          // names of nodes, addresses of workers
	frozen     map[string]chan struct{} // by node name; closed when the node resumes
	linkFaults map[[2]string]linkFault  // by sender and receiver
	onStep     func(node string, step cell.Step, job string)
}

// simNode is a node of a simCluster.
type simNode struct {
	*node.Node
	name    string
	addr    string
	cancel  context.CancelFunc
	runDone chan struct{} // closed when Run has returned
}

// baseConfig is the configuration file that every test cluster starts with.
const baseConfig = `
[policy]
preset = "completion"
hopeless_after = "60s"
[partners.naidu]
share = 0.6
[partners.tatry]
share = 0.4
[cells.viti]
zones = ["suva", "nausori"]
[workspaces.proofs]
partner = "naidu"
[[workspaces.proofs.guarantees]]
cell = "viti"
tasks = 2
each = 8
count = 1
[workspaces.routes]
partner = "tatry"
`

// nodeSettings returns the default settings, with UnknownAfter lowered to 40 s.
func nodeSettings(name string) setup.Settings {
	s := setup.Default()
	s.Node, s.Zone, s.Platform = name, "suva", platformAddr
	s.Listen, s.PeerListen = name+":1", name+":2"
	s.UnknownAfter = 40 * time.Second
	return s
}

// newSimCluster starts the nodes and stores baseConfig. The seed determines random delays and the
// callers' choice of nodes.
func newSimCluster(t *testing.T, nodes, workers int, seed uint64) *simCluster {
	sim := &simCluster{
		t: t, rng: rand.New(rand.NewPCG(seed, 7)), platform: &fakes.Platform{},
		workers: map[string]*fakes.Worker{}, dead: map[string]bool{},
		frozen: map[string]chan struct{}{}, linkFaults: map[[2]string]linkFault{},
	}
	for i := range workers {
		sim.addWorker(fmt.Sprintf("w%d", i+1), i)
	}
	for i := range nodes {
		sim.addNode(fmt.Sprintf("n%d", i+1), nodes)
	}
	for _, n := range sim.nodes {
		n.run()
	}
	sim.configure()
	return sim
}

// addWorker adds a worker with 8 accelerators. Two consecutive workers share a rack; racks alternate
// between the two zones.
func (sim *simCluster) addWorker(id string, i int) {
	vm := model.VM{
		ID: id, Addr: id + ":1", Zone: []string{"suva", "nausori"}[i/2%2],
		Rack: fmt.Sprintf("r%d", i/2), Accelerators: 8,
	}
	sim.workers[vm.Addr] = &fakes.Worker{VM: vm}
	sim.platform.SetVM(vm)
}

// addNode builds one of total nodes, with its transports replaced by send and invoke. It does not
// start the node.
func (sim *simCluster) addNode(name string, total int) {
	s := nodeSettings(name)
	for i := range total {
		s.Peers += fmt.Sprintf("n%d:2,", i+1)
	}
	send := func(ctx context.Context, addr, method, path string, body []byte) (int, []byte, error) {
		return sim.send(ctx, name, addr, method, path, body)
	}
	tbl := &table.Table{Wire: &wire.Client{Addr: platformAddr, Send: send}}
	n := &simNode{name: name, addr: s.PeerListen, runDone: make(chan struct{})}
	n.Node = &node.Node{
		Settings: s,
		Host: &cell.Host{
			Table: tbl, Ledger: &ledger.Ledger{Table: tbl}, Workers: &worker.Pool{Send: send},
			Objects: &object.Store{Wire: &wire.Client{Addr: platformAddr, Send: send}},
			Hook:    func(step cell.Step, job string) { sim.stepReached(name, step, job) },
		},
		Config: &config.Store{Table: tbl, NowMs: func() int64 { return time.Now().UnixMilli() }},
		VMList: &vmlist.List{Wire: &wire.Client{Addr: platformAddr, Send: send}},
		Log:    event.New(sim, name, zerolog.InfoLevel),
		Dial: func(addr string) *peer.Client {
			return &peer.Client{Addr: addr, Invoke: func(ctx context.Context, addr, method string, in, out any) error {
				return sim.invoke(ctx, name, addr, in, out)
			}}
		},
	}
	n.Prepare()
	sim.nodes = append(sim.nodes, n)
}

// run starts the node. All nodes must have been added before.
func (n *simNode) run() {
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	go func() {
		defer close(n.runDone)
		n.Run(ctx)
	}()
}

// Write appends a log line of a node to logs; it makes simCluster an io.Writer for event.New.
func (sim *simCluster) Write(line []byte) (int, error) {
	sim.logMu.Lock()
	defer sim.logMu.Unlock()
	return sim.logs.Write(line)
}

// configure stores baseConfig. It retries every 100 ms, up to 50 times, because the first attempts
// can come before the nodes are ready.
func (sim *simCluster) configure() {
	sim.t.Helper()
	var err error
	for range 50 {
		time.Sleep(100 * time.Millisecond)
		_, err = sim.nodes[0].ChangeConfig(context.Background(), config.Change{
			Author: "test", Edits: []config.Edit{{Name: "10-base.toml", Text: baseConfig}},
		})
		if err == nil {
			return
		}
	}
	sim.t.Fatalf("configuration was not accepted in 50 attempts: %v", err)
}

// stepReached calls onStep, if set. It does not hold mu during the call.
func (sim *simCluster) stepReached(node string, step cell.Step, job string) {
	sim.mu.Lock()
	onStep := sim.onStep
	sim.mu.Unlock()
	if onStep != nil {
		onStep(node, step, job)
	}
}

// linkState returns the fault of the link from one end to the other, the channel that is closed when
// a frozen end resumes (nil if neither is frozen), and whether either end is dead.
func (sim *simCluster) linkState(from, to string) (fault linkFault, frozen chan struct{}, dead bool) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	frozen = sim.frozen[from]
	if frozen == nil {
		frozen = sim.frozen[to]
	}
	return max(sim.linkFaults[[2]string{from, to}], sim.linkFaults[[2]string{from, "*"}]), frozen, sim.dead[from] || sim.dead[to]
}

// transmit simulates a request over a faulty link; deliver executes it at the receiver. It returns
// the reply, notSent if the sender knows that nothing was delivered, or noAnswer if ctx ends first.
// After noAnswer the request may still be delivered.
func transmit[T any](ctx context.Context, sim *simCluster, from, to string, notSent, noAnswer error, deliver func() T) (reply T, err error) {
	fault, frozen, dead := sim.linkState(from, to)
	if dead || fault == linkRefuses {
		return reply, notSent
	}
	replied := make(chan T, 1)
	go func() {
		var delivered T
		defer func() { replied <- delivered }()
		if frozen != nil {
			<-frozen // data in the socket buffer is delivered after the process resumes
		}
		if fault == linkHealthy || fault == linkDropsReplies || fault == linkLate {
			delivered = deliver()
		}
		if fault == linkLate {
			time.Sleep(sim.randomDelay(0, 1200))
		}
		if fault == linkDropsAll || fault == linkDropsReplies {
			<-ctx.Done()
		}
	}()
	select {
	case reply = <-replied:
	case <-ctx.Done():
	}
	if ctx.Err() != nil {
		return reply, noAnswer
	}
	return reply, nil
}

// httpReply is the reply of a fake's HTTP handler; status 0 means that it gave none.
type httpReply struct {
	status int
	body   []byte
}

// randomDelay returns a duration from minMs to less than maxMs milliseconds.
func (sim *simCluster) randomDelay(minMs, maxMs int) time.Duration {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return time.Duration(minMs+sim.rng.IntN(maxMs-minMs)) * time.Millisecond
}

// send transmits an HTTP request to the worker at addr, or to the platform if there is no such worker.
func (sim *simCluster) send(ctx context.Context, from, addr, method, path string, body []byte) (int, []byte, error) {
	handle := sim.platform.Handle
	if w := sim.workers[addr]; w != nil {
		handle = w.Handle
	}
	body = bytes.Clone(body)
	r, err := transmit(ctx, sim, from, addr, wire.ErrNotSent, wire.ErrNoAnswer, func() httpReply {
		status, answer := handle(method, path, body)
		return httpReply{status, answer}
	})
	if err == nil && r.status == 0 {
		err = wire.ErrNoAnswer
	}
	return r.status, r.body, err
}

// invoke transmits a peer RPC to the node at addr. The type of in selects the handler; method is not
// needed.
func (sim *simCluster) invoke(ctx context.Context, from, addr string, in, out any) error {
	var to *simNode
	for _, n := range sim.nodes {
		if n.addr == addr {
			to = n
		}
	}
	if to == nil {
		return peer.ErrNotReached
	}
	switch in := in.(type) {
	case *peer.Beat:
		return deliverToPeer(ctx, sim, from, to, *in, out, to.Handlers().Beat)
	case *peer.SubmitRequest:
		return deliverToPeer(ctx, sim, from, to, *in, out, to.Handlers().Submit)
	case *peer.JobRequest:
		return deliverToPeer(ctx, sim, from, to, *in, out, to.Handlers().Job)
	case *peer.CallRequest:
		return deliverToPeer(ctx, sim, from, to, *in, out, to.Handlers().Call)
	}
	return fmt.Errorf("unknown peer message type %T", in)
}

// deliverToPeer transmits a copy of the message to a node's handler and copies the reply to out.
func deliverToPeer[I, O any](ctx context.Context, sim *simCluster, from string, to *simNode, in I, out any, h func(context.Context, *I) (*O, error)) error {
	type result struct {
		out *O
		err error
	}
	r, err := transmit(ctx, sim, from, to.name, peer.ErrNotReached, peer.ErrNoAnswer, func() result {
		got, err := h(ctx, &in)
		return result{got, err}
	})
	if err != nil || r.err != nil {
		return errors.Join(err, r.err)
	}
	reply, ok := out.(*O)
	if !ok || r.out == nil {
		return peer.ErrNoAnswer
	}
	*reply = *r.out
	return nil
}

// owner returns the live node that owns the cell, or nil.
func (sim *simCluster) owner() *simNode {
	for _, n := range sim.nodes {
		sim.mu.Lock()
		dead := sim.dead[n.name]
		sim.mu.Unlock()
		if dead {
			continue
		}
		for _, c := range n.Status().Cells {
			if c.Ready && c.Owner == n.name {
				return n
			}
		}
	}
	return nil
}

// awaitOwner waits up to 30 s until a node owns the cell and is ready to make decisions.
func (sim *simCluster) awaitOwner() *simNode {
	sim.t.Helper()
	for range 600 {
		if n := sim.owner(); n != nil {
			return n
		}
		time.Sleep(50 * time.Millisecond)
	}
	sim.t.Fatal("no node became the ready owner of the cell within 30 s")
	return nil
}

// node returns the node of that name, or nil.
func (sim *simCluster) node(name string) *simNode {
	for _, n := range sim.nodes {
		if n.name == name {
			return n
		}
	}
	return nil
}

// kill ends a node as SIGKILL would: its links fail at once and its cells are not released.
func (sim *simCluster) kill(name string) {
	sim.mu.Lock()
	sim.dead[name] = true
	sim.mu.Unlock()
	n := sim.node(name)
	go func() {
		n.cancel()
		n.Kill()
	}()
}

// freeze holds a node's traffic in both directions for d, as SIGSTOP and SIGCONT would. The node's
// own goroutines keep running.
func (sim *simCluster) freeze(name string, d time.Duration) {
	thawed := make(chan struct{})
	sim.mu.Lock()
	sim.frozen[name] = thawed
	sim.mu.Unlock()
	time.AfterFunc(d, func() {
		sim.mu.Lock()
		delete(sim.frozen, name)
		sim.mu.Unlock()
		close(thawed)
	})
}

// setLinkFault sets the fault of the link between a and b in both directions and clears it after d.
// If b is "*", the fault applies to all requests that a sends.
func (sim *simCluster) setLinkFault(a, b string, fault linkFault, d time.Duration) {
	set := func(fault linkFault) {
		sim.mu.Lock()
		defer sim.mu.Unlock()
		sim.linkFaults[[2]string{a, b}] = fault
		sim.linkFaults[[2]string{b, a}] = fault
	}
	set(fault)
	time.AfterFunc(d, func() { set(linkHealthy) })
}

// close ends all nodes. Every goroutine must have ended before synctest.Test can return.
func (sim *simCluster) close() {
	sim.mu.Lock()
	sim.onStep = nil
	sim.mu.Unlock()
	for _, n := range sim.nodes {
		n.cancel()
		n.Kill()
		<-n.runDone
	}
}
