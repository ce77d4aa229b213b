package cmds

import (
	"context"
	"flag"
	"fmt"

	"github.com/peterbourgon/ff/v3/ffcli"

	"greengageline/internal/boot"
	"greengageline/internal/guard"
	"greengageline/internal/setup"
)

const serveHelp = `Runs an entry node until SIGTERM or SIGINT, then stops gracefully.

Settings come from flags, then the environment (GREENGAGELINE_NODE, ...), then
the TOML file given by -config; docs/SETTINGS.md lists them.

Example:
  greengageline serve -config n1.toml -node n1`

func (a *app) serve() *ffcli.Command {
	fs := flag.NewFlagSet("serve", flag.ContinueOnError)
	cmd := command("serve", "serve -config FILE [-SETTING VALUE ...]", "run an entry node", serveHelp, fs, nil)
	// setup.Read parses the flags itself, so they are passed on as given.
	givenArgs := declareRawFlags(fs)
	cmd.Exec = func(ctx context.Context, args []string) error {
		s, err := setup.Read(append(givenArgs(), args...))
		if err != nil {
			return err
		}
		return a.runNode(ctx, s)
	}
	return cmd
}

func (a *app) runNode(ctx context.Context, s setup.Settings) error {
	guard.Limits{MemoryMB: s.MemoryMB, MaxFds: s.MaxFds}.Apply()
	p, err := boot.Start(s, a.errOut)
	if err != nil {
		return err
	}
	select {
	case <-ctx.Done():
	case <-p.StopRequested():
	case err := <-p.Failed():
		p.Stop()
		return fmt.Errorf("server ended: %w", err)
	}
	if !p.Stop() {
		return fmt.Errorf("stopped with requests in progress after drain_limit %s", s.DrainLimit)
	}
	return nil
}

// declareRawFlags declares every setting as a string flag, for the help text. The
// returned function lists the flags that were given, as arguments for setup.Read.
func declareRawFlags(fs *flag.FlagSet) func() []string {
	fs.String("config", "", "settings file")
	for _, o := range setup.Options() {
		fs.String(o.Name, "", fmt.Sprintf("%s (%s, default %q)", o.Doc, o.Unit, o.Default))
	}
	return func() []string {
		var out []string
		fs.Visit(func(f *flag.Flag) { out = append(out, "-"+f.Name, f.Value.String()) })
		return out
	}
}
