package lead

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"greengageline/internal/clock"
	"greengageline/internal/rows"
)

// knob is a fault's switch, which tests turn while the world runs; the zero value
// is off.
type knob[T any] struct {
	mu sync.Mutex
	// v is guarded by mu.
	v T
}

func (k *knob[T]) set(v T) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.v = v
}

func (k *knob[T]) get() T {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.v
}

// memStore is a store in memory with the faults that the platform's has.
type memStore struct {
	mu      sync.Mutex
	rows    map[string]rows.Row
	log     []rows.Row
	version uint64
	changed chan struct{}

	// The seams for faults; nil means none. refuse is asked before a call,
	// lose after a write has been done, late before one whose answer is lost
	// and that is done after the returned time.
	refuse knob[func(who, op string) error]
	lose   knob[func(who string) bool]
	late   knob[func(who string) time.Duration]
	took   knob[time.Duration]
	floor  uint64 // history before this version is gone
	// each is the time that a part takes for a transaction, one after another;
	// free is when each part can take the next.
	each time.Duration
	free map[string]time.Time
}

func newMemStore() *memStore {
	m := &memStore{rows: map[string]rows.Row{}, free: map[string]time.Time{}, changed: make(chan struct{})}
	m.took.set(10 * time.Millisecond)
	return m
}

// view returns the store as the node who sees it.
func (m *memStore) view(who string) *rows.Store {
	return &rows.Store{
		Commit: func(ctx context.Context, t rows.Txn) (uint64, []rows.Row, error) { return m.commit(ctx, who, t) },
		Range: func(ctx context.Context, table, part, from, to string) (rows.Page, error) {
			return m.get(ctx, who, table, part, from, to)
		},
		Feed: func(ctx context.Context, table string, after uint64, wait time.Duration) (rows.Page, error) {
			return m.feed(ctx, who, table, after, wait)
		},
	}
}

func (m *memStore) commit(ctx context.Context, who string, t rows.Txn) (uint64, []rows.Row, error) {
	if err := m.asked(ctx, who, "commit"); err != nil {
		return 0, nil, err
	}
	if err := m.inTurn(ctx, t); err != nil {
		return 0, nil, err
	}
	if late := m.late.get(); late != nil {
		if d := late(who); d > 0 {
			time.AfterFunc(d, func() { m.apply(t) })
			<-ctx.Done()
			return 0, nil, rows.ErrUnclear
		}
	}
	v, present, err := m.apply(t)
	if lose := m.lose.get(); err == nil && lose != nil && lose(who) {
		<-ctx.Done()
		return 0, nil, rows.ErrUnclear
	}
	return v, present, err
}

// inTurn waits for the transactions of the same part before this one; if more
// than a second of them wait it is refused, as the platform's store does.
func (m *memStore) inTurn(ctx context.Context, t rows.Txn) error {
	part := onePart(t)
	m.mu.Lock()
	now := time.Now()
	at := m.free[part]
	if at.Before(now) {
		at = now
	}
	if at.Sub(now) > time.Second {
		m.mu.Unlock()
		return rows.ErrRefused
	}
	m.free[part] = at.Add(m.each)
	m.mu.Unlock()
	clock.Sleep(context.WithoutCancel(ctx), at.Add(m.each).Sub(now))
	return nil
}

// onePart returns the part of a transaction's rows, which must be one.
func onePart(t rows.Txn) string {
	parts := map[string]bool{}
	part := ""
	for _, r := range slices.Concat(t.If, t.Put, t.Drop) {
		parts[r.Part], part = true, r.Part
	}
	if len(parts) != 1 {
		panic(fmt.Sprintf("a transaction covers %d parts", len(parts)))
	}
	return part
}

func nameOf(r rows.Row) string { return r.Table + " " + r.Part + " " + r.Key }

func (m *memStore) asked(ctx context.Context, who, op string) error {
	if refuse := m.refuse.get(); refuse != nil {
		if err := refuse(who, op); err != nil {
			return err
		}
	}
	clock.Sleep(ctx, m.took.get())
	if ctx.Err() != nil {
		return rows.ErrUnclear
	}
	return nil
}

func (m *memStore) apply(t rows.Txn) (uint64, []rows.Row, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var present []rows.Row
	ok := true
	for _, c := range t.If {
		r := m.rows[nameOf(c)]
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
		m.rows[nameOf(p)] = p
		m.log = append(m.log, p)
	}
	for _, d := range t.Drop {
		delete(m.rows, nameOf(d))
		d.Version, d.Gone = m.version, true
		m.log = append(m.log, d)
	}
	close(m.changed)
	m.changed = make(chan struct{})
	return m.version, nil, nil
}

func (m *memStore) get(ctx context.Context, who, table, part, from, to string) (rows.Page, error) {
	if err := m.asked(ctx, who, "get "+table); err != nil {
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
	return page, nil
}

func (m *memStore) feed(ctx context.Context, who, table string, after uint64, wait time.Duration) (rows.Page, error) {
	deadline := time.Now().Add(wait)
	for {
		if err := m.asked(ctx, who, "feed"); err != nil {
			return rows.Page{}, err
		}
		m.mu.Lock()
		if after < m.floor {
			m.mu.Unlock()
			return rows.Page{}, rows.ErrCompacted
		}
		page := rows.Page{Version: m.version}
		for _, r := range m.log {
			if r.Table == table && r.Version > after {
				page.Rows = append(page.Rows, r)
			}
		}
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
			return rows.Page{}, rows.ErrUnclear
		}
		timer.Stop()
	}
}
