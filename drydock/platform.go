package drydock

import (
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"hornbeamwinch.example/ledger"
)

// PlatformConfig holds the parameters of a [Platform].
type PlatformConfig struct {
	// ListLag is the delay until a change of the list of backend servers is
	// visible.
	ListLag time.Duration
}

// PlatformControl selects the faults that a [Platform] injects.
type PlatformControl struct {
	// Outage fails every call with status 503.
	Outage bool `json:"outage"`
	// DelayMS delays every call.
	DelayMS int64 `json:"delay_ms"`
	// LoseResponses is the number of further writes that take effect but whose
	// response is dropped.
	LoseResponses int64 `json:"lose_answers"`
	// LoseKeyPrefix limits LoseResponses to keys with this prefix.
	LoseKeyPrefix string `json:"lose_key"`
}

// CallCounts counts the calls that a [Platform] has served. A watch counts once,
// however long it waits.
type CallCounts struct {
	Reads   int64 `json:"reads"`
	Writes  int64 `json:"writes"`
	Watches int64 `json:"watches"`
	Lists   int64 `json:"lists"`
}

// Platform is a fake of the platform's key-value service and its list of backend
// servers. It is an http.Handler.
type Platform struct {
	cfg   PlatformConfig
	store *kvStore
	mux   *http.ServeMux

	reads   atomic.Int64
	writes  atomic.Int64
	watches atomic.Int64
	lists   atomic.Int64

	mu       sync.Mutex
	control  PlatformControl
	backends []ledger.Backend
	// visible is the list that calls return. It follows backends after ListLag.
	visible []ledger.Backend
}

var _ http.Handler = (*Platform)(nil)

// NewPlatform returns a platform without keys, leases and backend servers.
func NewPlatform(cfg PlatformConfig) *Platform {
	p := &Platform{cfg: cfg, store: newKVStore(time.Now), mux: http.NewServeMux()}
	p.mux.HandleFunc("GET "+ledger.PathKeys+"{key}", p.get)
	p.mux.HandleFunc("PUT "+ledger.PathKeys+"{key}", p.put)
	p.mux.HandleFunc("DELETE "+ledger.PathKeys+"{key}", p.remove)
	p.mux.HandleFunc("GET "+ledger.PathList, p.list)
	p.mux.HandleFunc("GET "+ledger.PathWatch, p.watch)
	p.mux.HandleFunc("POST "+ledger.PathLeases, p.grantLease)
	p.mux.HandleFunc("POST "+ledger.PathLeases+"/{id}/renew", p.renewLease)
	p.mux.HandleFunc("DELETE "+ledger.PathLeases+"/{id}", p.revokeLease)
	p.mux.HandleFunc("GET "+ledger.PathBackends, p.listBackends)
	return p
}

// SetControl replaces the set of injected faults.
func (p *Platform) SetControl(c PlatformControl) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.control = c
}

// SetBackends replaces the list of backend servers. The new list is visible
// after the configured lag.
func (p *Platform) SetBackends(backends []ledger.Backend) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.backends = append([]ledger.Backend{}, backends...)
	if p.cfg.ListLag == 0 {
		p.visible = p.backends
		return
	}
	time.AfterFunc(p.cfg.ListLag, p.publishBackends)
}

func (p *Platform) publishBackends() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.visible = p.backends
}

// Counts returns the numbers of calls served so far.
func (p *Platform) Counts() CallCounts {
	return CallCounts{
		Reads:   p.reads.Load(),
		Writes:  p.writes.Load(),
		Watches: p.watches.Load(),
		Lists:   p.lists.Load(),
	}
}

// Control paths of a [Platform]. PathControl is one of a [Backend] as well.
const (
	PathControl     = "/control"
	PathCounts      = "/control/counts"
	PathSetBackends = "/control/backends"
)

// ServeHTTP implements http.Handler.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case PathControl:
		var c PlatformControl
		readControl(w, r, &c, func() { p.SetControl(c) })
		return
	case PathSetBackends:
		var backends []ledger.Backend
		readControl(w, r, &backends, func() { p.SetBackends(backends) })
		return
	case PathCounts:
		writeJSON(w, p.Counts())
		return
	}
	p.mu.Lock()
	control := p.control
	p.mu.Unlock()
	if control.Outage {
		http.Error(w, "outage", http.StatusServiceUnavailable)
		return
	}
	if control.DelayMS > 0 {
		time.Sleep(time.Duration(control.DelayMS) * time.Millisecond)
	}
	p.mux.ServeHTTP(w, r)
}

// readControl decodes the request body into into and calls apply.
func readControl(w http.ResponseWriter, r *http.Request, into any, apply func()) {
	if err := json.NewDecoder(r.Body).Decode(into); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	apply()
	w.WriteHeader(http.StatusNoContent)
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}

