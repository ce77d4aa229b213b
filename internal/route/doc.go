// Package route serves short requests. Each target has one home node, chosen by rendezvous
// hashing over the live nodes. Only the home node holds connections to the target and counts
// its slots. An entry node chooses a home node by the free slots that the home nodes report
// and passes the request on once. The home node sends it to its least loaded target.
package route
