package cmds

import (
	"context"
	"flag"
	"fmt"
	"maps"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"greengageline/internal/admin"
	"greengageline/internal/config"
)

func (a *app) config() *ffcli.Command {
	return group("config", "read and change the configuration folder",
		a.configPush(), a.configPut(), a.configRm(), a.configShow(), a.configDiff(), a.configLog())
}

// changeFlags adds the flags for the author and note of a change's history entry.
func changeFlags(fs *flag.FlagSet) (name, note *string) {
	return fs.String("author", os.Getenv("USER"), "who makes the change"),
		fs.String("note", "", "why the change is made")
}

func (a *app) configPush() *ffcli.Command {
	fs := a.clientFlags("push")
	author, note := changeFlags(fs)
	return command("push", "config push [flags] DIR", "make the stored folder equal to a local one",
		"Files that the stored folder has and the local one lacks are removed.\n\nExample:\n  greengageline config push -author kalesi conf/", fs,
		func(ctx context.Context, args []string) error {
			_, diff, err := a.diffStored(ctx, args)
			if err != nil {
				return err
			}
			return a.submitChange(ctx, config.Change{Author: *author, Note: *note, Edits: diff})
		})
}

// diffStored reads the local folder named by args and the stored one. It returns the
// stored folder and the edits that make it equal to the local one.
func (a *app) diffStored(ctx context.Context, args []string) (admin.Folder, []config.Edit, error) {
	dir, err := oneArg(args, "folder")
	if err != nil {
		return admin.Folder{}, nil, err
	}
	files, err := readFolder(dir)
	if err != nil {
		return admin.Folder{}, nil, err
	}
	stored, err := a.storedFolder(ctx)
	return stored, diffEdits(stored, files), err
}

// diffEdits returns the edits that make the stored folder equal to files, which maps file
// names to texts. Each edit is based on the stored generation of its file.
func diffEdits(stored admin.Folder, files map[string]string) []config.Edit {
	var out []config.Edit
	for _, name := range slices.Sorted(maps.Keys(files)) {
		s := stored.Files[name]
		if s.Generation == 0 || s.Deleted || s.Text != files[name] {
			out = append(out, config.Edit{Name: name, Text: files[name], Base: s.Generation})
		}
	}
	for _, name := range slices.Sorted(maps.Keys(stored.Files)) {
		if _, ok := files[name]; !ok && !stored.Files[name].Deleted {
			out = append(out, config.Edit{Name: name, Delete: true, Base: stored.Files[name].Generation})
		}
	}
	return out
}

func (a *app) configPut() *ffcli.Command {
	fs := a.clientFlags("put")
	author, note := changeFlags(fs)
	base := fs.Int64("base", -1, "generation of the file that the change is based on; -1 means as stored now")
	return command("put", "config put [flags] FILE", "store one file",
		"Example:\n  greengageline config put -note 'split for 2027' 50-split-2027.toml", fs,
		func(ctx context.Context, args []string) error {
			path, err := oneArg(args, "file")
			if err != nil {
				return err
			}
			data, err := os.ReadFile(path)
			if err != nil {
				return fmt.Errorf("read %s: %w", path, err)
			}
			e := config.Edit{Name: filepath.Base(path), Text: string(data)}
			return a.submitEdit(ctx, e, *base, *author, *note)
		})
}

func (a *app) configRm() *ffcli.Command {
	fs := a.clientFlags("rm")
	author, note := changeFlags(fs)
	base := fs.Int64("base", -1, "generation of the file that the removal is based on; -1 means as stored now")
	return command("rm", "config rm [flags] NAME", "remove one file",
		"Example:\n  greengageline config rm 50-split-2026.toml", fs,
		func(ctx context.Context, args []string) error {
			name, err := oneArg(args, "name")
			if err != nil {
				return err
			}
			return a.submitEdit(ctx, config.Edit{Name: name, Delete: true}, *base, *author, *note)
		})
}

// submitEdit submits a change of one file. A negative base stands for the file's stored
// generation.
func (a *app) submitEdit(ctx context.Context, e config.Edit, base int64, author, note string) error {
	e.Base = uint64(max(base, 0))
	if base < 0 {
		stored, err := a.storedFolder(ctx)
		if err != nil {
			return err
		}
		e.Base = stored.Files[e.Name].Generation
	}
	return a.submitChange(ctx, config.Change{Author: author, Note: note, Edits: []config.Edit{e}})
}

