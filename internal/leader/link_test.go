package leader

import (
	"context"
	"fmt"
	"maps"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"greengageline/internal/clock"
	"greengageline/internal/orders"
	"greengageline/internal/rows"
	"greengageline/pkg/model"
)

// nodeLink is the link of a node. It carries rate bytes a second in each direction, one message after another.
type nodeLink struct {
	rate int
	mu   sync.Mutex
	// freeAt is guarded by mu: when each direction has carried what was sent, by whether the node sends.
	freeAt map[bool]time.Time
	// carried is guarded by mu: the bytes that the node sent, by kind of message.
	carried map[string]int
}

// messageBytes is the size of a message's headers.
const messageBytes = 150

// carry waits until the link has carried a message of a kind with a body of n bytes.
func (l *nodeLink) carry(ctx context.Context, sends bool, kind string, n int) {
	n += messageBytes
	l.mu.Lock()
	now := time.Now()
	at := l.freeAt[sends]
	if at.Before(now) {
		at = now
	}
	at = at.Add(time.Duration(n) * time.Second / time.Duration(l.rate))
	l.freeAt[sends] = at
	if sends {
		l.carried[kind] += n
	}
	l.mu.Unlock()
	clock.Sleep(ctx, at.Sub(now))
}

// holdReplyBytes returns the size of a worker's answer to a hold.
func holdReplyBytes(out orders.HoldReply) int { return 60 + 50*(len(out.Running)+len(out.Ended)) }

// narrow puts a link of rate bytes a second between the node and both the store and the workers.
func (n *testNode) narrow(rate int) *nodeLink {
	l := &nodeLink{rate: rate, freeAt: map[bool]time.Time{}, carried: map[string]int{}}
	rs, fleet := *n.Rows, *n.Fleet
	n.Rows = &rows.Store{Range: rs.Range, Feed: rs.Feed, Commit: func(ctx context.Context, t rows.Txn) (uint64, []rows.Row, error) {
		size := 0
		for _, r := range t.Put {
			size += 60 + len(r.Key) + len(r.Value)*4/3 // the store takes base64
		}
		l.carry(ctx, true, "commit", size)
		return rs.Commit(ctx, t)
	}}
	out := fleet
	out.Start = func(ctx context.Context, e orders.Entry, in orders.Start) (int64, error) {
		l.carry(ctx, true, "start", 120+len(in.Payload))
		return fleet.Start(ctx, e, in)
	}
	out.Hold = func(ctx context.Context, e orders.Entry, in orders.Hold) (orders.HoldReply, error) {
		l.carry(ctx, true, "hold", 60)
		reply, err := fleet.Hold(ctx, e, in)
		l.carry(ctx, false, "hold", holdReplyBytes(reply))
		return reply, err
	}
	n.Fleet = &out
	return l
}

// Guards against accepted work that waits on an idle fleet (LOST): the fewer starts an owner with a narrow link could
// send, the more bytes it stored for each of them, so that the link carried ever fewer.
func TestWideJobsStartOverNarrowLink(t *testing.T) {
	const (
		jobs, tasks = 24, 150
		linkRate    = 250_000 // 2 Mbit/s
	)
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(context.Background())
		sim := newSimulation(120)
		for i := range 120 { // runs end one by one
			sim.workers[fmt.Sprintf("w%d", i)].runTime.set(time.Second + time.Duration(i)*23*time.Millisecond)
		}
		n := sim.newNode("n0", testCores)
		l := n.narrow(linkRate)
		n.start(ctx)
		defer func() {
			cancel()
			n.kill()
			time.Sleep(15 * time.Second)
		}()
		time.Sleep(2 * time.Second)
		from := sim.now()
		for i := range jobs {
			time.Sleep(150 * time.Millisecond)
			s := oneGPU(tasks)
			s.EstimateMs = 2000
			sim.submitPayload(fmt.Sprintf("job-%012d", i), "bulk", strings.Repeat("x", 150), s)
		}
		sim.awaitStarts(t, jobs*tasks, finishTime)
		l.mu.Lock()
		carried := maps.Clone(l.carried)
		l.mu.Unlock()
		t.Logf("%d tasks began within %s; sent %v", jobs*tasks, sim.now()-from, carried)
		is.True(carried["commit"] < carried["start"]) // storing a start takes less of the link than sending it
		for _, v := range sim.violations {
			t.Error(v)
		}
	})
}

// finishTime is the time after the end of the traffic at which all accepted work must have begun where there is room,
// by the users' rules.
const finishTime = 14 * time.Second

// awaitStarts waits until n different tasks have begun.
func (sim *simulation) awaitStarts(t *testing.T, n int, limit time.Duration) {
	t.Helper()
	from := sim.now()
	for begun := 0; begun < n; time.Sleep(50 * time.Millisecond) {
		sim.mu.Lock()
		seen := map[string]bool{}
		for _, s := range sim.starts {
			seen[s] = true
		}
		sim.mu.Unlock()
		begun = len(seen)
		if begun < n && sim.now()-from > limit {
			t.Fatalf("%d of %d tasks have begun after %s", begun, n, limit)
		}
	}
}

// submitPayload stores a job with a payload as a node does.
func (sim *simulation) submitPayload(id, queue, payload string, steps ...model.Step) {
	sim.submitWork(&model.Work{ID: id, Workspace: "ws", Payload: payload, Steps: steps}, queue)
}
