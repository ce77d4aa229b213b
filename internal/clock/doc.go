// Package clock reads a steady clock that also counts the time for which the machine was suspended, which
// Go's monotonic clock does not.
package clock
