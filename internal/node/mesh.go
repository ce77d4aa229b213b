package node

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"greengageline/internal/event"
	"greengageline/internal/peer"
)

// missedBeats is how many heartbeats in a row make a peer suspect; the last of
// them goes over a fresh connection.
const missedBeats = 3

// mesh is what this node knows of its peers. Each node sends heartbeats to all
// others: right for nine nodes, docs/CAPACITY.md says what carries it further.
type mesh struct {
	node *Node

	mu sync.Mutex
	// peers is guarded by mu and keyed by address.
	peers map[string]*peerState
}

type peerState struct {
	client  *peer.Client
	beat    peer.Beat
	heardAt time.Time
	missed  int
	suspect bool
	busy    bool
}

// live returns the last heartbeats of the peers that are not suspected.
func (m *mesh) live() []peer.Beat {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []peer.Beat
	for _, p := range m.peers {
		if p.alive(m.node.Settings.Heartbeat) {
			out = append(out, p.beat)
		}
	}
	slices.SortFunc(out, func(a, b peer.Beat) int { return strings.Compare(a.Node, b.Node) })
	return out
}

// alive allows for one heartbeat more than are missed before suspicion, since
// either side's heartbeat counts.
func (p *peerState) alive(every time.Duration) bool {
	return p.beat.Node != "" && !p.suspect && time.Since(p.heardAt) < (missedBeats+2)*every
}

// client returns the client for an address.
func (m *mesh) client(addr string) *peer.Client {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.stateLocked(addr).client
}

func (m *mesh) stateLocked(addr string) *peerState {
	if m.peers == nil {
		m.peers = map[string]*peerState{}
	}
	p := m.peers[addr]
	if p == nil {
		p = &peerState{client: m.node.Dial(addr)}
		m.peers[addr] = p
	}
	return p
}

// addresses lists the peers of the settings and of the VM list.
func (m *mesh) addresses() []string {
	all := m.node.Settings.PeerList()
	for _, vm := range m.node.vms.entries() {
		if vm.Addr != m.node.Settings.Address() {
			all = append(all, vm.Addr)
		}
	}
	slices.Sort(all)
	return slices.Compact(all)
}

// turn sends one heartbeat to each peer that has none on its way.
func (m *mesh) turn(ctx context.Context) {
	known := m.addresses()
	m.forget(known)
	beat := m.node.beat()
	var wg sync.WaitGroup
	for _, addr := range known {
		m.mu.Lock()
		p := m.stateLocked(addr)
		busy := p.busy
		p.busy = true
		m.mu.Unlock()
		if busy {
			continue
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			m.exchange(ctx, p, beat)
		}()
	}
	wg.Wait()
	m.node.settleHomes()
}

// forget drops addresses that neither the settings nor the VM list name.
func (m *mesh) forget(known []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for addr, p := range m.peers {
		if !slices.Contains(known, addr) && !p.busy && !p.alive(m.node.Settings.Heartbeat) {
			p.client.Close()
			delete(m.peers, addr)
		}
	}
}

func (m *mesh) exchange(ctx context.Context, p *peerState, beat peer.Beat) {
	ctx, cancel := context.WithTimeout(ctx, 2*m.node.Settings.Heartbeat)
	defer cancel()
	reply, err := p.client.Beat(ctx, &beat)
	if err == nil {
		m.node.heard(ctx, reply)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	p.busy = false
	if err != nil {
		m.missLocked(p, err)
		return
	}
	p.missed = 0
	if p.suspect {
		p.suspect = false
		m.node.Log.Emit(event.PeerBack).Str("peer", reply.Node).Send()
	}
	p.beat, p.heardAt = *reply, time.Now()
}

// missLocked counts a missed heartbeat. The connection is dropped, so that the
// next one dials: only a peer that a fresh connection does not reach either is
// suspected.
func (m *mesh) missLocked(p *peerState, err error) {
	p.missed++
	p.client.Close()
	if p.missed < missedBeats || p.suspect || p.beat.Node == "" {
		return
	}
	p.suspect = true
	m.node.Log.Emit(event.PeerSuspected).Str("peer", p.beat.Node).Err(err).Send()
}

// beat is this node's heartbeat.
func (n *Node) beat() peer.Beat {
	b := peer.Beat{
		Node: n.Settings.Node, Addr: n.Settings.Address(), Zone: n.Settings.Zone,
		Generation: n.conf.load().plan.Generation, Draining: n.draining.Load(),
		Leaving: peer.Leavers(n.vms.leavers()), FreeSlots: n.home.Free(),
	}
	for _, k := range n.allKeepers() {
		o := k.Owner()
		if o == nil {
			continue
		}
		s, _ := o.Stats()
		b.Cells = append(b.Cells, peer.CellInfo{
			Cell: k.Cell, Epoch: o.Epoch(), Queued: s.Queued, Open: s.Open, Ready: o.Ready(),
		})
	}
	return b
}

// heard takes over what a peer's heartbeat tells.
func (n *Node) heard(ctx context.Context, b *peer.Beat) {
	n.vms.noteLeaving(b.Leaving...)
	for _, id := range b.Leaving {
		n.home.Leaving(id)
	}
	n.heardGeneration(ctx, b.Generation)
}

// onBeat answers a peer's heartbeat.
func (n *Node) onBeat(ctx context.Context, in *peer.Beat) (*peer.Beat, error) {
	n.heard(ctx, in)
	n.mesh.mu.Lock()
	p := n.mesh.stateLocked(in.Addr)
	if !p.suspect {
		p.beat, p.heardAt = *in, time.Now()
	}
	n.mesh.mu.Unlock()
	out := n.beat()
	return &out, nil
}
