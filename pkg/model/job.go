package model

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

const (
	// MaxTasks is the largest gang, in tasks.
	MaxTasks = 128
	// MaxEach is the largest number of accelerators that one task may ask for.
	MaxEach = 16
	// MaxPayload is the largest payload of a job or request, in bytes.
	MaxPayload = 64 << 10
	// MaxInline is the largest answer kept in the job's row, in bytes.
	MaxInline = 8 << 10
	// MaxAnswer is the largest answer of a job, in bytes.
	MaxAnswer = 4 << 20
	// maxNotes bounds the history kept with a job.
	maxNotes = 40
	// maxDuration bounds declared run times and deadlines: 30 days in ms.
	maxDuration = 30 * 24 * 3600 * 1000
)

// State is a job's place in its life.
type State string

// The states of a job; those from Done on are final.
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

// Final reports whether a job in state s never changes again.
func (s State) Final() bool {
	switch s {
	case Done, Failed, Cancelled, Refused, Unknown:
		return true
	}
	return false
}

// Mode says under which right a job occupies accelerators.
type Mode string

// Guaranteed work uses its workspace's share, Spare work is unpreemptible
// outside all shares, and Borrowed work is evicted when its place is reclaimed.
const (
	Guaranteed Mode = "guaranteed"
	Spare      Mode = "spare"
	Borrowed   Mode = "borrowed"
)

// Shape is a gang: Tasks tasks with Each accelerators on one worker for each.
type Shape struct {
	Tasks int `json:"tasks" toml:"tasks"`
	Each  int `json:"each" toml:"each"`
}

// Accelerators returns the total number of accelerators of the shape.
func (s Shape) Accelerators() int { return s.Tasks * s.Each }

// Check verifies the bounds of both dimensions.
func (s Shape) Check() error {
	if s.Tasks < 1 || s.Tasks > MaxTasks {
		return invalid("shape.tasks", "is %d, want 1 to %d", s.Tasks, MaxTasks)
	}
	if s.Each < 1 || s.Each > MaxEach {
		return invalid("shape.each", "is %d, want 1 to %d", s.Each, MaxEach)
	}
	return nil
}

// JobSpec is what a caller asks for.
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

// Check verifies every field and names the first that is wrong.
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
	if s.EstimateMs < 1 || s.EstimateMs > maxDuration {
		return invalid("estimate_ms", "is %d, want 1 to %d", s.EstimateMs, int64(maxDuration))
	}
	if s.DeadlineMs < 0 || s.DeadlineMs > maxDuration {
		return invalid("deadline_ms", "is %d, want 0 (none) to %d", s.DeadlineMs, int64(maxDuration))
	}
	if len(s.Payload) > MaxPayload {
		return invalid("payload", "has %d bytes, want at most %d", len(s.Payload), MaxPayload)
	}
	return nil
}

// Member is the part of a gang that runs on one worker: Tasks tasks, whose
// ranks start at Rank.
type Member struct {
	Rank   int    `json:"rank"`
	Tasks  int    `json:"tasks"`
	Worker string `json:"worker"`
	Addr   string `json:"addr"`
	// Boot is the worker's incarnation that holds the reservation.
	Boot string `json:"boot"`
}

// Answer is the result of a job; it is valid only if Length and Sum match.
type Answer struct {
	Length int    `json:"length"`
	Sum    uint64 `json:"sum"`
	Inline []byte `json:"inline,omitempty"`
	Object string `json:"object,omitempty"`
}

// NewAnswer returns an inline answer with its length and xxhash64 checksum.
func NewAnswer(data []byte) Answer {
	return Answer{Length: len(data), Sum: xxhash.Sum64(data), Inline: data}
}

// Verify reports whether data is the whole answer.
func (a Answer) Verify(data []byte) bool {
	return len(data) == a.Length && xxhash.Sum64(data) == a.Sum
}

// WithObject returns the answer with its bytes moved to the named object.
func (a Answer) WithObject(name string) Answer {
	a.Inline = nil
	a.Object = name
	return a
}

// Note is one step in a job's history.
type Note struct {
	AtMs   int64  `json:"at_ms"`
	State  State  `json:"state"`
	Reason string `json:"reason"`
}

// Job is the durable row of a job.
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

// Check verifies the fields that the scheduler relies on.
func (j *Job) Check() error {
	if err := checkName("id", j.ID); err != nil {
		return err
	}
	if j.State == "" {
		return invalid("state", "is empty")
	}
	return j.Spec.Check()
}

// WithState returns the job in state s with a note of the reason at atMs.
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

// WithAttempt returns the job as attempt n on members, as part of the named
// guaranteed share if claim is not empty.
func (j Job) WithAttempt(n int, mode Mode, claim string, members []Member) Job {
	j.Attempt = n
	j.Mode = mode
	j.Claim = claim
	j.Members = members
	return j
}

// WithAnswer returns the job with its answer.
func (j Job) WithAnswer(a Answer) Job {
	j.Answer = &a
	return j
}

// WithFailedOn returns the job with a worker added to those it failed on.
func (j Job) WithFailedOn(worker string) Job {
	if !slices.Contains(j.FailedOn, worker) {
		j.FailedOn = append(slices.Clone(j.FailedOn), worker)
	}
	return j
}

// JobID joins a cell and a unique part into a job's id.
func JobID(cell, unique string) string { return cell + "." + unique }

// CellOf returns the cell that a job's id names, or "" if it names none.
func CellOf(id string) string {
	cell, _, ok := strings.Cut(id, ".")
	if !ok {
		return ""
	}
	return cell
}
