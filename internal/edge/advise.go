package edge

import (
	"context"
	"errors"
	"fmt"
	"time"

	"greengageline/internal/orders"
	"greengageline/internal/sched"
	"greengageline/pkg/model"
)

// maxWorkersAsked is the maximum number of workers in an adviseRequest.
const maxWorkersAsked = 100

// errAdviseFailed means that the node which was to ask the adviser got no answer.
var errAdviseFailed = errors.New("no answer of the adviser")

// adviseRequest is an owner's request to ask the adviser which of some workers may run the tasks of a step.
type adviseRequest struct {
	Job        string   `json:"job"`
	Occurrence int      `json:"occurrence"`
	Step       int      `json:"step"`
	Workers    []string `json:"workers"`
}

// Check returns an error that wraps model.ErrInvalid if there are too many workers, or a name is too long.
func (r *adviseRequest) Check() error {
	if len(r.Workers) > maxWorkersAsked {
		return fmt.Errorf("question about %d workers: %w", len(r.Workers), model.ErrInvalid)
	}
	for _, name := range append([]string{r.Job}, r.Workers...) {
		if len(name) > maxPeerNameBytes {
			return fmt.Errorf("question with a name of %d bytes: %w", len(name), model.ErrInvalid)
		}
	}
	return nil
}

// adviseReply is the adviser's answer, or the reason why there is none.
type adviseReply struct {
	Tickets map[string]string `json:"tickets,omitempty"`
	ValidMs int64             `json:"valid_ms,omitempty"`
	Failure string            `json:"failure,omitempty"`
}

// serveAdvise asks the adviser for the owner.
func (n *Node) serveAdvise(ctx context.Context, in *adviseRequest) (*adviseReply, error) {
	ask := n.Candidate.Fleet.Advise
	if ask == nil {
		return &adviseReply{Failure: "no adviser is configured"}, nil
	}
	out, err := ask(ctx, sched.TaskRef{Job: in.Job, Occurrence: in.Occurrence, Step: in.Step}, in.Workers)
	if err != nil {
		return &adviseReply{Failure: err.Error()}, nil //nolint:nilerr // the reply has it: the connection to this node works
	}
	return &adviseReply{Tickets: out.Tickets, ValidMs: out.ValidFor.Milliseconds()}, nil
}

// AdviseFrom asks the adviser from the node at addr. It is used as the AdviseFrom field of an orders.Fleet.
func (n *Node) AdviseFrom(ctx context.Context, addr string, step sched.TaskRef, workers []string) (orders.Advice, error) {
	var out adviseReply
	in := adviseRequest{Job: step.Job, Occurrence: step.Occurrence, Step: step.Step, Workers: workers}
	if err := n.call(ctx, addr, "Advise", &in, &out); err != nil {
		return orders.Advice{}, err
	}
	if out.Failure != "" {
		return orders.Advice{}, fmt.Errorf("ask the adviser from node %s: %w: %s", addr, errAdviseFailed, out.Failure)
	}
	return orders.Advice{Tickets: out.Tickets, ValidFor: time.Duration(out.ValidMs) * time.Millisecond}, nil
}
