package relay

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"greengageline/internal/orders"
)

// Pattern: many streams with orders for very many workers. Guards against a carrier that has more orders in hand than it has
// descriptors, or remembers all workers, and against an owner whose stream finds no place.
func TestCarrierBoundsOrdersOfAllStreams(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const most = 10
		var now, inHand, highest, forgotten atomic.Int64
		hold := func(ctx context.Context, _ orders.Entry, _ orders.Hold) (orders.HoldReply, error) {
			highest.Store(max(highest.Load(), inHand.Add(1)))
			defer inHand.Add(-1)
			<-ctx.Done()
			return orders.HoldReply{}, ctx.Err()
		}
		c := &Carrier{
			Fleet:     &orders.Fleet{Hold: hold, Forget: func(orders.Entry) { forgotten.Add(1) }},
			Now:       func() time.Duration { return time.Duration(now.Add(int64(time.Microsecond))) },
			MaxOrders: most,
		}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		ended := make([]atomic.Bool, 2*maxStreams)
		var streams sync.WaitGroup
		for i := range ended {
			sent := false
			streams.Go(func() {
				_ = c.Serve(ctx, Sink{
					Recv: func(b *Batch) error {
						if sent {
							<-ctx.Done()
							return ctx.Err()
						}
						sent = true
						for n := range 100 {
							b.Orders = append(b.Orders, Order{
								N: uint64(n), Kind: HoldKind, Worker: fmt.Sprintf("w%d-%d", i, n), Addr: "a", TimeoutMs: 1000,
							})
						}
						return nil
					},
					Send: func(*Answers) error { return nil },
				})
				ended[i].Store(true)
			})
			time.Sleep(time.Millisecond)
		}
		time.Sleep(10 * time.Second)
		for i := range ended {
			is.Equal(ended[i].Load(), i < maxStreams) // the later streams are served
		}
		is.Equal(highest.Load(), int64(most))
		is.True(len(c.workers) <= most)
		is.True(forgotten.Load() > 0)
		cancel()
		streams.Wait()
		is.Equal(len(c.streams), 0)
	})
}
