package jetty

import (
	"time"

	"hornbeamwinch.example/fairway"
)

// HostID names an entry host.
type HostID string

// Settings are those of one entry host. Addresses are host and port.
type Settings struct {
	Host   HostID
	Domain fairway.Domain
	// CallerAddress serves callers and ReadyAddress the balancer's probes.
	CallerAddress string
	ReadyAddress  string
	// PeerAddress serves other entry hosts and AdminAddress operators.
	PeerAddress  string
	AdminAddress string
	StoreAddress string
	// MemoryMB bounds the memory of the process; 0 means no bound.
	MemoryMB int
	// LinkMbps is the bandwidth of the host's link; 0 means that it is not known.
	LinkMbps int
	// ServerHeartbeat is the time between two heartbeats of a backend server.
	ServerHeartbeat time.Duration
	// MinLease is the shortest time to live of a lease in the store.
	MinLease time.Duration
	Bounds   Bounds
}

// Bounds are limits that the platform sets.
type Bounds struct {
	// Shutdown is the time from SIGTERM to SIGKILL.
	Shutdown time.Duration
	// MaxHold is the longest hold that a backend server grants.
	MaxHold time.Duration
	// BudgetWindow, BudgetRatio and BudgetExtra bound the sends beyond the
	// first of each request.
	BudgetWindow time.Duration
	BudgetRatio  float64
	BudgetExtra  float64
}

// DefaultBounds returns the bounds of a platform that states none.
func DefaultBounds() Bounds {
	return Bounds{
		Shutdown:     6 * time.Second,
		MaxHold:      10 * time.Second,
		BudgetWindow: 10 * time.Second,
		BudgetRatio:  0.1,
		BudgetExtra:  10,
	}
}
