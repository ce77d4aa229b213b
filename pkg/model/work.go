package model

import "fmt"

// Room is an amount of each resource, either offered by a worker or needed by a task.
type Room struct {
	Millicores   int `json:"millicores,omitempty"`
	MemoryMB     int `json:"memory_mb,omitempty"`
	Accelerators int `json:"accelerators,omitempty"`
}

// The largest amounts of a Room, far above those of any machine. Sums over a whole fleet stay far from the limits of
// their type.
const (
	MaxMillicores   = 1 << 24
	MaxMemoryMB     = 1 << 28
	MaxAccelerators = 1 << 14
)

// Check returns a FieldError for the first amount that is negative or too large.
func (r Room) Check() error {
	for _, a := range [...]struct {
		field       string
		amount, max int
	}{
		{"millicores", r.Millicores, MaxMillicores}, {"memory_mb", r.MemoryMB, MaxMemoryMB}, {"accelerators", r.Accelerators, MaxAccelerators},
	} {
		if a.amount < 0 || a.amount > a.max {
			return invalid(a.field, "is %d, want 0 to %d", a.amount, a.max)
		}
	}
	return nil
}

// Plus returns r plus n times o.
func (r Room) Plus(o Room, n int) Room {
	r.Millicores += n * o.Millicores
	r.MemoryMB += n * o.MemoryMB
	r.Accelerators += n * o.Accelerators
	return r
}

// Minus returns r minus n times o.
func (r Room) Minus(o Room, n int) Room { return r.Plus(o, -n) }

// Times returns how many times each fits into r, at most limit. Resources that each does not
// need are ignored; if it needs none, Times returns limit.
func (r Room) Times(each Room, limit int) int {
	n := limit
	for _, amounts := range [...][2]int{
		{r.Millicores, each.Millicores}, {r.MemoryMB, each.MemoryMB}, {r.Accelerators, each.Accelerators},
	} {
		if amounts[1] > 0 {
			n = min(n, max(0, amounts[0])/amounts[1])
		}
	}
	return n
}

// Cores returns the room as a number of cores, with each accelerator counted as
// coresPerAccelerator cores.
func (r Room) Cores() float64 {
	return float64(r.Millicores)/1000 + coresPerAccelerator*float64(r.Accelerators)
}

// coresPerAccelerator is the weight of accelerator time relative to core time. The users' rules
// use the same weight for discarded work.
const coresPerAccelerator = 8

const (
	// MaxSteps is the maximum number of steps in one Work.
	MaxSteps = 100
	// MaxStepTasks is the maximum number of tasks in one step.
	MaxStepTasks = 1000
	// MaxWorkTasks is the maximum number of tasks in all steps and repetitions of one Work.
	MaxWorkTasks = 10_000
	// MaxUnixMs is the latest time of day that is accepted, some 8,000 years from now, in Unix milliseconds.
	MaxUnixMs = 1 << 48
	// MaxDurationMs is the longest duration that is accepted, a year, in milliseconds.
	MaxDurationMs = 366 * 24 * 3600 * 1000
)

// Step is a group of identical tasks of a Work.
type Step struct {
	Tasks      int   `json:"tasks"`
	Each       Room  `json:"each"`
	EstimateMs int64 `json:"estimate_ms,omitempty"`
	// After lists the indexes of earlier steps that must have completed successfully.
	After []int `json:"after,omitempty"`
	// Gang means that the tasks must all run together.
	Gang bool `json:"gang,omitempty"`
	// OneRack means that the tasks run slower when spread over several racks.
	OneRack bool `json:"one_rack,omitempty"`
	// Label is a label that a worker must have; empty means any worker.
	Label string `json:"label,omitempty"`
	// DataRack is the rack closest to the step's data; tasks run slower on other racks.
	DataRack string `json:"data_rack,omitempty"`
	// PerWorker is the maximum number of the step's tasks on one worker; 0 means no limit.
	PerWorker int `json:"per_worker,omitempty"`
	// Resumes means that the tasks save their progress and can resume from it.
	Resumes bool `json:"resumes,omitempty"`
	// Races means that several copies of a task may run concurrently.
	Races bool `json:"races,omitempty"`
	// Lasts means that the tasks run until the job is cancelled.
	Lasts bool `json:"lasts,omitempty"`
	// Image is the name of the image that the tasks run.
	Image string `json:"image,omitempty"`
	// TargetMs is the response-time target for the users of a long-running task, in milliseconds.
	TargetMs int64 `json:"target_ms,omitempty"`
	// Fills means that the tasks use only cores left idle by other tasks.
	Fills bool `json:"fills,omitempty"`
	// MayMiss is how many tasks may be down at once because of the scheduler's own actions.
	MayMiss int `json:"may_miss,omitempty"`
}

