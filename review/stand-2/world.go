package main

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	service = "svc"
	host    = "desk.example"
	apiKey  = "d4a3hwrr6x73d3zji9n7"
)

// errSetup means that the case could not run.
var errSetup = errors.New("the case could not run")

// world is a small deployment: the store in this process, nodes and workers as processes, and what is written of them.
type world struct {
	store     *store
	storeAddr string
	cloud     *cloud
	dir       string
	bin, self string
	began     time.Time

	mu     sync.Mutex
	record *os.File
	// runs is guarded by mu. It has what runs now, by work unit and worker: the number of the run.
	runs map[string]map[string]int64
	// starts and fails count the starts and the ends as failed of each work unit.
	starts, fails map[string]int
	nodes         []*process
	workers       []*process
	// statusS is status_s of the settings; empty means 120.
	statusS string
	// The fields below are guarded by mu. ended has the ends as done that are not acknowledged, by worker, and done the
	// runs whose end is, by work unit. again has the starts after such an end.
	ended map[string][]doneEnd
	done  map[string]int64
	again []string
}

// doneEnd is the end of a run as done, with the number that its worker gave it.
type doneEnd struct {
	n, run int64
	task   string
}

// process is a node or a worker.
type process struct {
	name, addr string
	args       []string
	cmd        *exec.Cmd
	done       chan struct{}
	node       bool
	log        *os.File
}

func newWorld(recordPath string) (*world, error) {
	dir, err := os.MkdirTemp("", "case")
	if err != nil {
		return nil, err
	}
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	record, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	w := &world{
		store: newStore(), dir: dir, self: self, bin: filepath.Join(filepath.Dir(self), "greengageline"), began: time.Now(), record: record,
		runs: map[string]map[string]int64{}, starts: map[string]int{}, fails: map[string]int{}, ended: map[string][]doneEnd{}, done: map[string]int64{},
	}
	if w.storeAddr, err = serve(w.store); err != nil {
		return nil, err
	}
	w.cloud = &cloud{w: w, machines: map[string]*machine{}}
	return w, nil
}

// serve serves h on a free loopback port and returns its address.
func serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() { _ = http.Serve(l, h) }()
	return l.Addr().String(), nil
}

// freeIP returns a loopback address for one process, so that no other process takes its ports.
func freeIP() string {
	return fmt.Sprintf("127.%d.%d.%d", 1+rand.IntN(254), rand.IntN(256), 1+rand.IntN(254))
}

// freeAddr returns a port that is free now at an address.
func freeAddr(ip string) (string, error) {
	l, err := net.Listen("tcp4", ip+":0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// say writes a line of the record.
func (w *world) say(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%7.3f %s\n", time.Since(w.began).Seconds(), fmt.Sprintf(format, args...))
}

// settings of a node, with the bounds of a small deployment.
const settings = `nodeName: "%s"
role: "edge"
machineClass: "edge"
serves: ["edge", "control_plane"]
ip: "%s"
zone: "z1"
region: "geo"
zones: {z1: "geo"}
listen: {front: "%s", ready: "%s", control: "127.0.0.1:1"}
portRange: [%s, %s]
seeds: []
bootstrap: true
limits: {cpuShare: 0.4, cores: 1, memoryMb: 284, maxFds: 4100, linkMbps: 1000.0, diskMb: 0}
discovery: "platform"
heartbeatMs: 1500
bounds: {seedLagS: 3, addrReuseS: 2, contactMs: 3000, ackMs: 4000, catchUpS: 4, drainMs: 2000, graceS: 6, lossSlackMs: 200,
  configApplyMs: 2000, rollbackSlackMs: 250, maxStretchMs: 5000, strictRevoke: true, revokeMs: 5000, recoveryS: 12, maxHoldMs: 6000,
  killGraceMs: 400, gangTimeoutMs: 3000, cancel_ms: 3000, visible_ms: 3000, early_ms: 250, finish_s: 14, status_s: %s, spreadFactor: 3,
  checkpointS: 2, restoreMs: 600, noticeMs: 4500, moveS: 1.5, maintenanceS: 2, requireFencing: false, leaseMs: 3000, freezeSlackMs: 300,
  paceMs: 100, harmMs: 4000, reclaimMs: 2900}
orders: "invocation"
platform: {address: "%s", form: "table", writesPerS: 800, readsPerS: 2000, txMs: 8.0, partWritesS: 150, rowBytes: 65536, across: false,
  retentionS: 20, blobBytes: 8388608, blobMs: 25.0, blobMbS: 80.0}
cloud: {address: "%s", ratePerS: 60.0, dutyPerS: 60.0}
`

// addNode starts a node.
func (w *world) addNode(name string) error {
	ip := freeIP()
	var addrs [3]string
	for i := range addrs {
		var err error
		if addrs[i], err = freeAddr(ip); err != nil {
			return err
		}
	}
	_, port, _ := net.SplitHostPort(addrs[2])
	path := filepath.Join(w.dir, name+".yaml")
	text := fmt.Sprintf(settings, name, ip, addrs[0], addrs[1], port, port, cmp.Or(w.statusS, "120"), w.storeAddr, w.cloud.addr)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return err
	}
	p := &process{name: name, addr: addrs[0], args: []string{w.bin, "edge", "-settings", path}, node: true}
	w.nodes = append(w.nodes, p)
	return w.start(p)
}

// addWorker starts a worker.
func (w *world) addWorker(id, kind, rack string) (*process, error) {
	addr, err := freeAddr(freeIP())
	if err != nil {
		return nil, err
	}
	p := &process{name: id, addr: addr, args: []string{
		w.self, "worker", "-id", id, "-addr", addr, "-store", w.storeAddr, "-service", service, "-kind", kind, "-rack", rack,
	}}
	w.workers = append(w.workers, p)
	return p, w.start(p)
}

// start starts a process.
func (w *world) start(p *process) error {
	p.cmd = exec.Command(p.args[0], p.args[1:]...)
	p.cmd.Stderr = os.Stderr
	out, err := p.cmd.StdoutPipe()
	if err != nil {
		return err
	}
	if err := p.cmd.Start(); err != nil {
		return err
	}
	p.done = make(chan struct{})
	go w.follow(p, p.cmd, out, p.done)
	return nil
}

// follow reads what a process writes until it ends.
func (w *world) follow(p *process, cmd *exec.Cmd, out io.Reader, done chan struct{}) {
	defer close(done)
	lines := bufio.NewScanner(out)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		if p.node {
			w.sayOfNode(lines.Text())
			continue
		}
		w.say("%s", lines.Text())
		w.noteRun(p.name, lines.Text())
	}
	_ = cmd.Wait()
}

