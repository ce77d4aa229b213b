package peer

import (
	"context"

	"google.golang.org/grpc/stats"
)

// traffic is a gRPC stats handler that reports the bytes of each message; nil reports nothing.
type traffic func(sent, received int)

// TagRPC implements stats.Handler.
func (traffic) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context { return ctx }

// HandleRPC implements stats.Handler.
func (t traffic) HandleRPC(_ context.Context, s stats.RPCStats) {
	if t == nil {
		return
	}
	switch p := s.(type) {
	case *stats.OutPayload:
		t(p.WireLength, 0)
	case *stats.InPayload:
		t(0, p.WireLength)
	}
}

// TagConn implements stats.Handler.
func (traffic) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context { return ctx }

// HandleConn implements stats.Handler.
func (traffic) HandleConn(context.Context, stats.ConnStats) {}
