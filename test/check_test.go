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
	"greengageline/internal/fakes"
	"greengageline/pkg/model"
)

// noLimit is for answers whose size is not bounded.
func noLimit(int) error { return nil }

// submission is a job that one caller submitted, and the replies that the caller received. Its
// caller's goroutine writes it until callers.wg is done; id is also read by others, under mu.
type submission struct {
	spec       model.JobSpec
	wantAnswer string
	job        model.Job // last state received
	submitErr  error     // error of the last Submit; nil once a job was accepted
	answer     []byte
	gotAnswer  bool

	mu sync.Mutex
	// id is the job's ID, empty until it is accepted. Guarded by mu, because other goroutines cancel
	// the job while its caller follows it.
	id string
}

// jobID returns the ID of the accepted job, or "" if it is not accepted yet.
func (sub *submission) jobID() string {
	sub.mu.Lock()
	defer sub.mu.Unlock()
	return sub.id
}

// callers simulates clients. Each submits a job, follows it until it ends and records the replies.
// mu guards submissions; wg counts the callers that still run.
type callers struct {
	sim         *simCluster
	wg          sync.WaitGroup
	mu          sync.Mutex
	submissions []*submission
}

// callerTimeout is how long a caller keeps retrying. It exceeds the longest fault of the matrix and
// the recovery from it.
const callerTimeout = 5 * time.Minute

// submit starts a caller for spec in a new goroutine.
func (c *callers) submit(spec model.JobSpec) *submission {
	sub := &submission{spec: spec, wantAnswer: expectedAnswer(spec)}
	c.mu.Lock()
	c.submissions = append(c.submissions, sub)
	c.mu.Unlock()
	c.wg.Add(1)
	go func() {
		defer c.wg.Done()
		c.follow(sub)
	}()
	return sub
}

// follow submits the job, waits until it ends and fetches its answer. Each attempt goes to a random
// live node, as behind a load balancer. A refusal or a reused key ends the caller.
func (c *callers) follow(sub *submission) {
	deadline := time.Now().Add(callerTimeout)
	for time.Now().Before(deadline) {
		job, err := callLiveNode(c, func(ctx context.Context, n *simNode) (model.Job, error) { return n.Submit(ctx, sub.spec) })
		sub.submitErr = err
		if err == nil {
			sub.job = job
			sub.mu.Lock()
			sub.id = job.ID
			sub.mu.Unlock()
			break
		}
		if errors.Is(err, cell.ErrRefused) || errors.Is(err, cell.ErrKeyReused) {
			return
		}
		time.Sleep(300 * time.Millisecond)
	}
	for sub.job.ID != "" && !sub.job.State.Final() && time.Now().Before(deadline) {
		job, err := callLiveNode(c, func(ctx context.Context, n *simNode) (model.Job, error) { return n.Job(ctx, sub.job.ID, true) })
		if err == nil {
			sub.job = job
		}
		time.Sleep(200 * time.Millisecond)
	}
	for sub.job.State == model.Done && !sub.gotAnswer && time.Now().Before(deadline) {
		data, err := callLiveNode(c, func(ctx context.Context, n *simNode) ([]byte, error) { return n.Answer(ctx, sub.job.ID, noLimit) })
		sub.answer, sub.gotAnswer = data, err == nil
		time.Sleep(200 * time.Millisecond)
	}
}

var errNoReply = errors.New("no live node replied")

// callLiveNode runs call against a random node that is neither dead nor frozen. It returns
// errNoReply if there is none, or if the node dies before call returns: the caller then does not
// know whether its request took effect.
func callLiveNode[T any](c *callers, call func(context.Context, *simNode) (T, error)) (out T, err error) {
	var live []*simNode
	c.sim.mu.Lock()
	for _, n := range c.sim.nodes {
		if !c.sim.dead[n.name] && c.sim.frozen[n.name] == nil {
			live = append(live, n)
		}
	}
	var n *simNode
	if len(live) > 0 {
		n = live[c.sim.rng.IntN(len(live))]
	}
	c.sim.mu.Unlock()
	if n == nil {
		return out, errNoReply
	}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	out, err = call(ctx, n)
	c.sim.mu.Lock()
	defer c.sim.mu.Unlock()
	if c.sim.dead[n.name] {
		var zero T
		return zero, errNoReply
	}
	return out, err
}

// violationList collects the contradictions that the checks find between workers' records, stored
// rows and callers' replies.
type violationList struct{ messages []string }

func (v *violationList) add(format string, args ...any) {
	v.messages = append(v.messages, fmt.Sprintf(format, args...))
}

