package model

// RoleEntry marks an entry VM in the platform's list; other VMs are targets.
const RoleEntry = "entry"

// VM is one entry of the platform's list. Addr is a target's address for
// orders, or an entry VM's address for peers.
type VM struct {
	ID           string `json:"id"`
	Addr         string `json:"addr"`
	Zone         string `json:"zone"`
	Rack         string `json:"rack"`
	Accelerators int    `json:"accelerators"`
	Leaving      bool   `json:"leaving,omitempty"`
	Role         string `json:"role,omitempty"`
}

// Check verifies the fields that placement relies on.
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

// TaskRef names one attempt of one job on a worker.
type TaskRef struct {
	Job     string `json:"job"`
	Attempt int    `json:"attempt"`
}

// Fence carries the right under which an owner gives orders.
type Fence struct {
	Cell  string `json:"cell"`
	Epoch uint64 `json:"epoch"`
}

// Reserve asks a worker to hold Count accelerators for a member of a gang.
type Reserve struct {
	TaskRef
	Fence
	Rank    int   `json:"rank"`
	Count   int   `json:"count"`
	LeaseMs int64 `json:"lease_ms"`
}

// ReserveReply names the worker's incarnation, which changes when it restarts
// and forgets what it ran.
type ReserveReply struct {
	Boot string `json:"boot"`
}

// Start asks a worker to run a reserved member: Tasks of the gang's Gang tasks.
type Start struct {
	TaskRef
	Fence
	Rank    int    `json:"rank"`
	Tasks   int    `json:"tasks"`
	Gang    int    `json:"gang"`
	LeaseMs int64  `json:"lease_ms"`
	Payload []byte `json:"payload,omitempty"`
}

// Renew extends the leases of the listed tasks and acknowledges ended ones.
type Renew struct {
	Fence
	LeaseMs int64     `json:"lease_ms"`
	Tasks   []TaskRef `json:"tasks"`
	Ack     []TaskRef `json:"ack,omitempty"`
}

// TaskPhase is where a task stands on its worker.
type TaskPhase string

// The phases of a task; PhaseNone means that the worker never saw the attempt.
const (
	PhaseNone     TaskPhase = "none"
	PhaseReserved TaskPhase = "reserved"
	PhaseRunning  TaskPhase = "running"
	PhaseDone     TaskPhase = "done"
	PhaseFailed   TaskPhase = "failed"
	PhaseStopped  TaskPhase = "stopped"
	PhaseLapsed   TaskPhase = "lapsed"
)

// Ended reports whether the task holds no accelerators any more.
func (p TaskPhase) Ended() bool {
	switch p {
	case PhaseDone, PhaseFailed, PhaseStopped, PhaseLapsed:
		return true
	}
	return false
}

// TaskStatus is a worker's report on one task.
type TaskStatus struct {
	TaskRef
	Rank    int       `json:"rank"`
	Phase   TaskPhase `json:"phase"`
	Started bool      `json:"started"`
	Error   string    `json:"error,omitempty"`
	Answer  *Answer   `json:"answer,omitempty"`
}

// RenewReply lists every task that the worker knows for the cell and that was
// not acknowledged; answers above MaxInline come without their bytes.
type RenewReply struct {
	Boot    string       `json:"boot"`
	Tasks   []TaskStatus `json:"tasks"`
	Leaving bool         `json:"leaving,omitempty"`
}

// Stop asks a worker to end a task, after a checkpoint if asked.
type Stop struct {
	TaskRef
	Fence
	Checkpoint bool `json:"checkpoint,omitempty"`
}

// Look asks what became of an attempt; Fence makes the worker refuse any later
// start under an older epoch.
type Look struct {
	TaskRef
	Fence
}

// LookReply is the answer to Look; Fenced promises that an attempt in
// PhaseNone will never start.
type LookReply struct {
	Boot   string     `json:"boot"`
	Status TaskStatus `json:"status"`
	Fenced bool       `json:"fenced"`
}

// RequestSpec is a caller's short request to a workspace's service. Key is
// needed for one that is not idempotent: it tells a repeat from a new request.
type RequestSpec struct {
	Workspace  string `json:"workspace"`
	Key        string `json:"key,omitempty"`
	Idempotent bool   `json:"idempotent,omitempty"`
	DeadlineMs int64  `json:"deadline_ms,omitempty"`
	Payload    []byte `json:"payload,omitempty"`
}

// maxCallDeadline bounds the deadline of a short request, in ms.
const maxCallDeadline = 60_000

// Check verifies every field and names the first that is wrong.
func (s *RequestSpec) Check() error {
	if err := checkName("workspace", s.Workspace); err != nil {
		return err
	}
	if s.Key != "" || !s.Idempotent {
		if err := checkName("key", s.Key); err != nil {
			return err
		}
	}
	if s.DeadlineMs < 0 || s.DeadlineMs > maxCallDeadline {
		return invalid("deadline_ms", "is %d, want 0 (default) to %d", s.DeadlineMs, maxCallDeadline)
	}
	if len(s.Payload) > MaxPayload {
		return invalid("payload", "has %d bytes, want at most %d", len(s.Payload), MaxPayload)
	}
	return nil
}

// Call is a short request as a target gets it.
type Call struct {
	ID        string `json:"id"`
	Workspace string `json:"workspace"`
	Payload   []byte `json:"payload,omitempty"`
}

// CallReply is the answer to a Call.
type CallReply struct {
	ID     string `json:"id"`
	Answer Answer `json:"answer"`
}
