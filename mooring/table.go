package mooring

import (
	"fmt"
	"slices"
	"sort"

	"hornbeamwinch.example/fairway"
)

// Key is the number by which the requests of a service that is
// divided by key are partitioned.
type Key uint16

// MaxKey is the highest key.
const MaxKey Key = 65535

// keyCount is the number of keys.
const keyCount = int(MaxKey) + 1

// Token is a fencing token. A key gets a new owner only under a higher token.
type Token uint64

// KeyRange is a range of keys that includes both ends.
type KeyRange struct {
	From Key
	To   Key
}

// Size returns the number of keys in the range.
func (r KeyRange) Size() int {
	return int(r.To) - int(r.From) + 1
}

// Contains reports whether k is in the range.
func (r KeyRange) Contains(k Key) bool {
	return r.From <= k && k <= r.To
}

// overlaps reports whether the ranges have a key in common.
func (r KeyRange) overlaps(other KeyRange) bool {
	return r.From <= other.To && other.From <= r.To
}

// String implements fmt.Stringer.
func (r KeyRange) String() string {
	return fmt.Sprintf("%d-%d", r.From, r.To)
}

// ServerInstance identifies one instance of a backend server, which lasts until
// the server restarts.
type ServerInstance struct {
	Server      fairway.ServerID
	Incarnation fairway.Incarnation
	Address     string
}

// Assignment is a key range, its owner and its fencing token.
type Assignment struct {
	KeyRange
	// Owner is the zero value while the range is not assigned to a server.
	Owner ServerInstance
	Token Token
	// FormerOwners may still hold keys of the range. The owner is granted the
	// range once they provably do not, which may be before the list is recorded as
	// empty.
	FormerOwners []ServerInstance
	// Handover is the data that the former owner returned for the release. It
	// is passed on in the grant.
	Handover string
}

// Moving reports whether the range still has former owners to wait for.
func (r *Assignment) Moving() bool {
	return len(r.FormerOwners) > 0
}

// Table is the assignment of all keys of a service. Its assignments are ordered
// by key and cover every key exactly once.
type Table struct {
	Service fairway.ServiceName
	// NextToken is higher than every fencing token in use.
	NextToken   Token
	Assignments []Assignment
}

// NewTable returns a table in which no key has an owner.
func NewTable(service fairway.ServiceName) *Table {
	return &Table{Service: service, NextToken: 1, Assignments: []Assignment{{KeyRange: KeyRange{From: 0, To: MaxKey}}}}
}

// Find returns the assignment that contains key.
func (t *Table) Find(key Key) *Assignment {
	i := sort.Search(len(t.Assignments), func(i int) bool { return t.Assignments[i].To >= key })
	return &t.Assignments[i]
}

// clone returns a copy whose assignments may be changed. Their lists of former
// owners are shared with t and may only be replaced.
func (t *Table) clone() *Table {
	c := *t
	c.Assignments = append([]Assignment(nil), t.Assignments...)
	return &c
}

// allocateToken returns a fencing token higher than all earlier ones.
func (t *Table) allocateToken() Token {
	token := t.NextToken
	t.NextToken++
	return token
}

// split makes keys an assignment of its own and returns its index. The range
// must lie within one assignment.
func (t *Table) split(keys KeyRange) int {
	i := sort.Search(len(t.Assignments), func(i int) bool { return t.Assignments[i].To >= keys.From })
	old := t.Assignments[i]
	var parts []Assignment
	at := 0
	if old.From < keys.From {
		left := old
		left.To = keys.From - 1
		parts = append(parts, left)
		at = 1
	}
	middle := old
	middle.KeyRange = keys
	parts = append(parts, middle)
	if keys.To < old.To {
		right := old
		right.From = keys.To + 1
		parts = append(parts, right)
	}
	assignments := append([]Assignment(nil), t.Assignments[:i]...)
	assignments = append(assignments, parts...)
	t.Assignments = append(assignments, t.Assignments[i+1:]...)
	return i + at
}

// movingCount returns the number of ranges that still have former owners.
func (t *Table) movingCount() int {
	n := 0
	for i := range t.Assignments {
		if t.Assignments[i].Moving() {
			n++
		}
	}
	return n
}

// reassign sets the owner of the assignment at index i, under the given newly
// allocated token. The previous owner becomes a former one even if the range is
// still moving, since it may have been granted the range without a record of it.
func (t *Table) reassign(i int, to ServerInstance, token Token) {
	r := &t.Assignments[i]
	if r.Owner.Server != "" && !slices.Contains(r.FormerOwners, r.Owner) {
		r.FormerOwners = append(slices.Clone(r.FormerOwners), r.Owner)
	}
	r.Owner = to
	r.Handover = ""
	r.Token = token
}

// merge merges adjacent assignments of one owner, except those that are moving,
// have a handover, or for which exclude returns true.
func (t *Table) merge(exclude func(Assignment) bool) {
	merged := t.Assignments[:0:0]
	for _, r := range t.Assignments {
		if last := len(merged) - 1; last >= 0 && mergeable(&merged[last], &r) && !exclude(merged[last]) && !exclude(r) {
			merged[last].To = r.To
			merged[last].Token = max(merged[last].Token, r.Token)
			continue
		}
		merged = append(merged, r)
	}
	t.Assignments = merged
}

func mergeable(a, b *Assignment) bool {
	return a.Owner == b.Owner && !a.Moving() && !b.Moving() && a.Handover == "" && b.Handover == ""
}

// validate returns an error unless the assignments cover every key exactly once
// and their tokens are lower than NextToken.
func (t *Table) validate() error {
	next := 0
	for i := range t.Assignments {
		r := &t.Assignments[i]
		if int(r.From) != next || r.To < r.From {
			return &Error{Op: "check table", Kind: KindCorrupt, Err: fmt.Errorf("assignment %d: keys %v do not start at key %d", i, r.KeyRange, next)}
		}
		if r.Token >= t.NextToken {
			return &Error{Op: "check table", Kind: KindCorrupt, Err: fmt.Errorf("assignment %d: token %d is not below the next token %d", i, r.Token, t.NextToken)}
		}
		next = int(r.To) + 1
	}
	if next != keyCount {
		return &Error{Op: "check table", Kind: KindCorrupt, Err: fmt.Errorf("keys from %d on are not assigned", next)}
	}
	return nil
}
