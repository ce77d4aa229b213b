package test

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math"
	"slices"
	"sync"
	"time"

	"greengageline/internal/cell"
	"greengageline/internal/config"
	"greengageline/internal/stand"
	"greengageline/pkg/model"
)

// told is what one caller asked for and was told.
type told struct {
	spec    model.JobSpec
	want    string
	job     model.Job // last seen
	err     error     // of the submit, if it never got a job
	answer  []byte
	gotBack bool

	mu sync.Mutex
	// id is guarded by mu: others cancel the job while its caller follows it.
	id string
}

func (t *told) jobID() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.id
}

// callers submit jobs, follow them to their ends and remember what they heard.
type callers struct {
	f    *fleet
	wg   sync.WaitGroup
	mu   sync.Mutex
	list []*told
}

// callerPatience is how long a caller keeps asking: longer than any fault of
// the matrix and the recovery from it.
const callerPatience = 5 * time.Minute

func (c *callers) submit(spec model.JobSpec) *told {
	t := &told{spec: spec, want: want(spec)}
	c.mu.Lock()
	c.list = append(c.list, t)
	c.mu.Unlock()
	c.wg.Add(1)
	go func() {
		defer c.wg.Done()
		c.follow(t)
	}()
	return t
}

// follow is a caller behind the balancer: each try goes to some live node.
func (c *callers) follow(t *told) {
	deadline := time.Now().Add(callerPatience)
	for time.Now().Before(deadline) {
		job, err := try(c, func(ctx context.Context, m *member) (model.Job, error) { return m.Submit(ctx, t.spec) })
		t.err = err
		if err == nil {
			t.job = job
			t.mu.Lock()
			t.id = job.ID
			t.mu.Unlock()
			break
		}
		if errors.Is(err, cell.ErrRefused) || errors.Is(err, cell.ErrKeyReused) {
			return
		}
		time.Sleep(300 * time.Millisecond)
	}
	for t.job.ID != "" && !t.job.State.Final() && time.Now().Before(deadline) {
		job, err := try(c, func(ctx context.Context, m *member) (model.Job, error) { return m.Job(ctx, t.job.ID, true) })
		if err == nil {
			t.job = job
		}
		time.Sleep(200 * time.Millisecond)
	}
	for t.job.State == model.Done && !t.gotBack && time.Now().Before(deadline) {
		data, err := try(c, func(ctx context.Context, m *member) ([]byte, error) { return m.Answer(ctx, t.job.ID) })
		t.answer, t.gotBack = data, err == nil
		time.Sleep(200 * time.Millisecond)
	}
}

var errNoNode = errors.New("the balancer found no node")

// try asks one node that is neither dead nor frozen. If it dies meanwhile, the
// caller can't tell what happened.
func try[T any](c *callers, ask func(context.Context, *member) (T, error)) (out T, err error) {
	var live []*member
	c.f.mu.Lock()
	for _, m := range c.f.nodes {
		if !c.f.dead[m.name] && c.f.frozen[m.name] == nil {
			live = append(live, m)
		}
	}
	var m *member
	if len(live) > 0 {
		m = live[c.f.rng.IntN(len(live))]
	}
	c.f.mu.Unlock()
	if m == nil {
		return out, errNoNode
	}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	out, err = ask(ctx, m)
	c.f.mu.Lock()
	defer c.f.mu.Unlock()
	if c.f.dead[m.name] {
		var none T
		return none, errNoNode
	}
	return out, err
}

// verdict lists what the records contradict.
type verdict struct{ faults []string }

func (v *verdict) add(format string, args ...any) {
	v.faults = append(v.faults, fmt.Sprintf(format, args...))
}

// partialBound is how long part of a gang may run alone: a start lease for one
// that never became whole, else until the last lease has run out.
func partialBound(s time.Duration, whole bool, run time.Duration) time.Duration {
	if !whole {
		return s + time.Second
	}
	return 2*run + run/4 + 5*time.Second
}

