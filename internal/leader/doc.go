// Package leader elects one of many equal nodes as the owner of all jobs, through one row of the store, and
// runs the owner: it schedules tasks, orders workers to start and stop runs, and keeps their leases.
//
// Every transaction of the owner rewrites the ownership row, on condition that the row still has the
// version that the previous transaction left. The owner's writes therefore form a chain. A transaction
// without an answer is sent again unchanged: either it takes effect once, or the row shows that an earlier
// attempt already did. A takeover also rewrites the row, after which the previous owner can write nothing.
//
// Accepted jobs are stored in other parts of the store than the ownership row, so that any node can add
// jobs while the owner's transactions follow one another.
//
// The owner stores a decision before it acts on it. A start is sent only once the record of its run is
// durable, and the end of a run is acknowledged to the worker only once it is durable. A new owner
// therefore finds a record of every run that any worker may have.
package leader
