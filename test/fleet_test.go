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
	"greengageline/internal/ledger"
	"greengageline/internal/node"
	"greengageline/internal/object"
	"greengageline/internal/peer"
	"greengageline/internal/setup"
	"greengageline/internal/stand"
	"greengageline/internal/table"
	"greengageline/internal/vmlist"
	"greengageline/internal/wire"
	"greengageline/internal/worker"
	"greengageline/pkg/model"
)

const platformAddr = "platform:1"

// link is what is wrong between two ends, in one direction.
type link int

const (
	linkFine   link = iota
	linkCut         // nothing gets through, and the sender is told at once
	linkSilent      // nothing gets through, and nobody is told
	linkMute        // requests get through, answers do not
	linkLate        // answers come late and out of order
)

// fleet is a number of whole nodes, workers and a platform, joined by function
// calls in place of a network, in a bubble with a test clock.
type fleet struct {
	t        *testing.T
	rng      *rand.Rand
	platform *stand.Platform
	workers  map[string]*stand.Worker // by address
	nodes    []*member
	logs     bytes.Buffer
	logMu    sync.Mutex

	mu     sync.Mutex
	dead   map[string]bool
	frozen map[string]chan struct{} // closed at the thaw
	links  map[[2]string]link
	hook   func(node string, step cell.Step, job string)
}

type member struct {
	*node.Node
	name   string
	addr   string
	cancel context.CancelFunc
	ended  chan struct{}
}

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

func settings(name string) setup.Settings {
	s := setup.Default()
	s.Node, s.Zone, s.Platform = name, "suva", platformAddr
	s.Listen, s.PeerListen = name+":1", name+":2"
	s.UnknownAfter = 40 * time.Second
	return s
}

func newFleet(t *testing.T, nodes, workers int, seed uint64) *fleet {
	f := &fleet{
		t: t, rng: rand.New(rand.NewPCG(seed, 7)), platform: &stand.Platform{},
		workers: map[string]*stand.Worker{}, dead: map[string]bool{},
		frozen: map[string]chan struct{}{}, links: map[[2]string]link{},
	}
	for i := range workers {
		f.addWorker(fmt.Sprintf("w%d", i+1), i)
	}
	for i := range nodes {
		f.addNode(fmt.Sprintf("n%d", i+1), nodes)
	}
	for _, m := range f.nodes {
		m.run()
	}
	f.configure()
	return f
}

func (f *fleet) addWorker(id string, i int) {
	vm := model.VM{
		ID: id, Addr: id + ":1", Zone: []string{"suva", "nausori"}[i/2%2],
		Rack: fmt.Sprintf("r%d", i/2), Accelerators: 8,
	}
	f.workers[vm.Addr] = &stand.Worker{VM: vm}
	f.platform.SetVM(vm)
}

func (f *fleet) addNode(name string, of int) {
	s := settings(name)
	for i := range of {
		s.Peers += fmt.Sprintf("n%d:2,", i+1)
	}
	send := func(ctx context.Context, addr, method, path string, body []byte) (int, []byte, error) {
		return f.send(ctx, name, addr, method, path, body)
	}
	tab := &table.Table{Wire: &wire.Client{Addr: platformAddr, Send: send}}
	m := &member{name: name, addr: s.PeerListen, ended: make(chan struct{})}
	m.Node = &node.Node{
		Settings: s,
		Host: &cell.Host{
			Table: tab, Ledger: &ledger.Ledger{Table: tab}, Workers: &worker.Pool{Send: send},
			Objects: &object.Store{Wire: &wire.Client{Addr: platformAddr, Send: send}},
			Hook:    func(step cell.Step, job string) { f.reached(name, step, job) },
		},
		Config: &config.Store{Table: tab, NowMs: func() int64 { return time.Now().UnixMilli() }},
		VMList: &vmlist.List{Wire: &wire.Client{Addr: platformAddr, Send: send}},
		Log:    event.New(f, name, zerolog.InfoLevel),
		Dial: func(addr string) *peer.Client {
			return &peer.Client{Addr: addr, Invoke: func(ctx context.Context, addr, method string, in, out any) error {
				return f.invoke(ctx, name, addr, in, out)
			}}
		},
	}
	m.Prepare()
	f.nodes = append(f.nodes, m)
}

// run starts a node's duties once all nodes are known.
func (m *member) run() {
	ctx, cancel := context.WithCancel(context.Background())
	m.cancel = cancel
	go func() {
		defer close(m.ended)
		m.Run(ctx)
	}()
}

// Write collects the nodes' log lines.
func (f *fleet) Write(line []byte) (int, error) {
	f.logMu.Lock()
	defer f.logMu.Unlock()
	return f.logs.Write(line)
}

// configure stores the folder, however often the first try comes too early.
func (f *fleet) configure() {
	f.t.Helper()
	var err error
	for range 50 {
		time.Sleep(100 * time.Millisecond)
		_, err = f.nodes[0].ChangeConfig(context.Background(), config.Change{
			Author: "test", Edits: []config.Edit{{Name: "10-base.toml", Text: baseConfig}},
		})
		if err == nil {
			return
		}
	}
	f.t.Fatalf("configuration was not accepted: %v", err)
}

func (f *fleet) reached(node string, step cell.Step, job string) {
	f.mu.Lock()
	hook := f.hook
	f.mu.Unlock()
	if hook != nil {
		hook(node, step, job)
	}
}

func (f *fleet) state(from, to string) (l link, frozen chan struct{}, dead bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	frozen = f.frozen[from]
	if frozen == nil {
		frozen = f.frozen[to]
	}
	return max(f.links[[2]string{from, to}], f.links[[2]string{from, "*"}]), frozen, f.dead[from] || f.dead[to]
}

