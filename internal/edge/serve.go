package edge

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"greengageline/internal/event"
	"greengageline/internal/lead"
	"greengageline/internal/peer"
	"greengageline/internal/rows"
	"greengageline/pkg/model"
)

// Op is what a caller asks for.
type Op string

// The operations: Count is of a queue's jobs of which nothing has started.
const (
	Submit Op = "submit"
	Look   Op = "look"
	Cancel Op = "cancel"
	Count  Op = "count"
)

// Call is one request of a caller, as it also travels to another node.
type Call struct {
	Op   Op     `json:"op"`
	Host string `json:"host"`
	Path string `json:"path"`
	Key  string `json:"key,omitempty"`
	// Waits is how long the caller waits in all; 0 is not told.
	Waits time.Duration `json:"waits,omitempty"`
	// Work is the job to submit; its id comes from the path.
	Work model.Work `json:"work"`
}

// Reply is the answer to a Call.
type Reply struct {
	Look  lead.Look `json:"look"`
	Count int       `json:"count,omitempty"`
	// Found tells whether a cancelled job is known.
	Found bool `json:"found,omitempty"`
	// Code and Message are the error of a call that another node served.
	Code    string `json:"code,omitempty"`
	Message string `json:"message,omitempty"`
}

// codes are the errors that travel between nodes.
var codes = map[string]error{
	"no-queue": ErrNoQueue, "key": ErrKey, "not-ready": ErrNotReady, "busy": ErrBusy,
	"unclear": ErrUnclear, "invalid": model.ErrInvalid,
}

func codeOf(err error) string {
	for code, e := range codes {
		if errors.Is(err, e) {
			return code
		}
	}
	return "unclear"
}

const (
	// relayAfter is how long the store may take before the owner is asked to
	// do the same: some ten times its usual answer. Where the last write took
	// long the store is slow for all, and relayFactor times that is waited, up
	// to maxRelayAfter, as a second write only queues up behind the first.
	relayAfter    = 150 * time.Millisecond
	relayFactor   = 2
	maxRelayAfter = time.Second
	// askOwner bounds a question to the owner before the store is read instead.
	askOwner = 350 * time.Millisecond
)

// Serve answers a call. An error that wraps ErrNotReady or ErrBusy is a promise
// that nothing was done; after ErrUnclear it may have been.
//
// What must be written is conditional on its own absence, so that it may be
// tried here and through the owner at once: a node that the store refuses or
// does not answer still serves its callers.
func (n *Node) Serve(ctx context.Context, c Call) (Reply, error) {
	began := n.now()
	reply, err := n.serve(ctx, c)
	outcome := "done"
	if err != nil {
		outcome = codeOf(err)
	}
	n.Meter.Call(string(c.Op), outcome, n.now()-began)
	return reply, err
}

