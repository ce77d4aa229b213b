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

// maxLineBytes is the maximum length of a log line, in bytes. Read fails at a longer line.
const maxLineBytes = 1 << 20

// Line is one event line of a node's log.
type Line struct {
	At     time.Time
	Node   string
	Name   string
	Fields map[string]any
}

// Read returns the event lines of a log. It skips text before the JSON object of a line, such as the
// prefix of a log collector, and lines that are not events. On an error it returns the lines read so far.
func Read(r io.Reader) ([]Line, error) {
	var out []Line
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLineBytes)
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
		l := Line{Fields: fields, Node: fieldText(fields["node"]), Name: fieldText(fields["name"])}
		at, err := time.Parse(time.RFC3339Nano, fieldText(fields["time"]))
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

func fieldText(v any) string {
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

// belongsTo reports whether the line refers to the job or request with the given ID.
func (l *Line) belongsTo(id string) bool {
	task := fieldText(l.Fields["task"])
	return fieldText(l.Fields["job"]) == id || strings.HasPrefix(task, id+".") ||
		strings.HasSuffix(fieldText(l.Fields["path"]), "/"+id)
}

// Of returns the lines of the request with the given ID in order of time. It also returns lines between
// the first and the last of them that may explain the outcome: changes of ownership, and events of the
// workers that ran the request.
func Of(lines []Line, id string) []Line {
	direct := lo.Filter(lines, func(l Line, _ int) bool { return l.belongsTo(id) })
	if len(direct) == 0 {
		return nil
	}
	byTime := func(a, b Line) int { return a.At.Compare(b.At) }
	from, to := slices.MinFunc(direct, byTime).At, slices.MaxFunc(direct, byTime).At
	workers := lo.SliceToMap(direct, func(l Line) (string, bool) { return fieldText(l.Fields["worker"]), true })
	out := lo.Filter(lines, func(l Line, _ int) bool {
		if l.belongsTo(id) {
			return true
		}
		if l.At.Before(from) || l.At.After(to) {
			return false
		}
		worker := fieldText(l.Fields["worker"])
		return strings.HasPrefix(l.Name, "lead-") || strings.HasPrefix(l.Name, "worker-") && workers[worker] && worker != ""
	})
	slices.SortStableFunc(out, func(a, b Line) int { return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.Node, b.Node)) })
	return out
}

// templates holds the text of each event by its name. A name in braces stands for a field of the line; text in brackets
// is left out if the line lacks the field in it.
var templates = map[string]string{
	"work-accepted":  "accepted into {queue} for workspace {workspace}, stored in {took_ms} ms (plan {plan}, repeated: {repeated})",
	"work-refused":   "{op} not done: {error} (plan {plan})",
	"work-cancelled": "cancelled by its caller (known: {found})",
	"work-ended":     "shown as {state} from now on (epoch {epoch})",
	"task-placed":    "task {task} goes to {worker} as run {run}: {reason} (epoch {epoch})[, where tasks take {speed} times as long]",
	"task-ended":     "task {task} run {run} ended on {worker}: {cause} (newest run: {present})",
	"task-stopped":   "task {task} run {run} is stopped on {worker}: {reason}",
	"work-waiting":   "step {step} waits with {waiting} tasks after {for_ms} ms: {reason}",
	"task-vanished":  "task {task} run {run} is no longer known to {worker}",
	"task-lost":      "task {task} run {run} is lost with {worker}, which had it for {known_ms} ms (crashed: {crashed}, crashes so far: {crashes})",
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
	"worker-speed":   "worker {worker} is now {class}, before {before}: tasks take {factor} times as long as on the typical one ({samples} samples)",
	"worker-leaving": "worker {worker} gets nothing new: {reason}",
}

var (
	placeholder = regexp.MustCompile(`\{(\w+)\}`)
	optional    = regexp.MustCompile(`\[[^\]]*\{(\w+)\}[^\]]*\]`)
)

// Message returns the text of the line. For an event without a template it returns the event name
// and the fields as JSON.
func (l *Line) Message() string {
	template, ok := templates[l.Name]
	if !ok {
		data, err := json.Marshal(l.Fields)
		if err != nil {
			return l.Name
		}
		return l.Name + " " + string(data)
	}
	template = optional.ReplaceAllStringFunc(template, func(part string) string {
		if name := placeholder.FindStringSubmatch(part)[1]; l.Fields[name] == nil {
			return ""
		}
		return strings.Trim(part, "[]")
	})
	return strings.TrimSpace(placeholder.ReplaceAllStringFunc(template, func(name string) string {
		return fieldText(l.Fields[strings.Trim(name, "{}")])
	}))
}

// maxConsecutive is how many consecutive lines with the same event and node are printed in full.
// Text prints only a count of the rest.
const maxConsecutive = 3

// Text formats the lines of a request, each with the time since the first, in seconds.
func Text(lines []Line) string {
	var b strings.Builder
	for i := 0; i < len(lines); {
		end := i
		for end < len(lines) && lines[end].Name == lines[i].Name && lines[end].Node == lines[i].Node {
			end++
		}
		for n := i; n < min(end, i+maxConsecutive); n++ {
			l := &lines[n]
			fmt.Fprintf(&b, "%+9.3f s  %-18s %s\n", l.At.Sub(lines[0].At).Seconds(), l.Node, l.Message())
		}
		if more := end - i - maxConsecutive; more > 0 {
			fmt.Fprintf(&b, "%14s%-18s and %d more such lines to %+.3f s\n", "", "", more, lines[end-1].At.Sub(lines[0].At).Seconds())
		}
		i = end
	}
	return b.String()
}
