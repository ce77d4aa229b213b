// Package model defines the types that callers, operators, nodes, workers and
// the platform exchange, with their encoding tags and validation.
//
// It does not depend on transports, clocks or storage. Values are immutable by
// convention: a With method returns a changed copy.
package model
