// Package fakes provides fakes of the systems that the scheduler uses: the
// platform (transactional table, object store, lagging VM list) and the target
// workers. They implement the HTTP and JSON interfaces described in docs/PLATFORM.md.
//
// Each fake records what actually happened, so that test checkers can compare it
// with what callers were told. The fakes are for tests, the demo and trials only.
package fakes
