package model

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

const (
	// MaxTasks is the maximum number of tasks in a gang.
	MaxTasks = 128
	// MaxEach is the maximum number of accelerators per task.
	MaxEach = 16
	// MaxPayload is the maximum size of the payload of a job or request, in bytes.
	MaxPayload = 64 << 10
	// MaxInline is the maximum size of an answer stored in the job's row, in bytes.
	MaxInline = 8 << 10
	// MaxAnswer is the maximum size of the answer of a job, in bytes.
	MaxAnswer = 4 << 20
	// maxNotes is the maximum number of history entries kept with a job; the oldest are dropped.
	maxNotes = 40
	// maxDurationMs is the maximum declared run time or deadline: 30 days, in milliseconds.
	maxDurationMs = 30 * 24 * 3600 * 1000
)

// State is the lifecycle state of a job.
type State string

// The states of a job. Done and those after it are final.
const (
	Accepted  State = "accepted"
	Starting  State = "starting"
	Running   State = "running"
	Done      State = "done"
	Failed    State = "failed"
	Cancelled State = "cancelled"
	Refused   State = "refused"
	Unknown   State = "unknown"
)

// Final reports whether s is a final state, which a job never leaves.
func (s State) Final() bool {
	switch s {
	case Done, Failed, Cancelled, Refused, Unknown:
		return true
	}
	return false
}

// Mode is the entitlement under which a job occupies accelerators.
type Mode string

// Guaranteed work uses its workspace's guaranteed share. Spare work runs outside all shares
// and is not preemptible. Borrowed work is evicted when its accelerators are reclaimed.
const (
	Guaranteed Mode = "guaranteed"
	Spare      Mode = "spare"
	Borrowed   Mode = "borrowed"
)

// Shape is the size of a gang: Tasks tasks, each with Each accelerators on one worker.
type Shape struct {
	Tasks int `json:"tasks" toml:"tasks"`
	Each  int `json:"each" toml:"each"`
}

// Accelerators returns the total number of accelerators of the shape.
func (s Shape) Accelerators() int { return s.Tasks * s.Each }

// Check returns an error if Tasks or Each is out of bounds.
func (s Shape) Check() error {
	if s.Tasks < 1 || s.Tasks > MaxTasks {
		return invalid("shape.tasks", "is %d, want 1 to %d", s.Tasks, MaxTasks)
	}
	if s.Each < 1 || s.Each > MaxEach {
		return invalid("shape.each", "is %d, want 1 to %d", s.Each, MaxEach)
	}
	return nil
}

// JobSpec is the specification of a job as a caller submits it.
type JobSpec struct {
	Workspace  string `json:"workspace"`
	Key        string `json:"key"`
	Shape      Shape  `json:"shape"`
	Class      string `json:"class,omitempty"`
	Urgent     bool   `json:"urgent,omitempty"`
	Idempotent bool   `json:"idempotent,omitempty"`
	Checkpoint bool   `json:"checkpoint,omitempty"`
	EstimateMs int64  `json:"estimate_ms"`
	DeadlineMs int64  `json:"deadline_ms,omitempty"`
	Payload    []byte `json:"payload,omitempty"`
}

// Check validates every field and returns a FieldError for the first invalid one.
func (s *JobSpec) Check() error {
	if err := checkName("workspace", s.Workspace); err != nil {
		return err
	}
	if err := checkName("key", s.Key); err != nil {
		return err
	}
	if s.Class != "" {
		if err := checkName("class", s.Class); err != nil {
			return err
		}
	}
	if err := s.Shape.Check(); err != nil {
		return err
	}
	if s.EstimateMs < 1 || s.EstimateMs > maxDurationMs {
		return invalid("estimate_ms", "is %d, want 1 to %d", s.EstimateMs, int64(maxDurationMs))
	}
	if s.DeadlineMs < 0 || s.DeadlineMs > maxDurationMs {
		return invalid("deadline_ms", "is %d, want 0 (none) to %d", s.DeadlineMs, int64(maxDurationMs))
	}
	if len(s.Payload) > MaxPayload {
		return invalid("payload", "has %d bytes, want at most %d", len(s.Payload), MaxPayload)
	}
	return nil
}

