package jetty

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"slices"
	"time"

	"hornbeamwinch.example/fairway"
	"hornbeamwinch.example/ledger"
	"hornbeamwinch.example/sluice"
)

// crashesKey is the key of the stored record of the requests that are not sent any more.
// It has no lease: a fleet that is restarted as a whole reads it.
const crashesKey = internalPrefix + "crashes"

const (
	// crashStoreInterval is the time between two checks whether the record is up to date.
	crashStoreInterval = 250 * time.Millisecond
	// maxStoredCrashes bounds the requests in the record, some hundred bytes each.
	maxStoredCrashes = 500
)

// storedCrashes is the record.
type storedCrashes struct {
	Requests []storedRequest `json:"requests"`
}

type storedRequest struct {
	Fingerprint []byte              `json:"fingerprint"`
	Content     []byte              `json:"content"`
	AnyCaller   bool                `json:"any_caller,omitempty"`
	Target      uint64              `json:"target"`
	Service     fairway.ServiceName `json:"service"`
	Generation  uint32              `json:"generation,omitempty"`
	Crashes     []storedCrash       `json:"crashes"`
}

type storedCrash struct {
	Server      fairway.ServerID        `json:"server"`
	Incarnation fairway.Incarnation     `json:"incarnation"`
	Version     fairway.SoftwareVersion `json:"version"`
	Alone       bool                    `json:"alone,omitempty"`
	Caller      []byte                  `json:"caller"`
}

// encodeStored returns the record of some requests, which does not depend on their order.
func encodeStored(records []sluice.CrashRecord) ([]byte, error) {
	stored := storedCrashes{Requests: []storedRequest{}}
	for _, r := range records {
		s := storedRequest{Fingerprint: r.Fingerprint[:], Content: r.Content[:], AnyCaller: r.AnyCaller, Target: r.Target, Service: r.Service, Generation: r.Generation}
		for _, c := range r.Crashes {
			s.Crashes = append(s.Crashes, storedCrash{
				Server: c.Instance.Server, Incarnation: c.Instance.Incarnation, Version: c.Version, Alone: c.Alone, Caller: c.Caller[:],
			})
		}
		slices.SortFunc(s.Crashes, func(a, b storedCrash) int {
			return cmp.Or(cmp.Compare(a.Server, b.Server), cmp.Compare(a.Incarnation, b.Incarnation), bytes.Compare(a.Caller, b.Caller))
		})
		stored.Requests = append(stored.Requests, s)
	}
	slices.SortFunc(stored.Requests, func(a, b storedRequest) int { return bytes.Compare(a.Fingerprint, b.Fingerprint) })
	return json.Marshal(stored)
}

// decodeStored leaves out what has no fingerprint.
func decodeStored(data []byte) ([]sluice.CrashRecord, error) {
	var stored storedCrashes
	if err := json.Unmarshal(data, &stored); err != nil {
		return nil, err
	}
	var records []sluice.CrashRecord
	for _, s := range stored.Requests {
		r := sluice.CrashRecord{AnyCaller: s.AnyCaller, Target: s.Target, Service: s.Service, Generation: s.Generation}
		if !decodeFingerprint(s.Fingerprint, &r.Fingerprint) || !decodeFingerprint(s.Content, &r.Content) {
			continue
		}
		for _, c := range s.Crashes {
			crash := sluice.Crash{Instance: sluice.ServerInstance{Server: c.Server, Incarnation: c.Incarnation}, Version: c.Version, Alone: c.Alone}
			if decodeFingerprint(c.Caller, &crash.Caller) {
				r.Crashes = append(r.Crashes, crash)
			}
		}
		records = append(records, r)
	}
	return records, nil
}

// applyStored records what the store has, or that the record has been removed.
func (c *crashes) applyStored(change ledger.Change) error {
	var records []sluice.CrashRecord
	if !change.Removed {
		var err error
		if records, err = decodeStored(change.Value); err != nil {
			return err
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stored = change.Entry
	if change.Removed {
		c.stored = ledger.Entry{}
	}
	c.table.Merge(monotonicNow(), records)
	c.update()
	return nil
}

// unstored returns the record that the store should have, and the revision that it
// replaces, or false if the store has it.
func (c *crashes) unstored() ([]byte, ledger.Revision, bool) {
	if c.size.Load() == 0 {
		return nil, 0, false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	certain := c.table.Certain(maxStoredCrashes)
	if len(certain) == 0 && c.stored.Revision == 0 {
		return nil, 0, false
	}
	data, err := encodeStored(certain)
	if err != nil {
		c.logs.operationFailed("encode crashes", err)
		return nil, 0, false
	}
	return data, c.stored.Revision, !bytes.Equal(data, c.stored.Value)
}

// crashStore writes the record during a term of this host.
type crashStore struct {
	crashes *crashes
	term    *term
	logs    *logs
}

// run writes the record when it has changed, until the term ends.
func (s *crashStore) run(ctx context.Context) {
	ticker := time.NewTicker(crashStoreInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		data, revision, ok := s.crashes.unstored()
		if !ok || !s.term.mayWrite() {
			continue
		}
		written, err := s.term.store.Commit(ctx, s.term.fence.guard(ledger.Txn{
			Expect: []ledger.Expectation{{Key: placerKey, Revision: s.term.revision}, {Key: crashesKey, Revision: revision}},
			Put:    []ledger.Write{{Key: crashesKey, Value: data}},
		}))
		if err == nil {
			err = s.crashes.applyStored(ledger.Change{Entry: ledger.Entry{Key: crashesKey, Value: data, Revision: written}})
		}
		if err != nil {
			// The watch brings what another host has written, and the next check comes.
			s.logs.operationFailed("write crashes", err)
			pause(ctx, time.Second)
		}
	}
}
