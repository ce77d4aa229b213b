package leader

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"maps"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"greengageline/internal/clock"
	"greengageline/internal/event"
	"greengageline/internal/orders"
	"greengageline/internal/rows"
	"greengageline/internal/sched"
	"greengageline/pkg/model"
)

const (
	evacuationBound = 5 * time.Second
	// unstableExtra is how much longer starts may go on while the store is unstable.
	unstableExtra = 6 * time.Second
	evacuateKey   = "evacuate/"
)

// zoneOf returns the zone of a worker: za has w0 and w1, zb w2 and w3, and so on.
func zoneOf(id string) string { return "z" + string('a'+(id[1]-'0')/2) }

// readEvacuations makes a node read the requests as an edge node does, and check the zone before each start.
func (sim *simulation) readEvacuations(l *Candidate) func(ctx context.Context) {
	var view syncValue[Evacuations]
	l.Bounds.Evacuation, l.Evacuations = sim.evacuation, view.get
	l.Fleet = GuardStarts(l.Fleet, l.CheckStart)
	return func(ctx context.Context) {
		zones, after, wait := map[string]bool{}, uint64(0), time.Duration(0)
		for ctx.Err() == nil {
			sent := sim.now()
			readCtx, cancel := context.WithTimeout(ctx, wait+1200*time.Millisecond)
			var page rows.Page
			var err error
			if after == 0 {
				zones = map[string]bool{}
				page, err = l.Rows.Range(readCtx, "op", "", evacuateKey, "evacuate0")
			} else {
				page, err = l.Rows.Feed(readCtx, "op", after, wait)
			}
			cancel()
			if err != nil {
				if errors.Is(err, rows.ErrCompacted) {
					after = 0
				}
				wait = 0
				clock.Sleep(ctx, 100*time.Millisecond)
				continue
			}
			zones = maps.Clone(zones)
			for _, r := range page.Rows {
				if zone, ok := strings.CutPrefix(r.Key, evacuateKey); ok {
					if delete(zones, zone); !r.Deleted {
						zones[zone] = true
					}
				}
			}
			after, wait = max(after, page.Version), time.Second
			view.set(Evacuations{Zones: zones, ConfirmedAt: sent})
		}
	}
}

// evacuation is a simulation whose operator evacuates zones; it records starts in an evacuated zone after the bound.
type evacuation struct {
	*simulation
	nodes []*testNode
	// deadlines has the evacuated zones with the time after which nothing may start there.
	deadlines syncValue[map[string]time.Duration]
	inZone    syncValue[int] // starts in zone za
}

// request stores requests to evacuate zones. Starts there count as violations from limit after the confirmation.
func (v *evacuation) request(limit time.Duration, zones ...string) {
	deadlines := map[string]time.Duration{}
	for _, z := range zones {
		_, _, _ = v.store.apply(rows.Txn{Put: []rows.Row{{Table: "op", Key: evacuateKey + z, Value: []byte("{}")}}})
		deadlines[z] = v.now() + limit
	}
	v.deadlines.set(deadlines)
}

// withdraw removes the requests.
func (v *evacuation) withdraw() {
	zones := v.deadlines.get()
	v.deadlines.set(nil)
	for z := range zones {
		_, _, _ = v.store.apply(rows.Txn{Delete: []rows.Row{{Table: "op", Key: evacuateKey + z}}})
	}
}

func (v *evacuation) noteStart(m *fakeWorker, task sched.TaskRef) {
	zone := zoneOf(m.id)
	if zone == "za" {
		v.inZone.set(v.inZone.get() + 1)
	}
	if at, ok := v.deadlines.get()[zone]; ok && v.now() > at {
		v.addViolation("%s starts on %s %s after the bound", task, m.id, v.now()-at)
	}
}

// submitFor submits small jobs for a time and returns their ids.
func (v *evacuation) submitFor(name string, d time.Duration) []string {
	var ids []string
	for from := v.now(); v.now()-from < d; {
		id := fmt.Sprintf("%s%d", name, len(ids))
		ids = append(ids, id)
		switch len(ids) % 3 {
		case 0:
			v.submit(id, "urgent", gang(2))
		case 1:
			v.submit(id, "bulk", oneGPU(5))
		case 2:
			v.submit(id, "bulk", oneGPU(3))
		}
		time.Sleep(300 * time.Millisecond)
	}
	return ids
}

func startEvacuation(carried bool) (v *evacuation, stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	v = &evacuation{simulation: newSimulation(6)}
	v.evacuation = evacuationBound
	cores := testCores
	if carried {
		v.network, cores = newCarryNetwork(), carriedCores
	}
	v.onStart.set(v.noteStart)
	v.nodes = v.startNodes(ctx, cores, cores, cores)
	time.Sleep(3 * time.Second)
	return v, func() {
		cancel()
		for _, n := range v.nodes {
			n.kill()
		}
		time.Sleep(15 * time.Second)
	}
}

