package rows

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// sharedLink carries rate bytes a second, which the messages on it share.
type sharedLink struct {
	rate, sent float64
	mu         sync.Mutex
	active     int // guarded by mu
}

func (l *sharedLink) carry(ctx context.Context, n int) error {
	l.mu.Lock()
	l.active++
	l.mu.Unlock()
	defer func() {
		l.mu.Lock()
		l.active--
		l.mu.Unlock()
	}()
	const step = 5 * time.Millisecond
	for left := float64(n); left > 0; {
		select {
		case <-ctx.Done():
			return ErrOutcomeUnknown
		case <-time.After(step):
		}
		l.mu.Lock()
		part := l.rate * step.Seconds() / float64(l.active)
		l.sent += part
		l.mu.Unlock()
		left -= part
	}
	return nil
}

// Guards against transactions that never get through a narrow link, since copies of them share it.
func TestLargeTransactionPassesNarrowLink(t *testing.T) {
	for name, size := range map[string]int{"0.4 s": 100_000, "0.8 s": 200_000, "1.6 s": 400_000} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				l := &sharedLink{rate: 250_000}
				row := Row{Table: "t", Key: "k", Version: 1}
				s := &Store{
					Commit: func(ctx context.Context, txn Txn) (uint64, []Row, error) {
						if err := l.carry(ctx, len(txn.Put[0].Value)); err != nil {
							return 0, nil, err
						}
						return 2, nil, nil
					},
					Range: func(context.Context, string, string, string, string) (Page, error) {
						time.Sleep(20 * time.Millisecond)
						return Page{Rows: []Row{row}, Version: 1}, nil
					},
				}
				ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
				defer cancel()
				from := time.Now()
				// As the owner does.
				_, _, err := s.CommitKnown(ctx, Txn{Put: []Row{{Table: "t", Key: "k", Value: make([]byte, size)}}}, Probe{
					Row: row, Applied: func(Row) bool { return false }, After: 100 * time.Millisecond, Resend: 250 * time.Millisecond, Timeout: 2500 * time.Millisecond,
				})
				t.Logf("took %s, sent %.0f bytes for %d", time.Since(from), l.sent, size)
				is.NoErr(err)
				is.True(l.sent < 1.5*float64(size))
			})
		})
	}
}
