package lead

import (
	"context"
	"encoding/json"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/samber/lo"

	"greengageline/internal/clock"
	"greengageline/internal/event"
	"greengageline/internal/orders"
	"greengageline/internal/rows"
	"greengageline/internal/sched"
	"greengageline/pkg/model"
)

const (
	// tickEvery is how often the owner looks at its clocks.
	tickEvery = 100 * time.Millisecond
	// listEvery is how often the workers' entries are read: a few times
	// within the 2 s after which a leaving worker must get nothing new.
	listEvery = 500 * time.Millisecond
	// feedWait is how long the feed of accepted work waits for a change.
	feedWait = 5 * time.Second
	// keepMissing is how long after the store's return a missing entry is
	// still taken as that of a living worker: the users' letter gives 2 s.
	keepMissing = 2200 * time.Millisecond
	// inboxSize bounds the messages to the loop; senders wait when it is full.
	inboxSize = 1024
	// purgeEvery is how often ended jobs are looked through.
	purgeEvery = 10 * time.Second
	// passRest times as long as a pass took lies before the next one, so that
	// passes leave most of the processor to orders and answers.
	passRest = 3
	// stuckAfter is how long a transaction is on its way before nothing more is
	// decided: some 20 times the usual time of one.
	stuckAfter = 300 * time.Millisecond
	// runsPerEpoch leaves room for the runs of one owner, so that the next
	// owner's runs have higher numbers.
	runsPerEpoch = 1_000_000
	// retryMin and retryMax bound the pause before a refused or unanswered
	// call of the store is sent again.
	retryMin = 60 * time.Millisecond
	retryMax = 500 * time.Millisecond
)

// Owner runs the work while its node has the right; its loop alone touches the
// fields that have no comment of their own.
type Owner struct {
	lead  *Lead
	epoch int64
	since time.Duration // when it took the work
	mine  right

	ctx    context.Context //nolint:containedctx // the owner's lifetime, ended by stop
	cancel context.CancelFunc
	done   sync.WaitGroup
	inbox  chan func()
	// committedAt is when the last successful commit was sent, in ns of the
	// steady clock; others read it.
	committedAt atomic.Int64
	// committed is the version that it left; others read it.
	committed atomic.Uint64

	engine   sched.Engine
	work     map[string]*model.Work
	shown    map[string]sched.State // durable final states
	cancels  map[string]bool        // cancellations of jobs that are not known yet
	sessions map[string]*session
	settled  map[sched.Ref]settlement
	waiting  []sched.Order // starts whose records are not durable yet
	dirty    map[string]bool
	drops    []rows.Row
	version  uint64 // of the right row
	flying   bool
	flownAt  time.Duration // when the transaction on its way was first sent
	// tookLast is how long the last transaction took; it is changed only while
	// none is on its way.
	tookLast time.Duration
	purgeAt  time.Duration
	purging  bool // rows of ended jobs are being removed
	plan     uint64
	waves    waves
	listOK   bool
	backAt   time.Duration // when the list was readable again
	rebuilt  atomic.Bool
	quiet    bool
	passDue  bool
	passAt   time.Duration // when the next pass may begin
}

// settlement says when it became certain what a worker knows of a run.
type settlement struct {
	run int64
	at  time.Duration
	// stopping is set once a start without an answer is being stopped.
	stopping bool
}

func newOwner(l *Lead, mine right, version uint64, sent time.Duration) *Owner {
	ctx, cancel := context.WithCancel(context.Background())
	o := &Owner{
		lead: l, epoch: mine.Epoch, since: sent, mine: mine, version: version, ctx: ctx, cancel: cancel,
		inbox: make(chan func(), inboxSize), work: map[string]*model.Work{}, shown: map[string]sched.State{},
		cancels: map[string]bool{}, sessions: map[string]*session{}, settled: map[sched.Ref]settlement{},
		dirty: map[string]bool{},
	}
	o.committedAt.Store(int64(sent))
	o.committed.Store(version)
	o.engine.Limits = sched.Limits{FirstRun: mine.Epoch * runsPerEpoch, Factor: l.Bounds.Factor, GangWait: l.Bounds.GangWait}
	return o
}

func (o *Owner) age() time.Duration { return o.lead.now() - time.Duration(o.committedAt.Load()) }

// mayOrder reports whether the owner may still extend leases.
func (o *Owner) mayOrder() bool { return o.ctx.Err() == nil && o.age() < orderBound }

