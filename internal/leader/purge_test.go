package leader

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"greengageline/internal/rows"
	"greengageline/internal/sched"
)

// lockedRand is a random number generator for the faults of concurrent calls.
type lockedRand struct {
	mu  sync.Mutex
	rnd *rand.Rand // guarded by mu
}

func newLockedRand(seed uint64) *lockedRand { return &lockedRand{rnd: rand.New(rand.NewPCG(seed, 40))} }

// chance reports true with a probability.
func (l *lockedRand) chance(p float64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.rnd.Float64() < p
}

// upTo returns a random duration below d.
func (l *lockedRand) upTo(d time.Duration) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Duration(l.rnd.Int64N(int64(d)))
}

// storedRows returns the keys of the rows of jobs and records.
func (m *fakeStore) storedRows() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []string
	for key, r := range m.rows {
		if r.Table == WorkTable || r.Table == RecordTable {
			out = append(out, key)
		}
	}
	slices.Sort(out)
	return out
}

// Guards against jobs that run again once their rows have been removed, because a read of the store that began before is
// applied after (TWICE), and against rows and cancellations that are never removed.
func TestRemovedJobsDoNotReturn(t *testing.T) {
	const retention = 3 * time.Second
	for name, c := range map[string]struct {
		slow      time.Duration // a call of the store takes up to
		compacted float64       // share of feeds whose history is gone
		silent    float64       // share of feeds without an answer
		lost      float64       // share of writes whose answer is lost
		late      time.Duration // lost writes take effect this much later
		owners    int           // owners that end on the way
		resign    bool          // they hand over
		direct    time.Duration // messages about stored rows arrive up to this much later; 0 means none
	}{
		"history is gone":                   {slow: 200 * time.Millisecond, compacted: 0.5},
		"slow store, history is gone":       {slow: time.Second, compacted: 0.5},
		"feeds get no answer":               {slow: 500 * time.Millisecond, silent: 0.7},
		"lost answers":                      {slow: 500 * time.Millisecond, compacted: 0.4, lost: 0.3},
		"late writes":                       {slow: 500 * time.Millisecond, compacted: 0.4, lost: 0.2, late: 2 * time.Second},
		"owners die":                        {slow: 400 * time.Millisecond, compacted: 0.4, owners: 3},
		"owners hand over":                  {slow: 400 * time.Millisecond, compacted: 0.4, owners: 3, resign: true},
		"late messages":                     {slow: 200 * time.Millisecond, compacted: 0.2, direct: 30 * time.Second},
		"late messages, no feed, lost":      {slow: 500 * time.Millisecond, silent: 0.9, lost: 0.1, direct: 15 * time.Second},
		"late writes, owners die":           {slow: 400 * time.Millisecond, compacted: 0.3, lost: 0.2, late: 3 * time.Second, owners: 3},
		"late writes, messages, owners die": {slow: 300 * time.Millisecond, compacted: 0.3, lost: 0.1, late: time.Second, owners: 2, direct: 20 * time.Second},
	} {
		for seed := range uint64(4) {
			t.Run(fmt.Sprintf("%s/%d", name, seed), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					sim, nodes, stop := startWithRetention(3, 5, retention)
					defer stop()
					rnd := newLockedRand(seed)
					sim.store.refuse.set(func(_, op string) error {
						time.Sleep(rnd.upTo(c.slow))
						if op == "feed" && rnd.chance(c.compacted) {
							return rows.ErrCompacted
						}
						return nil
					})
					sim.store.silentFeed.set(func(string) bool { return rnd.chance(c.silent) })
					if c.late > 0 {
						sim.store.late.set(func(string) time.Duration {
							if rnd.chance(c.lost) {
								return 1 + rnd.upTo(c.late)
							}
							return 0
						})
					} else {
						sim.store.lose.set(func(string) bool { return rnd.chance(c.lost) })
					}
					tell := func(r rows.Row) {
						if c.direct == 0 || r.Version == 0 {
							return
						}
						time.AfterFunc(rnd.upTo(c.direct), func() {
							if n := ownerOf(nodes); n != nil {
								n.LocalOwner().ApplyAccepted(r)
							}
						})
					}
					row := func(key, part string) rows.Row {
						sim.store.mu.Lock()
						defer sim.store.mu.Unlock()
						return sim.store.rows[rowID(rows.Row{Table: WorkTable, Part: part, Key: key})]
					}
					const jobs = 160
					var ids, cancelled []string
					for i := range jobs {
						id := fmt.Sprintf("j%d", i)
						ids = append(ids, id)
						sim.submit(id, "bulk", oneGPU(1+i%2))
						tell(row(id, WorkPart(id)))
						if i%20 == 7 { // before, during and long after a job, and of none
							for _, of := range []string{id, fmt.Sprintf("j%d", max(0, i-70)), fmt.Sprintf("j%d", i+1), fmt.Sprintf("none%d", i)} {
								cancelled = append(cancelled, of)
								sim.cancel(of)
								tell(row(of+CancelSuffix, WorkPart(of)))
							}
						}
						if n := ownerOf(nodes); c.owners > 0 && n != nil && i%50 == 49 && i/50 < c.owners {
							if c.resign {
								go n.Resign(t.Context())
							} else {
								go n.kill()
							}
						}
						time.Sleep(400 * time.Millisecond)
					}
					time.Sleep(30 * time.Second)
					sim.store.refuse.set(nil)
					sim.store.silentFeed.set(nil)
					sim.store.late.set(nil)
					sim.store.lose.set(nil)
					time.Sleep(2*retention + 4*purgeInterval)
					is.Equal(sim.violations, nil)
					is.Equal(sim.store.storedRows(), nil)
					ran := map[string]bool{}
					for _, ref := range sim.starts {
						ran[ref] = true
					}
					for _, id := range ids {
						if !slices.Contains(cancelled, id) {
							is.True(ran[sched.TaskRef{Job: id}.String()]) // every job has run
						}
					}
				})
			})
		}
	}
}

