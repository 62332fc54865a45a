package ledger

import (
	"context"
	"time"
)

// Change is one change of a key that a watch reports.
type Change struct {
	Entry
	// Removed says that the key is gone; the entry then has no value.
	Removed bool
}

// Expectation is a condition of a [Txn]: Key is at Revision, or does not exist
// if Revision is zero.
type Expectation struct {
	Key      string
	Revision Revision
}

// Write sets the value of one key in a [Txn].
type Write struct {
	Key   string
	Value []byte
	// Lease ties the key's life to a lease, if it is set.
	Lease LeaseID
}

// Txn is a set of writes that takes effect as a whole, and only if every
// expectation holds.
type Txn struct {
	Expect []Expectation
	Put    []Write
	Remove []string
}

// TxnStore is a key-value service with one revision counter for all keys and
// with transactions over several keys. Its methods are safe for concurrent use
// and return errors of type [*Error].
type TxnStore interface {
	// Get returns the entry of key, or an error of [KindNotFound].
	Get(ctx context.Context, key string) (Entry, error)
	// Scan returns the entries under prefix. They may have changed one by one
	// while the scan ran; a watch from the returned revision has all changes
	// that the scan may have missed.
	Scan(ctx context.Context, prefix string) ([]Entry, Revision, error)
	// Watch waits until an entry under prefix has changed after the given
	// revision, or for the given time, and returns the changes and the
	// revision from which to go on. [KindCompacted] means that a scan is
	// needed first.
	Watch(ctx context.Context, prefix string, after Revision, wait time.Duration) ([]Change, Revision, error)
	// Commit carries out txn and returns its revision.
	Commit(ctx context.Context, txn Txn) (Revision, error)
	// GrantLease creates a lease that ends after ttl unless it is renewed.
	GrantLease(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// RenewLease starts the time to live of a lease again.
	RenewLease(ctx context.Context, lease LeaseID) error
	// RevokeLease ends a lease and removes the keys tied to it.
	RevokeLease(ctx context.Context, lease LeaseID) error
}
