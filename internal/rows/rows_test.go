package rows

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// Guards against a read of one row that uses up its caller's time on a dead connection, where another attempt would
// have been answered at once.
func TestGetTriesAnotherConnection(t *testing.T) {
	for name, c := range map[string]struct {
		timeout time.Duration // of the caller; 0 means none
		errs    []error       // of the attempts; ErrOutcomeUnknown is a connection that never answers
		want    error
		within  time.Duration
		calls   int
	}{
		"answered":                   {timeout: 3 * time.Second, calls: 1},
		"dead connection":            {timeout: 3 * time.Second, errs: []error{ErrOutcomeUnknown}, calls: 2, within: firstGetTimeout},
		"no deadline":                {errs: []error{ErrOutcomeUnknown}, calls: 2, within: firstGetTimeout},
		"refused":                    {timeout: 3 * time.Second, errs: []error{ErrRefused}, want: ErrRefused, calls: 1},
		"no time for two":            {timeout: firstGetTimeout, errs: []error{ErrOutcomeUnknown}, want: ErrOutcomeUnknown, calls: 1, within: firstGetTimeout},
		"two dead connections":       {timeout: 3 * time.Second, errs: []error{ErrOutcomeUnknown, ErrOutcomeUnknown}, want: ErrOutcomeUnknown, calls: 2, within: 3 * time.Second},
		"refused on the second time": {timeout: 3 * time.Second, errs: []error{ErrOutcomeUnknown, ErrRefused}, want: ErrRefused, calls: 2, within: firstGetTimeout},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				calls := 0
				s := &Store{Range: func(ctx context.Context, table, part, from, _ string) (Page, error) {
					calls++
					if calls > len(c.errs) {
						return Page{Rows: []Row{{Table: table, Part: part, Key: from, Version: 7}}}, nil
					}
					err := c.errs[calls-1]
					if errors.Is(err, ErrOutcomeUnknown) {
						<-ctx.Done()
					}
					return Page{}, err
				}}
				ctx, cancel := context.Background(), func() {}
				if c.timeout > 0 {
					ctx, cancel = context.WithTimeout(ctx, c.timeout)
				}
				defer cancel()
				from := time.Now()
				r, err := s.Get(ctx, "t", "p", "k")
				is.True(errors.Is(err, c.want))
				if c.want == nil {
					is.Equal(r.Version, uint64(7))
				}
				is.Equal(calls, c.calls)
				is.True(time.Since(from) <= c.within)
			})
		})
	}
}

// Guards against rows that a feed skips after a page that was cut off, also within a transaction, whichever version the
// store gives with such a page.
func TestFeedGoesOnAfterCutOffPage(t *testing.T) {
	at := func(versions ...uint64) (out []Row) {
		for _, v := range versions {
			out = append(out, Row{Version: v})
		}
		return out
	}
	for name, c := range map[string]struct {
		page  Page
		after uint64
		want  uint64
	}{
		"whole":                          {Page{Rows: at(4, 5), Version: 9}, 3, 9},
		"nothing changed":                {Page{Version: 9}, 9, 9},
		"an older version":               {Page{Version: 7}, 9, 9},
		"cut off, version of the store":  {Page{Rows: at(4, 5, 6), Version: 90, More: true}, 3, 5},
		"cut off, version of the page":   {Page{Rows: at(4, 5, 6), Version: 6, More: true}, 3, 5},
		"cut off within one transaction": {Page{Rows: at(4, 4, 4), Version: 90, More: true}, 3, 4},
		"cut off without rows":           {Page{Version: 8, More: true}, 3, 8},
	} {
		t.Run(name, func(t *testing.T) { is.New(t).Equal(c.page.Next(c.after), c.want) })
	}
}
