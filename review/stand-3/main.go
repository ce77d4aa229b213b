// Command stand3 plays the cases of review/11 to review/15 that are scripts: small stand-ins for the platform's store,
// its VM list, the workers, the adviser and the clients, around real processes of the system.
package main

import (
	"fmt"
	"math/rand"
	"os"
	"os/signal"
	"syscall"
	"time"
)

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: stand3 CASE FOLDER")
		os.Exit(2)
	}
	cases := map[string]func(*world) error{"record": playRecord, "advice": playAdvice, "waiting": playWaiting, "away": playAway}
	play := cases[os.Args[1]]
	if play == nil {
		fmt.Fprintln(os.Stderr, "unknown case", os.Args[1])
		os.Exit(2)
	}
	w, err := newWorld(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-ended
		w.note("ended by a signal")
		w.close()
		os.Exit(2)
	}()
	code := 2
	func() {
		defer w.close()
		if err := play(w); err != nil {
			w.note("could not run: %v", err)
			fmt.Fprintln(os.Stderr, "could not run:", err)
			return
		}
		code = w.result()
	}()
	os.Exit(code)
}

// setKinds gives the last workers another kind, by its number of workers.
func (w *world) setKinds(kind string, n int) {
	for _, k := range w.workers[len(w.workers)-n:] {
		k.mu.Lock()
		k.kind = kind
		k.mu.Unlock()
	}
}

// begin starts the stand-ins and the nodes and returns once all are ready.
func (w *world) begin(workers, perRack, nodes int, adviceAddr, cloudAddr string, advice map[string]any) error {
	for i := range workers {
		k := w.newWorker(i, perRack)
		w.workers = append(w.workers, k)
		if err := k.serve(); err != nil {
			return err
		}
	}
	addr, err := serve(w.store.handler())
	if err != nil {
		return err
	}
	w.putConfig(advice)
	for i := range nodes {
		if err := w.startNode(i, addr, adviceAddr, cloudAddr); err != nil {
			return err
		}
	}
	if err := w.waitReady(); err != nil {
		return err
	}
	time.Sleep(4 * time.Second) // an owner is found, and all workers have registered
	return nil
}

// smallJob is an ordinary job of a few work units.
func smallJob() []phase {
	return []phase{{Count: 1 + rand.Intn(3), CPU: 500, MemMB: 512, EstimateMs: 2000, work: 2 * time.Second}}
}
