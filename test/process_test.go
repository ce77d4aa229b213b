package test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"greengageline/internal/cmds"
	"greengageline/internal/config"
	"greengageline/internal/fakes"
	"greengageline/internal/node"
	"greengageline/pkg/client"
	"greengageline/pkg/model"
)

// runAsNodeEnv is the environment variable that makes the test binary run as a node.
const runAsNodeEnv = "GREENGAGELINE_TEST_RUN"

// TestMain runs the product's main function instead of the tests if runAsNodeEnv is set, so that the
// process tests need no other binary.
func TestMain(m *testing.M) {
	if os.Getenv(runAsNodeEnv) != "" {
		os.Exit(cmds.Main(context.Background(), os.Args[1:], os.Stdin, os.Stdout, os.Stderr))
	}
	os.Exit(m.Run())
}

// maxUrgentStart is the stated target: urgent work starts within 8.3 s of its submit.
const maxUrgentStart = 8300 * time.Millisecond

// processCluster consists of real node processes. The platform and the workers are fakes in the test
// process. Proxies relay the traffic from nodes to the platform, to workers and to each other.
type processCluster struct {
	t             testing.TB
	platform      *fakes.Platform
	workers       []*fakes.Worker
	servers       []*fakes.Server
	workerProxies []*proxy
	nodes         []*nodeProcess
	client        *client.Client
}

// nodeProcess is one node process with the proxies in front of its platform and its peer port.
type nodeProcess struct {
	name, listen, peer       string
	platformProxy, peerProxy *proxy
	cmd                      *exec.Cmd
	logPath                  string
	waitOnce                 sync.Once
	waitErr                  error
}

// serveLocally serves h on a free local port until the test ends and returns the server and address.
func serveLocally(t testing.TB, h fakes.Handler) (*fakes.Server, string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := fakes.NewServer(h)
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { _ = s.Close() })
	return s, l.Addr().String()
}

// Ports of a node process, on a loopback address of its own.
const (
	callerPort = 7000
	peerPort   = 7001
)

// reserveIP returns a loopback address that no other test has until the test ends.
func reserveIP(t testing.TB) string {
	t.Helper()
	ip, release, err := fakes.ReserveIP()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(release)
	return ip
}

// newProcessCluster starts nodes and workers, stores baseConfig and waits for an owner. It skips the
// test in -short mode.
func newProcessCluster(t testing.TB, nodes, workers int) *processCluster {
	t.Helper()
	if testing.Short() {
		t.Skip("process tests take seconds of real time")
	}
	c := &processCluster{t: t, platform: &fakes.Platform{}, client: &client.Client{}}
	_, realPlatformAddr := serveLocally(t, c.platform.Handle)
	for i := range workers {
		c.addWorker(i)
	}
	var peers []string
	for i := range nodes {
		ip := reserveIP(t)
		p := &nodeProcess{
			name:   fmt.Sprintf("n%d", i+1),
			listen: fmt.Sprintf("%s:%d", ip, callerPort), peer: fmt.Sprintf("%s:%d", ip, peerPort),
		}
		p.platformProxy, p.peerProxy = newProxy(t, realPlatformAddr), newProxy(t, p.peer)
		p.logPath = filepath.Join(t.TempDir(), p.name+".log")
		peers = append(peers, p.peerProxy.addr())
		c.nodes = append(c.nodes, p)
		c.client.Addrs = append(c.client.Addrs, p.listen)
	}
	for _, p := range c.nodes {
		p.start(t, strings.Join(peers, ","))
	}
	c.configure()
	return c
}