// Member is the part of a gang that runs on one worker: Tasks tasks with consecutive ranks from Rank.
type Member struct {
	Rank   int    `json:"rank"`
	Tasks  int    `json:"tasks"`
	Worker string `json:"worker"`
	Addr   string `json:"addr"`
	// Boot is the incarnation of the worker that holds the reservation.
	Boot string `json:"boot"`
}

// Answer is the result of a job. Its bytes are valid only if they match Length and Sum.
type Answer struct {
	Length int    `json:"length"`
	Sum    uint64 `json:"sum"`
	Inline []byte `json:"inline,omitempty"`
	Object string `json:"object,omitempty"`
}

// NewAnswer returns an inline answer with the length and xxhash64 checksum of data.
func NewAnswer(data []byte) Answer {
	return Answer{Length: len(data), Sum: xxhash.Sum64(data), Inline: data}
}

// Verify reports whether data matches the length and checksum of the answer.
func (a Answer) Verify(data []byte) bool {
	return len(data) == a.Length && xxhash.Sum64(data) == a.Sum
}

// WithObject returns a copy that has no inline bytes and refers to the named object instead.
func (a Answer) WithObject(name string) Answer {
	a.Inline = nil
	a.Object = name
	return a
}

// Note is one entry of the history of a job.
type Note struct {
	AtMs   int64  `json:"at_ms"`
	State  State  `json:"state"`
	Reason string `json:"reason"`
}

// Job is the durable record of a job.
type Job struct {
	ID         string   `json:"id"`
	Cell       string   `json:"cell"`
	Spec       JobSpec  `json:"spec"`
	State      State    `json:"state"`
	Mode       Mode     `json:"mode,omitempty"`
	Claim      string   `json:"claim,omitempty"`
	Attempt    int      `json:"attempt"`
	Members    []Member `json:"members,omitempty"`
	AcceptedMs int64    `json:"accepted_ms"`
	StartedMs  int64    `json:"started_ms,omitempty"`
	EndedMs    int64    `json:"ended_ms,omitempty"`
	Answer     *Answer  `json:"answer,omitempty"`
	FailedOn   []string `json:"failed_on,omitempty"`
	Generation uint64   `json:"generation"`
	Notes      []Note   `json:"notes,omitempty"`
}

// Check validates the fields that the scheduler relies on.
func (j *Job) Check() error {
	if err := checkName("id", j.ID); err != nil {
		return err
	}
	if j.State == "" {
		return invalid("state", "is empty")
	}
	return j.Spec.Check()
}

// WithState returns a copy of the job in state s, with a history entry for the reason at atMs
// (Unix milliseconds). A final state also sets EndedMs.
func (j Job) WithState(s State, atMs int64, reason string) Job {
	j.State = s
	j.Notes = append(slices.Clone(j.Notes), Note{AtMs: atMs, State: s, Reason: reason})
	if extra := len(j.Notes) - maxNotes; extra > 0 {
		j.Notes = j.Notes[extra:]
	}
	if s.Final() {
		j.EndedMs = atMs
	}
	return j
}

// WithAttempt returns a copy of the job for attempt n on members. A non-empty claim names
// the guaranteed share that the attempt uses.
func (j Job) WithAttempt(n int, mode Mode, claim string, members []Member) Job {
	j.Attempt = n
	j.Mode = mode
	j.Claim = claim
	j.Members = members
	return j
}

// WithAnswer returns a copy of the job with the answer a.
func (j Job) WithAnswer(a Answer) Job {
	j.Answer = &a
	return j
}

// WithFailedOn returns a copy of the job with worker added to the workers on which it failed.
func (j Job) WithFailedOn(worker string) Job {
	if !slices.Contains(j.FailedOn, worker) {
		j.FailedOn = append(slices.Clone(j.FailedOn), worker)
	}
	return j
}

// JobID returns the job ID made of a cell and a part that is unique within it.
func JobID(cell, unique string) string { return cell + "." + unique }

// CellOf returns the cell part of a job ID, or "" if the ID has none.
func CellOf(id string) string {
	cell, _, ok := strings.Cut(id, ".")
	if !ok {
		return ""
	}
	return cell
}
