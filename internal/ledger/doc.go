// Package ledger stores jobs in the platform's table. A job is accepted once its
// row and its idempotency key are durable in one transaction. Every later state is
// written on condition that the writer still owns the cell.
//
// Open and ended jobs have separate key prefixes, so that a new owner reads only
// the open ones. Keys: open/CELL/ID, done/CELL/ID, key/WORKSPACE/KEY.
package ledger
