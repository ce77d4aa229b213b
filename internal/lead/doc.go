// Package lead lets one of many equal nodes own the work: it elects the owner
// through one row of the store, and runs the owner.
//
// The row is rewritten by each of the owner's transactions and each is
// conditional on the version that the last one left. So an owner's writes form
// a chain: a transaction without an answer is sent again as it is, and either
// it takes effect once or the row tells that it already has. A takeover
// rewrites the row too, after which nothing of the owner before can be written.
//
// Accepted work lies in other parts of the store than that row, so that any node
// can add some while the owner's transactions follow one another.
//
// What an owner decides is stored before it is carried out: a start is sent
// only once the record of its run is durable, an end is acknowledged to the
// worker only then. A new owner therefore finds in the records every run that
// any worker may have.
package lead
