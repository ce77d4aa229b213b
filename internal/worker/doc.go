// Package worker is the adapter of the target workers: it reserves, starts,
// renews, stops and looks up tasks, and passes on short requests.
//
// An order that a worker may have received is reported as ErrUnclear; whether
// it may be repeated is decided by the caller.
package worker
