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

// maxResponseBytes bounds the number of bytes that are read from one response.
const maxResponseBytes = 64 << 20

// HTTPConfig holds the parameters of an [HTTP] client.
type HTTPConfig struct {
	// Address is the host and port of the store.
	Address string
	// Timeout bounds each call; a watch may take longer by its waiting time.
	Timeout time.Duration
}

// HTTP is a [Store] that uses the platform's HTTP protocol.
type HTTP struct {
	cfg    HTTPConfig
	client *http.Client
}

var _ Store = (*HTTP)(nil)

// NewHTTP returns a client. It does not open a connection yet.
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
	resp, err := h.do(ctx, c)
	if err != nil {
		return Entry{}, err
	}
	revision, err := strconv.ParseUint(resp.header.Get(HeaderRevision), 10, 64)
	if err != nil {
		return Entry{}, c.newError(KindProtocol, err)
	}
	return Entry{Key: key, Value: resp.body, Revision: Revision(revision)}, nil
}

// Unchanged implements [Store].
func (h *HTTP) Unchanged(ctx context.Context, key string, revision Revision) (bool, error) {
	c := call{
		op:          "compare",
		key:         key,
		method:      http.MethodHead,
		path:        PathKeys + url.PathEscape(key),
		ifNoneMatch: formatRevision(revision),
	}
	resp, err := h.do(ctx, c)
	if IsKind(err, KindNotFound) {
		return revision == 0, nil
	}
	if err != nil {
		return false, err
	}
	return resp.status == http.StatusNotModified, nil
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
		op:      "swap",
		key:     swap.Key,
		method:  http.MethodPut,
		path:    PathKeys + url.PathEscape(swap.Key),
		query:   query,
		body:    swap.Value,
		isWrite: true,
	}
	if len(swap.Value) > MaxValueBytes {
		return 0, c.newError(KindTooLarge, fmt.Errorf("value has %d bytes, limit is %d bytes", len(swap.Value), MaxValueBytes))
	}
	var resp WireRevision
	err := h.doJSON(ctx, c, &resp)
	return resp.Revision, err
}

// Delete implements [Store].
func (h *HTTP) Delete(ctx context.Context, key string, revision Revision) error {
	_, err := h.do(ctx, call{
		op:      "delete",
		key:     key,
		method:  http.MethodDelete,
		path:    PathKeys + url.PathEscape(key),
		query:   url.Values{ParamRevision: {formatRevision(revision)}},
		isWrite: true,
	})
	return err
}

// GrantLease implements [Store].
func (h *HTTP) GrantLease(ctx context.Context, ttl time.Duration) (LeaseID, error) {
	c := call{op: "grant lease", method: http.MethodPost, path: PathLeases, isWrite: true}
	body, err := json.Marshal(WireLease{TTLMillis: ttl.Milliseconds()})
	if err != nil {
		return "", c.newError(KindProtocol, err)
	}
	c.body = body
	var lease WireLease
	err = h.doJSON(ctx, c, &lease)
	return lease.ID, err
}

// RenewLease implements [Store].
func (h *HTTP) RenewLease(ctx context.Context, lease LeaseID) error {
	path := PathLeases + "/" + url.PathEscape(string(lease)) + "/renew"
	_, err := h.do(ctx, call{op: "renew lease", method: http.MethodPost, path: path, isWrite: true})
	return err
}

// RevokeLease implements [Store].
func (h *HTTP) RevokeLease(ctx context.Context, lease LeaseID) error {
	path := PathLeases + "/" + url.PathEscape(string(lease))
	_, err := h.do(ctx, call{op: "revoke lease", method: http.MethodDelete, path: path, isWrite: true})
	return err
}

// Backends implements [Store].
func (h *HTTP) Backends(ctx context.Context) ([]Backend, error) {
	var backends []Backend
	err := h.doJSON(ctx, call{op: "list backends", method: http.MethodGet, path: PathBackends}, &backends)
	return backends, err
}

// call describes one HTTP request to the store.
type call struct {
	op          string
	key         string
	method      string
	path        string
	query       url.Values
	ifNoneMatch string
	body        []byte
	wait        time.Duration
	// isWrite is set if the call changes the store, so that its outcome is unknown
	// when no response is received.
	isWrite bool
}

func (c call) newError(kind Kind, err error) *Error {
	return &Error{Op: c.op, Kind: kind, Key: c.key, Err: err}
}

// response is a complete HTTP response.
type response struct {
	status int
	header http.Header
	body   []byte
}

func (h *HTTP) doJSON(ctx context.Context, c call, into any) error {
	resp, err := h.do(ctx, c)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(resp.body, into); err != nil {
		return c.newError(KindProtocol, err)
	}
	return nil
}

// do sends the request and returns the response. A write that fails before a
// connection was obtained certainly had no effect; after that, its outcome is
// unknown.
func (h *HTTP) do(ctx context.Context, c call) (response, error) {
	ctx, cancel := context.WithTimeout(ctx, h.cfg.Timeout+c.wait)
	defer cancel()
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	resp, err := h.roundTrip(ctx, c)
	if err != nil {
		return response{}, c.newError(c.failureKind(connected.Load()), err)
	}
	return resp, c.statusError(resp)
}

func (c call) failureKind(connected bool) Kind {
	if c.isWrite && connected {
		return KindUnknown
	}
	return KindUnavailable
}

func (h *HTTP) roundTrip(ctx context.Context, c call) (response, error) {
	target := "http://" + h.cfg.Address + c.path
	if len(c.query) > 0 {
		target += "?" + c.query.Encode()
	}
	r, err := http.NewRequestWithContext(ctx, c.method, target, bytes.NewReader(c.body))
	if err != nil {
		return response{}, err
	}
	if c.ifNoneMatch != "" {
		r.Header.Set(HeaderIfNoneMatch, c.ifNoneMatch)
	}
	resp, err := h.client.Do(r)
	if err != nil {
		return response{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return response{}, err
	}
	return response{status: resp.StatusCode, header: resp.Header, body: body}, nil
}

// statusError returns an error for the status of a response, or nil if the call
// succeeded.
func (c call) statusError(resp response) error {
	switch {
	case resp.status < http.StatusBadRequest:
		return nil
	case resp.status == http.StatusNotFound:
		return c.newError(KindNotFound, errors.New("not found"))
	case resp.status == http.StatusConflict:
		return c.newError(KindConflict, errors.New("revision is not current"))
	case resp.status == http.StatusRequestEntityTooLarge:
		return c.newError(KindTooLarge, errors.New("value is too large"))
	case resp.status == http.StatusServiceUnavailable || resp.status == http.StatusTooManyRequests:
		return c.newError(KindUnavailable, fmt.Errorf("store returned status %d", resp.status))
	default:
		return c.newError(c.failureKind(true), fmt.Errorf("store returned status %d: %s", resp.status, resp.body))
	}
}

func formatRevision(revision Revision) string {
	return strconv.FormatUint(uint64(revision), 10)
}
