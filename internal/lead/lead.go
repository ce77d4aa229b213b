package lead

import (
	"context"
	"encoding/json"
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
	RightTable  = "lead"
	WorkTable   = "work"
	RecordTable = "record"
	rightKey    = "all"
	// CancelSuffix follows a job's id in the key of its cancellation, which
	// lies in WorkTable so that one feed brings both.
	CancelSuffix = "/x"
)

// workParts is how many parts accepted work is spread over, by its id. A part
// takes one transaction after another; a store that is 60 times slower than
// usual takes two a second in each. A takeover reads them all.
const workParts = 16

// WorkPart returns the part in which a job's rows of WorkTable lie.
func WorkPart(id string) string { return partName(int(xxhash.Sum64String(id) % workParts)) }

// WorkPartNames returns the names of all parts of WorkTable.
func WorkPartNames() []string { return lo.Times(workParts, partName) }

func partName(n int) string { return fmt.Sprintf("%02d", n) }

const (
	// watchEvery is how often a node asks the owner whether it is well: a few
	// times within deadAfter.
	watchEvery = 250 * time.Millisecond
	// watchEach is the time between two questions of all nodes together, as 125
	// nodes ask at watchEvery; of more, each asks less often.
	watchEach = 2 * time.Millisecond
	// countSpan is how long the owner counts questions to tell how many nodes ask.
	countSpan = time.Second
	// askTimeout bounds one such question; a round trip takes a few ms.
	askTimeout = 400 * time.Millisecond
	// renewEvery is how long the owner's row stands unchanged at most while
	// the store answers: a third of deadAfter.
	renewEvery = 400 * time.Millisecond
	// takeAfter is how long the row of an owner that answers stands unchanged
	// before another node takes it while the store is slow. A store that is 80 times slower than usual
	// still takes a renewal in less.
	takeAfter = 2500 * time.Millisecond
	// deadAfter is the same for an owner that does not answer, or that writes
	// nothing while the store answers promptly: three renewals. Taking it too early is safe, as the row and the workers fence
	// the owner before off; urgent work has about 1.5 s to spare.
	deadAfter = 1200 * time.Millisecond
	// staleAfter is the age of an owner's last commit from which the others
	// look at its row for themselves.
	staleAfter = time.Second
	// orderBound is how long after its last commit an owner still extends
	// leases: longer than the store's outages on the users' sites, since
	// nobody else can take over while it is out.
	orderBound = 8 * time.Second
	// rebuildBound is how long a new owner may take to read what is stored: a few
	// tries of storeTimeout; then another node may try.
	rebuildBound = 8 * time.Second
	// storeTimeout bounds one call of the store; a slow one takes about 1 s.
	storeTimeout = 2500 * time.Millisecond
	// promptRead is how fast a read of the store shows that it is not the store
	// which holds an owner up: some 20 times its usual answer.
	promptRead = 100 * time.Millisecond
	// firstTry bounds the first sending of a transaction, storeTimeout later
	// ones: a connection may be silent while a new one works. A sending may take
	// tryFactor times as long as the last transaction, since a second one only
	// queues up behind the first where the store is slow.
	firstTry  = 600 * time.Millisecond
	tryFactor = 2
	// takeJitter spreads the nodes that find the row free at one moment, and as
	// much more for each takersAtOnce of them: a part of the store takes one
	// transaction at a time, 150 a second. The larger nodes go first, by takeStep
	// divided by their cores.
	takeJitter   = 60 * time.Millisecond
	takersAtOnce = 30
	takeStep     = 60 * time.Millisecond
	// lookAgain is the delay from which the row is read once more before it is
	// taken: a read costs less than a transaction that fails.
	lookAgain = 200 * time.Millisecond
	// minCores bounds the delay of the smallest nodes.
	minCores = 0.1
	// muchLarger is from how many times an owner's cores another node should
	// own the work instead.
	muchLarger = 1.5
	// othersFor is how long the owner's word of other nodes counts: longer than
	// it takes to find out that the owner is gone.
	othersFor = 5 * time.Second
	// settleTime is how long an owner stays before it hands over to a larger
	// node, and how long the word of one counts.
	settleTime = 3 * time.Second
)

// right is the row that names the owner.
type right struct {
	Owner string `json:"owner"`
	Addr  string `json:"addr"`
	Epoch int64  `json:"epoch"`
	// N numbers the transactions of an epoch.
	N int64 `json:"n"`
	// Nonce tells two lives of a node apart.
	Nonce    uint64 `json:"nonce"`
	Released bool   `json:"released,omitempty"`
}

func (r right) same(o right) bool {
	return r.Owner == o.Owner && r.Epoch == o.Epoch && r.Nonce == o.Nonce
}

// Pulse is what an owner tells of itself.
type Pulse struct {
	Owner bool  `json:"owner"`
	Epoch int64 `json:"epoch"`
	// AgeMs is the time since the owner's last commit was sent.
	AgeMs int64 `json:"age_ms"`
	// Version is that of the owner's row after that commit.
	Version uint64 `json:"version,omitempty"`
	// Addr is where the answering node believes the owner to be.
	Addr string `json:"addr,omitempty"`
	// Most is the most cores of another node that the owner has heard of lately.
	Most float64 `json:"most,omitempty"`
	// Nodes is about how many nodes ask the owner.
	Nodes int `json:"nodes,omitempty"`
}

// Bounds are the platform's figures that the owner relies on.
type Bounds struct {
	// MaxHold is the longest lease that a worker grants.
	MaxHold time.Duration
	// KillGrace is the longest time that a stop takes.
	KillGrace time.Duration
	// KeepEnded is how long an ended job can be asked for.
	KeepEnded time.Duration
	// Factor is how many times as long a task takes far from its data.
	Factor float64
	// GangWait is how long members of a gang wait for the others.
	GangWait time.Duration
	// Turn is the least time between the orders of two owners for one VM.
	Turn time.Duration
}

