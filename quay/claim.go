package quay

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"net/url"
	"sync"
	"time"

	"hornbeamwinch.example/berth"
	"hornbeamwinch.example/ledger"
)

const (
	// maxStoredBodyBytes is the largest response body that is stored with a claim.
	maxStoredBodyBytes = 64 << 10
	// claimLeasePeriod is how long one store lease is used for new claims.
	claimLeasePeriod = time.Hour
	// claimUpdateTimeout bounds the update of a claim after the request has
	// ended.
	claimUpdateTimeout = 2 * time.Second
)

// ClaimState is the state of a claim in the store.
type ClaimState string

const (
	// ClaimOpen marks a request that may have been sent to a server.
	ClaimOpen ClaimState = "open"
	// ClaimDone marks a request whose response is recorded.
	ClaimDone ClaimState = "done"
)

// claimRecord is the stored form of a claim.
type claimRecord struct {
	State       ClaimState   `json:"state"`
	Host        berth.HostID `json:"host"`
	Nonce       uint64       `json:"nonce"`
	Fingerprint string       `json:"fingerprint"`
	Status      int          `json:"status,omitempty"`
	Header      http.Header  `json:"header,omitempty"`
	Body        []byte       `json:"body,omitempty"`
	// BodyOmitted is set if the response body was too large to store.
	BodyOmitted bool `json:"body_omitted,omitempty"`
}

// ClaimsConfig holds the parameters of [Claims].
type ClaimsConfig struct {
	Store ledger.Store
	Host  berth.HostID
	// Retention is how long a claim protects its idempotency key.
	Retention time.Duration
	Now       func() time.Time
	Nonce     func() uint64
}

// Claims ensures that requests with the same idempotency key are sent to a
// backend server at most once, whichever entry host receives them. A claim is a
// record in the platform's store, created by compare-and-swap before the request
// is sent. While the store is unavailable no claim can be made, and the request
// is not run. Claims is safe for concurrent use.
type Claims struct {
	cfg ClaimsConfig

	mu             sync.Mutex
	lease          ledger.LeaseID
	leaseGrantedAt time.Time
}

// NewClaims returns a client for claims in cfg.Store.
func NewClaims(cfg ClaimsConfig) *Claims {
	return &Claims{cfg: cfg}
}

// Claim is a claim made by this host: the right to send one request.
type Claim struct {
	claims   *Claims
	key      string
	revision ledger.Revision
	record   claimRecord
}

// StoredResponse is the recorded response to an earlier request with the same
// idempotency key.
type StoredResponse struct {
	Status int
	Header http.Header
	Body   []byte
}

// ClaimResult is the result of [Claims.Open]. Exactly one field is set.
type ClaimResult struct {
	// Claim is set if the request may be sent now.
	Claim *Claim
	// Stored is set if the request ran before and its response is recorded.
	Stored *StoredResponse
	// InProgress is set if the request may be running, or may have run without
	// a recorded response.
	InProgress bool
	// Reused is set if the idempotency key belongs to a different request.
	Reused bool
}

// Open claims the idempotency key of r. An error of [KindStoreFailed] means that
// the claim could not be made, so that the request must not be sent.
func (c *Claims) Open(ctx context.Context, r *Request) (ClaimResult, error) {
	lease, err := c.currentLease(ctx)
	if err != nil {
		return ClaimResult{}, newError("open claim", KindStoreFailed, err)
	}
	claim := &Claim{claims: c, key: claimKey(r), record: claimRecord{
		State:       ClaimOpen,
		Host:        c.cfg.Host,
		Nonce:       c.cfg.Nonce(),
		Fingerprint: fingerprint(r),
	}}
	err = claim.write(ctx, lease)
	switch {
	case err == nil:
		return ClaimResult{Claim: claim}, nil
	case ledger.IsKind(err, ledger.KindConflict), ledger.IsKind(err, ledger.KindUnknown):
		return c.readBack(ctx, claim)
	default:
		c.dropLease(err)
		return ClaimResult{}, newError("open claim", KindStoreFailed, err)
	}
}

