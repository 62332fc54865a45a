package quay

import (
	"context"

	"hornbeamwinch.example/berth"
)

// Forwarder forwards requests to other entry hosts.
type Forwarder interface {
	// Forward has host route r and passes the response to sink. An error of
	// [KindNotRun] means that the host was not reached. Without an error, the
	// outcome is the one that the host returned.
	Forward(ctx context.Context, host berth.Host, r *Request, sink Sink) (Outcome, error)
}

// Directory lists the entry hosts of failure domains.
type Directory interface {
	// Hosts returns the active entry hosts of a failure domain, in any order.
	Hosts(domain berth.DomainID) []berth.Host
}
