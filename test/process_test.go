package test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"greengageline/internal/cmds"
	"greengageline/internal/config"
	"greengageline/internal/node"
	"greengageline/internal/stand"
	"greengageline/pkg/client"
	"greengageline/pkg/model"
)

const runAsNode = "GREENGAGELINE_TEST_RUN"

// TestMain lets the test binary stand in for the product's own.
func TestMain(m *testing.M) {
	if os.Getenv(runAsNode) != "" {
		os.Exit(cmds.Main(context.Background(), os.Args[1:], os.Stdin, os.Stdout, os.Stderr))
	}
	os.Exit(m.Run())
}

// urgentBound is the letter's: urgent work starts within 8.3 s.
const urgentBound = 8300 * time.Millisecond

// cluster is real node processes behind proxies, with stand-ins in the test.
type cluster struct {
	t        testing.TB
	platform *stand.Platform
	workers  []*stand.Worker
	servers  []*stand.Server
	toWorker []*proxy
	nodes    []*process
	client   *client.Client
}

type process struct {
	name, listen, peer string
	toPlatform, toPeer *proxy
	cmd                *exec.Cmd
	log                string
	once               sync.Once
	err                error
}

func serveOn(t testing.TB, h stand.Handler) (*stand.Server, string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := stand.NewServer(h)
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { _ = s.Close() })
	return s, l.Addr().String()
}

func freeAddr(t testing.TB) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

func newCluster(t testing.TB, nodes, workers int) *cluster {
	t.Helper()
	if testing.Short() {
		t.Skip("process tests take seconds of real time")
	}
	c := &cluster{t: t, platform: &stand.Platform{}, client: &client.Client{}}
	_, platform := serveOn(t, c.platform.Handle)
	for i := range workers {
		c.addWorker(i)
	}
	var peers []string
	for i := range nodes {
		p := &process{name: fmt.Sprintf("n%d", i+1), listen: freeAddr(t), peer: freeAddr(t)}
		p.toPlatform, p.toPeer = newProxy(t, platform), newProxy(t, p.peer)
		p.log = filepath.Join(t.TempDir(), p.name+".log")
		peers = append(peers, p.toPeer.addr())
		c.nodes = append(c.nodes, p)
		c.client.Addrs = append(c.client.Addrs, p.listen)
	}
	for _, p := range c.nodes {
		p.start(t, strings.Join(peers, ","))
	}
	c.configure()
	return c
}

func (c *cluster) addWorker(i int) {
	w := &stand.Worker{CallTime: 2 * time.Millisecond}
	s, addr := serveOn(c.t, w.Handle)
	p := newProxy(c.t, addr)
	w.VM = model.VM{
		ID: fmt.Sprintf("w%d", i+1), Addr: p.addr(), Zone: "suva",
		Rack: fmt.Sprintf("r%d", i/2), Accelerators: 8,
	}
	c.platform.SetVM(w.VM)
	c.workers, c.servers, c.toWorker = append(c.workers, w), append(c.servers, s), append(c.toWorker, p)
}

func (p *process) start(t testing.TB, peers string) {
	t.Helper()
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	log, err := os.Create(p.log)
	if err != nil {
		t.Fatal(err)
	}
	p.cmd = exec.Command(self, "serve", "-node", p.name, "-zone", "suva", "-listen", p.listen,
		"-peer_listen", p.peer, "-peer_addr", p.toPeer.addr(), "-peers", peers, "-platform", p.toPlatform.addr())
	p.cmd.Env = append(os.Environ(), runAsNode+"=1")
	p.cmd.Stderr = log
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = p.cmd.Process.Signal(syscall.SIGCONT)
		_ = p.cmd.Process.Kill()
		_ = p.wait()
		if t.Failed() {
			data, _ := os.ReadFile(p.log)
			t.Logf("log of %s:\n%s", p.name, data)
		}
	})
}

func (p *process) wait() error {
	p.once.Do(func() { p.err = p.cmd.Wait() })
	return p.err
}

