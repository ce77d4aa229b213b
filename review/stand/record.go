package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// journal writes record.txt: what was sent, answered and run.
var journal struct {
	sync.Mutex
	out   *bufio.Writer
	file  *os.File
	began time.Time
}

func openRecord(path string) error {
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	journal.file, journal.out, journal.began = f, bufio.NewWriter(f), time.Now()
	return nil
}

func closeRecord() {
	journal.Lock()
	defer journal.Unlock()
	_ = journal.out.Flush()
	_ = journal.file.Close()
}

// note writes a line about who did what, with the seconds since the begin.
func note(who, format string, args ...any) {
	journal.Lock()
	defer journal.Unlock()
	fmt.Fprintf(journal.out, "%8.3f %-8s %s\n", time.Since(journal.began).Seconds(), who, fmt.Sprintf(format, args...))
}

func at(t time.Time) float64 { return t.Sub(journal.began).Seconds() }

// runHistory is what happened to one run.
type runHistory struct {
	worker, task string
	run, epoch   int64

	mu                              sync.Mutex
	began, ended, listed, noted     time.Time
	how                             string
	lapsedBetween, listedBeforeNote bool
}

var histories struct {
	sync.Mutex
	byTask map[string][]*runHistory
}

func recordStart(worker, task string, run, epoch int64, began time.Time) *runHistory {
	h := &runHistory{worker: worker, task: task, run: run, epoch: epoch, began: began}
	histories.Lock()
	if histories.byTask == nil {
		histories.byTask = map[string][]*runHistory{}
	}
	histories.byTask[task] = append(histories.byTask[task], h)
	histories.Unlock()
	note(worker, "starts %s run %d, generation %d", task, run, epoch)
	return h
}

func (h *runHistory) end(t time.Time, how string) {
	h.mu.Lock()
	h.ended, h.how = t, how
	h.mu.Unlock()
	note(h.worker, "%s run %d has ended: %s", h.task, h.run, how)
}

func (h *runHistory) list(t time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.listed.IsZero() {
		h.listed = t
	}
}

// acknowledge records that ackedUpto has reached the run's end. The worker's lease lapsed last at lapsed.
func (h *runHistory) acknowledge(t, lapsed time.Time, upto int64) {
	h.mu.Lock()
	h.noted = t
	h.lapsedBetween = lapsed.After(h.ended)
	h.listedBeforeNote = !h.listed.IsZero()
	listed := h.listedBeforeNote
	h.mu.Unlock()
	note(h.worker, "the end of %s run %d is acknowledged (ackedUpto %d, listed before: %v)", h.task, h.run, upto, listed)
}

// brokenTwice returns the breaches of TWICE: a start after a run has ended done, if that end was taken note of
// then or later, or two runs of a work unit at the same time.
func brokenTwice() []string {
	histories.Lock()
	defer histories.Unlock()
	var out []string
	for task, runs := range histories.byTask {
		for i, a := range runs {
			for _, b := range runs[i+1:] {
				a.mu.Lock()
				done := a.how == "done" && !a.noted.IsZero() && !a.lapsedBetween && b.began.After(a.ended)
				overlap := a.ended.IsZero() || b.began.Before(a.ended)
				text := fmt.Sprintf("%s: run %d on %s ended %s at %.3f, taken note of at %.3f (listed before: %v); run %d began on %s at %.3f",
					task, a.run, a.worker, a.how, at(a.ended), at(a.noted), a.listedBeforeNote, b.run, b.worker, at(b.began))
				a.mu.Unlock()
				if done || overlap {
					out = append(out, text)
				}
			}
		}
	}
	return out
}

// runsOf returns copies of the runs of a job's step.
func runsOf(prefix string) []*runHistory {
	histories.Lock()
	defer histories.Unlock()
	var out []*runHistory
	for task, runs := range histories.byTask {
		if len(task) > len(prefix) && task[:len(prefix)] == prefix {
			out = append(out, runs...)
		}
	}
	return out
}
