// Package trials contains end-to-end tests. They run the programs of this
// workspace as separate processes, some of them with fault-injecting proxies in
// between.
//
// # Usage
//
//	go test ./cmd/trials
package trials
