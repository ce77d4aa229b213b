// Package test holds end-to-end tests of the scheduler's guarantees under failure. The fault matrix
// runs complete nodes in one process, on the fake clock of testing/synctest. The process tests run
// real node processes behind fault-injecting TCP proxies. The package contains no product code.
package test
