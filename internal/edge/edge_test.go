package edge

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"

	"greengageline/internal/clock"
	"greengageline/internal/lead"
	"greengageline/internal/orders"
	"greengageline/internal/peer"
	"greengageline/internal/rows"
	"greengageline/pkg/model"
)

// shop is a store that two nodes share; each may be refused or left waiting.
type shop struct {
	mu      sync.Mutex
	rows    map[string]rows.Row
	version uint64
	// block says what happens to a node's calls: nil passes them, a nil error
	// from it leaves them without an answer.
	block map[string]func() error
	// each is the time that a part takes for a transaction; free is when each
	// part can take the next.
	each time.Duration
	free map[string]time.Time
	// ranges counts the reads of ranges.
	ranges int
}

func (s *shop) view(who string) *rows.Store {
	pass := func(ctx context.Context) error {
		s.mu.Lock()
		block := s.block[who]
		s.mu.Unlock()
		if block == nil {
			return nil
		}
		if err := block(); err != nil {
			return err
		}
		<-ctx.Done()
		return rows.ErrUnclear
	}
	return &rows.Store{
		Commit: func(ctx context.Context, t rows.Txn) (uint64, []rows.Row, error) {
			if err := pass(ctx); err != nil {
				return 0, nil, err
			}
			if err := s.inTurn(ctx, t); err != nil {
				return 0, nil, err
			}
			return s.commit(t)
		},
		Range: func(ctx context.Context, table, part, from, to string) (rows.Page, error) {
			if err := pass(ctx); err != nil {
				return rows.Page{}, err
			}
			s.mu.Lock()
			s.ranges++
			s.mu.Unlock()
			return s.get(table, part, from, to), nil
		},
		Feed: func(ctx context.Context, table string, after uint64, wait time.Duration) (rows.Page, error) {
			if err := pass(ctx); err != nil {
				return rows.Page{}, err
			}
			// It looks ten times, which is quick enough for the tests.
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

func (s *shop) commit(t rows.Txn) (uint64, []rows.Row, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range t.If {
		if r := s.rows[nameOf(c)]; r.Version != c.Version {
			r.Table, r.Part, r.Key = c.Table, c.Part, c.Key
			return 0, []rows.Row{r}, rows.ErrConflict
		}
	}
	s.version++
	for _, p := range t.Put {
		p.Version = s.version
		s.rows[nameOf(p)] = p
	}
	return s.version, nil, nil
}

func nameOf(r rows.Row) string { return r.Table + " " + r.Part + " " + r.Key }

func (s *shop) get(table, part, from, to string) rows.Page {
	return s.find(func(r rows.Row) bool {
		return r.Table == table && r.Part == part && r.Key >= from && (to == "" || r.Key < to)
	})
}

func (s *shop) find(match func(rows.Row) bool) rows.Page {
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

// inTurn lets a part take one transaction after another and refuses those that
// come when more than a second of them wait.
func (s *shop) inTurn(ctx context.Context, t rows.Txn) error {
	part := slices.Concat(t.If, t.Put, t.Drop)[0].Part
	s.mu.Lock()
	if s.each == 0 {
		s.mu.Unlock()
		return nil
	}
	now := time.Now()
	at := s.free[part]
	if at.Before(now) {
		at = now
	}
	if at.Sub(now) > time.Second {
		s.mu.Unlock()
		return rows.ErrRefused
	}
	at = at.Add(s.each)
	s.free[part] = at
	s.mu.Unlock()
	clock.Sleep(ctx, at.Sub(now))
	if ctx.Err() != nil {
		return rows.ErrUnclear
	}
	return nil
}

func (s *shop) since(table string, after uint64) rows.Page {
	return s.find(func(r rows.Row) bool { return r.Table == table && r.Version > after })
}

// cut has the store treat the node that is not the owner as block says.
func (s *shop) cut(block func() error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.block["edge"] = block
}

var basePlan = model.Plan{
	Version: 5,
	Queues:  []model.Queue{{Name: "q", Host: "h", Prefix: "/q/", Pool: "p", TimeoutMs: 3000}},
	Spaces:  []model.PlanSpace{{Name: "ws", Keys: []string{"k"}}},
}

// pair is an owner's node and another one; plans are what each reads.
type pair struct {
	shop        *shop
	owner, edge *Node
	reach       atomic.Bool // calls between the nodes pass
	// larger makes the other node tell four times its cores.
	larger atomic.Bool

	mu sync.Mutex
	// plans is guarded by mu.
	plans map[string]*model.Plan
}

// setPlan has a node read a plan from now on.
func (p *pair) setPlan(plan *model.Plan, nodes ...string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, n := range nodes {
		p.plans[n] = plan
	}
}

func (p *pair) plan(node string) *model.Plan {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.plans[node]
}

// begin starts the owner and then the other node; the options change what is not
// to change later.
func begin(t *testing.T, options ...func(*pair)) *pair {
	t.Helper()
	p := &pair{
		shop:  &shop{rows: map[string]rows.Row{}, block: map[string]func() error{}, free: map[string]time.Time{}},
		plans: map[string]*model.Plan{"owner": &basePlan, "edge": &basePlan},
	}
	ctx, cancel := context.WithCancel(context.Background())
	base := time.Now()
	now := func() time.Duration { return time.Since(base) + time.Hour }
	nodes := map[string]*Node{}
	for _, name := range []string{"owner", "edge"} {
		n := &Node{Name: name, Rows: p.shop.view(name), FreshFor: 3500 * time.Millisecond, Now: now}
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
		n.Lead = &lead.Lead{
			Node: name, Addr: name, Rows: n.Rows, Now: now, Plan: func() model.Plan { return n.Plan() }, Ask: n.Ask, Cores: 1,
			Fleet: &orders.Fleet{List: func(context.Context) ([]orders.Entry, error) { return nil, nil }},
		}
		nodes[name] = n
	}
	p.owner, p.edge = nodes["owner"], nodes["edge"]
	p.reach.Store(true)
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

// invoke hands a call to a node, encoded as on the wire.
func (p *pair) invoke(ctx context.Context, n *Node, method string, in, out any) error {
	if !p.reach.Load() {
		return fmt.Errorf("%w: cut", peer.ErrUnreached)
	}
	var reply any
	switch method {
	case "Pulse":
		asked := in.(*pulseIn)
		cores := asked.Cores
		if asked.From == "edge" && p.larger.Load() {
			cores *= 4
		}
		pulse := n.Lead.Pulse(cores)
		reply = &pulse
	case "Note":
		var v noteIn
		data, err := cbor.Marshal(in)
		if err != nil {
			return err
		}
		if err := cbor.Unmarshal(data, &v); err != nil {
			return err
		}
		if reply, err = n.noted(ctx, &v); err != nil {
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

func unanswered() error { return nil }

func refused() error { return rows.ErrRefused }

func TestCallersOfACutNodeAreServedThroughTheOwner(t *testing.T) {
	for name, block := range map[string]func() error{"without an answer": unanswered, "refused": refused} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				p := begin(t)
				p.shop.cut(block)
				for _, after := range []time.Duration{0, 10 * time.Second} { // the plan is recent, then stale
					time.Sleep(after)
					id := fmt.Sprintf("job%d", after)
					from := time.Now()
					_, err := p.edge.Serve(context.Background(), call(Submit, id))
					is.NoErr(err)
					is.True(time.Since(from) < 500*time.Millisecond)
					reply, err := p.edge.Serve(context.Background(), call(Look, id))
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

func TestNodeWithoutStoreAndOwnerRefusesAtOnceOrTellsThatItDoesNotKnow(t *testing.T) {
	cases := map[string]struct {
		block func() error
		want  error // of the first call; a refusal is a promise
	}{
		"refused":           {refused, ErrBusy},
		"without an answer": {unanswered, ErrUnclear},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				p := begin(t)
				// Between two reads of the plan: one that is refused at the same
				// instant may come first and make the node refuse as not ready.
				time.Sleep(planWait / 3)
				p.reach.Store(false)
				p.shop.cut(c.block)
				_, err := p.edge.Serve(context.Background(), call(Submit, "a"))
				is.True(errors.Is(err, c.want))
				time.Sleep(5 * time.Second)
				from := time.Now()
				_, err = p.edge.Serve(context.Background(), call(Submit, "c"))
				is.True(errors.Is(err, ErrNotReady))
				is.Equal(time.Since(from), time.Duration(0)) // it is refused at once
				is.True(p.edge.Ready() != nil)
			})
		})
	}
}

// Once a node knows that the store is away, callers are refused at once, with a
// promise, and served again as soon as the store is back.
func TestCallersAreRefusedAtOnceWhileTheStoreIsAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		// The plan stays recent, so that only the store's silence refuses.
		p := begin(t, func(p *pair) { p.owner.FreshFor, p.edge.FreshFor = time.Hour, time.Hour })
		for _, name := range []string{"owner", "edge"} {
			p.shop.mu.Lock()
			p.shop.block[name] = unanswered
			p.shop.mu.Unlock()
		}
		_, err := p.edge.Serve(context.Background(), call(Submit, "a"))
		is.True(errors.Is(err, ErrUnclear)) // the first one finds out
		for range 3 {
			from := time.Now()
			_, err = p.edge.Serve(context.Background(), call(Submit, "b"))
			is.True(errors.Is(err, ErrNotReady))
			is.True(time.Since(from) < 100*time.Millisecond)
		}
		for _, name := range []string{"owner", "edge"} {
			p.shop.mu.Lock()
			p.shop.block[name] = nil
			p.shop.mu.Unlock()
		}
		time.Sleep(1500 * time.Millisecond)
		_, err = p.edge.Serve(context.Background(), call(Submit, "b"))
		is.NoErr(err)
	})
}

// Six jobs a second come while a part of the store takes half a second for each
// transaction: all are accepted, and in time, since they do not wait for one
// another or for the owner.
func TestJobsAreAcceptedWhileTheStoreIsSlow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := begin(t)
		p.shop.mu.Lock()
		p.shop.each = 480 * time.Millisecond
		p.shop.mu.Unlock()
		var wg sync.WaitGroup
		var mu sync.Mutex
		inTime := 0
		for i := range 36 {
			wg.Add(1)
			go func() {
				defer wg.Done()
				from := time.Now()
				c := call(Submit, fmt.Sprintf("%016x", i*0x9e3779b9))
				c.Waits = 3 * time.Second
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

// A larger node that the store turns away could not own the work, so it must not
// be handed over.
func TestWorkStaysWhereTheLargerNodeHasNoStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := begin(t)
		p.shop.cut(refused)
		time.Sleep(5 * time.Second)
		p.larger.Store(true)
		time.Sleep(10 * time.Second)
		is.True(p.owner.Lead.Own() != nil)
		is.Equal(p.owner.Lead.Pulse(0).Epoch, int64(1))
		p.shop.cut(nil)
		time.Sleep(10 * time.Second)
		is.True(p.edge.Lead.Own() != nil) // with the store back it owns the work
	})
}

func TestStaleNodeHonoursNoKeyThatWasTakenAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := begin(t)
		p.shop.cut(unanswered)
		revoked := basePlan
		revoked.Version, revoked.Spaces = 9, nil
		p.setPlan(&revoked, "owner")
		time.Sleep(5 * time.Second)
		_, err := p.edge.Serve(context.Background(), call(Submit, "a"))
		is.True(errors.Is(err, ErrKey)) // by the owner's plan
	})
}

