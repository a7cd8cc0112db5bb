// Package limit implements admission control: a bounded queue per service, an adaptive
// concurrency limit per backend server, a rate limit per account, and a retry budget.
package limit

import "time"

// Class is the priority class of a request in a queue.
type Class uint8

// The classes, from the highest to the lowest priority.
const (
	Urgent Class = iota
	Normal
	Bulk

	classCount
)

// Request describes a request to admit.
type Request struct {
	Class    Class
	Account  string
	Deadline time.Time // Zero for none.
}
