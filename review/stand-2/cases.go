package main

import (
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

func waveKey(n int64) string { return fmt.Sprintf("wave/%d", n) }

func workerName(machine string, life int) string { return fmt.Sprintf("i-%s-%d", machine, life) }

// fresh hands in a job that any worker of kind a may run, and reports whether it completed.
func (w *world) fresh(id string) bool {
	return w.submit("late", id, job("work 500ms", phase(1, 1, map[string]any{"requiredLabel": "a"}))) == nil &&
		w.waitState("late", id, "completed", 10*time.Second)
}

// idleFor watches a work unit for a time and reports whether it never ran meanwhile.
func (w *world) idleFor(task string, span time.Duration) bool {
	for until := time.Now().Add(span); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		if on, _, _ := w.running(task); on {
			return false
		}
	}
	return true
}

// setFailing makes a worker fail all that it starts, or ends that.
func setFailing(p *process, on int) error {
	resp, err := (&http.Client{Timeout: time.Second}).Post(fmt.Sprintf("http://%s/standin/failing?on=%d", p.addr, on), "", nil)
	if err != nil {
		return fmt.Errorf("%w: %w", errSetup, err)
	}
	return resp.Body.Close()
}

// retryCase: the two workers of a kind fail all that they start for 6 s. A job that needs this kind has attempts left, and
// both workers are sound and idle from then on.
func retryCase(w *world, trouble bool) error {
	if err := w.begin(22, route("late", 1, 4)); err != nil {
		return err
	}
	var special []*process
	for i := range 2 {
		p, err := w.addWorker(fmt.Sprintf("i-b%02d", i), "b", "r1-3")
		if err != nil {
			return err
		}
		special = append(special, p)
	}
	time.Sleep(4 * time.Second)
	if !w.fresh("00000000000000aa") {
		return fmt.Errorf("%w: a plain job did not complete", errSetup)
	}
	setAll := func(on int) error {
		for _, p := range special {
			if err := setFailing(p, on); err != nil {
				return err
			}
		}
		return nil
	}
	if trouble {
		if err := setAll(1); err != nil {
			return err
		}
	}
	const id, task = "00000000000000b1", "00000000000000b1.0.0.0"
	if err := w.submit("late", id, job("work 2s", phase(1, 1, map[string]any{"requiredLabel": "b"}))); err != nil {
		return err
	}
	time.Sleep(6 * time.Second)
	if trouble {
		if err := setAll(0); err != nil {
			return err
		}
	}
	time.Sleep(3 * time.Second) // contactMs
	for i := range 3 {          // the rest of the service works
		if !w.fresh(fmt.Sprintf("00000000000000c%d", i)) {
			return fmt.Errorf("%w: a plain job did not complete", errSetup)
		}
	}
	return w.checkNotLeft(id, task)
}

// checkNotLeft checks, finish_s after the end of the traffic, that a job has completed or something of it runs. It gives
// the attempts that the job may use as the reason for none.
func (w *world) checkNotLeft(id, task string) error {
	time.Sleep(14 * time.Second) // finish_s
	for range 5 {
		state := w.state("late", id)
		on, starts, fails := w.running(task)
		w.say("check: job %s is %q; running %t, %d starts, %d failed of 4 attempts; %d work units run in the service", id, state, on, starts, fails, w.busy())
		if state == "completed" || state == "failed" && fails >= 4 {
			return nil
		}
		if !w.idleFor(task, 3*time.Second) {
			continue
		}
		if state = w.state("late", id); state == "completed" {
			return nil
		}
		_, starts, fails = w.running(task)
		broken := fmt.Errorf("%w: LOST: job %s is %q and nothing of it has run for 3 s (%d starts, %d failed of 4 attempts); %d work units run in the service",
			errBroken, id, state, starts, fails, w.busy())
		w.say("check: in 30 s more it does not run: %t", w.idleFor(task, 30*time.Second))
		return broken
	}
	return nil
}

