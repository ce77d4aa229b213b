package stand

import (
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"greengageline/pkg/model"
)

// Work is the payload that a stand-in worker understands; all else runs for
// no time and answers with the payload itself.
type Work struct {
	// RunMs is how long the task runs.
	RunMs int64 `json:"run_ms"`
	// Answer is what rank 0 answers.
	Answer string `json:"answer"`
	// AnswerBytes, if positive, makes the answer that many bytes long.
	AnswerBytes int `json:"answer_bytes,omitempty"`
	// Fail makes every attempt fail.
	Fail bool `json:"fail,omitempty"`
}

// Run is the worker's own record of one task that really started.
type Run struct {
	model.TaskRef
	Worker  string          `json:"worker"`
	Rank    int             `json:"rank"`
	Tasks   int             `json:"tasks"`
	Gang    int             `json:"gang"`
	StartMs int64           `json:"start_ms"`
	EndMs   int64           `json:"end_ms"`
	Phase   model.TaskPhase `json:"phase"`
}

type taskKey struct {
	model.TaskRef
	rank int
}

type task struct {
	status  model.TaskStatus
	cell    string
	count   int
	tasks   int
	gang    int
	work    Work
	payload []byte
	started time.Time
	ended   time.Time
	lease   time.Time
	acked   bool
	// forgotten marks tasks of an earlier incarnation, kept for the record.
	forgotten bool
}

// Worker is the state of a stand-in worker; set VM before use.
type Worker struct {
	VM model.VM
	// Slots bounds the short requests served at once; 0 means 8.
	Slots int
	// CallTime is how long a short request takes.
	CallTime time.Duration
	// Now is the clock; nil means time.Now.
	Now func() time.Time

	mu sync.Mutex
	// All below is guarded by mu.
	tasks     map[taskKey]*task
	epochs    map[string]uint64
	boots     int
	failAll   bool
	weak      bool
	leaving   bool
	quiet     bool // leaves without saying so or refusing
	leftAt    time.Time
	calls     map[string]int
	slots     int
	peakSlots int
	late      int
}

func (w *Worker) now() time.Time {
	if w.Now != nil {
		return w.Now()
	}
	return time.Now()
}

// SetFailAll makes every task that starts fail at once.
func (w *Worker) SetFailAll(on bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.failAll = on
}

// SetWeak makes the worker ignore epochs, as a platform without fencing would.
func (w *Worker) SetWeak(on bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.weak = on
}

// SetLeaving makes the worker refuse new work.
func (w *Worker) SetLeaving(on bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.leaving = on
	w.leftAt = w.now()
}

// LeaveQuietly makes the worker leave without refusing work or saying so, as
// far as the scheduler can learn only from the VM list.
func (w *Worker) LeaveQuietly() {
	w.SetLeaving(true)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.quiet = true
}

// Reset forgets all tasks, as a replaced VM would, but keeps the record.
func (w *Worker) Reset() {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.now()
	w.advance(now)
	for _, t := range w.tasks {
		if !t.status.Phase.Ended() {
			t.end(model.PhaseLapsed, now)
		}
		t.acked, t.forgotten = true, true
	}
	w.boots++
	w.epochs = nil
}

func (w *Worker) boot() string { return fmt.Sprintf("%s#%d", w.VM.ID, w.boots) }

func (t *task) end(phase model.TaskPhase, at time.Time) {
	t.status.Phase = phase
	t.ended = at
}

// advance brings every task to where it stands at now; the caller holds mu.
func (w *Worker) advance(now time.Time) {
	for _, t := range w.tasks {
		if t.status.Phase == model.PhaseReserved && !now.Before(t.lease) {
			t.end(model.PhaseLapsed, t.lease)
		}
		if t.status.Phase == model.PhaseRunning {
			t.advanceRun(now)
		}
	}
}

func (t *task) advanceRun(now time.Time) {
	finish := t.started.Add(time.Duration(t.work.RunMs) * time.Millisecond)
	if !finish.After(t.lease) && !finish.After(now) {
		t.finish(finish)
		return
	}
	if !now.Before(t.lease) {
		t.end(model.PhaseLapsed, t.lease)
	}
}

