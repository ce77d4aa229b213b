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

func request(key string, idempotent bool) model.RequestSpec {
	return model.RequestSpec{
		Workspace: "proofs", Key: key, Idempotent: idempotent, DeadlineMs: 4000, Payload: []byte("check " + key),
	}
}

// served counts on how many targets, or how often, each call was served.
func (c *cluster) served() (calls, doubled int) {
	for _, w := range c.workers {
		for _, n := range w.Calls().Calls {
			calls += n
			doubled += n - 1
		}
	}
	return calls, doubled
}

func TestRequestsShareSlotsAndConnections(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 3, 4)
	time.Sleep(2 * time.Second)
	var wrong atomic.Int32
	parallel(48, 600, func(i int) {
		key := fmt.Sprintf("r%d", i)
		with := client.Client{Addrs: []string{c.nodes[i%3].listen}}
		data, err := with.Request(context.Background(), request(key, true))
		if err != nil || string(data) != "check "+key {
			wrong.Add(1)
		}
	})
	is.Equal(wrong.Load(), int32(0)) // each caller gets its own whole answer
	for i, w := range c.workers {
		is.True(w.Calls().PeakSlots <= 8)         // slots in use never above 8
		is.True(c.servers[i].Connections() <= 60) // connections never above 60
	}
}

func TestLeavingTargetGetsNoRequests(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 3, 4)
	w := c.workers[0]
	vm := w.VM
	vm.Leaving = true
	w.LeaveQuietly()
	c.platform.SetVM(vm)
	time.Sleep(5 * time.Second) // the few seconds that the brief allows
	calls := len(w.Calls().Calls)
	parallel(16, 300, func(i int) {
		_, err := c.client.Request(context.Background(), request(fmt.Sprintf("l%d", i), true))
		if err != nil {
			t.Error(err)
		}
	})
	is.Equal(len(w.Calls().Calls), calls) // nothing new on the leaving target
}

func TestPaidVisitIsSentOnce(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 3, 4)
	time.Sleep(2 * time.Second)
	for _, p := range c.toWorker {
		p.set(func(p *proxy) { p.mute = true }) // targets get requests, answers are lost
	}
	const visits, asks = 2, 3
	var unknown atomic.Int32
	parallel(visits, visits, func(i int) {
		for n := range asks { // the caller repeats with the same key at another node
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			_, err := (&client.Client{Addrs: []string{c.nodes[n%3].listen}}).Request(ctx, request(fmt.Sprintf("visit%d", i), false))
			cancel()
			if errors.Is(err, client.ErrNotKnown) {
				unknown.Add(1)
			}
		}
	})
	calls, doubled := c.served()
	is.Equal(doubled, 0)
	is.Equal(calls, visits)                      // each visit was sent once
	is.Equal(unknown.Load(), int32(visits*asks)) // and nobody was told that it did not run
}

func TestRepeatedVisitGetsTheFirstAnswer(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 3, 4)
	for i := range 3 {
		data, err := (&client.Client{Addrs: []string{c.nodes[i].listen}}).Request(context.Background(), request("visit", false))
		is.NoErr(err)
		is.Equal(string(data), "check visit")
	}
	calls, _ := c.served()
	is.Equal(calls, 1) // three asks, one visit
}

func TestBadInputIsRefusedWithItsField(t *testing.T) {
	c := newCluster(t, 1, 4)
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
			is.Equal(p.Ran, "no") // nothing is half accepted
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

// post sends a raw body and returns the status and the problem, if it is one.
func (c *cluster) post(path, body string) (int, client.Problem) {
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
	c := newCluster(t, 2, 4)
	c.done(c.client, c.submit(c.client, job("routes", "seen", 1, 1, true, 10, "")))
	owner := c.owner()
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
					t.Errorf("%s lacks %q:\n%.2000s", path, want, body)
				}
			}
		})
	}
}
