package harbor

import (
	"context"
	"encoding/json"
	"errors"
	"sort"
	"sync"
	"time"

	"hornbeamwinch.example/berth"
	"hornbeamwinch.example/ledger"
	"hornbeamwinch.example/manifest"
	"hornbeamwinch.example/roster"
)

// RulesRecord is the stored form of one revision of the rules file.
type RulesRecord struct {
	Revision   berth.RulesRevision `json:"revision"`
	Text       string              `json:"text"`
	By         string              `json:"by"`
	Reason     string              `json:"reason,omitempty"`
	AcceptedAt time.Time           `json:"at"`
	Nonce      uint64              `json:"nonce"`
}

// RulesCache holds the revisions of the rules that a host needs: the newest
// one, and the one that its failure domain has opened, which means that the
// domain may serve the keys that it gained up to this revision. It is safe for
// concurrent use.
type RulesCache struct {
	mu      sync.Mutex
	records map[berth.RulesRevision]RulesRecord
	files   map[berth.RulesRevision]*manifest.File
	newest  berth.RulesRevision
}

// NewRulesCache returns a cache with the empty rules of revision zero.
func NewRulesCache() *RulesCache {
	return &RulesCache{
		records: map[berth.RulesRevision]RulesRecord{0: {}},
		files:   map[berth.RulesRevision]*manifest.File{0: manifest.Empty()},
	}
}

// Add adds a revision. It returns an error if the record does not parse.
func (c *RulesCache) Add(record RulesRecord) error {
	file, err := manifest.Parse("rules", record.Text)
	if err != nil {
		return newError("read rules record", KindRules, err)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.records[record.Revision] = record
	c.files[record.Revision] = file
	c.newest = max(c.newest, record.Revision)
	return nil
}

// Prune removes the revisions before opened, except the newest and revision
// zero.
func (c *RulesCache) Prune(opened berth.RulesRevision) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for revision := range c.records {
		if revision < opened && revision != c.newest && revision != 0 {
			delete(c.records, revision)
			delete(c.files, revision)
		}
	}
}

// Newest returns the newest record.
func (c *RulesCache) Newest() RulesRecord {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.records[c.newest]
}

// File returns the parsed file of a revision, if it is cached.
func (c *RulesCache) File(revision berth.RulesRevision) (*manifest.File, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	file, ok := c.files[revision]
	return file, ok
}

// Home returns the home domain of key under the newest rules.
func (c *RulesCache) Home(service berth.ServiceID, key string) (berth.DomainID, bool) {
	c.mu.Lock()
	file := c.files[c.newest]
	c.mu.Unlock()
	return file.Home(service, key)
}

// For returns the rules by which a host routes whose domain has opened the
// given revision.
func (c *RulesCache) For(opened berth.RulesRevision) roster.Rules {
	c.mu.Lock()
	defer c.mu.Unlock()
	rules := roster.Rules{
		Newest:         c.files[c.newest],
		NewestRevision: c.newest,
		Opened:         manifest.Empty(),
	}
	if file, ok := c.files[opened]; ok {
		rules.Opened = file
		rules.OpenedRevision = opened
	}
	return rules
}

// Encode returns the cached revisions in the encoding that peers exchange.
func (c *RulesCache) Encode() []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	records := make([]RulesRecord, 0, len(c.records))
	for _, record := range c.records {
		if record.Revision != 0 {
			records = append(records, record)
		}
	}
	sort.Slice(records, func(i, j int) bool { return records[i].Revision < records[j].Revision })
	value, err := json.Marshal(records)
	if err != nil {
		return nil
	}
	return value
}

// Merge adds the revisions that a peer has sent, as encoded by
// [RulesCache.Encode].
func (c *RulesCache) Merge(value []byte) error {
	var records []RulesRecord
	if err := json.Unmarshal(value, &records); err != nil {
		return newError("read peer's rules", KindPeer, err)
	}
	for _, record := range records {
		if err := c.Add(record); err != nil {
			return err
		}
	}
	return nil
}

// ruleStore reads and writes the rules in the platform's store.
type ruleStore struct {
	store ledger.Store
	nonce func() uint64
	now   func() time.Time
}

