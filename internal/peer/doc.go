// Package peer is how the nodes talk to each other: gRPC with CBOR messages,
// so that the domain types travel with their own tags and checks and no code is
// generated. A request is passed on at most once, with its deadline and its
// caller's id; nothing here repeats a request.
package peer