func (p *process) signal(t testing.TB, s syscall.Signal) {
	t.Helper()
	if err := p.cmd.Process.Signal(s); err != nil {
		t.Fatal(err)
	}
}

func (c *cluster) configure() {
	c.t.Helper()
	change := config.Change{Author: "test", Edits: []config.Edit{{Name: "10-base.toml", Text: baseConfig}}}
	c.await("the configuration", 20*time.Second, func() bool {
		return c.client.Do(context.Background(), http.MethodPost, "/v1/config", change, nil) == nil
	})
	c.owner()
}

func (c *cluster) await(what string, limit time.Duration, ok func() bool) {
	c.t.Helper()
	began := time.Now()
	for !ok() {
		if time.Since(began) > limit {
			c.t.Fatalf("waited %s in vain for %s", limit, what)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// owner waits for a node that owns the cell and decides.
func (c *cluster) owner() *process {
	c.t.Helper()
	var found *process
	c.await("an owner", 20*time.Second, func() bool {
		for _, p := range c.nodes {
			if s, err := p.status(); err == nil && len(s.Cells) > 0 && s.Cells[0].Ready {
				found = p
				return true
			}
		}
		return false
	})
	return found
}

func (p *process) status() (node.Status, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
	defer cancel()
	var s node.Status
	one := client.Client{Addrs: []string{p.listen}}
	err := one.Do(ctx, http.MethodGet, "/v1/status", nil, &s)
	return s, err
}

// others is a client of all nodes but one.
func (c *cluster) others(not *process) *client.Client {
	out := &client.Client{}
	for _, p := range c.nodes {
		if p != not {
			out.Addrs = append(out.Addrs, p.listen)
		}
	}
	return out
}

func (c *cluster) submit(with *client.Client, spec model.JobSpec) model.Job {
	c.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	j, err := with.Submit(ctx, spec)
	if err != nil {
		c.t.Fatalf("submit %s: %v", spec.Key, err)
	}
	return j
}

func (c *cluster) done(with *client.Client, j model.Job) {
	c.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 60*time.Second)
	defer cancel()
	end, err := with.Wait(ctx, j.ID)
	if err != nil {
		c.t.Fatalf("wait for %s: %v", j.Spec.Key, err)
	}
	if end.State != model.Done {
		c.t.Fatalf("%s ended as %s: %+v", j.Spec.Key, end.State, end.Notes)
	}
	data, err := with.Answer(ctx, j.ID)
	if err != nil || string(data) != want(j.Spec) {
		c.t.Fatalf("answer of %s: %q, %v", j.Spec.Key, data, err)
	}
}

// runs counts the attempts of a job that really started, and when the first did.
func (c *cluster) runs(id string) (attempts int, first time.Time) {
	seen := map[int]bool{}
	for _, w := range c.workers {
		for _, r := range w.Record() {
			if r.Job != id {
				continue
			}
			seen[r.Attempt] = true
			if at := time.UnixMilli(r.StartMs); first.IsZero() || at.Before(first) {
				first = at
			}
		}
	}
	return len(seen), first
}

func TestOwnerKilledWhileJobsRun(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 3, 4)
	long := c.submit(c.client, job("routes", "long", 1, 8, false, 9_000, ""))
	c.await("the long job", 10*time.Second, func() bool { n, _ := c.runs(long.ID); return n == 1 })
	dead := c.owner()
	dead.signal(t, syscall.SIGKILL)
	_ = dead.wait()
	spec := job("proofs", "urgent", 2, 8, false, 500, "")
	spec.Urgent = true
	asked := time.Now()
	urgent := c.submit(c.others(dead), spec)
	c.done(c.others(dead), urgent)
	c.done(c.others(dead), long)
	n, first := c.runs(urgent.ID)
	is.Equal(n, 1)
	is.True(first.Sub(asked) < urgentBound) // urgent work starts in time although the owner has just died
	t.Logf("urgent work started %s after an owner's death", first.Sub(asked).Round(time.Millisecond))
	n, _ = c.runs(long.ID)
	is.Equal(n, 1) // the running job was adopted
}

func TestOwnerFrozenPastItsLease(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 3, 4)
	frozen := c.owner()
	var jobs []model.Job
	for i := range 6 {
		jobs = append(jobs, c.submit(c.client, job("routes", fmt.Sprintf("early%d", i), 1, 4, false, 1_500, "")))
	}
	frozen.signal(t, syscall.SIGSTOP)
	for i := range 6 {
		jobs = append(jobs, c.submit(c.others(frozen), job("routes", fmt.Sprintf("late%d", i), 1, 4, false, 300, "")))
	}
	time.Sleep(2 * time.Second)
	frozen.signal(t, syscall.SIGCONT)
	for _, j := range jobs {
		c.done(c.client, j)
		n, _ := c.runs(j.ID)
		is.Equal(n, 1) // nothing ran twice
	}
	c.await("the old owner to step back", 10*time.Second, func() bool {
		s, err := frozen.status()
		return err == nil && s.Cells[0].Epoch > 1
	})
}

