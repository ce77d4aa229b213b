package lead

import (
	"context"
	"fmt"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"greengageline/internal/rows"
)

// The larger node takes the work over from a small one.
func TestLargerNodeOwnsTheWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w, nodes, stop := begin(1, 3)
		defer stop()
		is.True(owner(nodes) != nil)
		large := w.node("large", 2*testCores)
		large.begin(context.Background())
		defer large.kill()
		time.Sleep(10 * time.Second)
		is.True(large.Own() != nil)
	})
}

// An owner that answers the other nodes, but whose transactions the store
// refuses or leaves without an answer, is replaced as soon as its row has stood
// for as long as that of a dead one.
func TestOwnerWithoutItsStoreIsReplacedInTime(t *testing.T) {
	cases := map[string]func(ctx context.Context) error{
		"refused": func(context.Context) error { return rows.ErrRefused },
		"without an answer": func(ctx context.Context) error {
			<-ctx.Done()
			return rows.ErrUnclear
		},
	}
	for name, answer := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w, nodes, stop := begin(2, 3)
				defer stop()
				old := owner(nodes)
				w.store.refuse.set(func(who, _ string) error {
					if who != old.Node {
						return nil
					}
					ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
					defer cancel()
					return answer(ctx)
				})
				from := w.now()
				limit := deadAfter + 2*watchEvery + takeLimit
				for w.now()-from < limit && !slices.ContainsFunc(nodes, func(n *node) bool { return n != old && n.Own() != nil }) {
					time.Sleep(10 * time.Millisecond)
				}
				is.True(w.now()-from < limit)
			})
		})
	}
}

// A new owner that the store refuses some reads, as it does beyond its rate,
// keeps the work while it tries: were it replaced, the next one would only add
// to the reads, and so on for ever.
func TestNewOwnerKeepsTheWorkWhileItReads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w, nodes, stop := begin(2, 5)
		defer stop()
		ids := w.submitAll(6)
		time.Sleep(300 * time.Millisecond)
		owner(nodes).kill()
		from := w.now()
		w.store.refuse.set(func(_, op string) error {
			if op == "get "+RecordTable && w.now()-from < 4500*time.Millisecond {
				return rows.ErrRefused
			}
			return nil
		})
		time.Sleep(6 * time.Second)
		is.True(owner(nodes) != nil)
		is.Equal(owner(nodes).Own().epoch, int64(2))
		w.await(t, ids, settleLimit)
		is.Equal(w.faults, nil)
	})
}

// An owner that can't read what is stored gives the work up after a while, so
// that another node may try.
func TestOwnerThatCanNotReadIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w, nodes, stop := begin(2, 3)
		defer stop()
		old := owner(nodes)
		var next atomic.Pointer[string]
		w.store.refuse.set(func(who, op string) error {
			if op != "get "+WorkTable || who == "test" {
				return nil
			}
			next.CompareAndSwap(nil, &who)
			if who == *next.Load() {
				return rows.ErrRefused
			}
			return nil
		})
		old.kill()
		ids := w.submitAll(3)
		time.Sleep(rebuildBound + 6*time.Second)
		is.True(owner(nodes) != nil)
		is.True(owner(nodes).Node != *next.Load())
		w.await(t, ids, settleLimit)
		is.Equal(w.faults, nil)
	})
}

// takeLimit bounds the delay of a node of the tests' size before it takes over.
const takeLimit = takeJitter + 2*takeStep*10/4

// Where larger nodes are about, a small one leaves the work to them.
func TestLargerNodesTakeTheWorkFirst(t *testing.T) {
	for seed := range 12 {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := newWorld(2)
				time.Sleep(time.Duration(seed) * 37 * time.Millisecond)
				nodes := w.nodes(context.Background(), 0.8, 0.8, 0.8, 0.2, 0.2, 0.2, 0.2, 0.2)
				defer func() {
					for _, n := range nodes {
						n.kill()
					}
					time.Sleep(15 * time.Second)
				}()
				time.Sleep(3 * settleTime) // the work goes to a large node
				old := owner(nodes)
				is.Equal(old.Cores, 0.8)
				old.kill()
				for owner(nodes) == nil || owner(nodes) == old {
					time.Sleep(5 * time.Millisecond)
				}
				is.Equal(owner(nodes).Cores, 0.8)
				is.Equal(w.faults, nil)
			})
		})
	}
}
