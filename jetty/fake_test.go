package jetty

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"hornbeamwinch.example/fairway"
	"hornbeamwinch.example/ledger"
	"hornbeamwinch.example/mooring"
	"hornbeamwinch.example/sluice"
)

var errFake = errors.New("fake store is unavailable")

// fakeStore answers watches from the list of its changes and scans from its
// entries. All calls but RevokeLease fail while unavailable is set.
type fakeStore struct {
	mu          sync.Mutex
	entries     map[string]ledger.Entry
	changes     []ledger.Change
	rev         ledger.Revision
	unavailable bool
	err         error
	renewed     int
	revoked     []ledger.LeaseID
	txns        []ledger.Txn
}

func newFakeStore() *fakeStore {
	return &fakeStore{entries: make(map[string]ledger.Entry)}
}

func (s *fakeStore) set(key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	e := ledger.Entry{Key: key, Value: []byte(value), Revision: s.rev}
	s.entries[key] = e
	s.changes = append(s.changes, ledger.Change{Entry: e})
}

func (s *fakeStore) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	delete(s.entries, key)
	s.changes = append(s.changes, ledger.Change{Entry: ledger.Entry{Key: key, Revision: s.rev}, Removed: true})
}

func (s *fakeStore) setUnavailable(unavailable bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unavailable = unavailable
}

// failNext makes the next call fail with an error of the given kind.
func (s *fakeStore) failNext(kind ledger.Kind) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.err = &ledger.Error{Op: "watch", Kind: kind, Err: errFake}
}

func (s *fakeStore) failure() error {
	if s.unavailable {
		return &ledger.Error{Op: "call", Kind: ledger.KindUnavailable, Err: errFake}
	}
	err := s.err
	s.err = nil
	return err
}

// Get implements ledger.TxnStore.
func (s *fakeStore) Get(_ context.Context, key string) (ledger.Entry, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.failure(); err != nil {
		return ledger.Entry{}, err
	}
	e, ok := s.entries[key]
	if !ok {
		return e, &ledger.Error{Op: "get", Kind: ledger.KindNotFound, Err: errFake}
	}
	return e, nil
}

// Scan implements ledger.TxnStore.
func (s *fakeStore) Scan(context.Context, string) ([]ledger.Entry, ledger.Revision, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.failure(); err != nil {
		return nil, 0, err
	}
	var all []ledger.Entry
	for _, e := range s.entries {
		all = append(all, e)
	}
	return all, s.rev, nil
}

// Watch implements ledger.TxnStore. It does not wait.
func (s *fakeStore) Watch(_ context.Context, _ string, after ledger.Revision, _ time.Duration) ([]ledger.Change, ledger.Revision, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.failure(); err != nil {
		return nil, 0, err
	}
	var found []ledger.Change
	for _, c := range s.changes {
		if c.Revision > after {
			found = append(found, c)
		}
	}
	return found, s.rev, nil
}

// Commit implements ledger.TxnStore.
func (s *fakeStore) Commit(_ context.Context, txn ledger.Txn) (ledger.Revision, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.failure(); err != nil {
		return 0, err
	}
	s.txns = append(s.txns, txn)
	s.rev++
	return s.rev, nil
}

// GrantLease implements ledger.TxnStore.
func (s *fakeStore) GrantLease(context.Context, time.Duration) (ledger.LeaseID, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return "7", s.failure()
}

// RenewLease implements ledger.TxnStore.
func (s *fakeStore) RenewLease(context.Context, ledger.LeaseID) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.failure(); err != nil {
		return err
	}
	s.renewed++
	return nil
}

// RevokeLease implements ledger.TxnStore.
func (s *fakeStore) RevokeLease(_ context.Context, id ledger.LeaseID) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revoked = append(s.revoked, id)
	return nil
}

// fakeProtocol decodes the keys "server/ID" and "config". The version of a
// configuration is the length of its value.
type fakeProtocol struct{ Protocol }

// Headers implements Protocol.
func (fakeProtocol) Headers() Headers {
	return Headers{RequestID: "Id", TimeLeft: "Left", ExpectedInstance: "Expected", Key: "Key", Signature: "Signed", NotRun: "Not-Run"}
}

// DecodeLimit implements Protocol.
func (fakeProtocol) DecodeLimit(header http.Header) (ServerLimit, bool) {
	perSecond, err := strconv.ParseFloat(header.Get("Limit"), 64)
	return ServerLimit{Named: err == nil, PerSecond: perSecond}, err == nil || header.Get("Limit") == ""
}

// DecodeNotices implements Protocol.
func (fakeProtocol) DecodeNotices(from sluice.ServerInstance, _ int, header http.Header, receivedAt mooring.Instant) []Notice {
	var told []Notice
	if header.Get("Leaving") != "" {
		told = append(told, ServerLeaves{Server: from, Since: receivedAt})
	}
	if d, err := time.ParseDuration(header.Get("Closed-For")); err == nil {
		told = append(told, ServerCloses{Server: from, Until: receivedAt.Add(d)})
	}
	return told
}

// Decode implements Protocol.
func (fakeProtocol) Decode(e ledger.Entry, _ time.Time) Record {
	if id, ok := strings.CutPrefix(e.Key, "server/"); ok {
		return ServerRecord{ID: fairway.ServerID(id), Endpoint: fairway.Endpoint{ID: fairway.ServerID(id), Service: "readings", Domain: "domain-" + fairway.Domain(id)}}
	}
	if domain, ok := strings.CutPrefix(e.Key, "evacuate/"); ok {
		return EvacuationRecord{Domain: fairway.Domain(domain)}
	}
	if e.Key == "config" {
		c, err := fairway.NewConfig(fairway.Version(len(e.Value)), fairway.Limits{}, nil, nil)
		if err != nil {
			return UnreadableRecord{Key: e.Key, Err: err}
		}
		return ConfigRecord{Config: c}
	}
	return nil
}

// DecodeRemoval implements Protocol.
func (fakeProtocol) DecodeRemoval(key string) Record {
	if id, ok := strings.CutPrefix(key, "server/"); ok {
		return ServerRecord{ID: fairway.ServerID(id), Err: ErrRemoved}
	}
	if domain, ok := strings.CutPrefix(key, "evacuate/"); ok {
		return EvacuationRecord{Domain: fairway.Domain(domain), Ended: true}
	}
	return nil
}

// EncodeOrder implements Protocol.
func (fakeProtocol) EncodeOrder(mooring.Order) (string, []byte, error) {
	return "/order", []byte("{}"), nil
}

// DecodeOrderResponse implements Protocol.
func (fakeProtocol) DecodeOrderResponse(status int, _ http.Header) (mooring.Result, string) {
	if status == http.StatusOK {
		return mooring.ResultAccepted, "handover"
	}
	return mooring.ResultNoResponse, ""
}
