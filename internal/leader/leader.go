package leader

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/lo"

	"greengageline/internal/clock"
	"greengageline/internal/event"
	"greengageline/internal/orders"
	"greengageline/internal/rows"
	"greengageline/internal/sched"
	"greengageline/internal/upkeep"
	"greengageline/pkg/model"
)

// The tables that this package writes.
const (
	// OwnershipTable holds the one row that names the owner.
	OwnershipTable = "lead"
	// WorkTable holds the accepted jobs and their cancellations, spread over the parts of WorkPartNames.
	WorkTable = "work"
	// RecordTable holds the state of each job's tasks, in a single part.
	RecordTable  = "record"
	ownershipKey = "all"
	// CancelSuffix follows a job's id in the key of its cancellation. Cancellations are in WorkTable, so
	// that one feed delivers both jobs and cancellations.
	CancelSuffix = "/x"
)

// workPartCount is the number of parts over which accepted jobs are spread by id. A part takes one
// transaction at a time; a store that is 60 times slower than usual takes two a second in each part. A
// takeover reads all parts.
const workPartCount = 16

// WorkPart returns the part of WorkTable that holds the rows of the job with this id.
func WorkPart(id string) string { return workPartName(int(xxhash.Sum64String(id) % workPartCount)) }

// WorkPartNames returns the names of all parts of WorkTable.
func WorkPartNames() []string { return lo.Times(workPartCount, workPartName) }

func workPartName(n int) string { return fmt.Sprintf("%02d", n) }

const (
	// pollInterval is how often a node polls the owner: a few times within takeoverAge.
	pollInterval = 250 * time.Millisecond
	// pollSpacing is the mean time between two polls of all nodes together. It equals the rate of 125 nodes
	// at pollInterval; when there are more nodes, each polls less often.
	pollSpacing = 2 * time.Millisecond
	// pollCountWindow is the time over which the owner counts polls to estimate the number of nodes.
	pollCountWindow = time.Second
	// pollTimeout bounds one poll; a round trip takes a few ms.
	pollTimeout = 400 * time.Millisecond
	// renewInterval is the longest time that the owner leaves its row unchanged while the store answers.
	renewInterval = 400 * time.Millisecond
	// slowStoreTakeoverAge is how long the row must be unchanged before another node takes it, if the owner
	// answers polls and the store is slow. A store that is 80 times slower than usual still completes a
	// renewal in less.
	slowStoreTakeoverAge = 2500 * time.Millisecond
	// takeoverAge is the same limit for an owner that answers polls and writes nothing while the store answers
	// promptly: three renewals. A takeover that comes too early is safe, because the row and the workers fence off
	// the previous owner. Urgent jobs have about 1.5 s of slack.
	takeoverAge = 1200 * time.Millisecond
	// silentOwnerTakeoverAge is the limit for an owner that does not answer: two renewals.
	silentOwnerTakeoverAge = 900 * time.Millisecond
	// stuckTakeoverAge is the limit for an owner that reports that the store does not answer it, while the store
	// answers the node that polls it promptly: the store turns the owner away.
	stuckTakeoverAge = 700 * time.Millisecond
	// staleCommitAge is the age of the owner's last commit from which the other nodes read its row
	// themselves; stuckCommitAge is the same for an owner that the store does not answer.
	staleCommitAge = time.Second
	stuckCommitAge = 600 * time.Millisecond
	// maxOrderAge is how long after its last commit an owner still extends leases and stops runs. It is
	// longer than the store's outages on the users' sites: during an outage no other node can take over.
	maxOrderAge = 8 * time.Second
	// rebuildTimeout is how long a new owner may take to read the stored state, a few attempts of
	// storeTimeout. After that it gives up, so that another node may try.
	rebuildTimeout = 8 * time.Second
	// storeTimeout bounds one call of the store; a slow call takes about 1 s.
	storeTimeout = 2500 * time.Millisecond
	// slowReadThreshold is the duration of a read from which the store counts as slow, some 20 times the
	// usual duration. After a faster read the store is not what delays the owner.
	slowReadThreshold = 100 * time.Millisecond
	// minProbeDelay is how long a transaction may take before the ownership row is read to find out whether
	// it took effect: some ten times the usual duration. After a slow one it is probeDelayFactor times what
	// that took.
	minProbeDelay    = 100 * time.Millisecond
	probeDelayFactor = 2
	// resendDelay is how long a transaction of the owner may be in flight, with the row unchanged, before it is
	// sent again. Only the owner and a node that takes over write that part.
	resendDelay = 250 * time.Millisecond
	// takeJitter spreads the attempts of nodes that find the row free at the same time. It grows with the
	// number of nodes, by one takeJitter for every nodesPerJitter nodes, because a part of the store takes
	// one transaction at a time, 150 a second. Larger nodes go first: a node waits takeDelayOneCore divided
	// by its cores in addition.
	takeJitter       = 60 * time.Millisecond
	nodesPerJitter   = 30
	takeDelayOneCore = 60 * time.Millisecond
	// rereadDelay is the take delay above which the row is read again before it is taken: a read costs less
	// than a transaction that fails.
	rereadDelay = 200 * time.Millisecond
	// minCores is the least number of cores that the take delay is computed with; it bounds the delay of
	// the smallest nodes.
	minCores = 0.1
	// handOverRatio is how many times the owner's cores another node must have to own the jobs instead.
	handOverRatio = 1.5
	// peerCoresTTL is how long the owner's report of the largest other node is valid: longer than it takes
	// to detect that the owner is gone.
	peerCoresTTL = 5 * time.Second
	// settleTime is how long an owner stays before it hands over to a larger node, how long the cores
	// reported by a polling node are valid, and how long the larger node has to take the row.
	settleTime = 3 * time.Second
)

