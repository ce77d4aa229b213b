package cmds

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"

	"github.com/peterbourgon/ff/v3/ffcli"

	"greengageline/internal/trace"
	"greengageline/pkg/client"
)

func (a *app) trace() *ffcli.Command {
	fs := flag.NewFlagSet("trace", flag.ContinueOnError)
	fs.BoolVar(&a.json, "json", false, "print JSON")
	return command("trace", "trace [flags] ID [FILE...]", "tell the story of one request from the logs of several nodes",
		"Merges the lines of the job by time; without files it reads standard input.\n\nExample:\n  greengageline trace 5c0e7a21d94b36f8 node-1.log node-2.log", fs,
		func(_ context.Context, args []string) error {
			if len(args) == 0 {
				return usagef("want the id of a request")
			}
			lines, err := a.readLogs(args[1:])
			if err != nil {
				return err
			}
			matching := trace.Of(lines, args[0])
			if len(matching) == 0 {
				return fmt.Errorf("no line of %d is about request %s: %w", len(lines), args[0], client.ErrNotKnown)
			}
			return a.print(matching, func() string { return trace.Text(matching) })
		})
}

// readLogs reads the log lines of all files, or of standard input if there are no paths.
func (a *app) readLogs(paths []string) ([]trace.Line, error) {
	if len(paths) == 0 {
		return trace.Read(a.in)
	}
	var all []trace.Line
	for _, path := range paths {
		lines, err := readLog(path)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", path, err)
		}
		all = append(all, lines...)
	}
	return all, nil
}

func readLog(path string) (lines []trace.Line, err error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("open a log: %w", err)
	}
	defer func(c io.Closer) { _ = c.Close() }(f)
	return trace.Read(f)
}
