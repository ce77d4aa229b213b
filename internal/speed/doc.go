// Package speed estimates how fast workers are from the progress and the ends of the runs on them.
//
// A Table is deterministic: it is given samples with their times and reads no clock, does no I/O and draws no
// random numbers. It is not safe for concurrent use; the loop of the scheduling engine makes all calls.
package speed
