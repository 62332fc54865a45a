package jetty

import (
	"context"
	"strconv"
	"strings"

	"hornbeamwinch.example/ledger"
)

// eraPrefix is the prefix of the keys of the records of eras. There is one record, of the
// present era.
const eraPrefix = internalPrefix + "eras/"

// eraFence is the record of the store's present era, on which all writes of a term are
// conditional. The first claim of the next era removes it. A write of an earlier era that
// the store executes late cannot take effect on a revision that has been given out again.
type eraFence struct {
	// record is the zero value if the store states no era.
	record ledger.Expectation
	// created reports whether this claim has recorded the era, and restored whether
	// the era may follow another one in which the system ran.
	created  bool
	restored bool
}

// followsEra is the value of the record of an era that may follow another one in which the
// system ran. Later claims cannot tell: the first one removes the records of earlier eras, and
// a copy from before the system's first claim has none.
const followsEra = "follows_another"

// raiseEraFence returns the fence of the present era, which it records if needed, and
// removes those of earlier ones. Any era but first, in which the system first started, may
// follow one of which the store has no record.
func raiseEraFence(ctx context.Context, store ledger.TxnStore, first ledger.Era) (eraFence, error) {
	entries, revision, err := store.Scan(ctx, eraPrefix)
	if err != nil {
		return eraFence{}, err
	}
	key := eraPrefix + strconv.FormatUint(uint64(revision.Era()), 10)
	fence := eraFence{record: ledger.Expectation{Key: key}}
	var remove ledger.Txn
	var former bool
	for _, e := range entries {
		switch {
		case e.Key == key:
			fence.record.Revision = e.Revision
			fence.restored = fence.restored || string(e.Value) == followsEra
		case strings.HasPrefix(e.Key, eraPrefix):
			fence.restored = true
			former = true
			remove.Expect = append(remove.Expect, ledger.Expectation{Key: e.Key, Revision: e.Revision})
			remove.Remove = append(remove.Remove, e.Key)
		}
	}
	if fence.record.Revision == 0 {
		fence.restored = fence.restored || revision.Era() != first
		var value []byte
		if fence.restored {
			value = []byte(followsEra)
		}
		fence.record.Revision, err = store.Commit(ctx, ledger.Txn{
			Expect: []ledger.Expectation{fence.record},
			Put:    []ledger.Write{{Key: key, Value: value}},
		})
		if err != nil {
			return eraFence{}, err
		}
		fence.created = true
	}
	if former {
		remove.Expect = append(remove.Expect, fence.record)
		if _, err := store.Commit(ctx, remove); err != nil {
			return eraFence{}, err
		}
	}
	return fence, nil
}

// mayPrecede reports whether a record may be from the copy from which the store has come
// back.
func (f eraFence) mayPrecede(revision ledger.Revision, restored bool) bool {
	return revision < f.record.Revision && (restored || f.restored || !f.created)
}

// guard makes a write conditional on the fence.
func (f eraFence) guard(txn ledger.Txn) ledger.Txn {
	if f.record.Key != "" {
		txn.Expect = append(txn.Expect, f.record)
	}
	return txn
}