// ownership is the content of the row that names the owner.
type ownership struct {
	Owner string `json:"owner"`
	Addr  string `json:"addr"`
	Epoch int64  `json:"epoch"`
	// N numbers the transactions of an epoch.
	N int64 `json:"n"`
	// Nonce tells two incarnations of a node apart.
	Nonce uint64 `json:"nonce"`
	// Released means that any node may take the ownership at once. The owner gave no more orders once it had sent
	// that.
	Released bool `json:"released,omitempty"`
	// OrdersMs is for how long after a release owners before the one that released may still give orders, in ms.
	// 0 means that it is not known.
	OrdersMs int64 `json:"orders,omitempty"`
	// LeaseMs is the longest lease that this owner orders, or one before that may still be in force, in ms. 0 means
	// that it is not known.
	LeaseMs int64 `json:"lease,omitempty"`
}

// lease returns the longest lease that may be in force when the next owner begins; own is that of its settings.
func (r ownership) lease(own time.Duration) time.Duration {
	return max(own, time.Duration(r.LeaseMs)*time.Millisecond)
}

// ordersLeft returns for how long after the row was written its owner, or one before, may still give orders.
func (r ownership) ordersLeft() time.Duration {
	switch {
	case r.Owner == "":
		return 0
	case r.Released && r.OrdersMs > 0:
		return time.Duration(r.OrdersMs) * time.Millisecond
	}
	return maxOrderAge
}

// sameOwner reports whether r and o name the same owner at the same epoch.
func (r ownership) sameOwner(o ownership) bool {
	return r.Owner == o.Owner && r.Epoch == o.Epoch && r.Nonce == o.Nonce
}

// Pulse is a node's answer to a poll about the ownership.
type Pulse struct {
	Owner bool  `json:"owner"`
	Epoch int64 `json:"epoch"`
	// AgeMs is the time since the owner's last successful commit was sent.
	AgeMs int64 `json:"age_ms"`
	// Stuck reports that the owner's transaction has been in flight for stuckTxnAge, and that the store has
	// answered none of the owner's calls about it.
	Stuck bool `json:"stuck,omitempty"`
	// Version is the version of the ownership row after that commit.
	Version uint64 `json:"version,omitempty"`
	// Addr is the owner's address as far as the answering node knows.
	Addr string `json:"addr,omitempty"`
	// Most is the largest number of cores of a node that has polled the owner recently.
	Most float64 `json:"most,omitempty"`
	// Nodes is about how many nodes poll the owner.
	Nodes int `json:"nodes,omitempty"`
	// Bounded means that the memory for the state of jobs is bounded, and Free is how much the owner has left, in bytes; it
	// may be negative.
	Bounded bool  `json:"bounded,omitempty"`
	Free    int64 `json:"free,omitempty"`
	// Rebuilding means that the owner has not read the stored jobs yet, so that Free says nothing.
	Rebuilding bool `json:"rebuilding,omitempty"`
}

