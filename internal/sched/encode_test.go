package sched

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"

	"greengageline/pkg/model"
)

// Guards against a record that another build reads in another way than encoding/json wrote it.
func TestRecordIsEncodedAsByJSON(t *testing.T) {
	is := is.New(t)
	rnd := rand.New(rand.NewPCG(1, 3))
	texts := []string{"", "", "i-1", "a b", `"q"`, "back\\slash", "<&>", "line\n", "\x7f", "\u2028", "é", "\xff", "null"}
	text := func() string { return texts[rnd.IntN(len(texts))] }
	number := func() int64 { return []int64{0, 0, 1, -1, 3_000_017, 1 << 62}[rnd.IntN(6)] }
	for range 2000 {
		r := Record{Final: State(text()), EndedMs: number(), Reason: text(), Started: rnd.IntN(2) == 0}
		for range rnd.IntN(3) {
			var steps []batchRecord
			for range rnd.IntN(3) {
				b := batchRecord{Checkpoint: text(), Failures: int(number()), LastFailedRun: number()}
				for range rnd.IntN(3) {
					b.Tasks = append(b.Tasks, taskRecord{
						Phase: Phase(rnd.IntN(3)), Run: number(), Worker: text(), Failures: int(number()), Checkpoint: text(), FailedOn: text(),
						Crashes: int(number()), StartCrashes: int(number()), CrashedRun: number(), Disconnected: number(),
						DisconnectedFrom: number(), Suspect: rnd.IntN(2) == 0,
					})
				}
				steps = append(steps, b)
			}
			r.Batches = append(r.Batches, steps)
		}
		want, err := json.Marshal(r)
		is.NoErr(err)
		is.Equal(string(r.appendJSON(nil)), string(want))
	}
}

// Guards against a field of an earlier job in a record that is reused.
func TestReusedRecordIsThatOfTheJob(t *testing.T) {
	is := is.New(t)
	rnd := rand.New(rand.NewPCG(1, 4))
	var r Record
	for i := range 300 {
		j := NewJob(&model.Work{ID: fmt.Sprint(i), Repeats: rnd.IntN(4), Steps: make([]model.Step, 1+rnd.IntN(4))})
		for k := range j.Batches {
			for s := range j.Batches[k] {
				j.Batches[k][s] = Batch{Checkpoint: fmt.Sprint(rnd.IntN(2)), Failures: rnd.IntN(2), Tasks: make([]Task, rnd.IntN(4))}
				for i := range j.Batches[k][s].Tasks {
					j.Batches[k][s].Tasks[i] = Task{Phase: Phase(rnd.IntN(3)), Run: int64(rnd.IntN(2)), Worker: "w", Failures: rnd.IntN(2)}
				}
			}
		}
		if rnd.IntN(4) == 0 {
			j.Final, j.EndedMs = Completed, int64(i)
		}
		fresh := j.Record()
		want, err := json.Marshal(fresh)
		is.NoErr(err)
		r.SetTo(j)
		is.Equal(string(r.appendJSON(nil)), string(want))
	}
}

// BenchmarkRecord measures the record of a job with 78 tasks, half of them placed.
func BenchmarkRecord(b *testing.B) {
	j := NewJob(&model.Work{ID: "a", Steps: []model.Step{{Tasks: 78}}})
	for i := range 39 {
		j.Batches[0][0].Tasks[i] = Task{Phase: Placed, Run: int64(1_000_000 + i), Worker: fmt.Sprintf("i-%05d", 37*i), Checkpoint: fmt.Sprintf("%016x", i)}
	}
	b.ReportAllocs()
	for b.Loop() {
		r := j.Record()
		if _, _, err := r.EncodeForRow(); err != nil {
			b.Fatal(err)
		}
	}
}