// addWorker adds a fake worker with 8 accelerators behind a proxy. Two consecutive workers share a
// rack.
func (c *processCluster) addWorker(i int) {
	w := &fakes.Worker{CallTime: 2 * time.Millisecond}
	s, addr := serveLocally(c.t, w.Handle)
	p := newProxy(c.t, addr)
	w.VM = model.VM{
		ID: fmt.Sprintf("w%d", i+1), Addr: p.addr(), Zone: "suva",
		Rack: fmt.Sprintf("r%d", i/2), Accelerators: 8,
	}
	c.platform.SetVM(w.VM)
	c.workers, c.servers, c.workerProxies = append(c.workers, w), append(c.servers, s), append(c.workerProxies, p)
}

// start starts the process. At the end of the test the process is killed, and its log is printed if
// the test failed.
func (p *nodeProcess) start(t testing.TB, peers string) {
	t.Helper()
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	log, err := os.Create(p.logPath)
	if err != nil {
		t.Fatal(err)
	}
	p.cmd = exec.Command(self, "serve", "-node", p.name, "-zone", "suva", "-listen", p.listen,
		"-peer_listen", p.peer, "-peer_addr", p.peerProxy.addr(), "-peers", peers, "-platform", p.platformProxy.addr())
	p.cmd.Env = append(os.Environ(), runAsNodeEnv+"=1")
	p.cmd.Stderr = log
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = p.cmd.Process.Signal(syscall.SIGCONT)
		_ = p.cmd.Process.Kill()
		_ = p.wait()
		if t.Failed() {
			data, _ := os.ReadFile(p.logPath)
			t.Logf("log of %s:\n%s", p.name, data)
		}
	})
}

// wait waits until the process has ended and returns its exit error. It may be called repeatedly.
func (p *nodeProcess) wait() error {
	p.waitOnce.Do(func() { p.waitErr = p.cmd.Wait() })
	return p.waitErr
}

func (p *nodeProcess) signal(t testing.TB, s syscall.Signal) {
	t.Helper()
	if err := p.cmd.Process.Signal(s); err != nil {
		t.Fatal(err)
	}
	if s == syscall.SIGSTOP {
		p.awaitStopped(t)
	}
}

// awaitStopped waits until all threads of the process have stopped. The system call that sends SIGSTOP returns before.
func (p *nodeProcess) awaitStopped(t testing.TB) {
	t.Helper()
	for until := time.Now().Add(5 * time.Second); time.Now().Before(until); time.Sleep(time.Millisecond) {
		stats, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", p.cmd.Process.Pid))
		if err != nil {
			t.Fatal(err)
		}
		running := slices.ContainsFunc(stats, func(path string) bool {
			stat, err := os.ReadFile(path)
			// The state follows the name of the thread, which is in parentheses.
			return err == nil && !strings.Contains(string(stat), ") T ")
		})
		if len(stats) > 0 && !running {
			return
		}
	}
	t.Fatalf("process %s has not stopped", p.name)
}

// configure stores baseConfig, retrying for up to 20 s, and waits for an owner.
func (c *processCluster) configure() {
	c.t.Helper()
	change := config.Change{Author: "test", Edits: []config.Edit{{Name: "10-base.toml", Text: baseConfig}}}
	c.await("the configuration to be accepted", 20*time.Second, func() bool {
		return c.client.Do(context.Background(), http.MethodPost, "/v1/config", change, nil) == nil
	})
	c.awaitOwner()
}

