// Package object is the client of the platform's object store, which holds answers
// that are too large for a row of the table.
package object
