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
	// ErrConflict means that another change of the same file was accepted first.
	ErrConflict = errors.New("file was changed by somebody else")
	// ErrOutcomeUnknown means that it is not known yet whether the change was accepted.
	ErrOutcomeUnknown = errors.New("outcome of the change is not known yet")
	// ErrUnavailable means that the table could not be read or written. A change that
	// fails with it was not accepted.
	ErrUnavailable = errors.New("configuration can't be read or written now")
)

const (
	headKey    = "conf/head"
	filePrefix = "conf/file/"
	logPrefix  = "conf/log/"

	// pageSize is the number of rows that are read in one call.
	pageSize     = 200
	maxFileBytes = 64 << 10
	// maxFolderBytes is the largest sum of the files, of which each counts fileBytes beside its name and text, and a deleted one
	// too. Each node keeps the folder in memory.
	maxFolderBytes = 4 << 20
	fileBytes      = 128
	// maxEdits, maxAuthorBytes and maxNoteBytes bound one change, whose entry in the log is read with others.
	maxEdits       = 256
	maxAuthorBytes = 128
	maxNoteBytes   = 4 << 10
	// logPageSize is the number of entries of the log that are read in one call.
	logPageSize = 100
	// maxAttempts limits how often a read or a change is tried under concurrent changes.
	maxAttempts = 16
)

var fileNamePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,100}\.toml$`)

// Head is the content of the head row: the current generation and the hash of its files.
type Head struct {
	Generation uint64 `json:"generation"`
	Hash       string `json:"hash"`
	AtMs       int64  `json:"at_ms"`
}

// StoredFile is one file with the generation that last changed it. The row of a deleted
// file stays, so that its generation is still compared with the base of an edit.
type StoredFile struct {
	Generation uint64 `json:"generation"`
	Text       string `json:"text"`
	Deleted    bool   `json:"deleted,omitempty"`
}

// LogEntry is the history record of one accepted change.
type LogEntry struct {
	Generation uint64   `json:"generation"`
	Author     string   `json:"author"`
	Note       string   `json:"note,omitempty"`
	AtMs       int64    `json:"at_ms"`
	Files      []string `json:"files"`
}

// Edit writes or deletes one file. Base is the generation of the file on which the edit
// is based, 0 for a new file.
type Edit struct {
	Name   string `json:"name"`
	Text   string `json:"text,omitempty"`
	Delete bool   `json:"delete,omitempty"`
	Base   uint64 `json:"base"`
}

// Change is a set of edits that are accepted or refused as a whole.
type Change struct {
	Author string `json:"author"`
	Note   string `json:"note,omitempty"`
	Edits  []Edit `json:"edits"`
}

// Check checks file names and sizes, and that no file is edited twice. Errors wrap ErrInvalid.
func (c *Change) Check() error {
	if len(c.Edits) == 0 || len(c.Edits) > maxEdits {
		return fmt.Errorf("edits has %d entries, want 1 to %d: %w", len(c.Edits), maxEdits, ErrInvalid)
	}
	if len(c.Author) > maxAuthorBytes || len(c.Note) > maxNoteBytes {
		return fmt.Errorf("author and note have %d and %d bytes, want at most %d and %d: %w", len(c.Author), len(c.Note), maxAuthorBytes, maxNoteBytes, ErrInvalid)
	}
	seen := map[string]bool{}
	for _, e := range c.Edits {
		if !fileNamePattern.MatchString(e.Name) {
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

// Folder is the set of stored files at one generation. It is immutable; the zero Folder
// is the empty configuration.
type Folder struct {
	Head  Head
	Files map[string]StoredFile
}

// Texts returns the texts of the files that are not deleted, by file name.
func (f Folder) Texts() map[string]string {
	out := map[string]string{}
	for name, s := range f.Files {
		if !s.Deleted {
			out[name] = s.Text
		}
	}
	return out
}

// Size returns about how many bytes the folder takes in memory.
func (f Folder) Size() int {
	n := 0
	for name, s := range f.Files {
		n += fileBytes + len(name) + len(s.Text)
	}
	return n
}

// WithEdits returns a copy of the folder with the edits applied at the given generation.
// The head of the copy has no hash.
func (f Folder) WithEdits(edits []Edit, generation uint64) Folder {
	files := maps.Clone(f.Files)
	if files == nil {
		files = map[string]StoredFile{}
	}
	for _, e := range edits {
		files[e.Name] = StoredFile{Generation: generation, Text: e.Text, Deleted: e.Delete}
	}
	return Folder{Head: Head{Generation: generation}, Files: files}
}

// Plan merges and checks the files. Errors wrap ErrInvalid.
func (f Folder) Plan() (Plan, error) {
	p, err := Merge(f.Texts())
	if err != nil {
		return Plan{}, err
	}
	return p.WithGeneration(f.Head.Generation), nil
}

// Store reads and changes the configuration in the table. It keeps no state of its own.
type Store struct {
	Table *table.Table
	// Known returns a folder that was read before, so that a change need not read all files; nil means that there is none.
	Known func() Folder
	// NowMs returns the wall-clock time in ms since the Unix epoch.
	NowMs func() int64
}

// Head reads the head row. The zero Head means that nothing is stored yet.
func (s *Store) Head(ctx context.Context) (Head, error) {
	h, _, err := s.readHead(ctx)
	return h, err
}

func (s *Store) readHead(ctx context.Context) (Head, table.Row, error) {
	rows, err := s.Table.Get(ctx, headKey)
	if err != nil {
		return Head{}, table.Row{}, wrapUnavailable(err)
	}
	var h Head
	if rows[0].Version == table.Absent {
		return h, rows[0], nil
	}
	if err := rows[0].Decode(&h); err != nil {
		return h, rows[0], wrapUnavailable(err)
	}
	return h, rows[0], nil
}

func wrapUnavailable(err error) error {
	return fmt.Errorf("%w: %w", ErrUnavailable, err)
}

// Refresh returns the current folder. known is a folder that was read before, or the zero
// Folder; only the files that changed since are read. On error it returns a folder that
// is no newer than known, with an error that wraps ErrUnavailable.
func (s *Store) Refresh(ctx context.Context, known Folder) (Folder, error) {
	for range maxAttempts {
		head, err := s.Head(ctx)
		if err != nil {
			return known, err
		}
		if head.Generation <= known.Head.Generation {
			return known, nil
		}
		next, err := s.loadChanges(ctx, known, head)
		if err != nil {
			return known, err
		}
		if HashFiles(next.Texts()) == head.Hash {
			return next, nil
		}
		known = Folder{} // the files changed while they were read: read all of them again
	}
	return known, fmt.Errorf("folder changes faster than it can be read: %w", ErrUnavailable)
}

// loadChanges returns known brought up to head: all files if known is empty, otherwise
// those that the log names. If another change is accepted between the reads, the files
// do not match head.Hash.
func (s *Store) loadChanges(ctx context.Context, known Folder, head Head) (Folder, error) {
	next := Folder{Head: head, Files: maps.Clone(known.Files)}
	if next.Files == nil {
		next.Files = map[string]StoredFile{}
	}
	if known.Head.Generation == 0 {
		return next, s.readAll(ctx, next.Files)
	}
	changed := map[string]bool{}
	for after, more := known.Head.Generation, true; more; {
		var log []LogEntry
		var err error
		log, more, err = s.Log(ctx, after)
		if err != nil {
			return known, err
		}
		for _, e := range log {
			after = e.Generation
			for _, name := range e.Files {
				changed[filePrefix+name] = true
			}
		}
	}
	return next, s.readKeys(ctx, next.Files, slices.Sorted(maps.Keys(changed)))
}

func (s *Store) readAll(ctx context.Context, files map[string]StoredFile) error {
	after := ""
	for more := true; more; {
		var rows []table.Row
		var err error
		rows, more, err = s.Table.Range(ctx, filePrefix, after, pageSize)
		if err != nil {
			return wrapUnavailable(err)
		}
		for _, r := range rows {
			if err := addFileRow(files, r); err != nil {
				return err
			}
			after = r.Key
		}
	}
	return nil
}

func (s *Store) readKeys(ctx context.Context, files map[string]StoredFile, keys []string) error {
	for chunk := range slices.Chunk(keys, pageSize) {
		rows, err := s.Table.Get(ctx, chunk...)
		if err != nil {
			return wrapUnavailable(err)
		}
		for _, r := range rows {
			if err := addFileRow(files, r); err != nil {
				return err
			}
		}
	}
	return nil
}

func addFileRow(files map[string]StoredFile, r table.Row) error {
	if r.Version == table.Absent {
		return nil
	}
	var f StoredFile
	if err := r.Decode(&f); err != nil {
		return wrapUnavailable(err)
	}
	files[strings.TrimPrefix(r.Key, filePrefix)] = f
	return nil
}

// Log returns the changes after the given generation, oldest first, and whether there are more.
func (s *Store) Log(ctx context.Context, after uint64) (log []LogEntry, more bool, err error) {
	rows, more, err := s.Table.Range(ctx, logPrefix, logKey(after), logPageSize)
	if err != nil {
		return nil, false, wrapUnavailable(err)
	}
	for _, r := range rows {
		var e LogEntry
		if err := r.Decode(&e); err != nil {
			return nil, false, wrapUnavailable(err)
		}
		log = append(log, e)
	}
	return log, more, nil
}

func logKey(generation uint64) string { return fmt.Sprintf("%s%020d", logPrefix, generation) }

// Change applies the edits and returns the new generation. Each edited file must still
// be at its Base generation (else ErrConflict), and the merged plan must be valid and
// pass verify, which may be nil. If another change of other files commits first, Change
// starts again on top of it. After ErrOutcomeUnknown the change may have been accepted.
func (s *Store) Change(ctx context.Context, c Change, verify func(Plan) error) (uint64, error) {
	if err := c.Check(); err != nil {
		return 0, err
	}
	folder := Folder{}
	if s.Known != nil {
		folder = s.Known()
	}
	for range maxAttempts {
		head, headRow, err := s.readHead(ctx)
		if err != nil {
			return 0, err
		}
		folder, err = s.Refresh(ctx, folder)
		if err != nil {
			return 0, err
		}
		if folder.Head.Generation != head.Generation {
			continue
		}
		next, err := s.applyEdits(folder, c, verify)
		if err != nil {
			return 0, err
		}
		err = s.commit(ctx, headRow, next, c)
		if !errors.Is(err, table.ErrConflict) {
			return next.Head.Generation, commitError(err)
		}
	}
	return 0, fmt.Errorf("too many changes at once; try again: %w", ErrUnavailable)
}

func commitError(err error) error {
	switch {
	case err == nil:
		return nil
	case errors.Is(err, table.ErrOutcomeUnknown):
		return fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
	}
	return wrapUnavailable(err)
}

// applyEdits returns the folder with the edits applied, or an error if a file is not at
// its base generation or the result is invalid or fails verify.
func (s *Store) applyEdits(folder Folder, c Change, verify func(Plan) error) (Folder, error) {
	for _, e := range c.Edits {
		if current := folder.Files[e.Name]; current.Generation != e.Base {
			return Folder{}, fmt.Errorf("file %q is at generation %d, the change is based on %d; read it again: %w",
				e.Name, current.Generation, e.Base, ErrConflict)
		}
	}
	next := folder.WithEdits(c.Edits, folder.Head.Generation+1)
	if size := next.Size(); size > maxFolderBytes && size > folder.Size() {
		return Folder{}, fmt.Errorf("the files would take %d bytes, want at most %d: %w", size, maxFolderBytes, ErrInvalid)
	}
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

// commit writes the head, the log entry and the files in one transaction. It fails with
// table.ErrConflict if any of these rows changed after it was read.
func (s *Store) commit(ctx context.Context, headRow table.Row, next Folder, c Change) error {
	entry := LogEntry{
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