// Guards against starts in an evacuated zone after the bound, also as the owner changes, its reads are lost, the store is
// away, or carriers are frozen with starts, and against a zone that stays evacuated after the request was withdrawn. All
// jobs must complete.
func TestNothingStartsInEvacuatedZone(t *testing.T) {
	away := func(v *evacuation, only func(node string) bool) {
		from := v.now()
		v.store.refuse.set(func(node, _ string) error {
			if only(node) && v.now()-from < 5*time.Second {
				return rows.ErrRefused
			}
			return nil
		})
	}
	all := func(string) bool { return true }
	inZone := func(v *evacuation, do func(m *fakeWorker)) {
		for _, id := range []string{"w0", "w1"} {
			do(v.worker(id))
		}
	}
	cases := map[string]struct {
		carried bool
		limit   time.Duration // 0 means evacuationBound
		zones   []string      // nil means za
		before  func(v *evacuation)
		during  func(v *evacuation)
	}{
		"calm":                         {limit: 300 * time.Millisecond},
		"all zones but one":            {limit: 300 * time.Millisecond, zones: []string{"za", "zb"}},
		"the owner dies":               {during: func(v *evacuation) { ownerOf(v.nodes).kill() }},
		"the owner resigns":            {during: func(v *evacuation) { ownerOf(v.nodes).Resign(context.Background()) }},
		"the owner has just died":      {before: func(v *evacuation) { ownerOf(v.nodes).kill() }},
		"the owner has lost the store": {before: func(v *evacuation) { away(v, isNode(ownerOf(v.nodes).Node)) }},
		"the store goes away":          {limit: evacuationBound + unstableExtra, during: func(v *evacuation) { away(v, all) }},
		"the store forgets its history": {before: func(v *evacuation) {
			v.store.mu.Lock()
			defer v.store.mu.Unlock()
			v.store.compactedBefore = v.store.version + 1
		}},
		"the owner's feeds get no answer": {before: func(v *evacuation) {
			name, from := ownerOf(v.nodes).Node, v.now()
			v.store.silenced.Add(1)
			v.store.silentFeed.set(func(node string) bool { return node == name && v.now()-from < 11*time.Second })
		}},
		"starts wait for a commit": {limit: 300 * time.Millisecond, before: func(v *evacuation) {
			from := v.now()
			v.store.refuse.set(func(_, op string) error {
				if op == "commit" && v.now()-from < 800*time.Millisecond {
					return rows.ErrRefused
				}
				return nil
			})
			v.submit("w", "bulk", oneGPU(30))
			time.Sleep(200 * time.Millisecond)
		}},
		"starts arrive late at workers that are cut off": {before: func(v *evacuation) {
			from := v.now()
			for _, m := range v.workers {
				m.delay.set(func() time.Duration {
					if v.now()-from < 600*time.Millisecond {
						return 5500 * time.Millisecond
					}
					return 0
				})
				m.unreachable.set(func(string) bool { d := v.now() - from; return d > 400*time.Millisecond && d < 8*time.Second })
			}
			v.submit("w", "bulk", oneGPU(30))
			time.Sleep(300 * time.Millisecond)
		}},
		"answers of the store are lost": {before: func(v *evacuation) {
			v.store.lose.set(func(string) bool { return v.now().Milliseconds()%3 == 0 })
		}},
		"the request is withdrawn and made again": {during: func(v *evacuation) {
			v.withdraw()
			v.request(evacuationBound, "za")
		}},
		"the zone loses power": {during: func(v *evacuation) { inZone(v, (*fakeWorker).powerOff) }},
		"workers of the zone are replaced": {during: func(v *evacuation) {
			inZone(v, (*fakeWorker).crash)
			time.Sleep(time.Second)
			inZone(v, func(m *fakeWorker) { m.restart(false) })
		}},
		"carriers": {carried: true, limit: 300 * time.Millisecond},
		"starts are on their way to carriers": {carried: true, limit: 300 * time.Millisecond, before: func(v *evacuation) {
			owner := ownerOf(v.nodes)
			for _, n := range v.nodes {
				v.network.cutFor(owner.Node, n.Node, 700*time.Millisecond)
			}
			v.submit("w", "bulk", oneGPU(30))
			time.Sleep(200 * time.Millisecond)
		}},
		"carriers are frozen": {carried: true, before: func(v *evacuation) {
			for _, n := range v.nodes {
				if n != ownerOf(v.nodes) {
					v.network.freeze(n.Node, 5900*time.Millisecond)
				}
			}
			v.submitFor("f", 600*time.Millisecond) // starts that they send once they are awake, within their leases
		}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				v, stop := startEvacuation(c.carried)
				defer stop()
				ids := v.submitFor("a", 4*time.Second)
				is.True(v.inZone.get() > 0)
				if c.before != nil {
					c.before(v)
				}
				zones := c.zones
				if zones == nil {
					zones = []string{"za"}
				}
				limit := c.limit
				if limit == 0 {
					limit = evacuationBound
				}
				v.request(limit, zones...)
				ids = append(ids, v.submitFor("b", 300*time.Millisecond)...)
				if c.during != nil {
					c.during(v)
				}
				ids = append(ids, v.submitFor("c", 14*time.Second)...)
				v.withdraw()
				before := v.inZone.get()
				v.submit("fill", "bulk", oneGPU(40)) // needs all zones
				ids = append(append(ids, "fill"), v.submitFor("d", 5*time.Second)...)
				if name != "the zone loses power" {
					is.True(v.inZone.get() > before) // it is used again
				}
				v.awaitCompleted(t, ids, time.Minute)
				is.Equal(v.violations, nil)
			})
		})
	}
}

