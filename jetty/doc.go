// Package jetty implements the entry host: an HTTP reverse proxy that routes
// requests by key to backend servers, each of which owns its keys exclusively.
// It is for a platform that has a transactional store and backend servers that
// check grants.
//
// A [Host] has these parts, each with goroutines of its own:
//
//   - The watcher follows the store, directly or through the feeder of the
//     failure domain: configuration, backend servers, tables of key owners, and
//     the record of the placer.
//   - The change log keeps the store's latest changes, so that this host can be
//     the feeder of other hosts.
//   - The ingress serves callers: it matches the route, waits for admission,
//     forwards the request and passes on the response.
//   - The reporter sends load measurements to the placer.
//   - The placer runs on the host that holds the placer's lease. It assigns keys
//     to backend servers and moves them.
//
// Backend servers reject requests for keys that they do not own. So a host
// forwards by the newest table that it has, and needs no lease for that.
//
// The placer sends orders to backend servers: a grant lets a server run requests
// for a range of keys for a limited time, the hold, and a release ends an earlier
// grant. A placer may write tables while the lease of its [term] lasts. Its
// orders only carry out what the tables in the store say, and go on for a limited
// time when the store is unreachable. The next placer asks the hosts of earlier
// placers to end their terms; see [takeover].
//
// Lock order: admissionSet.mu before admission.mu. No other mutex is held while
// a further one is locked.
//
// # Usage
//
//	host, err := jetty.New(jetty.Config{Settings: settings, Store: store, Protocol: protocol})
//	err = host.Start(ctx)
//	defer host.Stop(ctx)
//
// [Module] provides the same host to an fx application.
package jetty
