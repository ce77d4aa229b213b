package object

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/url"

	"greengageline/internal/wire"
)

var (
	// ErrAbsent means that no object with the name exists.
	ErrAbsent = errors.New("object does not exist")
	// ErrDown means that the store refused the request or did not answer.
	ErrDown = errors.New("object store unavailable")
)

// Store is a client of the object store; set Wire before use.
type Store struct {
	Wire *wire.Client
}

// Put stores data under name; it may be repeated with the same data. Its error wraps
// ErrDown.
func (s *Store) Put(ctx context.Context, name string, data []byte) error {
	if err := s.Wire.PutBytes(ctx, path(name), data); err != nil {
		return fmt.Errorf("put object %q: %w: %w", name, ErrDown, err)
	}
	return nil
}

// Get returns the bytes stored under name. Its error wraps ErrAbsent or ErrDown.
func (s *Store) Get(ctx context.Context, name string) ([]byte, error) {
	data, err := s.Wire.GetBytes(ctx, path(name))
	var status *wire.StatusError
	if errors.As(err, &status) && status.Status == http.StatusNotFound {
		return nil, fmt.Errorf("get object %q: %w", name, ErrAbsent)
	}
	if err != nil {
		return nil, fmt.Errorf("get object %q: %w: %w", name, ErrDown, err)
	}
	return data, nil
}

func path(name string) string { return "/object/" + url.PathEscape(name) }