// mayStart reports whether the owner is sure enough of its right to start runs.
func (o *Owner) mayStart() bool { return o.ctx.Err() == nil && o.age() < takeAfter }

func (o *Owner) moment() sched.Moment {
	return sched.Moment{Steady: o.lead.now(), UnixMs: o.lead.wallMs()}
}

// sinceAccepted is the time since a job was accepted, by the time of day.
func (o *Owner) sinceAccepted(j *sched.Job) time.Duration {
	return time.Duration(o.lead.wallMs()-j.Work.AcceptedMs) * time.Millisecond
}

func (o *Owner) spawn(f func()) {
	o.done.Add(1)
	go func() {
		defer o.done.Done()
		f()
	}()
}

func (o *Owner) wait() { o.done.Wait() }

// post hands f to the loop; after the owner's end it is dropped.
func (o *Owner) post(f func()) {
	select {
	case o.inbox <- f:
	case <-o.ctx.Done():
	}
}

// ask runs f in the loop and waits for it.
func (o *Owner) ask(ctx context.Context, f func()) bool {
	done := make(chan struct{})
	select {
	case o.inbox <- func() { f(); close(done) }:
	case <-o.ctx.Done():
		return false
	case <-ctx.Done():
		return false
	}
	select {
	case <-done:
		return true
	case <-o.ctx.Done():
	case <-ctx.Done():
	}
	return false
}

// start reads what the owner before left and then begins to decide; its row is
// renewed meanwhile. Runs of an owner that may still live are waited for longer
// than those of one that resigned.
func (o *Owner) start(mayLive bool) {
	o.spawn(o.loop)
	o.spawn(func() {
		left, ok := o.read()
		if !ok || !o.ask(o.ctx, func() { o.rebuild(left, mayLive) }) {
			return
		}
		o.spawn(func() { o.follow(left.work.Version) })
		o.spawn(o.list)
		if o.lead.Site != nil {
			o.spawn(o.watchWaves)
		}
	})
}

func (o *Owner) loop() {
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	for {
		select {
		case <-o.ctx.Done():
			return
		case f := <-o.inbox:
			f()
			o.drain()
		case <-ticker.C:
			o.tick()
		}
		o.turn()
	}
}

// drain applies what else is already waiting, so that one pass and one
// transaction serve all of it.
func (o *Owner) drain() {
	for range inboxSize {
		select {
		case f := <-o.inbox:
			f()
		default:
			return
		}
	}
}

func (o *Owner) tick() {
	if p := o.lead.Plan(); p.Version > o.plan {
		o.plan = p.Version
		o.engine.SetPlan(p)
	}
	for _, s := range o.sessions {
		s.check()
	}
	o.purge()
	o.tend()
	o.passDue = true
}

// turn decides, hands out stops, and sends the next transaction.
func (o *Owner) turn() {
	if began := o.lead.now(); o.passDue && o.rebuilt.Load() && began >= o.passAt && !o.quiet && o.plan != 0 && o.mayStart() && !o.stuck(began) {
		o.passDue = false
		o.engine.Pass(o.moment())
		now := o.lead.now()
		o.passAt = now + min(passRest*(now-began), tickEvery)
	}
	for _, order := range o.engine.TakeOrders() {
		if order.Stop {
			o.sendStop(order)
			continue
		}
		delete(o.settled, order.Task)
		o.waiting = append(o.waiting, order)
		o.lead.Log.Emit(event.TaskPlaced).Str("task", order.Task.String()).Int64("run", order.Run).
			Str("worker", order.Worker).Str("reason", order.Reason).Int64("epoch", o.epoch).Uint64("plan", o.plan).Send()
	}
	for _, q := range o.engine.TakeQuestions() {
		o.consult(q)
	}
	for _, id := range o.engine.TakeChanged() {
		o.dirty[id] = true
	}
	o.commit()
}

// stuck reports whether the store holds a transaction up: what is decided now
// could not be started for a while, and runs would be stopped for nothing.
func (o *Owner) stuck(now time.Duration) bool { return o.flying && now-o.flownAt > stuckAfter }

// left is what is stored when an owner begins. Work is read first, so that a
// record without work is one whose work was removed.
type left struct {
	work, records, waves rows.Page
}

func (o *Owner) read() (l left, ok bool) {
	if l.work, ok = o.readAll(WorkTable, WorkPartNames()); !ok {
		return l, false
	}
	if l.records, ok = o.readAll(RecordTable, []string{""}); !ok {
		return l, false
	}
	if o.lead.Site != nil {
		l.waves, ok = o.readAll(UpkeepTable, []string{""})
	}
	return l, ok
}

