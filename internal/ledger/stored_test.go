package ledger

import (
	"encoding/json"
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"

	"greengageline/pkg/model"
)

// Rows that an earlier build stored must stay readable, and be written back under the same names: nodes of
// two builds share the table during an upgrade. The hash of a job must stay the same too, or a repeat of its
// key would be refused as another request.
func TestStoredRowsOfEarlierBuildAreKept(t *testing.T) {
	is := is.New(t)
	data, err := os.ReadFile("testdata/rows.jsonl")
	is.NoErr(err)
	states, hashes, stored := map[model.State]int{}, map[string]uint64{}, map[string]uint64{}
	for line := range strings.Lines(string(data)) {
		var row struct {
			Key   string          `json:"key"`
			Value json.RawMessage `json:"value"`
		}
		is.NoErr(json.Unmarshal([]byte(line), &row))
		kind, _, _ := strings.Cut(row.Key, "/")
		var out any
		var job model.Job
		var key idempotencyRow
		switch kind {
		case "open", "done":
			out = &job
		case "key":
			out = &key
		case "call":
			out = &Call{}
		default:
			t.Fatalf("row of unknown kind: %s", row.Key)
		}
		is.NoErr(json.Unmarshal(row.Value, out))
		again, err := json.Marshal(out)
		is.NoErr(err)
		is.Equal(string(again), string(row.Value))
		switch kind {
		case "open", "done":
			is.True(row.Key == openKey(job.Cell, job.ID) || row.Key == doneKey(job.Cell, job.ID))
			states[job.State]++
			hashes[idempotencyRowKey(job.Spec)] = HashSpec(job.Spec)
		case "key":
			stored[row.Key] = key.Hash
		}
	}
	is.Equal(states, map[model.State]int{model.Accepted: 1, model.Starting: 1, model.Done: 1, model.Cancelled: 1})
	is.Equal(hashes, stored)
}
