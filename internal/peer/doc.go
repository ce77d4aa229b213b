// Package peer implements the communication between nodes: gRPC with CBOR messages. The domain
// types are sent with their own field tags and validated by their own checks, and no code is
// generated. A request is passed on at most once, with its deadline and its caller's ID. The
// package never retries a request.
package peer
