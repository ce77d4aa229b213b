// Package place decides which jobs run on which workers, in which mode, and what is evicted, refused,
// held or quarantined as a result.
//
// The package does no I/O, has no clock and draws no random numbers: an Engine is stepped with events
// that carry the time and returns decisions with their reasons, so the same events always give the
// same decisions. Times are in milliseconds, capacities in accelerators.
//
// Terms:
//   - A worker is one target VM. Its accelerators are interchangeable: an Engine counts them and the
//     worker picks the devices.
//   - A gang is a job with several tasks, which start together or not at all.
//   - A claim is one instance of a workspace's guarantee: capacity reserved for one shape. The
//     reasons of decisions call it a share.
//   - A guaranteed job uses a claim of its workspace. A spare job runs on accelerators that no claim
//     reserves. A borrowed job may also run on the reserved but unused accelerators of claims and is
//     evicted when they are needed. Guaranteed and spare jobs (non-borrowed) are never evicted for
//     another job.
//   - A hold is a temporary reservation of workers for a blocked gang. Jobs that end before the gang
//     is expected to start are backfilled there.
//   - A slot is room for one task of a given size.
//
// docs/DESIGN.md explains the policy and gives the figures behind each rule.
package place
