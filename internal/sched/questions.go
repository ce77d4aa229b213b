package sched

import (
	"cmp"
	"slices"
	"time"

	"github.com/samber/lo"
)

const (
	// maxQuestionsPerPass bounds the questions that a pass decides, since the search for workers takes time.
	maxQuestionsPerPass = 4
	// maxQuestionsInFlight bounds the questions of one node without an answer, of which all but one are late.
	maxQuestionsInFlight = 2
	// maxQuestionsByRank is how many questions about a step come before all those about steps of a lower rank.
	maxQuestionsByRank = 3
	// adviceTimeoutSlack is part of the timeout of a question.
	adviceTimeoutSlack = time.Second
	// maxTimeoutDoublings bounds by how much timeouts grow while the adviser is late.
	maxTimeoutDoublings = 3
	// minQuestionBackoff and maxQuestionBackoff bound the backoff after a question that failed.
	minQuestionBackoff = 200 * time.Millisecond
	maxQuestionBackoff = 2 * time.Second
)

// Question asks the adviser which of some workers may run the tasks of a step. The adviser is an
// external service that issues a ticket for each permitted worker. Task of the reference is not used.
type Question struct {
	Step    TaskRef
	Workers []string
	// AnswerTime is the time that the adviser needs to answer, by the plan.
	AnswerTime time.Duration
	// Timeout is how long to wait for the answer.
	Timeout time.Duration
	// Asker is the name of the node from which the adviser is asked, as given to SetAskers.
	Asker string
	// Ahead is the number of that node's questions without an answer when this one was asked.
	Ahead int
	// askedAt is when the question was decided on, and doublings how often its timeout was doubled.
	askedAt   time.Duration
	doublings int
}

// usualTimeout returns the timeout of the question as long as the adviser answers in time: beyond the time that it needs
// for this question and for one more that may be ahead, there is some slack.
func (q Question) usualTimeout() time.Duration { return 2*q.AnswerTime + adviceTimeoutSlack }

// late reports whether an answer that comes now is late.
func (q Question) late(now time.Duration) bool { return now-q.askedAt > q.usualTimeout() }

// timedOut reports whether the timeout has passed.
func (q Question) timedOut(now time.Duration) bool { return now-q.askedAt >= q.Timeout }

// asker is a node from which the adviser can be asked. The adviser handles its questions one at a time. A question is
// asked once the one before should have been answered, so that none has to wait there while more urgent work may come.
type asker struct {
	name     string
	inFlight []Question
	// idleAt is when the adviser has handled the questions in flight, if it takes as long as the plan says.
	idleAt time.Duration
	// nextAt is the earliest time of the next question after one has failed, and backoff the last backoff.
	nextAt, backoff time.Duration
	// doublings is how often the timeout of questions has been doubled as the adviser is late.
	doublings int
	// failures counts the questions that have failed since the last answer.
	failures int
}

// ready reports whether another question may be asked now.
func (a *asker) ready(now Moment) bool {
	return len(a.inFlight) < maxQuestionsInFlight && now.Steady >= max(a.idleAt, a.nextAt)
}

// ask returns a question about workers for a group, which is in flight from now on.
func (a *asker) ask(g *group, workers []string, now Moment) Question {
	terms := g.queue.Advice
	q := Question{
		Step: g.ref, Workers: workers, Asker: a.name, Ahead: len(a.inFlight), askedAt: now.Steady, doublings: a.doublings,
		AnswerTime: time.Duration((terms.DecideMs + float64(len(workers))*terms.EachMs) * float64(time.Millisecond)),
	}
	q.Timeout = q.usualTimeout() << q.doublings
	a.inFlight = append(a.inFlight, q)
	a.idleAt = now.Steady + q.AnswerTime
	return q
}

// remove removes a question from those in flight. The adviser then handles the others.
func (a *asker) remove(q Question, now time.Duration) {
	a.inFlight = slices.DeleteFunc(a.inFlight, func(x Question) bool { return x.Step == q.Step })
	a.idleAt = now
	for _, other := range a.inFlight {
		a.idleAt += other.AnswerTime
	}
}

// answered records that a question was answered at the steady time at.
func (a *asker) answered(q Question, at time.Duration) {
	a.remove(q, at)
	a.backoff, a.failures = 0, 0
	if !q.late(at) {
		a.doublings = 0
	}
}

// failed records that a question got no answer. If its timeout has passed, the next one is longer: the adviser still
// handles a question that is given up, so one that is late would otherwise never answer any.
func (a *asker) failed(q Question, now Moment) {
	a.remove(q, now.Steady)
	a.failures++
	if q.timedOut(now.Steady) {
		a.doublings = max(a.doublings, min(q.doublings+1, maxTimeoutDoublings))
	}
	a.backoff = min(max(minQuestionBackoff, 2*a.backoff), maxQuestionBackoff)
	a.nextAt = now.Steady + a.backoff
}

// SetAskers sets the names of the nodes from which the adviser can be asked, in order of preference. Without a call it
// is asked from one node, whose name is empty.
func (e *Engine) SetAskers(names []string) {
	e.askers = lo.Map(names, func(name string, _ int) *asker {
		if a := e.asker(name); a != nil {
			return a
		}
		return &asker{name: name}
	})
	if e.askersInUse == 0 || e.askersInUse > len(e.askers) {
		e.askersInUse = len(e.askers)
	}
}

