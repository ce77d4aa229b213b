package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

const (
	poolName  = "urndesk"
	zoneName  = "suva"
	queueHost = "desk.example"
	apiKey    = "key-one"
)

// minPort and maxPort bound the ports in use. They lie below those that the kernel gives to outgoing connections,
// so that a process can listen again on the port that it had.
const (
	minPort = 20000
	maxPort = 31999
)

// givenPorts has the ports that listen has given out. A node may not listen yet on one that it was given.
var givenPorts = map[int]bool{}

// listen returns a listener on a free loopback port, each time another one.
func listen() net.Listener {
	for range 1000 {
		port := minPort + rand.IntN(maxPort-minPort+1)
		if givenPorts[port] {
			continue
		}
		givenPorts[port] = true
		if l, err := net.Listen("tcp4", fmt.Sprintf("127.0.0.1:%d", port)); err == nil {
			return l
		}
	}
	panic("no free port")
}

func freeAddr() string {
	l := listen()
	defer l.Close()
	return l.Addr().String()
}

// edge is one node: a process of the program.
type edge struct {
	name, front, ready, peer string
	settings, bin            string
	cpuShare                 float64
	st                       *store
	cmd                      *exec.Cmd
	log                      *os.File
}

const settingsText = `nodeName: %q
role: "edge"
machineClass: "edge"
serves:
  - "edge"
ip: "127.0.0.1"
zone: "suva"
region: "viti"
zones:
  suva: "viti"
listen:
  front: %q
  ready: %q
portRange:
  - %s
  - %s
seeds: []
bootstrap: true
limits:
  cpuShare: %g
  cores: 1
  memoryMb: 284
  maxFds: 4100
  linkMbps: 1000.0
  diskMb: 0
dataDir: null
discovery: "platform"
entry: "vip"
heartbeatMs: 1500
bounds:
  contactMs: 3000
  ackMs: 4000
  drainMs: 2000
  graceS: 6
  configApplyMs: 2000
  strictRevoke: true
  revokeMs: 5000
  maxHoldMs: 6000
  killGraceMs: 400
  gangTimeoutMs: 3000
  cancel_ms: 3000
  visible_ms: 3000
  early_ms: 250
  finish_s: 14
  status_s: 120
  spreadFactor: 3
  checkpointS: 2
  restoreMs: 600
  leaseMs: 3000
orders: "invocation"
platform:
  address: %q
  form: "table"
  writesPerS: 800
  readsPerS: 2000
  txMs: 8.0
  partWritesS: 150
  rowBytes: 65536
  across: false
  retentionS: 20
`

func newEdge(dir, bin, name string, cpuShare float64, st *store) (*edge, error) {
	e := &edge{name: name, front: freeAddr(), ready: freeAddr(), peer: freeAddr(), bin: bin, cpuShare: cpuShare, st: st}
	e.settings = filepath.Join(dir, name+".yaml")
	_, port, _ := net.SplitHostPort(e.peer)
	text := fmt.Sprintf(settingsText, name, e.front, e.ready, port, port, cpuShare, st.addr)
	if err := os.WriteFile(e.settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	var err error
	if e.log, err = os.Create(filepath.Join(dir, name+".log")); err != nil {
		return nil, err
	}
	return e, e.start()
}

// start starts the process with the command of the deploy file.
func (e *edge) start() error {
	e.cmd = exec.Command(e.bin, "edge")
	e.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "GREENGAGELINE_BOOT=" + e.settings}
	e.cmd.Stdout, e.cmd.Stderr = e.log, e.log
	e.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	note(e.name, "process starts")
	return e.cmd.Start()
}

func (e *edge) kill() {
	note(e.name, "process is killed")
	_ = e.cmd.Process.Kill()
	_ = e.cmd.Wait()
}

