package stand

import (
	"encoding/json"
	"net/url"
	"strconv"
	"time"

	"github.com/gofiber/fiber/v2"

	"greengageline/pkg/model"
)

const defaultSlots = 8

// Handle answers one request; status 0 means that no answer is given.
func (w *Worker) Handle(_, uri string, body []byte) (status int, answer []byte) {
	u, err := url.Parse(uri)
	if err != nil {
		return failure(err)
	}
	switch u.Path {
	case "/reserve":
		return act(body, w.reserve)
	case "/start":
		return act(body, w.start)
	case "/stop":
		return act(body, w.stop)
	case "/renew":
		return act(body, w.renew)
	case "/look":
		return act(body, w.look)
	case "/call":
		return act(body, w.call)
	case "/answer":
		return w.handleAnswer(u.Query())
	case "/record":
		return success(w.Record())
	case "/load":
		return success(w.Calls())
	case "/fault":
		return act(body, w.setFault)
	}
	return fiber.StatusNotFound, nil
}

// act decodes an order, carries it out and encodes the reply.
func act[I, O any](body []byte, do func(I) (O, verdict)) (int, []byte) {
	var in I
	if err := json.Unmarshal(body, &in); err != nil {
		return failure(err)
	}
	out, v := do(in)
	if v != verdictOK {
		return statusOf(v), nil
	}
	return success(out)
}

func statusOf(v verdict) int {
	switch v {
	case verdictBusy:
		return fiber.StatusTooManyRequests
	case verdictLeaving:
		return fiber.StatusGone
	case verdictFenced:
		return fiber.StatusPreconditionFailed
	}
	return fiber.StatusConflict
}

func (w *Worker) handleAnswer(q url.Values) (int, []byte) {
	attempt, err := strconv.Atoi(q.Get("attempt"))
	if err != nil {
		return failure(err)
	}
	data := w.answer(model.TaskRef{Job: q.Get("job"), Attempt: attempt})
	if data == nil {
		return fiber.StatusNotFound, nil
	}
	return fiber.StatusOK, data
}

// WorkerFault says what is wrong with a worker; the zero value is healthy.
type WorkerFault struct {
	FailAll bool `json:"fail_all"`
	Leaving bool `json:"leaving"`
	Weak    bool `json:"weak"`
}

func (w *Worker) setFault(f WorkerFault) (struct{}, verdict) {
	w.SetFailAll(f.FailAll)
	w.SetLeaving(f.Leaving)
	w.SetWeak(f.Weak)
	return struct{}{}, verdictOK
}

// Load is a worker's record of its short requests.
type Load struct {
	PeakSlots int            `json:"peak_slots"`
	Calls     map[string]int `json:"calls"`
}

// call serves one short request in a slot.
func (w *Worker) call(in model.Call) (model.CallReply, verdict) {
	if v := w.takeSlot(in.ID); v != verdictOK {
		return model.CallReply{}, v
	}
	defer w.freeSlot()
	time.Sleep(w.CallTime)
	return model.CallReply{ID: in.ID, Answer: model.NewAnswer(in.Payload)}, verdictOK
}

func (w *Worker) takeSlot(id string) verdict {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.leaving {
		return verdictLeaving
	}
	limit := w.Slots
	if limit == 0 {
		limit = defaultSlots
	}
	if w.slots >= limit {
		return verdictBusy
	}
	w.slots++
	w.peakSlots = max(w.peakSlots, w.slots)
	if w.calls == nil {
		w.calls = map[string]int{}
	}
	w.calls[id]++
	return verdictOK
}

func (w *Worker) freeSlot() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.slots--
}

// Calls returns the record of short requests.
func (w *Worker) Calls() Load {
	w.mu.Lock()
	defer w.mu.Unlock()
	calls := map[string]int{}
	for id, n := range w.calls {
		calls[id] = n
	}
	return Load{PeakSlots: w.peakSlots, Calls: calls}
}