// keptCase: the two workers of a kind each run a lasting work unit, and short jobs. One crashes once and is back after a
// second.
func keptCase(w *world, trouble bool) error {
	if err := w.begin(14, route("late", 1, 4)); err != nil {
		return err
	}
	var special []*process
	for i := range 2 {
		p, err := w.addWorker(fmt.Sprintf("i-b%02d", i), "b", "r1-2")
		if err != nil {
			return err
		}
		special = append(special, p)
	}
	time.Sleep(4 * time.Second)
	lasting := phase(2, 1, map[string]any{"requiredLabel": "b", "longRunning": true, "antiAffinity": 1})
	if err := w.submit("late", "00000000000000d1", job("lasts", lasting)); err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	var ids []string
	next := func() error {
		ids = append(ids, fmt.Sprintf("%016x", 0xf00+len(ids)))
		needsB := phase(1, 1, map[string]any{"requiredLabel": "b"})
		return w.submit("late", ids[len(ids)-1], job("work 2s", needsB))
	}
	some := func(n int) error { // four jobs a second
		for range n {
			if err := next(); err != nil {
				return err
			}
			time.Sleep(230 * time.Millisecond)
		}
		return nil
	}
	if err := some(24); err != nil {
		return err
	}
	if trouble {
		w.crash(special[0])
		time.Sleep(time.Second)
		if err := w.start(special[0]); err != nil {
			return err
		}
	}
	if err := some(12); err != nil {
		return err
	}
	time.Sleep(8 * time.Second)
	if err := next(); err != nil { // long after the crash
		return err
	}
	if !w.fresh("00000000000000d4") {
		return fmt.Errorf("%w: a plain job did not complete", errSetup)
	}
	time.Sleep(3 * time.Second)
	left := ""
	for _, id := range ids {
		if w.state("late", id) != "completed" {
			left = id
		}
	}
	if left == "" {
		return nil
	}
	return w.checkNotLeft(left, left+".0.0.0")
}

// wavesCase: an operator asks for a second wave that shares a machine with one that is still running.
func wavesCase(w *world, trouble bool) error {
	addr, err := serve(w.cloud)
	if err != nil {
		return err
	}
	w.cloud.addr = addr
	if err := w.begin(0, route("late", 1, 4)); err != nil {
		return err
	}
	var ids []string
	for i := range 12 {
		m := &machine{id: fmt.Sprintf("m-%02d", i), rack: fmt.Sprintf("r1-%d", i/6), state: "up"}
		if m.worker, err = w.addWorker(workerName(m.id, 0), "a", m.rack); err != nil {
			return err
		}
		w.cloud.mu.Lock()
		w.cloud.machines[m.id] = m
		w.cloud.mu.Unlock()
		ids = append(ids, m.id)
	}
	time.Sleep(5 * time.Second)
	ask := func(n int64, machines []string) {
		w.store.put("op", waveKey(n), map[string]any{"wave": n, "machines": machines, "leaseTermS": 20, "cap": 2})
		w.say("operator: wave %d of %v", n, machines)
	}
	ask(1, ids[:2])
	if !trouble {
		if !w.waveDone(1) {
			return fmt.Errorf("%w: wave 1 was not completed", errSetup)
		}
	}
	ask(2, ids[1:3])
	if !w.waveDone(2) {
		return fmt.Errorf("%w: wave 2 was not completed", errSetup)
	}
	time.Sleep(5 * time.Second)
	w.cloud.mu.Lock()
	defer w.cloud.mu.Unlock()
	for n, of := range map[int64][]string{1: ids[:2], 2: ids[1:3]} {
		for _, id := range of {
			begun := false
			for _, wave := range w.cloud.machines[id].upkeeps {
				begun = begun || wave == n
			}
			if !begun {
				return fmt.Errorf("%w: MIXED: wave %d is said to be completed, and %s has not begun its upkeep for it", errBroken, n, id)
			}
		}
	}
	return nil
}

// waveDone waits until a wave is said to be completed.
func (w *world) waveDone(n int64) bool {
	for until := time.Now().Add(40 * time.Second); time.Now().Before(until); time.Sleep(100 * time.Millisecond) {
		var status struct {
			State string `json:"state"`
		}
		if w.store.value("status", waveKey(n), &status) && status.State == "completed" {
			w.say("status: wave %d is completed", n)
			return true
		}
	}
	return false
}

const (
	// memoryLimit is memoryMb of the settings, in bytes.
	memoryLimit = 284 << 20
	// bodyLimit is maxBodyBytes of the desired state.
	bodyLimit = 262144
	// messageClients is how many clients send at once, messageTries how often each tries: once and four retries.
	messageClients = 10
	messageTries   = 5
	// fatalEnds and fatalNodes: so many ends of a process on so many machines are a fault.
	fatalEnds, fatalNodes = 3, 2
)

