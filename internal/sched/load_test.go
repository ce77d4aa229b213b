package sched

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"greengageline/pkg/model"
)

func spaces(n, each int) []model.PlanSpace {
	var out []model.PlanSpace
	for i := range n {
		out = append(out, model.PlanSpace{Name: fmt.Sprintf("ws%d", i), Guaranteed: each})
	}
	return out
}

func queue(name string, priority, attempts int, stretch float64, aimMs int64) model.Queue {
	return model.Queue{Name: name, Pool: "p", Priority: priority, Attempts: attempts, Stretch: stretch, AimMs: aimMs}
}

// engrave is a pool of 48 workers under three kinds of jobs: large gangs,
// short urgent gangs and wide bundles of single tasks.
func engrave() load {
	return load{
		name: "engrave", workers: 48, rack: 8, stop: 400 * time.Millisecond, factor: 3, slowBy: 6,
		room:   model.Room{Millicores: 64000, MemoryMB: 262144, Accelerators: 8},
		spaces: spaces(4, 59),
		kinds: []kind{
			{
				queue: queue("large", 1, 2, 3, 1000), perS: 0.55, width: 5, most: 30, gpus: []int{1, 2, 4, 8, 8},
				each: model.Room{Millicores: 26000, MemoryMB: 75000}, ms: 11000, gang: true, oneRack: 0.6, saves: 0.45,
				steps: 1, fails: 0.005, worth: 3, lateness: 0.5,
			},
			{
				queue: queue("urgent", 0, 4, 1.5, 250), perS: 2.1, width: 3.4, most: 21, gpus: []int{1, 2, 4, 8, 8},
				each: model.Room{Millicores: 7500, MemoryMB: 39000}, ms: 2500, gang: true, oneRack: 0.8,
				steps: 1, fails: 0.02, worth: 4, lateness: 0.2,
			},
			{
				queue: queue("bundle", 2, 2, 3, 3000), perS: 0.81, width: 16, most: 94, gpus: []int{1},
				each: model.Room{Millicores: 5600, MemoryMB: 16000}, ms: 6100, saves: 0.45,
				steps: 1.3, fails: 0.02, worth: 1, lateness: 0.5,
			},
		},
	}
}

// visits is the pool of the turning visits: wider racks' worth of cores, and
// late work that is worth little.
func visits() load {
	l := engrave()
	l.name, l.rack, l.stop = "visits", 6, 900*time.Millisecond
	l.room.Millicores = 128000
	l.kinds[0].perS, l.kinds[0].width, l.kinds[0].ms, l.kinds[0].lateness = 0.95, 4, 8500, 0.1
	l.kinds[0].each = model.Room{Millicores: 52000, MemoryMB: 105000}
	l.kinds[1].perS, l.kinds[1].width = 2.65, 3
	l.kinds[1].each = model.Room{Millicores: 15000, MemoryMB: 44000}
	l.kinds[2].perS, l.kinds[2].width, l.kinds[2].ms, l.kinds[2].lateness = 0.93, 12, 7600, 0.1
	l.kinds[2].each = model.Room{Millicores: 11000, MemoryMB: 23000}
	return l
}

// grown is the first pool with seven times the workers and traffic.
func grown() load {
	l := engrave()
	l.name, l.workers, l.spaces = "grown", 350, spaces(10, 170)
	for i := range l.kinds {
		l.kinds[i].perS *= 3.5
		l.kinds[i].width *= 2
		l.kinds[i].most *= 2
	}
	return l
}

func (l load) with(f func(*load)) load {
	f(&l)
	return l
}

const (
	trafficSpan = 40 * time.Second
	settleSpan  = 200 * time.Second
)

