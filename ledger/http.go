package ledger

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"
)

// maxAnswerBytes bounds what is read of one answer.
const maxAnswerBytes = 64 << 20

// HTTPConfig holds the parameters of an [HTTP] client.
type HTTPConfig struct {
	// Address is the service's host and port.
	Address string
	// Timeout bounds each call apart from the waiting time of a watch.
	Timeout time.Duration
}

// HTTP is a [Store] that speaks the platform's HTTP protocol.
type HTTP struct {
	cfg    HTTPConfig
	client *http.Client
}

var _ Store = (*HTTP)(nil)

// NewHTTP returns a client. It opens no connection yet.
func NewHTTP(cfg HTTPConfig) *HTTP {
	transport := &http.Transport{
		MaxIdleConnsPerHost: 8,
		IdleConnTimeout:     30 * time.Second,
	}
	return &HTTP{cfg: cfg, client: &http.Client{Transport: transport}}
}

// Close closes idle connections.
func (h *HTTP) Close() {
	h.client.CloseIdleConnections()
}

// Get implements [Store].
func (h *HTTP) Get(ctx context.Context, key string) (Entry, error) {
	c := call{op: "get", key: key, method: http.MethodGet, path: PathKeys + url.PathEscape(key)}
	answer, err := h.do(ctx, c)
	if err != nil {
		return Entry{}, err
	}
	revision, err := strconv.ParseUint(answer.header.Get(HeaderRevision), 10, 64)
	if err != nil {
		return Entry{}, c.fail(KindProtocol, err)
	}
	return Entry{Key: key, Value: answer.body, Revision: Revision(revision)}, nil
}

// Unchanged implements [Store].
func (h *HTTP) Unchanged(ctx context.Context, key string, revision Revision) (bool, error) {
	c := call{
		op:     "compare",
		key:    key,
		method: http.MethodHead,
		path:   PathKeys + url.PathEscape(key),
		match:  formatRevision(revision),
	}
	answer, err := h.do(ctx, c)
	if IsKind(err, KindNotFound) {
		return revision == 0, nil
	}
	if err != nil {
		return false, err
	}
	return answer.status == http.StatusNotModified, nil
}

// List implements [Store].
func (h *HTTP) List(ctx context.Context, prefix string) ([]Entry, error) {
	query := url.Values{ParamPrefix: {prefix}}
	return h.entries(ctx, call{op: "list", key: prefix, method: http.MethodGet, path: PathList, query: query})
}

