package guard

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"time"

	"github.com/gofiber/fiber/v2"
	"github.com/valyala/fasthttp"
)

var (
	// ErrTooLarge means that a body is over the limit. Nothing was done.
	ErrTooLarge = errors.New("body is over the limit")
	// ErrEncoding means that a body is compressed. Its size in memory could not be bounded before it is read.
	ErrEncoding = errors.New("compressed bodies are not accepted")
	// ErrIncomplete means that the client closed the connection, or did not send the body in time.
	ErrIncomplete = errors.New("body did not arrive in full")
)

const (
	// firstBytes is the first piece of memory for a body whose length is not announced or larger.
	firstBytes = 4 << 10
	// RequestTime bounds the reading of one request, and the writing of its reply. A body of 256 KB takes 0.2 s at 10 Mbit/s.
	RequestTime = 15 * time.Second
	// idleTime is how long a connection without a request stays open.
	idleTime = 60 * time.Second
	// discardTime and discardFactor, times the limit, bound the reading of a body that is refused: a client that is
	// still sending when the connection closes would not see the reply.
	discardTime   = time.Second
	discardFactor = 8
)

// Config returns cfg for a server whose handlers read bodies with ReadBody: bodies are not read before the handler
// runs, and slow clients are cut off.
func Config(cfg fiber.Config) fiber.Config {
	cfg.DisableStartupMessage = true
	cfg.StreamRequestBody = true
	// The server reads so many bytes of a body before it calls the handler, and at least one.
	cfg.BodyLimit = 1
	cfg.DisablePreParseMultipartForm = true
	cfg.ReadTimeout, cfg.WriteTimeout, cfg.IdleTimeout = RequestTime, RequestTime, idleTime
	return cfg
}

// Track is a middleware that marks a connection as in use while the handler runs, except while ReadBody reads.
func Track(c *fiber.Ctx) error {
	conn := connOf(c.Context())
	if conn == nil {
		return c.Next()
	}
	conn.busy.Store(true)
	defer func() {
		conn.waitsSince.Store(time.Now().UnixNano())
		conn.busy.Store(false)
	}()
	return c.Next()
}

// Wait marks that the request of c waits for an event. While it does, its connection may give way to another, which ends the
// returned context. The caller must call done once the wait is over.
func Wait(ctx context.Context, c *fiber.Ctx) (waiting context.Context, done func()) {
	conn := connOf(c.Context())
	if conn == nil {
		return ctx, func() {}
	}
	waiting, cancel := conn.park(ctx)
	return waiting, func() {
		conn.unpark()
		cancel()
	}
}

// HoldReply reserves memory for a reply of n bytes to the request of c, until the reply has been sent or its connection is
// closed. It returns ErrNoMemory if there is none. A client that reads its reply too slowly gives way to others.
func HoldReply(c *fiber.Ctx, b *Budget, n int) error {
	conn := connOf(c.Context())
	if conn == nil {
		return nil
	}
	conn.setReply(nil)
	h := b.begin(conn.Conn) // the budget may close it while it is locked; conn.Close would release the memory
	if err := h.grow(int64(n)); err != nil {
		h.Release()
		b.Counters.NoMemory.Add(1)
		return err
	}
	conn.setReply(h)
	return nil
}

func connOf(ctx *fasthttp.RequestCtx) *Conn {
	conn, _ := ctx.Conn().(*Conn)
	return conn
}

// ReadBody reads the body of a request whose body may have most bytes. The caller must release the Hold, which may be nil, once
// the request has ended. Errors wrap ErrTooLarge, ErrNoMemory, ErrEncoding or ErrIncomplete; the connection is closed
// after the reply.
func ReadBody(c *fiber.Ctx, b *Budget, most int) ([]byte, *Hold, error) {
	ctx := c.Context()
	if conn := connOf(ctx); conn != nil {
		conn.busy.Store(false)
		defer conn.busy.Store(true)
	}
	data, h, err := readBody(ctx, b, most)
	if err != nil {
		h.Release()
		h = nil
		ctx.Response.SetConnectionClose()
		switch {
		case errors.Is(err, ErrTooLarge):
			b.Counters.TooLarge.Add(1)
		case errors.Is(err, ErrNoMemory):
			b.Counters.NoMemory.Add(1)
		}
		if !errors.Is(err, ErrIncomplete) {
			discard(ctx, most)
		}
	}
	return data, h, err
}

func readBody(ctx *fasthttp.RequestCtx, b *Budget, most int) ([]byte, *Hold, error) {
	header := &ctx.Request.Header
	if e := header.ContentEncoding(); len(e) > 0 && string(e) != "identity" {
		return nil, nil, ErrEncoding
	}
	length := header.ContentLength()
	if length > most {
		return nil, nil, fmt.Errorf("%w: %d bytes are announced, want at most %d", ErrTooLarge, length, most)
	}
	stream := ctx.RequestBodyStream()
	if stream == nil || length == 0 {
		return ctx.Request.Body(), nil, nil
	}
	// One more byte than the limit shows that a body of unknown length is over it.
	full := most + 1
	if length > 0 {
		full = length
	}
	h := b.begin(ctx.Conn())
	var data []byte
	for {
		if len(data) == cap(data) {
			size := min(full, max(firstBytes, 2*cap(data)))
			if err := h.grow(int64(size - cap(data))); err != nil {
				return nil, h, err
			}
			data = append(make([]byte, 0, size), data...)
		}
		n, err := stream.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		switch {
		case len(data) > most:
			return nil, h, fmt.Errorf("%w: want at most %d bytes", ErrTooLarge, most)
		case errors.Is(err, io.EOF) && (length < 0 || len(data) == length), length > 0 && len(data) == length:
			h.complete()
			return data, h, nil
		case err != nil:
			return nil, h, fmt.Errorf("%w: %w", ErrIncomplete, err)
		}
	}
}

// discard reads some of the rest of a refused body, so that its client can read the reply.
func discard(ctx *fasthttp.RequestCtx, most int) {
	stream := ctx.RequestBodyStream()
	if stream == nil || ctx.Request.Header.ContentLength() > discardFactor*most {
		return
	}
	if conn := ctx.Conn(); conn != nil {
		_ = conn.SetReadDeadline(time.Now().Add(discardTime))
	}
	_, _ = io.CopyN(io.Discard, stream, int64(discardFactor*most))
}

// NewListener returns a Listener on l that counts in counters.
func NewListener(l net.Listener, most int, counters *Counters) *Listener {
	return &Listener{Listener: l, Max: max(1, most), Counters: counters}
}