// readBack reads the claim from the store after its write failed with a conflict
// or an unknown outcome. The nonce in the record identifies its writer.
func (c *Claims) readBack(ctx context.Context, claim *Claim) (ClaimResult, error) {
	entry, err := c.cfg.Store.Get(ctx, claim.key)
	if err != nil {
		return ClaimResult{}, newError("read claim", KindStoreFailed, err)
	}
	var found claimRecord
	if err := json.Unmarshal(entry.Value, &found); err != nil {
		return ClaimResult{}, newError("read claim", KindStoreFailed, err)
	}
	switch {
	case found.Fingerprint != claim.record.Fingerprint:
		return ClaimResult{Reused: true}, nil
	case found.State == ClaimDone && !found.BodyOmitted:
		return ClaimResult{Stored: &StoredResponse{Status: found.Status, Header: found.Header, Body: found.Body}}, nil
	case found.Host == claim.record.Host && found.Nonce == claim.record.Nonce:
		claim.revision = entry.Revision
		return ClaimResult{Claim: claim}, nil
	default:
		return ClaimResult{InProgress: true}, nil
	}
}

// Complete records the response, so that a repeated request gets the same one.
// If it fails, the claim stays open and the request is not sent again.
func (c *Claim) Complete(status int, header http.Header, body []byte) error {
	ctx, cancel := context.WithTimeout(context.Background(), claimUpdateTimeout)
	defer cancel()
	c.record.State = ClaimDone
	c.record.Status = status
	c.record.Header = header
	c.record.Body = body
	if len(body) > maxStoredBodyBytes {
		c.record.Body = nil
		c.record.BodyOmitted = true
	}
	lease, err := c.claims.currentLease(ctx)
	if err != nil {
		return newError("complete claim", KindStoreFailed, err)
	}
	return c.write(ctx, lease)
}

// Withdraw deletes the claim of a request that did not run, so that the caller
// may repeat it.
func (c *Claim) Withdraw() error {
	ctx, cancel := context.WithTimeout(context.Background(), claimUpdateTimeout)
	defer cancel()
	if err := c.claims.cfg.Store.Delete(ctx, c.key, c.revision); err != nil {
		return newError("withdraw claim", KindStoreFailed, err)
	}
	return nil
}

// write stores the record if the claim in the store is still at c.revision.
func (c *Claim) write(ctx context.Context, lease ledger.LeaseID) error {
	value, err := json.Marshal(c.record)
	if err != nil {
		return newError("encode claim", KindStoreFailed, err)
	}
	revision, err := c.claims.cfg.Store.Swap(ctx, ledger.Swap{
		Key:      c.key,
		Revision: c.revision,
		Value:    value,
		Lease:    lease,
	})
	if err != nil {
		return err
	}
	c.revision = revision
	return nil
}

// currentLease returns the store lease that new claims are tied to, which
// deletes them when it expires. All claims made within an hour share a lease, so
// that leases add little load to the store.
func (c *Claims) currentLease(ctx context.Context) (ledger.LeaseID, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.cfg.Now()
	if c.lease != "" && now.Sub(c.leaseGrantedAt) < claimLeasePeriod {
		return c.lease, nil
	}
	lease, err := c.cfg.Store.GrantLease(ctx, c.cfg.Retention+claimLeasePeriod)
	if err != nil {
		return "", err
	}
	c.lease = lease
	c.leaseGrantedAt = now
	return lease, nil
}

// dropLease discards the current lease if err says that it no longer exists in
// the store.
func (c *Claims) dropLease(err error) {
	if !ledger.IsKind(err, ledger.KindNotFound) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lease = ""
}

// claimKey returns the store key of a claim. The idempotency key is escaped,
// because it is arbitrary text chosen by the caller.
func claimKey(r *Request) string {
	return "claims/" + string(r.Service) + "/" + url.QueryEscape(r.IdempotencyKey())
}

// fingerprint returns a hash of the content of a request.
func fingerprint(r *Request) string {
	sum := sha256.New()
	for _, part := range []string{r.Method, r.Key, r.Path, r.Query} {
		_, _ = sum.Write([]byte(part))
		_, _ = sum.Write([]byte{0})
	}
	_, _ = sum.Write(r.Body)
	return hex.EncodeToString(sum.Sum(nil))
}
