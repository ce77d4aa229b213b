// Package rows describes the store that keeps what must outlive a process:
// rows with versions in tables, transactions under conditions, and a feed of
// changes. It holds the types and the seam only; an adapter fills in Store.
package rows
