// Package sluice implements admission control, load balancing and retry budgets
// for the requests of one entry host: it decides which request is sent to which
// backend server now, which one waits, and which one is refused.
//
// A [Controller] serves one service. It limits the requests of this host in
// flight at each server by a [window] that grows while responses are well within
// their objective, and shrinks when they are not or when the server rejects
// requests, since all hosts share the server's slots and its short queue. A
// request for which no window has room waits in a queue, ordered by priority
// and by soft deadline. It is refused as soon as its expected wait is too long:
// a response after the objective has a third of the value of one on time, and a
// queue that is longer than the objective would make every response late.
//
// A request that any server can answer goes to the one with the lowest expected
// latency among a few servers that this host prefers. The preferences differ
// from host to host. An [OverloadDetector] combines the reports of all hosts
// about the servers, for hosts that send few requests to each.
//
// A [RetryBudget] limits the sends of requests after their first ones. [SecondSends] decides
// which slow requests are sent to a second server beside the first, within a limit of its own.
//
// All decisions take the time as an argument. The package has no goroutines
// and no clock; the caller serializes the calls.
//
// # Usage
//
//	controller := sluice.NewController(sluice.ControllerConfig{Service: service})
//	controller.SetServers(now, endpoints, hosts)
//	switch d := controller.Admit(now, request).(type) {
//	case sluice.Dispatch:
//		// Send to d.Server, then call controller.Finish.
//	case sluice.Wait:
//		// A later call returns a Dispatch or Refuse for the request.
//	case sluice.Refuse:
//		// Respond with d.RetryAfter.
//	}
package sluice
