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
	NextFence Fence               `json:"next_fence"`
	Holders   []storedHolder      `json:"holders"`
	Rows      []storedRow         `json:"rows"`
}

type storedHolder struct {
	Server  fairway.ServerID `json:"server"`
	Born    fairway.Birth    `json:"born"`
	Address string           `json:"address"`
}

type storedRow struct {
	From Key `json:"from"`
	To   Key `json:"to"`
	// Owner is an index into the holders, or -1.
	Owner    int    `json:"owner"`
	Fence    Fence  `json:"fence"`
	Former   []int  `json:"former,omitempty"`
	Handover string `json:"handover,omitempty"`
}

// Encode returns the stored form of t.
func (t *Table) Encode() ([]byte, error) {
	s := storedTable{Service: t.Service, NextFence: t.NextFence}
	index := make(map[Holder]int)
	refer := func(h Holder) int {
		at, ok := index[h]
		if !ok {
			at = len(s.Holders)
			index[h] = at
			s.Holders = append(s.Holders, storedHolder(h))
		}
		return at
	}
	for i := range t.Rows {
		r := &t.Rows[i]
		row := storedRow{From: r.From, To: r.To, Owner: -1, Fence: r.Fence, Handover: r.Handover}
		if r.Owner.Server != "" {
			row.Owner = refer(r.Owner)
		}
		for _, h := range r.Former {
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
	t := &Table{Service: s.Service, NextFence: s.NextFence}
	for i, row := range s.Rows {
		r := Row{Span: Span{From: row.From, To: row.To}, Fence: row.Fence, Handover: row.Handover}
		if row.Owner >= len(s.Holders) {
			return nil, &Error{Op: "decode table", Kind: KindCorrupt, Err: fmt.Errorf("row %d: no holder %d", i, row.Owner)}
		}
		if row.Owner >= 0 {
			r.Owner = Holder(s.Holders[row.Owner])
		}
		for _, at := range row.Former {
			if at < 0 || at >= len(s.Holders) {
				return nil, &Error{Op: "decode table", Kind: KindCorrupt, Err: fmt.Errorf("row %d: no holder %d", i, at)}
			}
			r.Former = append(r.Former, Holder(s.Holders[at]))
		}
		t.Rows = append(t.Rows, r)
	}
	if err := t.check(); err != nil {
		return nil, err
	}
	return t, nil
}
