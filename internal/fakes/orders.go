package fakes

import (
	"encoding/json"
	"net/url"
	"strconv"
	"time"

	"github.com/gofiber/fiber/v2"

	"greengageline/pkg/model"
)

// defaultSlots is the number of short requests served at once if Worker.Slots is 0.
const defaultSlots = 8

// Handle handles one HTTP request. Status 0 means that no answer is sent.
func (w *Worker) Handle(_, uri string, body []byte) (status int, answer []byte) {
	u, err := url.Parse(uri)
	if err != nil {
		return badRequest(err)
	}
	switch u.Path {
	case "/reserve":
		return handleOrder(body, w.reserve)
	case "/start":
		return handleOrder(body, w.start)
	case "/stop":
		return handleOrder(body, w.stop)
	case "/renew":
		return handleOrder(body, w.renew)
	case "/look":
		return handleOrder(body, w.look)
	case "/call":
		return handleOrder(body, w.call)
	case "/answer":
		return w.handleAnswer(u.Query())
	case "/record":
		return okResponse(w.Record())
	case "/load":
		return okResponse(w.Calls())
	case "/fault":
		return handleOrder(body, w.setFault)
	}
	return fiber.StatusNotFound, nil
}

// handleOrder decodes an order, executes it with do and encodes the reply.
func handleOrder[I, O any](body []byte, do func(I) (O, verdict)) (int, []byte) {
	var in I
	if err := json.Unmarshal(body, &in); err != nil {
		return badRequest(err)
	}
	out, v := do(in)
	if v != verdictOK {
		return statusOf(v), nil
	}
	return okResponse(out)
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
		return badRequest(err)
	}
	data := w.answer(model.TaskRef{Job: q.Get("job"), Attempt: attempt})
	if data == nil {
		return fiber.StatusNotFound, nil
	}
	return fiber.StatusOK, data
}

// WorkerFault is the set of faults injected into a fake worker; the zero value injects none.
// FailAll fails every task that starts, Leaving refuses new work, and Weak ignores epochs.
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

// Load is the record of the short requests that a fake worker served: the peak number in
// progress at once, and the number of calls by request ID.
type Load struct {
	PeakSlots int            `json:"peak_slots"`
	Calls     map[string]int `json:"calls"`
}

// call serves one short request, which occupies a slot for CallTime.
func (w *Worker) call(in model.Call) (model.CallReply, verdict) {
	if v := w.acquireSlot(in.ID); v != verdictOK {
		return model.CallReply{}, v
	}
	defer w.releaseSlot()
	time.Sleep(w.CallTime)
	return model.CallReply{ID: in.ID, Answer: model.NewAnswer(in.Payload)}, verdictOK
}

func (w *Worker) acquireSlot(id string) verdict {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.leaving {
		return verdictLeaving
	}
	limit := w.Slots
	if limit == 0 {
		limit = defaultSlots
	}
	if w.slotsInUse >= limit {
		return verdictBusy
	}
	w.slotsInUse++
	w.peakSlots = max(w.peakSlots, w.slotsInUse)
	if w.calls == nil {
		w.calls = map[string]int{}
	}
	w.calls[id]++
	return verdictOK
}

func (w *Worker) releaseSlot() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.slotsInUse--
}

// Calls returns a copy of the record of short requests.
func (w *Worker) Calls() Load {
	w.mu.Lock()
	defer w.mu.Unlock()
	calls := map[string]int{}
	for id, n := range w.calls {
		calls[id] = n
	}
	return Load{PeakSlots: w.peakSlots, Calls: calls}
}
