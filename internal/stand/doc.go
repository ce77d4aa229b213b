// Package stand holds small stand-ins of what the scheduler meets: the
// platform (transactional table, object store, lagging VM list) and the target
// workers. They speak the HTTP and JSON described in docs/PLATFORM.md.
//
// Each keeps its own record of what really happened, which checkers compare
// with what callers were told. They are for tests, the demo and trials only.
package stand
