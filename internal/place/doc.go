// Package place decides which job runs where, under which right, and what is
// evicted, refused, reserved or quarantined for it.
//
// It is pure: an Engine is stepped with events that carry the time, and returns
// decisions with their reasons. It has no clock, does no I/O and draws no
// random numbers, so that the same events always give the same decisions.
//
// Accelerators of one worker are interchangeable; an Engine counts them and the
// worker picks the devices. docs/DESIGN.md explains the policy and the figures
// that speak for each rule.
package place
