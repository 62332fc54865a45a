package ledger

import (
	"context"
	"time"
)

// Change is a change of one key, as reported by a watch.
type Change struct {
	Entry
	// Removed is set if the key was deleted; the entry then has no value.
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
	// Lease, if set, is the lease to which the key is tied: the key is deleted
	// when the lease ends.
	Lease LeaseID
}

// Txn is a transaction: its writes and removals take effect atomically, and only
// if every expectation holds.
type Txn struct {
	Expect []Expectation
	Put    []Write
	Remove []string
}

// TxnStore is a key-value service with one revision counter for all keys and with
// transactions over several keys. Its methods are safe for concurrent use and
// return errors of type [*Error].
type TxnStore interface {
	// Get returns the entry of key, or an error of [KindNotFound].
	Get(ctx context.Context, key string) (Entry, error)
	// Scan returns the entries under prefix and a revision. The entries are not
	// a consistent snapshot: some may have changed during the scan. A watch from
	// the returned revision reports all changes that the scan may have missed.
	Scan(ctx context.Context, prefix string) ([]Entry, Revision, error)
	// Watch waits until an entry under prefix has changed after the given
	// revision, but no longer than wait. It returns the changes and the revision
	// from which the next watch continues. An error of [KindCompacted] means that
	// a scan is needed first.
	Watch(ctx context.Context, prefix string, after Revision, wait time.Duration) ([]Change, Revision, error)
	// Commit applies txn and returns its revision.
	Commit(ctx context.Context, txn Txn) (Revision, error)
	// GrantLease creates a lease that expires after ttl unless it is renewed.
	GrantLease(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// RenewLease resets the time to live of a lease.
	RenewLease(ctx context.Context, lease LeaseID) error
	// RevokeLease ends a lease and deletes the keys tied to it.
	RevokeLease(ctx context.Context, lease LeaseID) error
}
