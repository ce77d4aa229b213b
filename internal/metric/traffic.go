package metric

import (
	"maps"
	"sync"
)

// Flow is the number of messages of a kind that a node has exchanged, with their bytes including headers.
type Flow struct{ Messages, Sent, Received int64 }

// Minus returns what was exchanged since o.
func (f Flow) Minus(o Flow) Flow {
	return Flow{f.Messages - o.Messages, f.Sent - o.Sent, f.Received - o.Received}
}

// Traffic counts what a node exchanges with the store, the workers and other nodes, by kind of message. The zero value is
// ready for use, and a nil Traffic counts nothing.
type Traffic struct {
	mu sync.Mutex
	// flows is guarded by mu.
	flows map[string]Flow
}

// Add counts a message of a kind and its answer, in bytes.
func (t *Traffic) Add(kind string, sent, received int) {
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.flows == nil {
		t.flows = map[string]Flow{}
	}
	f := t.flows[kind]
	t.flows[kind] = Flow{f.Messages + 1, f.Sent + int64(sent), f.Received + int64(received)}
}

// Flows returns what was exchanged until now, by kind.
func (t *Traffic) Flows() map[string]Flow {
	if t == nil {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return maps.Clone(t.flows)
}