func TestTermIsGraceful(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 3, 4)
	old := c.owner()
	j := c.submit(c.client, job("routes", "over-the-stop", 1, 8, false, 4_000, ""))
	c.await("the job", 10*time.Second, func() bool { n, _ := c.runs(j.ID); return n == 1 })
	answered := make(chan error, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
		defer cancel()
		one := client.Client{Addrs: []string{old.listen}}
		answered <- one.Do(ctx, http.MethodGet, "/v1/jobs/"+j.ID+"?wait=10s", nil, nil)
	}()
	time.Sleep(300 * time.Millisecond)
	old.signal(t, syscall.SIGTERM)
	began := time.Now()
	c.await("another owner", 5*time.Second, func() bool {
		for _, p := range c.nodes {
			if s, err := p.status(); p != old && err == nil && s.Cells[0].Ready {
				return true
			}
		}
		return false
	})
	t.Logf("another node owned the cell %s after SIGTERM", time.Since(began).Round(time.Millisecond))
	is.NoErr(<-answered) // the request in progress got its whole answer
	is.NoErr(old.wait()) // the process ended by itself, with exit code 0
	c.done(c.others(old), j)
	n, _ := c.runs(j.ID)
	is.Equal(n, 1)
}

func TestOpenConnectionsGoSilent(t *testing.T) {
	c := newCluster(t, 3, 4)
	running := c.submit(c.client, job("routes", "through", 2, 8, true, 3_000, ""))
	time.Sleep(time.Second)
	for _, p := range c.nodes {
		p.toPlatform.silenceOpen()
		p.toPeer.silenceOpen()
	}
	for _, p := range c.toWorker {
		p.silenceOpen()
	}
	began := time.Now()
	fresh := c.submit(c.client, job("proofs", "fresh", 1, 4, false, 200, ""))
	c.done(c.client, fresh)
	c.done(c.client, running)
	t.Logf("a new job was done %s after all open connections went silent", time.Since(began).Round(time.Millisecond))
}

func TestTableOutageLeavesRunningWorkAlone(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 3, 4)
	j := c.submit(c.client, job("routes", "over-the-outage", 1, 8, false, 6_000, ""))
	c.await("the job", 10*time.Second, func() bool { n, _ := c.runs(j.ID); return n == 1 })
	c.platform.SetFault(stand.Fault{Down: true})
	time.Sleep(18 * time.Second) // longer than a run lease
	c.platform.SetFault(stand.Fault{})
	c.done(c.client, j)
	n, _ := c.runs(j.ID)
	is.Equal(n, 1)
}

func TestAnswersOfThePlatformAreLost(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 3, 4)
	c.platform.SetFault(stand.Fault{LoseEvery: 3})
	var jobs []model.Job
	for i := range 20 {
		jobs = append(jobs, c.submit(c.client, job("routes", fmt.Sprintf("j%d", i), 1, 1, false, 100, "")))
	}
	for _, j := range jobs {
		c.done(c.client, j)
		n, _ := c.runs(j.ID)
		is.Equal(n, 1)
	}
}
