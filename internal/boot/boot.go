package boot

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gofiber/fiber/v2"
	"github.com/rs/zerolog"
	"github.com/samber/do/v2"
	"google.golang.org/grpc"

	"greengageline/internal/admin"
	"greengageline/internal/cell"
	"greengageline/internal/config"
	"greengageline/internal/event"
	"greengageline/internal/guard"
	"greengageline/internal/jobapi"
	"greengageline/internal/ledger"
	"greengageline/internal/metric"
	"greengageline/internal/node"
	"greengageline/internal/object"
	"greengageline/internal/peer"
	"greengageline/internal/setup"
	"greengageline/internal/table"
	"greengageline/internal/vmlist"
	"greengageline/internal/wire"
	"greengageline/internal/worker"
	"greengageline/pkg/model"
)

// watchInterval is the time between two looks at refused and slow clients.
const watchInterval = 2 * time.Second

// bodyPerByte is how many bytes of memory a byte of a body takes until its request has ended: the body, the buffers of two
// decoders, the decoded request, and the row that is written, with its encodings.
const bodyPerByte = 8

// LogWriter is the destination of a node's log lines.
type LogWriter struct{ io.Writer }

// gaugeSource passes the node's gauges to the meter. The node is built from the meter, so
// it is stored here afterwards; until then there are no gauges.
type gaugeSource struct {
	node atomic.Pointer[node.Node]
}

func (s *gaugeSource) gauges() []metric.Gauges {
	if n := s.node.Load(); n != nil {
		return n.Gauges()
	}
	return nil
}

// Provide registers the constructors of a node's components with the injector. The
// injector must provide a setup.Settings and a LogWriter.
func Provide(i do.Injector) {
	do.ProvideValue(i, &gaugeSource{})
	do.Provide(i, providePorts)
	do.Provide(i, provideLog)
	do.Provide(i, provideTable)
	do.Provide(i, provideMeter)
	do.Provide(i, provideHost)
	do.Provide(i, provideNode)
}

func provideLog(i do.Injector) (*event.Log, error) {
	s := do.MustInvoke[setup.Settings](i)
	level, err := zerolog.ParseLevel(s.LogLevel)
	if err != nil {
		return nil, fmt.Errorf("log level: %w", err)
	}
	return event.New(do.MustInvoke[LogWriter](i), s.Node, level), nil
}

// providePorts bounds the clients of the node.
func providePorts(i do.Injector) (*guard.Ports, error) {
	s := do.MustInvoke[setup.Settings](i)
	return guard.NewPorts(guard.Limits{MemoryMB: s.MemoryMB, MaxFds: s.MaxFds}, guard.Largest{
		Body: s.MaxBody, Reply: model.MaxAnswer, PerByte: bodyPerByte,
	}), nil
}

func provideTable(i do.Injector) (*table.Table, error) {
	s := do.MustInvoke[setup.Settings](i)
	return &table.Table{Wire: &wire.Client{Addr: s.Platform}}, nil
}

func provideMeter(i do.Injector) (*metric.Meter, error) {
	tab := do.MustInvoke[*table.Table](i)
	log := do.MustInvoke[*event.Log](i)
	m, err := metric.New(do.MustInvoke[*gaugeSource](i).gauges)
	if err != nil {
		return nil, err
	}
	var down atomic.Bool
	ports := do.MustInvoke[*guard.Ports](i)
	c := &ports.Counters
	if err := m.DeclareClients(map[string]func() int64{
		"clients_too_large_total": c.TooLarge.Load, "clients_no_memory_total": c.NoMemory.Load, "clients_stalled_total": c.Stalled.Load,
		"clients_crowded_total": c.Crowded.Load, "request_bytes_held": ports.Held,
	}); err != nil {
		return nil, err
	}
	tab.Observe = func(op string, elapsed time.Duration, err error) {
		unknown := errors.Is(err, table.ErrOutcomeUnknown)
		m.Table(op, elapsed, unknown)
		if unknown {
			log.Emit(event.TableUnknown).Str("op", op).Err(err).Send()
		}
		logTableHealth(log, &down, op, err)
	}
	return m, nil
}

