package cmds

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"greengageline/internal/boot"
	"greengageline/internal/config"
	"greengageline/internal/setup"
	"greengageline/internal/stand"
	"greengageline/pkg/client"
	"greengageline/pkg/model"
)

const demoHelp = `Starts a stand-in platform, three nodes and eight workers in one process over
loopback, runs a gang, a job that must run once, a reclaim of a guarantee and
the death of an owner, and prints what happens. Takes well under a minute.

Example:
  greengageline demo -log demo.log`

const (
	demoNodes   = 3
	demoWorkers = 8
	demoLimit   = 55 * time.Second
)

const demoConfig = `[policy]
preset = "completion"

[partners.naidu]
share = 0.6

[partners.tatry]
share = 0.4

[cells.viti]
zones = ["suva", "nausori"]

[workspaces.proofs]
partner = "naidu"

[[workspaces.proofs.guarantees]]
cell = "viti"
tasks = 2
each = 8
count = 2

[workspaces.routes]
partner = "tatry"
`

func (a *app) demo() *ffcli.Command {
	fs := flag.NewFlagSet("demo", flag.ContinueOnError)
	logFile := fs.String("log", "", "file for the nodes' log lines")
	return command("demo", "demo [flags]", "run a small fleet in one process and tell what happens", demoHelp, fs,
		func(ctx context.Context, _ []string) error {
			ctx, cancel := context.WithTimeout(ctx, demoLimit)
			defer cancel()
			d := &demo{app: a, began: time.Now(), log: io.Discard}
			if *logFile != "" {
				f, err := os.Create(*logFile)
				if err != nil {
					return fmt.Errorf("create log: %w", err)
				}
				defer func() { _ = f.Close() }()
				d.log = f
			}
			defer d.close()
			return d.run(ctx)
		})
}

// demo is a fleet in one process.
type demo struct {
	*app
	began    time.Time
	log      io.Writer
	platform stand.Platform
	servers  []*stand.Server
	nodes    []*boot.Process
	settings []setup.Settings
	client   client.Client
}

func (d *demo) say(format string, args ...any) {
	fmt.Fprintf(d.out, "%6.2fs  %s\n", time.Since(d.began).Seconds(), fmt.Sprintf(format, args...))
}

func (d *demo) run(ctx context.Context) error {
	if err := d.start(ctx); err != nil {
		return err
	}
	for _, act := range []func(context.Context) error{d.gang, d.once, d.reclaim, d.ownerDies} {
		if err := act(ctx); err != nil {
			return err
		}
	}
	d.say("all of it went as promised")
	return nil
}

// listen opens a free loopback port.
func listen() (net.Listener, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	return l, nil
}

func (d *demo) serveStand(h stand.Handler) (string, error) {
	l, err := listen()
	if err != nil {
		return "", err
	}
	s := stand.NewServer(h)
	d.servers = append(d.servers, s)
	go func() { _ = s.Serve(l) }()
	return l.Addr().String(), nil
}

func (d *demo) start(ctx context.Context) error {
	platform, err := d.serveStand(d.platform.Handle)
	if err != nil {
		return err
	}
	for i := range demoWorkers {
		if err := d.addWorker(i); err != nil {
			return err
		}
	}
	if err := d.startNodes(platform); err != nil {
		return err
	}
	d.say("a platform, %d nodes and %d workers of 8 accelerators run on loopback", demoNodes, demoWorkers)
	return d.configure(ctx)
}

func (d *demo) addWorker(i int) error {
	w := &stand.Worker{}
	addr, err := d.serveStand(w.Handle)
	if err != nil {
		return err
	}
	w.VM = model.VM{
		ID: fmt.Sprintf("w%d", i+1), Addr: addr, Zone: []string{"suva", "nausori"}[i/4],
		Rack: fmt.Sprintf("rack%d", i/2+1), Accelerators: 8,
	}
	d.platform.SetVM(w.VM)
	return nil
}

func (d *demo) startNodes(platform string) error {
	var peers []string
	for i := range demoNodes {
		s := setup.Default()
		s.Node, s.Zone, s.Platform = fmt.Sprintf("n%d", i+1), "suva", platform
		for _, addr := range []*string{&s.Listen, &s.PeerListen} {
			l, err := listen()
			if err != nil {
				return err
			}
			*addr = l.Addr().String()
			_ = l.Close()
		}
		peers = append(peers, s.PeerListen)
		d.settings = append(d.settings, s)
		d.client.Addrs = append(d.client.Addrs, s.Listen)
	}
	for _, s := range d.settings {
		s.Peers = strings.Join(peers, ",")
		p, err := boot.Start(s, d.log)
		if err != nil {
			return err
		}
		d.nodes = append(d.nodes, p)
	}
	return nil
}

func (d *demo) configure(ctx context.Context) error {
	change := config.Change{Author: "demo", Edits: []config.Edit{{Name: "10-demo.toml", Text: demoConfig}}}
	for {
		_, err := d.nodes[0].Node.ChangeConfig(ctx, change)
		if err == nil {
			break
		}
		if ctx.Err() != nil {
			return fmt.Errorf("push the configuration: %w", err)
		}
		time.Sleep(100 * time.Millisecond)
	}
	d.say("configuration accepted: workspace proofs is guaranteed 2 gangs of 2x8")
	owner, err := d.owner(ctx)
	if err != nil {
		return err
	}
	d.say("node %s owns cell viti", d.nodes[owner].Node.Settings.Node)
	return nil
}

