package test

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"greengageline/pkg/client"
	"greengageline/pkg/model"
)

// benchCluster starts nodes and 50 workers for a benchmark and resets the timer.
func benchCluster(b *testing.B, nodes int) *processCluster {
	b.Helper()
	c := newProcessCluster(b, nodes, 50)
	b.ResetTimer()
	return c
}

// BenchmarkSubmitToStart measures the time from a caller's submit until the job starts on a worker, in
// an idle pool of 50 workers.
func BenchmarkSubmitToStart(b *testing.B) {
	c := benchCluster(b, 3)
	h := hdrhistogram.New(1, 10_000_000, 3)
	for i := range b.N {
		submitted := time.Now()
		j := c.submit(c.client, jobSpec("routes", fmt.Sprintf("s%d", i), 1, 1, true, 1, ""))
		var started time.Time
		for started.IsZero() {
			_, started = c.startedAttempts(j.ID)
		}
		_ = h.RecordValue(max(time.Since(submitted).Microseconds(), 1))
	}
	b.ReportMetric(float64(h.ValueAtQuantile(50))/1000, "p50-ms")
	b.ReportMetric(float64(h.ValueAtQuantile(99))/1000, "p99-ms")
}

// BenchmarkAccept measures accepted jobs per second and table operations per job, with one node and
// with three. It subtracts 1.5 writes per second, which do not depend on the jobs.
func BenchmarkAccept(b *testing.B) {
	for _, nodes := range []int{1, 3} {
		b.Run(fmt.Sprintf("nodes=%d", nodes), func(b *testing.B) {
			c := benchCluster(b, nodes)
			reads, writes := c.platform.Rows.Counts()
			began := time.Now()
			jobs := make([]model.Job, b.N)
			parallel(16, b.N, func(i int) {
				via := &client.Client{Addrs: []string{c.nodes[i%nodes].listen}}
				jobs[i] = c.submit(via, jobSpec("routes", fmt.Sprintf("a%d", i), 1, 1, true, 1, ""))
			})
			accepted := time.Since(began)
			for _, j := range jobs {
				c.awaitDone(c.client, j)
			}
			took := time.Since(began).Seconds()
			r, w := c.platform.Rows.Counts()
			b.ReportMetric(float64(b.N)/accepted.Seconds(), "jobs/s")
			b.ReportMetric(float64(w-writes)/float64(b.N)-1.5*took/float64(b.N), "writes/job")
			b.ReportMetric(float64(r-reads)/float64(b.N), "reads/job")
		})
	}
}

// parallel calls do for each i from 0 to total-1, in n goroutines, and returns when all are done.
func parallel(n, total int, do func(i int)) {
	var next atomic.Int64
	var wg sync.WaitGroup
	for range n {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for {
				i := int(next.Add(1)) - 1
				if i >= total {
					return
				}
				do(i)
			}
		}()
	}
	wg.Wait()
}

// BenchmarkRequests measures short idempotent requests through three nodes to 50 targets with 8 slots
// each.
func BenchmarkRequests(b *testing.B) {
	c := benchCluster(b, 3)
	time.Sleep(2 * time.Second) // until heartbeats have distributed the free slots
	h := hdrhistogram.New(1, 10_000_000, 3)
	var mu sync.Mutex
	began := time.Now()
	parallel(64, b.N, func(i int) {
		via := client.Client{Addrs: []string{c.nodes[i%3].listen}}
		at := time.Now()
		_, err := via.Request(context.Background(), model.RequestSpec{Workspace: "proofs", Idempotent: true, Payload: []byte("x")})
		if err != nil {
			b.Error(err)
		}
		mu.Lock()
		_ = h.RecordValue(time.Since(at).Microseconds())
		mu.Unlock()
	})
	b.ReportMetric(float64(b.N)/time.Since(began).Seconds(), "req/s")
	b.ReportMetric(float64(h.ValueAtQuantile(99))/1000, "p99-ms")
	slots, conns := 0, 0
	for i, w := range c.workers {
		slots = max(slots, w.Calls().PeakSlots)
		conns = max(conns, c.servers[i].Connections())
	}
	b.ReportMetric(float64(slots), "peak-slots")
	b.ReportMetric(float64(conns), "conns")
}

// BenchmarkIdle measures the processor time, memory and traffic of each of three nodes over ten
// seconds, while every worker runs one job and no other work arrives.
func BenchmarkIdle(b *testing.B) {
	for _, workers := range []int{5, 50, 250} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) { benchIdle(b, workers) })
	}
}

func benchIdle(b *testing.B, workers int) {
	c := newProcessCluster(b, 3, workers)
	for i := range workers {
		c.submit(c.client, jobSpec("routes", fmt.Sprintf("idle%d", i), 1, 8, true, 60_000, ""))
	}
	time.Sleep(3 * time.Second)
	before := c.cpuTicks()
	platformBefore, workersBefore := c.platformBytes(), c.workerBytes()
	const window = 10 * time.Second
	time.Sleep(window)
	after := c.cpuTicks()
	owner := c.awaitOwner()
	for i, p := range c.nodes {
		role := "entry"
		if p == owner {
			role = "owner"
		}
		cpuPercent := float64(after[i]-before[i]) * float64(clockTick) / float64(window) * 100
		b.ReportMetric(cpuPercent, fmt.Sprintf("%s%d-cpu-%%", role, i+1))
		b.ReportMetric(float64(p.rssBytes())/(1<<20), fmt.Sprintf("%s%d-MB", role, i+1))
		b.ReportMetric(float64(c.platformBytes()[i]-platformBefore[i])/window.Seconds()/1024, fmt.Sprintf("%s%d-platform-KB/s", role, i+1))
	}
	b.ReportMetric(float64(c.workerBytes()-workersBefore)/window.Seconds()/1024, "workers-KB/s")
	b.ReportMetric(0, "ns/op")
}

// clockTick is the unit of processor time in /proc/PID/stat.
const clockTick = 10 * time.Millisecond

// cpuTicks returns the user and system time that each node process has used, in clock ticks.
func (c *processCluster) cpuTicks() (ticks []int64) {
	for _, p := range c.nodes {
		data, _ := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
		fields := strings.Fields(string(data[strings.LastIndexByte(string(data), ')')+1:]))
		user, _ := strconv.ParseInt(fields[11], 10, 64)
		system, _ := strconv.ParseInt(fields[12], 10, 64)
		ticks = append(ticks, user+system)
	}
	return ticks
}

// rssBytes returns the resident memory of the process.
func (p *nodeProcess) rssBytes() int64 {
	data, _ := os.ReadFile(fmt.Sprintf("/proc/%d/statm", p.cmd.Process.Pid))
	pages, _ := strconv.ParseInt(strings.Fields(string(data))[1], 10, 64)
	return pages * int64(os.Getpagesize())
}

// workerBytes returns the bytes relayed between nodes and workers so far.
func (c *processCluster) workerBytes() (n int64) {
	for _, p := range c.workerProxies {
		n += p.relayedBytes.Load()
	}
	return n
}

// platformBytes returns the bytes relayed between each node and the platform so far.
func (c *processCluster) platformBytes() (out []int64) {
	for _, p := range c.nodes {
		out = append(out, p.platformProxy.relayedBytes.Load())
	}
	return out
}
