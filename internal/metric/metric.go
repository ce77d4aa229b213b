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

// Gauges holds the gauge values of one cell that a node reports at a scrape.
type Gauges struct {
	Cell          string
	Owned         bool
	Fragmentation float64
	AtRisk        int
	Queued        int
	Running       int
	Open          int
	Quarantined   int
}

// Meter holds the instruments of one node. A nil Meter and the zero value record nothing.
type Meter struct {
	handler        http.Handler
	completionTime metric.Float64Histogram
	startDelay     metric.Float64Histogram
	tableTime      metric.Float64Histogram
	unknownTxns    metric.Int64Counter
	jobsEnded      metric.Int64Counter
	requests       metric.Int64Counter
	evictions      metric.Int64Counter
	sdk            metric.Meter
}

// New returns a Meter that calls gauges at each scrape for the current gauge values, one per cell.
func New(gauges func() []Gauges) (*Meter, error) {
	registry := prometheus.NewRegistry()
	exporter, err := otelprom.New(otelprom.WithRegisterer(registry))
	if err != nil {
		return nil, fmt.Errorf("make metrics exporter: %w", err)
	}
	m := sdk.NewMeterProvider(sdk.WithReader(exporter)).Meter("greengageline")
	out := &Meter{sdk: m, handler: promhttp.HandlerFor(registry, promhttp.HandlerOpts{})}
	if err := out.declareInstruments(m); err != nil {
		return nil, fmt.Errorf("declare metrics: %w", err)
	}
	return out, declareGauges(m, gauges)
}

func (m *Meter) declareInstruments(sdkMeter metric.Meter) (err error) {
	if m.completionTime, err = sdkMeter.Float64Histogram("job_completion_seconds",
		metric.WithDescription("Time from acceptance to the end of a job."),
		metric.WithExplicitBucketBoundaries(1, 10, 60, 300, 1800, 3600, 4*3600, 12*3600, 24*3600)); err != nil {
		return err
	}
	if m.startDelay, err = sdkMeter.Float64Histogram("job_start_seconds",
		metric.WithDescription("Time from acceptance to the start of a job."),
		metric.WithExplicitBucketBoundaries(0.05, 0.1, 0.25, 0.5, 1, 2, 4, 8.3, 30, 120, 600, 3600)); err != nil {
		return err
	}
	if m.tableTime, err = sdkMeter.Float64Histogram("table_seconds",
		metric.WithDescription("Time of one operation on the platform's table."),
		metric.WithExplicitBucketBoundaries(0.001, 0.005, 0.02, 0.1, 0.5, 1, 2, 5)); err != nil {
		return err
	}
	if m.unknownTxns, err = sdkMeter.Int64Counter("table_unknown_total",
		metric.WithDescription("Transactions whose answer was lost.")); err != nil {
		return err
	}
	if m.jobsEnded, err = sdkMeter.Int64Counter("jobs_ended_total",
		metric.WithDescription("Jobs that ended, by state.")); err != nil {
		return err
	}
	if m.requests, err = sdkMeter.Int64Counter("requests_total",
		metric.WithDescription("Short requests, by outcome.")); err != nil {
		return err
	}
	m.evictions, err = sdkMeter.Int64Counter("evictions_total",
		metric.WithDescription("Jobs stopped to give places back."))
	return err
}

func declareGauges(m metric.Meter, gauges func() []Gauges) error {
	declareGauge := func(name, doc string, pick func(Gauges) float64) error {
		_, err := m.Float64ObservableGauge(name, metric.WithDescription(doc),
			metric.WithFloat64Callback(func(_ context.Context, o metric.Float64Observer) error {
				for _, g := range gauges() {
					o.Observe(pick(g), metric.WithAttributes(attribute.String("cell", g.Cell)))
				}
				return nil
			}))
		return err
	}
	owned := func(g Gauges) float64 {
		if g.Owned {
			return 1
		}
		return 0
	}
	for _, gauge := range []struct {
		name, doc string
		pick      func(Gauges) float64
	}{
		{"cell_owned", "1 if this node owns the cell.", owned},
		{"fragmentation", "Share of open accelerators that the shapes in demand can't use.", func(g Gauges) float64 { return g.Fragmentation }},
		{"guarantee_at_risk_accelerators", "Guaranteed accelerators that can't be formed now.", func(g Gauges) float64 { return float64(g.AtRisk) }},
		{"jobs_queued", "Jobs that wait.", func(g Gauges) float64 { return float64(g.Queued) }},
		{"jobs_running", "Jobs that hold places.", func(g Gauges) float64 { return float64(g.Running) }},
		{"accelerators_open", "Accelerators that nothing occupies.", func(g Gauges) float64 { return float64(g.Open) }},
		{"workers_quarantined", "Workers in quarantine or on probation.", func(g Gauges) float64 { return float64(g.Quarantined) }},
	} {
		if err := declareGauge(gauge.name, gauge.doc, gauge.pick); err != nil {
			return fmt.Errorf("declare metric %q: %w", gauge.name, err)
		}
	}
	return nil
}

// DeclareClients declares the metrics of WorkNames on clients outside the limits, by name with a function that returns
// the value.
func (m *Meter) DeclareClients(values map[string]func() int64) error {
	for name, value := range values {
		if _, err := m.sdk.Int64ObservableGauge(name, metric.WithDescription(description(name)),
			metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
				o.Observe(value())
				return nil
			})); err != nil {
			return fmt.Errorf("declare metric %q: %w", name, err)
		}
	}
	return nil
}

// Handler returns the HTTP handler that serves the metrics in the Prometheus text format.
func (m *Meter) Handler() http.Handler {
	if m == nil || m.handler == nil {
		return http.NotFoundHandler()
	}
	return m.handler
}

// JobEnded counts the end of a job and records took, the time since its acceptance.
func (m *Meter) JobEnded(workspace, state string, took time.Duration) {
	if m == nil || m.jobsEnded == nil {
		return
	}
	attrs := metric.WithAttributes(attribute.String("workspace", workspace), attribute.String("state", state))
	m.jobsEnded.Add(context.Background(), 1, attrs)
	m.completionTime.Record(context.Background(), took.Seconds(), attrs)
}

// JobStarted records took, the time from the acceptance to the start of a job.
func (m *Meter) JobStarted(took time.Duration, urgent bool) {
	if m == nil || m.startDelay == nil {
		return
	}
	m.startDelay.Record(context.Background(), took.Seconds(), metric.WithAttributes(attribute.Bool("urgent", urgent)))
}

// Table records the time of one operation on the platform's table. unknown means that the answer was lost.
func (m *Meter) Table(op string, took time.Duration, unknown bool) {
	if m == nil || m.tableTime == nil {
		return
	}
	m.tableTime.Record(context.Background(), took.Seconds(), metric.WithAttributes(attribute.String("op", op)))
	if unknown {
		m.unknownTxns.Add(context.Background(), 1)
	}
}

// Request counts a short request by its outcome.
func (m *Meter) Request(outcome string) {
	if m == nil || m.requests == nil {
		return
	}
	m.requests.Add(context.Background(), 1, metric.WithAttributes(attribute.String("outcome", outcome)))
}

// Evicted counts the eviction of a job of the workspace.
func (m *Meter) Evicted(workspace string) {
	if m == nil || m.evictions == nil {
		return
	}
	m.evictions.Add(context.Background(), 1, metric.WithAttributes(attribute.String("workspace", workspace)))
}
