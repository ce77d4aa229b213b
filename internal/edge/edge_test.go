package edge

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"

	"greengageline/internal/clock"
	"greengageline/internal/leader"
	"greengageline/internal/orders"
	"greengageline/internal/peer"
	"greengageline/internal/rows"
	"greengageline/internal/sched"
	"greengageline/pkg/model"
)

// fakeStore is a store that two nodes share. It can refuse a node's calls or leave them
// unanswered.
type fakeStore struct {
	mu      sync.Mutex
	rows    map[string]rows.Row
	version uint64
	// blocks is keyed by node. A node without a function is served. A function that returns an
	// error makes calls fail with it; one that returns nil leaves them unanswered.
	blocks map[string]func() error
	// txnTime is the time that a part takes for a transaction; freeAt is when each part can
	// start the next.
	txnTime time.Duration
	freeAt  map[string]time.Time
	// rangeReads counts the range reads.
	rangeReads int
}

// maxKeyBytes is the longest key that the store takes.
const maxKeyBytes = 200

func (s *fakeStore) viewOf(node string) *rows.Store {
	checkBlock := func(ctx context.Context) error {
		s.mu.Lock()
		block := s.blocks[node]
		s.mu.Unlock()
		if block == nil {
			return nil
		}
		if err := block(); err != nil {
			return err
		}
		<-ctx.Done()
		return rows.ErrOutcomeUnknown
	}
	return &rows.Store{
		Commit: func(ctx context.Context, t rows.Txn) (uint64, []rows.Row, error) {
			if err := checkBlock(ctx); err != nil {
				return 0, nil, err
			}
			if err := s.waitTurn(ctx, t); err != nil {
				return 0, nil, err
			}
			if slices.ContainsFunc(slices.Concat(t.Conditions, t.Put), func(r rows.Row) bool { return len(r.Key) > maxKeyBytes }) {
				return 0, nil, rows.ErrRefused
			}
			return s.commit(t)
		},
		Range: func(ctx context.Context, table, part, from, to string) (rows.Page, error) {
			if err := checkBlock(ctx); err != nil {
				return rows.Page{}, err
			}
			s.mu.Lock()
			s.rangeReads++
			s.mu.Unlock()
			return s.get(table, part, from, to), nil
		},
		Feed: func(ctx context.Context, table string, after uint64, wait time.Duration) (rows.Page, error) {
			if err := checkBlock(ctx); err != nil {
				return rows.Page{}, err
			}
			// Ten polls per wait are frequent enough for the tests.
			for range 10 {
				if page := s.since(table, after); len(page.Rows) > 0 {
					return page, nil
				}
				clock.Sleep(ctx, wait/10)
			}
			return s.since(table, after), ctx.Err()
		},
	}
}

func (s *fakeStore) commit(t rows.Txn) (uint64, []rows.Row, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range t.Conditions {
		if r := s.rows[rowID(c)]; r.Version != c.Version {
			r.Table, r.Part, r.Key = c.Table, c.Part, c.Key
			return 0, []rows.Row{r}, rows.ErrConflict
		}
	}
	s.version++
	for _, p := range t.Put {
		p.Version = s.version
		s.rows[rowID(p)] = p
	}
	return s.version, nil, nil
}

func rowID(r rows.Row) string { return r.Table + " " + r.Part + " " + r.Key }

func (s *fakeStore) get(table, part, from, to string) rows.Page {
	return s.find(func(r rows.Row) bool {
		return r.Table == table && r.Part == part && r.Key >= from && (to == "" || r.Key < to)
	})
}

func (s *fakeStore) find(match func(rows.Row) bool) rows.Page {
	s.mu.Lock()
	defer s.mu.Unlock()
	page := rows.Page{Version: s.version}
	for _, r := range s.rows {
		if match(r) {
			page.Rows = append(page.Rows, r)
		}
	}
	return page
}