// Bounds are the platform's limits that the owner relies on.
type Bounds struct {
	// MaxLease is the longest lease that a worker grants.
	MaxLease time.Duration
	// KillGrace is the longest time that a stop takes.
	KillGrace time.Duration
	// EndedRetention is how long the state of an ended job must remain available.
	EndedRetention time.Duration
	// RemoteDataFactor is how many times as long a task takes far from its data.
	RemoteDataFactor float64
	// GangWait is how long members of a gang wait for the others.
	GangWait time.Duration
	// MinOwnerGap is the minimum time between orders of two different owners for one VM; 0 means 3 s.
	MinOwnerGap time.Duration
	// Evacuation is the time from the confirmation of the evacuation of a zone until which runs may still start there; 0
	// means that zones are not evacuated within a bound.
	Evacuation time.Duration
}

// Candidate is one node's part in the election. Set the exported fields, then call Run.
type Candidate struct {
	// Node is this node's name, Addr the address at which other nodes reach it.
	Node string
	Addr string
	// Rows is the store, Fleet the workers.
	Rows  *rows.Store
	Fleet *orders.Fleet
	// Site is the interface to the platform for VM upkeep; nil means that there is none.
	Site   *upkeep.Site
	Bounds Bounds
	Log    *event.Log
	// Metrics receives the metrics; nil means that there are none.
	Metrics *Metrics
	// Cores is the processor capacity of this machine; the owner should be the node with the most.
	Cores float64
	// Plan returns the newest plan known to this node.
	Plan func() model.Plan
	// Evacuations returns the evacuated zones as this node knows them; nil means that there are none.
	Evacuations func() Evacuations
	// Poll polls the node at addr.
	Poll func(ctx context.Context, addr string) (Pulse, error)
	// StateLimit bounds the memory for the state of the jobs that this node knows as the owner, in bytes; 0 means no bound.
	StateLimit int64
	// Now is the steady clock; nil means clock.Boot.
	Now func() time.Duration
	// WallMs is the time of day in Unix ms; nil means the machine's clock.
	WallMs func() int64

	allowance allowance
	nonce     uint64
	resigned  atomic.Bool
	ownerAddr atomic.Pointer[string]
	// gaveUpAt is when an owner of this process gave up reading the stored state, in ns of the steady clock; 0 if
	// none has.
	gaveUpAt atomic.Int64

	mu sync.Mutex
	// owner is guarded by mu. It is the owner that this process started last; nil before the first and
	// once step has cleared an ended one.
	owner *Owner
	// pollerCores is guarded by mu: the most cores of a node that polled recently, reported at
	// pollerCoresAt.
	pollerCores   float64
	pollerCoresAt time.Duration
	// nodeCount is guarded by mu: about how many nodes there are, counted here while this node is the
	// owner, else as the owner reported. pollCount counts the polls since pollCountSince.
	nodeCount, pollCount int
	pollCountSince       time.Duration

	// peers is guarded by mu. It has the nodes that have polled this one and may carry orders, by address.
	peers map[string]peer

	// The fields below belong to Run's goroutine. lastRow is the ownership row as last read; it has been
	// unchanged since unchangedSince. Both are valid only if lastRowValid.
	lastRow        rows.Row
	unchangedSince time.Duration
	lastRowValid   bool
	// storeAway is set while this node's reads of the row fail; storeBackAt is when one succeeded again, or 0.
	storeAway   bool
	storeBackAt time.Duration
	// polledVersion is the version of the row that the owner reported last; it was written at
	// polledVersionAt.
	polledVersion   uint64
	polledVersionAt time.Duration
	// peerCores is the most cores of a node other than the owner, as the owner reported at peerCoresAt.
	peerCores   float64
	peerCoresAt time.Duration
	// handedOverAt is when this node last tried to hand the ownership to a larger node, which then has
	// settleTime to take it; 0 if it never did.
	handedOverAt time.Duration
}

func (l *Candidate) now() time.Duration {
	if l.Now != nil {
		return l.Now()
	}
	return clock.Boot()
}

func (l *Candidate) wallMs() int64 {
	if l.WallMs != nil {
		return l.WallMs()
	}
	return time.Now().UnixMilli()
}

// OwnerAddr returns the last known address of the owner, or "" if none is known.
func (l *Candidate) OwnerAddr() string {
	if p := l.ownerAddr.Load(); p != nil {
		return *p
	}
	return ""
}

