package main

import (
	"errors"
	"math/rand"
	"time"
)

// playRecord: a job of work units that last, each of which fails once. TROUBLE=0: none fails.
func playRecord(w *world) error {
	w.store = newStore(800, 2000)
	if err := w.begin(48, 8, 4, "", "", nil); err != nil {
		return err
	}
	stop := make(chan struct{})
	go w.watch(stop)
	defer close(stop)
	w.fails = func(u unit, _ string) time.Duration {
		if !w.trouble || u.work > 0 {
			return 0
		}
		return leastLife + time.Duration(rand.ExpFloat64()*float64(meanLife))
	}
	var phases []phase
	for range largeSteps {
		phases = append(phases, phase{Count: 1000, CPU: 100, MemMB: 200, EstimateMs: 600000, LongRunning: true, Image: "img-1"})
	}
	large := w.submit("/lohu930/", phases, false)
	if !large.accepted {
		return errors.New("the large job was not accepted")
	}
	var jobs []*job
	for range 55 {
		jobs = append(jobs, w.submit("/pule252/", smallJob(), false))
		time.Sleep(time.Second)
	}
	w.judge(jobs)
	w.judgeLasting(large)
	return nil
}

// largeSteps is the number of steps of the large job, of 1000 work units each.
const largeSteps = 10

// A run of the large job that fails does so after leastLife at least, and meanLife later on average.
const (
	leastLife = 5 * time.Second
	meanLife  = 20 * time.Second
)