func (n *Node) serve(ctx context.Context, c Call) (Reply, error) {
	g, err := n.admit(c.Host, c.Path, c.Key)
	if err != nil && !errors.Is(err, ErrNotReady) {
		return Reply{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, within(c.Waits, g.Queue))
	defer cancel()
	switch {
	case err != nil:
		if n.freshAt.Load() == 0 {
			return Reply{}, err
		}
		// The owner checks the key by its own plan, which is fresh or refuses.
		reply, relayErr := n.relay(ctx, c)
		if errors.Is(relayErr, ErrNotReady) {
			relayErr = err
		}
		return n.answer(c, g, reply, relayErr)
	case c.Op == Look || c.Op == Count:
		if reply, err := n.askFirst(ctx, c); err == nil {
			return reply, nil
		}
		reply, err := n.local(ctx, c, g)
		return n.answer(c, g, reply, err)
	}
	if n.storeBad.Load() {
		// A write that may get no answer would leave the caller in doubt; what
		// was never sent can be refused at once.
		reply, err := n.relay(ctx, c)
		return n.answer(c, g, reply, err)
	}
	reply, err := n.both(ctx, c, g)
	return n.answer(c, g, reply, err)
}

func (n *Node) answer(c Call, g Grant, reply Reply, err error) (Reply, error) {
	if err != nil {
		n.Log.Emit(event.WorkRefused).Str("op", string(c.Op)).Str("path", c.Path).Str("queue", g.Queue.Name).
			Uint64("plan", n.Plan().Version).Err(err).Send()
	}
	return reply, err
}

// askFirst lets the owner answer a question, if it runs elsewhere.
func (n *Node) askFirst(ctx context.Context, c Call) (Reply, error) {
	if n.Lead.Own() != nil {
		return Reply{}, ErrNotReady
	}
	ctx, cancel := context.WithTimeout(ctx, askOwner)
	defer cancel()
	return n.relay(ctx, c)
}

// local serves a call at this node.
func (n *Node) local(ctx context.Context, c Call, g Grant) (Reply, error) {
	id := strings.TrimPrefix(c.Path, g.Queue.Prefix)
	var r Reply
	var err error
	switch c.Op {
	case Submit:
		c.Work.ID = id
		err = n.submit(ctx, g, c.Work)
	case Look:
		r.Look, err = n.look(ctx, id)
	case Cancel:
		r.Found, err = n.cancel(ctx, id)
	case Count:
		r.Count, err = n.unstarted(ctx, g.Queue.Name)
	default:
		err = fmt.Errorf("operation %q: %w", c.Op, model.ErrInvalid)
	}
	return r, err
}

type outcome struct {
	reply Reply
	err   error
}

// both writes here, and through the owner too if the store refuses this node or
// takes long. One success is enough; a refusal is only one if no try may still
// take effect.
func (n *Node) both(ctx context.Context, c Call, g Grant) (Reply, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	out := make(chan outcome, 2)
	go func() {
		r, err := n.local(ctx, c, g)
		out <- outcome{r, err}
	}()
	timer := time.NewTimer(min(max(relayAfter, relayFactor*time.Duration(n.wroteIn.Load())), maxRelayAfter))
	defer timer.Stop()
	pending, relayed := 1, n.Lead.Own() != nil
	relay := func() {
		if relayed {
			return
		}
		relayed = true
		pending++
		go func() {
			r, err := n.relay(ctx, c)
			out <- outcome{r, err}
		}()
	}
	var worst error
	for {
		select {
		case <-timer.C:
			relay()
		case o := <-out:
			pending--
			if o.err == nil || errors.Is(o.err, model.ErrInvalid) {
				return o.reply, o.err
			}
			worst = worse(worst, o.err)
			relay()
			if pending == 0 {
				return Reply{}, worst
			}
		}
	}
}

// worse returns the error that promises less.
func worse(a, b error) error {
	if a == nil || !errors.Is(a, ErrUnclear) && errors.Is(b, ErrUnclear) {
		return b
	}
	return a
}

// noteTimeout bounds the word to the owner of new work, which its feed brings too.
const noteTimeout = 350 * time.Millisecond

type noteIn struct {
	ID string `json:"id"`
	// Work is the value of the job's row.
	Work []byte `json:"work"`
}

// note tells the owner of work that was just made durable. It is used while the
// store is slow, as the owner's feed is then slow too.
func (n *Node) note(row rows.Row) {
	addr := n.Lead.OwnerAddr()
	if addr == "" || addr == n.Lead.Addr {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), noteTimeout)
	defer cancel()
	var out struct{}
	// Without an answer the feed brings the work.
	_ = n.call(ctx, addr, "Note", &noteIn{ID: row.Key, Work: row.Value}, &out)
}

func (n *Node) noted(_ context.Context, in *noteIn) (*struct{}, error) {
	if o := n.Lead.Own(); o != nil {
		o.Accepted(rows.Row{Table: lead.WorkTable, Part: lead.WorkPart(in.ID), Key: in.ID, Value: in.Work})
	}
	return &struct{}{}, nil
}

// relay has the owner's node serve a call.
func (n *Node) relay(ctx context.Context, c Call) (Reply, error) {
	addr := n.Lead.OwnerAddr()
	if addr == "" || addr == n.Lead.Addr {
		return Reply{}, fmt.Errorf("%w: no owner is known", ErrNotReady)
	}
	var r Reply
	if err := n.call(ctx, addr, "Serve", &c, &r); err != nil {
		if errors.Is(err, peer.ErrUnreached) {
			return r, fmt.Errorf("%w: %w", ErrNotReady, err)
		}
		return r, fmt.Errorf("%w: %w", ErrUnclear, err)
	}
	if r.Code == "" {
		return r, nil
	}
	err := codes[r.Code]
	if err == nil {
		err = ErrUnclear
	}
	return r, fmt.Errorf("%w: %s", err, r.Message)
}

// serveRelayed serves a call that another node passed on; it goes no further.
func (n *Node) serveRelayed(ctx context.Context, c *Call) (*Reply, error) {
	g, err := n.admit(c.Host, c.Path, c.Key)
	var r Reply
	if err == nil && n.storeBad.Load() && (c.Op == Submit || c.Op == Cancel) {
		err = fmt.Errorf("%w: the store does not answer", ErrNotReady)
	}
	if err == nil {
		r, err = n.local(ctx, *c, g)
	}
	if err != nil {
		r = Reply{Code: codeOf(err), Message: err.Error()}
	}
	return &r, nil
}
