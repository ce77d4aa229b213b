package test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"
	"github.com/samber/lo"
	"golang.org/x/sys/unix"

	"greengageline/internal/config"
	"greengageline/internal/fakes"
	"greengageline/internal/peer"
	"greengageline/pkg/model"
)

// Limits of a node by its default settings, MB of memory and descriptors, and the lowered memory of crowds whose requests
// add up.
const (
	crowdMemoryMB = 256
	crowdMaxFds   = 1024
	smallMemoryMB = 96
)

// get returns a request for a path.
func get(path string) []byte { return fmt.Appendf(nil, "GET %s HTTP/1.1\r\nHost: h\r\n\r\n", path) }

// postBody returns a request with an announced body of length bytes, of which body is sent.
func postBody(path string, length int, body string) []byte {
	return fmt.Appendf(nil, "POST %s HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", path, length, body)
}

// largeJob returns a request to submit a job with the largest payload, each with a key of its own.
func largeJob(i, k int) []byte {
	body := lo.Must(json.Marshal(model.JobSpec{
		Workspace: "routes", Key: fmt.Sprintf("k-%d-%d", i, k), Shape: model.Shape{Tasks: 1, Each: 1}, EstimateMs: 1000, Payload: make([]byte, model.MaxPayload),
	}))
	return postBody("/v1/jobs", len(body), string(body))
}

// largeFile returns a change of the configuration that adds a file of the largest size.
func largeFile(i, k int) []byte {
	body := lo.Must(json.Marshal(config.Change{Author: "c", Edits: []config.Edit{{Name: fmt.Sprintf("f-%d-%d.toml", i, k), Text: strings.Repeat("#", 64<<10)}}}))
	return postBody("/v1/config", len(body), string(body))
}

// smallFile is largeFile for a small file.
func smallFile(i, k int) []byte {
	body := lo.Must(json.Marshal(config.Change{Author: "c", Edits: []config.Edit{{Name: fmt.Sprintf("s-%d-%d.toml", i, k), Text: "# small"}}}))
	return postBody("/v1/config", len(body), string(body))
}

// longAddress returns a heartbeat in CBOR of a node at an address of 250 KB, another one each time.
func longAddress(i, k int) []byte {
	addr := fmt.Sprintf("%08x%08x%s", i, k, strings.Repeat("x", 250_000))
	return lo.Must(cbor.Marshal(peer.Beat{Node: "n", Addr: addr}))
}

// waitingRequest is a short request that waits for a minute.
var waitingRequest = func() []byte {
	body := lo.Must(json.Marshal(model.RequestSpec{Workspace: "routes", Idempotent: true, DeadlineMs: 60_000}))
	return postBody("/v1/requests", len(body), string(body))
}()

// longLeaving returns a heartbeat in CBOR that lists 256 leaving workers with names of 1 KB, others each time.
func longLeaving(i, k int) []byte {
	b := peer.Beat{Node: "n", Addr: "127.0.0.1:1"}
	for n := range 256 {
		b.Leaving = append(b.Leaving, fmt.Sprintf("%d-%d-%d-%s", i, k, n, strings.Repeat("x", 1000)))
	}
	return lo.Must(cbor.Marshal(b))
}

