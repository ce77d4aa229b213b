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
