package jetty

import (
	"net/http"
	"time"

	"hornbeamwinch.example/fairway"
	"hornbeamwinch.example/ledger"
	"hornbeamwinch.example/mooring"
	"hornbeamwinch.example/sluice"
)

// Headers has the names of the headers that an entry host reads or sets.
type Headers struct {
	// RequestID is chosen by the caller and echoed by backend servers.
	RequestID string
	// TimeLeft is the sender's remaining timeout in milliseconds.
	TimeLeft string
	// ExpectedInstance names the only backend server that may run the request.
	ExpectedInstance string
	// Instance names the backend server that sent the response.
	Instance string
	// Key has the key of a request to a divided service.
	Key string
	// Signature is on every response that a backend server generated.
	Signature string
	// NotRun is on responses to requests that did not run.
	NotRun string
}

// Record is a decoded entry of the store, written by the platform or its
// operator. The set of records is closed: [ConfigRecord], [ServerRecord],
// [EvacuationRecord] and [UnreadableRecord].
type Record interface{ record() }

// ConfigRecord is a version of the configuration.
type ConfigRecord struct {
	Config *fairway.Config
}

// ServerRecord is the registration of a backend server. If Err is set, the
// registration was removed or cannot be decoded, and Endpoint must not be used.
type ServerRecord struct {
	ID       fairway.ServerID
	Endpoint fairway.Endpoint
	Err      error
}

// EvacuationRecord says that a failure domain is evacuated, or no longer is.
type EvacuationRecord struct {
	Domain fairway.Domain
	Ended  bool
}

// UnreadableRecord is any other entry that cannot be decoded.
type UnreadableRecord struct {
	Key string
	Err error
}

func (ConfigRecord) record()     {}
func (ServerRecord) record()     {}
func (EvacuationRecord) record() {}
func (UnreadableRecord) record() {}

// Protocol converts between this package and the formats of a platform: its
// store entries, its headers, and the orders to its backend servers.
type Protocol interface {
	Headers() Headers
	// ReadyPath is the path of the load balancer's health check.
	ReadyPath() string
	// Decode returns the record of an entry, or nil for an entry that entry
	// hosts wrote.
	Decode(e ledger.Entry, seenAt time.Time) Record
	// DecodeRemoval returns the record for the removal of a key, or nil.
	DecodeRemoval(key string) Record
	// EncodeOrder returns the path and the JSON body of an order, which is sent
	// by POST.
	EncodeOrder(o mooring.Order) (path string, body []byte, err error)
	// DecodeLimit returns the limit that a response of a backend server names. It
	// returns false if the response says nothing that can be read about that.
	DecodeLimit(header http.Header) (limit ServerLimit, ok bool)
	// DecodeNotices returns what a response of a server instance, received at an instant,
	// tells besides the answer.
	DecodeNotices(from sluice.ServerInstance, status int, header http.Header, receivedAt mooring.Instant) []Notice
	// DecodeOrderResponse decodes the response to an order.
	DecodeOrderResponse(status int, header http.Header) (result mooring.Result, handover string)
}
