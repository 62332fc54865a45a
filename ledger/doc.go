// Package ledger is the client of the platform's key-value service, the only
// place where the system agrees on anything or keeps anything.
//
// The service offers compare-and-swap, leases and watches, and a lagging list
// of backend servers. [Store] is the narrow interface that the rest of the
// system uses; [HTTP] speaks the protocol of docs/PROTOCOLS.md. Another
// platform needs another implementation of [Store] only.
//
// A write has three outcomes. It is recorded, it is refused because the record
// had changed, or its outcome is unknown because the answer was lost. The
// error of the third has [KindUnknown]; the caller must read the record before
// it assumes anything.
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