// check compares the workers' own records with what callers were told.
func (c *callers) check() []string {
	v := &verdict{}
	byJob := map[string][]stand.Run{}
	for _, w := range c.f.workers {
		for _, r := range w.Record() {
			byJob[r.Job] = append(byJob[r.Job], r)
		}
		if n := w.LateStarts(); n > 0 {
			v.add("worker %s got %d starts more than %s after it began to leave", w.VM.ID, n, stand.LeavingGrace)
		}
	}
	for _, t := range c.list {
		c.checkOne(v, t, byJob[t.job.ID])
	}
	c.checkUnheard(v, byJob)
	c.checkUsage(v)
	return v.faults
}

func (c *callers) checkOne(v *verdict, t *told, runs []stand.Run) {
	key := t.spec.Key
	if t.job.ID == "" {
		if !errors.Is(t.err, cell.ErrRefused) {
			v.add("%s: never accepted nor refused: %v", key, t.err)
		}
		return
	}
	if t.spec.Key == reclaimKey && t.job.State == model.Refused {
		v.add("%s: a job within its workspace's guarantee was refused", key)
	}
	if !t.job.State.Final() {
		v.add("%s: lost: still %s after %s", key, t.job.State, callerPatience)
	}
	if t.job.State == model.Refused && len(runs) > 0 {
		v.add("%s: refused, but it ran", key)
	}
	if t.job.State == model.Done && (!t.gotBack || string(t.answer) != t.want) {
		v.add("%s: answer of %d bytes is not its own whole answer of %d", key, len(t.answer), len(t.want))
	}
	attempts := map[int][]stand.Run{}
	for _, r := range runs {
		attempts[r.Attempt] = append(attempts[r.Attempt], r)
	}
	if !t.spec.Idempotent && len(attempts) > 1 {
		v.add("%s: must run once, ran in %d attempts", key, len(attempts))
	}
	if t.job.State == model.Done && len(attempts) == 0 {
		v.add("%s: done, but nothing ran", key)
	}
	if key == reclaimKey {
		c.checkReclaim(v, t, runs)
	}
	for n, members := range attempts {
		c.checkGang(v, fmt.Sprintf("%s attempt %d", key, n), members)
	}
}

// reclaimKey is the job that fills its workspace's whole guaranteed shape.
const reclaimKey = "reclaim"

// reclaimBound is how long a workspace may wait for its guaranteed shape: two
// faults of the longest kind, the certain end of a borrower on a silent worker,
// a takeover, and the workspace's own jobs before it.
const reclaimBound = 2*longFault + 35*time.Second + 8*time.Second + 20*time.Second

func (c *callers) checkReclaim(v *verdict, t *told, runs []stand.Run) {
	if len(runs) == 0 || t.job.AcceptedMs == 0 {
		return
	}
	first := slices.MinFunc(runs, func(a, b stand.Run) int { return int(a.StartMs - b.StartMs) }).StartMs
	if took := time.Duration(first-t.job.AcceptedMs) * time.Millisecond; took > reclaimBound {
		v.add("%s: the guaranteed shape was formed after %s", t.spec.Key, took)
	}
}

// checkGang verifies that no part of a gang ran alone past the bound.
func (c *callers) checkGang(v *verdict, what string, runs []stand.Run) {
	tasks, seen := 0, map[string]bool{}
	first, last := int64(0), int64(0) // first end of a member that did not end well, last end
	for _, r := range runs {
		if seen[r.Worker] {
			v.add("%s started twice on %s", what, r.Worker)
		}
		seen[r.Worker] = true
		tasks += r.Tasks
		end := r.EndMs
		if end == 0 {
			end = time.Now().UnixMilli()
		}
		last = max(last, end)
		if r.Phase != model.PhaseDone && (first == 0 || end < first) {
			first = end
		}
	}
	s := c.f.nodes[0].Settings
	if tasks < runs[0].Gang {
		start := slices.MinFunc(runs, func(a, b stand.Run) int { return int(a.StartMs - b.StartMs) }).StartMs
		if alone := time.Duration(last-start) * time.Millisecond; alone > partialBound(s.StartLease, false, s.RunLease) {
			v.add("%s: %d of %d tasks ran alone for %s", what, tasks, runs[0].Gang, alone)
		}
		return
	}
	if alone := time.Duration(last-first) * time.Millisecond; first > 0 && alone > partialBound(s.StartLease, true, s.RunLease) {
		v.add("%s: part of it ran on alone for %s", what, alone)
	}
}

