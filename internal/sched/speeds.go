package sched

import (
	"strconv"
	"time"

	"greengageline/internal/speed"
	"greengageline/pkg/model"
)

const (
	// maxReportGap is the longest time between two reports of a run between which it counts as undisturbed: the longest
	// hold, its answer and a pause. After a longer one the run may have been stopped meanwhile.
	maxReportGap = 3200 * time.Millisecond
	// minSampleTime and minSamplePercent are the least time and progress from which a speed is inferred. A report is
	// late by up to 20 ms, and percents are whole numbers.
	minSampleTime    = 150 * time.Millisecond
	minSamplePercent = 3
	// minEndPercent is the least part of the work that must lie between the first report of a run and its end.
	minEndPercent = 10
	// maxLookEstimate is the estimate up to which gangs are looked at early. The usual holds report about longer runs
	// twice before they end.
	maxLookEstimate = 4 * time.Second
	// lookDelay is how long after the last member's start a gang is looked at, lookPart the part of the estimate by
	// which that is done at the latest.
	lookDelay = 500 * time.Millisecond
	lookPart  = 0.25
	// minCompared is the number of workers of known speed that are looked at with those of a gang whose speed is open. If
	// these were compared only with each other, all could be slow and none would show.
	minCompared = 3
	// maxEvenLooks bounds the looks at a gang while no worker of the pool is known to differ.
	maxEvenLooks = 6
)

// pace is what the samples of a task's present run start from: its first report, or the first after a gap.
type pace struct {
	run     int64
	at      time.Duration
	percent int
	ok      bool
	resumed bool          // the run continues from a checkpoint, so that its start does not tell its progress
	cold    bool          // the run began on a cold worker
	last    time.Duration // when the last report came
}

// members tells when all members of a gang's run were there, since which they work.
type members struct {
	run      int64
	n        int
	complete bool
	spread   bool // they are on several racks
	at       time.Duration
}

// Look is a request to ask a worker for the progress of its runs after a time.
type Look struct {
	Worker string
	After  time.Duration
}

// TakeLooks returns the looks decided on since the last call. Each costs callers something, so they are few: only at
// workers whose speed is open, and at members of gangs with them.
func (e *Engine) TakeLooks() []Look {
	out := e.looks
	e.looks = nil
	return out
}

// describeSpeed passes the description of a worker on to the table of speeds. A worker that is only known from records
// has no pool.
func (e *Engine) describeSpeed(w *Worker) {
	if w.Pool != "" {
		e.Speeds.SetWorker(speed.Worker{ID: w.ID, VM: w.VM, Pool: w.Pool, Kind: w.Kind, Rack: w.Rack, StartedMs: w.StartedMs})
	}
}

// observeReport takes a sample from a report of a run. It must come before the report is applied to the task.
func (e *Engine) observeReport(ref TaskRef, j *Job, b *Batch, t *Task, percent int, now Moment) {
	step := &j.Work.Steps[ref.Step]
	if step.Lasts || step.Fills {
		return
	}
	p, w := &t.pace, e.workers[t.Worker]
	if p.run != t.Run {
		*p = pace{run: t.Run, resumed: t.Checkpoint != "" || step.Gang && b.Checkpoint != "", cold: w != nil && w.Cold}
		if step.Gang {
			e.noteMember(b, t.Run, step, now)
		}
	}
	gap := now.Steady - p.last
	p.last = now.Steady
	if !p.ok || gap > maxReportGap {
		p.ok, p.percent, p.at = percent > 0 || !p.resumed, percent, now.Steady
		return
	}
	if percent < completePercent {
		e.sampleRun(ref, j, b, t, percent, false, now)
	}
}

// observeEnd takes a sample from a run that ended as done. The members of a gang end with the slowest, so their ends
// tell nothing.
func (e *Engine) observeEnd(ref TaskRef, j *Job, b *Batch, t *Task, now Moment) {
	step := &j.Work.Steps[ref.Step]
	p := &t.pace
	if step.Lasts || step.Fills || step.Gang || p.run != t.Run || !p.ok || now.Steady-p.last > maxReportGap ||
		completePercent-p.percent < minEndPercent {
		return
	}
	e.sampleRun(ref, j, b, t, completePercent, true, now)
}