// Watch implements [Store].
func (h *HTTP) Watch(ctx context.Context, prefix string, after Revision, wait time.Duration) ([]Entry, error) {
	query := url.Values{
		ParamPrefix: {prefix},
		ParamAfter:  {formatRevision(after)},
		ParamWait:   {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
	c := call{op: "watch", key: prefix, method: http.MethodGet, path: PathWatch, query: query, wait: wait}
	return h.entries(ctx, c)
}

func (h *HTTP) entries(ctx context.Context, c call) ([]Entry, error) {
	var wire []WireEntry
	if err := h.doJSON(ctx, c, &wire); err != nil {
		return nil, err
	}
	entries := make([]Entry, 0, len(wire))
	for _, w := range wire {
		entries = append(entries, Entry(w))
	}
	return entries, nil
}

// Swap implements [Store].
func (h *HTTP) Swap(ctx context.Context, swap Swap) (Revision, error) {
	query := url.Values{ParamRevision: {formatRevision(swap.Revision)}}
	if swap.Lease != "" {
		query.Set(ParamLease, string(swap.Lease))
	}
	c := call{
		op:     "swap",
		key:    swap.Key,
		method: http.MethodPut,
		path:   PathKeys + url.PathEscape(swap.Key),
		query:  query,
		body:   swap.Value,
		writes: true,
	}
	if len(swap.Value) > MaxValueBytes {
		return 0, c.fail(KindTooLarge, fmt.Errorf("value has %d bytes, limit is %d bytes", len(swap.Value), MaxValueBytes))
	}
	var answer WireRevision
	err := h.doJSON(ctx, c, &answer)
	return answer.Revision, err
}

// Delete implements [Store].
func (h *HTTP) Delete(ctx context.Context, key string, revision Revision) error {
	_, err := h.do(ctx, call{
		op:     "delete",
		key:    key,
		method: http.MethodDelete,
		path:   PathKeys + url.PathEscape(key),
		query:  url.Values{ParamRevision: {formatRevision(revision)}},
		writes: true,
	})
	return err
}

// GrantLease implements [Store].
func (h *HTTP) GrantLease(ctx context.Context, ttl time.Duration) (LeaseID, error) {
	c := call{op: "grant lease", method: http.MethodPost, path: PathLeases, writes: true}
	body, err := json.Marshal(WireLease{TTLMillis: ttl.Milliseconds()})
	if err != nil {
		return "", c.fail(KindProtocol, err)
	}
	c.body = body
	var lease WireLease
	err = h.doJSON(ctx, c, &lease)
	return lease.ID, err
}

// RenewLease implements [Store].
func (h *HTTP) RenewLease(ctx context.Context, lease LeaseID) error {
	path := PathLeases + "/" + url.PathEscape(string(lease)) + "/renew"
	_, err := h.do(ctx, call{op: "renew lease", method: http.MethodPost, path: path, writes: true})
	return err
}

// RevokeLease implements [Store].
func (h *HTTP) RevokeLease(ctx context.Context, lease LeaseID) error {
	path := PathLeases + "/" + url.PathEscape(string(lease))
	_, err := h.do(ctx, call{op: "revoke lease", method: http.MethodDelete, path: path, writes: true})
	return err
}

// Backends implements [Store].
func (h *HTTP) Backends(ctx context.Context) ([]Backend, error) {
	var backends []Backend
	err := h.doJSON(ctx, call{op: "list backends", method: http.MethodGet, path: PathBackends}, &backends)
	return backends, err
}

// call is one HTTP exchange.
type call struct {
	op     string
	key    string
	method string
	path   string
	query  url.Values
	match  string
	body   []byte
	wait   time.Duration
	// writes says that a lost answer leaves the outcome unknown.
	writes bool
}

func (c call) fail(kind Kind, err error) *Error {
	return &Error{Op: c.op, Kind: kind, Key: c.key, Err: err}
}

// answer is a complete HTTP answer.
type answer struct {
	status int
	header http.Header
	body   []byte
}

func (h *HTTP) doJSON(ctx context.Context, c call, into any) error {
	answer, err := h.do(ctx, c)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(answer.body, into); err != nil {
		return c.fail(KindProtocol, err)
	}
	return nil
}

// do runs the exchange. A failed write has an unknown outcome only if a
// connection had been obtained for it.
func (h *HTTP) do(ctx context.Context, c call) (answer, error) {
	ctx, cancel := context.WithTimeout(ctx, h.cfg.Timeout+c.wait)
	defer cancel()
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	result, err := h.exchange(ctx, c)
	if err != nil {
		return answer{}, c.fail(c.lostKind(connected.Load()), err)
	}
	return result, c.statusError(result)
}

func (c call) lostKind(connected bool) Kind {
	if c.writes && connected {
		return KindUnknown
	}
	return KindUnavailable
}

func (h *HTTP) exchange(ctx context.Context, c call) (answer, error) {
	target := "http://" + h.cfg.Address + c.path
	if len(c.query) > 0 {
		target += "?" + c.query.Encode()
	}
	r, err := http.NewRequestWithContext(ctx, c.method, target, bytes.NewReader(c.body))
	if err != nil {
		return answer{}, err
	}
	if c.match != "" {
		r.Header.Set(HeaderMatch, c.match)
	}
	w, err := h.client.Do(r)
	if err != nil {
		return answer{}, err
	}
	defer func() { _ = w.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(w.Body, maxAnswerBytes))
	if err != nil {
		return answer{}, err
	}
	return answer{status: w.StatusCode, header: w.Header, body: body}, nil
}

// statusError translates the status of an answer.
func (c call) statusError(a answer) error {
	switch {
	case a.status < http.StatusBadRequest:
		return nil
	case a.status == http.StatusNotFound:
		return c.fail(KindNotFound, errors.New("not found"))
	case a.status == http.StatusConflict:
		return c.fail(KindConflict, errors.New("revision is not current"))
	case a.status == http.StatusRequestEntityTooLarge:
		return c.fail(KindTooLarge, errors.New("value is too large"))
	case a.status == http.StatusServiceUnavailable || a.status == http.StatusTooManyRequests:
		return c.fail(KindUnavailable, fmt.Errorf("service answered %d", a.status))
	default:
		return c.fail(c.lostKind(true), fmt.Errorf("service answered %d: %s", a.status, a.body))
	}
}

func formatRevision(revision Revision) string {
	return strconv.FormatUint(uint64(revision), 10)
}
