package setup

import (
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// parseTOML hands each key of a settings file to set, and refuses unknown keys
// with file, line and key. It notes in lines where each key stands.
func parseTOML(r io.Reader, file string, options []Option, lines map[string]string, set func(name, value string) error) error {
	data, err := io.ReadAll(r)
	if err != nil {
		return fmt.Errorf("read %s: %w", file, err)
	}
	values := map[string]any{}
	if err := toml.Unmarshal(data, &values); err != nil {
		return fmt.Errorf("%s%w", position(file, err), err)
	}
	for name, value := range values {
		lines[name] = fmt.Sprintf("%s:%d: ", file, lineOf(string(data), name))
		known := slices.ContainsFunc(options, func(o Option) bool { return o.Name == name })
		if !known {
			return fmt.Errorf("%skey %q is not a setting; docs/SETTINGS.md lists them", lines[name], name)
		}
		text, err := asText(value)
		if err != nil {
			return fmt.Errorf("%skey %q: %w", lines[name], name, err)
		}
		if err := set(name, text); err != nil {
			return fmt.Errorf("%skey %q: %w", lines[name], name, err)
		}
	}
	return nil
}

func position(file string, err error) string {
	var decodeErr *toml.DecodeError
	if errors.As(err, &decodeErr) {
		row, _ := decodeErr.Position()
		return fmt.Sprintf("%s:%d: ", file, row)
	}
	return file + ": "
}

// lineOf finds the line of a top-level key; 1 is the first.
func lineOf(data, name string) int {
	for i, line := range strings.Split(data, "\n") {
		key, _, ok := strings.Cut(line, "=")
		if ok && strings.Trim(strings.TrimSpace(key), `"'`) == name {
			return i + 1
		}
	}
	return 1
}

func asText(value any) (string, error) {
	switch v := value.(type) {
	case string:
		return v, nil
	case int64, float64, bool:
		return fmt.Sprint(v), nil
	case []any:
		var parts []string
		for _, one := range v {
			s, ok := one.(string)
			if !ok {
				return "", fmt.Errorf("holds %T, want texts", one)
			}
			parts = append(parts, s)
		}
		return strings.Join(parts, ","), nil
	}
	return "", fmt.Errorf("is a %T, want a text, number or list of texts", value)
}

// Page returns the Markdown table of docs/SETTINGS.md.
func Page() string {
	var b strings.Builder
	b.WriteString("| setting | unit | default | meaning |\n|---|---|---|---|\n")
	for _, o := range Options() {
		fmt.Fprintf(&b, "| `%s` | %s | `%s` | %s |\n", o.Name, o.Unit, o.Default, o.Doc)
	}
	return b.String()
}
