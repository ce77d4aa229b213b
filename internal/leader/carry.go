package leader

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/lo"

	"greengageline/internal/event"
	"greengageline/internal/orders"
	"greengageline/internal/relay"
)

const (
	// directWorkersPerCore is how many workers an owner reaches itself for each of its cores; other nodes carry its
	// orders to the others. carriedWorkersPerCore is how many a carrier takes for each of its cores, beside its callers.
	directWorkersPerCore  = 2500
	carriedWorkersPerCore = 1000
	// carrierSpare is how many times the workers that are to be carried the chosen carriers could take.
	carrierSpare = 1.25
	// carrierInterval is how often the owner chooses its carriers.
	carrierInterval = time.Second
	// carrierPolls is how many polls a node may miss before it carries no more.
	carrierPolls = 4
	// maxPeers bounds the nodes that may carry orders.
	maxPeers = 4096
	// carriedStartAge is the age of the last commit up to which starts are carried. After that an owner may be cut
	// off from the store, and what it does not know of is not for others to carry out.
	carriedStartAge = time.Second
	// carriedHoldAge is the same for holds and stops, which an owner may send until maxOrderAge.
	carriedHoldAge = maxOrderAge - maxCarryTime
	// maxCarryTime is how long after an order was given a carrier may still send it.
	maxCarryTime = relay.MaxAge + relay.MaxQueueAge
)

// peer is a node that polls this one and may carry its orders.
type peer struct {
	addr  string
	cores float64
	at    time.Duration // when it polled last
}

// NotePeer records that the node at addr, with a number of cores, has polled this one and may carry its orders. While this
// node is not the owner it has none to carry, and polls that come by mistake are not recorded.
func (l *Candidate) NotePeer(addr string, cores float64) {
	if l.LocalOwner() == nil {
		return
	}
	now := l.now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.peers == nil {
		l.peers = map[string]peer{}
	}
	if _, known := l.peers[addr]; !known && len(l.peers) >= maxPeers {
		l.forgetSilentPeers(now)
		if len(l.peers) >= maxPeers {
			return
		}
	}
	l.peers[addr] = peer{addr, cores, now}
}

// forgetSilentPeers forgets the nodes that have not polled lately; the caller holds mu.
func (l *Candidate) forgetSilentPeers(now time.Duration) {
	limit := carrierPolls * pollIntervalFor(l.nodeCount)
	for addr, p := range l.peers {
		if now-p.at > limit {
			delete(l.peers, addr)
		}
	}
}

// livePeers returns the nodes that have polled lately, the largest first, and forgets the others.
func (l *Candidate) livePeers() []peer {
	now := l.now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.forgetSilentPeers(now)
	out := lo.Values(l.peers)
	slices.SortFunc(out, func(a, b peer) int {
		return cmp.Or(cmp.Compare(b.cores, a.cores), cmp.Compare(xxhash.Sum64String(a.addr), xxhash.Sum64String(b.addr)), cmp.Compare(a.addr, b.addr))
	})
	return out
}

// share is a node's share of the workers: its address, empty for the owner, and how many it can take.
type share struct {
	addr string
	can  float64
}

// chooseShares returns who reaches a number of workers: an owner with a number of cores alone if it can, else the owner
// and as many of the peers, largest first, as can take the others.
func chooseShares(workers int, cores float64, peers []peer) []share {
	own := cores * directWorkersPerCore
	if cores <= 0 || float64(workers) <= own {
		return nil
	}
	out := []share{{can: own}}
	left := (float64(workers) - own) * carrierSpare
	for _, p := range peers {
		can := p.cores * carriedWorkersPerCore
		if left <= 0 {
			break
		}
		out = append(out, share{p.addr, can})
		left -= can
	}
	if len(out) == 1 {
		return nil
	}
	return out
}

// shareOf returns the address of the node whose share a worker belongs to. When a node comes or goes only the workers
// of its own share move.
func shareOf(worker string, shares []share) string {
	best, addr := math.Inf(-1), ""
	for _, s := range shares {
		// Weighted rendezvous: the chance of a node to have the highest score is proportional to what it can take.
		h := float64(xxhash.Sum64String(worker+" "+s.addr)>>11)/(1<<53) + math.SmallestNonzeroFloat64
		if score := -s.can / math.Log(h); score > best || math.IsInf(best, -1) {
			best, addr = score, s.addr
		}
	}
	return addr
}

// chooseCarriers chooses the nodes that carry orders, and moves the workers whose share has changed.
func (o *Owner) chooseCarriers() {
	now := o.lead.now()
	if o.lead.Fleet.Carries == nil || now < o.carriersAt+carrierInterval {
		return
	}
	o.carriersAt = now
	peers := lo.Filter(o.lead.livePeers(), func(p peer, _ int) bool { return o.lead.Fleet.Carries(p.addr) })
	shares := chooseShares(len(o.sessions), o.lead.Cores, peers)
	if slices.Equal(shares, o.shares) {
		return
	}
	o.shares, o.carried = shares, o.carried || len(shares) > 0
	carried := 0
	for id, s := range o.sessions {
		s.setCarrier(shareOf(id, shares))
		if s.carrier != "" {
			carried++
		}
	}
	o.lead.Log.Emit(event.CarriersChosen).Int("carriers", max(0, len(shares)-1)).Int("workers", carried).Int64("epoch", o.epoch).Send()
}

// setCarrier makes the node at addr carry the orders to the worker; if it is empty, they are sent directly.
func (s *session) setCarrier(addr string) {
	if s.carrier != addr {
		s.carrier = addr
		s.incarnationConfirmed = false // what a carrier was told is too old for this node to acknowledge ends
	}
}

// target returns the worker as an order reaches it that may be carried while the last commit is younger than limit.
func (s *session) target(limit time.Duration) orders.Entry {
	e := s.entry
	if s.carrier != "" && s.o.commitAge() < limit {
		e.Carrier = s.carrier
	}
	return e
}

// carryTime returns how long after it is given an order to e may still be sent.
func carryTime(e orders.Entry) time.Duration {
	if e.Carrier == "" {
		return 0
	}
	return maxCarryTime
}
