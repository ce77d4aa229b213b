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
	"greengageline/internal/fakes"
	"greengageline/internal/setup"
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
	demoTimeout = 55 * time.Second
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
			ctx, cancel := context.WithTimeout(ctx, demoTimeout)
			defer cancel()
			d := &demo{app: a, startedAt: time.Now(), log: io.Discard}
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

// demo runs a platform stand-in, worker stand-ins and nodes in one process. settings and
// nodes have the same order; the entry in nodes of a killed node is nil.
type demo struct {
	*app
	startedAt time.Time
	log       io.Writer
	platform  fakes.Platform
	servers   []*fakes.Server
	nodes     []*boot.Process
	settings  []setup.Settings
	client    client.Client
}

func (d *demo) printf(format string, args ...any) {
	fmt.Fprintf(d.out, "%6.2fs  %s\n", time.Since(d.startedAt).Seconds(), fmt.Sprintf(format, args...))
}

func (d *demo) run(ctx context.Context) error {
	if err := d.start(ctx); err != nil {
		return err
	}
	for _, step := range []func(context.Context) error{d.runGang, d.runOnceJob, d.reclaimGuarantee, d.failOverOwner} {
		if err := step(ctx); err != nil {
			return err
		}
	}
	d.printf("all of it went as promised")
	return nil
}

// listenLoopback listens on a free loopback port.
func listenLoopback() (net.Listener, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	return l, nil
}

// startStandIn serves h on a loopback port until close and returns its address.
func (d *demo) startStandIn(h fakes.Handler) (string, error) {
	l, err := listenLoopback()
	if err != nil {
		return "", err
	}
	s := fakes.NewServer(h)
	d.servers = append(d.servers, s)
	go func() { _ = s.Serve(l) }()
	return l.Addr().String(), nil
}

func (d *demo) start(ctx context.Context) error {
	platform, err := d.startStandIn(d.platform.Handle)
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
	d.printf("a platform, %d nodes and %d workers of 8 accelerators run on loopback", demoNodes, demoWorkers)
	return d.pushConfig(ctx)
}

