package peer

import (
	"errors"
	"fmt"

	"greengageline/pkg/model"
)

// CellInfo is what an owner tells of a cell in heartbeats.
type CellInfo struct {
	Cell   string `json:"cell"`
	Epoch  uint64 `json:"epoch"`
	Queued int    `json:"queued"`
	Open   int    `json:"open"`
	Ready  bool   `json:"ready"`
}

// maxLeaving bounds the leaving VMs named in one heartbeat.
const maxLeaving = 256

// Beat is a heartbeat; both sides send one.
type Beat struct {
	Node       string     `json:"node"`
	Addr       string     `json:"addr"`
	Zone       string     `json:"zone"`
	Generation uint64     `json:"generation"`
	Draining   bool       `json:"draining,omitempty"`
	Cells      []CellInfo `json:"cells,omitempty"`
	// Leaving names workers that are leaving and still in the VM list.
	Leaving []string `json:"leaving,omitempty"`
	// FreeSlots is how many short requests the node's targets could take.
	FreeSlots int `json:"free_slots"`
}

// Check verifies the sender's name and address and bounds the lists.
func (b *Beat) Check() error {
	if b.Node == "" || b.Addr == "" {
		return fmt.Errorf("heartbeat without node or address: %w", model.ErrInvalid)
	}
	if len(b.Leaving) > maxLeaving {
		return fmt.Errorf("heartbeat names %d leaving workers: %w", len(b.Leaving), model.ErrInvalid)
	}
	return nil
}

// Leavers cuts a list of leaving workers to what a heartbeat may carry.
func Leavers(ids []string) []string {
	if len(ids) > maxLeaving {
		return ids[:maxLeaving]
	}
	return ids
}

// Code says how a passed-on request ended.
type Code string

// The codes; an empty one is success.
const (
	CodeNotOwner Code = "not-owner"
	CodeNotReady Code = "not-ready"
	CodeRefused  Code = "refused"
	CodeNotKnown Code = "not-known"
	CodeKey      Code = "key-reused"
	CodeAbsent   Code = "absent"
	CodeBusy     Code = "busy"
	CodeFailed   Code = "failed"
)

// SubmitIn passes a job on to a cell's owner.
type SubmitIn struct {
	Cell string        `json:"cell"`
	Spec model.JobSpec `json:"spec"`
}

// Check verifies the job.
func (s *SubmitIn) Check() error { return s.Spec.Check() }

// JobIn asks a cell's owner about a job, or to cancel it.
type JobIn struct {
	ID     string `json:"id"`
	Wait   bool   `json:"wait,omitempty"`
	Cancel bool   `json:"cancel,omitempty"`
}

// JobOut is the owner's answer.
type JobOut struct {
	Code    Code   `json:"code,omitempty"`
	Message string `json:"message,omitempty"`
	// Refusal is the kind of a refusal.
	Refusal string    `json:"refusal,omitempty"`
	Job     model.Job `json:"job"`
}

// CallIn passes a short request on to the home of a target.
type CallIn struct {
	Call       model.Call `json:"call"`
	Idempotent bool       `json:"idempotent,omitempty"`
	// Avoid names targets that have been tried.
	Avoid []string `json:"avoid,omitempty"`
}

// CallOut is the home's answer; MayHaveRun tells a failure after which the
// request may have been served.
type CallOut struct {
	Code       Code            `json:"code,omitempty"`
	Message    string          `json:"message,omitempty"`
	MayHaveRun bool            `json:"may_have_run,omitempty"`
	Target     string          `json:"target,omitempty"`
	Reply      model.CallReply `json:"reply"`
}

var (
	// ErrUnreached means that the request certainly did not reach the peer.
	ErrUnreached = errors.New("peer not reached")
	// ErrNoAnswer means that the peer may have carried the request out.
	ErrNoAnswer = errors.New("peer gave no answer")
)
