package leader

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"greengageline/internal/clock"
	"greengageline/internal/orders"
	"greengageline/internal/relay"
	"greengageline/internal/sched"
)

// carryNetwork carries the orders of nodes through each other, and can cut, freeze and kill them.
type carryNetwork struct {
	mu sync.Mutex
	// The fields below are guarded by mu. carriers has the nodes that carry orders.
	carriers map[string]*relay.Carrier
	// cut has the pairs of nodes of which the first does not reach the second, frozenUntil when a node wakes up.
	cut         map[[2]string]bool
	frozenUntil map[string]time.Time
	// streams has the streams that are open, by carrier.
	streams map[string][]context.CancelFunc
	// carried counts the orders that carriers have sent to workers.
	carried int
}

func newCarryNetwork() *carryNetwork {
	return &carryNetwork{
		carriers: map[string]*relay.Carrier{}, cut: map[[2]string]bool{}, frozenUntil: map[string]time.Time{},
		streams: map[string][]context.CancelFunc{},
	}
}

// join makes a node carry orders and returns the workers as it reaches them through others.
func (c *carryNetwork) join(name string, direct *orders.Fleet, now func() time.Duration) *orders.Fleet {
	carrying := *direct
	carrying.Hold = func(ctx context.Context, e orders.Entry, in orders.Hold) (orders.HoldReply, error) {
		c.count()
		c.waitAwake(ctx, name)
		return direct.Hold(ctx, e, in)
	}
	carrying.Start = func(ctx context.Context, e orders.Entry, in orders.Start) (int64, error) {
		c.count()
		c.waitAwake(context.WithoutCancel(ctx), name) // a frozen node sends it after it wakes up
		return direct.Start(ctx, e, in)
	}
	c.mu.Lock()
	c.carriers[name] = &relay.Carrier{Fleet: &carrying, Now: now}
	c.mu.Unlock()
	r := &relay.Router{Direct: direct, Now: now, Open: func(ctx context.Context, addr string) (relay.Source, error) {
		return c.open(ctx, name, addr)
	}}
	return r.Fleet()
}

func (c *carryNetwork) count() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.carried++
}

func (c *carryNetwork) isCut(from, to string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cut[[2]string{from, to}]
}

// freeze suspends what a node carries for a time.
func (c *carryNetwork) freeze(name string, d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.frozenUntil[name] = time.Now().Add(d)
}

// waitAwake waits until the node is not suspended.
func (c *carryNetwork) waitAwake(ctx context.Context, name string) {
	c.mu.Lock()
	until := c.frozenUntil[name]
	c.mu.Unlock()
	clock.Sleep(ctx, time.Until(until))
}

// kill ends what a node carries.
func (c *carryNetwork) kill(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.carriers, name)
	for _, cancel := range c.streams[name] {
		cancel()
	}
}

// errNodeDown means that a node does not accept a stream.
var errNodeDown = errors.New("node is down")

// open opens a stream between two nodes.
func (c *carryNetwork) open(ctx context.Context, from, to string) (relay.Source, error) {
	clock.Sleep(ctx, messageDelay)
	c.mu.Lock()
	carrier := c.carriers[to]
	c.mu.Unlock()
	if carrier == nil {
		return relay.Source{}, errNodeDown
	}
	ctx, cancel := context.WithCancel(ctx)
	c.mu.Lock()
	c.streams[to] = append(c.streams[to], cancel)
	c.mu.Unlock()
	batches, answers := make(chan *relay.Batch, 1024), make(chan *relay.Answers, 1024)
	sink := relay.Sink{
		Recv: func(b *relay.Batch) error {
			m, err := receive(ctx, batches)
			if err != nil {
				return err
			}
			c.waitAwake(ctx, to)
			*b = *m
			return b.Check()
		},
		Send: func(a *relay.Answers) error { return c.deliver(ctx, to, from, func() { answers <- a }) },
	}
	go func() { _ = carrier.Serve(ctx, sink) }()
	return relay.Source{
		Send: func(b *relay.Batch) error { return c.deliver(ctx, from, to, func() { batches <- b }) },
		Recv: func(a *relay.Answers) error {
			m, err := receive(ctx, answers)
			if err == nil {
				*a = *m
			}
			return err
		},
	}, nil
}

// deliver puts a message at its destination. While the link is cut, messages are held up as TCP does.
func (c *carryNetwork) deliver(ctx context.Context, from, to string, put func()) error {
	clock.Sleep(ctx, messageDelay)
	for c.isCut(from, to) && ctx.Err() == nil {
		clock.Sleep(ctx, 20*time.Millisecond)
	}
	if ctx.Err() != nil {
		return ctx.Err()
	}
	c.waitAwake(ctx, from)
	put()
	return nil
}

func receive[T any](ctx context.Context, from <-chan T) (T, error) {
	select {
	case m := <-from:
		return m, nil
	case <-ctx.Done():
		var none T
		return none, ctx.Err()
	}
}

