package cmds

import (
	"context"
	"flag"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"greengageline/internal/fakes"
	"greengageline/pkg/client"
	"greengageline/pkg/model"
)

func (a *app) stand() *ffcli.Command {
	return group("stand", "run stand-ins of the platform or of workers, for trials only",
		a.standPlatform(), a.standWorker())
}

func (a *app) standPlatform() *ffcli.Command {
	fs := flag.NewFlagSet("platform", flag.ContinueOnError)
	listen := fs.String("listen", "127.0.0.1:7900", "address")
	return command("platform", "stand platform [flags]", "run a table, object store and VM list in memory",
		"Example:\n  greengageline stand platform -listen 127.0.0.1:7900", fs,
		func(ctx context.Context, _ []string) error {
			p := &fakes.Platform{}
			return a.serveStandIn(ctx, *listen, p.Handle)
		})
}

// serveStandIn serves h on the address until ctx is cancelled.
func (a *app) serveStandIn(ctx context.Context, listen string, h fakes.Handler) error {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	s := fakes.NewServer(h)
	failed := make(chan error, 1)
	go func() { failed <- s.Serve(l) }()
	fmt.Fprintf(a.errOut, "stand-in on %s\n", l.Addr())
	select {
	case <-ctx.Done():
		return s.Close()
	case err := <-failed:
		return fmt.Errorf("serve: %w", err)
	}
}

func (a *app) standWorker() *ffcli.Command {
	fs := flag.NewFlagSet("worker", flag.ContinueOnError)
	var vm model.VM
	fs.StringVar(&vm.ID, "id", "w1", "VM id")
	fs.StringVar(&vm.Addr, "listen", "127.0.0.1:7801", "address")
	fs.StringVar(&vm.Zone, "vm_zone", "suva", "availability zone")
	fs.StringVar(&vm.Rack, "rack", "r1", "rack")
	fs.IntVar(&vm.Accelerators, "accelerators", 8, "accelerators")
	platform := fs.String("platform_addr", "127.0.0.1:7900", "platform that gets the VM's list entry")
	callTime := fs.Duration("call_time", 5*time.Millisecond, "how long a short request takes")
	return command("worker", "stand worker [flags]", "run a worker and add it to the VM list",
		"Example:\n  greengageline stand worker -id w1 -listen 127.0.0.1:7801 -rack r1", fs,
		func(ctx context.Context, _ []string) error {
			if err := vm.Check(); err != nil {
				return err
			}
			c := &client.Client{Addrs: []string{*platform}}
			if err := registerVM(ctx, c, vm); err != nil {
				return fmt.Errorf("add the VM to the list at %s: %w", *platform, err)
			}
			w := &fakes.Worker{VM: vm, CallTime: *callTime}
			return a.serveStandIn(ctx, vm.Addr, w.Handle)
		})
}

const (
	registerAttempts      = 50
	registerRetryInterval = 200 * time.Millisecond
)

// registerVM adds the VM to the platform's list. It retries because the platform may
// still be starting.
func registerVM(ctx context.Context, c *client.Client, vm model.VM) error {
	var err error
	for range registerAttempts {
		err = c.Do(ctx, http.MethodPost, "/vms", vm, nil)
		if err == nil || ctx.Err() != nil {
			return err
		}
		time.Sleep(registerRetryInterval)
	}
	return err
}