// waitTurn processes the transactions of a part one after another and refuses a transaction if
// those before it need more than a second.
func (s *fakeStore) waitTurn(ctx context.Context, t rows.Txn) error {
	part := slices.Concat(t.Conditions, t.Put, t.Delete)[0].Part
	s.mu.Lock()
	if s.txnTime == 0 {
		s.mu.Unlock()
		return nil
	}
	now := time.Now()
	at := s.freeAt[part]
	if at.Before(now) {
		at = now
	}
	if at.Sub(now) > time.Second {
		s.mu.Unlock()
		return rows.ErrRefused
	}
	at = at.Add(s.txnTime)
	s.freeAt[part] = at
	s.mu.Unlock()
	clock.Sleep(ctx, at.Sub(now))
	if ctx.Err() != nil {
		return rows.ErrOutcomeUnknown
	}
	return nil
}

func (s *fakeStore) since(table string, after uint64) rows.Page {
	return s.find(func(r rows.Row) bool { return r.Table == table && r.Version > after })
}

// blockEdge makes the store treat the node that is not the owner as block says; nil unblocks
// it.
func (s *fakeStore) blockEdge(block func() error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.blocks["edge"] = block
}

var basePlan = model.Plan{
	Version: 5,
	Queues:  []model.Queue{{Name: "q", Host: "h", Prefix: "/q/", Pool: "p", TimeoutMs: 3000}},
	Spaces:  []model.PlanSpace{{Name: "ws", Keys: []string{"k"}}},
}

// nodePair is two nodes, of which owner is started first and becomes the owner. plans holds
// the plan that each reads.
type nodePair struct {
	store       *fakeStore
	owner, edge *Node
	connected   atomic.Bool // whether calls between the nodes succeed
	// edgeReportsMoreCores makes the edge node's heartbeats report four times its cores.
	edgeReportsMoreCores atomic.Bool
	// notes counts the notifications that have arrived; failNotes is how many are to fail first.
	notes, failNotes atomic.Int64

	mu sync.Mutex
	// plans is guarded by mu.
	plans map[string]*model.Plan
}

// setPlan sets the plan that the given nodes read from now on.
func (p *nodePair) setPlan(plan *model.Plan, nodes ...string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, n := range nodes {
		p.plans[n] = plan
	}
}

func (p *nodePair) plan(node string) *model.Plan {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.plans[node]
}

// startPair starts the owner and then the other node. The options set what must not change
// after the start.
func startPair(t *testing.T, options ...func(*nodePair)) *nodePair {
	t.Helper()
	p := &nodePair{
		store: &fakeStore{rows: map[string]rows.Row{}, blocks: map[string]func() error{}, freeAt: map[string]time.Time{}},
		plans: map[string]*model.Plan{"owner": &basePlan, "edge": &basePlan},
	}
	ctx, cancel := context.WithCancel(context.Background())
	base := time.Now()
	now := func() time.Duration { return time.Since(base) + time.Hour }
	nodes := map[string]*Node{}
	for _, name := range []string{"owner", "edge"} {
		n := &Node{Name: name, Rows: p.store.viewOf(name), MaxPlanAge: 3500 * time.Millisecond, Now: now}
		n.Follow = func(ctx context.Context, _ uint64, wait time.Duration) (Change, error) {
			if _, err := n.Rows.Feed(ctx, "", 0, wait); err != nil {
				return Change{}, err
			}
			return Change{Plan: p.plan(name), Version: 1}, nil
		}
		n.Dial = func(addr string) *peer.Client {
			return &peer.Client{Addr: addr, Invoke: func(ctx context.Context, addr, method string, in, out any) error {
				return p.invoke(ctx, nodes[addr], method, in, out)
			}}
		}
		n.Candidate = &leader.Candidate{
			Node: name, Addr: name, Rows: n.Rows, Now: now, Plan: func() model.Plan { return n.Plan() }, Poll: n.Ask, Cores: 1,
			Fleet: &orders.Fleet{List: func(context.Context) ([]orders.Entry, error) { return nil, nil }},
		}
		nodes[name] = n
	}
	p.owner, p.edge = nodes["owner"], nodes["edge"]
	p.connected.Store(true)
	for _, o := range options {
		o(p)
	}
	var wg sync.WaitGroup
	run := func(n *Node) {
		wg.Add(1)
		go func() {
			defer wg.Done()
			n.Run(ctx)
		}()
	}
	run(p.owner)
	time.Sleep(2 * time.Second)
	run(p.edge)
	time.Sleep(2 * time.Second)
	t.Cleanup(func() {
		cancel()
		wg.Wait()
		time.Sleep(10 * time.Second)
	})
	return p
}

