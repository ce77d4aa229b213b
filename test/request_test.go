package test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"greengageline/pkg/client"
	"greengageline/pkg/model"
)

// requestSpec returns the spec of a short request with a deadline of 4 s.
func requestSpec(key string, idempotent bool) model.RequestSpec {
	return model.RequestSpec{
		Workspace: "proofs", Key: key, Idempotent: idempotent, DeadlineMs: 4000, Payload: []byte("check " + key),
	}
}

// servedCalls returns how often targets served a call, over all calls and targets, and how many of
// these repeated a call that the same target had already served.
func (c *processCluster) servedCalls() (calls, repeats int) {
	for _, w := range c.workers {
		for _, n := range w.Calls().Calls {
			calls += n
			repeats += n - 1
		}
	}
	return calls, repeats
}

func TestRequestsShareSlotsAndConnections(t *testing.T) {
	is := is.New(t)
	c := newProcessCluster(t, 3, 4)
	time.Sleep(2 * time.Second)
	var wrong atomic.Int32
	parallel(48, 600, func(i int) {
		key := fmt.Sprintf("r%d", i)
		via := client.Client{Addrs: []string{c.nodes[i%3].listen}}
		data, err := via.Request(context.Background(), requestSpec(key, true))
		if err != nil || string(data) != "check "+key {
			wrong.Add(1)
		}
	})
	is.Equal(wrong.Load(), int32(0)) // each caller gets its own complete answer
	for i, w := range c.workers {
		is.True(w.Calls().PeakSlots <= 8)         // a target has 8 slots
		is.True(c.servers[i].Connections() <= 60) // at most 60 connections to a target
	}
}

// A target that leaves announces it only in the VM list. Requests after 5 s must go to other targets.
func TestLeavingTargetGetsNoRequests(t *testing.T) {
	is := is.New(t)
	c := newProcessCluster(t, 3, 4)
	w := c.workers[0]
	vm := w.VM
	vm.Leaving = true
	w.LeaveQuietly()
	c.platform.SetVM(vm)
	time.Sleep(5 * time.Second) // time that nodes have to stop using a leaving target
	calls := len(w.Calls().Calls)
	parallel(16, 300, func(i int) {
		_, err := c.client.Request(context.Background(), requestSpec(fmt.Sprintf("l%d", i), true))
		if err != nil {
			t.Error(err)
		}
	})
	is.Equal(len(w.Calls().Calls), calls) // the leaving target got no new request
}

// Targets receive requests, but their replies are lost. A request that is not idempotent must not be
// sent again, even if the caller repeats it with the same key at another node, and the caller must be
// told that the outcome is unknown.
func TestNonIdempotentRequestIsSentOnce(t *testing.T) {
	is := is.New(t)
	c := newProcessCluster(t, 3, 4)
	time.Sleep(2 * time.Second)
	for _, p := range c.workerProxies {
		p.update(func(p *proxy) { p.dropReplies = true }) // targets receive requests, their replies are lost
	}
	const requests, attempts = 2, 3
	var unknownOutcomes atomic.Int32
	parallel(requests, requests, func(i int) {
		for n := range attempts { // repeat with the same key at another node
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			_, err := (&client.Client{Addrs: []string{c.nodes[n%3].listen}}).Request(ctx, requestSpec(fmt.Sprintf("visit%d", i), false))
			cancel()
			if errors.Is(err, client.ErrNotKnown) {
				unknownOutcomes.Add(1)
			}
		}
	})
	calls, repeats := c.servedCalls()
	is.Equal(repeats, 0)
	is.Equal(calls, requests)                                  // each request was sent once
	is.Equal(unknownOutcomes.Load(), int32(requests*attempts)) // no caller was told that its request did not run
}

// A repeated key gets the stored answer from every node and does not run again.
func TestRepeatedRequestGetsTheFirstAnswer(t *testing.T) {
	is := is.New(t)
	c := newProcessCluster(t, 3, 4)
	for i := range 3 {
		data, err := (&client.Client{Addrs: []string{c.nodes[i].listen}}).Request(context.Background(), requestSpec("visit", false))
		is.NoErr(err)
		is.Equal(string(data), "check visit")
	}
	calls, _ := c.servedCalls()
	is.Equal(calls, 1) // three requests with one key, one call of a target
}