// Need returns the room that one task reserves on its worker. A task that fills idle cores reserves no cores.
func (s *Step) Need() Room {
	r := s.Each
	if s.Fills {
		r.Millicores = 0
	}
	return r
}

// Work is a job made of steps, as accepted.
type Work struct {
	ID        string `json:"id"`
	Workspace string `json:"workspace"`
	// Queue is the configuration of the queue at the time of acceptance.
	Queue   Queue  `json:"queue"`
	Payload string `json:"payload,omitempty"`
	Steps   []Step `json:"steps"`
	// Repeats is how many times the steps run; 0 and 1 both mean once.
	Repeats int `json:"repeats,omitempty"`
	// FirstMs is when the first repetition is due, in Unix milliseconds; 0 means immediately.
	FirstMs int64 `json:"first_ms,omitempty"`
	// EveryMs is the interval between repetitions, in milliseconds.
	EveryMs int64 `json:"every_ms,omitempty"`
	// AcceptedMs is when the accepting node received the work, in Unix milliseconds.
	AcceptedMs int64 `json:"accepted_ms"`
}

// IsWorkID reports whether a Work can have this ID.
func IsWorkID(id string) bool { return checkName("id", id) == nil }

// Check validates the fields and returns a FieldError for the first invalid one.
func (w *Work) Check() error {
	if err := checkName("id", w.ID); err != nil {
		return err
	}
	if len(w.Steps) == 0 || len(w.Steps) > MaxSteps {
		return invalid("steps", "has %d entries, want 1 to %d", len(w.Steps), MaxSteps)
	}
	if w.Repeats < 0 || w.EveryMs < 0 {
		return invalid("repeats", "is negative")
	}
	if w.EveryMs > MaxDurationMs {
		return invalid("every_ms", "is %d, want at most %d", w.EveryMs, MaxDurationMs)
	}
	if w.FirstMs < 0 || w.FirstMs > MaxUnixMs {
		return invalid("first_ms", "is %d, want 0 to %d", w.FirstMs, MaxUnixMs)
	}
	tasks := 0
	for i := range w.Steps {
		if err := w.Steps[i].check(i); err != nil {
			return err
		}
		tasks += w.Steps[i].Tasks
	}
	if w.Times() > MaxWorkTasks/tasks {
		return invalid("repeats", "is %d, want at most %d in all of the %d tasks", w.Repeats, MaxWorkTasks, tasks)
	}
	return nil
}

func (s *Step) check(index int) error {
	if s.Tasks < 1 || s.Tasks > MaxStepTasks {
		return invalid("steps.tasks", "is %d, want 1 to %d", s.Tasks, MaxStepTasks)
	}
	if err := s.Each.Check(); err != nil {
		return fmt.Errorf("steps.each: %w", err)
	}
	if s.EstimateMs < 0 || s.EstimateMs > MaxDurationMs || s.TargetMs < 0 || s.TargetMs > MaxDurationMs {
		return invalid("steps", "has an estimate of %d ms and a target of %d ms, want 0 to %d", s.EstimateMs, s.TargetMs, MaxDurationMs)
	}
	if s.PerWorker < 0 || s.MayMiss < 0 {
		return invalid("steps", "has a negative bound of tasks")
	}
	for _, a := range s.After {
		if a < 0 || a >= index {
			return invalid("steps.after", "names step %d, want an earlier one than %d", a, index)
		}
	}
	return nil
}

// Times returns how many times the steps run, at least 1.
func (w *Work) Times() int { return max(1, w.Repeats) }

