// Package wire sends one JSON message over HTTP and reads one JSON answer.
//
// The adapters of the platform and of the workers share it. It never repeats a
// request on its own: whether a request may be sent again is decided above.
package wire
