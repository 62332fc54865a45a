package jetty

import (
	"crypto/sha256"
	"encoding/binary"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"hornbeamwinch.example/sluice"
)

// callerHeaders identify the caller of a request, besides its address.
var callerHeaders = []string{"Authorization", "Cookie"}

// targetOf returns the part of a request's digest that is computed for each request while
// any is suspected.
func targetOf(m *outgoingRequest) uint64 {
	var d xxhash.Digest
	d.Reset()
	// Writes to a digest cannot fail.
	_, _ = d.WriteString(m.Host)
	_, _ = d.WriteString("\n")
	_, _ = d.WriteString(m.Target)
	return d.Sum64()
}

// digestOf returns the digest of a request: of all that callers repeat when they send it
// again, without its id and deadline.
func digestOf(r *request) sluice.RequestDigest {
	m := &r.outgoingRequest
	h := sha256.New()
	write := func(part []byte) {
		// Lengths keep parts apart. Writes to a hash cannot fail.
		_, _ = h.Write(binary.LittleEndian.AppendUint64(nil, uint64(len(part))))
		_, _ = h.Write(part)
	}
	for _, part := range []string{m.Method, m.Host, m.Target} {
		write([]byte(part))
	}
	write(m.Body)
	d := sluice.RequestDigest{Target: targetOf(m)}
	copy(d.Content[:], h.Sum(nil))
	write([]byte(r.callerHost))
	if r.key != nil {
		write([]byte(strconv.Itoa(int(*r.key))))
	}
	for _, name := range callerHeaders {
		for _, value := range m.Header.Values(name) {
			write([]byte(name + ": " + value))
		}
	}
	copy(d.ByCaller[:], h.Sum(nil))
	return d
}
