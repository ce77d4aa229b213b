package edge

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"greengageline/internal/event"
	"greengageline/internal/leader"
	"greengageline/internal/peer"
	"greengageline/internal/rows"
	"greengageline/pkg/model"
)

// Op is the operation that a caller requests.
type Op string

// The operations. CountUnstarted returns the number of a queue's jobs of which no task has started.
const (
	Submit         Op = "submit"
	State          Op = "look"
	Cancel         Op = "cancel"
	CountUnstarted Op = "count"
)

// Call is one request of a caller. It is also the message in which a node passes the request
// to another node.
type Call struct {
	Op   Op     `json:"op"`
	Host string `json:"host"`
	Path string `json:"path"`
	Key  string `json:"key,omitempty"`
	// CallerTimeout is how long the caller waits in all; 0 means that it is not known.
	CallerTimeout time.Duration `json:"waits,omitempty"`
	// Work is the job to submit; its ID is taken from Path.
	Work model.Work `json:"work"`
}

// Reply is the answer to a Call.
type Reply struct {
	Look  leader.JobState `json:"look"`
	Count int             `json:"count,omitempty"`
	// Found reports whether the cancelled job is known.
	Found bool `json:"found,omitempty"`
	// Code and Message are the error if another node served the call; Code is empty on
	// success.
	Code    string `json:"code,omitempty"`
	Message string `json:"message,omitempty"`
}

// errorsByCode maps the error codes exchanged between nodes to errors.
var errorsByCode = map[string]error{
	"no-queue": ErrNoQueue, "key": ErrUnknownKey, "not-ready": ErrNotReady, "busy": ErrBusy, "full": ErrFull,
	"unclear": ErrOutcomeUnknown, "invalid": model.ErrInvalid,
}

func errorCode(err error) string {
	for code, e := range errorsByCode {
		if errors.Is(err, e) {
			return code
		}
	}
	return "unclear"
}

const (
	// relayDelay is how long the local write may take before the owner is asked to do the
	// same. It is about ten times the store's usual response time. If the last write took
	// long, the store is slow for all nodes and a second write would only queue behind the
	// first. The delay is then relayDelayFactor times the duration of that write, at most
	// maxRelayDelay.
	relayDelay       = 150 * time.Millisecond
	relayDelayFactor = 2
	maxRelayDelay    = time.Second
	// askOwnerTimeout limits a query to the owner before the store is read instead.
	askOwnerTimeout = 350 * time.Millisecond
)

// Serve serves a call. An error that wraps ErrNotReady, ErrBusy or ErrFull guarantees that nothing was
// written; after ErrOutcomeUnknown the write may have taken effect.
//
// Each write is conditional on the absence of its own row, so it can be attempted here and
// through the owner at the same time. A node that the store refuses or does not answer can
// therefore still serve its callers.
func (n *Node) Serve(ctx context.Context, c Call) (Reply, error) {
	began := n.now()
	reply, err := n.serve(ctx, c)
	outcome := "done"
	if err != nil {
		outcome = errorCode(err)
	}
	n.Meter.Call(string(c.Op), outcome, n.now()-began)
	return reply, err
}

// CheckCaller returns the error with which Serve would refuse c for its queue or its key, so that its job need not be
// read. It returns nil if the plan is not fresh and another node may decide.
func (n *Node) CheckCaller(c Call) error {
	_, err := n.authorize(c.Host, c.Path, c.Key)
	if err == nil || errors.Is(err, ErrNotReady) && n.planConfirmedAt.Load() != 0 {
		return nil
	}
	n.Meter.Call(string(c.Op), errorCode(err), 0)
	return err
}

