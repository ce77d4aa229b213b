// Package cell owns cells: a Keeper takes and renews the ownership of one cell
// through the platform's table, and an Owner runs the cell's jobs while it has
// it.
//
// An Owner is a loop that alone touches its state; everything slow runs in
// goroutines that answer through its bounded inbox. It decides only while its
// lease, counted on the monotonic clock from before the renewal was sent, is
// valid. When it can't renew, it keeps alive what runs and starts nothing.
package cell
