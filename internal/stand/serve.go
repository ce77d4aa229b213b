package stand

import (
	"net"
	"time"

	"github.com/gofiber/fiber/v2"
)

// maxBody bounds what a stand-in reads, in bytes.
const maxBody = 16 << 20

// Handler answers one request; status 0 means that no answer is given.
type Handler func(method, uri string, body []byte) (status int, answer []byte)

// Server serves a Handler over HTTP; set Handle before Serve.
type Server struct {
	Handle Handler
	app    *fiber.App
}

// NewServer returns a server of h.
func NewServer(h Handler) *Server {
	s := &Server{Handle: h}
	s.app = fiber.New(fiber.Config{DisableStartupMessage: true, BodyLimit: maxBody, Immutable: true})
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

// Serve answers on l until Close.
func (s *Server) Serve(l net.Listener) error { return s.app.Listener(l) }

// Connections returns how many connections are open.
func (s *Server) Connections() int { return int(s.app.Server().GetOpenConnectionsCount()) }

// Close stops the server; requests in progress get a second.
func (s *Server) Close() error { return s.app.ShutdownWithTimeout(time.Second) }
