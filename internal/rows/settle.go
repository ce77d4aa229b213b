package rows

import (
	"context"
	"errors"
	"fmt"
	"time"
)

const (
	// defaultProbeAfter is the default of Probe.After: some ten times the usual duration of a transaction.
	defaultProbeAfter = 100 * time.Millisecond
	// defaultAttemptTimeout is the default of Probe.Timeout.
	defaultAttemptTimeout = 2500 * time.Millisecond
	// minProbeTimeout bounds the first read of the probed row. It doubles with each later one, up to
	// maxProbeTimeout; a store that is 80 times slower than usual answers in a third of that.
	minProbeTimeout = 200 * time.Millisecond
	maxProbeTimeout = time.Second
	// minRetryPause is the pause between the first attempt that ends without an answer and the read that
	// decides on the next; it doubles with each such attempt, up to maxRetryPause.
	minRetryPause = 50 * time.Millisecond
	maxRetryPause = time.Second
	// maxProbePause bounds the pause between two reads of the probed row, which grows by a tenth each time.
	maxProbePause = 400 * time.Millisecond
	// slowRead is the duration of a read from which the store counts as slow, some 20 times the usual one.
	// While the store is slow, another attempt would only queue behind the first.
	slowRead = 100 * time.Millisecond
	// defaultResend is the default of Probe.Resend: longer than a transaction takes in a store that is 60
	// times slower than usual.
	defaultResend = 600 * time.Millisecond
	// maxAttemptsInFlight and maxProbesInFlight bound the calls of one CommitKnown. A later probe may use
	// another connection than the first.
	maxAttemptsInFlight = 3
	maxProbesInFlight   = 6
)

// Probe tells CommitKnown how to find out whether a transaction has taken effect: by a row that it writes and
// whose version is one of its conditions.
type Probe struct {
	// Row names the row; its Version is the one that the transaction is conditional on.
	Row Row
	// Applied reports whether a stored row was written by this transaction.
	Applied func(stored Row) bool
	// After is how long an attempt may take before the row is read; 0 means 100 ms.
	After time.Duration
	// Resend is how long an attempt may be in flight before another is sent beside it, if the condition still
	// holds then: the part may have other transactions to run first. 0 means 600 ms.
	Resend time.Duration
	// Timeout bounds one attempt; 0 means 2.5 s.
	Timeout time.Duration
	// Answered, if set, is called with the results of attempts, and with those of reads that were answered.
	Answered func(err error)
}

// attemptResult is the result of one attempt to commit.
type attemptResult struct {
	version uint64
	present []Row
	err     error
}

// probeResult is the result of one read of the probed row.
type probeResult struct {
	row  Row
	took time.Duration
	err  error
}

// settlement is the state of one CommitKnown. One goroutine owns it; calls report through the channels.
type settlement struct {
	store    *Store
	txn      Txn
	probe    Probe
	ctx      context.Context //nolint:containedctx // ends the calls in flight when the outcome is known
	attempts chan attemptResult
	probes   chan probeResult

	attemptsInFlight, probesInFlight int
	// probeTimeout is the timeout of the next read of the probed row.
	probeTimeout time.Duration
	// attemptedAt is when the last attempt was sent.
	attemptedAt time.Time
	// unclear is set once an attempt has ended without an answer.
	unclear bool
	lastErr error
}

// CommitKnown runs a transaction until its outcome is known. An attempt without an answer may have taken
// effect, or may still do so; the probed row tells which, and the transaction is sent again unchanged only if
// its condition still holds, so that at most one attempt takes effect. The error wraps ErrConflict (present
// then holds current rows), ErrRefused if nothing was written, or ErrOutcomeUnknown once ctx has ended.
func (s *Store) CommitKnown(ctx context.Context, txn Txn, p Probe) (version uint64, present []Row, err error) {
	if p.After == 0 {
		p.After = defaultProbeAfter
	}
	if p.Resend == 0 {
		p.Resend = defaultResend
	}
	if p.Timeout == 0 {
		p.Timeout = defaultAttemptTimeout
	}
	// Copies of a large transaction share the link, so that none of them might get through in time.
	transit := txn.transitTime()
	p.Resend += transit
	p.Timeout += transit
	callCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	c := &settlement{
		store: s, txn: txn, probe: p, ctx: callCtx, probeTimeout: minProbeTimeout,
		attempts: make(chan attemptResult, maxAttemptsInFlight), probes: make(chan probeResult, maxProbesInFlight),
	}
	r := c.run(ctx)
	return r.version, r.present, r.err
}

// slowLinkRate is the rate in bytes a second that a transaction is given on its way: half of the slowest link of the
// users' deployments, 2 Mbit/s.
const slowLinkRate = 125_000

