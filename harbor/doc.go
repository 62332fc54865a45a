// Package harbor implements the entry host daemon: it connects the decision
// logic of packages berth, roster and quay to the network.
//
// A daemon has these parts, which run in goroutines of their own:
//
//   - table sync keeps the host's assignment table and rules current, and has
//     the table confirmed, without which the host may not dispatch requests;
//   - the election competes for the placer's lease of the failure domain, which
//     selects the host that tries to become the placer;
//   - the placer runner runs berth.Placer, which is active only while this host
//     is the placer, and executes its actions;
//   - the store poller reads the other inputs of the placer from the store;
//   - the prober probes the backend servers assigned to this host and grants
//     them their shards;
//   - the peer server handles gRPC calls from other entry hosts;
//   - the ingress handles requests from callers;
//   - the admin server handles requests from operators and the load balancer's
//     health checks.
//
// The parts share state through roster.Gate, [RulesCache] and [Directory]. Each
// of them has one mutex that is never held while another one is locked, so no
// lock order is needed between them.
//
// # Usage
//
//	daemon, err := harbor.New(harbor.Config{Settings: settings})
//	err = daemon.Start(ctx)
//	defer daemon.Stop(ctx)
//
// [Module] provides the daemon to an fx application.
package harbor
