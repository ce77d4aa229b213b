// Package test proves the promises of the brief under failure: a fault matrix
// with whole nodes on a test clock, and tests with real processes behind a
// fault-injecting proxy. It holds no product code.
package test
