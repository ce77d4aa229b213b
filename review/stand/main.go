package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// env is what a case works with.
type env struct {
	dir, bin string
	// trouble is false for the run without the disruption.
	trouble bool
	st      *store
	nodes   []*edge
	workers []*worker
}

// errSetup means that the case could not run.
var errSetup = errors.New("the case could not run")

const (
	// maxDuration bounds a case.
	maxDuration = 110 * time.Second
	// setupLimit bounds each wait before the disruption.
	setupLimit = 10 * time.Second
)

// cases has each case by its name. A case returns the breaches of its rule.
var cases = map[string]func(*env) ([]string, error){}

func main() {
	name := flag.String("case", "", "name of the case")
	bin := flag.String("bin", "", "path of the program")
	out := flag.String("record", "record.txt", "file for the record")
	flag.Parse()
	os.Exit(run(*name, *bin, *out))
}

func run(name, bin, out string) int {
	f := cases[name]
	if f == nil || openRecord(out) != nil {
		fmt.Fprintln(os.Stderr, "no such case, or the record can't be written")
		return 2
	}
	defer closeRecord()
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return 2
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(dir)
	} else {
		fmt.Println("logs in", dir)
	}
	if bin, err = filepath.Abs(bin); err != nil {
		return 2
	}
	watchdog := time.AfterFunc(maxDuration, func() {
		fmt.Fprintln(os.Stderr, "the case took too long")
		os.Exit(2) // the nodes end with this process
	})
	defer watchdog.Stop()
	e := &env{dir: dir, bin: bin, trouble: os.Getenv("TROUBLE") != "0", st: newStore(listen())}
	defer e.stopNodes()
	breaches, err := f(e)
	if err != nil {
		note("check", "%v", err)
		fmt.Println(err)
		return 2
	}
	for _, b := range breaches {
		note("check", "BROKEN %s", b)
	}
	for _, b := range breaches[:min(len(breaches), 5)] {
		fmt.Println("BROKEN", b)
	}
	note("check", "%d breaches", len(breaches))
	fmt.Println(len(breaches), "breaches")
	if len(breaches) > 0 {
		return 1
	}
	return 0
}

func (e *env) stopNodes() {
	var wg sync.WaitGroup
	for _, n := range e.nodes {
		wg.Add(1)
		go func() {
			defer wg.Done()
			n.kill()
		}()
	}
	wg.Wait()
}

// addNodes starts nodes with the given shares of a core and waits until they are ready.
func (e *env) addNodes(cpuShares ...float64) error {
	for _, share := range cpuShares {
		n, err := newEdge(e.dir, e.bin, fmt.Sprintf("edge-%d", len(e.nodes)+1), share, e.st)
		if err != nil {
			return fmt.Errorf("%w: %w", errSetup, err)
		}
		e.nodes = append(e.nodes, n)
	}
	for _, n := range e.nodes {
		if !awaitTrue(setupLimit, n.isReady) {
			return fmt.Errorf("%w: %s is not ready", errSetup, n.name)
		}
	}
	return nil
}

// addWorkers adds workers of equal capacity, all in one rack.
func (e *env) addWorkers(n int, capacity room) {
	for range n {
		id := fmt.Sprintf("w-%d", len(e.workers)+1)
		e.workers = append(e.workers, newWorker(e.st, id, "r1-1", capacity))
	}
}

// ownerNode returns the node that owns the jobs by the store's election row, or nil.
func (e *env) ownerNode() *edge {
	name := e.st.owner()
	for _, n := range e.nodes {
		if n.name == name {
			return n
		}
	}
	return nil
}

// otherNodes returns the nodes that don't own the jobs.
func (e *env) otherNodes() []*edge {
	var out []*edge
	for _, n := range e.nodes {
		if n.name != e.st.owner() {
			out = append(out, n)
		}
	}
	return out
}
