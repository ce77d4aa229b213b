// Package client lets Go programs submit jobs and requests to greengageline.
//
// It tries the given entry nodes in turn. A job is safe to send again because
// its key makes the repeat the same request; a short request is sent again only
// when the answer says that it did not run.
package client