// maxPartialRun returns how long part of a gang may run without the rest. A gang whose members did
// not all start may run for its start lease plus 1 s. A gang that started completely may run until
// the last run lease has expired.
func maxPartialRun(startLease time.Duration, allStarted bool, runLease time.Duration) time.Duration {
	if !allStarted {
		return startLease + time.Second
	}
	return 2*runLease + runLease/4 + 5*time.Second
}

// check compares the fake workers' records with the replies that callers received and returns the
// violations. It must be called after all callers have ended.
func (c *callers) check() []string {
	v := &violationList{}
	byJob := map[string][]fakes.Run{}
	for _, w := range c.sim.workers {
		for _, r := range w.Record() {
			byJob[r.Job] = append(byJob[r.Job], r)
		}
		if n := w.LateStarts(); n > 0 {
			v.add("worker %s started %d tasks more than %s after it began to leave", w.VM.ID, n, fakes.LeavingGrace)
		}
	}
	for _, sub := range c.submissions {
		c.checkJob(v, sub, byJob[sub.job.ID])
	}
	c.checkRefusedCallers(v, byJob)
	c.checkUsage(v)
	return v.messages
}

// checkJob verifies that the job was refused or reached a final state, that its answer is complete,
// and that a job that is not idempotent ran in at most one attempt.
func (c *callers) checkJob(v *violationList, sub *submission, runs []fakes.Run) {
	key := sub.spec.Key
	if sub.job.ID == "" {
		if !errors.Is(sub.submitErr, cell.ErrRefused) {
			v.add("%s: submit was neither accepted nor refused: %v", key, sub.submitErr)
		}
		return
	}
	if sub.spec.Key == reclaimKey && sub.job.State == model.Refused {
		v.add("%s: a job within its workspace's guarantee was refused", key)
	}
	if !sub.job.State.Final() {
		v.add("%s: job lost: state is still %s after %s", key, sub.job.State, callerTimeout)
	}
	if sub.job.State == model.Refused && len(runs) > 0 {
		v.add("%s: job was refused, but it ran", key)
	}
	if sub.job.State == model.Done && (!sub.gotAnswer || string(sub.answer) != sub.wantAnswer) {
		v.add("%s: answer of %d bytes differs from the expected answer of %d bytes", key, len(sub.answer), len(sub.wantAnswer))
	}
	attempts := map[int][]fakes.Run{}
	for _, r := range runs {
		attempts[r.Attempt] = append(attempts[r.Attempt], r)
	}
	if !sub.spec.Idempotent && len(attempts) > 1 {
		v.add("%s: job is not idempotent, but ran in %d attempts", key, len(attempts))
	}
	if sub.job.State == model.Done && len(attempts) == 0 {
		v.add("%s: job is done, but no worker ran it", key)
	}
	if key == reclaimKey {
		c.checkReclaim(v, sub, runs)
	}
	for n, members := range attempts {
		c.checkGang(v, fmt.Sprintf("%s attempt %d", key, n), members)
	}
}

// reclaimKey is the key of the job that needs its workspace's whole guaranteed shape.
const reclaimKey = "reclaim"

// maxReclaimWait is how long a workspace may wait for its guaranteed shape. It is the sum of two
// faults of the longest duration, 35 s until a borrower on a silent worker has certainly ended, 8 s
// for a takeover, and 20 s for the workspace's own earlier jobs.
const maxReclaimWait = 2*longFault + 35*time.Second + 8*time.Second + 20*time.Second

// checkReclaim verifies that the guaranteed shape started within maxReclaimWait of acceptance.
func (c *callers) checkReclaim(v *violationList, sub *submission, runs []fakes.Run) {
	if len(runs) == 0 || sub.job.AcceptedMs == 0 {
		return
	}
	first := slices.MinFunc(runs, func(a, b fakes.Run) int { return int(a.StartMs - b.StartMs) }).StartMs
	if took := time.Duration(first-sub.job.AcceptedMs) * time.Millisecond; took > maxReclaimWait {
		v.add("%s: the guaranteed shape started only after %s", sub.spec.Key, took)
	}
}

