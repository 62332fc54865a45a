package mooring

import (
	"fmt"
	"sync"

	"github.com/mailru/easyjson"
	"github.com/mailru/easyjson/jlexer"
	"github.com/mailru/easyjson/jwriter"

	"hornbeamwinch.example/fairway"
)

//go:generate go run github.com/mailru/easyjson/easyjson@v0.9.1 -output_filename codec_easyjson.go codec.go
//go:generate sh -c "gofumpt -w codec_easyjson.go && goimports -local hornbeamwinch.example -w codec_easyjson.go"

// storedTable is the stored form of a [Table]. Assignments refer to server
// instances by index, since an instance usually owns several ranges. Each host decodes it
// at each change, so its code is generated.
//
//easyjson:json
type storedTable struct {
	Service     fairway.ServiceName `json:"service"`
	NextToken   Token               `json:"next_fence"`
	Instances   []storedInstance    `json:"holders"`
	Assignments []storedAssignment  `json:"rows"`
}

type storedInstance struct {
	Server      internedString      `json:"server"`
	Incarnation fairway.Incarnation `json:"born"`
	Address     internedString      `json:"address"`
}

// internedString is a string that the tables which are read one after the other share.
type internedString string

// UnmarshalEasyJSON implements easyjson.Unmarshaler.
func (s *internedString) UnmarshalEasyJSON(l *jlexer.Lexer) {
	*s = internedString(l.StringIntern())
}

// MarshalEasyJSON implements easyjson.Marshaler.
func (s internedString) MarshalEasyJSON(w *jwriter.Writer) {
	w.String(string(s))
}

func storedForm(i ServerInstance) storedInstance {
	return storedInstance{Server: internedString(i.Server), Incarnation: i.Incarnation, Address: internedString(i.Address)}
}

func (i *storedInstance) instance() ServerInstance {
	return ServerInstance{Server: fairway.ServerID(i.Server), Incarnation: i.Incarnation, Address: string(i.Address)}
}

type storedAssignment struct {
	From Key `json:"from"`
	To   Key `json:"to"`
	// Owner is an index into storedTable.Instances, or -1 if there is no owner.
	// FormerOwners are indexes as well.
	Owner        int    `json:"owner"`
	Token        Token  `json:"fence"`
	FormerOwners []int  `json:"former,omitempty"`
	Handover     string `json:"handover,omitempty"`
}

// Encode returns the JSON form in which t is stored.
func (t *Table) Encode() ([]byte, error) {
	s := storedTable{Service: t.Service, NextToken: t.NextToken}
	index := make(map[ServerInstance]int)
	indexOf := func(instance ServerInstance) int {
		at, ok := index[instance]
		if !ok {
			at = len(s.Instances)
			index[instance] = at
			s.Instances = append(s.Instances, storedForm(instance))
		}
		return at
	}
	for i := range t.Assignments {
		r := &t.Assignments[i]
		stored := storedAssignment{From: r.From, To: r.To, Owner: -1, Token: r.Token, Handover: r.Handover}
		if r.Owner.Server != "" {
			stored.Owner = indexOf(r.Owner)
		}
		for _, instance := range r.FormerOwners {
			stored.FormerOwners = append(stored.FormerOwners, indexOf(instance))
		}
		s.Assignments = append(s.Assignments, stored)
	}
	data, err := easyjson.Marshal(s)
	if err != nil {
		return nil, &Error{Op: "encode table", Kind: KindCorrupt, Err: err}
	}
	return data, nil
}

// storedTables has stored forms that are not in use, whose slices have grown to the size of
// tables.
var storedTables = sync.Pool{New: func() any { return new(storedTable) }}

// Decode parses and validates a table encoded by [Table.Encode].
func Decode(data []byte) (*Table, error) {
	s := storedTables.Get().(*storedTable)
	defer storedTables.Put(s)
	*s = storedTable{Instances: s.Instances[:0], Assignments: s.Assignments[:0]}
	if err := easyjson.Unmarshal(data, s); err != nil {
		return nil, &Error{Op: "decode table", Kind: KindCorrupt, Err: err}
	}
	t := &Table{Service: s.Service, NextToken: s.NextToken, Assignments: make([]Assignment, 0, len(s.Assignments))}
	for i, stored := range s.Assignments {
		r := Assignment{KeyRange: KeyRange{From: stored.From, To: stored.To}, Token: stored.Token, Handover: stored.Handover}
		if stored.Owner >= len(s.Instances) {
			return nil, &Error{Op: "decode table", Kind: KindCorrupt, Err: fmt.Errorf("assignment %d: owner index %d is out of range", i, stored.Owner)}
		}
		if stored.Owner >= 0 {
			r.Owner = s.Instances[stored.Owner].instance()
		}
		for _, at := range stored.FormerOwners {
			if at < 0 || at >= len(s.Instances) {
				return nil, &Error{Op: "decode table", Kind: KindCorrupt, Err: fmt.Errorf("assignment %d: former owner index %d is out of range", i, at)}
			}
			r.FormerOwners = append(r.FormerOwners, s.Instances[at].instance())
		}
		t.Assignments = append(t.Assignments, r)
	}
	if err := t.validate(); err != nil {
		return nil, err
	}
	return t, nil
}
