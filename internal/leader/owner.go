package leader

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/samber/lo"

	"greengageline/internal/clock"
	"greengageline/internal/event"
	"greengageline/internal/guard"
	"greengageline/internal/metric"
	"greengageline/internal/orders"
	"greengageline/internal/rows"
	"greengageline/internal/sched"
	"greengageline/pkg/model"
)

const (
	// tickInterval is how often the owner checks what depends on time.
	tickInterval = 100 * time.Millisecond
	// missingEntryGrace is how long after the store's return a worker whose entry is missing still counts
	// as alive. The users' specification gives 2 s.
	missingEntryGrace = 2200 * time.Millisecond
	// inboxSize bounds the functions queued for the loop; senders block when it is full.
	inboxSize = 1024
	// purgeInterval is how often the owner looks for ended jobs to remove.
	purgeInterval = 10 * time.Second
	// passRestFactor is the pause before the next scheduling pass, as a multiple of the time that the last
	// one took, so that passes leave most of the processor to orders and answers.
	passRestFactor = 3
	// stuckTxnAge is how long a transaction may be in flight before the owner stops making decisions: some
	// 20 times the usual time.
	stuckTxnAge = 300 * time.Millisecond
	// runsPerEpoch is the number of run ids reserved for one owner, so that the next owner's runs have
	// higher numbers.
	runsPerEpoch = 1_000_000
	// retryPauseMin and retryPauseMax bound the pause before a refused or unanswered call of the store is
	// sent again.
	retryPauseMin = 60 * time.Millisecond
	retryPauseMax = 500 * time.Millisecond
)

// Owner schedules the jobs and orders the workers while its node has the ownership. Only the loop's
// goroutine touches its fields, except those whose comment says otherwise, the immutable ones (lead, epoch,
// takenAt) and those that are safe for concurrent use by type.
type Owner struct {
	lead    *Candidate
	epoch   int64
	takenAt time.Duration // when the transaction that took the ownership was sent
	row     ownership     // the ownership row as last committed

	ctx        context.Context //nolint:containedctx // the owner's lifetime, ended by cancel
	cancel     context.CancelFunc
	goroutines sync.WaitGroup
	inbox      chan func()
	// committedAt is when the last successful commit was sent, in ns of the steady clock. Any goroutine may
	// read it.
	committedAt atomic.Int64
	// txnSentAt is when the transaction in flight was first sent, in ns of the steady clock; 0 if none is. Any
	// goroutine may read it.
	txnSentAt atomic.Int64
	// storeAnsweredAt is when the store last answered a call about a transaction, in ns of the steady clock. Any
	// goroutine may read it.
	storeAnsweredAt atomic.Int64
	// committedVersion is the version of the ownership row after that commit. Any goroutine may read it.
	committedVersion atomic.Uint64

	engine       sched.Engine
	work         map[string]*model.Work // every known job's specification, by id
	budget       guard.Shares
	stateBytes   map[string]int64         // what the known jobs take of budget, by id
	finals       map[string]sched.State   // durable final states
	earlyCancels map[string]time.Duration // cancellations of jobs that are not known, by id, with when they became known
	// followed is the version of the store up to which all changes of WorkTable have been applied. removed has the
	// version of the transaction that removed a job, by id, until followed reaches it: a read that began before may
	// still show the job.
	followed uint64
	removed  map[string]uint64
	sessions map[string]*session // by worker id
	// silentAt has, by address, the workers that have not answered since runs there were given up, of which it is
	// not known whether they have crashed. A later worker at the address tells.
	silentAt      map[string]*session
	confirmedRuns map[sched.TaskRef]startOutcome // runs that their worker is certain to know
	pendingStarts []sched.Order                  // starts whose records are not durable yet
	readyStarts   []sched.Order                  // starts whose records are durable, not sent yet
	// startsAwaitingTickets is how many of readyStarts wait for new tickets, for which a scheduling pass has to ask.
	startsAwaitingTickets int
	starts                startWindow     // bounds the starts in flight
	passes                passLimit       // bounds the starts that a pass decides
	dirtyJobs             map[string]bool // jobs whose records changed since they were last put into a transaction
	dirtyOrder            []string        // the ids in dirtyJobs, those that have waited longest first
	pendingDeletes        []rows.Row      // rows to delete in a later transaction
	rowVersion            uint64          // of the ownership row; it changes only while no transaction is in flight
	inFlight              bool            // a transaction is in flight
	// lastTxnTook is how long the last transaction took; it changes only while none is in flight.
	lastTxnTook time.Duration
	nextPurgeAt time.Duration // when purge looks for ended jobs again
	purging     bool          // rows of ended jobs are being removed
	planVersion uint64        // the version of the plan in force; 0 means none yet
	hasAdvice   bool          // a queue of that plan has an adviser
	askersAt    time.Duration // when the nodes that ask the adviser were chosen last
	waves       waveState
	evac        evacState
	speeds      speedState
	listed      bool          // the workers' entries have been read
	probesLeft  int           // holds that may still be sent to silent workers in this tick
	looksLeft   int           // looks at workers that may still be sent in this tick
	looksSent   int64         // looks at workers that were sent
	listOK      bool          // the workers' entries could be read last time
	listOKSince time.Duration // when the entries became readable again
	rebuilt     atomic.Bool   // the stored state has been read; any goroutine may read it
	// releasing means that the ownership is to be released, since releasingSince. Nothing more is decided.
	releasing      bool
	releasingSince time.Duration
	// inFlightRelease means that the transaction in flight is the release. It stays set until the outcome is known.
	inFlightRelease bool
	// quiet means that the release may take effect, so that no order may be given. It is false while a release that
	// the store has refused waits for the next attempt. Any goroutine may read it.
	quiet atomic.Bool
	// earlierOrdersUntil is until when owners before this one may still give orders.
	earlierOrdersUntil time.Duration
	// earlierLease is the longest lease of this owner and of those before.
	earlierLease time.Duration
	passDue      bool          // something changed that a scheduling pass must consider
	nextPassAt   time.Duration // when the next pass may begin
	// shares has the nodes that reach workers, as chosen at carriersAt; it is empty while this node reaches all itself.
	shares     []share
	carriersAt time.Duration
	// carried is set once another node has carried orders.
	carried bool
	// loadReportedAt is when the load was last reported, with the traffic until then.
	loadReportedAt time.Duration
	// longestPass is the longest scheduling pass since then.
	longestPass   time.Duration
	reportedFlows map[string]metric.Flow
}

