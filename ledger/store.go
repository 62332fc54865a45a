package ledger

import (
	"context"
	"time"
)

// MaxValueBytes is the size limit of a value in the store.
const MaxValueBytes = 1 << 20

// LeaseID identifies a lease.
type LeaseID string

// Entry is a key with its value and revision.
type Entry struct {
	Key      string
	Value    []byte
	Revision Revision
}

// Swap is a conditional write: it takes effect only if the key is at Revision.
// A Revision of zero requires that the key does not exist.
type Swap struct {
	Key      string
	Revision Revision
	Value    []byte
	// Lease, if set, is the lease to which the key is tied: the key is deleted
	// when the lease ends.
	Lease LeaseID
}

// BackendState is the state of a backend server in the platform's list. It lags
// behind the actual state.
type BackendState string

// States of a backend server in the platform's list.
const (
	BackendLive    BackendState = "live"
	BackendLeaving BackendState = "leaving"
)

// Backend is one entry of the platform's list of backend servers.
type Backend struct {
	ID           string       `json:"id"`
	Address      string       `json:"address"`
	Service      string       `json:"service"`
	Domain       string       `json:"domain"`
	State        BackendState `json:"state"`
	ChecksGrants bool         `json:"checks_grants"`
	Slots        uint32       `json:"slots"`
	Connections  uint32       `json:"connections"`
}

// Store is the platform's key-value service. Its methods are safe for
// concurrent use and return errors of type [*Error].
type Store interface {
	// Get returns the entry of key, or an error of [KindNotFound].
	Get(ctx context.Context, key string) (Entry, error)
	// Unchanged reports whether key is at revision, without transferring the
	// value.
	Unchanged(ctx context.Context, key string, revision Revision) (bool, error)
	// List returns the entries whose keys have the given prefix, ordered by key.
	List(ctx context.Context, prefix string) ([]Entry, error)
	// Watch waits until an entry under prefix has a revision greater than after,
	// but no longer than wait, and returns the entries that have one.
	Watch(ctx context.Context, prefix string, after Revision, wait time.Duration) ([]Entry, error)
	// Swap writes a value conditionally and returns its revision.
	Swap(ctx context.Context, swap Swap) (Revision, error)
	// Delete deletes key if it is at revision.
	Delete(ctx context.Context, key string, revision Revision) error
	// GrantLease creates a lease that expires after ttl unless it is renewed.
	GrantLease(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// RenewLease resets the time to live of a lease.
	RenewLease(ctx context.Context, lease LeaseID) error
	// RevokeLease ends a lease and deletes the keys tied to it.
	RevokeLease(ctx context.Context, lease LeaseID) error
	// Backends returns the platform's list of backend servers.
	Backends(ctx context.Context) ([]Backend, error)
}
