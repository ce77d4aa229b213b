// Package orders holds what the owner tells workers and hears from them: the
// types of the orders, their errors and the seam. An adapter fills in Fleet.
package orders