// asker returns the asker with a name, or nil if there is none any more.
func (e *Engine) asker(name string) *asker {
	a, _ := lo.Find(e.askers, func(a *asker) bool { return a.name == name })
	return a
}

// readyAsker returns an asker that is ready, or nil if none is or too many questions have no answer: one whose questions
// have been answered, if possible, and the last one not with a failure.
func (e *Engine) readyAsker(now Moment) *asker {
	if lo.SumBy(e.askers, func(a *asker) int { return len(a.inFlight) }) >= maxQuestionsInFlight*e.askersInUse {
		return nil
	}
	ready := lo.Filter(e.askers, func(a *asker, _ int) bool { return a.ready(now) })
	if len(ready) == 0 {
		return nil
	}
	return slices.MinFunc(ready, func(a, b *asker) int {
		return cmp.Or(cmp.Compare(len(a.inFlight), len(b.inFlight)), cmp.Compare(a.failures, b.failures))
	})
}

// settleQuestion records that a question has been answered, or has failed. If its timeout has passed, fewer askers are
// used, until answers are no longer late: it may be the adviser that has too much to do.
func (e *Engine) settleQuestion(q Question, failed bool, now Moment) {
	switch {
	case failed && q.timedOut(now.Steady):
		e.askersInUse = max(1, e.askersInUse/2)
	case !failed && !q.late(now.Steady):
		e.askersInUse = min(e.askersInUse+1, len(e.askers))
	}
	a := e.asker(q.Asker)
	switch {
	case a == nil: // the node is gone
	case failed:
		a.failed(q, now)
	default:
		a.answered(q, now.Steady)
	}
	if _, b, _ := e.find(q.Step); b != nil {
		b.advice.settle()
		b.settleRenewals(q.Workers)
	}
}

// adviceRequest is a group that could not be placed on workers with valid tickets in the present pass.
type adviceRequest struct {
	*group
	relaxed bool     // the group was relaxed
	workers []string // those to ask about; nil means any that suit the group
}

// requestAdvice adds a request for a group, if the queue has an adviser and no question about the step is in flight.
func (e *Engine) requestAdvice(g *group) {
	if g.queue.Advice != nil && !g.batch.advice.inFlight {
		e.adviceRequests = append(e.adviceRequests, adviceRequest{group: g, relaxed: g.relaxed})
	}
}

// askAdviser asks about the steps that request it, as far as askers are ready.
func (e *Engine) askAdviser(now Moment) {
	requests := append(e.renewalRequests(now), e.adviceRequests...)
	e.adviceRequests = nil
	if len(e.askers) == 0 {
		e.SetAskers([]string{""})
	}
	for decided := 0; len(requests) > 0 && decided < maxQuestionsPerPass; {
		a := e.readyAsker(now)
		if a == nil {
			return
		}
		i := e.nextRequest(requests)
		repeated := i == 0 && requests[0].batch.advice.asked >= maxQuestionsByRank
		if e.ask(a, requests[i], now) {
			e.repeatedQuestion = repeated
			decided++
		}
		requests = slices.Delete(requests, i, i+1)
	}
}

// ask asks about the workers that a request is for, and reports whether there are any.
func (e *Engine) ask(a *asker, r adviceRequest, now Moment) bool {
	if r.batch.advice.inFlight {
		return false // by another request about the step
	}
	ids := r.workers
	if ids == nil {
		r.group.relaxed = r.relaxed
		ids = e.workersToAsk(r.group, now)
		r.group.relaxed = false
	}
	if len(ids) == 0 {
		return false
	}
	e.questions = append(e.questions, a.ask(r.group, ids, now))
	e.askedAdviser = true
	r.batch.advice.inFlight, r.batch.advice.askedAt = true, now.Steady
	r.batch.advice.asked++
	return true
}

// nextRequest returns the index of the request to ask about next. Requests come by rank. A step that has been asked about
// maxQuestionsByRank times takes turns with the one that was asked about least recently: what it needs may not be what
// the adviser can give.
func (e *Engine) nextRequest(requests []adviceRequest) int {
	if requests[0].batch.advice.asked < maxQuestionsByRank || !e.repeatedQuestion {
		return 0
	}
	longest := 0
	for i, r := range requests {
		if r.batch.advice.askedAt < requests[longest].batch.advice.askedAt {
			longest = i
		}
	}
	return longest
}

// TakeQuestions returns the questions decided on since the last call. For each the caller must call
// RecordAdvice or RecordAdviceFailure once.
func (e *Engine) TakeQuestions() []Question {
	out := e.questions
	e.questions = nil
	return out
}

// RecordAdvice records the answer to a question, which arrived at the steady time at. The workers in tickets may
// run the step; the other workers of the question may not. The adviser issues tickets, which are valid for the
// duration valid, as it answers: the question may have waited there for longer than they are valid.
func (e *Engine) RecordAdvice(q Question, tickets map[string]string, at, valid time.Duration) {
	if _, b, _ := e.find(q.Step); b != nil {
		b.advice.record(q.Workers, tickets, at, valid)
	}
	e.settleQuestion(q, false, Moment{Steady: at})
}

// RecordAdviceFailure records that a question got no answer. No further question is asked from the same node during
// the backoff.
func (e *Engine) RecordAdviceFailure(q Question, now Moment) {
	e.settleQuestion(q, true, now)
}
