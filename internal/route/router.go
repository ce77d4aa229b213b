package route

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"
)

// Node is a live node as a possible home.
type Node struct {
	Name      string
	FreeSlots int
}

// Rank returns the names in rendezvous order for a key: the first should have
// it, the next follows when the first is gone.
func Rank(key string, names []string) []string {
	out := slices.Clone(names)
	slices.SortFunc(out, func(a, b string) int {
		x, y := xxhash.Sum64String(key+"\x00"+a), xxhash.Sum64String(key+"\x00"+b)
		switch {
		case x > y:
			return -1
		case x < y:
			return 1
		}
		return 0
	})
	return out
}

// Budget limits retries to a part of first tries; the zero value allows none.
type Budget struct {
	// Percent is how many retries each hundred first tries earn.
	Percent int

	mu sync.Mutex
	// credit is guarded by mu, in hundredths of a retry.
	credit int
}

// maxCredit keeps a quiet time from saving up a storm of retries.
const maxCredit = 100 * 100

// Earn counts a first try.
func (b *Budget) Earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.credit = min(b.credit+b.Percent, maxCredit)
}

// Spend takes one retry and reports whether there was one.
func (b *Budget) Spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.credit < 100 {
		return false
	}
	b.credit -= 100
	return true
}

// Router picks homes and retries.
type Router struct {
	Budget *Budget
	// Homes lists the live nodes with the free slots they last reported.
	Homes func() []Node
	// Send passes the request to a home and returns the target that was tried.
	// Its error wraps ErrMayHaveRun unless the request certainly did not run.
	Send func(ctx context.Context, home string, avoid []string) (target string, err error)
	// Note is told of each routing decision.
	Note func(home, reason string, try int)
}

// errNoHome means that no node is a home; it is never seen outside.
var errNoHome = errors.New("no live home node")

// Do routes one request: idempotent ones may be retried at another home within
// the budget and ctx, others only while they certainly did not run.
func (r *Router) Do(ctx context.Context, idempotent bool) error {
	r.Budget.Earn()
	var tried, avoid []string
	for try := 0; ; try++ {
		home, reason, err := r.pick(tried)
		if err != nil {
			return fmt.Errorf("%w: %w", ErrNoSlot, err)
		}
		r.Note(home, reason, try)
		target, err := r.Send(ctx, home, avoid)
		if err == nil {
			return nil
		}
		tried = append(tried, home)
		if target != "" {
			avoid = append(avoid, target)
		}
		ran := errors.Is(err, ErrMayHaveRun)
		if ran && !idempotent || ctx.Err() != nil || len(tried) >= len(r.Homes()) {
			return err
		}
		if ran && !r.Budget.Spend() {
			return fmt.Errorf("retry budget is used up: %w", err)
		}
	}
}

// pick takes the better of two random homes that were not tried.
func (r *Router) pick(tried []string) (home, reason string, err error) {
	var able []Node
	for _, n := range r.Homes() {
		if !slices.Contains(tried, n.Name) {
			able = append(able, n)
		}
	}
	switch len(able) {
	case 0:
		return "", "", errNoHome
	case 1:
		return able[0].Name, "the only home left", nil
	}
	i := rand.N(len(able))
	j := (i + 1 + rand.N(len(able)-1)) % len(able)
	a, b := able[i], able[j]
	if a.FreeSlots < b.FreeSlots {
		a, b = b, a
	}
	return a.Name, fmt.Sprintf("%d free slots against %d of %s", a.FreeSlots, b.FreeSlots, b.Name), nil
}
