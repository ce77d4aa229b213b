// Package event writes the numbered log events of a node.
//
// Every log line that operators may search for or alert on has a number, a name
// and a fixed level in Catalogue. docs/EVENTS.md lists the same entries.
package event
