package cmds

import (
	"context"
	"flag"

	"github.com/peterbourgon/ff/v3/ffcli"
)

func (a *app) demo() *ffcli.Command {
	fs := flag.NewFlagSet("demo", flag.ContinueOnError)
	return command("demo", "demo", "run a small fleet in one process and tell what happens",
		"Example:\n  greengageline demo", fs,
		func(context.Context, []string) error { return errUsage })
}