// sampleRun takes a sample of a run that has reached a percentage, unless it was disturbed.
func (e *Engine) sampleRun(ref TaskRef, j *Job, b *Batch, t *Task, percent int, ended bool, now Moment) {
	step := &j.Work.Steps[ref.Step]
	p, w := &t.pace, e.workers[t.Worker]
	from := p.at
	if step.Gang && p.percent == 0 {
		if b.members.run != t.Run || !b.members.complete {
			return
		}
		from = max(from, b.members.at)
	}
	ran, done := now.Steady-from, percent-p.percent
	if t.Stopping || w == nil || w.Silent || w.Cold || p.cold || ran < minSampleTime || done < minSamplePercent {
		return
	}
	// Tasks away from their data are compared with their like, and neither they nor a spread step with the estimate.
	away := step.DataRack != "" && w.Rack != step.DataRack
	spread := step.OneRack && step.Tasks > 1 && (!step.Gang || b.members.spread)
	estimate := time.Duration(step.EstimateMs) * time.Millisecond
	if away || spread {
		estimate = 0
	}
	e.Speeds.Observe(speed.Sample{
		Worker: t.Worker, Step: b.speedKey(ref, away || step.Gang && b.members.spread), Queue: j.Work.Queue.Name, Task: ref.Task,
		Estimate: estimate, Ran: ran, Percent: done, Ended: ended, At: now.Steady,
	})
}

// speedKey returns the name of the step for the table of speeds. Runs that are slower because of their racks have a name
// of their own, so that they are not compared with others of the step: a gang may start again on several racks.
func (b *Batch) speedKey(ref TaskRef, slower bool) string {
	i, suffix := 0, ""
	if slower {
		i, suffix = 1, "/away"
	}
	if b.speedKeys[i] == "" {
		b.speedKeys[i] = ref.Job + "." + strconv.Itoa(ref.Occurrence) + "." + strconv.Itoa(ref.Step) + suffix
	}
	return b.speedKeys[i]
}

// noteMember records that a member of a gang's run has been confirmed. When it is the last one, workers are looked at if
// that helps.
func (e *Engine) noteMember(b *Batch, run int64, step *model.Step, now Moment) {
	if b.members.run != run {
		b.members = members{run: run}
	}
	b.members.n++
	if b.members.n != len(b.Tasks) {
		return
	}
	b.members.complete, b.members.at = true, now.Steady
	rack, pool := "", ""
	for i := range b.Tasks {
		if w := e.workers[b.Tasks[i].Worker]; w != nil {
			b.members.spread = b.members.spread || rack != "" && w.Rack != rack
			rack, pool = w.Rack, w.Pool
		}
	}
	estimate := time.Duration(step.EstimateMs) * time.Millisecond
	if estimate <= 0 || estimate > maxLookEstimate {
		return
	}
	e.lookAtGang(b, pool, min(lookDelay, time.Duration(lookPart*float64(estimate))))
}

// lookAtGang requests looks at the workers of a gang whose speed is open, and at others to compare them with.
func (e *Engine) lookAtGang(b *Batch, pool string, after time.Duration) {
	first := len(e.looks)
	most := map[bool]int{true: len(b.Tasks), false: minCompared}
	if e.Speeds.Even(pool) {
		most[true] = maxEvenLooks
	}
	add := func(open bool) {
		begin := len(e.looks)
		for i := range b.Tasks {
			id := b.Tasks[i].Worker
			if e.Speeds.Wants(id) != open || len(e.looks)-begin >= most[open] {
				continue
			}
			known := false
			for _, l := range e.looks[first:] {
				known = known || l.Worker == id
			}
			if !known {
				e.looks = append(e.looks, Look{Worker: id, After: after})
			}
		}
	}
	if add(true); len(e.looks) > first {
		add(false)
	}
}
