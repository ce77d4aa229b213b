package model

// RoleEntry is the Role of an entry VM in the platform's VM list; other VMs are targets.
const RoleEntry = "entry"

// VM is one entry of the platform's VM list. Addr is the address to which orders are sent for a target,
// and the peer address for an entry VM.
type VM struct {
	ID           string `json:"id"`
	Addr         string `json:"addr"`
	Zone         string `json:"zone"`
	Rack         string `json:"rack"`
	Accelerators int    `json:"accelerators"`
	Leaving      bool   `json:"leaving,omitempty"`
	Role         string `json:"role,omitempty"`
}

// Check validates the fields that placement relies on.
func (v *VM) Check() error {
	if err := checkName("id", v.ID); err != nil {
		return err
	}
	if err := checkName("zone", v.Zone); err != nil {
		return err
	}
	if err := checkName("rack", v.Rack); err != nil {
		return err
	}
	if v.Addr == "" {
		return invalid("addr", "is empty")
	}
	if v.Accelerators < 0 || v.Accelerators > MaxEach {
		return invalid("accelerators", "is %d, want 0 to %d", v.Accelerators, MaxEach)
	}
	return nil
}

// TaskRef identifies one attempt of one job on a worker.
type TaskRef struct {
	Job     string `json:"job"`
	Attempt int    `json:"attempt"`
}

// Fence is the fencing token of an order: the cell and the epoch at which the sender owns it.
type Fence struct {
	Cell  string `json:"cell"`
	Epoch uint64 `json:"epoch"`
}

// Reserve is an order to reserve Count accelerators for a member of a gang for LeaseMs milliseconds.
type Reserve struct {
	TaskRef
	Fence
	Rank    int   `json:"rank"`
	Count   int   `json:"count"`
	LeaseMs int64 `json:"lease_ms"`
}

// ReserveReply is the reply to Reserve. Boot identifies the incarnation of the worker; it changes when
// the worker restarts and loses the state of its tasks.
type ReserveReply struct {
	Boot string `json:"boot"`
}

// Start is an order to run a reserved member: Tasks of the gang's Gang tasks.
type Start struct {
	TaskRef
	Fence
	Rank    int    `json:"rank"`
	Tasks   int    `json:"tasks"`
	Gang    int    `json:"gang"`
	LeaseMs int64  `json:"lease_ms"`
	Payload []byte `json:"payload,omitempty"`
}

// Renew is an order to extend the leases of Tasks by LeaseMs milliseconds from now and to acknowledge
// the ended tasks in Ack.
type Renew struct {
	Fence
	LeaseMs int64     `json:"lease_ms"`
	Tasks   []TaskRef `json:"tasks"`
	Ack     []TaskRef `json:"ack,omitempty"`
}

// TaskPhase is the phase of a task on its worker.
type TaskPhase string

// The phases of a task. PhaseNone means that the worker does not know the attempt.
// PhaseLapsed means that its lease expired.
const (
	PhaseNone     TaskPhase = "none"
	PhaseReserved TaskPhase = "reserved"
	PhaseRunning  TaskPhase = "running"
	PhaseDone     TaskPhase = "done"
	PhaseFailed   TaskPhase = "failed"
	PhaseStopped  TaskPhase = "stopped"
	PhaseLapsed   TaskPhase = "lapsed"
)

// Ended reports whether the task has ended and no longer holds accelerators.
func (p TaskPhase) Ended() bool {
	switch p {
	case PhaseDone, PhaseFailed, PhaseStopped, PhaseLapsed:
		return true
	}
	return false
}

// TaskStatus is the status of one task as its worker reports it.
type TaskStatus struct {
	TaskRef
	Rank    int       `json:"rank"`
	Phase   TaskPhase `json:"phase"`
	Started bool      `json:"started"`
	Error   string    `json:"error,omitempty"`
	Answer  *Answer   `json:"answer,omitempty"`
}

// RenewReply is the reply to Renew. It lists every task of the cell that the worker knows and that has not
// been acknowledged. Answers larger than MaxInline are listed without their bytes.
type RenewReply struct {
	Boot    string       `json:"boot"`
	Tasks   []TaskStatus `json:"tasks"`
	Leaving bool         `json:"leaving,omitempty"`
}

// Stop is an order to stop a task, after a checkpoint if Checkpoint is set.
type Stop struct {
	TaskRef
	Fence
	Checkpoint bool `json:"checkpoint,omitempty"`
}

// Look is a query for the status of an attempt. The worker rejects any later start whose epoch is older
// than that of Fence.
type Look struct {
	TaskRef
	Fence
}

// LookReply is the reply to Look. If Fenced is set, an attempt in PhaseNone is guaranteed never to start.
type LookReply struct {
	Boot   string     `json:"boot"`
	Status TaskStatus `json:"status"`
	Fenced bool       `json:"fenced"`
}

// RequestSpec is a caller's short request to the service of a workspace. A request that is not idempotent
// needs a Key, which distinguishes a repeat from a new request.
type RequestSpec struct {
	Workspace  string `json:"workspace"`
	Key        string `json:"key,omitempty"`
	Idempotent bool   `json:"idempotent,omitempty"`
	DeadlineMs int64  `json:"deadline_ms,omitempty"`
	Payload    []byte `json:"payload,omitempty"`
}

// maxRequestDeadlineMs is the maximum deadline of a short request, in milliseconds.
const maxRequestDeadlineMs = 60_000

// Check validates every field and returns a FieldError for the first invalid one.
func (s *RequestSpec) Check() error {
	if err := checkName("workspace", s.Workspace); err != nil {
		return err
	}
	if s.Key != "" || !s.Idempotent {
		if err := checkName("key", s.Key); err != nil {
			return err
		}
	}
	if s.DeadlineMs < 0 || s.DeadlineMs > maxRequestDeadlineMs {
		return invalid("deadline_ms", "is %d, want 0 (default) to %d", s.DeadlineMs, maxRequestDeadlineMs)
	}
	if len(s.Payload) > MaxPayload {
		return invalid("payload", "has %d bytes, want at most %d", len(s.Payload), MaxPayload)
	}
	return nil
}

// Call is a short request as sent to a target.
type Call struct {
	ID        string `json:"id"`
	Workspace string `json:"workspace"`
	Payload   []byte `json:"payload,omitempty"`
}

// CallReply is the reply to a Call.
type CallReply struct {
	ID     string `json:"id"`
	Answer Answer `json:"answer"`
}