// rebuild takes in what is stored, in the loop; from then on the owner decides.
func (o *Owner) rebuild(l left, mayLive bool) {
	o.restoreWaves(l.waves)
	stored := make(map[string][]byte, len(l.records.Rows))
	for _, r := range l.records.Rows {
		stored[r.Key] = r.Value
	}
	o.tick()
	for _, r := range l.work.Rows {
		o.learn(r, stored[r.Key])
		delete(stored, r.Key)
	}
	for id := range stored {
		// Its work was removed, and the owner that did so ended before the rest.
		o.drops = append(o.drops, rows.Row{Table: RecordTable, Key: id})
	}
	until := o.lead.now() + o.leaseTail()
	if mayLive {
		until += orderBound
	}
	for id := range o.workersWithRuns() {
		s := o.session(orders.Entry{Worker: sched.Worker{ID: id, Silent: true}})
		s.leaseUntil = until
		s.adopted, s.silent = true, true
		for ref, run := range o.engine.On(id) {
			o.settled[ref] = settlement{run: run, at: -1}
		}
	}
	o.rebuilt.Store(true)
	o.lead.Log.Emit(event.LeadRebuilt).Int64("epoch", o.epoch).Int("jobs", len(o.work)).
		Int64("took_ms", (o.lead.now() - o.since).Milliseconds()).Send()
}

func (o *Owner) workersWithRuns() map[string]bool {
	out := map[string]bool{}
	for _, id := range o.engine.Workers() {
		if o.engine.Busy(id) {
			out[id] = true
		}
	}
	return out
}

// leaseTail is how long after an order a run may live at a worker whose clock
// is 2 % slow, its stop included.
func (o *Owner) leaseTail() time.Duration {
	hold := o.lead.Bounds.MaxHold
	return hold + hold*3/100 + o.lead.Bounds.KillGrace + transitSlack
}

// transitSlack is the time that an order may be on its way; a worker counts a
// lease on its own clock, so that only its last reading matters.
const transitSlack = 200 * time.Millisecond

func (o *Owner) readAll(table string, parts []string) (rows.Page, bool) {
	pause := retryMin
	for {
		ctx, cancel := context.WithTimeout(o.ctx, 2*storeTimeout)
		page, err := o.lead.Rows.Parts(ctx, table, parts)
		cancel()
		if err == nil {
			return page, true
		}
		o.lead.Log.Emit(event.StoreFailed).Str("op", "read "+table).Err(err).Send()
		if o.ctx.Err() != nil || o.age() > orderBound || o.lead.now()-o.since > rebuildBound {
			o.cancel()
			return page, false
		}
		clock.Sleep(o.ctx, pause)
		pause = min(2*pause, retryMax)
	}
}

// learn takes in a row of accepted work or a cancellation.
func (o *Owner) learn(r rows.Row, record []byte) {
	if id, ok := strings.CutSuffix(r.Key, CancelSuffix); ok {
		if !r.Gone {
			o.noteCancel(id)
		}
		return
	}
	if r.Gone || o.work[r.Key] != nil {
		return
	}
	w := new(model.Work)
	if err := json.Unmarshal(r.Value, w); err != nil {
		o.lead.Log.Emit(event.RowCorrupt).Str("table", WorkTable).Str("key", r.Key).Err(err).Send()
		return
	}
	j, err := sched.Restore(w, record)
	if err != nil {
		o.lead.Log.Emit(event.RowCorrupt).Str("table", RecordTable).Str("key", r.Key).Err(err).Send()
		return
	}
	o.work[r.Key] = w
	if !j.Open() {
		o.shown[r.Key] = j.Final
	}
	o.engine.Add(j, o.moment())
	if o.cancels[w.ID] {
		delete(o.cancels, w.ID)
		o.engine.Cancel(w.ID, o.moment())
	}
}

func (o *Owner) noteCancel(id string) {
	if o.work[id] == nil {
		o.cancels[id] = true
		return
	}
	o.engine.Cancel(id, o.moment())
}

// follow reads the feed of accepted work until the owner ends.
func (o *Owner) follow(after uint64) {
	for o.ctx.Err() == nil {
		ctx, cancel := context.WithTimeout(o.ctx, feedWait+storeTimeout)
		page, err := o.lead.Rows.Feed(ctx, WorkTable, after, feedWait)
		cancel()
		if err != nil {
			after = o.refollow(after, err)
			continue
		}
		after = max(after, page.Version)
		if len(page.Rows) == 0 {
			continue
		}
		o.post(func() { o.learnAll(page.Rows) })
	}
}

