package cmds

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"greengageline/internal/admin"
	"greengageline/internal/cell"
	"greengageline/internal/clock"
	"greengageline/internal/node"
	"greengageline/internal/place"
)

// status returns the status of the node at addr, or of any node of -nodes if addr is empty.
func (a *app) status(ctx context.Context, addr string) (node.Status, error) {
	var s node.Status
	c := a.client()
	if addr != "" {
		c.Addrs = []string{addr}
	}
	err := c.Do(ctx, http.MethodGet, "/v1/status", nil, &s)
	return s, err
}

func (a *app) workspace() *ffcli.Command {
	fs := a.clientFlags("workspace")
	return command("workspace", "workspace [flags]", "print guarantees against use",
		"Shows the cells that the asked nodes own, so name all entry nodes.\n\nExample:\n  greengageline workspace -nodes 10.0.0.1:7000,10.0.0.2:7000", fs,
		func(ctx context.Context, _ []string) error {
			stats := []place.WorkspaceStats{}
			for _, addr := range strings.Split(a.addrs, ",") {
				s, err := a.status(ctx, addr)
				if err != nil {
					fmt.Fprintf(a.errOut, "%s: %v\n", addr, err)
					continue
				}
				stats = append(stats, s.Workspaces...)
			}
			return a.print(stats, func() string { return workspaceText(stats) })
		})
}

func workspaceText(stats []place.WorkspaceStats) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%-24s %10s %8s %8s %8s %8s\n", "workspace", "guaranteed", "in use", "borrowed", "queued", "at risk")
	for _, w := range stats {
		fmt.Fprintf(&b, "%-24s %10d %8d %8d %8d %8d\n", w.Name, w.Guaranteed, w.InUse, w.Borrowed, w.Queued, w.AtRisk)
	}
	return b.String()
}

func (a *app) usage() *ffcli.Command {
	fs := a.clientFlags("usage")
	return command("usage", "usage [flags] CELL", "print what each generation's cost agreement was charged",
		"Accelerator-hours of the pool, split between partners, and what workspaces held.\n\nExample:\n  greengageline usage viti", fs,
		func(ctx context.Context, args []string) error {
			name, err := oneArg(args, "cell")
			if err != nil {
				return err
			}
			var usages []cell.Usage
			if err := a.client().Do(ctx, http.MethodGet, "/v1/usage/"+url.PathEscape(name), nil, &usages); err != nil {
				return err
			}
			return a.print(usages, func() string { return usageText(usages) })
		})
}

// usageText returns the usage as text, one block for each generation, converted from
// accelerator-milliseconds to accelerator-hours.
func usageText(usages []cell.Usage) string {
	const msPerHour = float64(time.Hour / time.Millisecond)
	var b strings.Builder
	for _, u := range usages {
		fmt.Fprintf(&b, "generation %d: pool %.3f accelerator-hours\n", u.Generation, float64(u.Pool)/msPerHour)
		for _, p := range slices.Sorted(maps.Keys(u.Partners)) {
			fmt.Fprintf(&b, "  partner %-20s %.3f\n", p, u.Partners[p]/msPerHour)
		}
		for _, ws := range slices.Sorted(maps.Keys(u.Workspaces)) {
			fmt.Fprintf(&b, "  workspace %-18s %.3f\n", ws, float64(u.Workspaces[ws])/msPerHour)
		}
	}
	return b.String()
}

func (a *app) node() *ffcli.Command {
	return group("node", "list or drain entry nodes", a.nodeList(), a.nodeDrain())
}

func (a *app) nodeList() *ffcli.Command {
	fs := a.clientFlags("list")
	return command("list", "node list [flags]", "print nodes, cells and owners",
		"Example:\n  greengageline node list -json", fs,
		func(ctx context.Context, _ []string) error {
			s, err := a.status(ctx, "")
			if err != nil {
				return err
			}
			return a.print(s, func() string { return nodesText(s) })
		})
}

func nodesText(s node.Status) string {
	var b strings.Builder
	for _, n := range s.Nodes {
		fmt.Fprintf(&b, "node %-12s %-22s zone %-16s generation %d", n.Node, n.Addr, n.Zone, n.Generation)
		if n.Draining {
			b.WriteString(" draining")
		}
		b.WriteString("\n")
	}
	for _, c := range s.Cells {
		fmt.Fprintf(&b, "cell %-12s owner %s epoch %d\n", c.Cell, c.Owner, c.Epoch)
	}
	return b.String()
}

func (a *app) nodeDrain() *ffcli.Command {
	fs := a.clientFlags("drain")
	timeout := fs.Duration("timeout", time.Minute, "how long to wait until the node has stopped")
	return command("drain", "node drain [flags] ADDR", "stop one entry node gracefully",
		"ADDR is the node's address for callers.\n\nExample:\n  greengageline node drain 10.0.0.3:7000", fs,
		func(ctx context.Context, args []string) error {
			addr, err := oneArg(args, "node address")
			if err != nil {
				return err
			}
			return a.runDrain(ctx, addr, *timeout)
		})
}

const (
	// drainPollInterval is the time between two status requests to a draining node.
	drainPollInterval = 200 * time.Millisecond
	// drainPollTimeout bounds one status request to a draining node.
	drainPollTimeout = time.Second
)

// runDrain asks the node at addr to drain and waits up to timeout until it refuses connections.
// A status request that fails in another way does not show that the node has stopped.
func (a *app) runDrain(ctx context.Context, addr string, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	a.addrs = addr
	if err := a.client().Do(ctx, http.MethodPost, "/v1/drain", nil, nil); err != nil {
		return err
	}
	var last error
	for ctx.Err() == nil {
		pollCtx, cancelPoll := context.WithTimeout(ctx, drainPollTimeout)
		_, last = a.status(pollCtx, addr)
		cancelPoll()
		if errors.Is(last, syscall.ECONNREFUSED) {
			return a.print(map[string]string{"stopped": addr}, func() string { return addr + " has stopped" })
		}
		clock.Sleep(ctx, drainPollInterval)
	}
	if last != nil {
		return fmt.Errorf("%s was not seen to stop within %s: %w", addr, timeout, last)
	}
	return fmt.Errorf("%s is still draining after %s", addr, timeout)
}

func (a *app) explain() *ffcli.Command {
	fs := a.clientFlags("explain")
	return command("explain", "explain [flags] ID", "tell what happened to a job and why",
		"Example:\n  greengageline explain viti.0199-...", fs,
		withJobID(func(ctx context.Context, id string) error {
			var e admin.Explanation
			if err := a.client().Do(ctx, http.MethodGet, "/v1/jobs/"+url.PathEscape(id)+"/explain", nil, &e); err != nil {
				return err
			}
			return a.print(e, func() string { return strings.Join(e.Lines, "\n") })
		}))
}