// nodeEvents are the events of nodes that the record keeps.
var nodeEvents = []string{
	"lead-taken", "lead-lost", "task-lost", "work-ended", "upkeep-ordered", "wave-told", "wave-asked", "worker-gone", "work-waiting", "row-corrupt",
}

// sayOfNode records the events of a node that help to read the record; no check uses them.
func (w *world) sayOfNode(line string) {
	for _, e := range nodeEvents {
		if strings.Contains(line, `"name":"`+e+`"`) {
			w.say("node: %s", line)
			return
		}
	}
}

// noteRun keeps account of what runs, by a line of a worker.
func (w *world) noteRun(id, line string) {
	var task, how string
	var run, n int64
	line = strings.TrimPrefix(line, "worker "+id+": ")
	w.mu.Lock()
	defer w.mu.Unlock()
	if got, _ := fmt.Sscanf(line, "ends up to %d are", &n); got == 1 {
		for _, e := range w.ended[id] {
			if e.n <= n {
				w.done[e.task] = e.run
			}
		}
		w.ended[id] = slices.DeleteFunc(w.ended[id], func(e doneEnd) bool { return e.n <= n })
		return
	}
	switch got, _ := fmt.Sscanf(line, "%s run %d %s", &task, &run, &how); {
	case got == 3 && how == "begins":
		if w.runs[task] == nil {
			w.runs[task] = map[string]int64{}
		}
		w.runs[task][id] = run
		w.starts[task]++
		if before, ok := w.done[task]; ok {
			w.again = append(w.again, fmt.Sprintf("%s run %d begins on %s, though run %d was done and that is taken note of", task, run, id, before))
		}
	case got == 3 && how == "ended":
		_, after, _ := strings.Cut(line, "ended ")
		_, _ = fmt.Sscanf(after, "%s as %d", &how, &n)
		delete(w.runs[task], id)
		switch how {
		case "failed":
			w.fails[task]++
		case "done":
			w.ended[id] = append(w.ended[id], doneEnd{n, run, task})
		}
	}
}

// kill kills the process of a node.
func (w *world) kill(p *process) {
	_ = p.cmd.Process.Kill()
	<-p.done
	w.say("node %s killed", p.name)
}

// crash kills a worker's process. What ran there is gone.
func (w *world) crash(p *process) {
	_ = p.cmd.Process.Kill()
	<-p.done
	w.say("worker %s crashed (killed)", p.name)
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, on := range w.runs {
		delete(on, p.name)
	}
}

// running reports whether a work unit runs anywhere, how often it was started, and how often it failed.
func (w *world) running(task string) (on bool, starts, fails int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.runs[task]) > 0, w.starts[task], w.fails[task]
}

// busy returns how many work units run at all.
func (w *world) busy() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for _, on := range w.runs {
		n += len(on)
	}
	return n
}

// close ends all processes that were started.
func (w *world) close() {
	for _, p := range append(append([]*process{}, w.nodes...), w.workers...) {
		if p.cmd != nil && p.cmd.Process != nil {
			_ = p.cmd.Process.Signal(syscall.SIGKILL)
			<-p.done
		}
	}
	_ = os.RemoveAll(w.dir)
	_ = w.record.Close()
}

