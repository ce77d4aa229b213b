package admin

import (
	"context"

	"github.com/gofiber/fiber/v2"

	"greengageline/internal/config"
	"greengageline/pkg/model"
)

func (a *API) listEvacuations(c *fiber.Ctx) error {
	ctx, cancel := context.WithTimeout(c.Context(), operationTimeout)
	defer cancel()
	list, err := a.Node.Config.Evacuations(ctx)
	if err != nil {
		return writeError(c, err)
	}
	return c.JSON(list)
}

func (a *API) setEvacuation(c *fiber.Ctx) error {
	defer a.Node.TrackRequest()()
	var in config.Evacuation
	if err := model.Decode(c.Request().Body(), &in); err != nil {
		return writeError(c, err)
	}
	ctx, cancel := context.WithTimeout(c.Context(), operationTimeout)
	defer cancel()
	if err := a.Node.Evacuate(ctx, in); err != nil {
		return writeError(c, err)
	}
	return a.listEvacuations(c)
}
