// Package guard bounds what clients can make a process hold: the bytes of requests that are not read in full yet, and
// the connections. Memory for a body is reserved as the body arrives, not as it is announced.
package guard
