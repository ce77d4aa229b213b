package sched

import (
	"encoding/json"
	"fmt"

	"greengageline/pkg/model"
)

// Record is what is stored of a job's progress.
type Record struct {
	Final   State           `json:"final,omitempty"`
	EndedMs int64           `json:"ended_ms,omitempty"`
	Begun   bool            `json:"begun,omitempty"`
	Batches [][]batchRecord `json:"batches,omitempty"`
}

type batchRecord struct {
	Tasks    []taskRecord `json:"t"`
	Saved    string       `json:"s,omitempty"`
	Failures int          `json:"f,omitempty"`
	// FailedRun is the gang's run that failed last.
	FailedRun int64 `json:"r,omitempty"`
}

type taskRecord struct {
	Phase    Phase  `json:"p,omitempty"`
	Run      int64  `json:"r,omitempty"`
	Worker   string `json:"w,omitempty"`
	Failures int    `json:"f,omitempty"`
	Saved    string `json:"s,omitempty"`
	Blamed   string `json:"b,omitempty"`
}

// Record returns what must be stored of the job. An ended job whose runs are
// all gone needs no more than its state.
func (j *Job) Record() Record {
	r := Record{Final: j.Final, EndedMs: j.EndedMs, Begun: j.Begun}
	if !j.Open() && !j.placed() {
		return r
	}
	r.Batches = make([][]batchRecord, len(j.Batches))
	for k := range j.Batches {
		r.Batches[k] = make([]batchRecord, len(j.Batches[k]))
		for s := range j.Batches[k] {
			r.Batches[k][s] = j.Batches[k][s].record()
		}
	}
	return r
}

func (j *Job) placed() bool {
	for k := range j.Batches {
		for s := range j.Batches[k] {
			for i := range j.Batches[k][s].Tasks {
				if j.Batches[k][s].Tasks[i].Phase == Placed {
					return true
				}
			}
		}
	}
	return false
}

func (b *Batch) record() batchRecord {
	r := batchRecord{Saved: b.Saved, Failures: b.Failures, FailedRun: b.failedRun, Tasks: make([]taskRecord, len(b.Tasks))}
	for i := range b.Tasks {
		t := &b.Tasks[i]
		r.Tasks[i] = taskRecord{Phase: t.Phase, Run: t.Run, Worker: t.Worker, Failures: t.Failures, Saved: t.Saved, Blamed: t.blamed}
		if t.Phase != Placed {
			r.Tasks[i].Worker = ""
		}
	}
	return r
}

// Check verifies the state.
func (r *Record) Check() error {
	switch r.Final {
	case "", Completed, Gone, Cancelled:
		return nil
	case Queued, Running:
	}
	return fmt.Errorf("final state %q: %w", r.Final, model.ErrInvalid)
}

// Restore returns the job of work with its stored progress; data is empty for a
// job that no owner has touched yet.
func Restore(w *model.Work, data []byte) (*Job, error) {
	j := NewJob(w)
	if len(data) == 0 {
		return j, nil
	}
	var r Record
	if err := json.Unmarshal(data, &r); err != nil {
		return nil, fmt.Errorf("decode the record of job %s: %w", w.ID, err)
	}
	if err := r.Check(); err != nil {
		return nil, fmt.Errorf("record of job %s: %w", w.ID, err)
	}
	j.Final, j.EndedMs, j.Begun = r.Final, r.EndedMs, r.Begun
	for k := range min(len(r.Batches), len(j.Batches)) {
		for s := range min(len(r.Batches[k]), len(j.Batches[k])) {
			j.Batches[k][s].restore(r.Batches[k][s])
		}
	}
	return j, nil
}

func (b *Batch) restore(r batchRecord) {
	b.Saved, b.Failures, b.failedRun = r.Saved, r.Failures, r.FailedRun
	for i := range min(len(r.Tasks), len(b.Tasks)) {
		t := r.Tasks[i]
		b.Tasks[i] = Task{Phase: t.Phase, Run: t.Run, Worker: t.Worker, Failures: t.Failures, Saved: t.Saved, blamed: t.Blamed}
	}
}