func (n *Node) serve(ctx context.Context, c Call) (Reply, error) {
	g, err := n.authorize(c.Host, c.Path, c.Key)
	if err != nil && !errors.Is(err, ErrNotReady) {
		return Reply{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, requestTimeout(c.CallerTimeout, g.Queue))
	defer cancel()
	switch {
	case err != nil:
		if n.planConfirmedAt.Load() == 0 {
			return Reply{}, err
		}
		// The owner checks the key against its own plan, and refuses if that plan is stale
		// too.
		reply, relayErr := n.relay(ctx, c)
		if errors.Is(relayErr, ErrNotReady) {
			relayErr = err
		}
		return n.logRefusal(c, g, reply, relayErr)
	case c.Op == State || c.Op == CountUnstarted:
		if reply, err := n.askOwner(ctx, c); err == nil {
			return reply, nil
		}
		reply, err := n.serveLocal(ctx, c, g)
		return n.logRefusal(c, g, reply, err)
	}
	if n.storeFailing.Load() {
		// A write that the store may not answer would leave the outcome unknown. Without
		// sending it, the call can be refused at once.
		reply, err := n.relay(ctx, c)
		return n.logRefusal(c, g, reply, err)
	}
	reply, err := n.serveLocalAndRelay(ctx, c, g)
	return n.logRefusal(c, g, reply, err)
}

// logRefusal logs err if it is not nil, and returns reply and err unchanged.
func (n *Node) logRefusal(c Call, g Grant, reply Reply, err error) (Reply, error) {
	if err != nil {
		n.Log.Emit(event.WorkRefused).Str("op", string(c.Op)).Str("path", c.Path).Str("queue", g.Queue.Name).
			Uint64("plan", n.Plan().Version).Err(err).Send()
	}
	return reply, err
}

// askOwner has the owner answer a query. It returns ErrNotReady if this node is the owner.
func (n *Node) askOwner(ctx context.Context, c Call) (Reply, error) {
	if n.Candidate.LocalOwner() != nil {
		return Reply{}, ErrNotReady
	}
	ctx, cancel := context.WithTimeout(ctx, askOwnerTimeout)
	defer cancel()
	return n.relay(ctx, c)
}

// serveLocal serves a call at this node.
func (n *Node) serveLocal(ctx context.Context, c Call, g Grant) (Reply, error) {
	id := strings.TrimPrefix(c.Path, g.Queue.Prefix)
	var r Reply
	var err error
	if (c.Op == State || c.Op == Cancel) && !model.IsWorkID(id) {
		return r, nil // there can be no such job
	}
	switch c.Op {
	case Submit:
		c.Work.ID = id
		err = n.submit(ctx, g, c.Work)
	case State:
		r.Look, err = n.look(ctx, id)
	case Cancel:
		r.Found, err = n.cancel(ctx, id)
	case CountUnstarted:
		r.Count, err = n.countUnstarted(ctx, g.Queue.Name)
	default:
		err = fmt.Errorf("operation %q: %w", c.Op, model.ErrInvalid)
	}
	return r, err
}

// result is the outcome of one attempt to serve a call.
type result struct {
	reply Reply
	err   error
}

// serveLocalAndRelay serves a write here, and also through the owner if the local attempt
// fails or takes long. One success is enough. It returns an error only when no attempt is
// pending, and returns the one that gives the least certainty. An invalid request is returned
// at once.
func (n *Node) serveLocalAndRelay(ctx context.Context, c Call, g Grant) (Reply, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan result, 2)
	go func() {
		r, err := n.serveLocal(ctx, c, g)
		results <- result{r, err}
	}()
	timer := time.NewTimer(min(max(relayDelay, relayDelayFactor*time.Duration(n.lastWriteTook.Load())), maxRelayDelay))
	defer timer.Stop()
	pending, relayStarted := 1, n.Candidate.LocalOwner() != nil
	startRelay := func() {
		if relayStarted {
			return
		}
		relayStarted = true
		pending++
		go func() {
			r, err := n.relay(ctx, c)
			results <- result{r, err}
		}()
	}
	var leastCertain error
	for {
		select {
		case <-timer.C:
			startRelay()
		case o := <-results:
			pending--
			if o.err == nil || errors.Is(o.err, model.ErrInvalid) {
				return o.reply, o.err
			}
			leastCertain = lessCertain(leastCertain, o.err)
			startRelay()
			if pending == 0 {
				return Reply{}, leastCertain
			}
		}
	}
}

