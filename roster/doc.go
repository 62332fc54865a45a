// Package roster decides when an entry host may dispatch requests.
//
// A [LeaseTracker] holds the newest recorded table that the host knows of its
// failure domain, and the latest moment at which the table was known to be
// current. The host dispatches for one route lease after that moment. There
// are three ways to confirm a table:
//
//   - the store says that the record is unchanged;
//   - a peer passes on its own confirmation, with its age;
//   - a strict majority of the table's members answer that they follow the
//     same version. This is what carries a domain through an outage of the
//     store.
//
// The follower is a pure state machine without a clock, like the placer whose
// proofs rest on it; see package berth.
//
// [Gate] puts the follower in charge of running requests. It admits a request
// and registers it in one step, so that a host can tell when it has no work
// left that a newer table forbids.
//
// # Usage
//
//	gate := roster.NewGate(roster.GateConfig{Follower: follower, Now: time.Now})
//	permit, err := gate.Admit(ctx, "tank_readings", "tank-71")
//	if err != nil {
//		// refused, not run
//	}
//	defer permit.End()
package roster
