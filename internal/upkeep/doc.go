// Package upkeep decides which VMs of a wave go into upkeep, and when: never
// more at once than the wave allows, idle ones first, and in time.
//
// Planner is pure: states and times go in, steps come out. A step that takes a
// VM down is recorded before it is carried out, so that a new owner counts it.
package upkeep