// Guards against runs that save progress and stay in an evacuated zone beyond the bound though there is room elsewhere, also
// if the owner dies as they move, and against runs that do not save progress and are stopped.
func TestRunsMoveOutOfEvacuatedZone(t *testing.T) {
	for name, during := range map[string]func(v *evacuation){
		"calm":           func(*evacuation) {},
		"the owner dies": func(v *evacuation) { ownerOf(v.nodes).kill() },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				v, stop := startEvacuation(false)
				defer stop()
				v.setRunTime(20 * time.Second)
				saves, plain, together := oneGPU(8), oneGPU(8), gang(2)
				saves.EstimateMs, plain.EstimateMs, together.EstimateMs = 20_000, 20_000, 20_000
				saves.Resumes, together.Resumes = true, true
				v.submit("saves", "bulk", saves)
				v.submit("plain", "bulk", plain)
				v.submit("together", "bulk", together)
				time.Sleep(3 * time.Second)
				at := v.runsInZone("za")
				is.True(at["saves"] > 0)
				v.request(evacuationBound, "za")
				time.Sleep(200 * time.Millisecond)
				during(v)
				time.Sleep(evacuationBound)
				left := v.runsInZone("za")
				is.Equal(left["saves"]+left["together"], 0)
				is.Equal(left["plain"], at["plain"])
				v.awaitCompleted(t, []string{"saves", "plain", "together"}, time.Minute)
				is.Equal(v.violations, nil)
			})
		})
	}
}

// runsInZone counts the runs of each job in a zone.
func (v *evacuation) runsInZone(zone string) map[string]int {
	v.workersMu.Lock()
	defer v.workersMu.Unlock()
	out := map[string]int{}
	for id, m := range v.workers {
		if zoneOf(id) == zone {
			for ref := range m.runs {
				out[ref.Job]++
			}
		}
	}
	return out
}

// Guards against an operator who is told of the same shortfall at each check, or not told that it ended.
func TestShortfallsAreLoggedOncePerChange(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	now := time.Hour
	zones := map[string]bool{}
	l := &Candidate{
		Log: event.New(&out, "n", zerolog.InfoLevel), Now: func() time.Duration { return now },
		Evacuations: func() Evacuations { return Evacuations{Zones: maps.Clone(zones), ConfirmedAt: now} },
	}
	o := newOwner(l, ownership{Epoch: 1}, 1, now)
	defer o.cancel()
	o.engine.SetPlan(model.Plan{Version: 1, Spaces: []model.PlanSpace{{Name: "ws", Guaranteed: 12}}})
	for _, id := range []string{"w0", "w2", "w4"} {
		s := o.session(orders.Entry{Worker: sched.Worker{ID: id, Pool: "p", Zone: zoneOf(id), Room: model.Room{Millicores: 1, Accelerators: 8}}})
		s.listed, s.proven = true, true
		o.updateWorker(s)
	}
	lines := func() int { return strings.Count(out.String(), "zone-shortfall") }
	for _, step := range []struct {
		set, drop string
		lines     int
	}{{"", "", 0}, {"za", "", 0}, {"zb", "", 1}, {"", "", 1}, {"zc", "", 2}, {"", "zb", 3}, {"", "zc", 4}, {"", "", 4}} {
		delete(zones, step.drop)
		if step.set != "" {
			zones[step.set] = true
		}
		now += 2 * shortfallInterval
		o.applyEvacuations()
		o.reportShortfalls()
		is.Equal(lines(), step.lines)
	}
	is.Equal(strings.Count(out.String(), `"fits_again":true`), 1)
}
