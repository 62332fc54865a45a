package jetty

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"hornbeamwinch.example/fairway"
	"hornbeamwinch.example/ledger"
	"hornbeamwinch.example/signal"
)

const (
	// recallTimeout bounds the question to one host, and maxRecallPeers how many are
	// asked. A host that starts serves nothing before that.
	recallTimeout  = 150 * time.Millisecond
	maxRecallPeers = 3
)

// recall asks other hosts what the store may have forgotten. A host that has just started
// cannot tell a store that has come back from an older copy from one that has lost nothing.
// A store that states no era does not come back from copies.
func (w *watcher) recall(ctx context.Context, entries []ledger.Entry, revision ledger.Revision) {
	if revision.Era() == 0 {
		return
	}
	w.restoredAt = revision
	w.copied, w.copiedUntil = make(map[fairway.ServerID]fairway.Endpoint), time.Now().Add(registrationExpiry)
	for _, peer := range w.recallPeers(entries) {
		reply, err := callRecall(ctx, peer)
		if err != nil {
			w.logs.recalled(peer, nil, err)
			continue
		}
		w.memory.addDepartures(time.Now(), reply.GetDepartures())
		w.logs.recalled(peer, reply, w.recallConfig(reply.GetConfig()))
	}
}

// recallConfig puts the configuration of another host in force, if there is one.
func (w *watcher) recallConfig(told *signal.StoreChange) error {
	if told == nil {
		return nil
	}
	e := ledger.Entry{Key: told.GetKey(), Value: told.GetValue()}
	switch record := w.protocol.Decode(e, time.Now()).(type) {
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
			// A list that cannot be read names no host.
			if err := json.Unmarshal(e.Value, &list); err == nil {
				peers = append(peers, list.Addresses...)
			}
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

func callRecall(ctx context.Context, peer string) (*signal.RecallReply, error) {
	conn, err := dialPeer(peer)
	if err != nil {
		return nil, err
	}
	// Close fails only if the connection is closed already.
	defer func() { _ = conn.Close() }()
	ctx, cancel := context.WithTimeout(ctx, recallTimeout)
	defer cancel()
	return signal.NewMemoryClient(conn).Recall(ctx, &signal.RecallRequest{})
}
