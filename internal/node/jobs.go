package node

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"greengageline/internal/cell"
	"greengageline/internal/ledger"
	"greengageline/internal/peer"
	"greengageline/internal/place"
	"greengageline/pkg/model"
)

// ownerRetryDelay is the delay between two attempts to reach a cell's owner.
const ownerRetryDelay = 100 * time.Millisecond

// Submit passes a job to the owner of a cell, on this node or another. While the owner is not
// reached, it tries again until ctx ends. Errors are those of package cell; after ErrOutcomeUnknown
// the job may have been accepted.
func (n *Node) Submit(ctx context.Context, spec model.JobSpec) (model.Job, error) {
	name, err := n.chooseCell(spec)
	if err != nil {
		return model.Job{}, err
	}
	mayBeAccepted := false
	for {
		job, err := n.submitOnce(ctx, name, spec)
		if !retryable(err) {
			return job, err
		}
		mayBeAccepted = mayBeAccepted || errors.Is(err, cell.ErrOutcomeUnknown)
		sleep(ctx, ownerRetryDelay)
		if ctx.Err() == nil {
			continue
		}
		if mayBeAccepted {
			return job, fmt.Errorf("%w: %w", cell.ErrOutcomeUnknown, err)
		}
		return job, err
	}
}

// retryable reports whether another attempt may reach the cell's owner or get its answer. A
// retry is safe: because of its key the job is accepted at most once.
func retryable(err error) bool {
	return errors.Is(err, cell.ErrNotOwner) || errors.Is(err, cell.ErrNotReady) ||
		errors.Is(err, cell.ErrOutcomeUnknown)
}

func (n *Node) submitOnce(ctx context.Context, name string, spec model.JobSpec) (model.Job, error) {
	k := n.leaseManager(name)
	if k == nil {
		return model.Job{}, cell.ErrNotOwner
	}
	if o := k.Owner(); o != nil {
		return o.Submit(ctx, spec)
	}
	client := n.ownerClient(k)
	if client == nil {
		return model.Job{}, cell.ErrNotOwner
	}
	ctx, cancel := context.WithTimeout(ctx, n.Settings.AnswerWait/2)
	defer cancel()
	out, err := client.Submit(ctx, &peer.SubmitRequest{Cell: name, Spec: spec})
	return fromPeer(out, err)
}

// ownerClient returns the client for the owner with the highest known epoch, from the table or
// from the heartbeats of live peers. It returns nil if no owner is known, or the owner is this
// node or a suspected one: a request to a node that does not answer would only leave its outcome
// unknown.
func (n *Node) ownerClient(k *runningLeaseManager) *peer.Client {
	right := k.LastOwnership()
	for _, b := range n.mesh.live() {
		for _, c := range b.Cells {
			if c.Cell == k.Cell && c.Epoch > right.Epoch {
				right = cell.Ownership{Owner: b.Node, Addr: b.Addr, Epoch: c.Epoch}
			}
		}
	}
	if right.Addr == "" || right.Owner == n.Settings.Node || n.mesh.suspected(right.Addr) {
		return nil
	}
	return n.mesh.client(right.Addr)
}

func fromPeer(out *peer.JobReply, err error) (model.Job, error) {
	switch {
	case errors.Is(err, peer.ErrNotReached):
		return model.Job{}, fmt.Errorf("%w: %w", cell.ErrNotOwner, err)
	case err != nil:
		return model.Job{}, fmt.Errorf("%w: %w", cell.ErrOutcomeUnknown, err)
	}
	if out.Code == peer.CodeRefused {
		return out.Job, &cell.RefusedError{Code: place.RefusalCode(out.Refusal), Reason: out.Message}
	}
	if kind := errorsByCode[out.Code]; kind != nil {
		return out.Job, fmt.Errorf("%w: %s", kind, out.Message)
	}
	return out.Job, nil
}

var errorsByCode = map[peer.Code]error{
	peer.CodeNotOwner: cell.ErrNotOwner, peer.CodeNotReady: cell.ErrNotReady,
	peer.CodeRefused: cell.ErrRefused, peer.CodeNotKnown: cell.ErrOutcomeUnknown,
	peer.CodeKeyReused: cell.ErrKeyReused, peer.CodeAbsent: cell.ErrAbsent, peer.CodeBusy: cell.ErrBusy,
	peer.CodeFailed: cell.ErrOutcomeUnknown,
}

