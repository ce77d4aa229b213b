// Package boot builds a node from its components, serves its addresses and stops
// it gracefully.
package boot