func (t *task) finish(at time.Time) {
	if t.work.Fail {
		t.status.Error = "task failed"
		t.end(model.PhaseFailed, at)
		return
	}
	t.end(model.PhaseDone, at)
	answer := model.NewAnswer(t.answerBytes())
	t.status.Answer = &answer
}

func (t *task) answerBytes() []byte {
	if t.work.AnswerBytes > 0 {
		data := make([]byte, t.work.AnswerBytes)
		for i := range data {
			data[i] = byte('a' + i%26)
		}
		return data
	}
	if t.work.Answer != "" {
		return []byte(t.work.Answer)
	}
	return t.payload
}

func (w *Worker) used() int {
	n := 0
	for _, t := range w.tasks {
		if !t.status.Phase.Ended() {
			n += t.count
		}
	}
	return n
}

// obeys applies the fence of an order; the caller holds mu.
func (w *Worker) obeys(f model.Fence) bool {
	if w.weak {
		return true
	}
	if w.epochs == nil {
		w.epochs = map[string]uint64{}
	}
	if f.Epoch < w.epochs[f.Cell] {
		return false
	}
	w.epochs[f.Cell] = f.Epoch
	return true
}

type verdict int

const (
	verdictOK verdict = iota
	verdictBusy
	verdictLeaving
	verdictFenced
	verdictRefused
)

func (w *Worker) reserve(in model.Reserve) (out model.ReserveReply, v verdict) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.now()
	w.advance(now)
	out.Boot = w.boot()
	if !w.obeys(in.Fence) {
		return out, verdictFenced
	}
	if w.leaving && !w.quiet {
		return out, verdictLeaving
	}
	key := taskKey{in.TaskRef, in.Rank}
	if t := w.tasks[key]; t != nil {
		if t.status.Phase != model.PhaseReserved {
			return out, verdictRefused
		}
		t.lease = now.Add(time.Duration(in.LeaseMs) * time.Millisecond)
		return out, verdictOK
	}
	if w.used()+in.Count > w.VM.Accelerators {
		return out, verdictBusy
	}
	if w.tasks == nil {
		w.tasks = map[taskKey]*task{}
	}
	w.tasks[key] = &task{
		status: model.TaskStatus{TaskRef: in.TaskRef, Rank: in.Rank, Phase: model.PhaseReserved},
		cell:   in.Cell, count: in.Count,
		lease: now.Add(time.Duration(in.LeaseMs) * time.Millisecond),
	}
	return out, verdictOK
}

func (w *Worker) start(in model.Start) (out struct{}, v verdict) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.now()
	w.advance(now)
	if !w.obeys(in.Fence) {
		return out, verdictFenced
	}
	t := w.tasks[taskKey{in.TaskRef, in.Rank}]
	if t == nil {
		return out, verdictRefused
	}
	if t.status.Phase == model.PhaseRunning {
		return out, verdictOK
	}
	if t.status.Phase != model.PhaseReserved {
		return out, verdictRefused
	}
	w.run(t, in, now)
	return out, verdictOK
}

func (w *Worker) run(t *task, in model.Start, now time.Time) {
	if w.leaving && now.Sub(w.leftAt) > LeavingGrace {
		w.late++
	}
	t.payload = in.Payload
	t.tasks, t.gang = in.Tasks, in.Gang
	if json.Unmarshal(in.Payload, &t.work) != nil {
		t.work = Work{}
	}
	t.status.Phase = model.PhaseRunning
	t.status.Started = true
	t.started = now
	t.lease = now.Add(time.Duration(in.LeaseMs) * time.Millisecond)
	if w.failAll {
		t.status.Error = "worker is broken"
		t.end(model.PhaseFailed, now)
	}
}

