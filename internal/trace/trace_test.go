package trace

import (
	"errors"
	"os"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/matryer/is"

	"greengageline/internal/event"
)

func readLogs(t *testing.T, paths ...string) []Line {
	t.Helper()
	var all []Line
	for _, path := range paths {
		f, err := os.Open(path)
		if err != nil {
			t.Fatal(err)
		}
		lines, err := Read(f)
		if err != nil {
			t.Fatal(err)
		}
		_ = f.Close()
		all = append(all, lines...)
	}
	return all
}

// The logs are of a job that one node could not store, recorded at two nodes while the store
// rejected one of them. The text must not depend on the order in which the logs are read.
func TestTextOfRecordedLogsIgnoresFileOrder(t *testing.T) {
	is := is.New(t)
	want, err := os.ReadFile("testdata/story.txt")
	is.NoErr(err)
	for name, paths := range map[string][]string{
		"in order": {"testdata/edge-lautoka-1.log", "testdata/edge-lautoka-2.log"},
		"reversed": {"testdata/edge-lautoka-2.log", "testdata/edge-lautoka-1.log"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(Text(Of(readLogs(t, paths...), "30756194f570248f")), string(want))
		})
	}
	is.Equal(len(Of(readLogs(t, "testdata/edge-lautoka-1.log"), "0000000000000000")), 0)
}

func TestTextCountsConsecutiveRepeatedLines(t *testing.T) {
	is := is.New(t)
	line := `x | {"node":"n","time":"2026-01-01T00:00:00.%Z","name":"task-placed","task":"a.0.0.1","worker":"w","run":7,"reason":"free room","epoch":1}` + "\n"
	var log strings.Builder
	for _, ms := range []string{"000", "001", "002", "003", "004"} {
		log.WriteString(strings.Replace(line, "%", ms, 1))
	}
	lines, err := Read(strings.NewReader(log.String()))
	is.NoErr(err)
	got := Text(Of(lines, "a"))
	is.Equal(strings.Count(got, "goes to w as run 7"), maxConsecutive)
	is.True(strings.Contains(got, "and 2 more such lines to +0.004 s"))
}

func TestMessageWithoutTemplatePrintsFields(t *testing.T) {
	is := is.New(t)
	l := Line{Name: "odd", Fields: map[string]any{"job": "a"}}
	is.Equal(l.Message(), `odd {"job":"a"}`)
}

// Every template must belong to an event of the catalogue.
func TestTemplatesNameCatalogueEvents(t *testing.T) {
	is := is.New(t)
	known := map[string]bool{}
	for _, m := range event.Catalogue {
		known[m.Name] = true
	}
	for name := range templates {
		is.True(known[name])
	}
}

func TestReadReturnsReaderError(t *testing.T) {
	is := is.New(t)
	errRead := errors.New("broken")
	_, err := Read(iotest.ErrReader(errRead))
	is.True(errors.Is(err, errRead))
}

// Guards against a text that names no figure, or drops the reason, where the line of a start has no speed.
func TestSpeedIsNamedWhereItIsKnown(t *testing.T) {
	is := is.New(t)
	fields := map[string]any{"task": "a.0.0.1", "worker": "w", "run": 7.0, "reason": "free room", "epoch": 1.0}
	l := Line{Name: "task-placed", Fields: fields}
	is.Equal(l.Message(), "task a.0.0.1 goes to w as run 7: free room (epoch 1)")
	fields["speed"] = "2.43"
	is.Equal(l.Message(), "task a.0.0.1 goes to w as run 7: free room (epoch 1), where tasks take 2.43 times as long")
}
