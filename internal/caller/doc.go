// Package caller serves callers over HTTP and JSON: jobs, their states and
// answers, and short requests. Every error names its kind, says whether
// anything ran, and what to do next.
package caller
