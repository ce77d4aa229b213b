package sched

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"

	"greengageline/pkg/model"
)

// rowBytes is the size of a row on the users' deployments. A base64 value is a third longer.
const rowBytes = 65536

// Pattern: the widest job that is accepted, with 2,000 tasks placed on thousands of workers, each with a
// checkpoint. Its record must fit into a row, or nothing could be stored any more.
func TestRecordOfLargestWorkFitsIntoRow(t *testing.T) {
	is := is.New(t)
	rnd := rand.New(rand.NewPCG(1, 2))
	w := &model.Work{ID: "5c0e7a21d94b36f8", Repeats: 5, Steps: []model.Step{
		{Tasks: 1000, EstimateMs: 1}, {Tasks: 1000, EstimateMs: 1},
	}}
	is.NoErr(w.Check())
	j := NewJob(w)
	placed := 2000
	for k := range j.Batches {
		for s := range j.Batches[k] {
			for i := range j.Batches[k][s].Tasks {
				task := &j.Batches[k][s].Tasks[i]
				task.Run = int64(3_000_000 + rnd.IntN(50_000))
				task.Checkpoint = fmt.Sprintf("%016x", rnd.Uint64())
				task.Phase = Ended
				if placed > 0 {
					placed--
					task.Phase, task.Worker = Placed, fmt.Sprintf("i-%010x", uint64(rnd.IntN(3000))*0x9e3779b97f4a7c15>>24)
				}
			}
		}
	}
	r := j.Record()
	data, err := r.Encode()
	is.NoErr(err)
	t.Logf("%d bytes", len(data))
	is.True(len(data)*4/3 < rowBytes)
	restored, err := Restore(w, data)
	is.NoErr(err)
	again := restored.Record()
	is.Equal(again, r)
}

// Small records stay plain JSON, which earlier builds read too.
func TestSmallRecordIsPlain(t *testing.T) {
	is := is.New(t)
	j := NewJob(&model.Work{ID: "a", Steps: []model.Step{{Tasks: 3}}})
	r := j.Record()
	data, err := r.Encode()
	is.NoErr(err)
	is.Equal(data[0], byte('{'))
	_, err = DecodeRecord([]byte{gzipMagic, 1, 2})
	is.True(err != nil)
}

// Guards against a job whose checkpoints make its record too large for a row: the store would refuse each transaction,
// with the state of all other jobs in it.
func TestRecordWithManyCheckpointsFitsIntoRow(t *testing.T) {
	for name, c := range map[string]struct {
		placed, waiting, checkpoint int
		trimmed, waitingKept        bool
	}{
		"few":                {placed: 500, waiting: 500, checkpoint: 16, waitingKept: true},
		"of placed tasks":    {placed: 6000, waiting: 200, checkpoint: 16, trimmed: true, waitingKept: true},
		"of waiting tasks":   {placed: 200, waiting: 6000, checkpoint: 16, trimmed: true},
		"long, of all tasks": {placed: 1000, waiting: 1000, checkpoint: 400, trimmed: true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			rnd := rand.New(rand.NewPCG(3, 4))
			w := &model.Work{ID: "a"}
			for left := c.placed + c.waiting; left > 0; left -= 1000 {
				w.Steps = append(w.Steps, model.Step{Tasks: min(left, 1000)})
			}
			is.NoErr(w.Check())
			j := NewJob(w)
			n := 0
			for s := range j.Batches[0] {
				for i := range j.Batches[0][s].Tasks {
					task := &j.Batches[0][s].Tasks[i]
					task.Run = int64(1_000_001 + n)
					task.Checkpoint = ""
					for len(task.Checkpoint) < c.checkpoint {
						task.Checkpoint += fmt.Sprintf("%016x", rnd.Uint64())
					}
					if n < c.placed {
						task.Phase, task.Worker = Placed, fmt.Sprintf("i-%010x", rnd.IntN(300))
					}
					n++
				}
			}
			r := j.Record()
			data, trimmed, err := r.EncodeForRow()
			is.NoErr(err)
			is.Equal(trimmed, c.trimmed)
			is.True(len(data)*4/3 <= rowBytes)
			restored, err := Restore(w, data)
			is.NoErr(err)
			last := restored.Batches[0][len(w.Steps)-1].Tasks
			is.Equal(last[len(last)-1].Checkpoint != "", c.waitingKept)
			is.Equal(restored.Batches[0][0].Tasks[0].Run, int64(1_000_001)) // all but checkpoints is kept
		})
	}
}

// Guards against a record that no row holds although it has no checkpoints: a job of as many tasks as are accepted,
// all of them placed, on as many workers as the large fleets have.
func TestRecordOfWidestPlacementFitsIntoRow(t *testing.T) {
	is := is.New(t)
	rnd := rand.New(rand.NewPCG(5, 6))
	w := &model.Work{ID: "a"}
	for range model.MaxWorkTasks / 1000 {
		w.Steps = append(w.Steps, model.Step{Tasks: 1000})
	}
	is.NoErr(w.Check())
	j := NewJob(w)
	for s := range j.Batches[0] {
		for i := range j.Batches[0][s].Tasks {
			j.Batches[0][s].Tasks[i] = Task{Phase: Placed, Run: int64(1_000_001 + 1000*s + i), Worker: fmt.Sprintf("i-%010x", rnd.IntN(1100))}
		}
	}
	r := j.Record()
	data, _, err := r.EncodeForRow()
	is.NoErr(err)
	t.Logf("%d bytes", len(data))
	is.True(len(data) <= rowBytes)
}
