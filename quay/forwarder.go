package quay

import (
	"context"

	"hornbeamwinch.example/berth"
)

// Forwarder hands a request to another entry host.
type Forwarder interface {
	// Forward runs r on host and passes the answer to sink. An error of
	// [KindNotRun] means that the host was not reached. Without an error the
	// outcome is the other host's.
	Forward(ctx context.Context, host berth.Host, r *Request, sink Sink) (Outcome, error)
}

// Directory tells where the entry hosts of the failure domains are.
type Directory interface {
	// Hosts returns the active entry hosts of a failure domain, in any order.
	Hosts(domain berth.DomainID) []berth.Host
}
