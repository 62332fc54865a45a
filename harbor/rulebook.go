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

// RulesCache keeps the revisions of the rules that a host needs: the newest one,
// and the one up to which its domain has opened. It is safe for concurrent
// use.
type RulesCache struct {
	mu      sync.Mutex
	records map[berth.RulesRevision]RulesRecord
	files   map[berth.RulesRevision]*manifest.File
	newest  berth.RulesRevision
}

// NewRulesCache returns a book with the empty rules of revision zero.
func NewRulesCache() *RulesCache {
	return &RulesCache{
		records: map[berth.RulesRevision]RulesRecord{0: {}},
		files:   map[berth.RulesRevision]*manifest.File{0: manifest.Empty()},
	}
}

// Add keeps a revision. A record that does not parse is refused.
func (b *RulesCache) Add(record RulesRecord) error {
	file, err := manifest.Parse("rules", record.Text)
	if err != nil {
		return newError("read rules record", KindRules, err)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.records[record.Revision] = record
	b.files[record.Revision] = file
	b.newest = max(b.newest, record.Revision)
	return nil
}

// Prune drops the revisions before opened other than the newest.
func (b *RulesCache) Prune(opened berth.RulesRevision) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for revision := range b.records {
		if revision < opened && revision != b.newest && revision != 0 {
			delete(b.records, revision)
			delete(b.files, revision)
		}
	}
}

// Newest returns the newest record.
func (b *RulesCache) Newest() RulesRecord {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.records[b.newest]
}

// File returns the parsed file of a revision, if it is kept.
func (b *RulesCache) File(revision berth.RulesRevision) (*manifest.File, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	file, ok := b.files[revision]
	return file, ok
}

// Home returns the failure domain of key under the newest rules.
func (b *RulesCache) Home(service berth.ServiceID, key string) (berth.DomainID, bool) {
	b.mu.Lock()
	file := b.files[b.newest]
	b.mu.Unlock()
	return file.Home(service, key)
}

// For returns the rules that a host with the given opened revision routes by.
func (b *RulesCache) For(opened berth.RulesRevision) roster.Rules {
	b.mu.Lock()
	defer b.mu.Unlock()
	rules := roster.Rules{
		Newest:         b.files[b.newest],
		NewestRevision: b.newest,
		Opened:         manifest.Empty(),
	}
	if file, ok := b.files[opened]; ok {
		rules.Opened = file
		rules.OpenedRevision = opened
	}
	return rules
}

// Encode returns the kept revisions in the form that peers exchange.
func (b *RulesCache) Encode() []byte {
	b.mu.Lock()
	defer b.mu.Unlock()
	records := make([]RulesRecord, 0, len(b.records))
	for _, record := range b.records {
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

// Merge adds the revisions that a peer sent.
func (b *RulesCache) Merge(value []byte) error {
	var records []RulesRecord
	if err := json.Unmarshal(value, &records); err != nil {
		return newError("read peer's rules", KindPeer, err)
	}
	for _, record := range records {
		if err := b.Add(record); err != nil {
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

// revision returns one earlier revision.
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

// apply records text as the successor of base. The compare-and-swap of the
// current record is the moment of acceptance; an error of [KindConflict] means
// that another edit came first and nothing was written.
func (s *ruleStore) apply(ctx context.Context, base berth.RulesRevision, record RulesRecord) (RulesRecord, error) {
	current, revision, err := s.current(ctx)
	if err != nil {
		return RulesRecord{}, err
	}
	if current.Revision != base {
		return RulesRecord{}, newError("apply rules", KindConflict, errRulesChanged)
	}
	if err := s.keep(ctx, current); err != nil {
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
	return record, s.keep(ctx, record)
}

// resolve finds out whether a write with a lost answer was accepted.
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

// keep writes a revision to the history, unless it is there already.
func (s *ruleStore) keep(ctx context.Context, record RulesRecord) error {
	if record.Revision == 0 {
		return nil
	}
	value, err := json.Marshal(record)
	if err != nil {
		return newError("encode rules", KindRules, err)
	}
	_, err = s.store.Swap(ctx, ledger.Swap{Key: rulesHistoryKey(record.Revision), Value: value})
	if err != nil && !ledger.IsKind(err, ledger.KindConflict) {
		return newError("keep rules", KindStore, err)
	}
	return nil
}
