// Package edge is one of the equal nodes between callers and workers: it keeps
// the newest plan, accepts and cancels work by writing it to the store itself,
// and answers for the state of work by asking the owner.
//
// A node that can't show that its plan is recent serves no caller, since a key
// may have been taken away meanwhile. It knows nothing of how callers speak.
package edge