func keyOf(r *http.Request) string {
	key, err := url.PathUnescape(r.PathValue("key"))
	if err != nil {
		return r.PathValue("key")
	}
	return key
}

func (p *Platform) get(w http.ResponseWriter, r *http.Request) {
	p.reads.Add(1)
	entry, ok := p.store.get(keyOf(r))
	if !ok {
		http.Error(w, "not found", http.StatusNotFound)
		return
	}
	revision := strconv.FormatUint(uint64(entry.Revision), 10)
	w.Header().Set(ledger.HeaderRevision, revision)
	if r.Header.Get(ledger.HeaderIfNoneMatch) == revision {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	_, _ = w.Write(entry.Value)
}

func (p *Platform) put(w http.ResponseWriter, r *http.Request) {
	p.writes.Add(1)
	value, err := io.ReadAll(io.LimitReader(r.Body, ledger.MaxValueBytes+1))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if len(value) > ledger.MaxValueBytes {
		http.Error(w, "value is too large", http.StatusRequestEntityTooLarge)
		return
	}
	revision, result := p.store.swap(ledger.Swap{
		Key:      keyOf(r),
		Revision: numberParam(r, ledger.ParamRevision),
		Value:    value,
		Lease:    ledger.LeaseID(r.URL.Query().Get(ledger.ParamLease)),
	})
	if p.loseResponse(keyOf(r)) {
		panic(http.ErrAbortHandler)
	}
	writeSwap(w, revision, result)
}

// loseResponse reports whether to drop the response to a write of key, and counts
// it against LoseResponses.
func (p *Platform) loseResponse(key string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.control.LoseResponses <= 0 || !strings.HasPrefix(key, p.control.LoseKeyPrefix) {
		return false
	}
	p.control.LoseResponses--
	return true
}

func writeSwap(w http.ResponseWriter, revision ledger.Revision, result swapResult) {
	switch result {
	case swapDone:
		writeJSON(w, ledger.WireRevision{Revision: revision})
	case swapConflict:
		http.Error(w, "conflict", http.StatusConflict)
	case swapNoLease:
		http.Error(w, "no such lease", http.StatusNotFound)
	}
}

func (p *Platform) remove(w http.ResponseWriter, r *http.Request) {
	p.writes.Add(1)
	result := p.store.remove(keyOf(r), numberParam(r, ledger.ParamRevision))
	writeSwap(w, 0, result)
}

func numberParam(r *http.Request, name string) ledger.Revision {
	n, err := strconv.ParseUint(r.URL.Query().Get(name), 10, 64)
	if err != nil {
		return 0
	}
	return ledger.Revision(n)
}

func (p *Platform) list(w http.ResponseWriter, r *http.Request) {
	p.reads.Add(1)
	writeEntries(w, p.store.list(r.URL.Query().Get(ledger.ParamPrefix), 0))
}

func writeEntries(w http.ResponseWriter, entries []ledger.Entry) {
	wire := make([]ledger.WireEntry, 0, len(entries))
	for _, entry := range entries {
		wire = append(wire, ledger.WireEntry(entry))
	}
	writeJSON(w, wire)
}

func (p *Platform) watch(w http.ResponseWriter, r *http.Request) {
	p.watches.Add(1)
	prefix := r.URL.Query().Get(ledger.ParamPrefix)
	after := numberParam(r, ledger.ParamAfter)
	wait := time.Duration(numberParam(r, ledger.ParamWait)) * time.Millisecond
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		changed := p.store.nextChange()
		entries := p.store.list(prefix, after)
		if len(entries) > 0 {
			writeEntries(w, entries)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			writeEntries(w, nil)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (p *Platform) grantLease(w http.ResponseWriter, r *http.Request) {
	p.writes.Add(1)
	var lease ledger.WireLease
	if err := json.NewDecoder(r.Body).Decode(&lease); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	lease.ID = p.store.grantLease(time.Duration(lease.TTLMillis) * time.Millisecond)
	writeJSON(w, lease)
}

func (p *Platform) renewLease(w http.ResponseWriter, r *http.Request) {
	p.writes.Add(1)
	writeFound(w, p.store.renewLease(ledger.LeaseID(r.PathValue("id"))))
}

func (p *Platform) revokeLease(w http.ResponseWriter, r *http.Request) {
	p.writes.Add(1)
	writeFound(w, p.store.revokeLease(ledger.LeaseID(r.PathValue("id"))))
}

func writeFound(w http.ResponseWriter, found bool) {
	if !found {
		http.Error(w, "no such lease", http.StatusNotFound)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (p *Platform) listBackends(w http.ResponseWriter, _ *http.Request) {
	p.lists.Add(1)
	p.mu.Lock()
	defer p.mu.Unlock()
	writeJSON(w, p.visible)
}
