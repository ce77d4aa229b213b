package model

// Room is an amount of each resource that a worker offers or a task needs.
type Room struct {
	Millicores   int `json:"millicores,omitempty"`
	MemoryMB     int `json:"memory_mb,omitempty"`
	Accelerators int `json:"accelerators,omitempty"`
}

// Plus returns r with n times o added.
func (r Room) Plus(o Room, n int) Room {
	r.Millicores += n * o.Millicores
	r.MemoryMB += n * o.MemoryMB
	r.Accelerators += n * o.Accelerators
	return r
}

// Minus returns r with n times o taken away.
func (r Room) Minus(o Room, n int) Room { return r.Plus(o, -n) }

// Times returns how many of each fit into r; a resource that is not needed
// does not count, and a need of nothing fits as often as limit says.
func (r Room) Times(each Room, limit int) int {
	n := limit
	for _, pair := range [...][2]int{
		{r.Millicores, each.Millicores}, {r.MemoryMB, each.MemoryMB}, {r.Accelerators, each.Accelerators},
	} {
		if pair[1] > 0 {
			n = min(n, max(0, pair[0])/pair[1])
		}
	}
	return n
}

// Cores returns the room as a number of cores, an accelerator counted as
// coresPerAccelerator.
func (r Room) Cores() float64 {
	return float64(r.Millicores)/1000 + coresPerAccelerator*float64(r.Accelerators)
}

// coresPerAccelerator weighs an accelerator's time against a core's, as the
// users' page of rules does for work that is thrown away.
const coresPerAccelerator = 8

const (
	// MaxSteps bounds the steps of one piece of work.
	MaxSteps = 100
	// MaxStepTasks bounds the tasks of one step; a record of that many tasks
	// stays within one row of the store.
	MaxStepTasks = 1000
)

// Step is a number of like tasks of a piece of work.
type Step struct {
	Tasks      int   `json:"tasks"`
	Each       Room  `json:"each"`
	EstimateMs int64 `json:"estimate_ms,omitempty"`
	// After lists the earlier steps that must have ended well.
	After []int `json:"after,omitempty"`
	// Gang means that the tasks only work together.
	Gang bool `json:"gang,omitempty"`
	// OneRack means that tasks on several racks run slower.
	OneRack bool `json:"one_rack,omitempty"`
	// Label must be among the worker's labels, if set.
	Label string `json:"label,omitempty"`
	// DataRack is the rack near the step's data; elsewhere tasks run slower.
	DataRack string `json:"data_rack,omitempty"`
	// PerWorker bounds the step's tasks on one worker; 0 is no bound.
	PerWorker int `json:"per_worker,omitempty"`
	// Resumes means that the tasks save their progress.
	Resumes bool `json:"resumes,omitempty"`
	// Races means that copies of a task may run at once.
	Races bool `json:"races,omitempty"`
	// Lasts means that tasks run until the job is cancelled.
	Lasts bool `json:"lasts,omitempty"`
	// Image names what the tasks run.
	Image string `json:"image,omitempty"`
	// TargetMs bounds the response time of the users of a lasting task.
	TargetMs int64 `json:"target_ms,omitempty"`
	// Fills means that the tasks use cores that others leave idle.
	Fills bool `json:"fills,omitempty"`
	// MayMiss is how many tasks may be away at once by the scheduler's doing.
	MayMiss int `json:"may_miss,omitempty"`
}

// Need returns the room that the placement of one task takes.
func (s *Step) Need() Room {
	r := s.Each
	if s.Fills {
		r.Millicores = 0
	}
	return r
}

// Work is a job made of steps, as it was accepted.
type Work struct {
	ID        string `json:"id"`
	Workspace string `json:"workspace"`
	// Queue is the queue as it was configured at acceptance.
	Queue   Queue  `json:"queue"`
	Payload string `json:"payload,omitempty"`
	Steps   []Step `json:"steps"`
	// Repeats is how often the steps run; 0 and 1 are once.
	Repeats int `json:"repeats,omitempty"`
	// FirstMs is when the first time is due, in Unix ms; 0 is at once.
	FirstMs int64 `json:"first_ms,omitempty"`
	// EveryMs lies between two times.
	EveryMs int64 `json:"every_ms,omitempty"`
	// AcceptedMs is when the accepting node got it, in Unix ms.
	AcceptedMs int64 `json:"accepted_ms"`
}

