// Package sched is the scheduler for jobs made of steps and tasks. It decides which tasks wait, which
// start on which worker, and which runs are preempted.
//
// A Job (model.Work and its state) has steps; a step has tasks; each attempt to execute a task on a
// worker is a run, with a run number. The tasks of a gang step start together under one run number.
// Work in a queue of priority 0 is urgent; urgent work whose workspace stays within its guaranteed
// accelerators may preempt other work.
//
// Engine is deterministic: it is given events and times and returns orders for workers. It reads no
// clock, does no I/O and draws no random numbers, so the same sequence of events gives the same
// decisions. Engine is not safe for concurrent use; only the loop of the owning node calls it. A Record
// for each job holds the state that the next owner needs.
package sched