// startOutcome records since when it is certain that a worker knows a run, or since when it is uncertain
// whether a start that got no answer was carried out.
type startOutcome struct {
	run int64
	at  time.Duration
	// incarnation is the incarnation of the worker that the start was sent to, or that listed the run; 0 if it is not
	// known.
	incarnation int64
	// stopping is set once a stop has been sent for a start that got no answer.
	stopping bool
}

func newOwner(l *Candidate, row ownership, version uint64, sent time.Duration) *Owner {
	ctx, cancel := context.WithCancel(context.Background())
	o := &Owner{
		lead: l, epoch: row.Epoch, takenAt: sent, row: row, rowVersion: version, ctx: ctx, cancel: cancel,
		inbox: make(chan func(), inboxSize), work: map[string]*model.Work{}, finals: map[string]sched.State{},
		earlyCancels: map[string]time.Duration{}, removed: map[string]uint64{}, sessions: map[string]*session{}, confirmedRuns: map[sched.TaskRef]startOutcome{},
		dirtyJobs: map[string]bool{}, silentAt: map[string]*session{}, budget: guard.Shares{Limit: l.StateLimit}, stateBytes: map[string]int64{},
	}
	o.committedAt.Store(int64(sent))
	o.committedVersion.Store(version)
	o.engine.Limits = sched.Limits{FirstRun: row.Epoch * runsPerEpoch, SpreadFactor: l.Bounds.RemoteDataFactor, GangWait: l.Bounds.GangWait}
	return o
}

// commitAge returns the time since the last successful commit was sent.
func (o *Owner) commitAge() time.Duration { return o.lead.now() - time.Duration(o.committedAt.Load()) }

// mayOrder reports whether the owner may still extend leases and stop runs.
func (o *Owner) mayOrder() bool { return o.mayOrderWithin(maxOrderAge) }

// mayOrderWithin reports whether the owner may give orders that need a commit within limit.
func (o *Owner) mayOrderWithin(limit time.Duration) bool {
	return o.ctx.Err() == nil && !o.quiet.Load() && o.commitAge() < limit
}

