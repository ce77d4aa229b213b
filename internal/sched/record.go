package sched

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"sync"

	"github.com/klauspost/compress/gzip"

	"greengageline/pkg/model"
)

// Record is the part of a job's state that is stored, so that the next owner can continue it.
type Record struct {
	Final   State           `json:"final,omitempty"`
	EndedMs int64           `json:"ended_ms,omitempty"`
	Reason  string          `json:"reason,omitempty"`
	Started bool            `json:"begun,omitempty"`
	Batches [][]batchRecord `json:"batches,omitempty"`
}

// batchRecord is the stored state of a Batch.
type batchRecord struct {
	Tasks      []taskRecord `json:"t"`
	Checkpoint string       `json:"s,omitempty"`
	Failures   int          `json:"f,omitempty"`
	// LastFailedRun is the number of the gang's run that failed last.
	LastFailedRun int64 `json:"r,omitempty"`
}

// taskRecord is the stored state of a Task.
type taskRecord struct {
	Phase      Phase  `json:"p,omitempty"`
	Run        int64  `json:"r,omitempty"`
	Worker     string `json:"w,omitempty"`
	Failures   int    `json:"f,omitempty"`
	Checkpoint string `json:"s,omitempty"`
	FailedOn   string `json:"b,omitempty"`
	Crashes    int    `json:"c,omitempty"`
	// StartCrashes counts the crashes of workers as the task started, CrashedRun is the run of the last one.
	StartCrashes int   `json:"sc,omitempty"`
	CrashedRun   int64 `json:"cr,omitempty"`
	// Disconnected is the run right after whose start the worker closed its connections.
	Disconnected int64 `json:"d,omitempty"`
	// DisconnectedFrom is the incarnation of the worker that did so.
	DisconnectedFrom int64 `json:"df,omitempty"`
	// Suspect is set while the task must run on workers of its own.
	Suspect bool `json:"x,omitempty"`
}

// Record returns what must be stored of the job. For an ended job without placed tasks that is only its
// final state, the time of its end and whether it started.
func (j *Job) Record() Record {
	var r Record
	r.SetTo(j)
	return r
}

// SetTo makes r the record of the job, as Record returns it. It reuses the lists of r.
func (r *Record) SetTo(j *Job) {
	batches := r.Batches
	*r = Record{Final: j.Final, EndedMs: j.EndedMs, Reason: j.Reason, Started: j.Started, Batches: batches[:0]}
	if !j.Open() && !j.hasPlacedTask() {
		return
	}
	r.Batches = resized(batches, len(j.Batches))
	for k := range j.Batches {
		r.Batches[k] = resized(r.Batches[k], len(j.Batches[k]))
		for s := range j.Batches[k] {
			j.Batches[k][s].setRecord(&r.Batches[k][s])
		}
	}
}

// resized returns a list of n elements, of any values, which reuses list if it can.
func resized[T any](list []T, n int) []T {
	if list != nil && n <= cap(list) {
		return list[:n]
	}
	return make([]T, n)
}

