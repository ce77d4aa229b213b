// Package meter counts what a node does, with OpenTelemetry instruments that a
// Prometheus scraper reads over HTTP. The zero Meter counts nothing.
package meter
