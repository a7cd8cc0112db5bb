// Package limit decides what may start: a bounded queue per service, a
// concurrency limit per backend server, request rates per account, and a budget
// for retries.
package limit

import "time"

// Class orders requests in a queue.
type Class uint8

// The classes, from first to last served.
const (
	Urgent Class = iota
	Normal
	Bulk

	classCount
)

// Request describes a request that wants to start.
type Request struct {
	Class    Class
	Account  string
	Deadline time.Time // Zero for none.
}
