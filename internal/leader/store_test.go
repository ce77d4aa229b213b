package leader

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"greengageline/internal/clock"
	"greengageline/internal/rows"
)

// syncValue is a value that tests change while the simulation runs, such as the setting of a fault. The
// zero value of a fault means none.
type syncValue[T any] struct {
	mu sync.Mutex
	// v is guarded by mu.
	v T
}

func (k *syncValue[T]) set(v T) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.v = v
}

func (k *syncValue[T]) get() T {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.v
}

// fakeStore is a store in memory that can produce the faults of the platform's store.
type fakeStore struct {
	mu      sync.Mutex
	rows    map[string]rows.Row
	history []rows.Row
	version uint64
	changed chan struct{}

	// The faults to produce. refuse is called before each call and returns the error to fail it with; lose
	// is called after a write has taken effect and says whether its answer is lost; late returns after how
	// long a write takes effect whose answer is lost, or 0.
	refuse syncValue[func(node, op string) error]
	lose   syncValue[func(node string) bool]
	late   syncValue[func(node string) time.Duration]
	// silentFeed reports whether a feed that begins now goes over a connection that is dead: it gets no answer.
	silentFeed      syncValue[func(node string) bool]
	callTime        syncValue[time.Duration] // how long each call takes
	compactedBefore uint64                   // history before this version is gone
	// silenced counts how often the open connections have gone silent: feeds in flight then get no answer.
	silenced atomic.Int64
	// txnTime is how long a part takes for a transaction, one after another; partFreeAt is when each part
	// can take the next.
	txnTime    time.Duration
	partFreeAt map[string]time.Time
}

// maxPageRows is the number of rows at which a page is cut off.
const maxPageRows = 500

func newFakeStore() *fakeStore {
	m := &fakeStore{rows: map[string]rows.Row{}, partFreeAt: map[string]time.Time{}, changed: make(chan struct{})}
	m.callTime.set(10 * time.Millisecond)
	return m
}

// client returns the store as a node sees it.
func (m *fakeStore) client(node string) *rows.Store {
	return &rows.Store{
		Commit: func(ctx context.Context, t rows.Txn) (uint64, []rows.Row, error) { return m.commit(ctx, node, t) },
		Range: func(ctx context.Context, table, part, from, to string) (rows.Page, error) {
			return m.getRange(ctx, node, table, part, from, to)
		},
		Feed: func(ctx context.Context, table string, after uint64, wait time.Duration) (rows.Page, error) {
			return m.feed(ctx, node, table, after, wait)
		},
	}
}

func (m *fakeStore) commit(ctx context.Context, node string, t rows.Txn) (uint64, []rows.Row, error) {
	if err := m.admit(ctx, node, "commit"); err != nil {
		return 0, nil, err
	}
	if err := m.waitForPart(ctx, t); err != nil {
		return 0, nil, err
	}
	if late := m.late.get(); late != nil {
		if d := late(node); d > 0 {
			time.AfterFunc(d, func() { m.apply(t) })
			<-ctx.Done()
			return 0, nil, rows.ErrOutcomeUnknown
		}
	}
	v, present, err := m.apply(t)
	if lose := m.lose.get(); err == nil && lose != nil && lose(node) {
		<-ctx.Done()
		return 0, nil, rows.ErrOutcomeUnknown
	}
	return v, present, err
}

// waitForPart waits for the earlier transactions of the same part. If these take more than a second, it
// refuses this one, as the platform's store does.
func (m *fakeStore) waitForPart(ctx context.Context, t rows.Txn) error {
	part := onePart(t)
	m.mu.Lock()
	now := time.Now()
	at := m.partFreeAt[part]
	if at.Before(now) {
		at = now
	}
	if at.Sub(now) > time.Second {
		m.mu.Unlock()
		return rows.ErrRefused
	}
	m.partFreeAt[part] = at.Add(m.txnTime)
	m.mu.Unlock()
	clock.Sleep(context.WithoutCancel(ctx), at.Add(m.txnTime).Sub(now))
	return nil
}

