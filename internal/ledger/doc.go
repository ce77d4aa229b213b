// Package ledger keeps jobs in the platform's table: a job is accepted once its
// row and its idempotency key are durable in one transaction, and every later
// step is written on the condition that the writer still owns the cell.
//
// Open jobs and ended ones have separate prefixes, so that a new owner reads
// only what is open. Keys: open/CELL/ID, done/CELL/ID, key/WORKSPACE/KEY.
package ledger
