package jobapi

import (
	"context"
	"errors"
	"time"

	"github.com/gofiber/fiber/v2"

	"greengageline/internal/cell"
	"greengageline/internal/guard"
	"greengageline/internal/node"
	"greengageline/pkg/model"
)

// maxWait is the longest time that one request may wait for a job to end.
const maxWait = 60 * time.Second

// API serves the caller routes of one node.
type API struct {
	Node *node.Node
	// Replies bounds the answers of jobs that are being sent.
	Replies *guard.Budget
}

// Mount adds the caller routes to the app.
func (a *API) Mount(app *fiber.App) {
	app.Post("/v1/jobs", a.tracked(a.submit))
	app.Get("/v1/jobs/:id", a.tracked(a.status))
	app.Post("/v1/jobs/:id/cancel", a.tracked(a.cancel))
	app.Get("/v1/jobs/:id/answer", a.tracked(a.answer))
	app.Post("/v1/requests", a.tracked(a.request))
}

// tracked counts the request as in progress, so that draining the node waits for it.
func (a *API) tracked(h fiber.Handler) fiber.Handler {
	return func(c *fiber.Ctx) error {
		defer a.Node.TrackRequest()()
		return h(c)
	}
}

func (a *API) submit(c *fiber.Ctx) error {
	var spec model.JobSpec
	if err := model.Decode(c.Request().Body(), &spec); err != nil {
		return WriteError(c, err)
	}
	ctx, cancel := context.WithTimeout(c.Context(), a.Node.Settings.AnswerWait)
	defer cancel()
	job, err := a.Node.Submit(ctx, spec)
	if err != nil {
		return WriteError(c, err)
	}
	return c.Status(fiber.StatusAccepted).JSON(job)
}

func (a *API) status(c *fiber.Ctx) error {
	wait, err := waitParam(c)
	if err != nil {
		return WriteError(c, err)
	}
	limit := a.Node.Settings.AnswerWait
	if wait > 0 {
		limit = wait
	}
	ctx, cancel := context.WithTimeout(c.Context(), limit)
	defer cancel()
	if wait > 0 {
		var done func()
		ctx, done = guard.Wait(ctx, c)
		defer done()
	}
	job, err := a.Node.Job(ctx, c.Params("id"), wait > 0)
	if err != nil {
		return WriteError(c, err)
	}
	return c.JSON(job)
}

// waitParam returns the value of the query parameter wait, or 0 if it is absent.
func waitParam(c *fiber.Ctx) (time.Duration, error) {
	text := c.Query("wait")
	if text == "" {
		return 0, nil
	}
	wait, err := time.ParseDuration(text)
	if err != nil || wait < 0 || wait > maxWait {
		return 0, &model.FieldError{Field: "wait", Reason: "want a duration of 0s to " + maxWait.String()}
	}
	return wait, nil
}

func (a *API) cancel(c *fiber.Ctx) error {
	ctx, cancel := context.WithTimeout(c.Context(), a.Node.Settings.AnswerWait)
	defer cancel()
	job, err := a.Node.Cancel(ctx, c.Params("id"))
	if err != nil {
		return WriteError(c, err)
	}
	return c.JSON(job)
}

func (a *API) answer(c *fiber.Ctx) error {
	ctx, cancel := context.WithTimeout(c.Context(), a.Node.Settings.AnswerWait)
	defer cancel()
	data, err := a.Node.Answer(ctx, c.Params("id"), func(n int) error { return guard.HoldReply(c, a.Replies, n) })
	if err != nil {
		return WriteError(c, err)
	}
	c.Set(fiber.HeaderContentType, fiber.MIMEOctetStream)
	return c.Send(data)
}

func (a *API) request(c *fiber.Ctx) error {
	var spec model.RequestSpec
	if err := model.Decode(c.Request().Body(), &spec); err != nil {
		return WriteError(c, err)
	}
	data, err := a.Node.ServeShortRequest(c.Context(), spec)
	if err != nil {
		return WriteError(c, err)
	}
	c.Set(fiber.HeaderContentType, fiber.MIMEOctetStream)
	return c.Send(data)
}

// Problem is the body of every error reply.
type Problem struct {
	Error   string `json:"error"`
	Field   string `json:"field,omitempty"`
	Message string `json:"message"`
	// Ran is "no" if the request certainly had no effect, otherwise "unknown".
	Ran  string `json:"ran"`
	Next string `json:"next"`
}

const (
	ranNo      = "no"
	ranUnknown = "unknown"
)

// WriteError replies with the HTTP status and the Problem for err. For 503 and 429 it
// asks the caller to retry after 1 s.
func WriteError(c *fiber.Ctx, err error) error {
	status, p := problemFor(err)
	p.Message = err.Error()
	if status == fiber.StatusServiceUnavailable || status == fiber.StatusTooManyRequests {
		c.Set(fiber.HeaderRetryAfter, "1")
	}
	return c.Status(status).JSON(p)
}

// problemFor returns the HTTP status and the Problem, without its message, for err.
func problemFor(err error) (int, Problem) {
	var field *model.FieldError
	var refusal *cell.RefusedError
	switch {
	case errors.As(err, &field):
		return fiber.StatusBadRequest, Problem{Error: "invalid", Field: field.Field, Ran: ranNo, Next: "correct the field and send again"}
	case errors.Is(err, model.ErrInvalid):
		return fiber.StatusBadRequest, Problem{Error: "invalid", Ran: ranNo, Next: "correct the body and send again"}
	case errors.As(err, &refusal):
		return refusalStatus(refusal), Problem{Error: string(refusal.Code), Ran: ranNo, Next: "change the request; the same one would be refused again until the pool or the configuration changes"}
	case errors.Is(err, cell.ErrRefused):
		return fiber.StatusNotFound, Problem{Error: "refused", Ran: ranNo, Next: "change the request"}
	case errors.Is(err, cell.ErrKeyReused):
		return fiber.StatusConflict, Problem{Error: "key-reused", Field: "key", Ran: ranNo, Next: "use a new key for a new request"}
	case errors.Is(err, cell.ErrAbsent):
		return fiber.StatusNotFound, Problem{Error: "absent", Ran: ranNo, Next: "check the id"}
	case errors.Is(err, node.ErrNoAnswerYet):
		return fiber.StatusConflict, Problem{Error: "no-answer", Ran: ranUnknown, Next: "wait until the job is done"}
	case errors.Is(err, cell.ErrOutcomeUnknown):
		return fiber.StatusGatewayTimeout, Problem{Error: "not-known", Ran: ranUnknown, Next: "ask again with the same key"}
	case errors.Is(err, cell.ErrBusy):
		return fiber.StatusTooManyRequests, Problem{Error: "busy", Ran: ranNo, Next: "send again later"}
	case errors.Is(err, cell.ErrNotReady), errors.Is(err, cell.ErrNotOwner), errors.Is(err, guard.ErrNoMemory):
		return fiber.StatusServiceUnavailable, Problem{Error: "not-ready", Ran: ranNo, Next: "send again with the same key"}
	}
	return fiber.StatusInternalServerError, Problem{Error: "internal", Ran: ranUnknown, Next: "ask again with the same key"}
}

func refusalStatus(r *cell.RefusedError) int {
	switch r.Code {
	case "unknown-workspace":
		return fiber.StatusNotFound
	case "queue-full":
		return fiber.StatusTooManyRequests
	}
	return fiber.StatusUnprocessableEntity
}
