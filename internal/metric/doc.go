// Package metric records the metrics of a node with OpenTelemetry instruments and serves them over
// HTTP to Prometheus. The zero Meter and a nil Work record nothing.
package metric