// carriedCores are so few cores that an owner reaches only one or two of four workers itself.
const carriedCores = 0.0004

// startCarried starts a simulation in which other nodes carry most orders.
func startCarried(workers, count int) (sim *simulation, nodes []*testNode, stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	sim = newSimulation(workers)
	sim.network = newCarryNetwork()
	cores := make([]float64, count)
	for i := range cores {
		cores[i] = carriedCores
	}
	nodes = sim.startNodes(ctx, cores...)
	time.Sleep(3 * time.Second)
	sim.setRunTime(3 * time.Second)
	sim.submit("open", "bulk", oneGPU(24)) // opens the streams
	time.Sleep(time.Second)
	sim.setRunTime(1500 * time.Millisecond)
	sim.network.mu.Lock()
	sim.network.carried = 0
	sim.network.mu.Unlock()
	return sim, nodes, func() {
		cancel()
		for _, n := range nodes {
			n.kill()
		}
		time.Sleep(15 * time.Second)
	}
}

// checkCarried fails the test if no orders were carried, since it proves nothing then.
func (sim *simulation) checkCarried(t *testing.T) {
	t.Helper()
	sim.network.mu.Lock()
	defer sim.network.mu.Unlock()
	if sim.network.carried == 0 {
		t.Error("no orders were carried")
	}
}

// Guards against runs that are lost or doubled where other nodes carry the owner's orders: all scenarios of a lone owner.
func TestScenariosWithCarriers(t *testing.T) {
	for name, sc := range scenarios {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				sim, nodes, stop := startCarried(4, 3)
				defer stop()
				sim.runScenario(t, sc, nodes)
				sim.checkCarried(t)
			})
		})
	}
}

// carrierFaults strike the nodes that carry orders; each strikes one of them, and ends by itself.
var carrierFaults = map[string]func(sim *simulation, n *testNode, owner string, rnd *rand.Rand){
	"killed": func(_ *simulation, n *testNode, _ string, _ *rand.Rand) { n.kill() },
	"frozen": func(sim *simulation, n *testNode, _ string, rnd *rand.Rand) {
		sim.network.freeze(n.Node, time.Duration(1000+rnd.IntN(6000))*time.Millisecond)
	},
	"not reached by the owner": func(sim *simulation, n *testNode, owner string, rnd *rand.Rand) {
		sim.network.cutFor(owner, n.Node, time.Duration(500+rnd.IntN(5000))*time.Millisecond)
	},
	"does not reach the owner": func(sim *simulation, n *testNode, owner string, rnd *rand.Rand) {
		sim.network.cutFor(n.Node, owner, time.Duration(500+rnd.IntN(5000))*time.Millisecond)
	},
	"does not reach a worker": func(sim *simulation, n *testNode, _ string, rnd *rand.Rand) {
		from, d := sim.now(), time.Duration(500+rnd.IntN(5000))*time.Millisecond
		sim.worker(fmt.Sprintf("w%d", rnd.IntN(4))).unreachable.set(func(node string) bool { return node == n.Node && sim.now()-from < d })
	},
}

// cutFor holds up the messages from one node to another for a time.
func (c *carryNetwork) cutFor(from, to string, d time.Duration) {
	pair := [2]string{from, to}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cut[pair] = true
	time.AfterFunc(d, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		delete(c.cut, pair)
	})
}

// Guards against runs that are lost or doubled as carriers are lost, frozen or cut off one way, also as the owner dies or
// a worker restarts meanwhile.
func TestWorkIsDoneWhileCarriersFail(t *testing.T) {
	names := make([]string, 0, len(carrierFaults))
	for name := range carrierFaults {
		names = append(names, name)
	}
	slices.Sort(names)
	for seed := range uint64(40) {
		rnd := rand.New(rand.NewPCG(seed, 11))
		first, second := names[rnd.IntN(len(names))], names[rnd.IntN(len(names))]
		t.Run(fmt.Sprintf("seed %d/%s/%s", seed, first, second), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				sim, nodes, stop := startCarried(4, 5)
				defer stop()
				sim.runScenario(t, scenario{limit: 3 * time.Minute, during: func(sim *simulation, nodes []*testNode) {
					for i, name := range []string{first, second} {
						owner := ownerOf(nodes)
						if owner == nil {
							continue
						}
						carriers := slices.DeleteFunc(slices.Clone(nodes), func(n *testNode) bool { return n == owner })
						carrierFaults[name](sim, carriers[rnd.IntN(len(carriers))], owner.Node, rnd)
						time.Sleep(time.Duration(rnd.IntN(1500)) * time.Millisecond)
						switch m := sim.worker(fmt.Sprintf("w%d", rnd.IntN(4))); {
						case i == 0 && rnd.IntN(3) == 0:
							m.restart(true)
						case i == 0 && rnd.IntN(3) == 0:
							owner.kill()
						}
					}
				}}, nodes)
				sim.checkCarried(t)
			})
		})
	}
}