// invoke passes a call to a node, with the reply encoded as on the wire.
func (p *nodePair) invoke(ctx context.Context, n *Node, method string, in, out any) error {
	if !p.connected.Load() {
		return fmt.Errorf("%w: cut", peer.ErrNotReached)
	}
	var reply any
	switch method {
	case "Pulse":
		asked := in.(*pulseRequest)
		cores := asked.Cores
		if asked.From == "edge" && p.edgeReportsMoreCores.Load() {
			cores *= 4
		}
		pulse := n.Candidate.Pulse(cores)
		reply = &pulse
	case "Note":
		var v noteRequest
		data, err := cbor.Marshal(in)
		if err != nil {
			return err
		}
		if err := cbor.Unmarshal(data, &v); err != nil {
			return err
		}
		if p.failNotes.Add(-1) >= 0 {
			return fmt.Errorf("%w: connection is dead", peer.ErrNotReached)
		}
		p.notes.Add(1)
		if reply, err = n.handleNote(ctx, &v); err != nil {
			return err
		}
	case "Serve":
		var c Call
		data, err := cbor.Marshal(in)
		if err != nil {
			return err
		}
		if err := cbor.Unmarshal(data, &c); err != nil {
			return err
		}
		if reply, err = n.serveRelayed(ctx, &c); err != nil {
			return err
		}
	}
	data, err := cbor.Marshal(reply)
	if err != nil {
		return err
	}
	return cbor.Unmarshal(data, out)
}

func call(op Op, id string) Call {
	return Call{Op: op, Host: "h", Path: "/q/" + id, Key: "k", Work: model.Work{Steps: []model.Step{{Tasks: 1}}}}
}

func noAnswer() error { return nil }

func refuse() error { return rows.ErrRefused }

func TestNodeWithoutStoreServesCallersThroughOwner(t *testing.T) {
	for name, block := range map[string]func() error{"without an answer": noAnswer, "refused": refuse} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				p := startPair(t)
				p.store.blockEdge(block)
				for _, after := range []time.Duration{0, 10 * time.Second} { // the plan is fresh, then stale
					time.Sleep(after)
					id := fmt.Sprintf("job%d", after)
					from := time.Now()
					_, err := p.edge.Serve(context.Background(), call(Submit, id))
					is.NoErr(err)
					is.True(time.Since(from) < 500*time.Millisecond)
					reply, err := p.edge.Serve(context.Background(), call(State, id))
					is.NoErr(err)
					is.True(reply.Look.Known)
					reply, err = p.edge.Serve(context.Background(), call(Cancel, id))
					is.NoErr(err)
					is.True(reply.Found)
				}
			})
		})
	}
}

func TestNodeWithoutStoreAndOwnerReportsErrorThenRefusesAtOnce(t *testing.T) {
	cases := map[string]struct {
		block func() error
		want  error // of the first call; ErrBusy guarantees that nothing was written
	}{
		"refused":           {refuse, ErrBusy},
		"without an answer": {noAnswer, ErrOutcomeUnknown},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				p := startPair(t)
				// Block the store between two reads of the plan. A read that is refused at the
				// same instant could come first and make the node refuse the call as not
				// ready.
				time.Sleep(planReadWait / 3)
				p.connected.Store(false)
				p.store.blockEdge(c.block)
				_, err := p.edge.Serve(context.Background(), call(Submit, "a"))
				is.True(errors.Is(err, c.want))
				time.Sleep(5 * time.Second)
				from := time.Now()
				_, err = p.edge.Serve(context.Background(), call(Submit, "c"))
				is.True(errors.Is(err, ErrNotReady))
				is.Equal(time.Since(from), time.Duration(0)) // refused without waiting
				is.True(p.edge.Ready() != nil)
			})
		})
	}
}

