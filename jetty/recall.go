package jetty

import (
	"context"
	"encoding/json"
	"slices"
	"strings"
	"sync"
	"time"

	"hornbeamwinch.example/fairway"
	"hornbeamwinch.example/ledger"
	"hornbeamwinch.example/mooring"
	"hornbeamwinch.example/signal"
)

const (
	// recallTimeout bounds the question to other hosts, which are asked at a time, and
	// maxRecallPeers how many there are. A host that starts serves nothing before that.
	recallTimeout  = 150 * time.Millisecond
	maxRecallPeers = 3
)

// recall asks other hosts what the store may have forgotten, and has the departures and
// tables count that they tell. A host that has just started cannot tell a store that has come back from
// an older copy from one that has lost nothing. A store that states no era does not come
// back from copies.
func (w *watcher) recall(ctx context.Context, entries []ledger.Entry, revision ledger.Revision) {
	if revision.Era() == 0 {
		return
	}
	w.recallBefore.Store(uint32(revision.Era()))
	if w.recallFrom(ctx, w.recallPeers(entries)) > 0 {
		w.restoredAt = revision
		w.copied, w.copiedUntil = make(map[fairway.ServerID]fairway.Endpoint), time.Now().Add(registrationExpiry)
	}
}

// recallOnce asks the peers that the placer names, if no host has answered before: the
// store names none if this host was the placer before its restart, or the placer is gone.
// Departures that they tell count once the store is read as a whole again, and tables do
// not.
func (w *watcher) recallOnce(ctx context.Context, peers []peerAddress) {
	if w.recallBefore.Load() == 0 || w.recalled.Load() || len(peers) == 0 {
		return
	}
	var asked []string
	for _, p := range peers[:min(len(peers), maxRecallPeers)] {
		asked = append(asked, string(p))
	}
	w.recallFrom(ctx, asked)
	w.onChange()
}

// recallFrom asks hosts, puts the newest configuration in force that they tell, and
// returns the number of departures and tables of earlier eras that it has recorded.
func (w *watcher) recallFrom(ctx context.Context, peers []string) int {
	recorded := 0
	for _, call := range askPeers(ctx, peers) {
		err := call.err
		if err == nil {
			w.recalled.Store(true)
			recorded += w.memory.addDepartures(time.Now(), call.reply.GetDepartures(), ledger.Era(w.recallBefore.Load()))
			for _, t := range call.reply.GetTables() {
				recorded += w.applyRecalledTable(t)
			}
			err = w.applyRecalled(call.reply.GetConfig())
		}
		w.logs.recalled(call.peer, call.reply, err)
	}
	return recorded
}

// applyRecalledTable records a table of owners of an earlier era, and returns 1 if it is the
// newest one that this host knows. The first placer of an era lists the owners that it
// names.
func (w *watcher) applyRecalledTable(told *signal.KnownTable) int {
	t, ok, err := decodeKnownTable(told, ledger.Era(w.recallBefore.Load()))
	if err != nil {
		w.logs.recordUnreadable(UnreadableRecord{Key: told.GetRecord().GetKey(), Err: err})
	}
	if !ok || !w.admissions.ownersOf(t.service).update(monotonicNow(), t.table, mooring.StoreRevision(t.entry.Revision)) {
		return 0
	}
	w.memory.setTable(t.entry)
	return 1
}

// recalledTable is a table of owners that another host has told.
type recalledTable struct {
	service fairway.ServiceName
	table   *mooring.Table
	// entry is the record that the table was decoded from.
	entry ledger.Entry
}

// decodeKnownTable decodes what another host has told. It returns false for anything but a
// table of an era before the given one.
func decodeKnownTable(told *signal.KnownTable, before ledger.Era) (t recalledTable, ok bool, err error) {
	name, isTable := strings.CutPrefix(told.GetRecord().GetKey(), tablePrefix)
	era := ledger.Era(told.GetEra())
	if !isTable || era >= before {
		return recalledTable{}, false, nil
	}
	revision, err := ledger.NewRevision(era, told.GetRecord().GetRevision())
	if err != nil {
		return recalledTable{}, false, err
	}
	value, err := decompress(told.GetRecord())
	if err != nil {
		return recalledTable{}, false, err
	}
	table, err := mooring.Decode(value)
	if err != nil {
		return recalledTable{}, false, err
	}
	entry := ledger.Entry{Key: told.GetRecord().GetKey(), Value: value, Revision: revision}
	return recalledTable{service: fairway.ServiceName(name), table: table, entry: entry}, true, nil
}

// applyRecalled puts the configuration of another host in force, if it is newer.
func (w *watcher) applyRecalled(told *signal.StoreChange) error {
	if told == nil {
		return nil
	}
	e := ledger.Entry{Key: told.GetKey(), Value: told.GetValue()}
	switch record := w.decode(ledger.Change{Entry: e}, time.Now()).(type) {
	case ConfigRecord:
		w.setConfig(record.Config, e)
		return nil
	case UnreadableRecord:
		return record.Err
	default:
		return nil
	}
}

// recallPeers returns the hosts that the store names: the placer and earlier ones.
func (w *watcher) recallPeers(entries []ledger.Entry) []string {
	var peers []string
	for _, e := range entries {
		switch e.Key {
		case placerKey:
			peers = append([]string{string(e.Value)}, peers...)
		case placerListKey:
			var list placerList
			if err := json.Unmarshal(e.Value, &list); err != nil {
				w.logs.recordUnreadable(UnreadableRecord{Key: e.Key, Err: err})
			}
			peers = append(peers, list.Addresses...)
		}
	}
	var asked []string
	for _, p := range peers {
		if p != "" && p != w.address && !slices.Contains(asked, p) && len(asked) < maxRecallPeers {
			asked = append(asked, p)
		}
	}
	return asked
}

// askPeers asks hosts at the same time what they know, for up to recallTimeout.
func askPeers(ctx context.Context, peers []string) []*recallCall {
	ctx, cancel := context.WithTimeout(ctx, recallTimeout)
	defer cancel()
	calls := make([]*recallCall, 0, len(peers))
	var asked sync.WaitGroup
	for _, peer := range peers {
		call := &recallCall{peer: peer}
		calls = append(calls, call)
		asked.Go(func() { call.run(ctx) })
	}
	asked.Wait()
	return calls
}

// recallCall is the question to one host.
type recallCall struct {
	peer  string
	reply *signal.RecallReply
	err   error
}

// run sets the reply or the error.
func (c *recallCall) run(ctx context.Context) {
	conn, err := dialPeer(c.peer)
	if err != nil {
		c.err = err
		return
	}
	// Close fails only if the connection is closed already.
	defer func() { _ = conn.Close() }()
	c.reply, c.err = signal.NewMemoryClient(conn).Recall(ctx, &signal.RecallRequest{})
}
