// Package trace merges the event logs of several nodes and prints the events of one request
// in order of time as readable text.
package trace
