// Package cell implements cell ownership. A LeaseManager acquires and renews the
// ownership of one cell through the platform's table, and an Owner runs the
// cell's jobs while this node owns it.
//
// An Owner is an event loop whose state only the loop's goroutine touches. Slow
// operations run in other goroutines and post their results to the loop's bounded
// inbox. The owner makes decisions only while its lease is valid; the lease is
// measured on the monotonic clock from before the renewal was sent. While the lease
// can't be renewed, the owner keeps running jobs alive and starts nothing.
package cell
