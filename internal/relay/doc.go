// Package relay lets other nodes carry the owner's orders to workers, so that neither its link nor its processor has
// to take part in each call.
//
// The owner decides and records; a carrier only passes orders on and returns the answers. It keeps no state that an
// owner relies on, so it may be lost, frozen or cut off at any moment: an order without an answer is an order whose
// outcome is not known, as it is for a call to the worker itself, and holds are then sent to the worker directly.
//
// A carrier may be suspended with orders in hand. Each message of a carrier has the time of its own clock, and each
// batch of orders has the time of the last message that the owner has seen. A carrier that sends an order later than
// MaxAge after that time refuses it instead, so that no order reaches a worker later than MaxAge after it was given.
package relay