// Invalid jobs must be refused with the expected status, kind and field, without being accepted.
func TestBadInputIsRefusedWithItsField(t *testing.T) {
	c := newProcessCluster(t, 1, 4)
	good := `{"workspace":"routes","key":"k","shape":{"tasks":1,"each":1},"estimate_ms":1000}`
	cases := map[string]struct {
		body   string
		status int
		field  string
		kind   string
	}{
		"not JSON":          {`{`, 400, "", "invalid"},
		"wrong type":        {`{"workspace":7}`, 400, "workspace", "invalid"},
		"unknown key":       {`{"colour":"red"}`, 400, "", "invalid"},
		"repeated key":      {`{"workspace":"a","workspace":"b"}`, 400, "workspace", "invalid"},
		"two values":        {good + good, 400, "", "invalid"},
		"no key":            {`{"workspace":"routes","shape":{"tasks":1,"each":1},"estimate_ms":1}`, 400, "key", "invalid"},
		"no tasks":          {`{"workspace":"routes","key":"k","shape":{"tasks":0,"each":1},"estimate_ms":1}`, 400, "shape.tasks", "invalid"},
		"unknown workspace": {`{"workspace":"nobody","key":"k","shape":{"tasks":1,"each":1},"estimate_ms":1}`, 404, "", "unknown-workspace"},
		"impossible shape":  {`{"workspace":"routes","key":"k","shape":{"tasks":128,"each":8},"estimate_ms":1}`, 422, "", "impossible-shape"},
		"too large":         {`{"payload":"` + string(make([]byte, 300<<10)) + `"}`, 413, "", "too-large"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			status, p := c.post("/v1/jobs", tc.body)
			is.Equal(status, tc.status)
			is.Equal(p.Kind, tc.kind)
			is.Equal(p.Field, tc.field)
			is.Equal(p.Ran, "no") // the reply says that nothing ran
		})
	}
	t.Run("key reused", func(t *testing.T) {
		is := is.New(t)
		status, _ := c.post("/v1/jobs", good)
		is.Equal(status, http.StatusAccepted)
		status, p := c.post("/v1/jobs", `{"workspace":"routes","key":"k","shape":{"tasks":1,"each":2},"estimate_ms":1000}`)
		is.Equal(status, http.StatusConflict)
		is.Equal(p.Kind, "key-reused")
	})
}

// post sends a raw body and returns the status and the decoded problem; the problem is empty if the
// reply is not one.
func (c *processCluster) post(path, body string) (int, client.Problem) {
	c.t.Helper()
	resp, err := http.Post("http://"+c.nodes[0].listen+path, "application/json", strings.NewReader(body))
	if err != nil {
		c.t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	var p client.Problem
	_ = json.NewDecoder(resp.Body).Decode(&p)
	return resp.StatusCode, p
}

func TestOperatorsSeeMetricsHealthAndStatus(t *testing.T) {
	c := newProcessCluster(t, 2, 4)
	c.awaitDone(c.client, c.submit(c.client, jobSpec("routes", "seen", 1, 1, true, 10, "")))
	owner := c.awaitOwner()
	cases := map[string][]string{
		"/metrics": {
			`cell_owned{cell="viti"`, "fragmentation{", "guarantee_at_risk_accelerators{", "job_completion_seconds_count{",
			"job_start_seconds_count{", "table_seconds_count{", "jobs_ended_total{",
		},
		"/healthz": {"ok"},
		"/readyz":  {"ready"},
		"/":        {"greengageline on " + owner.name, "viti", "proofs", "Workspaces"},
	}
	for path, wants := range cases {
		t.Run(path, func(t *testing.T) {
			is := is.New(t)
			resp, err := http.Get("http://" + owner.listen + path)
			is.NoErr(err)
			defer func() { _ = resp.Body.Close() }()
			body, err := io.ReadAll(resp.Body)
			is.NoErr(err)
			is.Equal(resp.StatusCode, http.StatusOK)
			for _, want := range wants {
				if !strings.Contains(string(body), want) {
					t.Errorf("response of %s does not contain %q:\n%.2000s", path, want, body)
				}
			}
		})
	}
}
