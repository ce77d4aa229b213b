package main

import (
	"errors"
	"syscall"
	"time"
)

// Some workers are lost for good as the owner's process is killed, which starts again nodeDown later.
const (
	lostWorkers = 3
	nodeDown    = time.Second
	awayFor     = 30 * time.Second
)

// playAway: work units that last, on workers that are lost with the owner's process. TROUBLE=0: the process isn't killed.
func playAway(w *world) error {
	w.store = newStore(800, 2000)
	if err := w.begin(48, 8, 4, "", "", nil); err != nil {
		return err
	}
	stop := make(chan struct{})
	go w.watch(stop)
	defer close(stop)
	j := w.submit("/lohu930/", []phase{{Count: 96, CPU: 8000, MemMB: 16384, EstimateMs: 600000, LongRunning: true, Image: "img-1", AntiAffinity: 4}}, false)
	if !j.accepted {
		return errors.New("the job was not accepted")
	}
	time.Sleep(8 * time.Second)
	n := w.owner()
	if n == nil {
		return errors.New("no owner is known")
	}
	w.note("%d workers are lost for good", lostWorkers)
	for _, k := range w.workers[:lostWorkers] {
		go k.lose()
	}
	if w.trouble {
		w.note("the process of the owner, %s, is killed", n.name)
		_ = n.cmd.Process.Signal(syscall.SIGKILL)
		_ = n.cmd.Wait()
		time.AfterFunc(nodeDown, func() { _ = w.run(n) })
	}
	lost := time.Now()
	for time.Since(lost) < awayFor {
		time.Sleep(50 * time.Millisecond)
		w.mu.Lock()
		away := 0
		for task, at := range j.lastRun {
			if !j.running[task] && time.Since(at) > restart+idleLimit {
				away++
			}
		}
		all := len(j.running) == j.units()
		w.mu.Unlock()
		if _, fits := w.use(room{8000, 16384, 0}); away > 0 && fits >= 2*away && len(w.broken) == 0 {
			w.breakRule("LOST: %d work units that last have had no run for over %s, with room for %d", away, restart+idleLimit, fits)
		}
		if all && time.Since(lost) > 2*time.Second {
			w.note("all %d work units run, %.1f s after the workers were lost", j.units(), time.Since(lost).Seconds())
			return nil
		}
	}
	w.note("some work units don't run, %s after the workers were lost", awayFor)
	return nil
}
