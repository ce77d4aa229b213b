package guard

import (
	"cmp"
	"time"

	"greengageline/internal/event"
)

// reportInterval is the least time between two log lines on clients that were refused.
const reportInterval = 10 * time.Second

// Ports is what bounds the clients on all ports of a process. It must not be copied.
type Ports struct {
	Counters Counters
	Bodies   Budget
	// Replies bounds the replies that may be large.
	Replies Budget
	Peers   Peers
	// Owns reports whether the process owns the work, whose state needs memory; nil means never. It must be set before
	// the first request.
	Owns func() bool

	// reported and reportedAt belong to the goroutine that calls Tick.
	reported   [4]int64
	reportedAt time.Time
}

// Largest is the size of the largest requests and replies of a program.
type Largest struct {
	Body, Reply int
	// PerByte is how many bytes of memory a byte of a body takes until its request has ended; 0 means 2.
	PerByte int64
}

// NewPorts returns the bounds that follow from l. In any case there is room for two of the largest bodies and two of the
// largest replies.
func NewPorts(l Limits, largest Largest) *Ports {
	p := &Ports{}
	p.Bodies.PerByte = cmp.Or(largest.PerByte, heldPerByte)
	least := roomForTwo(largest.Body, p.Bodies.PerByte)
	replies := max(roomForTwo(largest.Reply, heldPerByte), l.Replies())
	p.Replies.Counters, p.Replies.Size = &p.Counters, func() int64 { return replies }
	owned, others := max(least, l.Bodies(true)), max(least, l.Bodies(false))
	p.Bodies.Counters, p.Peers.Counters, p.Peers.Bytes = &p.Counters, &p.Counters, l.PeerBytes()
	p.Bodies.Size = func() int64 {
		if p.Owns != nil && p.Owns() {
			return owned
		}
		return others
	}
	return p
}

func roomForTwo(n int, perByte int64) int64 {
	return int64(2 * float64(perByte) * float64(n) / largeShare)
}

// Held returns the bytes that bodies, large replies and unfinished messages hold.
func (p *Ports) Held() int64 { return p.Bodies.Held() + p.Replies.Held() + p.Peers.Held() }

// Tick closes the connections of slow nodes and logs the clients that were refused since the last line, at most every 10
// seconds. It must be called every few seconds, by one goroutine.
func (p *Ports) Tick(log *event.Log) {
	p.Peers.CloseSlow()
	c := &p.Counters
	now := [4]int64{c.TooLarge.Load(), c.NoMemory.Load(), c.Stalled.Load(), c.Crowded.Load()}
	if now == p.reported || time.Since(p.reportedAt) < reportInterval {
		return
	}
	log.Emit(event.ClientsRefused).Int64("too_large", now[0]-p.reported[0]).Int64("no_memory", now[1]-p.reported[1]).
		Int64("stalled", now[2]-p.reported[2]).Int64("crowded", now[3]-p.reported[3]).Int64("held_bytes", p.Held()).Send()
	p.reported, p.reportedAt = now, time.Now()
}