// logTableHealth logs the first failed call to the table and then the first that gets a
// reply again. A conflict is a reply, not a failure. down holds the state between calls.
func logTableHealth(log *event.Log, down *atomic.Bool, op string, err error) {
	failed := err != nil && !errors.Is(err, table.ErrConflict)
	switch {
	case failed && down.CompareAndSwap(false, true):
		log.Emit(event.TableDown).Str("op", op).Err(err).Send()
	case !failed && down.CompareAndSwap(true, false):
		log.Emit(event.TableBack).Str("op", op).Send()
	}
}

func provideHost(i do.Injector) (*cell.Host, error) {
	s := do.MustInvoke[setup.Settings](i)
	tab := do.MustInvoke[*table.Table](i)
	return &cell.Host{
		Table:   tab,
		Ledger:  &ledger.Ledger{Table: tab},
		Workers: &worker.Pool{},
		Objects: &object.Store{Wire: &wire.Client{Addr: s.Platform}},
		State:   guard.Shares{Limit: guard.Limits{MemoryMB: s.MemoryMB, MaxFds: s.MaxFds}.State()},
	}, nil
}

func provideNode(i do.Injector) (*node.Node, error) {
	s := do.MustInvoke[setup.Settings](i)
	n := &node.Node{
		Settings: s,
		Host:     do.MustInvoke[*cell.Host](i),
		Config: &config.Store{
			Table: do.MustInvoke[*table.Table](i),
			NowMs: func() int64 { return time.Now().UnixMilli() },
		},
		VMList: &vmlist.List{Wire: &wire.Client{Addr: s.Platform}},
		Log:    do.MustInvoke[*event.Log](i),
		Meter:  do.MustInvoke[*metric.Meter](i),
	}
	n.Config.Known = n.KnownConfig
	n.Prepare()
	do.MustInvoke[*gaugeSource](i).node.Store(n)
	return n, nil
}

// Process is a running node with its HTTP and gRPC servers.
type Process struct {
	Node *node.Node

	settings      setup.Settings
	ports         *guard.Ports
	app           *fiber.App
	rpc           *grpc.Server
	stopRequested chan struct{}
	stopOnce      sync.Once
	cancel        context.CancelFunc
	done          chan struct{}
	failed        chan error
}

// Start checks the settings, listens on the node's addresses and runs the node. Log lines
// are written to log. If an address can't be opened, the error comes with a Process that
// is not running and must not be stopped.
func Start(s setup.Settings, log io.Writer) (*Process, error) {
	if err := s.Check(); err != nil {
		return nil, err
	}
	i := do.New()
	do.ProvideValue(i, s)
	do.ProvideValue(i, LogWriter{log})
	Provide(i)
	n, err := do.Invoke[*node.Node](i)
	if err != nil {
		return nil, fmt.Errorf("build node: %w", err)
	}
	p := &Process{
		Node: n, settings: s, ports: do.MustInvoke[*guard.Ports](i), stopRequested: make(chan struct{}),
		done: make(chan struct{}), failed: make(chan error, 2),
	}
	return p, p.serve()
}

func (p *Process) serve() error {
	callers, err := net.Listen("tcp", p.settings.Listen)
	if err != nil {
		return fmt.Errorf("listen for callers: %w", err)
	}
	peers, err := net.Listen("tcp", p.settings.PeerListen)
	if err != nil {
		_ = callers.Close()
		return fmt.Errorf("listen for peers: %w", err)
	}
	limits := guard.Limits{MemoryMB: p.settings.MemoryMB, MaxFds: p.settings.MaxFds}
	callers = guard.NewListener(callers, limits.CallerConns(), &p.ports.Counters)
	peers = p.ports.Peers.Listen(peers, limits.PeerConns())
	p.app = fiber.New(guard.Config(fiber.Config{Immutable: true, ErrorHandler: writeHTTPError}))
	p.app.Use(guard.Track, p.readBody)
	(&jobapi.API{Node: p.Node, Replies: &p.ports.Replies}).Mount(p.app)
	(&admin.API{Node: p.Node, Replies: &p.ports.Replies, Stop: p.RequestStop}).Mount(p.app)
	p.rpc = peer.NewServer(&p.ports.Peers, p.Node.Handlers())
	ctx, cancel := context.WithCancel(context.Background())
	p.cancel = cancel
	go p.watchClients(ctx)
	go func() { p.failed <- p.app.Listener(callers) }()
	go func() { p.failed <- p.rpc.Serve(peers) }()
	go func() {
		defer close(p.done)
		p.Node.Run(ctx)
	}()
	return nil
}

