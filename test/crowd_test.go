package test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"greengageline/internal/fakes"
)

// Limits of a node by its default settings: MB of memory and descriptors.
const (
	crowdMemoryMB = 256
	crowdMaxFds   = 1024
)

// Guards against clients outside the limits that end a node by its memory or take all of its descriptors.
func TestCrowds(t *testing.T) {
	const mega = 1 << 20
	post := func(path string, length int, body string) []byte {
		return fmt.Appendf(nil, "POST %s HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", path, length, body)
	}
	edits := `{"edits":[` + strings.Repeat("{},", 85_000) + `{}]}`
	// A heartbeat in CBOR that lists 131,000 empty cells.
	beat := fmt.Sprintf("\xa1\x65cells\x9a\x00\x01\xff\xb8%s", strings.Repeat("\xa0", 0x1ffb8))
	for name, c := range map[string]struct {
		peer  bool // the crowd comes to the nodes' own port
		crowd fakes.Crowd
	}{
		"sent but for the last byte": {false, fakes.Crowd{Conns: 300, Send: post("/v1/jobs", 2*mega, strings.Repeat("x", 2*mega-1))}},
		"many empty edits":           {false, fakes.Crowd{Conns: 300, Send: post("/v1/config", len(edits), edits)}},
		"silent connections":         {false, fakes.Crowd{Conns: 1400}},
		"nodes' port, unfinished":    {true, fakes.Crowd{Conns: 6, Method: "/greengageline.Peer/Beat", Message: make([]byte, mega-1), Calls: 100, SendLimit: 90 * mega}},
		"nodes' port, empty cells":   {true, fakes.Crowd{Conns: 60, Method: "/greengageline.Peer/Beat", Message: []byte(beat), Calls: 30}},
		"nodes' port, silence":       {true, fakes.Crowd{Conns: 1400}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			cluster := newProcessCluster(t, 1, 4)
			n := cluster.nodes[0]
			c.crowd.Addr = n.listen
			if c.peer {
				c.crowd.Addr = n.peer
			}
			use := c.crowd.Run(n.cmd.Process.Pid)
			is.NoErr(use.Err) // the process lives
			t.Logf("at most %d MB and %d descriptors", use.MB, use.Descriptors)
			if use.MB > crowdMemoryMB || use.Descriptors > crowdMaxFds {
				t.Errorf("the node used %d MB and %d descriptors, want at most %d and %d", use.MB, use.Descriptors, crowdMemoryMB, crowdMaxFds)
			}
			cluster.await("an answer to an ordinary request", 20*time.Second, func() bool {
				return cluster.client.Do(t.Context(), http.MethodGet, "/v1/status", nil, nil) == nil
			})
		})
	}
}
