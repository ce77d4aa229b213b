package config

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"regexp"
	"slices"
	"strings"

	"greengageline/internal/table"
)

var (
	// ErrConflict means that somebody else changed the same file first.
	ErrConflict = errors.New("file was changed by somebody else")
	// ErrUnknown means that it is not known yet whether the change was accepted.
	ErrUnknown = errors.New("outcome of the change is not known yet")
	// ErrUnavailable means that the change was not accepted because the table can't be used.
	ErrUnavailable = errors.New("configuration can't be read or written now")
)

const (
	headKey    = "conf/head"
	filePrefix = "conf/file/"
	logPrefix  = "conf/log/"

	pageSize     = 200
	maxFileBytes = 64 << 10
	maxTries     = 16
)

var fileName = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,100}\.toml$`)

// Head is the row that names the generation in force.
type Head struct {
	Generation uint64 `json:"generation"`
	Hash       string `json:"hash"`
	AtMs       int64  `json:"at_ms"`
}

// Stored is one file with the generation that last changed it.
type Stored struct {
	Generation uint64 `json:"generation"`
	Text       string `json:"text"`
	Deleted    bool   `json:"deleted,omitempty"`
}

// Entry is one line of the history.
type Entry struct {
	Generation uint64   `json:"generation"`
	Author     string   `json:"author"`
	Note       string   `json:"note,omitempty"`
	AtMs       int64    `json:"at_ms"`
	Files      []string `json:"files"`
}

// Edit is a change of one file. Base is the generation of the file that the
// operator saw, 0 for a new file.
type Edit struct {
	Name   string `json:"name"`
	Text   string `json:"text,omitempty"`
	Delete bool   `json:"delete,omitempty"`
	Base   uint64 `json:"base"`
}

// Change is a set of edits that are accepted together or not at all.
type Change struct {
	Author string `json:"author"`
	Note   string `json:"note,omitempty"`
	Edits  []Edit `json:"edits"`
}

// Check verifies names and sizes.
func (c *Change) Check() error {
	if len(c.Edits) == 0 {
		return fmt.Errorf("edits is empty: %w", ErrInvalid)
	}
	seen := map[string]bool{}
	for _, e := range c.Edits {
		if !fileName.MatchString(e.Name) {
			return fmt.Errorf("file name %q: want letters, digits, '.', '_', '-' and the ending .toml: %w", e.Name, ErrInvalid)
		}
		if len(e.Text) > maxFileBytes {
			return fmt.Errorf("file %q has %d bytes, want at most %d: %w", e.Name, len(e.Text), maxFileBytes, ErrInvalid)
		}
		if seen[e.Name] {
			return fmt.Errorf("file %q is edited twice: %w", e.Name, ErrInvalid)
		}
		seen[e.Name] = true
	}
	return nil
}

// Folder is the stored files at one generation; it is immutable.
type Folder struct {
	Head  Head
	Files map[string]Stored
}

// Texts returns the texts of the files that are not deleted.
func (f Folder) Texts() map[string]string {
	out := map[string]string{}
	for name, s := range f.Files {
		if !s.Deleted {
			out[name] = s.Text
		}
	}
	return out
}

// WithEdits returns the folder as the edits would leave it at a generation.
func (f Folder) WithEdits(edits []Edit, generation uint64) Folder {
	files := maps.Clone(f.Files)
	if files == nil {
		files = map[string]Stored{}
	}
	for _, e := range edits {
		files[e.Name] = Stored{Generation: generation, Text: e.Text, Deleted: e.Delete}
	}
	return Folder{Head: Head{Generation: generation}, Files: files}
}

// Plan merges and checks the folder.
func (f Folder) Plan() (Plan, error) {
	p, err := Merge(f.Texts())
	if err != nil {
		return Plan{}, err
	}
	return p.WithGeneration(f.Head.Generation), nil
}

// Store keeps generations in the table.
type Store struct {
	Table *table.Table
	// NowMs is the wall clock in ms since 1970.
	NowMs func() int64
}

// Head reads the head row; the zero Head stands for an empty folder.
func (s *Store) Head(ctx context.Context) (Head, error) {
	h, _, err := s.head(ctx)
	return h, err
}

func (s *Store) head(ctx context.Context) (Head, table.Row, error) {
	rows, err := s.Table.Get(ctx, headKey)
	if err != nil {
		return Head{}, table.Row{}, unavailable(err)
	}
	var h Head
	if rows[0].Version == table.Absent {
		return h, rows[0], nil
	}
	if err := rows[0].Decode(&h); err != nil {
		return h, rows[0], unavailable(err)
	}
	return h, rows[0], nil
}

func unavailable(err error) error {
	return fmt.Errorf("%w: %w", ErrUnavailable, err)
}

// Follow returns the newest folder, given one that was read before (or the
// zero Folder); it reads only the files that changed since.
func (s *Store) Follow(ctx context.Context, have Folder) (Folder, error) {
	for range maxTries {
		head, err := s.Head(ctx)
		if err != nil {
			return have, err
		}
		if head.Generation <= have.Head.Generation {
			return have, nil
		}
		next, err := s.advance(ctx, have, head)
		if err != nil {
			return have, err
		}
		if HashFiles(next.Texts()) == head.Hash {
			return next, nil
		}
		have = Folder{} // a change came between the reads: read everything anew
	}
	return have, fmt.Errorf("folder changes faster than it can be read: %w", ErrUnavailable)
}

func (s *Store) advance(ctx context.Context, have Folder, head Head) (Folder, error) {
	next := Folder{Head: head, Files: maps.Clone(have.Files)}
	if next.Files == nil {
		next.Files = map[string]Stored{}
	}
	if have.Head.Generation == 0 {
		return next, s.readAll(ctx, next.Files)
	}
	log, err := s.Log(ctx, have.Head.Generation)
	if err != nil {
		return have, err
	}
	changed := map[string]bool{}
	for _, e := range log {
		for _, name := range e.Files {
			changed[filePrefix+name] = true
		}
	}
	return next, s.readSome(ctx, next.Files, slices.Sorted(maps.Keys(changed)))
}

func (s *Store) readAll(ctx context.Context, files map[string]Stored) error {
	after := ""
	for more := true; more; {
		var rows []table.Row
		var err error
		rows, more, err = s.Table.Range(ctx, filePrefix, after, pageSize)
		if err != nil {
			return unavailable(err)
		}
		for _, r := range rows {
			if err := addStored(files, r); err != nil {
				return err
			}
			after = r.Key
		}
	}
	return nil
}

func (s *Store) readSome(ctx context.Context, files map[string]Stored, keys []string) error {
	for chunk := range slices.Chunk(keys, pageSize) {
		rows, err := s.Table.Get(ctx, chunk...)
		if err != nil {
			return unavailable(err)
		}
		for _, r := range rows {
			if err := addStored(files, r); err != nil {
				return err
			}
		}
	}
	return nil
}

func addStored(files map[string]Stored, r table.Row) error {
	if r.Version == table.Absent {
		return nil
	}
	var f Stored
	if err := r.Decode(&f); err != nil {
		return unavailable(err)
	}
	files[strings.TrimPrefix(r.Key, filePrefix)] = f
	return nil
}

// Log returns the history after a generation, oldest first.
func (s *Store) Log(ctx context.Context, after uint64) ([]Entry, error) {
	var log []Entry
	key := logKey(after)
	for more := true; more; {
		var rows []table.Row
		var err error
		rows, more, err = s.Table.Range(ctx, logPrefix, key, pageSize)
		if err != nil {
			return nil, unavailable(err)
		}
		for _, r := range rows {
			var e Entry
			if err := r.Decode(&e); err != nil {
				return nil, unavailable(err)
			}
			log = append(log, e)
			key = r.Key
		}
	}
	return log, nil
}

func logKey(generation uint64) string { return fmt.Sprintf("%s%020d", logPrefix, generation) }

// Change makes a new generation of the edits, if each file is still as the
// operator saw it and the merged whole passes verify. Changes of different
// files by others do not stand in the way.
func (s *Store) Change(ctx context.Context, c Change, verify func(Plan) error) (uint64, error) {
	if err := c.Check(); err != nil {
		return 0, err
	}
	have := Folder{}
	for range maxTries {
		head, headRow, err := s.head(ctx)
		if err != nil {
			return 0, err
		}
		have, err = s.Follow(ctx, have)
		if err != nil {
			return 0, err
		}
		if have.Head.Generation != head.Generation {
			continue
		}
		next, err := s.prepare(have, c, verify)
		if err != nil {
			return 0, err
		}
		err = s.commit(ctx, headRow, next, c)
		if !errors.Is(err, table.ErrConflict) {
			return next.Head.Generation, changeError(err)
		}
	}
	return 0, fmt.Errorf("too many changes at once; try again: %w", ErrUnavailable)
}

func changeError(err error) error {
	switch {
	case err == nil:
		return nil
	case errors.Is(err, table.ErrUnknown):
		return fmt.Errorf("%w: %w", ErrUnknown, err)
	}
	return unavailable(err)
}

// prepare applies the edits to the folder and checks the outcome.
func (s *Store) prepare(have Folder, c Change, verify func(Plan) error) (Folder, error) {
	for _, e := range c.Edits {
		if now := have.Files[e.Name]; now.Generation != e.Base {
			return Folder{}, fmt.Errorf("file %q is at generation %d, the change is based on %d; read it again: %w",
				e.Name, now.Generation, e.Base, ErrConflict)
		}
	}
	next := have.WithEdits(c.Edits, have.Head.Generation+1)
	next.Head.Hash = HashFiles(next.Texts())
	next.Head.AtMs = s.NowMs()
	plan, err := next.Plan()
	if err != nil {
		return Folder{}, err
	}
	if verify == nil {
		return next, nil
	}
	return next, verify(plan)
}

func (s *Store) commit(ctx context.Context, headRow table.Row, next Folder, c Change) error {
	entry := Entry{
		Generation: next.Head.Generation, Author: c.Author, Note: c.Note, AtMs: next.Head.AtMs,
	}
	keys := make([]string, 0, len(c.Edits))
	for _, e := range c.Edits {
		entry.Files = append(entry.Files, e.Name)
		keys = append(keys, filePrefix+e.Name)
	}
	rows, err := s.Table.Get(ctx, keys...)
	if err != nil {
		return err
	}
	txn := table.Txn{Puts: []table.Put{
		{Old: headRow, Body: next.Head},
		{Old: table.Row{Key: logKey(entry.Generation)}, Body: entry},
	}}
	for i, e := range c.Edits {
		txn.Puts = append(txn.Puts, table.Put{Old: rows[i], Body: next.Files[e.Name]})
	}
	_, err = s.Table.Commit(ctx, txn)
	return err
}