// onePart returns the part of a transaction's rows; it panics if they are in several.
func onePart(t rows.Txn) string {
	parts := map[string]bool{}
	part := ""
	for _, r := range slices.Concat(t.Conditions, t.Put, t.Delete) {
		parts[r.Part], part = true, r.Part
	}
	if len(parts) != 1 {
		panic(fmt.Sprintf("a transaction covers %d parts", len(parts)))
	}
	return part
}

// rowID returns the key of a row in fakeStore.rows.
func rowID(r rows.Row) string { return r.Table + " " + r.Part + " " + r.Key }

// admit applies the faults and the delay that come before a call.
func (m *fakeStore) admit(ctx context.Context, node, op string) error {
	if refuse := m.refuse.get(); refuse != nil {
		if err := refuse(node, op); err != nil {
			return err
		}
	}
	clock.Sleep(ctx, m.callTime.get())
	if ctx.Err() != nil {
		return rows.ErrOutcomeUnknown
	}
	return nil
}

// apply runs a transaction at once, without faults.
func (m *fakeStore) apply(t rows.Txn) (uint64, []rows.Row, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var present []rows.Row
	ok := true
	for _, c := range t.Conditions {
		r := m.rows[rowID(c)]
		r.Table, r.Part, r.Key = c.Table, c.Part, c.Key
		present = append(present, r)
		ok = ok && r.Version == c.Version
	}
	if !ok {
		return 0, present, rows.ErrConflict
	}
	m.version++
	for _, p := range t.Put {
		p.Version = m.version
		m.rows[rowID(p)] = p
		m.history = append(m.history, p)
	}
	for _, d := range t.Delete {
		delete(m.rows, rowID(d))
		d.Version, d.Deleted = m.version, true
		m.history = append(m.history, d)
	}
	close(m.changed)
	m.changed = make(chan struct{})
	return m.version, nil, nil
}

func (m *fakeStore) getRange(ctx context.Context, node, table, part, from, to string) (rows.Page, error) {
	if err := m.admit(ctx, node, "get "+table); err != nil {
		return rows.Page{}, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	page := rows.Page{Version: m.version}
	for _, r := range m.rows {
		if r.Table == table && r.Part == part && r.Key >= from && (to == "" || r.Key < to) {
			page.Rows = append(page.Rows, r)
		}
	}
	slices.SortFunc(page.Rows, func(a, b rows.Row) int { return strings.Compare(a.Key, b.Key) })
	if len(page.Rows) > maxPageRows {
		page.Rows, page.More = page.Rows[:maxPageRows], true
	}
	return page, nil
}

func (m *fakeStore) feed(ctx context.Context, node, table string, after uint64, wait time.Duration) (rows.Page, error) {
	deadline := time.Now().Add(wait)
	silenced := m.silenced.Load()
	if silent := m.silentFeed.get(); silent != nil && silent(node) {
		<-ctx.Done()
		return rows.Page{}, rows.ErrOutcomeUnknown
	}
	for {
		if m.silenced.Load() != silenced {
			<-ctx.Done()
			return rows.Page{}, rows.ErrOutcomeUnknown
		}
		if err := m.admit(ctx, node, "feed"); err != nil {
			return rows.Page{}, err
		}
		m.mu.Lock()
		if after < m.compactedBefore {
			m.mu.Unlock()
			return rows.Page{}, rows.ErrCompacted
		}
		page := rows.Page{Version: m.version}
		for _, r := range m.history {
			if r.Table == table && r.Version > after && len(page.Rows) < maxPageRows {
				page.Rows = append(page.Rows, r)
			}
		}
		page.More = len(page.Rows) == maxPageRows
		changed := m.changed
		m.mu.Unlock()
		left := time.Until(deadline)
		if len(page.Rows) > 0 || left <= 0 {
			return page, nil
		}
		timer := time.NewTimer(left)
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
			return rows.Page{}, rows.ErrOutcomeUnknown
		}
		timer.Stop()
	}
}