// Guards against callers that wait for a store known to be down: after the first failure calls
// are refused at once with ErrNotReady, and they are served again when the store is back.
func TestCallsAreRefusedAtOnceWhileStoreIsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		// The plan stays fresh, so that calls are refused only because the store does not
		// answer.
		p := startPair(t, func(p *nodePair) { p.owner.MaxPlanAge, p.edge.MaxPlanAge = time.Hour, time.Hour })
		for _, name := range []string{"owner", "edge"} {
			p.store.mu.Lock()
			p.store.blocks[name] = noAnswer
			p.store.mu.Unlock()
		}
		_, err := p.edge.Serve(context.Background(), call(Submit, "a"))
		is.True(errors.Is(err, ErrOutcomeUnknown)) // the first call detects the failure
		for range 3 {
			from := time.Now()
			_, err = p.edge.Serve(context.Background(), call(Submit, "b"))
			is.True(errors.Is(err, ErrNotReady))
			is.True(time.Since(from) < 100*time.Millisecond)
		}
		for _, name := range []string{"owner", "edge"} {
			p.store.mu.Lock()
			p.store.blocks[name] = nil
			p.store.mu.Unlock()
		}
		time.Sleep(1500 * time.Millisecond)
		_, err = p.edge.Serve(context.Background(), call(Submit, "b"))
		is.NoErr(err)
	})
}

// Six jobs a second arrive while a part of the store takes 480 ms for each transaction. All
// must be accepted in time, because they do not wait for one another or for the owner.
func TestJobsAreAcceptedWhileTheStoreIsSlow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := startPair(t)
		p.store.mu.Lock()
		p.store.txnTime = 480 * time.Millisecond
		p.store.mu.Unlock()
		var wg sync.WaitGroup
		var mu sync.Mutex
		inTime := 0
		for i := range 36 {
			wg.Add(1)
			go func() {
				defer wg.Done()
				from := time.Now()
				c := call(Submit, fmt.Sprintf("%016x", i*0x9e3779b9))
				c.CallerTimeout = 3 * time.Second
				if _, err := p.edge.Serve(context.Background(), c); err == nil && time.Since(from) < 1500*time.Millisecond {
					mu.Lock()
					inTime++
					mu.Unlock()
				}
			}()
			time.Sleep(time.Second / 6)
		}
		wg.Wait()
		is.Equal(inTime, 36)
	})
}

// Guards against a handover to a node with more cores that the store refuses and that could
// not own the work.
func TestOwnershipStaysWhileLargerNodeHasNoStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := startPair(t)
		p.store.blockEdge(refuse)
		time.Sleep(5 * time.Second)
		p.edgeReportsMoreCores.Store(true)
		time.Sleep(10 * time.Second)
		is.True(p.owner.Candidate.LocalOwner() != nil)
		is.Equal(p.owner.Candidate.Pulse(0).Epoch, int64(1))
		p.store.blockEdge(nil)
		time.Sleep(10 * time.Second)
		is.True(p.edge.Candidate.LocalOwner() != nil) // it takes over once the store is back
	})
}

// Guards against a cancellation that reaches the owner through the feed alone, which may wait on a dead connection.
func TestOwnerIsNotifiedOfCancellation(t *testing.T) {
	for name, fail := range map[string]int64{"at once": 0, "over a new connection": 1} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				p := startPair(t)
				_, err := p.edge.Serve(context.Background(), call(Submit, "j"))
				is.NoErr(err)
				time.Sleep(time.Second)
				before := p.notes.Load()
				p.failNotes.Store(fail)
				reply, err := p.edge.Serve(context.Background(), call(Cancel, "j"))
				is.NoErr(err)
				is.True(reply.Found)
				time.Sleep(50 * time.Millisecond)
				is.Equal(p.notes.Load(), before+1) // the owner was notified
				time.Sleep(time.Second)
				reply, err = p.edge.Serve(context.Background(), call(State, "j"))
				is.NoErr(err)
				is.Equal(reply.Look.State, sched.Cancelled)
			})
		})
	}
}

