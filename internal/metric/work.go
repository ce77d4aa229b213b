package metric

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.opentelemetry.io/otel/attribute"
	otelprom "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdk "go.opentelemetry.io/otel/sdk/metric"
)

// WorkGauges holds the gauge values that a node on the platform reports at a scrape.
type WorkGauges struct {
	Owner      bool
	Epoch      int64
	Plan       uint64
	PlanAge    time.Duration
	CommitAge  time.Duration
	OpenJobs   int
	Unstarted  int
	Placed     int
	Quarantine int
	Silent     int
	// Speeds has the number of workers by speed class.
	Speeds map[string]int
	// StartWindow is how many starts may be in flight, StartsWaiting how many are decided and not sent.
	StartWindow, StartsWaiting int
	// EvacuatedZones counts the evacuated zones; UnfitAccelerators and UnfitGangs are what no longer fits in the others.
	EvacuatedZones, UnfitAccelerators, UnfitGangs int
	StoreFails                                    int64
	Dropped                                       int64
	// TooLarge, NoMemory, Stalled and Crowded count the clients that were refused or cut off, HeldBytes the bytes of
	// requests that the node holds.
	TooLarge, NoMemory, Stalled, Crowded, HeldBytes int64
	// StateBytes and StateLeft are the bytes that the state of the owner's jobs takes, and how many more it may take.
	StateBytes, StateLeft int64
}

// Work holds the instruments of a node on the platform. A nil Work records nothing.
type Work struct {
	handler    http.Handler
	calls      metric.Int64Counter
	callTime   metric.Float64Histogram
	jobsEnded  metric.Int64Counter
	runsEnded  metric.Int64Counter
	orders     metric.Int64Counter
	startDelay metric.Float64Histogram
	jobTime    metric.Float64Histogram
	stopTime   metric.Float64Histogram
}

// WorkNames lists the metrics with their descriptions, which docs/OPERATIONS.md repeats.
var WorkNames = [][2]string{
	{"calls_total", "Calls of callers, by op and outcome."},
	{"call_seconds", "Time of a call, by op."},
	{"work_ended_total", "Jobs whose final state is durable, by state."},
	{"work_start_seconds", "Time from acceptance to a job's first start."},
	{"work_end_seconds", "Time from acceptance to a job's end."},
	{"runs_ended_total", "Runs that ended, by cause."},
	{"run_stopped_seconds", "Time from the placement of a run to the decision to stop it, by the priority of its queue."},
	{"orders_total", "Orders to workers, by kind and outcome."},
	{"owner", "1 if this node owns the work."},
	{"owner_epoch", "Epoch of the ownership, 0 elsewhere."},
	{"owner_commit_age_seconds", "Time since the owner's last commit was sent."},
	{"plan_version", "Version of the plan in force."},
	{"plan_age_seconds", "Time since the plan was shown to be the newest."},
	{"jobs_open", "Jobs that have not ended, at the owner."},
	{"jobs_unstarted", "Open jobs of which nothing has started."},
	{"runs_placed", "Runs that are placed on workers."},
	{"workers_quarantined", "Workers that get nothing because runs fail there."},
	{"workers_silent", "Workers that do not answer."},
	{"workers_speed", "Workers by speed class at the owner: unknown, fast, typical, slow."},
	{"starts_window", "Starts that the owner may have in flight, by how promptly they are answered."},
	{"starts_waiting", "Starts that are decided and not sent yet."},
	{"zones_evacuated", "Zones that the operator has evacuated, at the owner."},
	{"guarantees_unfit_accelerators", "Guaranteed accelerators that do not fit in the zones that are not evacuated."},
	{"gangs_unfit", "Gangs that fit only with the evacuated zones."},
	{"store_failures_total", "Calls of the owner to the store that failed."},
	{"traffic_bytes_total", "Bytes that this node exchanged, by kind of message and direction."},
	{"traffic_messages_total", "Messages that this node sent, by kind."},
	{"clients_too_large_total", "Requests refused because their body is over the limit."},
	{"clients_no_memory_total", "Requests refused because there was no memory for their body."},
	{"clients_stalled_total", "Connections closed because an unfinished request held memory that others needed."},
	{"clients_crowded_total", "Connections closed for newer ones because there were too many."},
	{"request_bytes_held", "Bytes held by bodies of requests and by unfinished messages of nodes."},
	{"job_state_bytes", "Bytes that the state of the jobs takes, at the owner."},
	{"job_state_left_bytes", "Bytes that the state of further jobs may take, at the owner."},
	{"log_lines_dropped_total", "Log lines dropped because the output stood still."},
}