// refollow reads the whole table after the history was lost, and waits a moment
// after any other failure.
func (o *Owner) refollow(after uint64, err error) uint64 {
	if o.ctx.Err() != nil {
		return after
	}
	o.lead.Log.Emit(event.StoreFailed).Str("op", "feed "+WorkTable).Err(err).Send()
	clock.Sleep(o.ctx, retryMin)
	ctx, cancel := context.WithTimeout(o.ctx, storeTimeout)
	defer cancel()
	page, err := o.lead.Rows.Parts(ctx, WorkTable, WorkPartNames())
	if err != nil {
		clock.Sleep(o.ctx, retryMin)
		return after
	}
	o.post(func() { o.learnAll(page.Rows) })
	return max(after, page.Version)
}

func (o *Owner) learnAll(rs []rows.Row) {
	for _, r := range rs {
		o.learn(r, nil)
	}
	o.passDue = true
}

// Accepted takes in work that a node has just made durable, ahead of the feed.
func (o *Owner) Accepted(r rows.Row) {
	learn := func() {
		if o.rebuilt.Load() { // before that its record is not known
			o.learnAll([]rows.Row{r})
		}
	}
	select {
	case o.inbox <- learn:
	default: // the feed brings it too
	}
}

// Look returns a job's state; ok is false if the owner can't tell.
func (o *Owner) Look(ctx context.Context, id string) (Look, bool) {
	var out Look
	if !o.rebuilt.Load() {
		return out, false
	}
	ok := o.ask(ctx, func() {
		j := o.engine.Job(id)
		if j == nil {
			return
		}
		out.Known = true
		switch final, durable := o.shown[id]; {
		case durable:
			out.State = final
		case j.Begun:
			out.State = sched.Running
		default:
			out.State = sched.Queued
		}
	})
	return out, ok
}

// Stats returns the engine's figures; ok is false if the owner can't tell.
func (o *Owner) Stats(ctx context.Context) (st sched.Stats, ok bool) {
	ok = o.ask(ctx, func() { st = o.engine.Stats(o.moment()) })
	return st, ok
}

// Unstarted counts the queue's jobs of which nothing has started.
func (o *Owner) Unstarted(ctx context.Context, queue string) (int, bool) {
	n := 0
	if !o.rebuilt.Load() {
		return 0, false
	}
	ok := o.ask(ctx, func() { n = o.engine.Unstarted(queue) })
	return n, ok
}

// purge removes the rows of jobs that can no longer be asked for. The work goes
// first: a record without its work is dropped by the next owner, but work
// without its record would run again.
func (o *Owner) purge() {
	now := o.moment()
	if now.Steady < o.purgeAt || o.purging || len(o.drops) > 0 {
		return
	}
	o.purgeAt = now.Steady + purgeEvery
	old := lo.Reject(o.engine.OldEnded(now.UnixMs-(2*o.lead.Bounds.KeepEnded).Milliseconds()),
		func(id string, _ int) bool { return o.dirty[id] })
	if len(old) == 0 {
		return
	}
	o.purging = true
	o.spawn(func() {
		var gone []string
		for part, ids := range lo.GroupBy(old, WorkPart) {
			ids = ids[:min(len(ids), maxEntries/2)]
			var t rows.Txn
			for _, id := range ids {
				t.Drop = append(t.Drop, rows.Row{Table: WorkTable, Part: part, Key: id},
					rows.Row{Table: WorkTable, Part: part, Key: id + CancelSuffix})
			}
			ctx, cancel := context.WithTimeout(o.ctx, storeTimeout)
			_, _, err := o.lead.Rows.Commit(ctx, t)
			cancel()
			if err != nil {
				o.lead.Log.Emit(event.StoreFailed).Str("op", "purge").Str("part", part).Err(err).Send()
				continue // the next purge comes back to them
			}
			gone = append(gone, ids...)
		}
		o.post(func() { o.purged(gone) })
	})
}

func (o *Owner) purged(ids []string) {
	o.purging = false
	for _, id := range ids {
		o.engine.Forget(id)
		delete(o.work, id)
		delete(o.shown, id)
		o.drops = append(o.drops, rows.Row{Table: RecordTable, Key: id})
	}
}
