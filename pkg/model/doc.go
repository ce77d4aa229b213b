// Package model holds the types that callers, operators, nodes, workers and
// the platform exchange, with their encoding tags and their checks.
//
// It knows nothing of transports, clocks or storage. Values are immutable by
// convention: a change is made with a With method, which returns a copy.
package model