// Check verifies every field and names the first that is wrong.
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
	for i := range w.Steps {
		if err := w.Steps[i].check(i); err != nil {
			return err
		}
	}
	return nil
}

func (s *Step) check(at int) error {
	if s.Tasks < 1 || s.Tasks > MaxStepTasks {
		return invalid("steps.tasks", "is %d, want 1 to %d", s.Tasks, MaxStepTasks)
	}
	if s.Each.Millicores < 0 || s.Each.MemoryMB < 0 || s.Each.Accelerators < 0 {
		return invalid("steps.each", "is negative")
	}
	for _, a := range s.After {
		if a < 0 || a >= at {
			return invalid("steps.after", "names step %d, want an earlier one than %d", a, at)
		}
	}
	return nil
}

// Times returns how often the steps run.
func (w *Work) Times() int { return max(1, w.Repeats) }

// DueMs returns when time k is due, in Unix ms.
func (w *Work) DueMs(k int) int64 {
	if w.FirstMs == 0 && w.Repeats == 0 {
		return w.AcceptedMs
	}
	return w.FirstMs + int64(k)*w.EveryMs
}

// ChainMs returns the longest chain of estimates through the steps.
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

// Queue is where callers hand in work of one kind.
type Queue struct {
	Name   string `json:"name"`
	Host   string `json:"host,omitempty"`
	Prefix string `json:"prefix,omitempty"`
	// Pool names the workers that run the queue's tasks.
	Pool string `json:"pool"`
	// Priority 0 comes first and may displace others.
	Priority int `json:"priority,omitempty"`
	// Attempts is how many failed runs end a job; at least 1.
	Attempts int `json:"attempts,omitempty"`
	// Stretch and AimMs give the response-time goal: Stretch times the
	// longest chain, and AimMs more.
	Stretch   float64 `json:"stretch,omitempty"`
	AimMs     int64   `json:"aim_ms,omitempty"`
	TimeoutMs int64   `json:"timeout_ms,omitempty"`
	// Open queues need no key.
	Open bool `json:"open,omitempty"`
	// Advice is set for queues whose tasks may run only on workers that the
	// adviser allows, and says how it answers.
	Advice *Advice `json:"advice,omitempty"`
}

// Advice says how the adviser of a queue answers a question.
type Advice struct {
	// DecideMs and EachMs are the time of a question and of each worker in it.
	DecideMs float64 `json:"decide_ms,omitempty"`
	EachMs   float64 `json:"each_ms,omitempty"`
	// ValidMs is how long a ticket is valid; an answer may tell another figure.
	ValidMs float64 `json:"valid_ms,omitempty"`
}

// PlanSpace is a workspace in a plan.
type PlanSpace struct {
	Name string   `json:"name"`
	Keys []string `json:"keys"`
	// Guaranteed is the number of accelerators for its urgent work.
	Guaranteed int `json:"guaranteed"`
}

// PlanPool is a pool of workers in a plan.
type PlanPool struct {
	Name string `json:"name"`
	// Spare pools hold VMs that are off.
	Spare bool `json:"spare,omitempty"`
	// Guards means that its workers refuse what does not fit.
	Guards bool `json:"guards,omitempty"`
}

// Plan is one version of what operators want: queues, pools and workspaces.
type Plan struct {
	Version uint64      `json:"version"`
	Queues  []Queue     `json:"queues"`
	Pools   []PlanPool  `json:"pools"`
	Spaces  []PlanSpace `json:"workspaces"`
	// MaxBody bounds the body of a caller's request, in bytes; 0 is no bound.
	MaxBody int `json:"max_body,omitempty"`
}

// Find returns the queue with the longest prefix of path on host, or nil.
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

// Space returns the name of the workspace that holds key, and whether one does.
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
