// Package worker is the client of the target workers: it reserves, starts, renews,
// stops and looks up tasks, and forwards short requests.
//
// An order that a worker may have received but did not answer is reported as
// ErrOutcomeUnknown. The caller decides whether it may be repeated.
package worker