// Guards against clients outside the limits that end a node by its memory or take all of its descriptors.
func TestCrowds(t *testing.T) {
	const mega = 1 << 20
	edits := `{"edits":[` + strings.Repeat("{},", 85_000) + `{}]}`
	// A heartbeat in CBOR that lists 131,000 empty cells.
	beat := fmt.Sprintf("\xa1\x65cells\x9a\x00\x01\xff\xb8%s", strings.Repeat("\xa0", 0x1ffb8))
	for name, c := range map[string]struct {
		peer   bool // the crowd comes to the nodes' own port
		crowd  fakes.Crowd
		memory int // MB of the node; 0 means the default
		// job is the payload of a job that is submitted before the crowd comes, and ended means that it ends before. path
		// is what the crowd asks of it, in place of crowd.Send or crowd.Request.
		job   fakes.Work
		ended bool
		path  string
		// callTime is how long the workers take for a short request; 0 means the default.
		callTime time.Duration
		// files is how many files of the largest size are added to the configuration before the crowd comes.
		files int
		// descriptors is how many descriptors the system lets the node have, fewer than its settings say; 0 means no limit.
		descriptors uint64
	}{
		"sent but for the last byte":           {peer: false, crowd: fakes.Crowd{Conns: 300, Send: postBody("/v1/jobs", 2*mega, strings.Repeat("x", 2*mega-1))}},
		"many empty edits":                     {peer: false, crowd: fakes.Crowd{Conns: 300, Send: postBody("/v1/config", len(edits), edits)}},
		"silent connections":                   {peer: false, crowd: fakes.Crowd{Conns: 1400}},
		"nodes' port, unfinished":              {peer: true, crowd: fakes.Crowd{Conns: 6, Method: "/greengageline.Peer/Beat", Message: make([]byte, mega-1), Calls: 100, SendLimit: 90 * mega}},
		"nodes' port, empty cells":             {peer: true, crowd: fakes.Crowd{Conns: 60, Method: "/greengageline.Peer/Beat", Message: []byte(beat), Calls: 30}},
		"nodes' port, silence":                 {peer: true, crowd: fakes.Crowd{Conns: 1400}},
		"waiting for an end":                   {crowd: fakes.Crowd{Conns: 300}, job: fakes.Work{RunMs: 600_000}, path: "?wait=60s"},
		"waiting for a slot":                   {crowd: fakes.Crowd{Conns: 400, Send: waitingRequest}, callTime: 10 * time.Minute},
		"many short waits":                     {crowd: fakes.Crowd{Conns: 50, Requests: 4000}, memory: smallMemoryMB, job: fakes.Work{RunMs: 600_000}, path: "?wait=1us"},
		"large answers":                        {crowd: fakes.Crowd{Conns: 100}, job: fakes.Work{AnswerBytes: model.MaxAnswer}, ended: true, path: "/answer"},
		"large payloads":                       {crowd: fakes.Crowd{Conns: 30, Request: largeJob, Requests: 40}, memory: smallMemoryMB},
		"files of configuration":               {crowd: fakes.Crowd{Conns: 1, Request: largeFile, Requests: 600}, memory: smallMemoryMB},
		"reads of a large configuration":       {crowd: fakes.Crowd{Conns: 100, Send: get("/v1/config")}, files: 30, memory: smallMemoryMB},
		"changes of the configuration at once": {crowd: fakes.Crowd{Conns: 100, Request: smallFile, Requests: 2}, files: 30, memory: smallMemoryMB},
		"nodes' port, unread replies":          {peer: true, crowd: fakes.Crowd{Conns: 12, Method: "/greengageline.Peer/Job", Calls: 250, ReadLimit: 200}, memory: smallMemoryMB, job: fakes.Work{RunMs: 600_000, Answer: strings.Repeat("x", 60_000)}, path: "?"},
		"nodes' port, addresses":               {peer: true, crowd: fakes.Crowd{Conns: 12, Method: "/greengageline.Peer/Beat", MessageOf: longAddress, Calls: 100, InTurn: true}, memory: smallMemoryMB},
		"nodes' port, leaving workers":         {peer: true, crowd: fakes.Crowd{Conns: 12, Method: "/greengageline.Peer/Beat", MessageOf: longLeaving, Calls: 100, InTurn: true}, memory: smallMemoryMB},
		"descriptors used up":                  {crowd: fakes.Crowd{Conns: 100}, descriptors: 45},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			memory := crowdMemoryMB
			if c.memory != 0 {
				memory = c.memory
				t.Setenv("GREENGAGELINE_MEMORY", strconv.Itoa(memory))
			}
			cluster := newProcessCluster(t, 1, 4)
			n := cluster.nodes[0]
			for _, w := range cluster.workers {
				w.CallTime = max(w.CallTime, c.callTime)
			}
			if c.files > 0 {
				(&fakes.Crowd{Addr: n.listen, Conns: 1, Request: largeFile, Requests: c.files}).Run(n.cmd.Process.Pid)
			}
			if c.path != "" {
				payload := lo.Must(json.Marshal(c.job))
				j := cluster.submit(cluster.client, model.JobSpec{Workspace: "routes", Key: "first", Shape: model.Shape{Tasks: 1, Each: 1}, EstimateMs: 1000, Payload: payload})
				if c.ended {
					ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
					defer cancel()
					_, err := cluster.client.Wait(ctx, j.ID)
					is.NoErr(err)
				}
				request := get("/v1/jobs/" + j.ID + c.path)
				c.crowd.Send = request
				c.crowd.Message = lo.Must(cbor.Marshal(peer.JobRequest{ID: j.ID}))
				if c.crowd.Requests > 0 {
					c.crowd.Request = func(int, int) []byte { return request }
				}
			}
			c.crowd.Addr = n.listen
			if c.peer {
				c.crowd.Addr = n.peer
			}
			if c.descriptors > 0 {
				is.NoErr(unix.Prlimit(n.cmd.Process.Pid, unix.RLIMIT_NOFILE, &unix.Rlimit{Cur: c.descriptors, Max: c.descriptors}, nil))
			}
			use := c.crowd.Run(n.cmd.Process.Pid)
			is.NoErr(use.Err) // the process lives
			t.Logf("at most %d MB and %d descriptors", use.MB, use.Descriptors)
			if use.MB > memory || use.Descriptors > crowdMaxFds {
				t.Errorf("the node used %d MB and %d descriptors, want at most %d and %d", use.MB, use.Descriptors, memory, crowdMaxFds)
			}
			cluster.await("an answer to an ordinary request", 20*time.Second, func() bool {
				return cluster.client.Do(t.Context(), http.MethodGet, "/v1/status", nil, nil) == nil
			})
		})
	}
}