// pass applies what is wrong on the way to a request that deliver carries out,
// and returns its reply if one arrives in time.
func pass[T any](ctx context.Context, f *fleet, from, to string, notSent, noAnswer error, deliver func() T) (reply T, err error) {
	l, frozen, dead := f.state(from, to)
	if dead || l == linkCut {
		return reply, notSent
	}
	answered := make(chan T, 1)
	go func() {
		var got T
		defer func() { answered <- got }()
		if frozen != nil {
			<-frozen // what was in the socket's buffer is delivered after the thaw
		}
		if l == linkFine || l == linkMute || l == linkLate {
			got = deliver()
		}
		if l == linkLate {
			time.Sleep(f.between(0, 1200))
		}
		if l == linkSilent || l == linkMute {
			<-ctx.Done()
		}
	}()
	select {
	case reply = <-answered:
	case <-ctx.Done():
	}
	if ctx.Err() != nil {
		return reply, noAnswer
	}
	return reply, nil
}

// httpReply is what a handler of a stand-in answers.
type httpReply struct {
	status int
	body   []byte
}

func (f *fleet) between(low, high int) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Duration(low+f.rng.IntN(high-low)) * time.Millisecond
}

// send carries a request to the platform or a worker.
func (f *fleet) send(ctx context.Context, from, addr, method, path string, body []byte) (int, []byte, error) {
	handle := f.platform.Handle
	if w := f.workers[addr]; w != nil {
		handle = w.Handle
	}
	body = bytes.Clone(body)
	r, err := pass(ctx, f, from, addr, wire.ErrNotSent, wire.ErrNoAnswer, func() httpReply {
		status, answer := handle(method, path, body)
		return httpReply{status, answer}
	})
	if err == nil && r.status == 0 {
		err = wire.ErrNoAnswer
	}
	return r.status, r.body, err
}

// invoke carries a request to another node.
func (f *fleet) invoke(ctx context.Context, from, addr string, in, out any) error {
	var to *member
	for _, m := range f.nodes {
		if m.addr == addr {
			to = m
		}
	}
	if to == nil {
		return peer.ErrUnreached
	}
	switch in := in.(type) {
	case *peer.Beat:
		return carry(ctx, f, from, to, *in, out, to.Handlers().Beat)
	case *peer.SubmitIn:
		return carry(ctx, f, from, to, *in, out, to.Handlers().Submit)
	case *peer.JobIn:
		return carry(ctx, f, from, to, *in, out, to.Handlers().Job)
	case *peer.CallIn:
		return carry(ctx, f, from, to, *in, out, to.Handlers().Call)
	}
	return fmt.Errorf("unknown message %T", in)
}

// carry passes a copy of the message to a node's handler.
func carry[I, O any](ctx context.Context, f *fleet, from string, to *member, in I, out any, h func(context.Context, *I) (*O, error)) error {
	type result struct {
		out *O
		err error
	}
	r, err := pass(ctx, f, from, to.name, peer.ErrUnreached, peer.ErrNoAnswer, func() result {
		got, err := h(ctx, &in)
		return result{got, err}
	})
	if err != nil || r.err != nil {
		return errors.Join(err, r.err)
	}
	into, ok := out.(*O)
	if !ok || r.out == nil {
		return peer.ErrNoAnswer
	}
	*into = *r.out
	return nil
}

// owner returns the live node that owns the cell, or nil.
func (f *fleet) owner() *member {
	for _, m := range f.nodes {
		f.mu.Lock()
		dead := f.dead[m.name]
		f.mu.Unlock()
		if dead {
			continue
		}
		for _, c := range m.Status().Cells {
			if c.Ready && c.Owner == m.name {
				return m
			}
		}
	}
	return nil
}

// awaitOwner waits until some node owns the cell and decides.
func (f *fleet) awaitOwner() *member {
	f.t.Helper()
	for range 600 {
		if m := f.owner(); m != nil {
			return m
		}
		time.Sleep(50 * time.Millisecond)
	}
	f.t.Fatal("no node came to own the cell")
	return nil
}

func (f *fleet) node(name string) *member {
	for _, m := range f.nodes {
		if m.name == name {
			return m
		}
	}
	return nil
}

// kill ends a node as SIGKILL would.
func (f *fleet) kill(name string) {
	f.mu.Lock()
	f.dead[name] = true
	f.mu.Unlock()
	m := f.node(name)
	go func() {
		m.cancel()
		m.Kill()
	}()
}

// freeze stops a node's traffic both ways, as SIGSTOP would, and thaws it after d.
func (f *fleet) freeze(name string, d time.Duration) {
	ch := make(chan struct{})
	f.mu.Lock()
	f.frozen[name] = ch
	f.mu.Unlock()
	time.AfterFunc(d, func() {
		f.mu.Lock()
		delete(f.frozen, name)
		f.mu.Unlock()
		close(ch)
	})
}

// connect sets what is wrong between two ends, both ways; "*" is everybody.
func (f *fleet) connect(a, b string, l link, d time.Duration) {
	set := func(l link) {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.links[[2]string{a, b}] = l
		f.links[[2]string{b, a}] = l
	}
	set(l)
	time.AfterFunc(d, func() { set(linkFine) })
}

// close ends all nodes; every goroutine of the bubble must end.
func (f *fleet) close() {
	f.mu.Lock()
	f.hook = nil
	f.mu.Unlock()
	for _, m := range f.nodes {
		m.cancel()
		m.Kill()
		<-m.ended
	}
}
