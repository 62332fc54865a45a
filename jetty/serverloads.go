package jetty

import (
	"net/http"

	"hornbeamwinch.example/fairway"
	"hornbeamwinch.example/mooring"
	"hornbeamwinch.example/sluice"
)

// serverLoads passes the loads that servers tell in their responses on to the admissions.
// The zero pointer ignores them.
type serverLoads struct {
	protocol     Protocol
	admissions   *admissionSet
	clusterState *clusterState
}

// observe passes on the load in a server's response to a request, received at an instant.
// Another server at the address may have written a 421, or a response to another request.
func (l *serverLoads) observe(s fairway.Endpoint, r *request, resp *http.Response, receivedAt mooring.Instant) {
	if l == nil {
		return
	}
	h := l.protocol.Headers()
	if resp.Header.Get(h.RequestID) != r.id && resp.Header.Get(h.NotRun) == "" {
		return
	}
	l.record(r, sluice.ServerInstanceOf(s), resp.StatusCode, resp.Header, receivedAt)
}

// observeRelayed passes on the load in a response that a peer has received. A peer of an
// earlier build does not state the incarnation, which is taken to be the listed one.
func (l *serverLoads) observeRelayed(r *request, server sluice.ServerInstance, status int, header http.Header, receivedAt mooring.Instant) {
	if l == nil {
		return
	}
	if server.Incarnation == 0 {
		e, _ := l.clusterState.catalog().Get(server.Server)
		server.Incarnation = e.Incarnation
	}
	l.record(r, server, status, header, receivedAt)
}

func (l *serverLoads) record(r *request, server sluice.ServerInstance, status int, header http.Header, receivedAt mooring.Instant) {
	if status == http.StatusMisdirectedRequest {
		return
	}
	if load, ok := l.protocol.DecodeLoad(header); ok {
		l.admissions.get(r.service, l.clusterState.catalog()).setLoad(receivedAt, server, load)
	}
}
