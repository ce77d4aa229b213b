package oper

import (
	"context"
	"errors"
	"time"

	"github.com/gofiber/fiber/v2"
	"github.com/gofiber/fiber/v2/middleware/adaptor"

	"greengageline/internal/caller"
	"greengageline/internal/cell"
	"greengageline/internal/config"
	"greengageline/internal/event"
	"greengageline/internal/node"
	"greengageline/pkg/model"
)

// opTimeout bounds one operation for an operator.
const opTimeout = 10 * time.Second

// API serves the operators of one node.
type API struct {
	Node *node.Node
	// Stop begins a planned stop of the process.
	Stop func()
}

// Mount adds the operators' routes to the app.
func (a *API) Mount(app *fiber.App) {
	app.Get("/healthz", func(c *fiber.Ctx) error { return c.SendString("ok\n") })
	app.Get("/readyz", a.ready)
	app.Get("/metrics", adaptor.HTTPHandler(a.Node.Meter.Handler()))
	app.Get("/", a.page)
	app.Get("/v1/status", func(c *fiber.Ctx) error { return c.JSON(a.Node.Status()) })
	app.Get("/v1/jobs/:id/explain", a.explain)
	app.Get("/v1/config", a.show)
	app.Post("/v1/config", a.change)
	app.Get("/v1/config/log", a.log)
	app.Get("/v1/usage/:cell", a.usage)
	app.Post("/v1/drain", a.drain)
}

func (a *API) ready(c *fiber.Ctx) error {
	if err := a.Node.Ready(); err != nil {
		return c.Status(fiber.StatusServiceUnavailable).SendString(err.Error() + "\n")
	}
	return c.SendString("ready\n")
}

func (a *API) drain(c *fiber.Ctx) error {
	a.Stop()
	return c.Status(fiber.StatusAccepted).JSON(fiber.Map{"node": a.Node.Settings.Node, "draining": true})
}

// Folder is the stored configuration as operators see it.
type Folder struct {
	Generation uint64                   `json:"generation"`
	Hash       string                   `json:"hash"`
	Files      map[string]config.Stored `json:"files"`
}

func (a *API) show(c *fiber.Ctx) error {
	ctx, cancel := context.WithTimeout(c.Context(), opTimeout)
	defer cancel()
	f, err := a.Node.Config.Follow(ctx, config.Folder{})
	if err != nil {
		return fail(c, err)
	}
	return c.JSON(Folder{Generation: f.Head.Generation, Hash: f.Head.Hash, Files: f.Files})
}

// Accepted tells the generation that a change made.
type Accepted struct {
	Generation uint64 `json:"generation"`
}

func (a *API) change(c *fiber.Ctx) error {
	defer a.Node.Begin()()
	var in config.Change
	if err := model.Decode(c.Body(), &in); err != nil {
		return fail(c, err)
	}
	ctx, cancel := context.WithTimeout(c.Context(), opTimeout)
	defer cancel()
	generation, err := a.Node.ChangeConfig(ctx, in)
	if err != nil {
		a.Node.Log.Emit(event.ConfigRefused).Str("author", in.Author).Err(err).Send()
		return fail(c, err)
	}
	return c.JSON(Accepted{Generation: generation})
}

func (a *API) log(c *fiber.Ctx) error {
	ctx, cancel := context.WithTimeout(c.Context(), opTimeout)
	defer cancel()
	entries, err := a.Node.Config.Log(ctx, uint64(max(c.QueryInt("after"), 0)))
	if err != nil {
		return fail(c, err)
	}
	return c.JSON(entries)
}

func (a *API) usage(c *fiber.Ctx) error {
	ctx, cancel := context.WithTimeout(c.Context(), opTimeout)
	defer cancel()
	all, err := cell.ReadUsage(ctx, a.Node.Host.Table, c.Params("cell"))
	if err != nil {
		return fail(c, err)
	}
	return c.JSON(all)
}

// Explanation is a job's story from its stored state.
type Explanation struct {
	Job   model.Job `json:"job"`
	Lines []string  `json:"lines"`
}

func (a *API) explain(c *fiber.Ctx) error {
	ctx, cancel := context.WithTimeout(c.Context(), opTimeout)
	defer cancel()
	job, err := a.Node.Job(ctx, c.Params("id"), false)
	if err != nil {
		return caller.Fail(c, err)
	}
	return c.JSON(Explanation{Job: job, Lines: Tell(job)})
}

// fail maps errors of the configuration; all others are as for callers.
func fail(c *fiber.Ctx, err error) error {
	p := caller.Problem{Message: err.Error(), Ran: "no"}
	status := 0
	switch {
	case errors.Is(err, config.ErrConflict):
		status, p.Error, p.Next = fiber.StatusConflict, "conflict", "read the file again, redo the change and push it"
	case errors.Is(err, config.ErrInvalid):
		status, p.Error, p.Next = fiber.StatusUnprocessableEntity, "invalid", "correct the file and push again"
	case errors.Is(err, config.ErrUnknown):
		status, p.Error, p.Next, p.Ran = fiber.StatusGatewayTimeout, "not-known", "look at the log of the configuration", "unknown"
	case errors.Is(err, config.ErrUnavailable):
		status, p.Error, p.Next = fiber.StatusServiceUnavailable, "not-ready", "try again"
	default:
		return caller.Fail(c, err)
	}
	return c.Status(status).JSON(p)
}
