// Package quay takes requests from callers to backend servers and brings whole
// answers back.
//
// Every request ends in exactly one [Outcome]: a whole answer, a refusal that
// certifies that the request did not run, or an unknown outcome. A refusal is
// given at once and tells the caller when to come back. An answer that breaks
// off after its head was passed on is aborted visibly and never completed.
//
// [Router] decides where a request goes. A key of a divided service goes to
// its one owner; a request of another service goes to one of two servers
// chosen at random, the one with less work. A request that this host may not
// dispatch is forwarded to an entry host that may.
//
// What limits the work of one host:
//
//   - [Limiter] holds the host's part of each server's slots and a queue that
//     is ordered by deadline;
//   - [RetryBudget] ties retries to recent successes;
//   - [Claims] makes sure that a request that must not be repeated is sent to
//     a backend server at most once for each idempotency key.
//
// # Usage
//
//	router := quay.NewRouter(quay.RouterConfig{Gate: gate, Services: services})
//	outcome := router.Route(ctx, request, sink)
package quay
