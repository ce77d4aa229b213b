package peer

import (
	"errors"
	"fmt"

	"greengageline/pkg/model"
)

// CellInfo is an owner's report on a cell in its heartbeats.
type CellInfo struct {
	Cell   string `json:"cell"`
	Epoch  uint64 `json:"epoch"`
	Queued int    `json:"queued"`
	Open   int    `json:"open"`
	Ready  bool   `json:"ready"`
}

const (
	// maxLeaving is the maximum number of leaving VMs in one heartbeat.
	maxLeaving = 256
	// maxNameBytes is the maximum length of a name or an address in a heartbeat, in bytes.
	maxNameBytes = 256
)

// Beat is a heartbeat. It is both the request and the reply.
type Beat struct {
	Node       string     `json:"node"`
	Addr       string     `json:"addr"`
	Zone       string     `json:"zone"`
	Generation uint64     `json:"generation"`
	Draining   bool       `json:"draining,omitempty"`
	Cells      []CellInfo `json:"cells,omitempty"`
	// Leaving lists the workers that are leaving and still in the VM list.
	Leaving []string `json:"leaving,omitempty"`
	// FreeSlots is how many short requests the targets whose home is this node can accept.
	FreeSlots int `json:"free_slots"`
}

// Check returns an error that wraps model.ErrInvalid if the sender's name or address is
// missing, or one of its names or Leaving is too long.
func (b *Beat) Check() error {
	if b.Node == "" || b.Addr == "" {
		return fmt.Errorf("heartbeat without node or address: %w", model.ErrInvalid)
	}
	if len(b.Leaving) > maxLeaving {
		return fmt.Errorf("heartbeat names %d leaving workers: %w", len(b.Leaving), model.ErrInvalid)
	}
	names := append([]string{b.Node, b.Addr, b.Zone}, b.Leaving...)
	for _, c := range b.Cells {
		names = append(names, c.Cell)
	}
	for _, name := range names {
		if len(name) > maxNameBytes {
			return fmt.Errorf("heartbeat with a name of %d bytes: %w", len(name), model.ErrInvalid)
		}
	}
	return nil
}

// LimitLeaving truncates a list of leaving workers to the maximum length in a heartbeat.
func LimitLeaving(ids []string) []string {
	if len(ids) > maxLeaving {
		return ids[:maxLeaving]
	}
	return ids
}

// Code is the outcome of a request that was passed to another node.
type Code string

// The outcomes; an empty Code means success.
const (
	CodeNotOwner  Code = "not-owner"
	CodeNotReady  Code = "not-ready"
	CodeRefused   Code = "refused"
	CodeNotKnown  Code = "not-known"
	CodeKeyReused Code = "key-reused"
	CodeAbsent    Code = "absent"
	CodeBusy      Code = "busy"
	CodeFailed    Code = "failed"
)

// SubmitRequest is the request that passes a job to a cell's owner.
type SubmitRequest struct {
	Cell string        `json:"cell"`
	Spec model.JobSpec `json:"spec"`
}

// Check validates the job.
func (s *SubmitRequest) Check() error { return s.Spec.Check() }

// JobRequest asks a cell's owner for a job's state, or to cancel the job.
type JobRequest struct {
	ID     string `json:"id"`
	Wait   bool   `json:"wait,omitempty"`
	Cancel bool   `json:"cancel,omitempty"`
}

// JobReply is the owner's reply to SubmitRequest and JobRequest.
type JobReply struct {
	Code    Code   `json:"code,omitempty"`
	Message string `json:"message,omitempty"`
	// Refusal is the code of the refusal if Code is CodeRefused.
	Refusal string    `json:"refusal,omitempty"`
	Job     model.Job `json:"job"`
}

// CallRequest is the request that passes a short request to a home node.
type CallRequest struct {
	Call       model.Call `json:"call"`
	Idempotent bool       `json:"idempotent,omitempty"`
	// Avoid lists the targets that were already tried.
	Avoid []string `json:"avoid,omitempty"`
}

// CallReply is the home node's reply to CallRequest. MayHaveRun is set on a failure after which the
// request may have been served.
type CallReply struct {
	Code       Code            `json:"code,omitempty"`
	Message    string          `json:"message,omitempty"`
	MayHaveRun bool            `json:"may_have_run,omitempty"`
	Target     string          `json:"target,omitempty"`
	Reply      model.CallReply `json:"reply"`
}

var (
	// ErrNotReached means that the request certainly did not reach the peer.
	ErrNotReached = errors.New("peer not reached")
	// ErrNoAnswer means that the peer did not answer and may have executed the request.
	ErrNoAnswer = errors.New("peer gave no answer")
)
