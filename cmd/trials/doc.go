// Package trials holds integration tests that run the programs of this
// workspace as separate processes, with a fault-injecting proxy in between.
//
// # Usage
//
//	go test ./cmd/trials
package trials
