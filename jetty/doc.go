// Package jetty is the entry host on a platform that has a transactional store
// and backend servers that check grants.
//
// A [Host] has these parts, each with goroutines of its own:
//
//   - the watcher follows the store, itself or through the feeder of the failure
//     domain: configuration, backend servers, tables of owners, and the placer;
//   - the mirror keeps the store's latest changes, with which this host can be
//     the feeder of others;
//   - the front serves callers: it matches the route, waits for admission,
//     forwards the request and passes on a whole answer;
//   - the reporter tells the placer what was measured;
//   - the placer runs on the host that holds the placer's lease and moves keys
//     between backend servers.
//
// Backend servers refuse requests for keys that they do not hold, so a host
// forwards by the newest table it knows and needs no lease of its own to do so.
//
// A placer's [term] lets it write while its lease lasts. Its orders to backend
// servers, which only follow the record, go on for a while without the store.
// The next placer ends the terms of earlier ones by asking their hosts; see
// [takeover].
//
// Lock order: deskSet.mu before desk.mu. Every other mutex is a leaf.
//
// # Usage
//
//	host, err := jetty.New(jetty.Config{Settings: settings, Store: store, Dialect: dialect})
//	err = host.Start(ctx)
//	defer host.Stop(ctx)
//
// [Module] offers the same to an fx application.
package jetty
