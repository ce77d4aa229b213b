package trace

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"regexp"
	"slices"
	"strings"
	"time"

	"github.com/samber/lo"
)

// maxLine bounds a line of a log, in bytes; longer ones end the reading.
const maxLine = 1 << 20

// Line is one line of a node's log.
type Line struct {
	At     time.Time
	Node   string
	Name   string
	Fields map[string]any
}

// Read returns the lines of a log. What stands before a line's object, such as a
// collector's prefix, and lines that are no events are skipped.
func Read(r io.Reader) ([]Line, error) {
	var out []Line
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLine)
	for s.Scan() {
		data := s.Bytes()
		i := bytes.IndexByte(data, '{')
		if i < 0 {
			continue
		}
		var fields map[string]any
		if err := json.Unmarshal(data[i:], &fields); err != nil {
			continue
		}
		l := Line{Fields: fields, Node: text(fields["node"]), Name: text(fields["name"])}
		at, err := time.Parse(time.RFC3339Nano, text(fields["time"]))
		if l.Name == "" || err != nil {
			continue
		}
		l.At = at
		out = append(out, l)
	}
	if err := s.Err(); err != nil {
		return out, fmt.Errorf("read a log: %w", err)
	}
	return out, nil
}

func text(v any) string {
	switch v := v.(type) {
	case nil:
		return ""
	case string:
		return v
	case float64:
		return fmt.Sprintf("%.0f", v)
	}
	return fmt.Sprint(v)
}

// about reports whether the line is of the request itself.
func (l *Line) about(id string) bool {
	task := text(l.Fields["task"])
	return text(l.Fields["job"]) == id || strings.HasPrefix(task, id+".") ||
		strings.HasSuffix(text(l.Fields["path"]), "/"+id)
}

// Of returns the lines of a request in order of time, and between the first and
// the last of them those that may explain it: who owned the work, and what
// became of the workers that ran it.
func Of(lines []Line, id string) []Line {
	own := lo.Filter(lines, func(l Line, _ int) bool { return l.about(id) })
	if len(own) == 0 {
		return nil
	}
	byTime := func(a, b Line) int { return a.At.Compare(b.At) }
	from, to := slices.MinFunc(own, byTime).At, slices.MaxFunc(own, byTime).At
	workers := lo.SliceToMap(own, func(l Line) (string, bool) { return text(l.Fields["worker"]), true })
	out := lo.Filter(lines, func(l Line, _ int) bool {
		if l.about(id) {
			return true
		}
		if l.At.Before(from) || l.At.After(to) {
			return false
		}
		worker := text(l.Fields["worker"])
		return strings.HasPrefix(l.Name, "lead-") || strings.HasPrefix(l.Name, "worker-") && workers[worker] && worker != ""
	})
	slices.SortStableFunc(out, func(a, b Line) int { return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.Node, b.Node)) })
	return out
}

// words tells each event; a name in braces stands for a field.
var words = map[string]string{
	"work-accepted":  "accepted into {queue} for workspace {workspace}, stored in {took_ms} ms (plan {plan}, repeated: {repeated})",
	"work-refused":   "{op} not done: {error} (plan {plan})",
	"work-cancelled": "cancelled by its caller (known: {found})",
	"work-ended":     "shown as {state} from now on (epoch {epoch})",
	"task-placed":    "task {task} goes to {worker} as run {run}: {reason} (epoch {epoch})",
	"task-ended":     "task {task} run {run} ended on {worker}: {cause} (newest run: {present})",
	"task-stopped":   "task {task} run {run} is stopped on {worker}: {reason}",
	"task-vanished":  "task {task} run {run} is no longer known to {worker}",
	"task-stray":     "task {task} run {run} runs on {worker} and should not",
	"start-failed":   "start of task {task} run {run} on {worker} failed: {error}",
	"advised":        "the adviser allows {allowed} of {asked} workers for step {step} after {took_ms} ms {error}",
	"lead-taken":     "takes the work over from {before} (epoch {epoch}, its row unchanged for {unchanged_ms} ms)",
	"lead-rebuilt":   "has read {jobs} jobs in {took_ms} ms and decides from now on (epoch {epoch})",
	"lead-lost":      "no longer owns the work: {reason} (epoch {epoch})",
	"lead-released":  "gives the work up (epoch {epoch})",
	"worker-gone":    "worker {worker} is taken as lost: {reason}",
	"worker-silent":  "worker {worker} does not answer: {error}",
	"worker-back":    "worker {worker} answers again",
	"worker-reborn":  "worker {worker} has restarted",
	"worker-leaving": "worker {worker} gets nothing new: {reason}",
}

var field = regexp.MustCompile(`\{(\w+)\}`)

// Words tells a line in words; an event without any is told by its fields.
func (l *Line) Words() string {
	form, ok := words[l.Name]
	if !ok {
		data, err := json.Marshal(l.Fields)
		if err != nil {
			return l.Name
		}
		return l.Name + " " + string(data)
	}
	return strings.TrimSpace(field.ReplaceAllStringFunc(form, func(name string) string {
		return text(l.Fields[strings.Trim(name, "{}")])
	}))
}

// fold bounds the tasks of one job that are told at one moment: more of the same
// event at the same node are counted.
const fold = 3

// Text tells a request's lines, with the time since the first.
func Text(lines []Line) string {
	var b strings.Builder
	for i := 0; i < len(lines); {
		same := i
		for same < len(lines) && lines[same].Name == lines[i].Name && lines[same].Node == lines[i].Node {
			same++
		}
		for n := i; n < min(same, i+fold); n++ {
			l := &lines[n]
			fmt.Fprintf(&b, "%+9.3f s  %-18s %s\n", l.At.Sub(lines[0].At).Seconds(), l.Node, l.Words())
		}
		if more := same - i - fold; more > 0 {
			fmt.Fprintf(&b, "%14s%-18s and %d more such lines to %+.3f s\n", "", "", more, lines[same-1].At.Sub(lines[0].At).Seconds())
		}
		i = same
	}
	return b.String()
}