// Guards against a job that no row of the store holds: each write would be refused, and its caller would come again.
func TestJobTooLargeForRowIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := startPair(t)
		for name, size := range map[string]int{"small": 4000, "too large": maxWorkBytes} {
			c := call(Submit, strings.ReplaceAll(name, " ", "-"))
			c.Work.Payload = strings.Repeat("x", size)
			from := time.Now()
			_, err := p.edge.Serve(context.Background(), c)
			is.Equal(errors.Is(err, model.ErrInvalid), size >= maxWorkBytes)
			is.True(time.Since(from) < 100*time.Millisecond)
		}
	})
}

func TestStaleNodeRefusesRevokedKey(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := startPair(t)
		p.store.blockEdge(noAnswer)
		revoked := basePlan
		revoked.Version, revoked.Spaces = 9, nil
		p.setPlan(&revoked, "owner")
		time.Sleep(5 * time.Second)
		_, err := p.edge.Serve(context.Background(), call(Submit, "a"))
		is.True(errors.Is(err, ErrUnknownKey)) // according to the owner's plan
	})
}

func TestNodeNeverGoesBackToAnOlderPlan(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := startPair(t)
		older := basePlan
		older.Version, older.Queues = 4, nil
		p.setPlan(&older, "edge")
		time.Sleep(5 * time.Second)
		is.Equal(p.edge.Plan().Version, uint64(5))
		_, err := p.edge.Serve(context.Background(), call(Submit, "a"))
		is.NoErr(err)
	})
}

func TestSubmitIsRefusedWithoutRequiredAdviser(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := startPair(t)
		advised := basePlan
		advised.Version = 6
		advised.Queues = []model.Queue{{Name: "q", Host: "h", Prefix: "/q/", Pool: "p", TimeoutMs: 3000, Advice: &model.Advice{}}}
		p.setPlan(&advised, "edge", "owner")
		time.Sleep(3 * time.Second)
		_, err := p.edge.Serve(context.Background(), call(Submit, "a"))
		is.True(errors.Is(err, ErrNotReady))
		reply, err := p.edge.Serve(context.Background(), call(State, "a"))
		is.NoErr(err)
		is.True(!reply.Look.Known) // no node accepted it
	})
}

func TestUnknownJobIsReportedAsUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := startPair(t)
		reply, err := p.edge.Serve(context.Background(), call(State, "none"))
		is.NoErr(err)
		is.True(!reply.Look.Known)
		reply, err = p.edge.Serve(context.Background(), call(Cancel, "none"))
		is.NoErr(err)
		is.True(!reply.Found)
		_, err = p.edge.Serve(context.Background(), call(Submit, "a"))
		is.NoErr(err)
		time.Sleep(time.Second)
		reply, err = p.edge.Serve(context.Background(), call(CountUnstarted, ""))
		is.NoErr(err)
		is.Equal(reply.Count, 1)
	})
}

// Guards against too many scans: counts that the owner cannot give are read from the store,
// but at a limited rate, because a new owner needs the read capacity.
func TestStoreScansForCountsAreRateLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := startPair(t)
		_, err := p.edge.Serve(context.Background(), call(Submit, "a"))
		is.NoErr(err)
		p.store.mu.Lock()
		p.store.rangeReads = 0
		p.store.mu.Unlock()
		p.connected.Store(false)
		for range 20 {
			reply, err := p.edge.Serve(context.Background(), call(CountUnstarted, ""))
			is.True(err == nil && reply.Count == 1 || errors.Is(err, ErrNotReady))
			time.Sleep(100 * time.Millisecond)
		}
		p.store.mu.Lock()
		defer p.store.mu.Unlock()
		is.True(p.store.rangeReads < 3*20) // two scans and a few reads of the owner's row
	})
}