func errorCode(err error) peer.Code {
	for code, kind := range errorsByCode {
		if code != peer.CodeFailed && errors.Is(err, kind) {
			return code
		}
	}
	return peer.CodeFailed
}

func toPeer(job model.Job, err error) *peer.JobReply {
	if err == nil {
		return &peer.JobReply{Job: job}
	}
	out := &peer.JobReply{Code: errorCode(err), Message: err.Error(), Job: job}
	var refused *cell.RefusedError
	if errors.As(err, &refused) {
		out.Refusal, out.Message = string(refused.Code), refused.Reason
	}
	return out
}

// handleSubmit serves a job that another node passed on. It never passes the job on.
func (n *Node) handleSubmit(ctx context.Context, in *peer.SubmitRequest) (*peer.JobReply, error) {
	defer n.TrackRequest()()
	k := n.leaseManager(in.Cell)
	if k == nil {
		return toPeer(model.Job{}, cell.ErrNotOwner), nil
	}
	o := k.Owner()
	if o == nil {
		return toPeer(model.Job{}, cell.ErrNotOwner), nil
	}
	return toPeer(o.Submit(ctx, in.Spec)), nil
}

// chooseCell chooses the cell for a job: the first one where a guarantee of its workspace
// covers the shape, else the one with the most open accelerators that could hold it, else one
// by the hash of the workspace and the key.
func (n *Node) chooseCell(spec model.JobSpec) (string, error) {
	cells := n.cells()
	if len(cells) == 0 {
		return "", fmt.Errorf("%w: no cell is known yet", cell.ErrNotReady)
	}
	plan, _ := n.plan()
	for _, g := range plan.Workspaces[spec.Workspace].Guarantees {
		if spec.Shape.Each <= g.Each && spec.Shape.Accelerators() <= g.Tasks*g.Each {
			return g.Cell, nil
		}
	}
	open := map[string]int{}
	for _, b := range append(n.mesh.live(), n.beat()) {
		for _, c := range b.Cells {
			open[c.Cell] = c.Open - c.Queued
		}
	}
	h := int(xxhash.Sum64String(spec.Workspace+"\x00"+spec.Key) % uint64(len(cells)))
	best := cells[h]
	for _, c := range cells {
		if open[c] > open[best] && open[c] >= spec.Shape.Accelerators() {
			best = c
		}
	}
	return best, nil
}

// Job returns a job's state, from the cell's owner if it answers, else from the table. With
// wait, it returns when the job has ended, or its last known state when ctx ends.
func (n *Node) Job(ctx context.Context, id string, wait bool) (model.Job, error) {
	var last model.Job
	for {
		job, err := n.jobOnce(ctx, id, wait)
		if err == nil && (!wait || job.State.Final()) {
			return job, nil
		}
		if err != nil && !retryable(err) {
			return job, err
		}
		if err == nil {
			last = job
		}
		sleep(ctx, ownerRetryDelay)
		if ctx.Err() != nil {
			if last.ID != "" {
				return last, nil
			}
			return job, err
		}
	}
}

func (n *Node) jobOnce(ctx context.Context, id string, wait bool) (model.Job, error) {
	k := n.leaseManager(model.CellOf(id))
	if k == nil {
		return n.loadStored(ctx, id)
	}
	job, err := n.askOwner(ctx, k, &peer.JobRequest{ID: id, Wait: wait})
	if err == nil {
		return job, nil
	}
	stored, storedErr := n.loadStored(ctx, id)
	// An owner knows open jobs only, so its ErrAbsent says nothing of a job that has ended.
	if storedErr == nil || errors.Is(storedErr, cell.ErrAbsent) || errors.Is(err, cell.ErrAbsent) {
		return stored, storedErr
	}
	return job, err
}

func (n *Node) askOwner(ctx context.Context, k *runningLeaseManager, in *peer.JobRequest) (model.Job, error) {
	if o := k.Owner(); o != nil {
		return askLocal(ctx, o, in)
	}
	client := n.ownerClient(k)
	if client == nil {
		return model.Job{}, cell.ErrNotOwner
	}
	limit := n.Settings.AnswerWait / 2
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	out, err := client.Job(ctx, in)
	return fromPeer(out, err)
}

