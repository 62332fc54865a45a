// Package berth implements shard placement for one failure domain: it assigns
// each shard of a service's keys to exactly one backend server.
//
// A key is hashed to a shard of its service, and a shard is the unit of
// ownership. A hot key may be split off into a shard of its own. The [Table] of
// a failure domain records which backend server owns each shard, under which
// fencing token, and which entry hosts may dispatch requests. It is a single
// value in the platform's store, modified only by compare-and-swap, and every
// change increments its version.
//
// The [Placer] computes the changes. It runs on every entry host and is active
// on the host that last incremented the table's epoch. It is a pure state
// machine: [Placer.Step] takes the time and an [Event] and returns the
// [Action]s that the caller has to execute.
//
// # Moving a shard
//
// Moving a shard takes two versions of the table. The first sets the next owner
// and a new token, which marks the shard as moving: no host may dispatch
// requests to it. The second marks it as placed. It is written only with proof
// that no entry host acts on an earlier version any more and that the former
// owner can no longer run requests for the shard. See [Proof].
//
// # Usage
//
//	placer := berth.NewPlacer(berth.PlacerConfig{Domain: "mvd_a", Host: "mvd_a_1"})
//	for _, action := range placer.Step(now, berth.Tick{}) {
//		switch a := action.(type) {
//		case berth.WriteTable:
//			// compare-and-swap a.Table at a.Revision
//		}
//	}
package berth
