package setup

import (
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// parseTOML reads a settings file and calls set for each key. It rejects unknown keys;
// errors give file, line and key. In positions it records the prefix "FILE:LINE: " of
// each key for later error messages.
func parseTOML(r io.Reader, file string, options []Option, positions map[string]string, set func(name, value string) error) error {
	data, err := io.ReadAll(r)
	if err != nil {
		return fmt.Errorf("read %s: %w", file, err)
	}
	values := map[string]any{}
	if err := toml.Unmarshal(data, &values); err != nil {
		return fmt.Errorf("%s%w", errorPosition(file, err), err)
	}
	for name, value := range values {
		positions[name] = fmt.Sprintf("%s:%d: ", file, lineOf(string(data), name))
		known := slices.ContainsFunc(options, func(o Option) bool { return o.Name == name })
		if !known {
			return fmt.Errorf("%skey %q is not a setting; docs/SETTINGS.md lists them", positions[name], name)
		}
		text, err := valueText(value)
		if err != nil {
			return fmt.Errorf("%skey %q: %w", positions[name], name, err)
		}
		if err := set(name, text); err != nil {
			return fmt.Errorf("%skey %q: %w", positions[name], name, err)
		}
	}
	return nil
}

// errorPosition returns the prefix "FILE:LINE: " of a decoding error, or "FILE: " if the
// error has no line.
func errorPosition(file string, err error) string {
	var decodeErr *toml.DecodeError
	if errors.As(err, &decodeErr) {
		row, _ := decodeErr.Position()
		return fmt.Sprintf("%s:%d: ", file, row)
	}
	return file + ": "
}

// lineOf returns the line of a top-level key, counted from 1, or 1 if it is not found.
func lineOf(data, name string) int {
	for i, line := range strings.Split(data, "\n") {
		key, _, ok := strings.Cut(line, "=")
		if ok && strings.Trim(strings.TrimSpace(key), `"'`) == name {
			return i + 1
		}
	}
	return 1
}

// valueText returns a TOML value in the form of a flag value; a list is joined by commas.
func valueText(value any) (string, error) {
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

// Page returns the Markdown table of all settings, as contained in docs/SETTINGS.md.
func Page() string {
	var b strings.Builder
	b.WriteString("| setting | unit | default | meaning |\n|---|---|---|---|\n")
	for _, o := range Options() {
		fmt.Fprintf(&b, "| `%s` | %s | `%s` | %s |\n", o.Name, o.Unit, o.Default, o.Doc)
	}
	return b.String()
}
