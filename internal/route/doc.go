// Package route serves short requests. Each target has one home node, chosen by
// rendezvous hashing over the live nodes, which alone holds its connections and
// counts its slots. An entry node picks a home by the free slots that homes
// report and passes the request on once; the home picks its least loaded target.
package route
