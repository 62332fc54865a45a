// Package roster implements lease-based admission control on an entry host: it
// decides whether the host may dispatch a request to a backend server, and
// tracks the requests that it has admitted.
//
// A [LeaseTracker] holds the assignment table that the host follows, which is
// the newest recorded table of its failure domain for which it has received both
// the table and the rules that the table requires. It also holds the latest time
// at which this table was known to be current. The host may dispatch requests
// until one route lease after that time. A table is confirmed as current in one
// of three ways:
//
//   - the store reports that the record is unchanged;
//   - a peer passes on its own confirmation together with its age;
//   - a strict majority of the table's members report that they follow the
//     same version. With this, a failure domain keeps working during a store
//     outage.
//
// Like the placer in package berth, whose proofs rely on it, the tracker is a
// pure state machine: it reads no clock and does no I/O.
//
// [Gate] admits requests under the tracker's table. It admits and registers a
// request in one step, so that the host can determine whether any running
// request is forbidden by a newer table.
//
// # Usage
//
//	gate := roster.NewGate(roster.GateConfig{LeaseTracker: cfg, Now: time.Now})
//	ctx, permit, err := gate.Admit(ctx, "tank_readings", "tank-71")
//	if err != nil {
//		return err // the request was not run
//	}
//	defer permit.End()
package roster
