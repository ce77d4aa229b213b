package node

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"greengageline/internal/peer"
	"greengageline/internal/setup"
	"greengageline/pkg/model"
)

// Pattern: heartbeats of very many nodes, with very many leaving VMs. Guards against a node that keeps all of these, and
// against one that forgets what it needs.
func TestHeartbeatsAreBounded(t *testing.T) {
	is := is.New(t)
	n := &Node{Settings: setup.Default(), Dial: func(addr string) *peer.Client { return &peer.Client{Addr: addr} }}
	n.mesh.node = n
	n.vms.replace([]model.VM{{ID: "w1"}, {ID: "w2"}})
	n.mesh.record(&peer.Beat{Node: "known", Addr: "known:1"})
	for i := range 3 * maxPeers {
		n.mesh.record(&peer.Beat{Node: "n", Addr: fmt.Sprintf("n%d:1", i)})
		n.vms.noteLeaving(fmt.Sprintf("x%d", i))
	}
	n.vms.noteLeaving("w2")
	is.Equal(len(n.mesh.peers), maxPeers)
	is.Equal(n.vms.leaving, map[string]bool{"w2": true})
	time.Sleep(time.Millisecond)
	before := n.mesh.peers["known:1"].lastBeatAt
	n.mesh.record(&peer.Beat{Node: "known", Addr: "known:1"})
	is.True(n.mesh.peers["known:1"].lastBeatAt.After(before)) // those that are known are still heard
	long := strings.Repeat("x", 1000)
	for name, b := range map[string]peer.Beat{
		"node": {Node: long, Addr: "a"}, "address": {Node: "n", Addr: long}, "zone": {Node: "n", Addr: "a", Zone: long},
		"cell": {Node: "n", Addr: "a", Cells: []peer.CellInfo{{Cell: long}}}, "leaving VM": {Node: "n", Addr: "a", Leaving: []string{long}},
	} {
		t.Run(name, func(t *testing.T) { is.New(t).True(b.Check() != nil) })
	}
}
