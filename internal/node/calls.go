package node

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/google/uuid"

	"greengageline/internal/cell"
	"greengageline/internal/event"
	"greengageline/internal/ledger"
	"greengageline/internal/peer"
	"greengageline/internal/route"
	"greengageline/pkg/model"
)

// defaultCallTimeout limits a short request that has no deadline.
const defaultCallTimeout = 5 * time.Second

// ServeShortRequest serves a short request. An idempotent request is routed without a row. For any
// other, a row with its key is written before the request is sent, and it is never sent again.
// Errors are those of package cell.
func (n *Node) ServeShortRequest(ctx context.Context, s model.RequestSpec) ([]byte, error) {
	plan, _ := n.plan()
	if plan.Generation == 0 {
		return nil, fmt.Errorf("%w: no configuration has been read yet", cell.ErrNotReady)
	}
	if _, ok := plan.Workspaces[s.Workspace]; !ok {
		return nil, fmt.Errorf("%w: workspace %q is not configured", cell.ErrRefused, s.Workspace)
	}
	wait := defaultCallTimeout
	if s.DeadlineMs > 0 {
		wait = time.Duration(s.DeadlineMs) * time.Millisecond
	}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	if s.Idempotent {
		return n.dispatch(ctx, s)
	}
	return n.requestOnce(ctx, s)
}

// requestOnce serves a request that must not run twice.
func (n *Node) requestOnce(ctx context.Context, s model.RequestSpec) ([]byte, error) {
	e, repeated, err := n.Host.Ledger.BeginCall(ctx, s, time.Now().UnixMilli())
	switch {
	case errors.Is(err, ledger.ErrKeyReused):
		return nil, fmt.Errorf("%w: %w", cell.ErrKeyReused, err)
	case errors.Is(err, ledger.ErrUnavailable), errors.Is(err, ledger.ErrFenced):
		return nil, fmt.Errorf("%w: %w", cell.ErrNotReady, err)
	case err != nil:
		return nil, fmt.Errorf("%w: %w", cell.ErrOutcomeUnknown, err)
	case repeated:
		return repeatedCall(e.Call)
	}
	answer, err := n.dispatch(ctx, s)
	call := ledger.Call{State: ledger.CallDone, AtMs: time.Now().UnixMilli()}
	switch {
	case err == nil:
		a := model.NewAnswer(answer)
		call.Answer = &a
	case errors.Is(err, cell.ErrOutcomeUnknown):
		return nil, err // the row stays "sent", because the request may have run
	default:
		call.State = ledger.CallDidNotRun
	}
	endCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), n.Settings.AnswerWait)
	defer cancel()
	if endErr := n.Host.Ledger.EndCall(endCtx, e, call); endErr != nil && err != nil {
		return nil, fmt.Errorf("%w: %w", cell.ErrOutcomeUnknown, endErr)
	}
	return answer, err
}

func repeatedCall(c ledger.Call) ([]byte, error) {
	if c.State == ledger.CallDone && c.Answer != nil {
		return c.Answer.Inline, nil
	}
	return nil, fmt.Errorf("%w: a request with this key was sent before; it is not sent again", cell.ErrOutcomeUnknown)
}

// dispatch routes one request to a home node and returns the answer.
func (n *Node) dispatch(ctx context.Context, s model.RequestSpec) ([]byte, error) {
	in := model.Call{ID: uuid.NewString(), Workspace: s.Workspace, Payload: s.Payload}
	var reply model.CallReply
	r := route.Router{
		Homes: n.homes,
		Send: func(ctx context.Context, home string, avoid []string) (string, error) {
			out, target, err := n.sendToHome(ctx, home, in, s.Idempotent, avoid)
			reply = out
			return target, err
		},
		OnRoute: func(home, reason string, try int) {
			id := event.RequestRouted
			if try > 0 {
				id = event.RequestRetried
			}
			n.Log.Emit(id).Str("request", in.ID).Str("workspace", s.Workspace).Str("home", home).
				Int("try", try).Str("reason", reason).Send()
		},
		Budget: &n.budget,
	}
	if err := r.Do(ctx, s.Idempotent); err != nil {
		return nil, n.callError(in.ID, err)
	}
	n.Meter.Request("answered")
	return reply.Answer.Inline, nil
}

func (n *Node) callError(id string, err error) error {
	mayHaveRun := errors.Is(err, route.ErrMayHaveRun)
	n.Log.Emit(event.RequestFailed).Str("request", id).Bool("may_have_run", mayHaveRun).Err(err).Send()
	if mayHaveRun {
		n.Meter.Request("unknown")
		return fmt.Errorf("%w: %w", cell.ErrOutcomeUnknown, err)
	}
	n.Meter.Request("did-not-run")
	return fmt.Errorf("%w: %w", cell.ErrBusy, err)
}

// homes lists the live nodes, including this one, with their free slots.
func (n *Node) homes() []route.Node {
	out := []route.Node{{Name: n.Settings.Node, FreeSlots: n.home.Free()}}
	for _, b := range n.mesh.live() {
		out = append(out, route.Node{Name: b.Node, FreeSlots: b.FreeSlots})
	}
	return out
}

// sendToHome passes the request to its home node, or serves it if this node is the home. It
// also returns the ID of the target that was tried, if any.
func (n *Node) sendToHome(ctx context.Context, home string, in model.Call, idempotent bool, avoid []string) (model.CallReply, string, error) {
	if home == n.Settings.Node {
		return n.home.Serve(ctx, in, avoid)
	}
	addr := n.mesh.addressOf(home)
	if addr == "" {
		return model.CallReply{}, "", route.ErrNoSlot
	}
	out, err := n.mesh.client(addr).Call(ctx, &peer.CallRequest{Call: in, Idempotent: idempotent, Avoid: avoid})
	switch {
	case errors.Is(err, peer.ErrNotReached):
		return model.CallReply{}, "", fmt.Errorf("%w: %w", route.ErrNoSlot, err)
	case err != nil:
		return model.CallReply{}, "", fmt.Errorf("%w: %w", route.ErrMayHaveRun, err)
	case out.MayHaveRun:
		return out.Reply, out.Target, fmt.Errorf("%w: %s", route.ErrMayHaveRun, out.Message)
	case out.Code != "":
		return out.Reply, out.Target, fmt.Errorf("%w: %s", route.ErrNoSlot, out.Message)
	}
	return out.Reply, out.Target, nil
}

// addressOf returns the address of a live peer, or "" if the name is not that of a live peer.
func (m *mesh) addressOf(name string) string {
	for _, b := range m.live() {
		if b.Node == name {
			return b.Addr
		}
	}
	return ""
}

// handleCall serves a request that another node passed to this home node.
func (n *Node) handleCall(ctx context.Context, in *peer.CallRequest) (*peer.CallReply, error) {
	defer n.TrackRequest()()
	reply, target, err := n.home.Serve(ctx, in.Call, in.Avoid)
	out := &peer.CallReply{Reply: reply, Target: target}
	if err != nil {
		out.Code, out.Message = peer.CodeBusy, err.Error()
		out.MayHaveRun = errors.Is(err, route.ErrMayHaveRun)
	}
	return out, nil
}

// Handlers returns the handlers for the requests of other nodes.
func (n *Node) Handlers() *peer.Handlers {
	return &peer.Handlers{Beat: n.handleBeat, Submit: n.handleSubmit, Job: n.handleJob, Call: n.handleCall}
}
