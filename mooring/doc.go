// Package mooring decides which backend server owns which range of keys of a
// divided service.
//
// The [Table] of a service lists its ranges of keys, the owner of each and its
// fencing token. It is one value in the platform's store and changes only by a
// conditional write. The [Assigner] computes the changes and the orders to
// backend servers. It runs on the entry host that holds the placer's lease and
// is a pure state machine: [Assigner.Step] takes the time and an [Event] and
// returns the [Action]s to carry out.
//
// # Moving a range
//
//  1. A write names the next owner and a new fencing token, and lists the
//     former owner as one that may still hold the keys.
//  2. A release with the new token is sent to the former owner. Its answer
//     proves that no work on the keys is left, and from then on the server
//     refuses every renewal of its earlier grant.
//  3. A write removes the former owner from the list and keeps its handover.
//  4. The new owner is granted the keys, and the grant is renewed.
//
// A former owner that does not answer is waited for: until its last grant has
// run out, or a later run of it, or another server at its address, has been
// seen. Step 4 relies on the record of step 3 alone, so a placer that takes
// over goes on from the record.
//
// Ranges that change hands in one write bear one token, so that one release
// takes back all neighbours among them from their former owner.
//
// While the store cannot be written, the keeper goes on renewing grants and
// sending releases that the record calls for. A keeper that takes over counts
// grants of earlier ones as possible until [PredecessorEnded], or until
// KeeperConfig.PredecessorUntil.
//
// # Usage
//
//	keeper := mooring.NewKeeper(mooring.KeeperConfig{Service: "readings", Now: now, Timing: timing})
//	for _, action := range keeper.Step(now, mooring.Tick{}) {
//		switch a := action.(type) {
//		case mooring.Send:
//			// send a.Order to its server, then step with an Answered
//		}
//	}
package mooring
