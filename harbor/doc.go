// Package harbor is the entry host daemon: it wires the decision logic of
// packages berth, roster and quay to the network.
//
// A daemon has these parts, each with goroutines of its own:
//
//   - the follower keeps the host's table and rules current and confirmed;
//   - the elector competes for the placer's lease of the failure domain;
//   - the placement worker runs berth.Placer while the lease is held;
//   - the warden probes the backend servers assigned to this host and grants
//     them their shards;
//   - the peer server answers other entry hosts over gRPC;
//   - the ingress serves callers, and the admin server serves operators and
//     the balancer's probes.
//
// Shared state sits in roster.Gate, [RulesCache] and [Directory]. Each has one
// mutex that is never held while another is taken, so no lock order is needed
// between them.
//
// # Usage
//
//	daemon, err := harbor.New(harbor.Config{Settings: settings})
//	err = daemon.Start(ctx)
//	defer daemon.Stop(ctx)
//
// [Module] offers the same to an fx application.
package harbor
