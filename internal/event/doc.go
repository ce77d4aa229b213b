// Package event writes the numbered log events of a node.
//
// Every line that an operator may search for or alarm on has a number, a name
// and a fixed level in the catalogue below, which docs/EVENTS.md lists.
package event
