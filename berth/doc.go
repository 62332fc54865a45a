// Package berth decides which backend server owns which keys of one failure
// domain.
//
// A key hashes to a shard of its service, and a shard is the unit of
// ownership. A hot key may be split off as a shard of its own. The [Table] of
// a failure domain says which backend server owns each shard, under which
// fencing token, and which entry hosts may dispatch requests. It is one value
// in the platform's store, changed by compare-and-swap only, and every change
// raises its version.
//
// The [Placer] computes the changes. It runs on every entry host and is active
// on the one that last raised the table's epoch. It is a pure state machine:
// [Placer.Step] takes the time and an [Event] and returns the [Action]s that
// the surrounding program has to carry out.
//
// # Moving a shard
//
// A move takes two versions of the table. The first names the next owner and
// a new token and marks the shard as moving: nobody may dispatch to it. The
// second marks it as placed, and is written only with proof that no entry host
// still acts on an earlier version and that the grant of the former owner has
// ended. See [Proof].
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
