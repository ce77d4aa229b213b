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

// benchCluster starts nodes and workers for a benchmark.
func benchCluster(b *testing.B, nodes int) *cluster {
	b.Helper()
	c := newCluster(b, nodes, 50)
	b.ResetTimer()
	return c
}

// BenchmarkSubmitToStart measures from a caller's submit to the start on a
// worker of an idle pool of 50.
func BenchmarkSubmitToStart(b *testing.B) {
	c := benchCluster(b, 3)
	h := hdrhistogram.New(1, 10_000_000, 3)
	for i := range b.N {
		asked := time.Now()
		j := c.submit(c.client, job("routes", fmt.Sprintf("s%d", i), 1, 1, true, 1, ""))
		var started time.Time
		for started.IsZero() {
			_, started = c.runs(j.ID)
		}
		_ = h.RecordValue(max(time.Since(asked).Microseconds(), 1))
	}
	b.ReportMetric(float64(h.ValueAtQuantile(50))/1000, "p50-ms")
	b.ReportMetric(float64(h.ValueAtQuantile(99))/1000, "p99-ms")
}

// BenchmarkAccept measures accepted jobs a second and table operations for
// each job, through one and three nodes.
func BenchmarkAccept(b *testing.B) {
	for _, nodes := range []int{1, 3} {
		b.Run(fmt.Sprintf("nodes=%d", nodes), func(b *testing.B) {
			c := benchCluster(b, nodes)
			reads, writes := c.platform.Rows.Counts()
			began := time.Now()
			jobs := make([]model.Job, b.N)
			parallel(16, b.N, func(i int) {
				with := &client.Client{Addrs: []string{c.nodes[i%nodes].listen}}
				jobs[i] = c.submit(with, job("routes", fmt.Sprintf("a%d", i), 1, 1, true, 1, ""))
			})
			accepted := time.Since(began)
			for _, j := range jobs {
				c.done(c.client, j)
			}
			took := time.Since(began).Seconds()
			r, w := c.platform.Rows.Counts()
			b.ReportMetric(float64(b.N)/accepted.Seconds(), "jobs/s")
			b.ReportMetric(float64(w-writes)/float64(b.N)-1.5*took/float64(b.N), "writes/job")
			b.ReportMetric(float64(r-reads)/float64(b.N), "reads/job")
		})
	}
}

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

// BenchmarkRequests measures short idempotent requests through three nodes to
// 50 targets of 8 slots.
func BenchmarkRequests(b *testing.B) {
	c := benchCluster(b, 3)
	time.Sleep(2 * time.Second) // heartbeats spread the free slots
	h := hdrhistogram.New(1, 10_000_000, 3)
	var mu sync.Mutex
	began := time.Now()
	parallel(64, b.N, func(i int) {
		with := client.Client{Addrs: []string{c.nodes[i%3].listen}}
		at := time.Now()
		_, err := with.Request(context.Background(), model.RequestSpec{Workspace: "proofs", Idempotent: true, Payload: []byte("x")})
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

// BenchmarkIdle measures what control costs each of three nodes, with workers
// that each run one job, over ten seconds.
func BenchmarkIdle(b *testing.B) {
	for _, workers := range []int{5, 50, 250} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) { benchIdle(b, workers) })
	}
}

func benchIdle(b *testing.B, workers int) {
	c := newCluster(b, 3, workers)
	for i := range workers {
		c.submit(c.client, job("routes", fmt.Sprintf("idle%d", i), 1, 8, true, 60_000, ""))
	}
	time.Sleep(3 * time.Second)
	before := c.cpu()
	bytes, toWorkers := c.platformBytes(), c.workerBytes()
	const span = 10 * time.Second
	time.Sleep(span)
	after := c.cpu()
	owner := c.owner()
	for i, p := range c.nodes {
		role := "entry"
		if p == owner {
			role = "owner"
		}
		used := float64(after[i]-before[i]) * float64(clockTick) / float64(span) * 100
		b.ReportMetric(used, fmt.Sprintf("%s%d-cpu-%%", role, i+1))
		b.ReportMetric(float64(p.rss())/(1<<20), fmt.Sprintf("%s%d-MB", role, i+1))
		b.ReportMetric(float64(c.platformBytes()[i]-bytes[i])/span.Seconds()/1024, fmt.Sprintf("%s%d-platform-KB/s", role, i+1))
	}
	b.ReportMetric(float64(c.workerBytes()-toWorkers)/span.Seconds()/1024, "workers-KB/s")
	b.ReportMetric(0, "ns/op")
}

// clockTick is the kernel's unit of processor time in /proc.
const clockTick = 10 * time.Millisecond

func (c *cluster) cpu() (ticks []int64) {
	for _, p := range c.nodes {
		data, _ := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
		fields := strings.Fields(string(data[strings.LastIndexByte(string(data), ')')+1:]))
		user, _ := strconv.ParseInt(fields[11], 10, 64)
		system, _ := strconv.ParseInt(fields[12], 10, 64)
		ticks = append(ticks, user+system)
	}
	return ticks
}

func (p *process) rss() int64 {
	data, _ := os.ReadFile(fmt.Sprintf("/proc/%d/statm", p.cmd.Process.Pid))
	pages, _ := strconv.ParseInt(strings.Fields(string(data))[1], 10, 64)
	return pages * int64(os.Getpagesize())
}

func (c *cluster) workerBytes() (n int64) {
	for _, p := range c.toWorker {
		n += p.relayed.Load()
	}
	return n
}

func (c *cluster) platformBytes() (out []int64) {
	for _, p := range c.nodes {
		out = append(out, p.toPlatform.relayed.Load())
	}
	return out
}
