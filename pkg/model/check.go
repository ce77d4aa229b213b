package model

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
)

// ErrInvalid is wrapped by every error of decoding and of the checks of this package's types.
var ErrInvalid = errors.New("invalid")

// Checker is implemented by values that validate their own fields after decoding.
type Checker interface {
	Check() error
}

// FieldError reports an invalid field of a message and the reason.
// Field is empty if the fault concerns the whole message.
type FieldError struct {
	Field  string
	Reason string
}

// Error returns the field's name and the reason.
func (e *FieldError) Error() string {
	return fmt.Sprintf("field %q: %s", e.Field, e.Reason)
}

// Unwrap makes errors.Is(err, ErrInvalid) hold.
func (e *FieldError) Unwrap() error { return ErrInvalid }

func invalid(field, format string, args ...any) error {
	return &FieldError{Field: field, Reason: fmt.Sprintf(format, args...)}
}

// Decode decodes exactly one JSON value into out and rejects unknown and repeated keys.
// Decoding errors wrap ErrInvalid. If out is a Checker, Decode returns the result of its Check.
func Decode(data []byte, out any) error {
	if err := checkRepeatedKeys(json.NewDecoder(bytes.NewReader(data))); err != nil {
		return err
	}
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(out); err != nil {
		return decodeError(err)
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return invalid("", "more than one JSON value")
	}
	if c, ok := out.(Checker); ok {
		return c.Check()
	}
	return nil
}

func decodeError(err error) error {
	var typeErr *json.UnmarshalTypeError
	if errors.As(err, &typeErr) {
		return invalid(typeErr.Field, "is a %s, want %s", typeErr.Value, typeErr.Type)
	}
	return fmt.Errorf("%w: %w", ErrInvalid, err)
}

const (
	// maxDepth is the maximum nesting depth of a decoded message.
	maxDepth = 32
	// maxEntries is the maximum number of entries of a list or an object in a message. The longest list is that of the
	// files in a change of the configuration. It is checked before anything is decoded.
	maxEntries = 4096
)

// checkRepeatedKeys returns an error if an object anywhere in the JSON value has the same key twice.
// encoding/json would accept such an object silently.
func checkRepeatedKeys(dec *json.Decoder) error {
	return walkValue(dec, 0)
}

func walkValue(dec *json.Decoder, depth int) error {
	if depth > maxDepth {
		return invalid("", "nested deeper than %d levels", maxDepth)
	}
	tok, err := dec.Token()
	if err != nil {
		return fmt.Errorf("%w: malformed JSON: %w", ErrInvalid, err)
	}
	switch tok {
	case json.Delim('{'):
		return walkObject(dec, depth)
	case json.Delim('['):
		return walkArray(dec, depth)
	}
	return nil
}

func walkObject(dec *json.Decoder, depth int) error {
	seen := map[string]bool{}
	for dec.More() {
		if len(seen) == maxEntries {
			return invalid("", "an object has more than %d entries", maxEntries)
		}
		tok, err := dec.Token()
		if err != nil {
			return fmt.Errorf("%w: malformed JSON: %w", ErrInvalid, err)
		}
		key, _ := tok.(string)
		if seen[key] {
			return invalid(key, "is given twice")
		}
		seen[key] = true
		if err := walkValue(dec, depth+1); err != nil {
			return err
		}
	}
	return readClosingToken(dec)
}

func walkArray(dec *json.Decoder, depth int) error {
	for n := 0; dec.More(); n++ {
		if n == maxEntries {
			return invalid("", "a list has more than %d entries", maxEntries)
		}
		if err := walkValue(dec, depth+1); err != nil {
			return err
		}
	}
	return readClosingToken(dec)
}

func readClosingToken(dec *json.Decoder) error {
	if _, err := dec.Token(); err != nil {
		return fmt.Errorf("%w: malformed JSON: %w", ErrInvalid, err)
	}
	return nil
}

// maxNameBytes is the maximum length of a name chosen by a caller or an operator, in bytes.
const maxNameBytes = 128

func checkName(field, s string) error {
	if s == "" {
		return invalid(field, "is empty")
	}
	if len(s) > maxNameBytes {
		return invalid(field, "is longer than %d bytes", maxNameBytes)
	}
	for _, r := range s {
		if !isNameRune(r) {
			return invalid(field, "contains %q; use letters, digits, '-', '_' and '.'", r)
		}
	}
	return nil
}

func isNameRune(r rune) bool {
	switch {
	case r >= 'a' && r <= 'z', r >= 'A' && r <= 'Z', r >= '0' && r <= '9':
		return true
	}
	return r == '-' || r == '_' || r == '.'
}
