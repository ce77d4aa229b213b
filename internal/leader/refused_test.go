package leader

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"greengageline/internal/rows"
)

// Guards against an owner that reads all accepted work again and again while the store turns its feed away.
func TestRefusedFeedIsNotReplacedByFullReads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		sim, _, stop := startSimulation(2, 1)
		defer stop()
		for i := range 50 {
			sim.submit(fmt.Sprintf("j%d", i), "bulk", smallTasks(1))
		}
		time.Sleep(3 * time.Second)
		var mu sync.Mutex
		calls := map[string]int{}
		sim.store.refuse.set(func(_, op string) error {
			mu.Lock()
			calls[op]++
			mu.Unlock()
			if op == "feed" {
				return rows.ErrRefused
			}
			return nil
		})
		time.Sleep(5 * time.Second)
		mu.Lock()
		t.Logf("in 5 s: %v", calls)
		n := calls["get "+WorkTable]
		mu.Unlock()
		sim.store.refuse.set(nil)
		is.True(n <= 5*3*workPartCount) // all work three times a second
	})
}
