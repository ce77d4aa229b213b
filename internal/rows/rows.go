package rows

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/samber/lo"

	"greengageline/internal/clock"
)

var (
	// ErrConflict means that a condition did not hold and nothing was written.
	ErrConflict = errors.New("row condition failed")
	// ErrRefused means that the store certainly did nothing.
	ErrRefused = errors.New("store refused the call")
	// ErrOutcomeUnknown means that a write may have taken effect, or still may.
	ErrOutcomeUnknown = errors.New("store gave no answer")
	// ErrCompacted means that the store no longer has the history that a feed needs.
	ErrCompacted = errors.New("store history is gone")
)

// Row is one value with the version of its last write; Version 0 means that the row is absent. The store
// runs the transactions of one part one after another, those of different parts concurrently.
type Row struct {
	Table, Part, Key string
	Value            []byte
	Version          uint64
	// Deleted marks a deleted row in a feed.
	Deleted bool
}

// Txn is one atomic transaction: it takes effect as a whole if each row in Conditions still has its Version,
// else nothing is written. Put writes rows, Delete deletes them. All rows must be in one part.
type Txn struct {
	Conditions []Row
	Put        []Row
	Delete     []Row
}

// Page is the result of a read: the rows, and the store's newest version when they were read. More means
// that the range or the feed may have further rows.
type Page struct {
	Rows    []Row
	Version uint64
	More    bool
}

// Next returns the version from which a feed that was read from after goes on. A page that is cut off may end within a
// transaction, whose rows are then read again.
func (p Page) Next(after uint64) uint64 {
	if !p.More || len(p.Rows) == 0 {
		return max(after, p.Version)
	}
	last := p.Rows[len(p.Rows)-1].Version
	if last > after+1 {
		return last - 1
	}
	return max(after, last)
}

// Store is the interface to the platform's store.
type Store struct {
	// Commit runs a transaction and returns its version. Its error wraps ErrConflict (then present holds
	// the current rows of Txn.Conditions), ErrRefused or ErrOutcomeUnknown.
	Commit func(ctx context.Context, txn Txn) (version uint64, present []Row, err error)
	// Range reads rows of a part, up to the store's page limit, from key from on and before key to; an
	// empty to means no upper bound.
	Range func(ctx context.Context, table, part, from, to string) (Page, error)
	// Feed returns the changes of all parts of a table after a version and waits up to wait for the first.
	// Its error may wrap ErrCompacted.
	Feed func(ctx context.Context, table string, after uint64, wait time.Duration) (Page, error)
}

const (
	// maxConcurrentReads bounds the concurrent reads of parts, each of which takes a connection.
	maxConcurrentReads = 8
	// maxPartReads is how often the read of a part is attempted if the store refuses it, as it does above
	// its rate limit. partReadPause lies between attempts, plus as much jitter.
	maxPartReads  = 4
	partReadPause = 60 * time.Millisecond
)

// ReadParts reads several parts of a table concurrently. The page's Version is the oldest at which a part was
// read, so that a feed from there misses nothing.
func (s *Store) ReadParts(ctx context.Context, table string, parts []string) (Page, error) {
	pages, errs := make([]Page, len(parts)), make([]error, len(parts))
	slots := make(chan struct{}, maxConcurrentReads)
	var wg sync.WaitGroup
	for i, part := range parts {
		slots <- struct{}{}
		wg.Add(1)
		go func() {
			defer wg.Done()
			for try := range maxPartReads {
				if try > 0 {
					clock.Sleep(ctx, partReadPause+rand.N(partReadPause))
				}
				if pages[i], errs[i] = s.ReadPart(ctx, table, part); !errors.Is(errs[i], ErrRefused) {
					break
				}
			}
			<-slots
		}()
	}
	wg.Wait()
	if err := errors.Join(errs...); err != nil {
		return Page{}, err
	}
	return lo.Reduce(pages, func(all Page, p Page, i int) Page {
		if i == 0 || p.Version < all.Version {
			all.Version = p.Version
		}
		all.Rows = append(all.Rows, p.Rows...)
		return all
	}, Page{}), nil
}

// ReadPart reads a whole part of a table. The page's Version is that of the first page read, so that a feed from
// there misses nothing.
func (s *Store) ReadPart(ctx context.Context, table, part string) (Page, error) {
	return s.ReadRange(ctx, table, part, "", "")
}

// ReadRange reads the rows of a part from key from on and before key to, over all pages; an empty to means no upper
// bound. The page's Version is that of the first page read.
func (s *Store) ReadRange(ctx context.Context, table, part, from, to string) (Page, error) {
	var all Page
	for first := true; ; first = false {
		p, err := s.Range(ctx, table, part, from, to)
		if err != nil {
			return all, err
		}
		if first {
			all.Version = p.Version
		}
		all.Rows = append(all.Rows, p.Rows...)
		if !p.More || len(p.Rows) == 0 {
			return all, nil
		}
		from = p.Rows[len(p.Rows)-1].Key + "\x00"
	}
}

// firstGetTimeout bounds the first attempt to read one row, if ctx leaves time for a second one. A store that is 80
// times slower than usual answers in 0.4 s.
const firstGetTimeout = 500 * time.Millisecond

// Get reads one row; a missing row has Version 0. The first attempt may be lost on a dead connection, in which case a
// second one follows.
func (s *Store) Get(ctx context.Context, table, part, key string) (Row, error) {
	first, cancel := ctx, func() {}
	if d, ok := ctx.Deadline(); !ok || time.Until(d) > 2*firstGetTimeout {
		first, cancel = context.WithTimeout(ctx, firstGetTimeout)
	}
	r, err := s.get(first, table, part, key)
	cancel()
	if first == ctx || !errors.Is(err, ErrOutcomeUnknown) || ctx.Err() != nil {
		return r, err
	}
	return s.get(ctx, table, part, key)
}

func (s *Store) get(ctx context.Context, table, part, key string) (Row, error) {
	p, err := s.Range(ctx, table, part, key, key+"\x00")
	if err != nil {
		return Row{}, err
	}
	if len(p.Rows) == 0 {
		return Row{Table: table, Part: part, Key: key}, nil
	}
	return p.Rows[0], nil
}
