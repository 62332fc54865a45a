// Package ledger implements a client of the platform's key-value service, which
// holds all durable state of the system and is its only means of consensus.
//
// The store offers compare-and-swap, leases and watches, and a list of backend
// servers that lags behind. [Store] is the narrow interface that the rest of the
// system uses, and [HTTP] implements it with the protocol of docs/PROTOCOLS.md.
// Support for another platform needs only another implementation of [Store].
// [TxnStore] is the interface to a key-value service with transactions.
//
// A write has one of three outcomes: it succeeds, it fails with [KindConflict]
// because the key is not at the expected revision, or its outcome is unknown
// because no response was received. In the last case the error has [KindUnknown],
// and the caller must read the key before it relies on either outcome.
//
// # Usage
//
//	store := ledger.NewHTTP(ledger.HTTPConfig{Address: "127.0.0.1:7000"})
//	entry, err := store.Get(ctx, "rules/current")
//	revision, err := store.Swap(ctx, ledger.Swap{
//		Key:      "rules/current",
//		Revision: entry.Revision,
//		Value:    value,
//	})
package ledger