func (e *edge) isReady() bool {
	c := http.Client{Timeout: time.Second}
	resp, err := c.Get("http://" + e.ready + "/v1/readiness")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// queue is a route of the desired state.
type queue struct {
	name, prefix string
	priority     int
	attempts     int
}

func (s *store) putConfig(version int, queues ...queue) {
	var routes []map[string]any
	for _, q := range queues {
		routes = append(routes, map[string]any{
			"name": q.name, "host": queueHost, "pathPrefix": q.prefix, "service": poolName, "timeoutMs": 3000, "sloMs": 60000,
			"priority": q.priority, "attempts": q.attempts, "stretch": 4,
		})
	}
	s.put("op", "config", map[string]any{
		"version": version, "routes": routes, "services": []map[string]any{{"name": poolName, "enforcesCapacity": true}},
		"tenants": []map[string]any{{"name": "one", "apiKeys": []string{apiKey}, "guaranteed": map[string]int{"gpu": 8}}},
		"limits":  map[string]int{"maxBodyBytes": 262144},
	})
}

// phase is a step of a job as clients send it, with the duration of its work units.
type phase struct {
	Count         int   `json:"count"`
	CPU           int   `json:"cpu"`
	MemMb         int   `json:"memMb,omitempty"`
	GPU           int   `json:"gpu,omitempty"`
	EstimateMs    int64 `json:"estimateMs"`
	After         []int `json:"after,omitempty"`
	SavesProgress bool  `json:"savesProgress,omitempty"`
}

type job struct {
	Spec   string  `json:"spec"`
	Phases []phase `json:"phases"`
}

// request sends one call of a client and returns the status, 0 if there was no answer.
func request(e *edge, method, path string, body any) (int, map[string]any) {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	var data []byte
	if body != nil {
		data, _ = json.Marshal(body)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+e.front+path, bytes.NewReader(data))
	if err != nil {
		return 0, nil
	}
	req.Host = queueHost
	req.Header.Set("X-Api-Key", apiKey)
	req.Header.Set("X-Greengageline-Deadline-Ms", "3000")
	req.Header.Set("Content-Type", "application/json")
	sent := time.Now()
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		note("client", "%s %s at %s sent at %.3f: no answer (%v)", method, path, e.name, at(sent), err)
		return 0, nil
	}
	defer resp.Body.Close()
	raw, _ := io.ReadAll(resp.Body)
	note("client", "%s %s at %s sent at %.3f: %d %s", method, path, e.name, at(sent), resp.StatusCode, strings.TrimSpace(string(raw)))
	out := map[string]any{}
	_ = json.Unmarshal(raw, &out)
	return resp.StatusCode, out
}

// submit hands a job in until it is accepted, like a client with retries, and reports whether it was. takes has
// the durations of the work units by step.
func submit(nodes []*edge, prefix, id string, j job, takes ...time.Duration) bool {
	for i, p := range j.Phases {
		kinds.Store(fmt.Sprintf("%s.%d", id, i), taskKind{need: room{p.CPU, p.MemMb, p.GPU}, takes: takes[i], saves: p.SavesProgress})
	}
	return handIn(nodes, prefix, id, j)
}

// handIn hands in a job whose work units are known in kinds.
func handIn(nodes []*edge, prefix, id string, j job) bool {
	for try := range 5 {
		if status, _ := request(nodes[try%len(nodes)], http.MethodPost, prefix+id, j); status == http.StatusOK {
			return true
		}
		time.Sleep(300 * time.Millisecond)
	}
	return false
}

// stateOf asks a node for a job's state; "" if there was no answer.
func stateOf(e *edge, prefix, id string) string {
	status, out := request(e, http.MethodGet, prefix+id, nil)
	if status != http.StatusOK {
		return ""
	}
	s, _ := out["state"].(string)
	return s
}

// awaitState waits until a job is shown in a state.
func awaitState(nodes []*edge, prefix, id, want string, limit time.Duration) bool {
	until := time.Now().Add(limit)
	for i := 0; time.Now().Before(until); i++ {
		if stateOf(nodes[i%len(nodes)], prefix, id) == want {
			return true
		}
		time.Sleep(200 * time.Millisecond)
	}
	return false
}

// awaitTrue waits until ok holds.
func awaitTrue(limit time.Duration, ok func() bool) bool {
	until := time.Now().Add(limit)
	for time.Now().Before(until) {
		if ok() {
			return true
		}
		time.Sleep(2 * time.Millisecond)
	}
	return false
}
