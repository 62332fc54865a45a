package mooring

import (
	"fmt"
	"sort"

	"hornbeamwinch.example/fairway"
)

// Key is the number by which a divided service divides its requests.
type Key uint16

// MaxKey is the highest key.
const MaxKey Key = 65535

// keyCount is the number of keys.
const keyCount = int(MaxKey) + 1

// Token is a fencing token. A key changes hands only under a higher one.
type Token uint64

// KeyRange is a range of keys. Both ends belong to it.
type KeyRange struct {
	From Key
	To   Key
}

// Size returns the number of keys.
func (s KeyRange) Size() int {
	return int(s.To) - int(s.From) + 1
}

// Contains reports whether k belongs to the span.
func (s KeyRange) Contains(k Key) bool {
	return s.From <= k && k <= s.To
}

// String implements fmt.Stringer.
func (s KeyRange) String() string {
	return fmt.Sprintf("%d-%d", s.From, s.To)
}

// ServerInstance is one run of a backend server.
type ServerInstance struct {
	Server      fairway.ServerID
	Incarnation fairway.Incarnation
	Address     string
}

// Assignment is one range of keys and its owner.
type Assignment struct {
	KeyRange
	// Owner has no server while the range is assigned to none.
	Owner ServerInstance
	Token Token
	// FormerOwners may still hold keys of the range. The owner is granted the range
	// only after the list has been recorded as empty.
	FormerOwners []ServerInstance
	// Handover came with the former owner's release.
	Handover string
}

// Moving reports whether the range waits for a former owner.
func (r *Assignment) Moving() bool {
	return len(r.FormerOwners) > 0
}

// Table is the assignment of all keys of a service. Its rows are in the order
// of their keys and cover every key once.
type Table struct {
	Service fairway.ServiceName
	// NextToken is above every fencing token in use.
	NextToken   Token
	Assignments []Assignment
}

// NewTable returns a table that assigns all keys to no server.
func NewTable(service fairway.ServiceName) *Table {
	return &Table{Service: service, NextToken: 1, Assignments: []Assignment{{KeyRange: KeyRange{From: 0, To: MaxKey}}}}
}

// Find returns the row of key.
func (t *Table) Find(key Key) *Assignment {
	i := sort.Search(len(t.Assignments), func(i int) bool { return t.Assignments[i].To >= key })
	return &t.Assignments[i]
}

// clone returns a copy whose rows may be replaced.
func (t *Table) clone() *Table {
	c := *t
	c.Assignments = append([]Assignment(nil), t.Assignments...)
	return &c
}

// takeFence returns a fencing token above all earlier ones.
func (t *Table) takeFence() Token {
	f := t.NextToken
	t.NextToken++
	return f
}

// cut makes span a row of its own and returns its index. Span lies within one
// row.
func (t *Table) cut(span KeyRange) int {
	i := sort.Search(len(t.Assignments), func(i int) bool { return t.Assignments[i].To >= span.From })
	whole := t.Assignments[i]
	var parts []Assignment
	at := 0
	if whole.From < span.From {
		left := whole
		left.To = span.From - 1
		parts = append(parts, left)
		at = 1
	}
	middle := whole
	middle.KeyRange = span
	parts = append(parts, middle)
	if span.To < whole.To {
		right := whole
		right.From = span.To + 1
		parts = append(parts, right)
	}
	rows := append([]Assignment(nil), t.Assignments[:i]...)
	rows = append(rows, parts...)
	t.Assignments = append(rows, t.Assignments[i+1:]...)
	return i + at
}

// movingRows returns the number of ranges that wait for a former owner.
func (t *Table) movingRows() int {
	n := 0
	for i := range t.Assignments {
		if t.Assignments[i].Moving() {
			n++
		}
	}
	return n
}

// reassign names another owner for the row at index i, under a token that was
// taken for the purpose. A range that still waits for a former owner has not
// been granted to anyone under its token, so it keeps the token and the list.
func (t *Table) reassign(i int, to ServerInstance, fence Token) {
	r := &t.Assignments[i]
	if r.Moving() {
		r.Owner = to
		return
	}
	if r.Owner.Server != "" {
		r.FormerOwners = []ServerInstance{r.Owner}
	}
	r.Owner = to
	r.Handover = ""
	r.Token = fence
}

// join merges neighbouring rows of one owner, except those that are moving or
// for which keep returns true.
func (t *Table) join(keep func(Assignment) bool) {
	rows := t.Assignments[:0:0]
	for _, r := range t.Assignments {
		if last := len(rows) - 1; last >= 0 && joinable(&rows[last], &r) && !keep(rows[last]) && !keep(r) {
			rows[last].To = r.To
			rows[last].Token = max(rows[last].Token, r.Token)
			continue
		}
		rows = append(rows, r)
	}
	t.Assignments = rows
}

func joinable(a, b *Assignment) bool {
	return a.Owner == b.Owner && !a.Moving() && !b.Moving() && a.Handover == "" && b.Handover == ""
}

// check reports whether the rows cover every key once.
func (t *Table) check() error {
	next := 0
	for i := range t.Assignments {
		r := &t.Assignments[i]
		if int(r.From) != next || r.To < r.From {
			return &Error{Op: "check table", Kind: KindCorrupt, Err: fmt.Errorf("row %d: keys %v do not follow key %d", i, r.KeyRange, next)}
		}
		if r.Token >= t.NextToken {
			return &Error{Op: "check table", Kind: KindCorrupt, Err: fmt.Errorf("row %d: token %d is not below %d", i, r.Token, t.NextToken)}
		}
		next = int(r.To) + 1
	}
	if next != keyCount {
		return &Error{Op: "check table", Kind: KindCorrupt, Err: fmt.Errorf("keys from %d on are missing", next)}
	}
	return nil
}
