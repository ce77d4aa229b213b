// Package trace merges the logs of several nodes into the story of one request,
// in words.
package trace