// hasPlacedTask reports whether a task of the job is placed.
func (j *Job) hasPlacedTask() bool {
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

// setRecord makes r the stored state of the batch and reuses its list. A task that is not placed still names the worker
// of its last run, which is not stored.
func (b *Batch) setRecord(r *batchRecord) {
	*r = batchRecord{Checkpoint: b.Checkpoint, Failures: b.Failures, LastFailedRun: b.lastFailedRun, Tasks: resized(r.Tasks, len(b.Tasks))}
	for i := range b.Tasks {
		t := &b.Tasks[i]
		r.Tasks[i] = taskRecord{
			Phase: t.Phase, Run: t.Run, Worker: t.Worker, Failures: t.Failures, Checkpoint: t.Checkpoint, FailedOn: t.failedOn,
			Crashes: t.Crashes, StartCrashes: t.StartCrashes, CrashedRun: t.crashedRun, Disconnected: t.disconnectedRun,
			DisconnectedFrom: t.disconnectedFrom, Suspect: t.suspect,
		}
		if t.Phase != Placed {
			r.Tasks[i].Worker = ""
		}
		if t.Phase == Ended {
			r.Tasks[i] = taskRecord{Phase: Ended} // the rest is of use to further runs only
		}
	}
}

const (
	// maxPlainRecord is the size in bytes up to which a record is stored as plain JSON. Longer ones are compressed:
	// a record is stored again with each change of one of its tasks, and has to fit into one row of the store.
	maxPlainRecord = 512
	// maxRecord is the size in bytes of the largest record that a row of the store holds, in base64.
	maxRecord = 48 << 10
	// gzipMagic is the first byte of a compressed record; JSON never begins with it.
	gzipMagic = 0x1f
)

// EncodeForRow returns the record as it is stored. If it is too large for a row it leaves out checkpoints: first those
// of placed tasks, which their workers report again, then all. trimmed says whether it did. A row that does not fit
// would keep every other job from being stored.
func (r *Record) EncodeForRow() (data []byte, trimmed bool, err error) {
	data, err = r.Encode()
	for _, ofWaiting := range []bool{false, true} {
		if err != nil || len(data) <= maxRecord {
			return data, trimmed, err
		}
		trimmed = true
		r.dropCheckpoints(ofWaiting)
		data, err = r.Encode()
	}
	return data, trimmed, err
}

// dropCheckpoints leaves out the checkpoints of placed tasks, and those of waiting ones too if ofWaiting is set.
func (r *Record) dropCheckpoints(ofWaiting bool) {
	for _, steps := range r.Batches {
		for s := range steps {
			for i := range steps[s].Tasks {
				if t := &steps[s].Tasks[i]; ofWaiting || t.Phase == Placed {
					t.Checkpoint = ""
				}
			}
		}
	}
}

// Encode returns the record as it is stored, whatever its size.
func (r *Record) Encode() ([]byte, error) {
	buf := recordBuffers.Get().(*[]byte)
	defer recordBuffers.Put(buf)
	data := r.appendJSON((*buf)[:0])
	*buf = data
	if len(data) <= maxPlainRecord {
		return slices.Clone(data), nil
	}
	out := bytes.NewBuffer(make([]byte, 0, len(data)/2))
	z, ok := gzipWriters.Get().(*gzip.Writer)
	if !ok {
		var err error
		if z, err = gzip.NewWriterLevel(nil, gzip.BestSpeed); err != nil {
			return nil, err
		}
	}
	defer gzipWriters.Put(z)
	z.Reset(out)
	if _, err := z.Write(data); err != nil {
		return nil, err
	}
	if err := z.Close(); err != nil {
		return nil, err
	}
	return out.Bytes(), nil
}

// gzipWriters holds writers for reuse, since a new one allocates far more than a record takes.
var gzipWriters sync.Pool

// DecodeRecord decodes and checks a stored record.
func DecodeRecord(data []byte) (Record, error) {
	var r Record
	if len(data) > 0 && data[0] == gzipMagic {
		z, err := gzip.NewReader(bytes.NewReader(data))
		if err != nil {
			return r, fmt.Errorf("uncompress record: %w", err)
		}
		if data, err = io.ReadAll(z); err != nil {
			return r, fmt.Errorf("uncompress record: %w", err)
		}
	}
	if err := json.Unmarshal(data, &r); err != nil {
		return r, fmt.Errorf("decode record: %w", err)
	}
	return r, r.Check()
}

// Check returns an error that wraps model.ErrInvalid if Final is neither empty nor a final state.
func (r *Record) Check() error {
	switch r.Final {
	case "", Completed, JobFailed, Cancelled:
		return nil
	case Queued, Running:
	}
	return fmt.Errorf("final state %q: %w", r.Final, model.ErrInvalid)
}

// Restore returns the state of the job of w from its stored record. data is empty for a job that no
// owner has stored yet.
func Restore(w *model.Work, data []byte) (*Job, error) {
	j := NewJob(w)
	if len(data) == 0 {
		return j, nil
	}
	r, err := DecodeRecord(data)
	if err != nil {
		return nil, fmt.Errorf("record of job %s: %w", w.ID, err)
	}
	j.Final, j.EndedMs, j.Reason, j.Started = r.Final, r.EndedMs, r.Reason, r.Started
	for k := range min(len(r.Batches), len(j.Batches)) {
		for s := range min(len(r.Batches[k]), len(j.Batches[k])) {
			j.Batches[k][s].restore(r.Batches[k][s])
		}
	}
	return j, nil
}

func (b *Batch) restore(r batchRecord) {
	b.Checkpoint, b.Failures, b.lastFailedRun = r.Checkpoint, r.Failures, r.LastFailedRun
	for i := range min(len(r.Tasks), len(b.Tasks)) {
		t := r.Tasks[i]
		b.Tasks[i] = Task{
			Phase: t.Phase, Run: t.Run, Worker: t.Worker, Failures: t.Failures, Checkpoint: t.Checkpoint, failedOn: t.FailedOn,
			Crashes: t.Crashes, StartCrashes: t.StartCrashes, crashedRun: t.CrashedRun, disconnectedRun: t.Disconnected,
			disconnectedFrom: t.DisconnectedFrom, suspect: t.Suspect,
		}
	}
}
