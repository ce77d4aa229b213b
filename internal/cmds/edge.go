package cmds

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/peterbourgon/ff/v3/ffcli"

	"greengageline/platform/bind"
	"greengageline/platform/params"
)

const edgeHelp = `Runs a node on the users' platform until SIGTERM or SIGINT, then stops gracefully.

The platform lays the settings down and names their file in the environment;
-settings names another one. -check only reads that file and tells what is wrong
with it, or which node it makes.

Example:
  greengageline edge -settings local.yaml`

func (a *app) edge() *ffcli.Command {
	fs := flag.NewFlagSet("edge", flag.ContinueOnError)
	path := fs.String("settings", "", "the platform's settings file; empty means the one that the environment names")
	check := fs.Bool("check", false, "check the settings file and end")
	return &ffcli.Command{
		Name: "edge", ShortUsage: "greengageline edge [-check] [-settings FILE]", ShortHelp: "run a node on the users' platform",
		LongHelp: edgeHelp, FlagSet: fs,
		Exec: func(ctx context.Context, args []string) error {
			if len(args) != 0 {
				return usagef("edge takes no arguments, got %d", len(args))
			}
			if *path == "" {
				*path = os.Getenv(params.PathVar)
			}
			if *check {
				return a.checkEdge(*path)
			}
			return a.runEdge(ctx, *path)
		},
	}
}

func (a *app) checkEdge(path string) error {
	s, err := params.Read(path)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(a.out, "%s: node %s in availability zone %s, %.2f cores, %d MB; callers at %s, peers at %s, store at %s, adviser: %t, upkeep: %t\n",
		path, s.Node, s.Zone, s.Cores(), s.Limits.MemoryMB, s.Listen.Callers, s.PeerAddr(), s.Store.Addr, s.AdviserAddr != "", s.Cloud.Addr != "")
	return err
}

func (a *app) runEdge(ctx context.Context, path string) error {
	p, err := bind.Start(path, a.out)
	if err != nil {
		return err
	}
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	defer signal.Stop(hangup)
	for {
		select {
		case <-ctx.Done():
			p.Stop()
			return nil
		case <-hangup:
			p.Reload("SIGHUP")
		case err := <-p.Failed():
			return fmt.Errorf("server ended: %w", err)
		}
	}
}
