package cmds

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"

	"greengageline/internal/setup"
	"greengageline/pkg/client"
	"greengageline/pkg/model"
	"greengageline/platform/params"
)

// Exit codes of all subcommands; the package comment describes them.
const (
	exitOK      = 0
	exitFailed  = 1
	exitUsage   = 2
	exitRefused = 3
	exitUnknown = 4
)

// errUsage is wrapped by errors about an invalid command line.
var errUsage = errors.New("wrong use")

func usagef(format string, args ...any) error {
	return fmt.Errorf("%w: "+format, append([]any{errUsage}, args...)...)
}

// app holds the streams and the common flag values of one command line.
type app struct {
	in          io.Reader
	out, errOut io.Writer
	addrs       string
	json        bool
}

// Main runs one command line, without the program name, and returns the exit code.
// SIGINT and SIGTERM cancel the context of the subcommand.
func Main(ctx context.Context, args []string, in io.Reader, out, errOut io.Writer) int {
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	a := &app{in: in, out: out, errOut: errOut}
	root := a.root()
	err := parseAndRun(ctx, root, args)
	if err == nil {
		return exitOK
	}
	if errors.Is(err, flag.ErrHelp) {
		return exitUsage
	}
	fmt.Fprintf(errOut, "greengageline: %v\n", err)
	return exitCode(err)
}

func parseAndRun(ctx context.Context, root *ffcli.Command, args []string) error {
	err := root.Parse(args)
	if errors.Is(err, flag.ErrHelp) {
		return err
	}
	if err != nil {
		return usagef("%w", err)
	}
	return root.Run(ctx)
}

func exitCode(err error) int {
	var problem *client.Problem
	switch {
	case errors.Is(err, errUsage), errors.Is(err, setup.ErrInvalid), errors.Is(err, params.ErrInvalid):
		return exitUsage
	case errors.Is(err, client.ErrNotKnown):
		return exitUnknown
	case errors.As(err, &problem) && problem.Ran == "no":
		return exitRefused
	case errors.Is(err, model.ErrInvalid):
		return exitRefused
	}
	return exitFailed
}

func (a *app) root() *ffcli.Command {
	return &ffcli.Command{
		ShortUsage: "greengageline <subcommand> [flags]",
		ShortHelp:  "schedules multi-accelerator jobs under workspace guarantees",
		LongHelp:   "Start with: greengageline demo",
		FlagSet:    flag.NewFlagSet("greengageline", flag.ContinueOnError),
		Subcommands: []*ffcli.Command{
			a.serve(), a.edge(), a.check(), a.config(), a.submit(), a.job(), a.workspace(),
			a.usage(), a.node(), a.evacuate(), a.explain(), a.trace(), a.demo(), a.stand(),
		},
		Exec: func(context.Context, []string) error { return flag.ErrHelp },
	}
}

// command returns a subcommand whose flags can also be set by environment variables.
func command(name, usage, short, long string, fs *flag.FlagSet, exec func(context.Context, []string) error) *ffcli.Command {
	return &ffcli.Command{
		Name: name, ShortUsage: "greengageline " + usage, ShortHelp: short, LongHelp: long,
		FlagSet: fs, Options: []ff.Option{ff.WithEnvVarPrefix(setup.EnvPrefix)}, Exec: exec,
	}
}

// clientFlags returns a flag set with the flags common to all subcommands that call
// entry nodes.
func (a *app) clientFlags(name string) *flag.FlagSet {
	fs := flag.NewFlagSet(name, flag.ContinueOnError)
	fs.StringVar(&a.addrs, "nodes", "127.0.0.1:7000", "addresses of entry nodes, separated by commas")
	fs.BoolVar(&a.json, "json", false, "print JSON")
	return fs
}

func (a *app) client() *client.Client {
	return &client.Client{Addrs: strings.Split(a.addrs, ",")}
}

// print writes v as JSON if -json is given, otherwise the result of text.
func (a *app) print(v any, text func() string) error {
	if !a.json {
		_, err := fmt.Fprintln(a.out, strings.TrimRight(text(), "\n"))
		return err
	}
	enc := json.NewEncoder(a.out)
	enc.SetIndent("", "  ")
	if err := enc.Encode(v); err != nil {
		return fmt.Errorf("print JSON: %w", err)
	}
	return nil
}

// group returns a command that only has subcommands.
func group(name, short string, subs ...*ffcli.Command) *ffcli.Command {
	return &ffcli.Command{
		Name: name, ShortUsage: "greengageline " + name + " <subcommand>", ShortHelp: short,
		Subcommands: subs, FlagSet: flag.NewFlagSet(name, flag.ContinueOnError),
		Exec: func(context.Context, []string) error { return flag.ErrHelp },
	}
}

// oneArg returns the only argument, or a usage error that says what is wanted.
func oneArg(args []string, what string) (string, error) {
	if len(args) != 1 {
		return "", usagef("want one %s, got %d arguments", what, len(args))
	}
	return args[0], nil
}