// memoryCase: ten clients each send a message of the longest size that the desired state allows, whose job has very many
// empty steps. A process that exceeds its memory is killed and starts again, as on the platform.
func memoryCase(w *world, trouble bool) error {
	if err := w.begin(4, route("late", 1, 4)); err != nil {
		return err
	}
	if !w.fresh("00000000000000aa") {
		return fmt.Errorf("%w: a plain job did not complete", errSetup)
	}
	stop := make(chan struct{})
	ends := make([]int, len(w.nodes))
	var watchers sync.WaitGroup
	for i, p := range w.nodes {
		watchers.Add(1)
		go func() {
			defer watchers.Done()
			ends[i] = w.limitMemory(p, stop)
		}()
	}
	body := []byte(`{"spec":"work 100ms","phases":[{"count":1,"cpu":1000,"memMb":1024,"gpu":1,"estimateMs":100}]}`)
	if trouble {
		head, tail := `{"spec":"work 100ms","phases":[`, `{}]}`
		body = []byte(head + strings.Repeat("{},", (bodyLimit-len(head)-len(tail))/3) + tail)
	}
	w.say("clients: %d messages of %d bytes", messageClients, len(body))
	for round := range 3 {
		var clients sync.WaitGroup
		for c := range messageClients {
			clients.Add(1)
			go func() {
				defer clients.Done()
				id := fmt.Sprintf("%016x", 0xa000+round*100+c)
				for try := range messageTries {
					// No answer and a broken channel are tried again at the next node, also 502 and 504.
					if status := w.post(round+try, "/late/"+id, body); status != 0 && status != http.StatusBadGateway && status != http.StatusGatewayTimeout {
						return
					}
					time.Sleep(time.Second)
				}
			}()
		}
		clients.Wait()
		time.Sleep(5 * time.Second)
	}
	close(stop)
	watchers.Wait()
	nodes := 0
	for i, p := range w.nodes {
		w.say("check: %s ended %d times by its memory", p.name, ends[i])
		if ends[i] >= fatalEnds {
			nodes++
		}
	}
	if nodes >= fatalNodes {
		return fmt.Errorf("%w: fault: on %d of %d machines the process ended three times, over its memory", errBroken, nodes, len(w.nodes))
	}
	return nil
}

// limitMemory kills a node's process when it exceeds its memory, and starts it again after half a second. It returns how
// often it did so.
func (w *world) limitMemory(p *process, stop chan struct{}) (ends int) {
	for {
		select {
		case <-stop:
			return ends
		case <-time.After(5 * time.Millisecond):
		}
		used := anonymousMemory(p.cmd.Process.Pid)
		if used <= memoryLimit {
			continue
		}
		w.say("platform: %s uses %d MB and is killed", p.name, used>>20)
		w.kill(p)
		ends++
		time.Sleep(500 * time.Millisecond)
		if err := w.start(p); err != nil {
			w.say("platform: %s does not start: %v", p.name, err)
			return ends
		}
	}
}

// anonymousMemory returns the memory of a process in bytes, without what it maps of files.
func anonymousMemory(pid int) int {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	_, after, _ := strings.Cut(string(status), "RssAnon:")
	kb := 0
	_, _ = fmt.Sscan(after, &kb)
	return kb << 10
}

const (
	// slowSpell and slowFactor are how long the store is slow and how much.
	slowSpell  = 4500 * time.Millisecond
	slowFactor = 60
)

// removedJobs are the ids of jobs that lie in different parts of the table, in those that a read of the whole table reads
// first.
var removedJobs = [][2]int{{0x7000, 0x7001}, {0x7002, 0x7004}, {0x7005, 0x700c}, {0x7012, 0x701a}, {0x701c, 0x701d}, {0x7021, 0x7023}, {0x7024, 0x7025}, {0x7028, 0x702a}, {0x702b, 0x702d}}

// removalCase: the store becomes slow and forgets its history while the owner removes old jobs, two at a time.
func removalCase(w *world, trouble bool) error {
	w.statusS = "10"
	if trouble {
		w.store.onRemoval = w.troubleAtRemoval()
	}
	if err := w.begin(6, route("late", 1, 4)); err != nil {
		return err
	}
	for _, ids := range removedJobs {
		for _, id := range ids {
			if err := w.submit("late", fmt.Sprintf("%016x", id), job("work 200ms", phase(1, 1, nil))); err != nil {
				return err
			}
		}
		time.Sleep(10 * time.Second)
		if again := w.startedAgain(); again != "" {
			time.Sleep(3 * time.Second)
			return fmt.Errorf("%w: TWICE: %s", errBroken, w.startedAgain())
		}
	}
	return nil
}

// troubleAtRemoval returns a function for store.onRemoval. With the first removal for a while, the store becomes slow, and once
// that has taken effect it forgets its history.
func (w *world) troubleAtRemoval() func(applied bool) {
	var mu sync.Mutex
	var last time.Time
	first := false
	return func(applied bool) {
		mu.Lock()
		defer mu.Unlock()
		switch {
		case applied && first:
			first = false
			w.store.forgetHistory()
			w.say("store: forgets its history")
		case !applied && time.Since(last) > slowSpell:
			first = true
			w.store.slow.Store(slowFactor)
			w.say("store: slow")
			time.AfterFunc(slowSpell, func() {
				w.store.slow.Store(1)
				w.say("store: as usual")
			})
		}
		last = time.Now()
	}
}

// startedAgain returns the starts of work units after a run of them had ended as done.
func (w *world) startedAgain() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return strings.Join(w.again, "; ")
}
