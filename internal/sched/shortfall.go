package sched

import (
	"cmp"
	"slices"

	"github.com/samber/lo"

	"greengageline/pkg/model"
)

// Shortfall tells that something of a workspace no longer fits in the zones that are not evacuated.
type Shortfall struct {
	Workspace string
	// Gang is set for gangs that could not start even if nothing else ran, and not for the workspace's guarantee.
	Gang bool
	// Accelerators is what the guarantee, or the largest of the gangs, needs, and Fits the part of it that fits.
	Accelerators, Fits int
	// Gangs is the number of gangs.
	Gangs int
}

// SameCondition reports whether x tells of the same condition: of the same guarantee in the same zones, or of gangs of the
// same workspace, which come and go.
func (f Shortfall) SameCondition(x Shortfall) bool {
	return f.Workspace == x.Workspace && f.Gang == x.Gang && (f.Gang || f == x)
}

// gangShape is what decides whether a gang fits on a pool where nothing else runs.
type gangShape struct {
	pool, label      string
	need             model.Room
	tasks, perWorker int
}

// Shortfalls returns what no longer fits in the zones that are not evacuated but would with those that are, ordered by
// workspace. It returns none while no zone is evacuated. Where the guarantees together do not fit, each of them has its
// proportional part of the remaining accelerators.
func (e *Engine) Shortfalls() []Shortfall {
	var left, all int
	for _, w := range e.sortedWorkers {
		if !w.exists() {
			continue
		}
		all += w.Room.Accelerators
		if w.EvacuateBy == 0 {
			left += w.Room.Accelerators
		}
	}
	if left == all {
		return nil
	}
	var out []Shortfall
	total := lo.SumBy(e.plan.Spaces, func(s model.PlanSpace) int { return s.Guaranteed })
	for _, s := range e.plan.Spaces {
		if total > left && s.Guaranteed > 0 {
			out = append(out, Shortfall{Workspace: s.Name, Accelerators: s.Guaranteed, Fits: left * s.Guaranteed / total})
		}
	}
	out = append(out, e.gangShortfalls()...)
	slices.SortFunc(out, func(a, b Shortfall) int {
		return cmp.Or(cmp.Compare(a.Workspace, b.Workspace), cmp.Compare(lo.Ternary(a.Gang, 1, 0), lo.Ternary(b.Gang, 1, 0)))
	})
	return out
}

// gangShortfalls returns, for each workspace that has some, the gangs that only fit with the evacuated zones.
func (e *Engine) gangShortfalls() []Shortfall {
	fits := map[gangShape]int{}
	found := map[string]*Shortfall{}
	for _, j := range e.openJobs {
		for k := range j.Batches {
			for s := range j.Batches[k] {
				step, b := &j.Work.Steps[s], &j.Batches[k][s]
				if step.Gang && b.ended < len(b.Tasks) {
					e.addGangShortfall(found, fits, j, step)
				}
			}
		}
	}
	return lo.Map(lo.Values(found), func(f *Shortfall, _ int) Shortfall { return *f })
}

// addGangShortfall adds a gang to those of its workspace, by name, if it only fits with the evacuated zones. Fits has the
// results of membersThatFit.
func (e *Engine) addGangShortfall(found map[string]*Shortfall, fits map[gangShape]int, j *Job, step *model.Step) {
	key := gangShape{e.queue(j).Pool, step.Label, step.Need(), step.Tasks, step.PerWorker}
	n, known := fits[key]
	if !known {
		n = e.membersThatFit(key)
		fits[key] = n
	}
	if n >= step.Tasks {
		return
	}
	f := found[j.Work.Workspace]
	if f == nil {
		f = &Shortfall{Workspace: j.Work.Workspace, Gang: true}
		found[j.Work.Workspace] = f
	}
	f.Gangs++
	if need := step.Tasks * step.Each.Accelerators; need > f.Accelerators {
		f.Accelerators, f.Fits = need, n*step.Each.Accelerators
	}
}

// membersThatFit returns how many members of a gang fit in the zones that are not evacuated if nothing else runs. It
// returns all of them if the gang would not fit with the other zones either.
func (e *Engine) membersThatFit(g gangShape) int {
	limit := g.tasks
	if g.perWorker > 0 {
		limit = min(limit, g.perWorker)
	}
	left, evacuated := 0, 0
	for _, w := range e.sortedWorkers {
		if w.Pool != g.pool || !w.exists() || g.label != "" && !slices.Contains(w.Labels, g.label) {
			continue
		}
		if n := w.Room.Times(g.need, limit); w.EvacuateBy == 0 {
			left += n
		} else {
			evacuated += n
		}
	}
	if left < g.tasks && left+evacuated >= g.tasks {
		return left
	}
	return g.tasks
}
