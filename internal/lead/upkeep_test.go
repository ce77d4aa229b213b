package lead

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"greengageline/internal/clock"
	"greengageline/internal/upkeep"
)

// A wave goes on over a change of owner: never too many VMs are down, none goes
// down with runs, no two owners give orders for one VM in turn, and all jobs end.
func TestWaveOfUpkeepGoesOnOverAChangeOfOwner(t *testing.T) {
	cases := map[string]func(n *node){
		"the same owner all along": func(*node) {},
		"the owner dies":           (*node).kill,
		"the owner resigns":        func(n *node) { n.Resign(context.Background()) },
	}
	for name, during := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w, nodes, stop := begin(6, 3)
				defer stop()
				ids := w.submitAll(9)
				time.Sleep(300 * time.Millisecond)
				w.mu.Lock()
				w.wave = &upkeep.Wave{Number: 1, VMs: []string{"w0", "w1", "w2", "w3"}, AtOnce: 2, Term: 30 * time.Second}
				w.mu.Unlock()
				from := w.now()
				for w.orders() < 3 && w.now()-from < 30*time.Second { // the third gets no answer
					time.Sleep(10 * time.Millisecond)
				}
				during(owner(nodes))
				for n := 0; w.told() != "true" && w.now()-from < 30*time.Second; n++ {
					time.Sleep(50 * time.Millisecond)
					id := fmt.Sprintf("k%d", n)
					ids = append(ids, id)
					w.submit(id, "bulk", oneGPU(1+n%3)) // work comes all the while
				}
				is.Equal(w.told(), "true")
				w.mu.Lock()
				is.Equal(len(w.inUpkeep), 4)
				w.mu.Unlock()
				w.await(t, ids, time.Minute)
				is.Equal(w.faults, nil)
			})
		})
	}
}

func (w *world) orders() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.ordered
}

// told is what the operator reads of wave 1.
func (w *world) told() string {
	row, err := w.store.view("test").Get(context.Background(), "status", "", "1")
	if err != nil {
		return err.Error()
	}
	return string(row.Value)
}

const (
	upkeepTime = 2 * time.Second
	vmTurn     = 3 * time.Second
)

// site returns the platform's service for VMs; a VM has the name of its worker,
// which starts anew with a further letter. Each third order is lost, and the
// answer of each fourth.
func (w *world) site() *upkeep.Site {
	return &upkeep.Site{
		Waves: func(context.Context) ([]upkeep.Wave, error) {
			w.mu.Lock()
			defer w.mu.Unlock()
			if w.wave == nil {
				return nil, nil
			}
			return []upkeep.Wave{*w.wave}, nil
		},
		VMs: func(context.Context) ([]upkeep.VM, error) {
			w.mu.Lock()
			defer w.mu.Unlock()
			var out []upkeep.VM
			for id, m := range w.workers {
				down := w.inUpkeep[id[:2]] > w.now()
				if !m.gone.get() || down && len(id) == 2 {
					out = append(out, upkeep.VM{ID: id[:2], Up: !down, Down: down, Worker: id})
				}
			}
			return out, nil
		},
		Begin: func(ctx context.Context, vm string, _ int64, name string, epoch int64) error {
			clock.Sleep(ctx, travel)
			w.mu.Lock()
			w.ordered++
			n := w.ordered
			w.mu.Unlock()
			w.beginUpkeep(vm, holder{name, epoch, w.now()}, n%3 == 0)
			if n%3 == 0 || n%4 == 0 {
				<-ctx.Done()
				return upkeep.ErrUnclear
			}
			return nil
		},
		Report: func(wave int64, completed bool) (string, string, []byte) {
			return "status", fmt.Sprint(wave), []byte(fmt.Sprint(completed))
		},
	}
}

// beginUpkeep notes an order for a VM and, unless it is lost, carries it out.
func (w *world) beginUpkeep(vm string, by holder, lost bool) {
	m := w.worker(vm)
	w.atWork.Lock()
	w.mu.Lock()
	last, down := w.holders[vm], 0
	for _, until := range w.inUpkeep {
		if until > w.now() {
			down++
		}
	}
	_, done := w.inUpkeep[vm]
	running := len(m.runs)
	atOnce := w.wave.AtOnce
	w.holders[vm] = by
	if !done && !lost {
		w.inUpkeep[vm] = w.now() + upkeepTime
	}
	w.mu.Unlock()
	w.atWork.Unlock()
	if last.name != "" && last.name != by.name && by.at-last.at < vmTurn {
		w.fault("%s and %s take turns at %s", last.name, by.name, vm)
	}
	if done || lost {
		return
	}
	if down >= atOnce {
		w.fault("%s goes down as number %d", vm, down+1)
	}
	if running > 0 {
		w.fault("%s goes down with %d runs", vm, running)
	}
	m.mu.Lock()
	m.gone.set(true)
	m.mu.Unlock()
	time.AfterFunc(upkeepTime, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.addWorker(vm+"x", 2, m.takes.get())
	})
}
