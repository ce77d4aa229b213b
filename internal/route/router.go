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

// Node is a live node as a candidate home node.
type Node struct {
	Name      string
	FreeSlots int
}

// Rank returns the names in rendezvous order for a key. The first one is responsible for the
// key, and the next one takes over when the first is gone.
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

// Budget limits retries to a percentage of first attempts. The zero value allows none.
type Budget struct {
	// Percent is how many retries are earned per hundred first attempts.
	Percent int

	mu sync.Mutex
	// credit is in hundredths of a retry and guarded by mu.
	credit int
}

// maxCredit limits the saved credit to 100 retries, so that a quiet period does not permit a
// burst of retries.
const maxCredit = 100 * 100

// Earn adds the credit for one first attempt.
func (b *Budget) Earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.credit = min(b.credit+b.Percent, maxCredit)
}

// Spend uses up one retry and reports whether one was available.
func (b *Budget) Spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.credit < 100 {
		return false
	}
	b.credit -= 100
	return true
}

// Router chooses home nodes and retries failed requests. All fields must be set.
type Router struct {
	Budget *Budget
	// Homes returns the live nodes with the free slots that they last reported.
	Homes func() []Node
	// Send passes the request to a home node and returns the target that was tried. Its error
	// wraps ErrMayHaveRun unless the request certainly did not run.
	Send func(ctx context.Context, home string, avoid []string) (target string, err error)
	// OnRoute is called before each attempt with the chosen home node and the reason for the
	// choice; try is 0 for the first.
	OnRoute func(home, reason string, try int)
}

// errNoHome means that no untried live node is left. Do returns it wrapped together with
// ErrNoSlot.
var errNoHome = errors.New("no live home node")

// Do routes one request. An idempotent request may be retried at another home node while the
// budget and ctx allow it. Any other is retried only while it certainly did not run.
func (r *Router) Do(ctx context.Context, idempotent bool) error {
	r.Budget.Earn()
	var tried, avoid []string
	for try := 0; ; try++ {
		home, reason, err := r.pickHome(tried)
		if err != nil {
			return fmt.Errorf("%w: %w", ErrNoSlot, err)
		}
		r.OnRoute(home, reason, try)
		target, err := r.Send(ctx, home, avoid)
		if err == nil {
			return nil
		}
		tried = append(tried, home)
		if target != "" {
			avoid = append(avoid, target)
		}
		mayHaveRun := errors.Is(err, ErrMayHaveRun)
		if mayHaveRun && !idempotent || ctx.Err() != nil || len(tried) >= len(r.Homes()) {
			return err
		}
		if mayHaveRun && !r.Budget.Spend() {
			return fmt.Errorf("retry budget is used up: %w", err)
		}
	}
}

// pickHome chooses the home node with more free slots out of two random ones that were not
// tried.
func (r *Router) pickHome(tried []string) (home, reason string, err error) {
	var candidates []Node
	for _, n := range r.Homes() {
		if !slices.Contains(tried, n.Name) {
			candidates = append(candidates, n)
		}
	}
	switch len(candidates) {
	case 0:
		return "", "", errNoHome
	case 1:
		return candidates[0].Name, "only one untried home node left", nil
	}
	i := rand.N(len(candidates))
	j := (i + 1 + rand.N(len(candidates)-1)) % len(candidates)
	a, b := candidates[i], candidates[j]
	if a.FreeSlots < b.FreeSlots {
		a, b = b, a
	}
	return a.Name, fmt.Sprintf("%d free slots, compared with %d of %s", a.FreeSlots, b.FreeSlots, b.Name), nil
}
