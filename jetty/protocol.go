package jetty

import (
	"net/http"
	"time"

	"hornbeamwinch.example/fairway"
	"hornbeamwinch.example/ledger"
	"hornbeamwinch.example/mooring"
)

// Headers names the headers that an entry host reads or sets.
type Headers struct {
	// RequestID is chosen by the caller and echoed by backend servers.
	RequestID string
	// TimeLeft says in milliseconds how long the sender waits.
	TimeLeft string
	// ExpectedInstance names the backend server that may run the request.
	ExpectedInstance string
	// Instance names the backend server that answers.
	Instance string
	// Key holds the key of a request to a divided service.
	Key string
	// Signature comes with every answer that a backend server made.
	Signature string
	// NotRun comes with answers to requests that did not run.
	NotRun string
}

// Record is a decoded entry of the store that the platform or its operator
// wrote.
type Record interface{ record() }

// ConfigRecord is a version of the configuration.
type ConfigRecord struct {
	Config *fairway.Config
}

// ServerRecord is the entry of a backend server. If Err is set, the entry is
// gone or cannot be read and names no server to use.
type ServerRecord struct {
	ID       fairway.ServerID
	Endpoint fairway.Endpoint
	Err      error
}

// UnreadableRecord is any other entry that cannot be decoded.
type UnreadableRecord struct {
	Key string
	Err error
}

func (ConfigRecord) record()     {}
func (ServerRecord) record()     {}
func (UnreadableRecord) record() {}

// Protocol translates what the platform, callers and backend servers say.
type Protocol interface {
	Headers() Headers
	// ReadyPath is the path of the balancer's probe.
	ReadyPath() string
	// Decode returns the record that an entry holds, or nil for one of our
	// own.
	Decode(e ledger.Entry, seenAt time.Time) Record
	// DecodeRemoval returns what the removal of a key means, or nil.
	DecodeRemoval(key string) Record
	// EncodeOrder returns the path and the body of an order, which is sent by
	// POST as JSON.
	EncodeOrder(o mooring.Order) (path string, body []byte, err error)
	// DecodeOrderResponse decodes the answer to an order.
	DecodeOrderResponse(status int, header http.Header) (result mooring.Result, handover string)
}
