// Package quay implements request routing on an entry host: it forwards the
// requests of callers to backend servers and passes on the responses.
//
// Every request ends in exactly one [Outcome]: a whole response, a refusal that
// certifies that the request did not run, or an unknown outcome. A refusal is
// immediate and includes the delay after which the caller should retry. A
// response that breaks off after its header was passed on is aborted, so that
// the caller can detect the truncation; it never looks complete.
//
// [Router] selects the backend server. A key of a service that is divided by key
// has exactly one owner, which gets all its requests. For other services, the
// router picks two servers at random and uses the one with fewer requests. A
// request that this host may not dispatch is forwarded to an entry host that may.
//
// These types limit retries and the load on backend servers:
//
//   - [Limiter] limits the requests in flight to the host's share of each
//     server's slots, and queues further requests by deadline.
//   - [RetryBudget] limits retries to a fraction of recent successes.
//   - [Claims] ensures that a request that must not be repeated is sent to a
//     backend server at most once for each idempotency key.
//
// # Usage
//
//	router := quay.NewRouter(quay.RouterConfig{Gate: gate, Services: services})
//	outcome := router.Route(ctx, request, sink)
package quay