func (a *app) storedFolder(ctx context.Context) (admin.Folder, error) {
	var f admin.Folder
	err := a.client().Do(ctx, http.MethodGet, "/v1/config", nil, &f)
	return f, err
}

func (a *app) submitChange(ctx context.Context, c config.Change) error {
	if len(c.Edits) == 0 {
		return a.print(struct{}{}, func() string { return "nothing to change" })
	}
	var out admin.Accepted
	if err := a.client().Do(ctx, http.MethodPost, "/v1/config", c, &out); err != nil {
		return err
	}
	return a.print(out, func() string { return fmt.Sprintf("accepted as generation %d", out.Generation) })
}

func (a *app) configShow() *ffcli.Command {
	fs := a.clientFlags("show")
	return command("show", "config show [flags] [NAME]", "print the stored folder or one file",
		"Example:\n  greengageline config show 10-workspaces.toml", fs,
		func(ctx context.Context, args []string) error {
			f, err := a.storedFolder(ctx)
			if err != nil {
				return err
			}
			if len(args) == 1 {
				s, ok := f.Files[args[0]]
				if !ok || s.Deleted {
					return fmt.Errorf("no file %q; greengageline config show lists them", args[0])
				}
				return a.print(s, func() string { return s.Text })
			}
			return a.print(f, func() string { return folderText(f) })
		})
}

func folderText(f admin.Folder) string {
	var b strings.Builder
	fmt.Fprintf(&b, "generation %d, hash %.12s\n", f.Generation, f.Hash)
	for _, name := range slices.Sorted(maps.Keys(f.Files)) {
		if s := f.Files[name]; !s.Deleted {
			fmt.Fprintf(&b, "%-40s generation %d, %d bytes\n", name, s.Generation, len(s.Text))
		}
	}
	return b.String()
}

func (a *app) configDiff() *ffcli.Command {
	fs := a.clientFlags("diff")
	return command("diff", "config diff [flags] DIR", "compare a local folder with the stored one",
		"Exits 1 if they differ.\n\nExample:\n  greengageline config diff conf/", fs,
		func(ctx context.Context, args []string) error {
			f, diff, err := a.diffStored(ctx, args)
			if err != nil {
				return err
			}
			if err := a.print(diff, func() string { return diffText(f, diff) }); err != nil {
				return err
			}
			if len(diff) > 0 {
				return fmt.Errorf("%d files differ", len(diff))
			}
			return nil
		})
}

func diffText(f admin.Folder, diff []config.Edit) string {
	var b strings.Builder
	for _, e := range diff {
		old := f.Files[e.Name]
		switch {
		case e.Delete:
			fmt.Fprintf(&b, "only stored: %s\n", e.Name)
		case old.Generation == 0 || old.Deleted:
			fmt.Fprintf(&b, "only local:  %s\n", e.Name)
		default:
			fmt.Fprintf(&b, "differs:     %s (stored at generation %d)\n", e.Name, old.Generation)
		}
	}
	return b.String()
}

func (a *app) configLog() *ffcli.Command {
	fs := a.clientFlags("log")
	after := fs.Uint64("after", 0, "only generations after this one")
	return command("log", "config log [flags]", "print the history of changes",
		"Example:\n  greengageline config log -after 40", fs,
		func(ctx context.Context, _ []string) error {
			var entries []config.LogEntry
			for last := *after; ; {
				var page []config.LogEntry
				path := fmt.Sprintf("/v1/config/log?after=%d", last)
				if err := a.client().Do(ctx, http.MethodGet, path, nil, &page); err != nil {
					return err
				}
				if len(page) == 0 {
					break
				}
				entries, last = append(entries, page...), page[len(page)-1].Generation
			}
			return a.print(entries, func() string { return logText(entries) })
		})
}

func logText(entries []config.LogEntry) string {
	var b strings.Builder
	for _, e := range entries {
		fmt.Fprintf(&b, "%d  %s  %s  %s  %s\n", e.Generation,
			time.UnixMilli(e.AtMs).UTC().Format(time.DateTime), e.Author, strings.Join(e.Files, ","), e.Note)
	}
	return b.String()
}