// await polls done every 20 ms and fails the test after limit; what names the condition.
func (c *processCluster) await(what string, limit time.Duration, done func() bool) {
	c.t.Helper()
	began := time.Now()
	for !done() {
		if time.Since(began) > limit {
			c.t.Fatalf("waited %s without success for %s", limit, what)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// awaitOwner waits up to 20 s for a node that owns the cell and is ready to make decisions.
func (c *processCluster) awaitOwner() *nodeProcess {
	c.t.Helper()
	var found *nodeProcess
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

// status fetches the node's status, with a time limit of 500 ms.
func (p *nodeProcess) status() (node.Status, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
	defer cancel()
	var s node.Status
	single := client.Client{Addrs: []string{p.listen}}
	err := single.Do(ctx, http.MethodGet, "/v1/status", nil, &s)
	return s, err
}

// clientWithout returns a client of all nodes but the excluded one.
func (c *processCluster) clientWithout(excluded *nodeProcess) *client.Client {
	out := &client.Client{}
	for _, p := range c.nodes {
		if p != excluded {
			out.Addrs = append(out.Addrs, p.listen)
		}
	}
	return out
}

// submit submits a job and fails the test if it is not accepted within 30 s.
func (c *processCluster) submit(via *client.Client, spec model.JobSpec) model.Job {
	c.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	j, err := via.Submit(ctx, spec)
	if err != nil {
		c.t.Fatalf("submit %s: %v", spec.Key, err)
	}
	return j
}

// awaitDone waits up to 60 s for the job to end and fails the test unless it is done with the
// expected answer.
func (c *processCluster) awaitDone(via *client.Client, j model.Job) {
	c.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 60*time.Second)
	defer cancel()
	end, err := via.Wait(ctx, j.ID)
	if err != nil {
		c.t.Fatalf("wait for %s: %v", j.Spec.Key, err)
	}
	if end.State != model.Done {
		c.t.Fatalf("job %s ended in state %s, want done; notes: %+v", j.Spec.Key, end.State, end.Notes)
	}
	data, err := via.Answer(ctx, j.ID)
	if err != nil || string(data) != expectedAnswer(j.Spec) {
		c.t.Fatalf("answer of %s: got %q, error %v", j.Spec.Key, data, err)
	}
}

// startedAttempts returns how many attempts of a job started, by the workers' records, and when the
// first one did.
func (c *processCluster) startedAttempts(id string) (attempts int, first time.Time) {
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

// After the owner is killed, another node must take over, keep the running job and start urgent work
// in time.
func TestOwnerKilledWhileJobsRun(t *testing.T) {
	is := is.New(t)
	c := newProcessCluster(t, 3, 4)
	long := c.submit(c.client, jobSpec("routes", "long", 1, 8, false, 9_000, ""))
	c.await("the long job to start", 10*time.Second, func() bool { n, _ := c.startedAttempts(long.ID); return n == 1 })
	killed := c.awaitOwner()
	killed.signal(t, syscall.SIGKILL)
	_ = killed.wait()
	spec := jobSpec("proofs", "urgent", 2, 8, false, 500, "")
	spec.Urgent = true
	submitted := time.Now()
	urgent := c.submit(c.clientWithout(killed), spec)
	c.awaitDone(c.clientWithout(killed), urgent)
	c.awaitDone(c.clientWithout(killed), long)
	n, first := c.startedAttempts(urgent.ID)
	is.Equal(n, 1)
	is.True(first.Sub(submitted) < maxUrgentStart) // urgent work starts in time although the owner was just killed
	t.Logf("urgent work started %s after its submit, which followed the kill of the owner", first.Sub(submitted).Round(time.Millisecond))
	n, _ = c.startedAttempts(long.ID)
	is.Equal(n, 1) // the new owner took over the running job without a restart
}

// An owner that is stopped beyond its lease resumes while another node owns the cell. It must not
// start work again that the new owner has started.
func TestOwnerFrozenPastItsLease(t *testing.T) {
	is := is.New(t)
	c := newProcessCluster(t, 3, 4)
	frozen := c.awaitOwner()
	var jobs []model.Job
	for i := range 6 {
		jobs = append(jobs, c.submit(c.client, jobSpec("routes", fmt.Sprintf("early%d", i), 1, 4, false, 1_500, "")))
	}
	frozen.signal(t, syscall.SIGSTOP)
	for i := range 6 {
		jobs = append(jobs, c.submit(c.clientWithout(frozen), jobSpec("routes", fmt.Sprintf("late%d", i), 1, 4, false, 300, "")))
	}
	time.Sleep(2 * time.Second)
	frozen.signal(t, syscall.SIGCONT)
	for _, j := range jobs {
		c.awaitDone(c.client, j)
		n, _ := c.startedAttempts(j.ID)
		is.Equal(n, 1) // no job ran twice
	}
	c.await("the old owner to report a newer epoch", 10*time.Second, func() bool {
		s, err := frozen.status()
		return err == nil && s.Cells[0].Epoch > 1
	})
}

// On SIGTERM the owner hands its cell over within 5 s, finishes the request in progress and exits with
// code 0. The running job continues.
func TestSIGTERMHandsOverGracefully(t *testing.T) {
	is := is.New(t)
	c := newProcessCluster(t, 3, 4)
	old := c.awaitOwner()
	j := c.submit(c.client, jobSpec("routes", "over-the-stop", 1, 8, false, 4_000, ""))
	c.await("the job to start", 10*time.Second, func() bool { n, _ := c.startedAttempts(j.ID); return n == 1 })
	answered := make(chan error, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
		defer cancel()
		single := client.Client{Addrs: []string{old.listen}}
		answered <- single.Do(ctx, http.MethodGet, "/v1/jobs/"+j.ID+"?wait=10s", nil, nil)
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
	is.NoErr(<-answered) // the request in progress got its complete reply
	is.NoErr(old.wait()) // the process exited by itself, with code 0
	c.awaitDone(c.clientWithout(old), j)
	n, _ := c.startedAttempts(j.ID)
	is.Equal(n, 1)
}

// All open connections stop delivering data without being closed, as after a silent network failure.
// Nodes must replace them and complete old and new jobs.
func TestJobsCompleteWhenOpenConnectionsStall(t *testing.T) {
	c := newProcessCluster(t, 3, 4)
	running := c.submit(c.client, jobSpec("routes", "through", 2, 8, true, 3_000, ""))
	time.Sleep(time.Second)
	for _, p := range c.nodes {
		p.platformProxy.stallOpenConns()
		p.peerProxy.stallOpenConns()
	}
	for _, p := range c.workerProxies {
		p.stallOpenConns()
	}
	began := time.Now()
	fresh := c.submit(c.client, jobSpec("proofs", "fresh", 1, 4, false, 200, ""))
	c.awaitDone(c.client, fresh)
	c.awaitDone(c.client, running)
	t.Logf("a new job was done %s after all open connections stalled", time.Since(began).Round(time.Millisecond))
}

// A table outage longer than the run lease must not end or restart a running job.
func TestRunningJobSurvivesTableOutage(t *testing.T) {
	is := is.New(t)
	c := newProcessCluster(t, 3, 4)
	j := c.submit(c.client, jobSpec("routes", "over-the-outage", 1, 8, false, 6_000, ""))
	c.await("the job to start", 10*time.Second, func() bool { n, _ := c.startedAttempts(j.ID); return n == 1 })
	c.platform.SetFault(fakes.Fault{Down: true})
	time.Sleep(18 * time.Second) // longer than a run lease (15 s)
	c.platform.SetFault(fakes.Fault{})
	c.awaitDone(c.client, j)
	n, _ := c.startedAttempts(j.ID)
	is.Equal(n, 1)
}

// The platform applies every third transaction without replying. The retries must not run a job
// twice.
func TestJobsRunOnceWhenPlatformRepliesAreLost(t *testing.T) {
	is := is.New(t)
	c := newProcessCluster(t, 3, 4)
	c.platform.SetFault(fakes.Fault{LoseEvery: 3})
	var jobs []model.Job
	for i := range 20 {
		jobs = append(jobs, c.submit(c.client, jobSpec("routes", fmt.Sprintf("j%d", i), 1, 1, false, 100, "")))
	}
	for _, j := range jobs {
		c.awaitDone(c.client, j)
		n, _ := c.startedAttempts(j.ID)
		is.Equal(n, 1)
	}
}
