package cmds

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"

	"greengageline/internal/config"
	"greengageline/internal/setup"
)

const checkHelp = `Checks a settings file, a configuration folder, or both, and changes nothing.

Example:
  greengageline check -settings n1.toml -folder conf/`

func (a *app) check() *ffcli.Command {
	fs := flag.NewFlagSet("check", flag.ContinueOnError)
	file := fs.String("settings", "", "settings file")
	folder := fs.String("folder", "", "configuration folder")
	return command("check", "check [-settings FILE] [-folder DIR]", "check settings and folder", checkHelp, fs,
		func(context.Context, []string) error { return a.runCheck(*file, *folder) })
}

func (a *app) runCheck(file, folder string) error {
	if file == "" && folder == "" {
		return usagef("give -settings, -folder or both")
	}
	if file != "" {
		if _, err := setup.Read([]string{"-config", file}); err != nil {
			return err
		}
		fmt.Fprintf(a.out, "%s: ok\n", file)
	}
	if folder == "" {
		return nil
	}
	files, err := readFolder(folder)
	if err != nil {
		return err
	}
	plan, err := config.Merge(files)
	if err != nil {
		return fmt.Errorf("%w: %w", setup.ErrInvalid, err)
	}
	fmt.Fprintf(a.out, "%s: ok: %d files, %d partners, %d workspaces, %d cells, hash %.12s\n",
		folder, len(files), len(plan.Partners), len(plan.Workspaces), len(plan.Cells), plan.Hash)
	return nil
}

// readFolder returns the texts of a folder's TOML files by base name, with line ends as
// "\n".
func readFolder(dir string) (map[string]string, error) {
	names, err := filepath.Glob(filepath.Join(dir, "*.toml"))
	if err != nil {
		return nil, fmt.Errorf("list %s: %w", dir, err)
	}
	if len(names) == 0 {
		return nil, errors.Join(errUsage, fmt.Errorf("folder %q has no .toml files", dir))
	}
	files := map[string]string{}
	for _, name := range names {
		data, err := os.ReadFile(name)
		if err != nil {
			return nil, fmt.Errorf("read %s: %w", name, err)
		}
		files[filepath.Base(name)] = strings.ReplaceAll(string(data), "\r\n", "\n")
	}
	return files, nil
}
