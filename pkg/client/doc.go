// Package client lets Go programs submit jobs and requests to greengageline.
//
// The client tries the given entry nodes in turn and repeats a call whose outcome is not known.
// Resending a job is safe because the repeat carries the same key. A short request is resent in
// the same way, so it must be idempotent or carry a key.
package client
