// Package wire sends one JSON message over HTTP and reads one JSON answer.
//
// The clients of the platform and of the workers share it. It never repeats a request
// by itself: the caller decides whether a request may be sent again.
package wire
