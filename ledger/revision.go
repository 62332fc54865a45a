package ledger

import (
	"errors"
	"fmt"
)

// ErrEraChanged is the cause of an error of a call that has a meaning in one era only,
// while the store is in a later one.
var ErrEraChanged = errors.New("the store has come back from an older copy")

// Era counts how often a store has come back from an older copy of its content. What
// was written after the copy is lost then, and the revisions and leases of those writes
// are given out again. Zero stands for a store that does not state it.
type Era uint32

// Revision identifies one version of the value of a key. Revisions increase with
// every write to the store, and those of a later era are above all earlier ones. Zero
// stands for a key that does not exist.
type Revision uint64

const (
	// numberBits is the size of the part of a revision that the store counts. The
	// rest holds the era.
	numberBits = 40
	// MaxNumber is the highest number of a [Revision].
	MaxNumber uint64 = 1<<numberBits - 1
	// MaxEra is the highest era of a [Revision].
	MaxEra Era = 1<<(64-numberBits) - 1
)

// NewRevision returns the revision with a number that the store has given out in an
// era. Values above [MaxNumber] and [MaxEra] are an error of [KindProtocol].
func NewRevision(era Era, number uint64) (Revision, error) {
	if number > MaxNumber || era > MaxEra {
		return 0, &Error{Op: "read revision", Kind: KindProtocol, Err: fmt.Errorf("era %d, revision %d is out of range", era, number)}
	}
	return Revision(uint64(era)<<numberBits | number), nil
}

// Era returns the era in which the store gave out the revision.
func (r Revision) Era() Era {
	return Era(r >> numberBits)
}

// Number returns the revision as the store counts it.
func (r Revision) Number() uint64 {
	return uint64(r) & MaxNumber
}
