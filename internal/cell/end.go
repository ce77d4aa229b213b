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
	// answerTries bounds the tries to fetch a large answer from its worker.
	answerTries = 60
)

// save writes the next state of a job. It repeats writes that certainly did
// not happen until limit has passed; 0 means for as long as the owner lives.
func (o *Owner) save(e ledger.Entry, job model.Job, limit time.Duration) (ledger.Entry, error) {
	started := time.Now()
	for pause := savePauseMin; ; pause = min(2*pause, savePauseMax) {
		next, err := o.host.Ledger.Save(o.ctx, o.fence, e, job)
		if err == nil {
			return next, nil
		}
		if errors.Is(err, ledger.ErrFenced) {
			o.lost.Store(true)
			return e, err
		}
		if !errors.Is(err, ledger.ErrUnavailable) || (limit > 0 && time.Since(started) > limit) {
			return e, err
		}
		if !wait(o.ctx, pause/2+rand.N(pause/2)) {
			return e, err
		}
	}
}

// complete takes the job's answer and ends it as done. Its places are free
// already; its workers keep their results until the end is durable.
func (o *Owner) complete(l *live) {
	o.host.step(StepFinish, l.job().ID)
	o.noteStarted(l)
	first := l.members[0]
	l.phase = phaseEnding
	o.step(place.Ended{ID: l.job().ID, Outcome: place.Finished})
	entry, ref := l.entry, l.ref()
	o.spawn(func() {
		job, err := o.withAnswer(entry.Job, first, ref)
		if err != nil {
			o.post(answerLost{ref.Job, ref.Attempt, err})
			return
		}
		o.write(entry, job.WithState(model.Done, nowMs(), "all tasks ended well"))
	})
}

// withAnswer returns the job with its whole, verified answer: in the row if it
// is small, else in the object store.
func (o *Owner) withAnswer(job model.Job, first member, ref model.TaskRef) (model.Job, error) {
	if first.answer == nil {
		return job.WithAnswer(model.NewAnswer(nil)), nil
	}
	if first.answer.Length <= model.MaxInline && first.answer.Verify(first.answer.Inline) {
		return job.WithAnswer(*first.answer), nil
	}
	var err error
	for i := 0; i < answerTries; i++ {
		o.host.step(StepAnswer, job.ID)
		if err = o.moveAnswer(job.ID, first, ref); err == nil {
			return job.WithAnswer(first.answer.WithObject(job.ID)), nil
		}
		if !wait(o.ctx, time.Second/2+rand.N(time.Second/2)) {
			return job, err
		}
	}
	return job, err
}

var errShortAnswer = errors.New("answer does not match its length and checksum")

func (o *Owner) moveAnswer(name string, first member, ref model.TaskRef) error {
	data, err := o.host.Workers.Answer(o.ctx, first.Addr, ref)
	if err != nil {
		return err
	}
	if !first.answer.Verify(data) {
		return errShortAnswer
	}
	if err := o.host.Objects.Put(o.ctx, name, data); err != nil {
		o.host.Log.Emit(event.ObjectDown).Str("cell", o.cell).Str("job", name).Err(err).Send()
		return err
	}
	return nil
}

// answerLost says that a finished job's answer can't be had.
type answerLost struct {
	job     string
	attempt int
	err     error
}

func (m answerLost) apply(o *Owner) {
	l := o.current(m.job, m.attempt)
	if l == nil || o.ctx.Err() != nil {
		return
	}
	if l.job().Spec.Idempotent {
		o.adoptQueued(l, "its answer was lost: "+m.err.Error())
		return
	}
	reason := "it ran to its end, but its answer can't be had; it is not run again: " + m.err.Error()
	o.finish(l, l.job().WithState(model.Failed, nowMs(), reason))
}

// adoptQueued lets a job that the engine has already ended arrive again.
func (o *Owner) adoptQueued(l *live, reason string) {
	l.phase = phaseQueued
	l.members = nil
	o.host.Log.Emit(event.JobRequeued).Str("cell", o.cell).Str("job", l.job().ID).Str("reason", reason).Send()
	o.step(place.Arrive{Job: request(l.job())})
}

// finish ends a job in a state other than done.
func (o *Owner) finish(l *live, job model.Job) {
	l.phase = phaseEnding
	entry := l.entry
	o.spawn(func() { o.write(entry, job) })
}

// ended says that a job's end is durable.
type ended struct{ entry ledger.Entry }

// write makes a job's end durable, however long the table takes.
func (o *Owner) write(entry ledger.Entry, job model.Job) {
	next, err := o.save(entry, job, 0)
	if err != nil {
		return
	}
	o.post(ended{next})
}

func (m ended) apply(o *Owner) {
	job := m.entry.Job
	l := o.jobs[job.ID]
	if l == nil {
		return
	}
	delete(o.jobs, job.ID)
	for _, x := range l.members {
		if w := o.workers[x.Worker]; w != nil {
			w.acks = addRef(w.acks, l.ref())
		}
	}
	took := time.Duration(job.EndedMs-job.AcceptedMs) * time.Millisecond
	o.host.Meter.JobEnded(job.Spec.Workspace, string(job.State), took)
	o.logEnd(job, took)
	for _, ch := range l.watchers {
		ch <- job
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

// quiesce stops starting and accepting, and waits until the starts and ends in
// progress are settled or ctx ends.
func (o *Owner) quiesce(ctx context.Context) {
	o.host.step(StepDrain, "")
	o.quiet.Store(true)
	for {
		reply := make(chan int, 1)
		if o.offer(inProgress{reply}) == nil {
			select {
			case n := <-reply:
				if n == 0 && o.inStart.Load() == 0 {
					return
				}
			case <-o.ctx.Done():
				return
			case <-ctx.Done():
				return
			}
		}
		if !wait(ctx, gatePoll) {
			return
		}
	}
}

// inProgress asks how many jobs' ends are being written.
type inProgress struct{ reply chan int }

func (m inProgress) apply(o *Owner) {
	n := 0
	for _, l := range o.jobs {
		if l.phase == phaseEnding {
			n++
		}
	}
	m.reply <- n
}

const (
	purgeEvery = 10 * time.Minute
	purgeBatch = 200
)

// purge deletes ended jobs that are older than they are to be kept.
func (o *Owner) purge() {
	if time.Now().Before(o.purgeAt) || !o.valid() {
		return
	}
	o.purgeAt = time.Now().Add(purgeEvery)
	before := nowMs() - o.host.Settings.KeepDone.Milliseconds()
	o.spawn(func() {
		ctx, cancel := context.WithTimeout(o.ctx, purgeEvery/2)
		defer cancel()
		// What fails now is purged next time.
		_, _ = o.host.Ledger.Purge(ctx, o.fence, before, purgeBatch)
	})
}