func description(name string) string {
	for _, n := range WorkNames {
		if n[0] == name {
			return n[1]
		}
	}
	return ""
}

// NewWork returns a Work that calls gauges at each scrape for the current gauge values and reads t, which may be nil.
func NewWork(gauges func() WorkGauges, t *Traffic) (*Work, error) {
	registry := prometheus.NewRegistry()
	exporter, err := otelprom.New(otelprom.WithRegisterer(registry), otelprom.WithoutScopeInfo(), otelprom.WithoutTargetInfo())
	if err != nil {
		return nil, fmt.Errorf("make metrics exporter: %w", err)
	}
	m := sdk.NewMeterProvider(sdk.WithReader(exporter)).Meter("greengageline")
	w := &Work{handler: promhttp.HandlerFor(registry, promhttp.HandlerOpts{})}
	for name, c := range map[string]*metric.Int64Counter{
		"calls_total": &w.calls, "work_ended_total": &w.jobsEnded, "runs_ended_total": &w.runsEnded, "orders_total": &w.orders,
	} {
		if *c, err = m.Int64Counter(name, metric.WithDescription(description(name))); err != nil {
			return nil, fmt.Errorf("declare metric %q: %w", name, err)
		}
	}
	for name, h := range map[string]*metric.Float64Histogram{
		"call_seconds": &w.callTime, "work_start_seconds": &w.startDelay, "work_end_seconds": &w.jobTime,
		"run_stopped_seconds": &w.stopTime,
	} {
		if *h, err = m.Float64Histogram(name, metric.WithDescription(description(name)),
			metric.WithExplicitBucketBoundaries(0.01, 0.05, 0.1, 0.25, 0.5, 1, 2, 5, 10, 30, 120, 600)); err != nil {
			return nil, fmt.Errorf("declare metric %q: %w", name, err)
		}
	}
	if err := declareTraffic(m, t); err != nil {
		return nil, err
	}
	return w, declareWorkGauges(m, gauges)
}

// declareTraffic declares the metrics of t.
func declareTraffic(m metric.Meter, t *Traffic) error {
	for name, observe := range map[string]func(o metric.Int64Observer, kind attribute.KeyValue, f Flow){
		"traffic_bytes_total": func(o metric.Int64Observer, kind attribute.KeyValue, f Flow) {
			o.Observe(f.Sent, metric.WithAttributes(kind, attribute.String("direction", "sent")))
			o.Observe(f.Received, metric.WithAttributes(kind, attribute.String("direction", "received")))
		},
		"traffic_messages_total": func(o metric.Int64Observer, kind attribute.KeyValue, f Flow) {
			o.Observe(f.Messages, metric.WithAttributes(kind))
		},
	} {
		_, err := m.Int64ObservableCounter(name, metric.WithDescription(description(name)),
			metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
				for kind, f := range t.Flows() {
					observe(o, attribute.String("kind", kind), f)
				}
				return nil
			}))
		if err != nil {
			return fmt.Errorf("declare metric %q: %w", name, err)
		}
	}
	return nil
}

