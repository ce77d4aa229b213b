// Package upkeep plans the maintenance of VMs, which is called upkeep. A wave is an operator's request
// that each VM of a list goes through upkeep once. The package decides which VMs are drained and taken
// down, and when: never more at once than the wave allows, VMs with least work first, and within the
// wave's term.
//
// Planner is deterministic: it is given states and times and returns steps; it does no I/O. The
// decision to take a VM down is recorded before it is carried out, so that a new owner counts that VM
// as down.
package upkeep