// checkUnheard verifies that callers who were refused for good did not cause a
// run, by the keys stored with the jobs.
func (c *callers) checkUnheard(v *verdict, byJob map[string][]stand.Run) {
	for _, prefix := range []string{"open/", "done/"} {
		for key, body := range c.f.platform.Rows.Dump(prefix) {
			var job model.Job
			if err := model.Decode(body, &job); err != nil {
				v.add("row %s: %v", key, err)
				continue
			}
			for _, t := range c.list {
				if t.spec.Key == job.Spec.Key && t.job.ID == "" && len(byJob[job.ID]) > 0 {
					v.add("%s: told %v, but it ran as %s", job.Spec.Key, t.err, job.ID)
				}
			}
		}
	}
}

// checkUsage verifies that every generation's pool time is split by shares that
// add up to it, and that no time is charged twice or left out in between.
func (c *callers) checkUsage(v *verdict) {
	rows := c.f.platform.Rows.Dump("usage/viti/")
	var to int64
	for _, key := range slices.Sorted(maps.Keys(rows)) {
		var u cell.Usage
		if err := model.Decode(rows[key], &u); err != nil {
			v.add("row %s: %v", key, err)
			continue
		}
		sum := 0.0
		for _, part := range u.Partners {
			sum += part
		}
		if u.Generation > 0 && math.Abs(sum-float64(u.Pool)) > 1 {
			v.add("generation %d: %d accelerator-ms of the pool, %.0f charged to partners", u.Generation, u.Pool, sum)
		}
		size := 0
		for _, w := range c.f.workers {
			size += w.VM.Accelerators
		}
		if most := (u.ToMs - u.FromMs) * int64(size); u.Pool > most {
			v.add("generation %d: %d accelerator-ms charged of at most %d", u.Generation, u.Pool, most)
		}
		if to != 0 && u.FromMs != to {
			v.add("generation %d is charged from %d, the one before until %d", u.Generation, u.FromMs, to)
		}
		to = u.ToMs
	}
}

// generations watches that no node's configuration goes back.
type generations struct {
	seen map[string]uint64
	bad  []string
}

func (g *generations) look(f *fleet) {
	if g.seen == nil {
		g.seen = map[string]uint64{}
	}
	for _, m := range f.nodes {
		now := m.Status().Generation
		if now < g.seen[m.name] {
			g.bad = append(g.bad, fmt.Sprintf("node %s went from generation %d back to %d", m.name, g.seen[m.name], now))
		}
		g.seen[m.name] = now
	}
}

// race lets two operators change the same file from the same base through two
// nodes; exactly one may win.
func (f *fleet) race() (won int, err error) {
	type result struct{ err error }
	results := make(chan result, 2)
	base := uint64(1)
	for i := range 2 {
		m := f.nodes[i%len(f.nodes)]
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
			defer cancel()
			_, err := m.ChangeConfig(ctx, config.Change{
				Author: fmt.Sprintf("operator%d", i),
				Edits:  []config.Edit{{Name: "10-base.toml", Text: baseConfig + fmt.Sprintf("# %d\n", i), Base: base}},
			})
			results <- result{err}
		}()
	}
	for range 2 {
		r := <-results
		switch {
		case r.err == nil:
			won++
		case !errors.Is(r.err, config.ErrConflict):
			err = r.err
		}
	}
	return won, err
}