// mayStart reports whether the last commit is recent enough to start runs. It does not prove that no other
// node has taken over: the workers refuse the starts of an earlier epoch.
func (o *Owner) mayStart() bool { return o.mayOrderWithin(slowStoreTakeoverAge) }

// moment returns the present time on both clocks.
func (o *Owner) moment() sched.Moment {
	return sched.Moment{Steady: o.lead.now(), UnixMs: o.lead.wallMs()}
}

// sinceAccepted returns the time since a job was accepted, by the time of day.
func (o *Owner) sinceAccepted(j *sched.Job) time.Duration {
	return time.Duration(o.lead.wallMs()-j.Work.AcceptedMs) * time.Millisecond
}

// spawn runs f in a goroutine that wait waits for.
func (o *Owner) spawn(f func()) {
	o.goroutines.Add(1)
	go func() {
		defer o.goroutines.Done()
		f()
	}()
}

func (o *Owner) wait() { o.goroutines.Wait() }

// post queues f for the loop; f is discarded once the owner has ended.
func (o *Owner) post(f func()) {
	select {
	case o.inbox <- f:
	case <-o.ctx.Done():
	}
}

// postAndWait runs f in the loop and waits for it. It reports false if the owner or ctx ended first; f may
// then still run.
func (o *Owner) postAndWait(ctx context.Context, f func()) bool {
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

// start reads the stored state and then begins to schedule; the loop renews the ownership row meanwhile.
func (o *Owner) start() {
	o.spawn(o.loop)
	o.spawn(o.readSpeeds)
	o.spawn(func() {
		stored, ok := o.readStored()
		if !ok || !o.postAndWait(o.ctx, func() { o.rebuild(stored) }) {
			return
		}
		o.spawn(func() { o.followFeed(stored.work.Version) })
		o.spawn(o.pollWorkerList)
		if o.lead.Site != nil {
			o.spawn(o.watchWaves)
		}
	})
}

// loop runs the queued functions and the ticks, one at a time, until the owner ends.
func (o *Owner) loop() {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-o.ctx.Done():
			return
		case f := <-o.inbox:
			f()
			o.drainInbox()
		case <-ticker.C:
			o.tick()
		}
		o.decide()
	}
}

// drainInbox runs the functions that are already queued, so that one pass and one transaction cover all of
// them.
func (o *Owner) drainInbox() {
	for range inboxSize {
		select {
		case f := <-o.inbox:
			f()
		default:
			return
		}
	}
}

// tick does what depends on time: it applies a new plan, checks the leases, removes old jobs and plans the
// upkeep.
func (o *Owner) tick() {
	if p := o.lead.Plan(); p.Version > o.planVersion {
		o.planVersion = p.Version
		o.hasAdvice = slices.ContainsFunc(p.Queues, func(q model.Queue) bool { return q.Advice != nil })
		o.engine.SetPlan(p)
	}
	o.probesLeft, o.looksLeft = maxProbesPerTick, maxLooksPerTick
	for _, s := range o.sessions {
		if !s.settled() {
			s.checkLeases()
		}
	}
	o.purge()
	o.planUpkeep()
	o.reportShortfalls()
	o.chooseCarriers()
	o.chooseAskers()
	o.reportLoad()
	o.passDue = true
}

