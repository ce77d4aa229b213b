// Package sched decides where the tasks of stepped work run: which wait, which
// start on which worker, and which are stopped to give way.
//
// It is pure: events and times go in, orders come out; it reads no clock, does
// no I/O and draws no random numbers, so that a sequence of events replays
// exactly. Engine is not safe for concurrent use; the owner's loop alone
// touches it. What must outlive the owner is a Record for each job.
package sched