// loads are the patterns that days of high load show.
func loads() map[string]load {
	urgent := burst{kind: 1, from: 5 * time.Second, to: 11 * time.Second, x: 2.3}
	return map[string]load{
		"calm":         engrave().with(func(l *load) { halve(l) }),
		"high":         engrave(),
		"urgent burst": engrave().with(func(l *load) { l.bursts = []burst{urgent} }),
		"large burst": engrave().with(func(l *load) {
			l.bursts = []burst{{kind: 0, from: 5 * time.Second, to: 9 * time.Second, x: 2.6}}
		}),
		"bundle burst": engrave().with(func(l *load) {
			l.bursts = []burst{{kind: 2, from: 5 * time.Second, to: 9 * time.Second, x: 2.6}, urgent}
		}),
		"failing workers": engrave().with(func(l *load) {
			l.bad, l.faultFrom, l.faultFor = []int{3, 9, 17, 30}, 5*time.Second, 7*time.Second
		}),
		"hung workers": engrave().with(func(l *load) {
			l.hung, l.faultFrom, l.faultFor = []int{3, 9, 17, 30}, 5*time.Second, 6*time.Second
		}),
		"slow workers": engrave().with(func(l *load) {
			l.slow, l.faultFrom, l.faultFor = []int{1, 2, 12, 13, 25, 26, 40, 41}, 5*time.Second, 7*time.Second
		}),
		"advised": engrave().with(func(l *load) { advised(l, 0.5, 3000) }),
		"advised, tickets for half a second": engrave().with(func(l *load) {
			advised(l, 0.6, 500)
			l.bursts = []burst{urgent}
		}),
		"advised, every third question is lost": engrave().with(func(l *load) {
			advised(l, 0.5, 3000)
			l.failAdvice = 3
		}),
		"visits":       visits(),
		"visits burst": visits().with(func(l *load) { l.bursts = []burst{urgent} }),
	}
}

func advised(l *load, allowed, validMs float64) {
	l.advice, l.allowed = &model.Advice{DecideMs: 20, EachMs: 0.5, ValidMs: validMs}, allowed
}

func halve(l *load) {
	kinds := make([]kind, len(l.kinds))
	for i, k := range l.kinds {
		k.perS /= 2
		kinds[i] = k
	}
	l.kinds = kinds
}

func TestLoadsKeepTheRules(t *testing.T) {
	for name, l := range loads() {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			for seed := range uint64(4) {
				s := newSim(l, seed)
				s.run(trafficSpan, settleSpan)
				for _, f := range s.faults {
					t.Errorf("seed %d: %s", seed, f)
				}
				for id, j := range s.jobs {
					if j.Open() {
						t.Errorf("seed %d: job %s has not ended", seed, id)
					}
				}
				is.True(s.owed > 0)
			}
		})
	}
}

// wastePrice weighs a core-second thrown away against worth, as the users do.
const wastePrice = 0.0016

// BenchmarkPolicy reports what share of the worth is earned under each load.
func BenchmarkPolicy(b *testing.B) {
	for name, l := range loads() {
		b.Run(name, func(b *testing.B) { policy(b, l) })
	}
}

func policy(b *testing.B, l load) {
	var owed, earned, lost float64
	kinds := make([]float64, len(l.kinds))
	lostKinds := make([]float64, len(l.kinds))
	owedKinds := make([]float64, len(l.kinds))
	for n := range b.N {
		for seed := range uint64(6) {
			s := newSim(l, seed+uint64(n)*100)
			s.run(trafficSpan, settleSpan)
			owed += s.owed
			earned += s.earned
			lost += s.lost
			for i := range kinds {
				lostKinds[i] += s.lostKind[i]
				kinds[i] += s.byKind[i]
				owedKinds[i] += s.owedKind[i]
			}
		}
	}
	b.ReportMetric(earned/owed, "earned")
	b.ReportMetric(lost*wastePrice/owed, "lost/owed")
	for i := range kinds {
		b.ReportMetric(kinds[i]/owedKinds[i], l.kinds[i].queue.Name)
		b.ReportMetric(lostKinds[i]*wastePrice/owed, "lost-"+l.kinds[i].queue.Name)
	}
}

// BenchmarkPass reports the cost of a pass under the grown load.
func BenchmarkPass(b *testing.B) {
	for range b.N {
		s := newSim(grown().with(func(l *load) {
			l.bursts = []burst{{kind: 1, to: 10 * time.Second, x: 2.3}, {kind: 2, to: 10 * time.Second, x: 2}}
		}), 1)
		s.run(20*time.Second, 40*time.Second)
		b.ReportMetric(float64(s.passTime.Microseconds())/float64(s.passes), "us/pass")
		b.ReportMetric(float64(s.passes), "passes")
		b.ReportMetric(s.passTime.Seconds(), "s-in-passes")
	}
}
