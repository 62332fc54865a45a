package jetty

import (
	"time"

	"hornbeamwinch.example/fairway"
)

// HostID identifies an entry host.
type HostID string

// Settings holds the settings of one entry host. Addresses have the form
// host:port.
type Settings struct {
	Host   HostID
	Domain fairway.Domain
	// CallerAddress listens for callers and ReadyAddress for the load
	// balancer's health checks.
	CallerAddress string
	ReadyAddress  string
	// PeerAddress listens for other entry hosts and AdminAddress for operators.
	PeerAddress  string
	AdminAddress string
	StoreAddress string
	// FirstStart reports whether the whole system starts for the first time, so that the
	// store has forgotten nothing of it if it has no records of it.
	FirstStart bool
	// MemoryMB limits the memory of the process, in MiB; 0 means no limit.
	MemoryMB int
	// MaxFDs limits the descriptors of the process; 0 means unknown.
	MaxFDs int
	// LinkMbps is the bandwidth of the host's network link; 0 means unknown.
	LinkMbps int
	// Cores is the host's share of processor time, in cores; 0 means unknown.
	Cores float64
	// ServerHeartbeat is the time between two heartbeats of a backend server.
	ServerHeartbeat time.Duration
	// MinLease is the shortest time to live of a lease in the store.
	MinLease time.Duration
	Bounds   Bounds
	// SecondSendShare limits the second sends of slow requests, as a part of the requests
	// of each service within 10 s, from 0 (no second sends) to
	// [sluice.MaxSecondSendShare].
	SecondSendShare float64
	// CoordinatePriorities has coordinators admit the requests of services whose recent requests
	// have different priorities, although their servers do not tell their load.
	CoordinatePriorities bool
}

// Bounds are the limits that the platform sets.
type Bounds struct {
	// Shutdown is the time from SIGTERM to SIGKILL.
	Shutdown time.Duration
	// MaxHold is the longest hold that a backend server accepts.
	MaxHold time.Duration
	// BudgetWindow, BudgetRatio and BudgetExtra limit retries: the sends of a
	// request beyond its first.
	BudgetWindow time.Duration
	BudgetRatio  float64
	BudgetExtra  float64
	// A cold backend server gets at most its service's ColdRate, times ColdOverage, plus
	// ColdSlack requests in any second. There is no such bound if ColdOverage is 0.
	ColdOverage float64
	ColdSlack   float64
	// Evacuation is the time from the store's acknowledgment of an evacuation until the
	// servers of the failure domain get no more requests.
	Evacuation time.Duration
}

// DefaultBounds returns the limits for a platform that sets none.
func DefaultBounds() Bounds {
	return Bounds{
		Shutdown:     6 * time.Second,
		MaxHold:      10 * time.Second,
		BudgetWindow: 10 * time.Second,
		BudgetRatio:  0.1,
		BudgetExtra:  10,
		Evacuation:   5 * time.Second,
	}
}