// A fleet that an owner can reach alone has no carriers; a larger one is shared by cores, and each change moves only the
// workers of the nodes that come or go.
func TestCarriersAreChosenByCores(t *testing.T) {
	peers := func(cores ...float64) []peer {
		var out []peer
		for i, c := range cores {
			out = append(out, peer{addr: fmt.Sprintf("10.0.0.%d:1", i), cores: c})
		}
		return out
	}
	for name, tc := range map[string]struct {
		workers  int
		cores    float64
		peers    []peer
		carriers int
	}{
		"alone":                    {1000, 0.4, peers(0.4, 0.4), 0},
		"no other node":            {5000, 0.4, nil, 0},
		"cores are not known":      {5000, 0, peers(0.4), 0},
		"the largest are enough":   {6000, 0.8, peers(0.8, 0.8, 0.8, 0.8, 0.8, 0.8, 0.8, 0.192, 0.192), 7},
		"small ones are taken too": {1800, 0.192, peers(0.8, 0.192, 0.192, 0.192, 0.192, 0.192, 0.192, 0.192), 6},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			shares := chooseShares(tc.workers, tc.cores, tc.peers)
			is.Equal(max(0, len(shares)-1), tc.carriers)
			counts := map[string]int{}
			for i := range tc.workers {
				counts[shareOf(fmt.Sprintf("worker-%d", i), shares)]++
			}
			for _, s := range shares {
				is.True(counts[s.addr] < int(1.4*s.can)+10)
			}
			if len(shares) < 3 {
				return
			}
			lost := shares[2].addr
			left := slices.DeleteFunc(slices.Clone(shares), func(s share) bool { return s.addr == lost })
			for i := range tc.workers {
				id := fmt.Sprintf("worker-%d", i)
				if at := shareOf(id, shares); at != lost {
					is.Equal(shareOf(id, left), at)
				}
			}
		})
	}
}

// Guards against an owner that sends hold after hold to a worker that lists ends, as long as its carrier does not reach it.
func TestOwnerSendsFewHoldsWhileCarriersAreCutOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim, nodes, stop := startCarried(4, 3)
		defer stop()
		owner := ownerOf(nodes).Node
		var sent atomic.Int64
		for _, w := range sim.workers {
			w.unreachable.set(func(node string) bool {
				if node == owner {
					sent.Add(1)
				}
				return node != owner
			})
		}
		sim.submit("short", "bulk", oneGPU(12))
		time.Sleep(8 * time.Second)
		const most = 4 * 8 * 10 // ten a second for each of four workers
		if n := sent.Load(); n > most {
			t.Errorf("the owner has sent %d orders itself within 8 s, want at most %d", n, most)
		}
		sim.checkCarried(t)
	})
}

// Guards against starts that a node sends for an owner that may be cut off from the store.
func TestOrdersOfAnOldCommitAreNotCarried(t *testing.T) {
	is := is.New(t)
	now := time.Minute
	l := &Candidate{Now: func() time.Duration { return now }}
	o := newOwner(l, ownership{Epoch: 1}, 1, now)
	defer o.cancel()
	s := o.session(orders.Entry{Worker: sched.Worker{ID: "w"}, Addr: "w:1"})
	s.setCarrier("c:1")
	is.Equal(s.target(carriedStartAge).Carrier, "c:1")
	now += carriedStartAge
	is.Equal(s.target(carriedStartAge).Carrier, "")
	is.Equal(s.target(carriedHoldAge).Carrier, "c:1")
	now += carriedHoldAge
	is.Equal(s.target(carriedHoldAge).Carrier, "")
}

// Guards against ends that a restarted worker forgets unseen, where a hold that acknowledges ends is no longer carried.
func TestHoldOfAnOldCommitAcknowledgesNothingUnconfirmed(t *testing.T) {
	for name, carrier := range map[string]string{"with a carrier": "c:1", "without": ""} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			now := time.Minute
			sent := make(chan orders.Hold, 1)
			l := &Candidate{Now: func() time.Duration { return now }, Fleet: &orders.Fleet{
				Hold: func(_ context.Context, e orders.Entry, in orders.Hold) (orders.HoldReply, error) {
					is.Equal(e.Carrier, "") // the hold is sent directly
					sent <- in
					return orders.HoldReply{}, orders.ErrOutcomeUnknown
				},
			}}
			o := newOwner(l, ownership{Epoch: 1}, 1, now)
			defer o.cancel()
			s := o.session(orders.Entry{Worker: sched.Worker{ID: "w"}, Addr: "w:1"})
			s.incarnation, s.durableEnd = 1, 3
			s.setCarrier(carrier)
			now += carriedHoldAge
			s.sendHold(0)
			is.Equal((<-sent).Acked, int64(0)) // no answer shows that this incarnation gets it
		})
	}
}