// Guards against a job that is removed before its final state is durable: the next owner would know neither the job nor
// its end (LOST).
func TestJobsWithoutDurableEndStay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		sim, nodes, stop := startWithRetention(1, 1, time.Second)
		defer stop()
		sim.submit("stays", "bulk", oneGPU(1))
		sim.submit("goes", "bulk", oneGPU(1))
		sim.awaitCompleted(t, []string{"stays", "goes"}, completionLimit)
		o := nodes[0].LocalOwner()
		o.postAndWait(t.Context(), func() { delete(o.finals, "stays") })
		time.Sleep(2*purgeInterval + 2*time.Second)
		is.Equal(sim.state("stays"), sched.Completed)
		is.Equal(sim.state("goes"), sched.State(""))
	})
}

// Guards against a completed job that is shown as queued, because it is removed between the reads of the job and of its
// record.
func TestStateOfJobRemovedMeanwhile(t *testing.T) {
	job, record := rows.Row{Table: WorkTable, Key: "j", Version: 3, Value: []byte("{}")}, rows.Row{Table: RecordTable, Key: "j", Version: 9, Value: []byte(`{"final":"completed"}`)}
	for name, c := range map[string]struct {
		reads []rows.Row // the results of the reads, the last one for all that follow
		want  JobState
	}{
		"not stored":           {[]rows.Row{{}}, JobState{}},
		"completed":            {[]rows.Row{job, record}, JobState{Known: true, State: sched.Completed}},
		"accepted":             {[]rows.Row{job, {}, job}, JobState{Known: true, State: sched.Queued}},
		"removed meanwhile":    {[]rows.Row{job, {}, {}}, JobState{}},
		"accepted anew, since": {[]rows.Row{job, {}, {Table: WorkTable, Key: "j", Version: 12}}, JobState{}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			n := 0
			s := &rows.Store{Range: func(context.Context, string, string, string, string) (rows.Page, error) {
				r := c.reads[min(n, len(c.reads)-1)]
				n++
				if r.Version == 0 {
					return rows.Page{}, nil
				}
				return rows.Page{Rows: []rows.Row{r}}, nil
			}}
			got, err := ReadJobState(t.Context(), s, "j")
			is.NoErr(err)
			is.Equal(got, c.want)
		})
	}
}

// Guards against cancellations that stay for good as their job is never stored, and against removing one that its job
// still needs.
func TestUnusedCancelsAreRemoved(t *testing.T) {
	const retention = 10 * time.Second
	for name, c := range map[string]struct {
		cancelAt, submitAt time.Duration // submitAt is 0 for a job that never comes
		runs               bool
	}{
		"no job":            {cancelAt: time.Second},
		"before the job":    {cancelAt: time.Second, submitAt: 2 * time.Second},
		"just in time":      {cancelAt: time.Second, submitAt: 2*retention - time.Second},
		"long after":        {cancelAt: 2*retention + 25*time.Second, submitAt: time.Second, runs: true},
		"job long after":    {cancelAt: time.Second, submitAt: 2*retention + 15*time.Second, runs: true},
		"while it ends":     {cancelAt: 2 * time.Second, submitAt: time.Second, runs: true},
		"before its record": {cancelAt: time.Second, submitAt: time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				sim, _, stop := startWithRetention(1, 1, retention)
				defer stop()
				began := sim.now()
				time.AfterFunc(c.cancelAt, func() { sim.cancel("j") })
				if c.submitAt > 0 {
					time.AfterFunc(c.submitAt, func() { sim.submit("j", "bulk", oneGPU(1)) })
				}
				time.Sleep(c.cancelAt + c.submitAt + 2*retention + 4*purgeInterval)
				is.Equal(sim.store.storedRows(), nil)
				is.Equal(len(sim.starts) > 0, c.runs)
				t.Logf("took %s", sim.now()-began)
			})
		})
	}
}
