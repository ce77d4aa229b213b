package leader

import (
	"encoding/json"
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"

	"greengageline/internal/sched"
	"greengageline/internal/upkeep"
	"greengageline/pkg/model"
)

// Rows that an earlier build stored must stay readable, and be written back under the same names: nodes of
// two builds share the store during an upgrade. A field that is encoded under another name is lost when the
// row is decoded, and so differs in what is encoded again.
func TestStoredRowsOfEarlierBuildAreKept(t *testing.T) {
	is := is.New(t)
	data, err := os.ReadFile("testdata/rows.jsonl")
	is.NoErr(err)
	counts := map[string]int{}
	for line := range strings.Lines(string(data)) {
		var row struct {
			Table string          `json:"table"`
			Key   string          `json:"key"`
			Part  string          `json:"part"`
			Value json.RawMessage `json:"value"`
		}
		is.NoErr(json.Unmarshal([]byte(line), &row))
		counts[row.Table]++
		id, isCancel := strings.CutSuffix(row.Key, CancelSuffix)
		var out any
		switch {
		case row.Table == OwnershipTable && row.Key == ownershipKey:
			out = &ownership{}
		case row.Table == WorkTable && isCancel:
			out = &struct{}{}
		case row.Table == WorkTable:
			out = &model.Work{}
		case row.Table == RecordTable:
			out = &sched.Record{}
		case row.Table == UpkeepTable:
			out = &upkeep.Record{}
		default:
			t.Fatalf("row %q of unknown table %q", row.Key, row.Table)
		}
		is.True(row.Table != WorkTable || row.Part == WorkPart(id)) // jobs are found in the same part
		is.NoErr(json.Unmarshal(row.Value, out))
		again, err := json.Marshal(out)
		is.NoErr(err)
		is.Equal(string(again), string(row.Value))
	}
	is.Equal(counts, map[string]int{"lead": 3, "work": 3, "record": 5, "upkeep": 5})
}
