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

// Fence is a fencing token. A key changes hands only under a higher one.
type Fence uint64

// Span is a range of keys. Both ends belong to it.
type Span struct {
	From Key
	To   Key
}

// Size returns the number of keys.
func (s Span) Size() int {
	return int(s.To) - int(s.From) + 1
}

// Contains reports whether k belongs to the span.
func (s Span) Contains(k Key) bool {
	return s.From <= k && k <= s.To
}

// String implements fmt.Stringer.
func (s Span) String() string {
	return fmt.Sprintf("%d-%d", s.From, s.To)
}

// Holder is one run of a backend server.
type Holder struct {
	Server  fairway.ServerID
	Born    fairway.Birth
	Address string
}

// Row is one range of keys and its owner.
type Row struct {
	Span
	// Owner has no server while the range is assigned to none.
	Owner Holder
	Fence Fence
	// Former may still hold keys of the range. The owner is granted the range
	// only after the list has been recorded as empty.
	Former []Holder
	// Handover came with the former owner's release.
	Handover string
}

// Moving reports whether the range waits for a former owner.
func (r *Row) Moving() bool {
	return len(r.Former) > 0
}

// Table is the assignment of all keys of a service. Its rows are in the order
// of their keys and cover every key once.
type Table struct {
	Service fairway.ServiceName
	// NextFence is above every fencing token in use.
	NextFence Fence
	Rows      []Row
}

// NewTable returns a table that assigns all keys to no server.
func NewTable(service fairway.ServiceName) *Table {
	return &Table{Service: service, NextFence: 1, Rows: []Row{{Span: Span{From: 0, To: MaxKey}}}}
}

// Find returns the row of key.
func (t *Table) Find(key Key) *Row {
	i := sort.Search(len(t.Rows), func(i int) bool { return t.Rows[i].To >= key })
	return &t.Rows[i]
}

// clone returns a copy whose rows may be replaced.
func (t *Table) clone() *Table {
	c := *t
	c.Rows = append([]Row(nil), t.Rows...)
	return &c
}

// takeFence returns a fencing token above all earlier ones.
func (t *Table) takeFence() Fence {
	f := t.NextFence
	t.NextFence++
	return f
}

// cut makes span a row of its own and returns its index. Span lies within one
// row.
func (t *Table) cut(span Span) int {
	i := sort.Search(len(t.Rows), func(i int) bool { return t.Rows[i].To >= span.From })
	whole := t.Rows[i]
	var parts []Row
	at := 0
	if whole.From < span.From {
		left := whole
		left.To = span.From - 1
		parts = append(parts, left)
		at = 1
	}
	middle := whole
	middle.Span = span
	parts = append(parts, middle)
	if span.To < whole.To {
		right := whole
		right.From = span.To + 1
		parts = append(parts, right)
	}
	rows := append([]Row(nil), t.Rows[:i]...)
	rows = append(rows, parts...)
	t.Rows = append(rows, t.Rows[i+1:]...)
	return i + at
}

// movingRows returns the number of ranges that wait for a former owner.
func (t *Table) movingRows() int {
	n := 0
	for i := range t.Rows {
		if t.Rows[i].Moving() {
			n++
		}
	}
	return n
}

// reassign names another owner for the row at index i, under a token that was
// taken for the purpose. A range that still waits for a former owner has not
// been granted to anyone under its token, so it keeps the token and the list.
func (t *Table) reassign(i int, to Holder, fence Fence) {
	r := &t.Rows[i]
	if r.Moving() {
		r.Owner = to
		return
	}
	if r.Owner.Server != "" {
		r.Former = []Holder{r.Owner}
	}
	r.Owner = to
	r.Handover = ""
	r.Fence = fence
}

// join merges neighbouring rows of one owner, except those that are moving or
// for which keep returns true.
func (t *Table) join(keep func(Row) bool) {
	rows := t.Rows[:0:0]
	for _, r := range t.Rows {
		if last := len(rows) - 1; last >= 0 && joinable(&rows[last], &r) && !keep(rows[last]) && !keep(r) {
			rows[last].To = r.To
			rows[last].Fence = max(rows[last].Fence, r.Fence)
			continue
		}
		rows = append(rows, r)
	}
	t.Rows = rows
}

func joinable(a, b *Row) bool {
	return a.Owner == b.Owner && !a.Moving() && !b.Moving() && a.Handover == "" && b.Handover == ""
}

// check reports whether the rows cover every key once.
func (t *Table) check() error {
	next := 0
	for i := range t.Rows {
		r := &t.Rows[i]
		if int(r.From) != next || r.To < r.From {
			return &Error{Op: "check table", Kind: KindCorrupt, Err: fmt.Errorf("row %d: keys %v do not follow key %d", i, r.Span, next)}
		}
		if r.Fence >= t.NextFence {
			return &Error{Op: "check table", Kind: KindCorrupt, Err: fmt.Errorf("row %d: token %d is not below %d", i, r.Fence, t.NextFence)}
		}
		next = int(r.To) + 1
	}
	if next != keyCount {
		return &Error{Op: "check table", Kind: KindCorrupt, Err: fmt.Errorf("keys from %d on are missing", next)}
	}
	return nil
}