// decide runs a scheduling pass if one is due, sends the stops and questions that result, and sends the
// next transaction.
func (o *Owner) decide() {
	o.applyEvacuations()
	budget := o.starts.budget(len(o.pendingStarts) + len(o.readyStarts) - o.startsAwaitingTickets)
	var took time.Duration
	if began := o.lead.now(); o.passDue && budget > 0 && o.rebuilt.Load() && began >= o.nextPassAt && !o.releasing && o.planVersion != 0 && !o.evac.stale && o.mayStart() && !o.txnStuck(began) {
		o.passDue = o.engine.PassWithin(o.moment(), o.passes.bound(budget))
		now := o.lead.now()
		o.nextPassAt = now + min(passRestFactor*(now-began), tickInterval)
		took = now - began
		o.longestPass = max(o.longestPass, took)
	}
	decided := o.engine.TakeOrders()
	o.passes.record(lo.CountBy(decided, func(order sched.Order) bool { return !order.Stop }), took)
	for _, order := range decided {
		if order.Stop {
			o.lead.Metrics.runStopped(order.Priority, o.lead.now()-order.PlacedAt)
			o.sendStop(order)
			continue
		}
		delete(o.confirmedRuns, order.Task)
		o.pendingStarts = append(o.pendingStarts, order)
		o.logPlaced(order)
	}
	for _, w := range o.engine.TakeWaits() {
		o.lead.Log.Emit(event.WorkWaiting).Str("job", w.Step.Job).Int("step", w.Step.Step).Str("queue", w.Queue).Int("priority", w.Priority).
			Int("waiting", w.Waiting).Int64("for_ms", w.For.Milliseconds()).Str("reason", string(w.Reason)).Int64("epoch", o.epoch).Send()
	}
	for _, q := range o.engine.TakeQuestions() {
		o.askAdviser(q)
	}
	o.takeLooks()
	o.reportSpeeds()
	o.collectChanged()
	o.commit()
}

// collectChanged collects the jobs whose records changed, for the next transaction.
func (o *Owner) collectChanged() {
	for _, id := range o.engine.TakeChanged() {
		if !o.dirtyJobs[id] {
			o.dirtyJobs[id] = true
			o.dirtyOrder = append(o.dirtyOrder, id)
		}
	}
}

// txnStuck reports whether the transaction in flight takes too long. Runs that are decided now could not be
// started for a while, and others would be stopped to make room for nothing.
func (o *Owner) txnStuck(now time.Duration) bool {
	at := time.Duration(o.txnSentAt.Load())
	return at != 0 && now-at > stuckTxnAge
}

// turnedAway reports whether the transaction in flight takes too long and the store has answered no call about it.
func (o *Owner) turnedAway(now time.Duration) bool {
	return o.txnStuck(now) && o.storeAnsweredAt.Load() < o.txnSentAt.Load()
}

// storedState is what is stored when an owner begins. Jobs are read before records, so that a record
// without a job is one whose job was removed.
type storedState struct {
	work, records, waves rows.Page
}

// readStored reads the stored state; ok is false if the owner ended before it could be read.
func (o *Owner) readStored() (s storedState, ok bool) {
	if s.work, ok = o.readAll(WorkTable, WorkPartNames()); !ok {
		return s, false
	}
	if s.records, ok = o.readAll(RecordTable, []string{""}); !ok {
		return s, false
	}
	if o.lead.Site != nil {
		s.waves, ok = o.readAll(UpkeepTable, []string{""})
	}
	return s, ok
}

// rebuild applies the stored state, in the loop. From then on the owner schedules. A worker that has runs
// counts as silent until it answers; its runs are given up when their leases must have ended, which earlier owners
// may still extend.
func (o *Owner) rebuild(stored storedState) {
	o.restoreWaveRecords(stored.waves)
	records := make(map[string][]byte, len(stored.records.Rows))
	for _, r := range stored.records.Rows {
		records[r.Key] = r.Value
	}
	o.tick()
	o.followed = stored.work.Version
	for _, r := range stored.work.Rows {
		o.applyWorkRow(r, records[r.Key], true)
		delete(records, r.Key)
	}
	for id := range records {
		// The job was removed, and the owner that removed it ended before it deleted the record.
		o.pendingDeletes = append(o.pendingDeletes, rows.Row{Table: RecordTable, Key: id})
	}
	until := max(o.lead.now(), o.earlierOrdersUntil) + o.runLife(o.earlierLease)
	for id := range o.workersWithRuns() {
		s := o.session(orders.Entry{Worker: sched.Worker{ID: id, Silent: true}})
		s.leaseUntil = until
		s.adopted, s.silent = true, true
		for ref, run := range o.engine.RunsOn(id) {
			from, _ := o.engine.Disconnected(ref, run)
			o.confirmedRuns[ref] = startOutcome{run: run, at: -1, incarnation: from}
		}
	}
	o.rebuilt.Store(true)
	o.lead.Log.Emit(event.LeadRebuilt).Int64("epoch", o.epoch).Int("jobs", len(o.work)).
		Int64("took_ms", (o.lead.now() - o.takenAt).Milliseconds()).Send()
}

