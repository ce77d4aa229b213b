// Package jobapi serves the HTTP and JSON interface for callers: jobs, their
// states and answers, and short requests. Each error reply gives the kind of error,
// whether the request may have had an effect, and what to do next.
package jobapi