// lessCertain returns the error that says less about the outcome: one that wraps ErrOutcomeUnknown,
// else the first that is not nil.
func lessCertain(a, b error) error {
	if a == nil || !errors.Is(a, ErrOutcomeUnknown) && errors.Is(b, ErrOutcomeUnknown) {
		return b
	}
	return a
}

const (
	// notifyTimeout limits one attempt to notify the owner of a row, which also reaches it through its feed.
	notifyTimeout = 350 * time.Millisecond
	// maxNotifyTries limits the attempts: an open connection may be dead, and the second attempt dials.
	maxNotifyTries = 2
)

// noteRequest is a row of WorkTable that was just stored: a job or a cancellation.
type noteRequest struct {
	// ID is the row's key.
	ID string `json:"id"`
	// Work is the row's value.
	Work []byte `json:"work"`
	// Version is the row's version.
	Version uint64 `json:"version"`
}

// Check returns an error that wraps model.ErrInvalid if there can be no such row.
func (r *noteRequest) Check() error {
	if len(r.Work) > maxWorkBytes || !model.IsWorkID(strings.TrimSuffix(r.ID, leader.CancelSuffix)) {
		return fmt.Errorf("note of a row of %d bytes for the job %.100q: %w", len(r.Work), r.ID, model.ErrInvalid)
	}
	return nil
}

// notifyOwner notifies the owner of a job or a cancellation that was just stored. The owner's feed may be slow, or may
// wait on a dead connection.
func (n *Node) notifyOwner(row rows.Row) {
	for range maxNotifyTries {
		addr := n.Candidate.OwnerAddr()
		if addr == "" || addr == n.Candidate.Addr {
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), notifyTimeout)
		var out struct{}
		err := n.call(ctx, addr, "Note", &noteRequest{ID: row.Key, Work: row.Value, Version: row.Version}, &out)
		cancel()
		if err == nil {
			return
		}
		// If no attempt succeeds, the owner learns of the row from its feed.
	}
}

// handleNote passes a row that another node has stored to the owner, if it runs on this node.
func (n *Node) handleNote(_ context.Context, in *noteRequest) (*struct{}, error) {
	if o := n.Candidate.LocalOwner(); o != nil {
		o.ApplyAccepted(rows.Row{Table: leader.WorkTable, Part: leader.WorkPart(strings.TrimSuffix(in.ID, leader.CancelSuffix)), Key: in.ID, Value: in.Work, Version: in.Version})
	}
	return &struct{}{}, nil
}

// relay passes a call to the owner's node and returns its reply.
func (n *Node) relay(ctx context.Context, c Call) (Reply, error) {
	addr := n.Candidate.OwnerAddr()
	if addr == "" || addr == n.Candidate.Addr {
		return Reply{}, fmt.Errorf("%w: no owner is known", ErrNotReady)
	}
	var r Reply
	if err := n.call(ctx, addr, "Serve", &c, &r); err != nil {
		if errors.Is(err, peer.ErrNotReached) {
			return r, fmt.Errorf("%w: %w", ErrNotReady, err)
		}
		return r, fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
	}
	if r.Code == "" {
		return r, nil
	}
	err := errorsByCode[r.Code]
	if err == nil {
		err = ErrOutcomeUnknown
	}
	return r, fmt.Errorf("%w: %s", err, r.Message)
}

// serveRelayed serves a call from another node. It never passes the call on.
func (n *Node) serveRelayed(ctx context.Context, c *Call) (*Reply, error) {
	g, err := n.authorize(c.Host, c.Path, c.Key)
	var r Reply
	if err == nil && n.storeFailing.Load() && (c.Op == Submit || c.Op == Cancel) {
		err = fmt.Errorf("%w: the store does not answer", ErrNotReady)
	}
	if err == nil {
		r, err = n.serveLocal(ctx, *c, g)
	}
	if err != nil {
		r = Reply{Code: errorCode(err), Message: err.Error()}
	}
	return &r, nil
}
