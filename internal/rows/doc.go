// Package rows describes the store for state that must outlive a process: versioned rows in tables,
// conditional transactions, and a feed of changes. It has only the types and the interface; an adapter
// fills in Store.
package rows