// readBody reads the body of a request within the limits for the handlers that follow.
func (p *Process) readBody(c *fiber.Ctx) error {
	if c.Request().Header.ContentLength() == 0 || !c.Request().IsBodyStream() {
		return c.Next()
	}
	data, hold, err := guard.ReadBody(c, &p.ports.Bodies, p.settings.MaxBody)
	defer hold.Release()
	if err != nil {
		return err
	}
	c.Request().SetBodyRaw(data)
	c.Request().Header.Del(fiber.HeaderContentEncoding) // it is the identity
	return c.Next()
}

// statusByError maps errors of reading a body to HTTP statuses.
var statusByError = map[error]int{
	guard.ErrTooLarge: fiber.StatusRequestEntityTooLarge, guard.ErrEncoding: fiber.StatusUnsupportedMediaType,
	guard.ErrIncomplete: fiber.StatusRequestTimeout, guard.ErrNoMemory: fiber.StatusServiceUnavailable,
}

// watchClients closes slow connections and logs which clients were refused until ctx ends.
func (p *Process) watchClients(ctx context.Context) {
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			p.ports.Tick(p.Node.Log)
		}
	}
}

// writeHTTPError replies to errors of the HTTP layer with a jobapi.Problem, as for all
// other errors.
func writeHTTPError(c *fiber.Ctx, err error) error {
	p := jobapi.Problem{Error: "http", Message: err.Error(), Ran: "no", Next: "correct the request"}
	status := fiber.StatusInternalServerError
	var httpErr *fiber.Error
	if errors.As(err, &httpErr) {
		status = httpErr.Code
	}
	for known, code := range statusByError {
		if errors.Is(err, known) {
			status = code
		}
	}
	if status == fiber.StatusServiceUnavailable {
		p.Error, p.Next = "not-ready", "send again with the same key"
		c.Set(fiber.HeaderRetryAfter, "1")
	}
	if status == fiber.StatusRequestEntityTooLarge {
		p.Error, p.Next = "too-large", "send a smaller body, or keep large data in the object store"
	}
	return c.Status(status).JSON(p)
}

// RequestStop closes the channel of StopRequested. The owner of the process must then
// call Stop. Further calls have no effect.
func (p *Process) RequestStop() { p.stopOnce.Do(func() { close(p.stopRequested) }) }

// StopRequested returns a channel that is closed by the first RequestStop.
func (p *Process) StopRequested() <-chan struct{} { return p.stopRequested }

// Failed returns a channel that receives the result of each server when it ends.
func (p *Process) Failed() <-chan error { return p.failed }

// Stop drains the node, stops the servers and waits for the node to end. It reports
// whether all requests in progress were finished within the drain limit.
func (p *Process) Stop() bool {
	ctx, cancel := context.WithTimeout(context.Background(), p.settings.DrainLimit)
	defer cancel()
	clean := p.Node.Drain(ctx)
	_ = p.app.ShutdownWithContext(ctx)
	stopped := make(chan struct{})
	go func() {
		p.rpc.GracefulStop()
		close(stopped)
	}()
	select {
	case <-stopped:
	case <-ctx.Done():
		p.rpc.Stop()
	}
	p.cancel()
	<-p.done
	p.Node.Log.Emit(event.NodeStopped).Bool("clean", clean).Send()
	return clean
}

// Kill stops the node and its servers without draining, to simulate a crash in tests and
// in the demo.
func (p *Process) Kill() {
	p.rpc.Stop()
	p.Node.Kill()
	p.cancel()
	_ = p.app.ShutdownWithTimeout(time.Millisecond)
	<-p.done
}