// DueMs returns when repetition k (counted from 0) is due, in Unix milliseconds.
func (w *Work) DueMs(k int) int64 {
	if w.FirstMs == 0 && w.Repeats == 0 {
		return w.AcceptedMs
	}
	return w.FirstMs + int64(k)*w.EveryMs
}

// ChainMs returns the critical-path length of the steps, from their estimates, in milliseconds.
func (w *Work) ChainMs() int64 {
	ends := make([]int64, len(w.Steps))
	var longest int64
	for i, s := range w.Steps {
		for _, a := range s.After {
			ends[i] = max(ends[i], ends[a])
		}
		ends[i] += s.EstimateMs
		longest = max(longest, ends[i])
	}
	return longest
}

// Queue is the configuration of a queue to which callers submit one kind of work.
type Queue struct {
	Name   string `json:"name"`
	Host   string `json:"host,omitempty"`
	Prefix string `json:"prefix,omitempty"`
	// Pool is the name of the worker pool that runs the queue's tasks.
	Pool string `json:"pool"`
	// Priority 0 is the highest and may preempt work of other priorities.
	Priority int `json:"priority,omitempty"`
	// Attempts is the number of failed runs after which a job fails; values below 1 count as 1.
	Attempts int `json:"attempts,omitempty"`
	// Stretch and AimMs define the response-time goal: Stretch times the critical-path
	// length of the steps, plus AimMs milliseconds.
	Stretch   float64 `json:"stretch,omitempty"`
	AimMs     int64   `json:"aim_ms,omitempty"`
	TimeoutMs int64   `json:"timeout_ms,omitempty"`
	// Open means that callers need no API key.
	Open bool `json:"open,omitempty"`
	// Advice describes the queue's adviser. If set, tasks may run only on workers
	// that the adviser allows.
	Advice *Advice `json:"advice,omitempty"`
}

// Advice describes how long the adviser of a queue takes and how long its answers are valid.
type Advice struct {
	// DecideMs is the fixed time per question and EachMs the time per worker in it, in milliseconds.
	DecideMs float64 `json:"decide_ms,omitempty"`
	EachMs   float64 `json:"each_ms,omitempty"`
	// ValidMs is how long a ticket is valid, in milliseconds; an answer may give a different time.
	ValidMs float64 `json:"valid_ms,omitempty"`
}

// PlanSpace is the entry of a workspace in a plan.
type PlanSpace struct {
	Name string   `json:"name"`
	Keys []string `json:"keys"`
	// Guaranteed is the number of accelerators guaranteed to its urgent work.
	Guaranteed int `json:"guaranteed"`
}

// PlanPool is the entry of a worker pool in a plan.
type PlanPool struct {
	Name string `json:"name"`
	// Spare means that the VMs of the pool are powered off.
	Spare bool `json:"spare,omitempty"`
	// Guards means that the workers of the pool reject tasks that do not fit.
	Guards bool `json:"guards,omitempty"`
}

// Plan is one version of the operators' configuration of queues, pools and workspaces.
type Plan struct {
	Version uint64      `json:"version"`
	Queues  []Queue     `json:"queues"`
	Pools   []PlanPool  `json:"pools"`
	Spaces  []PlanSpace `json:"workspaces"`
	// MaxBody is the maximum size of the body of a caller's request, in bytes; 0 means no limit.
	MaxBody int `json:"max_body,omitempty"`
}

// Find returns the queue on host with the longest Prefix that path starts with, or nil.
func (p *Plan) Find(host, path string) *Queue {
	var best *Queue
	for i := range p.Queues {
		q := &p.Queues[i]
		if q.Host == host && len(path) >= len(q.Prefix) && path[:len(q.Prefix)] == q.Prefix &&
			(best == nil || len(q.Prefix) > len(best.Prefix)) {
			best = q
		}
	}
	return best
}

// Space returns the name of the workspace that owns the API key, and whether there is one.
func (p *Plan) Space(key string) (string, bool) {
	for _, s := range p.Spaces {
		for _, k := range s.Keys {
			if k == key {
				return s.Name, true
			}
		}
	}
	return "", false
}