func askLocal(ctx context.Context, o *cell.Owner, in *peer.JobRequest) (model.Job, error) {
	if in.Cancel {
		if err := o.Cancel(ctx, in.ID); err != nil {
			return model.Job{}, err
		}
	}
	return o.Job(ctx, in.ID, in.Wait)
}

// loadStored reads a job from the table.
func (n *Node) loadStored(ctx context.Context, id string) (model.Job, error) {
	e, err := n.Host.Ledger.Load(ctx, id)
	switch {
	case err == nil:
		return e.Job, nil
	case errors.Is(err, ledger.ErrAbsent):
		return model.Job{}, fmt.Errorf("%w: %w", cell.ErrAbsent, err)
	}
	return model.Job{}, fmt.Errorf("%w: %w", cell.ErrNotReady, err)
}

// handleJob serves a query or cancellation that another node passed on.
func (n *Node) handleJob(ctx context.Context, in *peer.JobRequest) (*peer.JobReply, error) {
	k := n.leaseManager(model.CellOf(in.ID))
	if k == nil {
		return toPeer(model.Job{}, cell.ErrNotOwner), nil
	}
	o := k.Owner()
	if o == nil {
		return toPeer(model.Job{}, cell.ErrNotOwner), nil
	}
	// Answer before the caller's deadline, so that it gets the current state.
	if d, ok := ctx.Deadline(); ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, d.Add(-min(ownerRetryDelay, time.Until(d)/4)))
		defer cancel()
	}
	return toPeer(askLocal(ctx, o, in)), nil
}

// Cancel asks the owner to cancel a job and returns the job's state. It tries again until ctx
// ends while the owner is not reached. After ErrOutcomeUnknown the job may have been cancelled.
func (n *Node) Cancel(ctx context.Context, id string) (model.Job, error) {
	k := n.leaseManager(model.CellOf(id))
	if k == nil {
		return n.loadStored(ctx, id)
	}
	mayBeCancelled := false
	for {
		job, err := n.askOwner(ctx, k, &peer.JobRequest{ID: id, Cancel: true})
		if err == nil {
			return job, nil
		}
		mayBeCancelled = mayBeCancelled || errors.Is(err, cell.ErrOutcomeUnknown)
		if errors.Is(err, cell.ErrAbsent) {
			job, err = n.loadStored(ctx, id)
		}
		if !retryable(err) {
			return job, err
		}
		sleep(ctx, ownerRetryDelay)
		if ctx.Err() == nil {
			continue
		}
		if mayBeCancelled && !errors.Is(err, cell.ErrOutcomeUnknown) {
			return job, fmt.Errorf("%w: %w", cell.ErrOutcomeUnknown, err)
		}
		return job, err
	}
}

// ErrNoAnswerYet means that the job has no answer, or does not have one yet.
var ErrNoAnswerYet = errors.New("job has no answer")

// Answer returns the complete answer of a completed job. It returns ErrNoAnswerYet if there is
// none. An answer that is not stored with its job is read only if reserve, called with its length, returns nil.
func (n *Node) Answer(ctx context.Context, id string, reserve func(length int) error) ([]byte, error) {
	job, err := n.loadStored(ctx, id)
	if err != nil {
		return nil, err
	}
	if job.State != model.Done || job.Answer == nil {
		return nil, fmt.Errorf("job %q is %s: %w", id, job.State, ErrNoAnswerYet)
	}
	data := job.Answer.Inline
	if job.Answer.Object != "" {
		if err := reserve(job.Answer.Length); err != nil {
			return nil, fmt.Errorf("read the answer of job %q: %w", id, err)
		}
		data, err = n.Host.Objects.Get(ctx, job.Answer.Object)
		if err != nil {
			return nil, fmt.Errorf("%w: %w", cell.ErrNotReady, err)
		}
	}
	if !job.Answer.Verify(data) {
		return nil, fmt.Errorf("%w: stored answer of job %q is damaged", cell.ErrNotReady, id)
	}
	return data, nil
}
