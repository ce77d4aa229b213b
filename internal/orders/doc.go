// Package orders defines what the owner sends to workers and receives from them: the types of the orders,
// their errors and the interface. An adapter fills in Fleet.
package orders
