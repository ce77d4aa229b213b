package fakes

import (
	"net"
	"time"

	"github.com/gofiber/fiber/v2"
)

// maxBodyBytes is the maximum size of a request body that a fake accepts.
const maxBodyBytes = 16 << 20

// Handler handles one HTTP request. Status 0 means that the connection is closed without an answer.
type Handler func(method, uri string, body []byte) (status int, answer []byte)

// Server serves a Handler over HTTP. Handle must be set before Serve is called.
type Server struct {
	Handle Handler
	app    *fiber.App
}

// NewServer returns a Server for h.
func NewServer(h Handler) *Server {
	s := &Server{Handle: h}
	s.app = fiber.New(fiber.Config{DisableStartupMessage: true, BodyLimit: maxBodyBytes, Immutable: true})
	s.app.All("/*", s.answer)
	return s
}

func (s *Server) answer(c *fiber.Ctx) error {
	status, body := s.Handle(c.Method(), string(c.Request().RequestURI()), c.Body())
	if status == 0 {
		return c.Context().Conn().Close()
	}
	return c.Status(status).Send(body)
}

// Serve serves requests on l until Close is called.
func (s *Server) Serve(l net.Listener) error { return s.app.Listener(l) }

// Connections returns the number of open connections.
func (s *Server) Connections() int { return int(s.app.Server().GetOpenConnectionsCount()) }

// Close stops the server. It waits at most one second for requests in progress.
func (s *Server) Close() error { return s.app.ShutdownWithTimeout(time.Second) }