func (d *demo) addWorker(i int) error {
	w := &fakes.Worker{}
	addr, err := d.startStandIn(w.Handle)
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
			l, err := listenLoopback()
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

func (d *demo) pushConfig(ctx context.Context) error {
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
	d.printf("configuration accepted: workspace proofs is guaranteed 2 gangs of 2x8")
	owner, err := d.waitForOwner(ctx)
	if err != nil {
		return err
	}
	d.printf("node %s owns cell viti", d.nodes[owner].Node.Settings.Node)
	return nil
}

// waitForOwner waits until a node owns the cell and is ready to schedule, and returns
// the node's index.
func (d *demo) waitForOwner(ctx context.Context) (int, error) {
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

func (d *demo) submitJob(ctx context.Context, ws, key string, shape model.Shape, idempotent bool, runMs int64) (model.Job, error) {
	job, err := d.client.Submit(ctx, model.JobSpec{
		Workspace: ws, Key: key, Shape: shape, Idempotent: idempotent, Checkpoint: idempotent,
		EstimateMs: runMs, Payload: fakes.Work{RunMs: runMs, Answer: "answer to " + key}.Encode(),
	})
	if err != nil {
		return job, fmt.Errorf("submit %s: %w", key, err)
	}
	d.printf("%s: job %q of %s, %d tasks of %d, is durable", job.State, key, ws, shape.Tasks, shape.Each)
	return job, nil
}

// waitForAnswer waits for the job to end and checks that it is done and has its own answer.
func (d *demo) waitForAnswer(ctx context.Context, job model.Job) (model.Job, error) {
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
	d.printf("done: %q on %s after %.2f s: %q", key, workerNames(job), float64(job.EndedMs-job.AcceptedMs)/1000, data)
	return job, nil
}

func workerNames(j model.Job) string {
	var names []string
	for _, m := range j.Members {
		names = append(names, m.Worker)
	}
	return strings.Join(names, "+")
}

func (d *demo) runGang(ctx context.Context) error {
	d.printf("-- a gang runs whole, on adjacent workers")
	job, err := d.submitJob(ctx, "routes", "gang", model.Shape{Tasks: 2, Each: 8}, true, 500)
	if err != nil {
		return err
	}
	_, err = d.waitForAnswer(ctx, job)
	return err
}

func (d *demo) runOnceJob(ctx context.Context) error {
	d.printf("-- a cutting path runs once, however often its caller asks")
	shape := model.Shape{Tasks: 1, Each: 1}
	first, err := d.submitJob(ctx, "proofs", "cutting-path", shape, false, 300)
	if err != nil {
		return err
	}
	repeated, err := d.submitJob(ctx, "proofs", "cutting-path", shape, false, 300)
	if err != nil {
		return err
	}
	if first.ID != repeated.ID {
		return errors.New("the same key made two jobs")
	}
	d.printf("the same key led to the same job")
	_, err = d.waitForAnswer(ctx, first)
	return err
}

func (d *demo) reclaimGuarantee(ctx context.Context) error {
	d.printf("-- routes fills the pool; proofs takes its guaranteed share back")
	var borrowingJobs []model.Job
	for i := range demoWorkers / 2 {
		job, err := d.submitJob(ctx, "routes", fmt.Sprintf("fill-%d", i+1), model.Shape{Tasks: 2, Each: 8}, true, 3000)
		if err != nil {
			return err
		}
		borrowingJobs = append(borrowingJobs, job)
	}
	job, err := d.submitJob(ctx, "proofs", "urgent-proof", model.Shape{Tasks: 2, Each: 8}, true, 500)
	if err != nil {
		return err
	}
	done, err := d.waitForAnswer(ctx, job)
	if err != nil {
		return err
	}
	d.printf("%s: %s", done.Mode, lastStartReason(done))
	for _, j := range borrowingJobs {
		if _, err := d.waitForAnswer(ctx, j); err != nil {
			return err
		}
	}
	return nil
}

// lastStartReason returns the engine's reason for the job's last start as its history tells
// it, or "" if the history has no start.
func lastStartReason(j model.Job) string {
	reason := ""
	for _, n := range j.Notes {
		if n.State == model.Starting {
			reason = n.Reason
		}
	}
	return reason
}

// failOverOwner kills the owner of the cell while a non-idempotent job runs. The next
// owner must accept new work and adopt the running job. The job runs for 6 s. If more than
// 9 s pass between its start and its end, it was not adopted.
func (d *demo) failOverOwner(ctx context.Context) error {
	d.printf("-- the owner of the cell dies while jobs run")
	job, err := d.submitJob(ctx, "proofs", "survivor", model.Shape{Tasks: 2, Each: 8}, false, 6000)
	if err != nil {
		return err
	}
	time.Sleep(time.Second)
	killed, err := d.waitForOwner(ctx)
	if err != nil {
		return err
	}
	killedAt := time.Now()
	d.printf("node %s is killed", d.settings[killed].Node)
	d.nodes[killed].Kill()
	d.nodes[killed] = nil
	next, err := d.waitForOwner(ctx)
	if err != nil {
		return err
	}
	d.printf("node %s took the cell over after %.2f s", d.settings[next].Node, time.Since(killedAt).Seconds())
	newJob, err := d.submitJob(ctx, "routes", "after", model.Shape{Tasks: 1, Each: 4}, true, 300)
	if err != nil {
		return err
	}
	if _, err := d.waitForAnswer(ctx, newJob); err != nil {
		return err
	}
	done, err := d.waitForAnswer(ctx, job)
	if err != nil {
		return err
	}
	if done.EndedMs-done.StartedMs > 9000 {
		return errors.New("the running job did not survive the death of its owner")
	}
	d.printf("the job that must run once ran through: adopted, not started again")
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