// workersWithRuns returns the ids of the workers on which the records place runs.
func (o *Owner) workersWithRuns() map[string]bool {
	out := map[string]bool{}
	for _, id := range o.engine.Workers() {
		if o.engine.Busy(id) {
			out[id] = true
		}
	}
	return out
}

// maxRunLife returns how long after an order of this owner a run may live.
func (o *Owner) maxRunLife() time.Duration { return o.runLife(o.lead.Bounds.MaxLease) }

// runLife returns how long after an order with a lease a run may live at a worker whose clock is 2 % slow, including
// the time to stop it.
func (o *Owner) runLife(lease time.Duration) time.Duration {
	return lease + lease*3/100 + o.lead.Bounds.KillGrace + transitAllowance
}

// longestLease returns the longest lease that may be in force now or be ordered by this owner.
func (o *Owner) longestLease() time.Duration {
	if o.lead.now() > o.earlierOrdersUntil+o.runLife(o.earlierLease) {
		return o.lead.Bounds.MaxLease
	}
	return o.earlierLease
}

// transitAllowance is how long an order may be in transit. A worker counts a lease on its own clock, so
// only the last reading of that clock matters.
const transitAllowance = 200 * time.Millisecond

// readAll reads parts of a table and retries until that succeeds. If the owner ends, its last commit is
// older than maxOrderAge, or it has tried for rebuildTimeout, it ends the owner and reports false.
func (o *Owner) readAll(table string, parts []string) (rows.Page, bool) {
	pause := retryPauseMin
	for {
		ctx, cancel := context.WithTimeout(o.ctx, 2*storeTimeout)
		page, err := o.lead.Rows.ReadParts(ctx, table, parts)
		cancel()
		if err == nil {
			return page, true
		}
		o.lead.Log.Emit(event.StoreFailed).Str("op", "read "+table).Err(err).Send()
		if o.ctx.Err() != nil || o.commitAge() > maxOrderAge || o.lead.now()-o.takenAt > rebuildTimeout {
			o.lead.gaveUpAt.Store(int64(o.lead.now()))
			o.cancel()
			return page, false
		}
		clock.Sleep(o.ctx, pause)
		pause = min(2*pause, retryPauseMax)
	}
}

// JobState returns a job's state; ok is false if the owner can't tell.
func (o *Owner) JobState(ctx context.Context, id string) (JobState, bool) {
	var out JobState
	if !o.rebuilt.Load() {
		return out, false
	}
	ok := o.postAndWait(ctx, func() {
		j := o.engine.Job(id)
		if j == nil {
			return
		}
		out.Known = true
		switch final, durable := o.finals[id]; {
		case durable:
			out.State = final
		case j.Started:
			out.State = sched.Running
		default:
			out.State = sched.Queued
		}
	})
	return out, ok
}

// Stats holds the scheduler's counts, the starts that may be in flight, and those that are not sent yet.
type Stats struct {
	sched.Stats
	StartWindow, StartsWaiting int
	// EvacuatedZones counts the evacuated zones; UnfitAccelerators and UnfitGangs are what no longer fits in the others.
	EvacuatedZones, UnfitAccelerators, UnfitGangs int
	// StateBytes and StateLeft are the bytes that the state of the jobs takes and may take in addition.
	StateBytes, StateLeft int64
}

// Stats returns the owner's statistics; ok is false if the owner has ended or ctx ends first.
func (o *Owner) Stats(ctx context.Context) (st Stats, ok bool) {
	ok = o.postAndWait(ctx, func() {
		st = Stats{Stats: o.engine.Stats(o.moment()), StartWindow: o.starts.size(), StartsWaiting: len(o.pendingStarts) + len(o.readyStarts)}
		o.shortfallStats(&st)
		st.StateBytes, st.StateLeft = o.budget.Used(), o.budget.Left()
	})
	return st, ok
}

// CountUnstarted counts the queue's jobs of which nothing has started; ok is false if the owner can't tell.
func (o *Owner) CountUnstarted(ctx context.Context, queue string) (int, bool) {
	n := 0
	if !o.rebuilt.Load() {
		return 0, false
	}
	ok := o.postAndWait(ctx, func() { n = o.engine.CountUnstarted(queue) })
	return n, ok
}
