package leader

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"greengageline/internal/sched"
	"greengageline/pkg/model"
)

// roomGrace is how long after a worker's room has shrunk the owner may not know of it: the time in which a node
// counts as out of touch and one heartbeat of a worker, by the users' rules.
const roomGrace = 4500 * time.Millisecond

// setRoom changes the room of a worker that does not guard it, and checks from then on that no start brings
// the worker over a room that has shrunk longer than roomGrace ago.
func (m *fakeWorker) setRoom(room model.Room) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.room, m.unguarded, m.roomAt = room, true, m.sim.now()
}

// Guards against starts that bring a worker over its room after the room has shrunk under running work, also
// around a change of the owner and with starts on their way.
func TestShrunkRoomIsNotExceeded(t *testing.T) {
	small, large := model.Room{Millicores: 64000, MemoryMB: 256000, Accelerators: 2}, model.Room{Millicores: 64000, MemoryMB: 256000, Accelerators: 8}
	for name, during := range map[string]func(sim *simulation, nodes []*testNode){
		"calm": func(*simulation, []*testNode) {},
		"the owner dies": func(_ *simulation, nodes []*testNode) {
			ownerOf(nodes).kill()
		},
		"the owner resigns": func(_ *simulation, nodes []*testNode) {
			ownerOf(nodes).Resign(context.Background())
		},
		"the store is slow": func(sim *simulation, _ []*testNode) {
			sim.store.callTime.set(700 * time.Millisecond)
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				sim, nodes, stop := startSimulation(3, 3)
				defer stop()
				var ids []string
				submit := func(n int) {
					for range n {
						id := fmt.Sprintf("j%d", len(ids))
						ids = append(ids, id)
						sim.submit(id, "bulk", oneGPU(4))
					}
				}
				submit(12)
				time.Sleep(300 * time.Millisecond)
				for _, id := range []string{"w0", "w1"} {
					sim.worker(id).setRoom(small)
				}
				during(sim, nodes)
				for range 8 {
					time.Sleep(time.Second)
					submit(4)
				}
				for _, id := range []string{"w0", "w1"} {
					sim.worker(id).setRoom(large)
				}
				submit(8)
				sim.awaitCompleted(t, ids, 3*time.Minute)
				for _, v := range sim.violations {
					t.Error(v)
				}
				is.Equal(sim.state("j0"), sched.Completed)
			})
		})
	}
}
