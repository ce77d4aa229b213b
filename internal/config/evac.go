package config

import (
	"context"
	"errors"
	"fmt"
	"regexp"

	"greengageline/internal/table"
)

// evacuationPrefix begins the keys of the rows that hold requests to evacuate a zone.
const evacuationPrefix = "evac/"

var zonePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,100}$`)

// Evacuation is the operator's last word about the evacuation of a zone. The row of a withdrawn one stays.
type Evacuation struct {
	Zone      string `json:"zone"`
	Author    string `json:"author"`
	AtMs      int64  `json:"at_ms"`
	Withdrawn bool   `json:"withdrawn,omitempty"`
}

// Evacuations returns the evacuations in force, ordered by zone. Its error wraps ErrUnavailable.
func (s *Store) Evacuations(ctx context.Context) ([]Evacuation, error) {
	out := []Evacuation{}
	after := ""
	for more := true; more; {
		var rows []table.Row
		var err error
		rows, more, err = s.Table.Range(ctx, evacuationPrefix, after, pageSize)
		if err != nil {
			return nil, wrapUnavailable(err)
		}
		for _, r := range rows {
			var e Evacuation
			if err := r.Decode(&e); err != nil {
				return nil, wrapUnavailable(err)
			}
			e.Zone = r.Key[len(evacuationPrefix):]
			if !e.Withdrawn {
				out = append(out, e)
			}
			after = r.Key
		}
	}
	return out, nil
}

// SetEvacuation stores a request to evacuate a zone, or its withdrawal. After ErrOutcomeUnknown it may be in force.
func (s *Store) SetEvacuation(ctx context.Context, e Evacuation) error {
	if !zonePattern.MatchString(e.Zone) {
		return fmt.Errorf("zone %q: want letters, digits, '.', '_' and '-': %w", e.Zone, ErrInvalid)
	}
	e.AtMs = s.NowMs()
	for range maxAttempts {
		rows, err := s.Table.Get(ctx, evacuationPrefix+e.Zone)
		if err != nil {
			return wrapUnavailable(err)
		}
		_, err = s.Table.Commit(ctx, table.Txn{Puts: []table.Put{{Old: rows[0], Body: e}}})
		if !errors.Is(err, table.ErrConflict) {
			return commitError(err)
		}
	}
	return fmt.Errorf("too many changes at once; try again: %w", ErrUnavailable)
}