// route is a queue of the desired state.
func route(name string, priority, attempts int) map[string]any {
	return map[string]any{
		"name": name, "host": host, "pathPrefix": "/" + name + "/", "kind": "non_idempotent", "timeoutMs": 3000, "sloMs": 1000,
		"priority": priority, "service": service, "attempts": attempts, "stretch": 3.0, "anonymous": false,
	}
}

// configure writes the desired state.
func (w *world) configure(routes ...map[string]any) {
	w.store.put("op", "config", map[string]any{
		"version": 1, "routes": routes,
		"services": []any{map[string]any{
			"name": service, "healthPath": "/health", "maxConns": 64, "protocol": "h1", "tls": false, "enforcesCapacity": true, "spare": false,
		}},
		"limits":  map[string]int{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{map[string]any{"name": "kaje80", "apiKeys": []string{apiKey}, "priority": 1, "guaranteed": map[string]int{"gpu": 0}}},
	})
}

// call makes one call of a client at a node; status 0 means that there was no answer.
func (w *world) call(n int, method, path string, body any) (status int, out map[string]any) {
	var data []byte
	if body != nil {
		data, _ = json.Marshal(body)
	}
	p := w.nodes[n%len(w.nodes)]
	req, err := http.NewRequest(method, "http://"+p.addr+path, bytes.NewReader(data))
	if err != nil {
		return 0, nil
	}
	req.Host = host
	req.Header.Set("X-Api-Key", apiKey)
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Greengageline-Deadline-Ms", "3000")
	resp, err := (&http.Client{Timeout: 3 * time.Second}).Do(req)
	if err != nil {
		w.say("client: %s %s at %s: %v", method, path, p.name, err)
		return 0, nil
	}
	defer resp.Body.Close()
	_ = json.NewDecoder(resp.Body).Decode(&out)
	w.say("client: %s %s at %s: %d %v", method, path, p.name, resp.StatusCode, out)
	return resp.StatusCode, out
}

// post sends a body as it is; status 0 means that there was no answer.
func (w *world) post(n int, path string, body []byte) (status int) {
	p := w.nodes[n%len(w.nodes)]
	req, err := http.NewRequest(http.MethodPost, "http://"+p.addr+path, bytes.NewReader(body))
	if err != nil {
		return 0
	}
	req.Host = host
	req.Header.Set("X-Api-Key", apiKey)
	req.Header.Set("Content-Type", "application/json")
	resp, err := (&http.Client{Timeout: 3 * time.Second}).Do(req)
	if err != nil {
		w.say("client: POST %s at %s: %v", path, p.name, err)
		return 0
	}
	defer resp.Body.Close()
	w.say("client: POST %s at %s: %d", path, p.name, resp.StatusCode)
	return resp.StatusCode
}

// submit hands a job in until it is accepted, at one node after another.
func (w *world) submit(queue, id string, job map[string]any) error {
	for try := range 20 {
		if status, _ := w.call(try, http.MethodPost, "/"+queue+"/"+id, job); status/100 == 2 {
			return nil
		}
		time.Sleep(300 * time.Millisecond)
	}
	return fmt.Errorf("%w: job %s was not accepted", errSetup, id)
}

// state asks for a job's state, at one node after another.
func (w *world) state(queue, id string) string {
	for try := range 6 {
		status, out := w.call(try, http.MethodGet, "/"+queue+"/"+id, nil)
		if status == http.StatusOK {
			s, _ := out["state"].(string)
			return s
		}
		if status == http.StatusGone {
			return "gone"
		}
		time.Sleep(300 * time.Millisecond)
	}
	return "unknown"
}

// waitState waits until a job has a state, and reports whether it has.
func (w *world) waitState(queue, id, want string, limit time.Duration) bool {
	for until := time.Now().Add(limit); time.Now().Before(until); time.Sleep(500 * time.Millisecond) {
		if w.state(queue, id) == want {
			return true
		}
	}
	return false
}

// phase is a step of a job.
func phase(count, gpu int, more map[string]any) map[string]any {
	out := map[string]any{"count": count, "cpu": 1000, "memMb": 1024, "gpu": gpu, "estimateMs": 2000}
	for k, v := range more {
		out[k] = v
	}
	return out
}

func job(spec string, phases ...map[string]any) map[string]any {
	return map[string]any{"spec": spec, "phases": phases}
}

// begin starts three nodes and a number of workers of kind a, on racks of six, and waits until the nodes serve.
func (w *world) begin(workers int, routes ...map[string]any) error {
	w.configure(routes...)
	for i := range workers {
		if _, err := w.addWorker(fmt.Sprintf("i-a%02d", i), "a", fmt.Sprintf("r1-%d", i/6)); err != nil {
			return err
		}
	}
	for i := range 3 {
		if err := w.addNode(fmt.Sprintf("edge-%d", i+1)); err != nil {
			return err
		}
	}
	time.Sleep(5 * time.Second)
	return nil
}
