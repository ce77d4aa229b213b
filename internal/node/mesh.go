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

// suspectAfterMissed is how many consecutive missed heartbeats make a peer suspected. The last
// of them is sent over a new connection.
const suspectAfterMissed = 3

// mesh holds what this node knows of its peers. Each node sends heartbeats to all others,
// which suits nine nodes; docs/CAPACITY.md describes what larger fleets need.
type mesh struct {
	node *Node

	mu sync.Mutex
	// peers is keyed by address and guarded by mu, as are the fields of its values.
	peers map[string]*peerState
}

// peerState is what this node knows of one peer. beat has no Node before the first heartbeat.
type peerState struct {
	client     *peer.Client
	beat       peer.Beat
	lastBeatAt time.Time
	missed     int
	suspect    bool
	exchanging bool
}

// live returns the latest heartbeats of the live peers, sorted by name.
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

// alive reports whether the peer is not suspected and a heartbeat was received from it within
// suspectAfterMissed+2 intervals, two more than the misses that cause suspicion, because its
// replies to this node's heartbeats and the heartbeats that it sends both count.
func (p *peerState) alive(interval time.Duration) bool {
	return p.beat.Node != "" && !p.suspect && time.Since(p.lastBeatAt) < (suspectAfterMissed+2)*interval
}

// client returns the client for an address and creates it if necessary.
func (m *mesh) client(addr string) *peer.Client {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.stateLocked(addr).client
}

// suspected reports whether the peer at an address is suspected.
func (m *mesh) suspected(addr string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.peers[addr]
	return p != nil && p.suspect
}

// stateLocked returns the state for an address and creates it if necessary; m.mu must be held.
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

// addresses returns the addresses of the peers in the settings and in the VM list, sorted.
func (m *mesh) addresses() []string {
	all := m.node.Settings.PeerList()
	for _, vm := range m.node.vms.entryVMs() {
		if vm.Addr != m.node.Settings.PeerAddress() {
			all = append(all, vm.Addr)
		}
	}
	slices.Sort(all)
	return slices.Compact(all)
}

// exchangeBeats sends one heartbeat to each peer that has none in flight, waits for the
// replies, and then recomputes which targets have this node as their home.
func (m *mesh) exchangeBeats(ctx context.Context) {
	known := m.addresses()
	m.removeUnlisted(known)
	beat := m.node.beat()
	var wg sync.WaitGroup
	for _, addr := range known {
		m.mu.Lock()
		p := m.stateLocked(addr)
		busy := p.exchanging
		p.exchanging = true
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
	m.node.updateHomeTargets()
}

// removeUnlisted removes peers that neither the settings nor the VM list name, unless they are
// alive or a heartbeat is in flight.
func (m *mesh) removeUnlisted(known []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for addr, p := range m.peers {
		if !slices.Contains(known, addr) && !p.exchanging && !p.alive(m.node.Settings.Heartbeat) {
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
		m.node.applyBeat(ctx, reply)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	p.exchanging = false
	if err != nil {
		m.recordMissLocked(p, err)
		return
	}
	p.missed = 0
	if p.suspect {
		p.suspect = false
		m.node.Log.Emit(event.PeerBack).Str("peer", reply.Node).Send()
	}
	p.beat, p.lastBeatAt = *reply, time.Now()
}

// recordMissLocked counts a missed heartbeat; m.mu must be held. It closes the connection, so
// that the next heartbeat dials a new one: a peer is suspected only if a new connection does
// not reach it either. A peer that has never answered or sent a heartbeat is not suspected.
func (m *mesh) recordMissLocked(p *peerState, err error) {
	p.missed++
	p.client.Close()
	if p.missed < suspectAfterMissed || p.suspect || p.beat.Node == "" {
		return
	}
	p.suspect = true
	m.node.Log.Emit(event.PeerSuspected).Str("peer", p.beat.Node).Err(err).Send()
}

// beat returns this node's current heartbeat.
func (n *Node) beat() peer.Beat {
	b := peer.Beat{
		Node: n.Settings.Node, Addr: n.Settings.PeerAddress(), Zone: n.Settings.Zone,
		Generation: n.conf.load().plan.Generation, Draining: n.draining.Load(),
		Leaving: peer.LimitLeaving(n.vms.leavingIDs()), FreeSlots: n.home.Free(),
	}
	for _, k := range n.allLeaseManagers() {
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

// applyBeat applies the leaving workers and the configuration generation that a peer's
// heartbeat reports.
func (n *Node) applyBeat(ctx context.Context, b *peer.Beat) {
	n.vms.noteLeaving(b.Leaving...)
	for _, id := range b.Leaving {
		n.home.MarkLeaving(id)
	}
	n.fetchIfNewer(ctx, b.Generation)
}

// maxPeers bounds the peers that a node knows by their heartbeats only. A node may send one before the VM list names it.
const maxPeers = 256

// record records a heartbeat, unless its sender is suspected or one too many.
func (m *mesh) record(b *peer.Beat) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.peers[b.Addr] == nil && len(m.peers) >= maxPeers {
		return
	}
	if p := m.stateLocked(b.Addr); !p.suspect {
		p.beat, p.lastBeatAt = *b, time.Now()
	}
}

// handleBeat applies and records a peer's heartbeat and answers with this node's. A heartbeat
// from a suspected peer is applied but not recorded: the suspicion ends only when the peer
// answers a heartbeat that this node sent.
func (n *Node) handleBeat(ctx context.Context, in *peer.Beat) (*peer.Beat, error) {
	n.applyBeat(ctx, in)
	n.mesh.record(in)
	out := n.beat()
	return &out, nil
}