func declareWorkGauges(m metric.Meter, gauges func() WorkGauges) error {
	boolValue := func(b bool) float64 {
		if b {
			return 1
		}
		return 0
	}
	for name, pick := range map[string]func(WorkGauges) float64{
		"owner":                         func(g WorkGauges) float64 { return boolValue(g.Owner) },
		"owner_epoch":                   func(g WorkGauges) float64 { return float64(g.Epoch) },
		"owner_commit_age_seconds":      func(g WorkGauges) float64 { return g.CommitAge.Seconds() },
		"plan_version":                  func(g WorkGauges) float64 { return float64(g.Plan) },
		"plan_age_seconds":              func(g WorkGauges) float64 { return g.PlanAge.Seconds() },
		"jobs_open":                     func(g WorkGauges) float64 { return float64(g.OpenJobs) },
		"jobs_unstarted":                func(g WorkGauges) float64 { return float64(g.Unstarted) },
		"runs_placed":                   func(g WorkGauges) float64 { return float64(g.Placed) },
		"workers_quarantined":           func(g WorkGauges) float64 { return float64(g.Quarantine) },
		"workers_silent":                func(g WorkGauges) float64 { return float64(g.Silent) },
		"starts_window":                 func(g WorkGauges) float64 { return float64(g.StartWindow) },
		"starts_waiting":                func(g WorkGauges) float64 { return float64(g.StartsWaiting) },
		"zones_evacuated":               func(g WorkGauges) float64 { return float64(g.EvacuatedZones) },
		"guarantees_unfit_accelerators": func(g WorkGauges) float64 { return float64(g.UnfitAccelerators) },
		"gangs_unfit":                   func(g WorkGauges) float64 { return float64(g.UnfitGangs) },
		"store_failures_total":          func(g WorkGauges) float64 { return float64(g.StoreFails) },
		"log_lines_dropped_total":       func(g WorkGauges) float64 { return float64(g.Dropped) },
		"clients_too_large_total":       func(g WorkGauges) float64 { return float64(g.TooLarge) },
		"clients_no_memory_total":       func(g WorkGauges) float64 { return float64(g.NoMemory) },
		"clients_stalled_total":         func(g WorkGauges) float64 { return float64(g.Stalled) },
		"clients_crowded_total":         func(g WorkGauges) float64 { return float64(g.Crowded) },
		"job_state_bytes":               func(g WorkGauges) float64 { return float64(g.StateBytes) },
		"job_state_left_bytes":          func(g WorkGauges) float64 { return float64(g.StateLeft) },
		"request_bytes_held":            func(g WorkGauges) float64 { return float64(g.HeldBytes) },
	} {
		_, err := m.Float64ObservableGauge(name, metric.WithDescription(description(name)),
			metric.WithFloat64Callback(func(_ context.Context, o metric.Float64Observer) error {
				o.Observe(pick(gauges()))
				return nil
			}))
		if err != nil {
			return fmt.Errorf("declare metric %q: %w", name, err)
		}
	}
	_, err := m.Float64ObservableGauge("workers_speed", metric.WithDescription(description("workers_speed")),
		metric.WithFloat64Callback(func(_ context.Context, o metric.Float64Observer) error {
			speeds := gauges().Speeds
			for _, class := range speedClasses {
				o.Observe(float64(speeds[class]), metric.WithAttributes(attribute.String("class", class)))
			}
			return nil
		}))
	if err != nil {
		return fmt.Errorf("declare metric %q: %w", "workers_speed", err)
	}
	return nil
}

// speedClasses are the classes of workers by speed, as in internal/speed.
var speedClasses = []string{"unknown", "fast", "typical", "slow"}

// Handler returns the HTTP handler that serves the metrics in the Prometheus text format.
func (w *Work) Handler() http.Handler {
	if w == nil || w.handler == nil {
		return http.NotFoundHandler()
	}
	return w.handler
}

// Call counts a caller's call by operation and outcome, and records its time.
func (w *Work) Call(op, outcome string, took time.Duration) {
	if w == nil {
		return
	}
	w.calls.Add(context.Background(), 1, metric.WithAttributes(attribute.String("op", op), attribute.String("outcome", outcome)))
	w.callTime.Record(context.Background(), took.Seconds(), metric.WithAttributes(attribute.String("op", op)))
}

// Ended counts the end of a job by state, and records took, the time since its acceptance.
func (w *Work) Ended(state string, took time.Duration) {
	if w == nil {
		return
	}
	w.jobsEnded.Add(context.Background(), 1, metric.WithAttributes(attribute.String("state", state)))
	w.jobTime.Record(context.Background(), took.Seconds())
}

// Begun records took, the time from the acceptance of a job to its first start.
func (w *Work) Begun(took time.Duration) {
	if w != nil {
		w.startDelay.Record(context.Background(), took.Seconds())
	}
}

// End counts the end of a run by cause.
func (w *Work) End(cause string) {
	if w != nil {
		w.runsEnded.Add(context.Background(), 1, metric.WithAttributes(attribute.String("cause", cause)))
	}
}

// Stop records ran, the time for which a run of a priority was placed before the scheduler stopped it.
func (w *Work) Stop(priority int, ran time.Duration) {
	if w != nil {
		w.stopTime.Record(context.Background(), ran.Seconds(), metric.WithAttributes(attribute.Int("priority", priority)))
	}
}

// Order counts an order to a worker by kind and outcome.
func (w *Work) Order(kind, outcome string) {
	if w != nil {
		w.orders.Add(context.Background(), 1, metric.WithAttributes(attribute.String("kind", kind), attribute.String("outcome", outcome)))
	}
}
