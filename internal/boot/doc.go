// Package boot wires the parts of a node into a running process and ends it
// gracefully.
package boot
