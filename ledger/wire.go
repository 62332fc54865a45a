package ledger

// Paths, parameters and headers of the HTTP protocol. Values are sent as raw bytes
// and lists as JSON; see docs/PROTOCOLS.md.
const (
	PathKeys     = "/v1/kv/"
	PathList     = "/v1/list"
	PathWatch    = "/v1/watch"
	PathLeases   = "/v1/leases"
	PathBackends = "/v1/backends"

	ParamRevision = "revision"
	ParamLease    = "lease"
	ParamPrefix   = "prefix"
	ParamAfter    = "after"
	ParamWait     = "wait_ms"

	HeaderRevision    = "X-Revision"
	HeaderIfNoneMatch = "If-None-Match"
)

// WireEntry is the JSON form of an [Entry].
type WireEntry struct {
	Key      string   `json:"key"`
	Value    []byte   `json:"value"`
	Revision Revision `json:"revision"`
}

// WireLease is the JSON form of a lease.
type WireLease struct {
	ID        LeaseID `json:"id"`
	TTLMillis int64   `json:"ttl_ms"`
}

// WireRevision is the JSON response to a write.
type WireRevision struct {
	Revision Revision `json:"revision"`
}