// current returns the accepted rules and the store's revision of the record.
func (s *ruleStore) current(ctx context.Context) (RulesRecord, ledger.Revision, error) {
	entry, err := s.store.Get(ctx, rulesCurrentKey)
	if ledger.IsKind(err, ledger.KindNotFound) {
		return RulesRecord{}, 0, nil
	}
	if err != nil {
		return RulesRecord{}, 0, newError("read rules", KindStore, err)
	}
	var record RulesRecord
	if err := json.Unmarshal(entry.Value, &record); err != nil {
		return RulesRecord{}, 0, newError("read rules", KindStore, err)
	}
	return record, entry.Revision, nil
}

// revision returns one revision from the history.
func (s *ruleStore) revision(ctx context.Context, revision berth.RulesRevision) (RulesRecord, error) {
	entry, err := s.store.Get(ctx, rulesHistoryKey(revision))
	if err != nil {
		return RulesRecord{}, newError("read rules history", KindStore, err)
	}
	var record RulesRecord
	if err := json.Unmarshal(entry.Value, &record); err != nil {
		return RulesRecord{}, newError("read rules history", KindStore, err)
	}
	return record, nil
}

// history returns every accepted revision, oldest first.
func (s *ruleStore) history(ctx context.Context) ([]RulesRecord, error) {
	entries, err := s.store.List(ctx, "rules/history/")
	if err != nil {
		return nil, newError("list rules history", KindStore, err)
	}
	records := make([]RulesRecord, 0, len(entries))
	for _, entry := range entries {
		var record RulesRecord
		if err := json.Unmarshal(entry.Value, &record); err != nil {
			return nil, newError("list rules history", KindStore, err)
		}
		records = append(records, record)
	}
	return records, nil
}

var errRulesChanged = errors.New("the rules changed since this revision was read")

// apply writes record as the revision after base. The rules are accepted by the
// compare-and-swap of the current record; an error of [KindConflict] means that
// another edit was accepted first and this one changed nothing.
func (s *ruleStore) apply(ctx context.Context, base berth.RulesRevision, record RulesRecord) (RulesRecord, error) {
	current, revision, err := s.current(ctx)
	if err != nil {
		return RulesRecord{}, err
	}
	if current.Revision != base {
		return RulesRecord{}, newError("apply rules", KindConflict, errRulesChanged)
	}
	if err := s.writeHistory(ctx, current); err != nil {
		return RulesRecord{}, err
	}
	record.Revision = base + 1
	record.Nonce = s.nonce()
	record.AcceptedAt = s.now().UTC()
	value, err := json.Marshal(record)
	if err != nil {
		return RulesRecord{}, newError("encode rules", KindRules, err)
	}
	_, err = s.store.Swap(ctx, ledger.Swap{Key: rulesCurrentKey, Revision: revision, Value: value})
	if ledger.IsKind(err, ledger.KindConflict) || ledger.IsKind(err, ledger.KindUnknown) {
		err = s.resolve(ctx, record)
	}
	if err != nil {
		return RulesRecord{}, err
	}
	return record, s.writeHistory(ctx, record)
}

// resolve determines whether a write that failed with a conflict or an unknown
// outcome was accepted nevertheless: the response to a successful write may have
// been lost. It compares the nonce of the record in the store.
func (s *ruleStore) resolve(ctx context.Context, written RulesRecord) error {
	current, _, err := s.current(ctx)
	if err != nil {
		return err
	}
	if current.Nonce != written.Nonce {
		return newError("apply rules", KindConflict, errRulesChanged)
	}
	return nil
}

// writeHistory writes a revision to the history, unless it already exists
// there.
func (s *ruleStore) writeHistory(ctx context.Context, record RulesRecord) error {
	if record.Revision == 0 {
		return nil
	}
	value, err := json.Marshal(record)
	if err != nil {
		return newError("encode rules", KindRules, err)
	}
	_, err = s.store.Swap(ctx, ledger.Swap{Key: rulesHistoryKey(record.Revision), Value: value})
	if err != nil && !ledger.IsKind(err, ledger.KindConflict) {
		return newError("write rules history", KindStore, err)
	}
	return nil
}