func (l *Candidate) setOwnerAddr(addr string) { l.ownerAddr.Store(&addr) }

// LocalOwner returns the owner that runs in this process, or nil. It may not have read the stored state
// yet, and another node may have taken the ownership without this one knowing yet.
func (l *Candidate) LocalOwner() *Owner {
	o := l.lastOwner()
	if o == nil || o.ctx.Err() != nil {
		return nil
	}
	return o
}

// lastOwner returns the owner that ran here last, even if it has ended, unless it has been cleared.
func (l *Candidate) lastOwner() *Owner {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.owner
}

// Run polls the owner and takes the ownership when it is free, until ctx ends. An owner in this process
// ends with ctx.
func (l *Candidate) Run(ctx context.Context) {
	l.nonce = rand.Uint64()
	l.allowance.setUnknown(l.StateLimit)
	defer func() {
		if o := l.lastOwner(); o != nil {
			o.cancel()
		}
	}()
	for ctx.Err() == nil {
		l.step(ctx)
		every := pollIntervalFor(l.NodeCount())
		clock.Sleep(ctx, every-every/4+rand.N(every/2))
	}
}

// step is one iteration of Run. If this node is the owner it checks whether to hand over; else it polls the
// owner and takes the ownership row if that is free.
func (l *Candidate) step(ctx context.Context) {
	if o := l.LocalOwner(); o != nil {
		l.handOverToLarger(ctx, o)
		return
	}
	if l.lastOwner() != nil {
		l.clearOwner()
	}
	if l.resigned.Load() {
		return
	}
	p, silent := l.pollOwner(ctx)
	if p.healthy() {
		l.lastRowValid = false
		return
	}
	l.takeIfFree(ctx, p, silent)
}

// handOverToLarger releases the ownership if a node with clearly more cores has polled: an owner that can't
// keep up delays the whole fleet. If the release can't be sent in time, the owner goes on.
func (l *Candidate) handOverToLarger(ctx context.Context, o *Owner) {
	if l.recordCores(0) < handOverRatio*l.Cores || l.Cores == 0 || l.now()-o.takenAt < settleTime || !o.rebuilt.Load() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	o.release(ctx)
	o.post(o.resume)
	l.handedOverAt = l.now()
}

// clearOwner forgets an owner that has ended. Its last calls may still be in flight and end by themselves.
func (l *Candidate) clearOwner() {
	l.mu.Lock()
	l.owner = nil
	l.mu.Unlock()
	l.lastRowValid = false
}

// Resign releases the ownership if this node has it; this node never takes it again.
func (l *Candidate) Resign(ctx context.Context) {
	l.resigned.Store(true)
	if o := l.LocalOwner(); o != nil {
		o.release(ctx)
	}
}

// JobState is a job's state as the owner or the store knows it.
type JobState struct {
	Known bool        `json:"known"`
	State sched.State `json:"state"`
}

// ReadJobState reads a job's state from the store, for a node that can't ask the owner. A job that is not stored
// has Known false. A job without a record has not started, unless both were removed between the two reads.
func ReadJobState(ctx context.Context, s *rows.Store, id string) (JobState, error) {
	work, err := s.Get(ctx, WorkTable, WorkPart(id), id)
	if err != nil {
		return JobState{}, fmt.Errorf("read job %s: %w", id, err)
	}
	if work.Version == 0 {
		return JobState{}, nil
	}
	row, err := s.Get(ctx, RecordTable, "", id)
	if err != nil {
		return JobState{}, fmt.Errorf("read the record of job %s: %w", id, err)
	}
	if row.Version == 0 {
		again, err := s.Get(ctx, WorkTable, WorkPart(id), id)
		if err != nil {
			return JobState{}, fmt.Errorf("read job %s again: %w", id, err)
		}
		if again.Version != work.Version {
			return JobState{}, nil
		}
		return JobState{Known: true, State: sched.Queued}, nil
	}
	r, err := sched.DecodeRecord(row.Value)
	if err != nil {
		return JobState{}, fmt.Errorf("decode the record of job %s: %w", id, err)
	}
	switch {
	case r.Final != "":
		return JobState{Known: true, State: r.Final}, nil
	case r.Started:
		return JobState{Known: true, State: sched.Running}, nil
	}
	return JobState{Known: true, State: sched.Queued}, nil
}
