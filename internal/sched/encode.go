package sched

import (
	"encoding/json"
	"strconv"
	"strings"
	"sync"
)

// recordBuffers holds buffers for the JSON of records.
var recordBuffers = sync.Pool{New: func() any { return new([]byte) }}

// appendJSON appends what json.Marshal returns for the record. It takes a small part of the time.
func (r *Record) appendJSON(b []byte) []byte {
	w := objectWriter{append(b, '{')}
	w.text("final", string(r.Final))
	w.integer("ended_ms", r.EndedMs)
	w.text("reason", r.Reason)
	w.flag("begun", r.Started)
	if len(r.Batches) > 0 {
		w.name("batches")
		w.b = appendList(w.b, r.Batches, func(steps *[]batchRecord, b []byte) []byte {
			return appendList(b, *steps, (*batchRecord).appendJSON)
		})
	}
	return append(w.b, '}')
}

func (r *batchRecord) appendJSON(b []byte) []byte {
	w := objectWriter{append(b, '{')}
	w.name("t")
	w.b = appendList(w.b, r.Tasks, (*taskRecord).appendJSON)
	w.text("s", r.Checkpoint)
	w.integer("f", int64(r.Failures))
	w.integer("r", r.LastFailedRun)
	return append(w.b, '}')
}

func (r *taskRecord) appendJSON(b []byte) []byte {
	w := objectWriter{append(b, '{')}
	w.integer("p", int64(r.Phase))
	w.integer("r", r.Run)
	w.text("w", r.Worker)
	w.integer("f", int64(r.Failures))
	w.text("s", r.Checkpoint)
	w.text("b", r.FailedOn)
	w.integer("c", int64(r.Crashes))
	w.integer("sc", int64(r.StartCrashes))
	w.integer("cr", r.CrashedRun)
	w.integer("d", r.Disconnected)
	w.integer("df", r.DisconnectedFrom)
	w.flag("x", r.Suspect)
	return append(w.b, '}')
}

// appendList appends a list as JSON.
func appendList[T any](b []byte, list []T, element func(*T, []byte) []byte) []byte {
	if list == nil {
		return append(b, "null"...)
	}
	b = append(b, '[')
	for i := range list {
		if i > 0 {
			b = append(b, ',')
		}
		b = element(&list[i], b)
	}
	return append(b, ']')
}

// objectWriter appends the fields of a JSON object to b, which ends with the opening brace or a field. It leaves out
// fields that are zero.
type objectWriter struct{ b []byte }

func (w *objectWriter) name(name string) {
	if w.b[len(w.b)-1] != '{' {
		w.b = append(w.b, ',')
	}
	w.b = append(w.b, '"')
	w.b = append(w.b, name...)
	w.b = append(w.b, '"', ':')
}

func (w *objectWriter) integer(name string, n int64) {
	if n != 0 {
		w.name(name)
		w.b = strconv.AppendInt(w.b, n, 10)
	}
}

func (w *objectWriter) flag(name string, set bool) {
	if set {
		w.name(name)
		w.b = append(w.b, "true"...)
	}
}

func (w *objectWriter) text(name, s string) {
	if s == "" {
		return
	}
	w.name(name)
	if strings.ContainsFunc(s, isEscaped) {
		quoted, _ := json.Marshal(s) // a text always has a JSON form
		w.b = append(w.b, quoted...)
		return
	}
	w.b = append(w.b, '"')
	w.b = append(w.b, s...)
	w.b = append(w.b, '"')
}

// isEscaped reports whether encoding/json may write c in another form.
func isEscaped(c rune) bool {
	return c < ' ' || c > '~' || c == '"' || c == '\\' || c == '<' || c == '>' || c == '&'
}