// checkGang verifies that no worker started the attempt twice, and that no part of a gang ran
// without the rest for longer than maxPartialRun.
func (c *callers) checkGang(v *violationList, attempt string, runs []fakes.Run) {
	tasks, seen := 0, map[string]bool{}
	firstFailedEnd, lastEnd := int64(0), int64(0) // Unix ms; first end of a run that is not done, last of any
	for _, r := range runs {
		if seen[r.Worker] {
			v.add("%s started twice on %s", attempt, r.Worker)
		}
		seen[r.Worker] = true
		tasks += r.Tasks
		end := r.EndMs
		if end == 0 {
			end = time.Now().UnixMilli()
		}
		lastEnd = max(lastEnd, end)
		if r.Phase != model.PhaseDone && (firstFailedEnd == 0 || end < firstFailedEnd) {
			firstFailedEnd = end
		}
	}
	s := c.sim.nodes[0].Settings
	if tasks < runs[0].Gang {
		start := slices.MinFunc(runs, func(a, b fakes.Run) int { return int(a.StartMs - b.StartMs) }).StartMs
		if alone := time.Duration(lastEnd-start) * time.Millisecond; alone > maxPartialRun(s.StartLease, false, s.RunLease) {
			v.add("%s: %d of %d tasks ran without the rest of the gang for %s", attempt, tasks, runs[0].Gang, alone)
		}
		return
	}
	if alone := time.Duration(lastEnd-firstFailedEnd) * time.Millisecond; firstFailedEnd > 0 && alone > maxPartialRun(s.StartLease, true, s.RunLease) {
		v.add("%s: part of the gang kept running for %s after another member ended", attempt, alone)
	}
}

// checkRefusedCallers verifies that no job ran for a caller whose submit was never accepted. It
// finds such a job in the stored rows by its key.
func (c *callers) checkRefusedCallers(v *violationList, byJob map[string][]fakes.Run) {
	for _, prefix := range []string{"open/", "done/"} {
		for key, body := range c.sim.platform.Rows.Dump(prefix) {
			var job model.Job
			if err := model.Decode(body, &job); err != nil {
				v.add("row %s: %v", key, err)
				continue
			}
			for _, sub := range c.submissions {
				if sub.spec.Key == job.Spec.Key && sub.job.ID == "" && len(byJob[job.ID]) > 0 {
					v.add("%s: caller was told %v, but the job ran as %s", job.Spec.Key, sub.submitErr, job.ID)
				}
			}
		}
	}
}

// checkUsage verifies the usage rows. The partners' charges of each row with a generation add up to
// its pool time, within 1 accelerator-ms. No row charges more than all accelerators could have
// provided. Consecutive rows neither overlap nor leave a gap.
func (c *callers) checkUsage(v *violationList) {
	rows := c.sim.platform.Rows.Dump("usage/viti/")
	var prevToMs int64
	for _, key := range slices.Sorted(maps.Keys(rows)) {
		var u cell.Usage
		if err := model.Decode(rows[key], &u); err != nil {
			v.add("row %s: %v", key, err)
			continue
		}
		sum := 0.0
		for _, charged := range u.Partners {
			sum += charged
		}
		if u.Generation > 0 && math.Abs(sum-float64(u.Pool)) > 1 {
			v.add("generation %d: the pool is %d accelerator-ms, but partners were charged %.0f", u.Generation, u.Pool, sum)
		}
		accelerators := 0
		for _, w := range c.sim.workers {
			accelerators += w.VM.Accelerators
		}
		if maxPool := (u.ToMs - u.FromMs) * int64(accelerators); u.Pool > maxPool {
			v.add("generation %d: %d accelerator-ms charged, at most %d possible", u.Generation, u.Pool, maxPool)
		}
		if prevToMs != 0 && u.FromMs != prevToMs {
			v.add("generation %d is charged from %d ms, but the row before it ends at %d ms", u.Generation, u.FromMs, prevToMs)
		}
		prevToMs = u.ToMs
	}
}

// generationMonitor records a violation when a node's configuration generation decreases. It is
// used by one goroutine; violations may be read once that has ended.
type generationMonitor struct {
	latest     map[string]uint64
	violations []string
}

// observe compares each node's generation with the one that it reported last.
func (g *generationMonitor) observe(sim *simCluster) {
	if g.latest == nil {
		g.latest = map[string]uint64{}
	}
	for _, n := range sim.nodes {
		current := n.Status().Generation
		if current < g.latest[n.name] {
			g.violations = append(g.violations, fmt.Sprintf("configuration of node %s went back from generation %d to %d", n.name, g.latest[n.name], current))
		}
		g.latest[n.name] = current
	}
}

// raceConfigChanges changes the same file from the same base concurrently through two nodes and
// returns how many changes were accepted; more than one is a violation. err is the last error other
// than config.ErrConflict.
func (sim *simCluster) raceConfigChanges() (accepted int, err error) {
	type result struct{ err error }
	results := make(chan result, 2)
	base := uint64(1)
	for i := range 2 {
		n := sim.nodes[i%len(sim.nodes)]
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
			defer cancel()
			_, err := n.ChangeConfig(ctx, config.Change{
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
			accepted++
		case !errors.Is(r.err, config.ErrConflict):
			err = r.err
		}
	}
	return accepted, err
}
