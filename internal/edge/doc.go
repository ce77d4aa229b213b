// Package edge implements an edge node: one of several equal nodes between callers and
// workers. A node follows the newest plan, accepts and cancels jobs by writing them to the
// store itself, and answers state queries by asking the owner, or from the store if the owner
// does not answer.
//
// A node whose plan is not known to be recent does not serve callers by its own plan, because
// an API key may have been revoked meanwhile. It passes the call to the owner, which checks
// the key. The package does not depend on the protocol that callers use.
package edge