func (w *Worker) renew(in model.Renew) (model.RenewReply, verdict) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.now()
	w.advance(now)
	if !w.obeys(in.Fence) {
		return model.RenewReply{}, verdictFenced
	}
	lease := now.Add(time.Duration(in.LeaseMs) * time.Millisecond)
	for key, t := range w.tasks {
		if contains(in.Tasks, key.TaskRef) && !t.status.Phase.Ended() {
			t.lease = lease
		}
		if contains(in.Ack, key.TaskRef) && t.status.Phase.Ended() {
			t.acked = true
		}
	}
	reply := model.RenewReply{Boot: w.boot(), Leaving: w.leaving && !w.quiet}
	for _, t := range w.tasks {
		if t.cell == in.Cell && !t.acked {
			reply.Tasks = append(reply.Tasks, t.report())
		}
	}
	return reply, verdictOK
}

// report is the task's status without the bytes of a large answer.
func (t *task) report() model.TaskStatus {
	s := t.status
	if s.Answer != nil && s.Answer.Length > model.MaxInline {
		a := s.Answer.WithObject("")
		s.Answer = &a
	}
	return s
}

// answer returns the bytes of a finished task's answer, or nil.
func (w *Worker) answer(ref model.TaskRef) []byte {
	w.mu.Lock()
	defer w.mu.Unlock()
	for key, t := range w.tasks {
		if key.TaskRef == ref && t.status.Answer != nil && !t.forgotten {
			return t.status.Answer.Inline
		}
	}
	return nil
}

func contains(refs []model.TaskRef, ref model.TaskRef) bool {
	for _, r := range refs {
		if r == ref {
			return true
		}
	}
	return false
}

func (w *Worker) stop(in model.Stop) (out struct{}, v verdict) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.now()
	w.advance(now)
	if !w.obeys(in.Fence) {
		return out, verdictFenced
	}
	for key, t := range w.tasks {
		if key.TaskRef == in.TaskRef && !t.status.Phase.Ended() {
			t.end(model.PhaseStopped, now)
		}
	}
	return out, verdictOK
}

func (w *Worker) look(in model.Look) (model.LookReply, verdict) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(w.now())
	if !w.obeys(in.Fence) {
		return model.LookReply{}, verdictFenced
	}
	reply := model.LookReply{Boot: w.boot(), Fenced: !w.weak}
	reply.Status = model.TaskStatus{TaskRef: in.TaskRef, Phase: model.PhaseNone}
	for key, t := range w.tasks {
		if key.TaskRef == in.TaskRef && !t.forgotten {
			reply.Status = t.report()
		}
	}
	return reply, verdictOK
}

// Record returns every task that really started, with its end so far.
func (w *Worker) Record() []Run {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(w.now())
	runs := []Run{}
	for key, t := range w.tasks {
		if !t.status.Started {
			continue
		}
		r := Run{
			TaskRef: key.TaskRef, Worker: w.VM.ID, Rank: key.rank, Tasks: t.tasks, Gang: t.gang,
			StartMs: t.started.UnixMilli(), Phase: t.status.Phase,
		}
		if t.status.Phase.Ended() {
			r.EndMs = t.ended.UnixMilli()
		}
		runs = append(runs, r)
	}
	return runs
}

// Reserved reports whether the worker holds accelerators for a task that has
// not started.
func (w *Worker) Reserved() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(w.now())
	for _, t := range w.tasks {
		if t.status.Phase == model.PhaseReserved {
			return true
		}
	}
	return false
}

// LeavingGrace is how long after a worker began to leave work may still start.
const LeavingGrace = 5 * time.Second

// LateStarts returns how many tasks started, reserved before, more than
// LeavingGrace after the worker began to leave.
func (w *Worker) LateStarts() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.late
}

// Encode returns the work as a payload.
func (w Work) Encode() []byte {
	data, err := json.Marshal(w)
	if err != nil {
		return nil
	}
	return data
}

// Expected returns the whole answer that a payload leads to.
func Expected(payload []byte) []byte {
	t := &task{payload: payload}
	if json.Unmarshal(payload, &t.work) != nil {
		t.work = Work{}
	}
	return t.answerBytes()
}
