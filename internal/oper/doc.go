// Package oper serves operators and the balancer over HTTP: configuration,
// nodes, workspaces, explanations, health, metrics and a status page.
package oper
