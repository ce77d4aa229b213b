package admin

import (
	"context"
	"errors"
	"time"

	"github.com/gofiber/fiber/v2"
	"github.com/gofiber/fiber/v2/middleware/adaptor"

	"greengageline/internal/cell"
	"greengageline/internal/config"
	"greengageline/internal/event"
	"greengageline/internal/guard"
	"greengageline/internal/jobapi"
	"greengageline/internal/node"
	"greengageline/pkg/model"
)

// operationTimeout limits the processing of one operator request.
const operationTimeout = 10 * time.Second

// maxLogReply is the largest size of a reply with entries of the log of the configuration, of which each may name 256 files.
const maxLogReply = 3 << 20

// API serves the operator routes of one node.
type API struct {
	Node *node.Node
	// Replies bounds the replies with the configuration that are being sent.
	Replies *guard.Budget
	// Stop requests a planned stop of the process and returns at once.
	Stop func()
}

// Mount adds the operator routes to the app.
func (a *API) Mount(app *fiber.App) {
	app.Get("/healthz", func(c *fiber.Ctx) error { return c.SendString("ok\n") })
	app.Get("/readyz", a.ready)
	app.Get("/metrics", adaptor.HTTPHandler(a.Node.Meter.Handler()))
	app.Get("/", a.page)
	app.Get("/v1/status", func(c *fiber.Ctx) error { return c.JSON(a.Node.Status()) })
	app.Get("/v1/jobs/:id/explain", a.explain)
	app.Get("/v1/config", a.showConfig)
	app.Post("/v1/config", a.changeConfig)
	app.Get("/v1/config/log", a.configLog)
	app.Get("/v1/usage/:cell", a.usage)
	app.Get("/v1/evacuations", a.listEvacuations)
	app.Post("/v1/evacuations", a.setEvacuation)
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

// Folder is the reply with the stored configuration. Files includes deleted files.
type Folder struct {
	Generation uint64                       `json:"generation"`
	Hash       string                       `json:"hash"`
	Files      map[string]config.StoredFile `json:"files"`
}

func (a *API) showConfig(c *fiber.Ctx) error {
	ctx, cancel := context.WithTimeout(c.Context(), operationTimeout)
	defer cancel()
	f, err := a.Node.Config.Refresh(ctx, a.Node.KnownConfig())
	if err != nil {
		return writeError(c, err)
	}
	if err := guard.HoldReply(c, a.Replies, f.Size()); err != nil {
		return writeError(c, err)
	}
	return c.JSON(Folder{Generation: f.Head.Generation, Hash: f.Head.Hash, Files: f.Files})
}

// Accepted is the reply to an accepted change, with the generation that it created.
type Accepted struct {
	Generation uint64 `json:"generation"`
}

func (a *API) changeConfig(c *fiber.Ctx) error {
	defer a.Node.TrackRequest()()
	var in config.Change
	if err := model.Decode(c.Request().Body(), &in); err != nil {
		return writeError(c, err)
	}
	ctx, cancel := context.WithTimeout(c.Context(), operationTimeout)
	defer cancel()
	generation, err := a.Node.ChangeConfig(ctx, in)
	if err != nil {
		a.Node.Log.Emit(event.ConfigRefused).Str("author", in.Author).Err(err).Send()
		return writeError(c, err)
	}
	return c.JSON(Accepted{Generation: generation})
}

func (a *API) configLog(c *fiber.Ctx) error {
	ctx, cancel := context.WithTimeout(c.Context(), operationTimeout)
	defer cancel()
	if err := guard.HoldReply(c, a.Replies, maxLogReply); err != nil {
		return writeError(c, err)
	}
	entries, _, err := a.Node.Config.Log(ctx, uint64(max(c.QueryInt("after"), 0)))
	if err != nil {
		return writeError(c, err)
	}
	return c.JSON(entries)
}

func (a *API) usage(c *fiber.Ctx) error {
	ctx, cancel := context.WithTimeout(c.Context(), operationTimeout)
	defer cancel()
	usages, err := cell.ReadUsage(ctx, a.Node.Host.Table, c.Params("cell"))
	if err != nil {
		return writeError(c, err)
	}
	return c.JSON(usages)
}

// Explanation is a job's stored state and its history as text.
type Explanation struct {
	Job   model.Job `json:"job"`
	Lines []string  `json:"lines"`
}

func (a *API) explain(c *fiber.Ctx) error {
	ctx, cancel := context.WithTimeout(c.Context(), operationTimeout)
	defer cancel()
	job, err := a.Node.Job(ctx, c.Params("id"), false)
	if err != nil {
		return jobapi.WriteError(c, err)
	}
	return c.JSON(Explanation{Job: job, Lines: JobHistory(job)})
}

// writeError replies to errors of package config with their status and Problem. It leaves
// all other errors to jobapi.WriteError.
func writeError(c *fiber.Ctx, err error) error {
	p := jobapi.Problem{Message: err.Error(), Ran: "no"}
	status := 0
	switch {
	case errors.Is(err, config.ErrConflict):
		status, p.Error, p.Next = fiber.StatusConflict, "conflict", "read the file again, redo the change and push it"
	case errors.Is(err, config.ErrInvalid):
		status, p.Error, p.Next = fiber.StatusUnprocessableEntity, "invalid", "correct the file and push again"
	case errors.Is(err, config.ErrOutcomeUnknown):
		status, p.Error, p.Next, p.Ran = fiber.StatusGatewayTimeout, "not-known", "look at the log of the configuration", "unknown"
	case errors.Is(err, config.ErrUnavailable):
		status, p.Error, p.Next = fiber.StatusServiceUnavailable, "not-ready", "try again"
	default:
		return jobapi.WriteError(c, err)
	}
	return c.Status(status).JSON(p)
}
