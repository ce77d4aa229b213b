package guard

import (
	"math"
	"runtime/debug"
)

// Limits are what a process may use, from which all bounds for clients follow.
type Limits struct {
	MemoryMB, MaxFds int
}

const (
	// defaultMemoryMB and defaultMaxFds stand for limits that are not given.
	defaultMemoryMB = 256
	defaultMaxFds   = 1024

	// bodyPart is the part of the memory for bodies, and ownerPart what is left of that on a node that owns the work,
	// whose own state grows with the number of jobs and workers.
	bodyPart  = 1.0 / 8
	ownerPart = 0.5
	// replyPart is the part of the memory for replies that may be large.
	replyPart = 1.0 / 8
	// connPart is the part of the memory for connections of callers, each of which takes connBytes: two buffers of 4 KB,
	// a goroutine and the request's header.
	connPart  = 1.0 / 8
	connBytes = 24 << 10
	// peerPart is the part of the memory for unfinished messages of nodes, and peerConnPart that for their connections,
	// each of which takes peerConnBytes: two buffers of 32 KB and three goroutines.
	peerPart      = 1.0 / 16
	peerConnPart  = 1.0 / 8
	peerConnBytes = 80 << 10
	// callerFds and peerFds are the parts of the descriptors for the connections of callers and of nodes. The others are
	// for the store and the workers.
	callerFds = 1.0 / 4
	peerFds   = 1.0 / 8
	// carriedFds is the part of the descriptors for the workers to which a node carries orders of others.
	carriedFds = 1.0 / 4
	// ReadinessConns bounds the connections to readiness and metrics.
	ReadinessConns = 48
	// statePart is the part of the memory for the state of the jobs that an owner knows, and minState the least, which has
	// room for two of the largest jobs. A heap that is collected once it has grown by half takes half as much again.
	statePart = 1.0 / 4
	minState  = 16 << 20
	// heapPart is the part of the memory that the runtime may take before garbage is collected more often, and
	// programBytes is at least left for the pages of the program itself, which the runtime does not count.
	heapPart     = 0.85
	programBytes = 28 << 20
	minHeap      = 32 << 20
)

func (l Limits) memory() float64 {
	if l.MemoryMB <= 0 {
		l.MemoryMB = defaultMemoryMB
	}
	return float64(l.MemoryMB << 20)
}

func (l Limits) fds() float64 {
	if l.MaxFds <= 0 {
		return defaultMaxFds
	}
	return float64(l.MaxFds)
}

// Bodies returns the bytes that bodies of callers may hold together.
func (l Limits) Bodies(owner bool) int64 {
	if owner {
		return int64(l.memory() * bodyPart * ownerPart)
	}
	return int64(l.memory() * bodyPart)
}

// Replies returns the bytes that replies which may be large may hold together.
func (l Limits) Replies() int64 { return int64(l.memory() * replyPart) }

// CallerConns returns the most connections of callers.
func (l Limits) CallerConns() int {
	return int(math.Min(l.fds()*callerFds, l.memory()*connPart/connBytes))
}

// PeerConns returns the most connections of other nodes.
func (l Limits) PeerConns() int {
	return int(math.Min(l.fds()*peerFds, l.memory()*peerConnPart/peerConnBytes))
}

// CarriedOrders returns the most orders of other nodes that a node may have in hand, each of which may take a connection.
func (l Limits) CarriedOrders() int { return max(1, int(l.fds()*carriedFds)) }

// PeerBytes returns the bytes of unfinished messages that other nodes may have in this one.
func (l Limits) PeerBytes() int64 { return int64(l.memory() * peerPart) }

// State returns the bytes that the state of an owner's jobs may take.
func (l Limits) State() int64 { return max(minState, int64(l.memory()*statePart)) }

// heap returns the bytes that the runtime may take before garbage is collected more often.
func (l Limits) heap() int64 {
	return max(minHeap, int64(math.Min(l.memory()*heapPart, l.memory()-programBytes)))
}

// Apply makes the runtime collect garbage more often when the heap comes near the limit. It does nothing if no memory is given.
func (l Limits) Apply() {
	if l.MemoryMB > 0 {
		debug.SetMemoryLimit(l.heap())
	}
}