// Lead is one node's part in the ownership; set the exported fields, then Run.
type Lead struct {
	Node  string
	Addr  string
	Rows  *rows.Store
	Fleet *orders.Fleet
	// Site is how VMs are taken into upkeep; nil means never.
	Site   *upkeep.Site
	Bounds Bounds
	Log    *event.Log
	Count  *Counters
	// Cores is what the machine's processor gives; the owner should sit where
	// that is most.
	Cores float64
	// Plan returns the newest plan known here.
	Plan func() model.Plan
	// Ask asks the node at addr how it is; set by the caller.
	Ask func(ctx context.Context, addr string) (Pulse, error)
	// Now is the steady clock; nil means clock.Boot.
	Now func() time.Duration
	// WallMs is the time of day in Unix ms; nil means the machine's.
	WallMs func() int64

	nonce     uint64
	resigning atomic.Bool
	addr      atomic.Pointer[string]

	mu sync.Mutex
	// owner is guarded by mu and nil while another node owns the work.
	owner *Owner
	// most is guarded by mu: the most cores of a node that asked lately, heard
	// at mostAt.
	most   float64
	mostAt time.Duration
	// nodes is guarded by mu: about how many there are, as counted here while
	// the work is owned, or as the owner told; asked counts the questions since
	// askedAt.
	nodes, asked int
	askedAt      time.Duration

	// The fields below belong to Run's goroutine.
	seen    rows.Row // the right row as last read
	seenAt  time.Duration
	seenNow bool
	// told is the version of its row that the owner told last; it has stood
	// since toldAt.
	told   uint64
	toldAt time.Duration
	// others is the most cores of a node besides the owner, as the owner told
	// at othersAt.
	others   float64
	othersAt time.Duration
	// yielded is when the work was handed to a larger node, which then has
	// settleTime to take it.
	yielded time.Duration
}

func (l *Lead) now() time.Duration {
	if l.Now != nil {
		return l.Now()
	}
	return clock.Boot()
}

func (l *Lead) wallMs() int64 {
	if l.WallMs != nil {
		return l.WallMs()
	}
	return time.Now().UnixMilli()
}

// OwnerAddr returns where the owner was last known to be; "" if nowhere.
func (l *Lead) OwnerAddr() string {
	if p := l.addr.Load(); p != nil {
		return *p
	}
	return ""
}

func (l *Lead) setAddr(addr string) { l.addr.Store(&addr) }

// Own returns the owner that runs in this process, or nil.
func (l *Lead) Own() *Owner {
	o := l.last()
	if o == nil || o.ctx.Err() != nil {
		return nil
	}
	return o
}

// last returns the owner that ran here last, even if it has ended.
func (l *Lead) last() *Owner {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.owner
}

// Run watches the ownership and takes it when it is free, until ctx ends; an
// owner ends with it.
func (l *Lead) Run(ctx context.Context) {
	l.nonce = rand.Uint64()
	defer func() {
		if o := l.last(); o != nil {
			o.cancel()
		}
	}()
	for ctx.Err() == nil {
		l.turn(ctx)
		every := watchInterval(l.Size())
		clock.Sleep(ctx, every-every/4+rand.N(every/2))
	}
}

func (l *Lead) turn(ctx context.Context) {
	if o := l.Own(); o != nil {
		l.yield(ctx, o)
		return
	}
	if l.last() != nil {
		l.drop()
	}
	if l.resigning.Load() {
		return
	}
	well, answers := l.ownerWell(ctx)
	if well {
		l.seenNow = false
		return
	}
	l.look(ctx, answers)
}

// yield hands the work over if a node with clearly more cores is there: an
// owner that can't keep up holds up the whole fleet.
func (l *Lead) yield(ctx context.Context, o *Owner) {
	if l.hear(0) < muchLarger*l.Cores || l.Cores == 0 || l.now()-o.since < settleTime || !o.rebuilt.Load() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	o.release(ctx)
	l.yielded = l.now()
}

// drop forgets an owner that has ended; its last calls run out by themselves.
func (l *Lead) drop() {
	l.mu.Lock()
	l.owner = nil
	l.mu.Unlock()
	l.seenNow = false
}

// Resign hands the ownership on, if this node has it, and never takes it again.
func (l *Lead) Resign(ctx context.Context) {
	l.resigning.Store(true)
	if o := l.Own(); o != nil {
		o.release(ctx)
	}
}

// Look is a job's state as the owner knows it.
type Look struct {
	Known bool        `json:"known"`
	State sched.State `json:"state"`
}

// StateOf reads a job's state from the store, for a node that can't ask the
// owner.
func StateOf(ctx context.Context, s *rows.Store, id string) (Look, error) {
	work, err := s.Get(ctx, WorkTable, WorkPart(id), id)
	if err != nil {
		return Look{}, fmt.Errorf("read job %s: %w", id, err)
	}
	if work.Version == 0 {
		return Look{}, nil
	}
	row, err := s.Get(ctx, RecordTable, "", id)
	if err != nil {
		return Look{}, fmt.Errorf("read the record of job %s: %w", id, err)
	}
	if row.Version == 0 {
		return Look{Known: true, State: sched.Queued}, nil
	}
	var r sched.Record
	if err := json.Unmarshal(row.Value, &r); err != nil {
		return Look{}, fmt.Errorf("decode the record of job %s: %w", id, err)
	}
	switch {
	case r.Final != "":
		return Look{Known: true, State: r.Final}, nil
	case r.Begun:
		return Look{Known: true, State: sched.Running}, nil
	}
	return Look{Known: true, State: sched.Queued}, nil
}
