// Package mooring implements a shard assigner. It decides which backend server
// owns which range of keys of a service that is divided by key.
//
// The [Table] of a service lists its key ranges, the owner of each range and its
// fencing token. It is stored as one value in the platform's store and is
// changed only by conditional writes. The [Assigner] computes the changes of the
// table and the orders to backend servers. It runs on the entry host that holds
// the placer's lease and is a state machine without side effects:
// [Assigner.Step] takes the time and an [Event] and returns the [Action]s that
// the caller has to execute.
//
// # Moving a range
//
//  1. A write sets the next owner and a new fencing token, and lists the
//     previous owner as a former owner, which may still hold the keys.
//  2. A release with the new token is sent to the former owner. Its response
//     proves that no work on the keys is left, and from then on the server
//     rejects every renewal of its earlier grant.
//  3. The new owner is granted the keys, and the grant is renewed.
//  4. A write removes the former owner from the list and records the handover
//     data that it returned.
//
// If a former owner does not answer, step 3 waits until its last grant has
// expired, or until a later incarnation of the server has registered, or a
// server that started later has registered at its address. Steps 3 and 4 do not
// depend on each other, so a range gets its next owner also while the store is
// unavailable. A placer that takes over before step 4 repeats step 2, which is
// harmless to a server that holds none of the keys, and continues. Since it cannot
// know whether step 3 was made, a range whose next owner is replaced gets another
// token and lists that owner as a former one, too.
//
// Ranges that get a new owner in the same write share a token, so one release
// covers all adjacent ranges of a former owner.
//
// While the store cannot be written, the assigner continues to send the grants and
// releases that follow from the recorded table. [Assigner.UnrecordedGrants] says
// which ranges have been granted to a new owner before step 4. An assigner that
// takes over assumes that earlier ones may have sent grants until
// [PredecessorEnded], or until AssignerConfig.PredecessorUntil.
//
// # Usage
//
//	assigner := mooring.NewAssigner(mooring.AssignerConfig{Service: "readings", Now: now, Timing: timing})
//	for _, action := range assigner.Step(now, mooring.Tick{}) {
//		switch a := action.(type) {
//		case mooring.SendOrder:
//			// Send a.Order to its server, then step with an OrderCompleted.
//		}
//	}
package mooring
