package cell

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"greengageline/internal/event"
	"greengageline/internal/ledger"
	"greengageline/internal/place"
	"greengageline/pkg/model"
)

const (
	savePauseMin = 50 * time.Millisecond
	savePauseMax = 2 * time.Second
	// answerAttempts bounds the attempts to copy a large answer from its worker to the
	// object store.
	answerAttempts = 60
)

// save writes the next state of a job. It repeats writes that certainly did not take
// effect until limit has passed, or until the owner ends if limit is 0.
func (o *Owner) save(e ledger.Entry, job model.Job, limit time.Duration) (ledger.Entry, error) {
	started := time.Now()
	for pause := savePauseMin; ; pause = min(2*pause, savePauseMax) {
		next, err := o.host.Ledger.Save(o.ctx, o.fence, e, job)
		if err == nil {
			return next, nil
		}
		if errors.Is(err, ledger.ErrFenced) {
			o.fenced.Store(true)
			return e, err
		}
		if !errors.Is(err, ledger.ErrUnavailable) || (limit > 0 && time.Since(started) > limit) {
			return e, err
		}
		if !sleep(o.ctx, pause/2+rand.N(pause/2)) {
			return e, err
		}
	}
}

// complete fetches the job's answer and ends the job as done. The engine frees the
// job's accelerators at once; the workers keep their results until the end is durable
// and acknowledged.
func (o *Owner) complete(j *openJob) {
	o.host.runHook(StepFinish, j.job().ID)
	o.meterStart(j)
	first := j.members[0]
	j.phase = phaseEnding
	o.stepEngine(place.Ended{ID: j.job().ID, Outcome: place.Finished})
	entry, ref := j.entry, j.ref()
	o.spawn(func() {
		job, err := o.fetchAnswer(entry.Job, first, ref)
		if err != nil {
			o.post(answerUnavailable{ref.Job, ref.Attempt, err})
			return
		}
		o.writeEnd(entry, job.WithState(model.Done, nowMs(), "all tasks ended well"))
	})
}

// fetchAnswer returns the job with its complete, verified answer, which it stores in
// the job's row if it is small, else in the object store.
func (o *Owner) fetchAnswer(job model.Job, first member, ref model.TaskRef) (model.Job, error) {
	if first.answer == nil {
		return job.WithAnswer(model.NewAnswer(nil)), nil
	}
	if first.answer.Length <= model.MaxInline && first.answer.Verify(first.answer.Inline) {
		return job.WithAnswer(*first.answer), nil
	}
	var err error
	for i := 0; i < answerAttempts; i++ {
		o.host.runHook(StepAnswer, job.ID)
		if err = o.copyAnswer(job.ID, first, ref); err == nil {
			return job.WithAnswer(first.answer.WithObject(job.ID)), nil
		}
		if !sleep(o.ctx, time.Second/2+rand.N(time.Second/2)) {
			return job, err
		}
	}
	return job, err
}

var errAnswerMismatch = errors.New("answer does not match its length and checksum")

func (o *Owner) copyAnswer(name string, first member, ref model.TaskRef) error {
	data, err := o.host.Workers.Answer(o.ctx, first.Addr, ref)
	if err != nil {
		return err
	}
	if !first.answer.Verify(data) {
		return errAnswerMismatch
	}
	if err := o.host.Objects.Put(o.ctx, name, data); err != nil {
		o.host.Log.Emit(event.ObjectDown).Str("cell", o.cell).Str("job", name).Err(err).Send()
		return err
	}
	return nil
}

// answerUnavailable reports that the answer of a completed job could not be fetched.
type answerUnavailable struct {
	job     string
	attempt int
	err     error
}

func (m answerUnavailable) apply(o *Owner) {
	j := o.currentAttempt(m.job, m.attempt)
	if j == nil || o.ctx.Err() != nil {
		return
	}
	if j.job().Spec.Idempotent {
		o.resubmit(j, "its answer could not be fetched: "+m.err.Error())
		return
	}
	reason := "it ran to its end, but its answer can't be had; it is not run again: " + m.err.Error()
	o.endJob(j, j.job().WithState(model.Failed, nowMs(), reason))
}

