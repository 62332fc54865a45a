package mooring

import (
	"encoding/json"
	"fmt"

	"hornbeamwinch.example/fairway"
)

// storedTable is the stored form of a [Table]. Rows refer to holders by
// index, since a holder usually has several rows.
type storedTable struct {
	Service   fairway.ServiceName `json:"service"`
	NextFence Token               `json:"next_fence"`
	Holders   []storedHolder      `json:"holders"`
	Rows      []storedRow         `json:"rows"`
}

type storedHolder struct {
	Server      fairway.ServerID    `json:"server"`
	Incarnation fairway.Incarnation `json:"born"`
	Address     string              `json:"address"`
}

type storedRow struct {
	From Key `json:"from"`
	To   Key `json:"to"`
	// Owner is an index into the holders, or -1.
	Owner    int    `json:"owner"`
	Fence    Token  `json:"fence"`
	Former   []int  `json:"former,omitempty"`
	Handover string `json:"handover,omitempty"`
}

// Encode returns the stored form of t.
func (t *Table) Encode() ([]byte, error) {
	s := storedTable{Service: t.Service, NextFence: t.NextToken}
	index := make(map[ServerInstance]int)
	refer := func(h ServerInstance) int {
		at, ok := index[h]
		if !ok {
			at = len(s.Holders)
			index[h] = at
			s.Holders = append(s.Holders, storedHolder(h))
		}
		return at
	}
	for i := range t.Assignments {
		r := &t.Assignments[i]
		row := storedRow{From: r.From, To: r.To, Owner: -1, Fence: r.Token, Handover: r.Handover}
		if r.Owner.Server != "" {
			row.Owner = refer(r.Owner)
		}
		for _, h := range r.FormerOwners {
			row.Former = append(row.Former, refer(h))
		}
		s.Rows = append(s.Rows, row)
	}
	data, err := json.Marshal(s)
	if err != nil {
		return nil, &Error{Op: "encode table", Kind: KindCorrupt, Err: err}
	}
	return data, nil
}

// Decode returns the table stored as data.
func Decode(data []byte) (*Table, error) {
	var s storedTable
	if err := json.Unmarshal(data, &s); err != nil {
		return nil, &Error{Op: "decode table", Kind: KindCorrupt, Err: err}
	}
	t := &Table{Service: s.Service, NextToken: s.NextFence}
	for i, row := range s.Rows {
		r := Assignment{KeyRange: KeyRange{From: row.From, To: row.To}, Token: row.Fence, Handover: row.Handover}
		if row.Owner >= len(s.Holders) {
			return nil, &Error{Op: "decode table", Kind: KindCorrupt, Err: fmt.Errorf("row %d: no holder %d", i, row.Owner)}
		}
		if row.Owner >= 0 {
			r.Owner = ServerInstance(s.Holders[row.Owner])
		}
		for _, at := range row.Former {
			if at < 0 || at >= len(s.Holders) {
				return nil, &Error{Op: "decode table", Kind: KindCorrupt, Err: fmt.Errorf("row %d: no holder %d", i, at)}
			}
			r.FormerOwners = append(r.FormerOwners, ServerInstance(s.Holders[at]))
		}
		t.Assignments = append(t.Assignments, r)
	}
	if err := t.check(); err != nil {
		return nil, err
	}
	return t, nil
}