// transitTime returns how long the transaction takes on a slow link.
func (t *Txn) transitTime() time.Duration {
	n := 0
	for _, r := range t.Put {
		n += len(r.Value) * 4 / 3 // in base64
	}
	return time.Duration(n) * time.Second / slowLinkRate
}

// run sends attempts and probes until the outcome is known or ctx ends.
func (c *settlement) run(ctx context.Context) attemptResult {
	c.attempt()
	pause, retryPause := c.probe.After, minRetryPause
	timer := time.NewTimer(pause)
	defer timer.Stop()
	for {
		select {
		case r := <-c.attempts:
			c.attemptsInFlight--
			if known, ok := c.handleAttempt(r); ok {
				return known
			}
			if c.attemptsInFlight == 0 {
				timer.Reset(retryPause)
				retryPause = min(2*retryPause, maxRetryPause)
			}
		case r := <-c.probes:
			c.probesInFlight--
			if known, ok := c.handleProbe(r); ok {
				return known
			}
		case <-timer.C:
			c.readProbe()
			timer.Reset(pause)
			pause = min(pause*11/10, maxProbePause)
		case <-ctx.Done():
			return c.interrupted(ctx.Err())
		}
	}
}

// interrupted returns the result when ctx has ended first.
func (c *settlement) interrupted(err error) attemptResult {
	if c.lastErr != nil {
		err = fmt.Errorf("%w: %w", err, c.lastErr)
	}
	return attemptResult{err: fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)}
}

// attempt sends the transaction, unless too many attempts are in flight.
func (c *settlement) attempt() {
	if c.attemptsInFlight == maxAttemptsInFlight {
		return
	}
	c.attemptsInFlight++
	c.attemptedAt = time.Now()
	go func() {
		ctx, cancel := context.WithTimeout(c.ctx, c.probe.Timeout)
		defer cancel()
		version, present, err := c.store.Commit(ctx, c.txn)
		c.attempts <- attemptResult{version, present, err}
	}()
}

// readProbe reads the probed row, unless too many reads are in flight.
func (c *settlement) readProbe() {
	if c.probesInFlight == maxProbesInFlight {
		return
	}
	c.probesInFlight++
	limit := c.probeTimeout
	c.probeTimeout = min(2*limit, maxProbeTimeout)
	go func() {
		ctx, cancel := context.WithTimeout(c.ctx, limit)
		defer cancel()
		sent := time.Now()
		row, err := c.store.Get(ctx, c.probe.Row.Table, c.probe.Row.Part, c.probe.Row.Key)
		c.probes <- probeResult{row, time.Since(sent), err}
	}()
}

// handleAttempt returns the outcome if the result of an attempt settles it.
func (c *settlement) handleAttempt(r attemptResult) (attemptResult, bool) {
	c.answered(r.err)
	switch {
	case r.err == nil:
		return r, true
	case errors.Is(r.err, ErrConflict):
		for _, row := range r.present {
			if c.isProbed(row) && c.probe.Applied(row) {
				return attemptResult{version: row.Version}, true
			}
		}
		return r, true
	case errors.Is(r.err, ErrRefused):
		// While another attempt may take effect, a refusal of this one settles nothing.
		return r, !c.unclear && c.attemptsInFlight == 0
	}
	c.unclear = true
	return r, false
}

// handleProbe returns the outcome if the probed row settles it. If the transaction's condition still holds and
// the store is not slow, it sends another attempt.
func (c *settlement) handleProbe(r probeResult) (attemptResult, bool) {
	if r.err == nil || errors.Is(r.err, ErrRefused) {
		c.answered(r.err) // a read that took too long may only have been given too little time
	}
	switch {
	case r.err != nil:
	case r.row.Version == c.probe.Row.Version:
		if c.attemptsInFlight == 0 || r.took < slowRead && time.Since(c.attemptedAt) >= c.probe.Resend {
			c.attempt()
		}
	case c.probe.Applied(r.row):
		return attemptResult{version: r.row.Version}, true
	default:
		return attemptResult{present: []Row{r.row}, err: ErrConflict}, true
	}
	return attemptResult{}, false
}

// answered records the result of a call and passes it on.
func (c *settlement) answered(err error) {
	if err != nil && !errors.Is(err, ErrConflict) {
		c.lastErr = err
	}
	if c.probe.Answered != nil {
		c.probe.Answered(err)
	}
}

func (c *settlement) isProbed(r Row) bool {
	p := c.probe.Row
	return r.Table == p.Table && r.Part == p.Part && r.Key == p.Key
}
