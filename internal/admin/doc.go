// Package admin serves the HTTP interface for operators and the load balancer:
// configuration, status, usage, job explanations, drain, health, metrics and a
// status page.
package admin