func TestNodeNeverGoesBackToAnOlderPlan(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := begin(t)
		older := basePlan
		older.Version, older.Queues = 4, nil
		p.setPlan(&older, "edge")
		time.Sleep(5 * time.Second)
		is.Equal(p.edge.Plan().Version, uint64(5))
		_, err := p.edge.Serve(context.Background(), call(Submit, "a"))
		is.NoErr(err)
	})
}

func TestWorkThatCanNotBeServedIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := begin(t)
		advised := basePlan
		advised.Version = 6
		advised.Queues = []model.Queue{{Name: "q", Host: "h", Prefix: "/q/", Pool: "p", TimeoutMs: 3000, Advice: &model.Advice{}}}
		p.setPlan(&advised, "edge", "owner")
		time.Sleep(3 * time.Second)
		_, err := p.edge.Serve(context.Background(), call(Submit, "a"))
		is.True(errors.Is(err, ErrNotReady))
		reply, err := p.edge.Serve(context.Background(), call(Look, "a"))
		is.NoErr(err)
		is.True(!reply.Look.Known) // it is not accepted anywhere
	})
}

func TestUnknownJobIsKnownAsSuch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := begin(t)
		reply, err := p.edge.Serve(context.Background(), call(Look, "none"))
		is.NoErr(err)
		is.True(!reply.Look.Known)
		reply, err = p.edge.Serve(context.Background(), call(Cancel, "none"))
		is.NoErr(err)
		is.True(!reply.Found)
		_, err = p.edge.Serve(context.Background(), call(Submit, "a"))
		is.NoErr(err)
		time.Sleep(time.Second)
		reply, err = p.edge.Serve(context.Background(), call(Count, ""))
		is.NoErr(err)
		is.Equal(reply.Count, 1)
	})
}

// Counts that the owner can't give are read from the rows, but not more often
// than the store bears: a new owner needs the reads.
func TestCountsAreReadFromTheRowsSparingly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := begin(t)
		_, err := p.edge.Serve(context.Background(), call(Submit, "a"))
		is.NoErr(err)
		p.shop.mu.Lock()
		p.shop.ranges = 0
		p.shop.mu.Unlock()
		p.reach.Store(false)
		for range 20 {
			reply, err := p.edge.Serve(context.Background(), call(Count, ""))
			is.True(err == nil && reply.Count == 1 || errors.Is(err, ErrNotReady))
			time.Sleep(100 * time.Millisecond)
		}
		p.shop.mu.Lock()
		defer p.shop.mu.Unlock()
		is.True(p.shop.ranges < 3*20) // two scans and a few looks at the owner's row
	})
}
