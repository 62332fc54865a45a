// Package sluice decides on an entry host which request goes to a backend
// server now, which one waits, and which one is refused.
//
// A [Controller] serves one service. It bounds the requests that this host has at
// each server by a [window] that grows while answers are well within their
// objective and shrinks when they are not or when the server turns requests
// away, since all hosts share the server's slots and its short queue. A request
// without room waits in a queue ordered by priority and by the time at which
// its answer stops being on time. It is refused as soon as the queue is too
// long for it: an answer after the objective is worth a third, so a queue that
// is longer than the objective would make every answer late.
//
// A request that any server may answer goes to the one that is likely to answer
// first among a few that this host prefers, which differ from host to host. A
// [OverloadDetector] puts together what all hosts see of the servers, for hosts that
// have few requests at each.
//
// A [RetryBudget] bounds the sends beyond the first of each request.
//
// All decisions take the time as an argument. The package has no goroutines
// and no clock; the caller serializes the calls.
//
// # Usage
//
//	desk := sluice.NewDesk(sluice.DeskConfig{Service: service})
//	desk.SetServers(now, sightings, hosts)
//	switch d := desk.Offer(now, ticket).(type) {
//	case sluice.Dispatch:
//		// send to d.Server, then call desk.Finish
//	case sluice.Wait:
//		// a later call returns a Dispatch or Refuse for the ticket
//	case sluice.Refuse:
//		// answer with d.RetryAfter
//	}
package sluice