// resubmit queues a job again that the engine already regards as ended.
func (o *Owner) resubmit(j *openJob, reason string) {
	j.phase = phaseQueued
	j.members = nil
	o.host.Log.Emit(event.JobRequeued).Str("cell", o.cell).Str("job", j.job().ID).Str("reason", reason).Send()
	o.stepEngine(place.Enqueue{Job: placeRequest(j.job())})
}

// endJob writes the end of a job in a state other than done, in the background.
func (o *Owner) endJob(j *openJob, job model.Job) {
	j.phase = phaseEnding
	entry := j.entry
	o.spawn(func() { o.writeEnd(entry, job) })
}

// endWritten reports that a job's end is durable.
type endWritten struct{ entry ledger.Entry }

// writeEnd makes a job's end durable, however long the table takes.
func (o *Owner) writeEnd(entry ledger.Entry, job model.Job) {
	next, err := o.save(entry, job, 0)
	if err != nil {
		return
	}
	o.post(endWritten{next})
}

func (m endWritten) apply(o *Owner) {
	job := m.entry.Job
	j := o.jobs[job.ID]
	if j == nil {
		return
	}
	delete(o.jobs, job.ID)
	o.release(&job.Spec)
	for _, x := range j.members {
		if w := o.workers[x.Worker]; w != nil {
			w.pendingAcks = addRef(w.pendingAcks, j.ref())
		}
	}
	took := time.Duration(job.EndedMs-job.AcceptedMs) * time.Millisecond
	o.host.Meter.JobEnded(job.Spec.Workspace, string(job.State), took)
	o.logEnd(job, took)
	for _, w := range j.watchers {
		w.ended <- job
	}
}

func (o *Owner) logEnd(job model.Job, took time.Duration) {
	id := event.JobEnded
	switch job.State {
	case model.Cancelled:
		id = event.JobCancelled
	case model.Refused:
		id = event.JobRefused
	default:
	}
	reason := ""
	if n := len(job.Notes); n > 0 {
		reason = job.Notes[n-1].Reason
	}
	o.host.Log.Emit(id).Str("cell", o.cell).Str("job", job.ID).Str("workspace", job.Spec.Workspace).
		Str("state", string(job.State)).Dur("took", took).Str("reason", reason).Send()
}

// drain makes the owner accept and start nothing more, and waits until the starts and
// end-of-job writes in progress are complete or ctx ends.
func (o *Owner) drain(ctx context.Context) {
	o.host.runHook(StepDrain, "")
	o.draining.Store(true)
	for {
		reply := make(chan int, 1)
		if o.tryPost(countEnding{reply}) == nil {
			select {
			case n := <-reply:
				if n == 0 && o.activeStarts.Load() == 0 {
					return
				}
			case <-o.ctx.Done():
				return
			case <-ctx.Done():
				return
			}
		}
		if !sleep(ctx, pollInterval) {
			return
		}
	}
}

// countEnding asks the loop how many jobs' ends are being written.
type countEnding struct{ reply chan int }

func (m countEnding) apply(o *Owner) {
	n := 0
	for _, j := range o.jobs {
		if j.phase == phaseEnding {
			n++
		}
	}
	m.reply <- n
}

const (
	purgeInterval = 10 * time.Minute
	purgeBatch    = 200
)

// purge deletes, every purgeInterval, ended jobs that are older than EndedJobRetention.
func (o *Owner) purge() {
	if time.Now().Before(o.purgeAt) || !o.leaseValid() {
		return
	}
	o.purgeAt = time.Now().Add(purgeInterval)
	before := nowMs() - o.host.Settings.EndedJobRetention.Milliseconds()
	o.spawn(func() {
		ctx, cancel := context.WithTimeout(o.ctx, purgeInterval/2)
		defer cancel()
		// The next purge deletes what this one fails to delete.
		_, _ = o.host.Ledger.Purge(ctx, o.fence, before, purgeBatch)
	})
}