// owner waits until a node owns the cell and decides.
func (d *demo) owner(ctx context.Context) (int, error) {
	for ctx.Err() == nil {
		for i, p := range d.nodes {
			if p == nil {
				continue
			}
			for _, c := range p.Node.Status().Cells {
				if c.Ready {
					return i, nil
				}
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	return 0, fmt.Errorf("no node came to own the cell: %w", ctx.Err())
}

func (d *demo) submit(ctx context.Context, ws, key string, shape model.Shape, idempotent bool, runMs int64) (model.Job, error) {
	job, err := d.client.Submit(ctx, model.JobSpec{
		Workspace: ws, Key: key, Shape: shape, Idempotent: idempotent, Checkpoint: idempotent,
		EstimateMs: runMs, Payload: stand.Work{RunMs: runMs, Answer: "answer to " + key}.Encode(),
	})
	if err != nil {
		return job, fmt.Errorf("submit %s: %w", key, err)
	}
	d.say("%s: job %q of %s, %d tasks of %d, is durable", job.State, key, ws, shape.Tasks, shape.Each)
	return job, nil
}

// finish waits for a job's end and checks its answer.
func (d *demo) finish(ctx context.Context, job model.Job) (model.Job, error) {
	key := job.Spec.Key
	job, err := d.client.Wait(ctx, job.ID)
	if err != nil {
		return job, fmt.Errorf("wait for %s: %w", key, err)
	}
	if job.State != model.Done {
		return job, fmt.Errorf("job %s ended as %s", key, job.State)
	}
	data, err := d.client.Answer(ctx, job.ID)
	if err != nil {
		return job, fmt.Errorf("answer of %s: %w", key, err)
	}
	if string(data) != "answer to "+key {
		return job, errors.New("a job got an answer that is not its own")
	}
	d.say("done: %q on %s after %.2f s: %q", key, workersOf(job), float64(job.EndedMs-job.AcceptedMs)/1000, data)
	return job, nil
}

func workersOf(j model.Job) string {
	var names []string
	for _, m := range j.Members {
		names = append(names, m.Worker)
	}
	return strings.Join(names, "+")
}

func (d *demo) gang(ctx context.Context) error {
	d.say("-- a gang runs whole, on adjacent workers")
	job, err := d.submit(ctx, "routes", "gang", model.Shape{Tasks: 2, Each: 8}, true, 500)
	if err != nil {
		return err
	}
	_, err = d.finish(ctx, job)
	return err
}

func (d *demo) once(ctx context.Context) error {
	d.say("-- a cutting path runs once, however often its caller asks")
	shape := model.Shape{Tasks: 1, Each: 1}
	first, err := d.submit(ctx, "proofs", "cutting-path", shape, false, 300)
	if err != nil {
		return err
	}
	again, err := d.submit(ctx, "proofs", "cutting-path", shape, false, 300)
	if err != nil {
		return err
	}
	if first.ID != again.ID {
		return errors.New("the same key made two jobs")
	}
	d.say("the same key led to the same job")
	_, err = d.finish(ctx, first)
	return err
}

func (d *demo) reclaim(ctx context.Context) error {
	d.say("-- routes fills the pool; proofs takes its guaranteed share back")
	var fill []model.Job
	for i := range demoWorkers / 2 {
		job, err := d.submit(ctx, "routes", fmt.Sprintf("fill-%d", i+1), model.Shape{Tasks: 2, Each: 8}, true, 3000)
		if err != nil {
			return err
		}
		fill = append(fill, job)
	}
	job, err := d.submit(ctx, "proofs", "urgent-proof", model.Shape{Tasks: 2, Each: 8}, true, 500)
	if err != nil {
		return err
	}
	done, err := d.finish(ctx, job)
	if err != nil {
		return err
	}
	d.say("%s: %s", done.Mode, lastStart(done))
	for _, j := range fill {
		if _, err := d.finish(ctx, j); err != nil {
			return err
		}
	}
	return nil
}

func lastStart(j model.Job) string {
	reason := ""
	for _, n := range j.Notes {
		if n.State == model.Starting {
			reason = n.Reason
		}
	}
	return reason
}

func (d *demo) ownerDies(ctx context.Context) error {
	d.say("-- the owner of the cell dies while jobs run")
	job, err := d.submit(ctx, "proofs", "survivor", model.Shape{Tasks: 2, Each: 8}, false, 6000)
	if err != nil {
		return err
	}
	time.Sleep(time.Second)
	dead, err := d.owner(ctx)
	if err != nil {
		return err
	}
	died := time.Now()
	d.say("node %s is killed", d.settings[dead].Node)
	d.nodes[dead].Kill()
	d.nodes[dead] = nil
	next, err := d.owner(ctx)
	if err != nil {
		return err
	}
	d.say("node %s took the cell over after %.2f s", d.settings[next].Node, time.Since(died).Seconds())
	fresh, err := d.submit(ctx, "routes", "after", model.Shape{Tasks: 1, Each: 4}, true, 300)
	if err != nil {
		return err
	}
	if _, err := d.finish(ctx, fresh); err != nil {
		return err
	}
	done, err := d.finish(ctx, job)
	if err != nil {
		return err
	}
	if done.EndedMs-done.StartedMs > 9000 {
		return errors.New("the running job did not survive the death of its owner")
	}
	d.say("the job that must run once ran through: adopted, not started again")
	return nil
}

func (d *demo) close() {
	for _, p := range d.nodes {
		if p != nil {
			p.Stop()
		}
	}
	for _, s := range d.servers {
		_ = s.Close()
	}
}
