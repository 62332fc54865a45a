package jetty

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"google.golang.org/grpc"

	"hornbeamwinch.example/fairway"
	"hornbeamwinch.example/mooring"
	"hornbeamwinch.example/signal"
	"hornbeamwinch.example/sluice"
)

// benchForwarder returns a forwarder of a host that knows one server, which owns all keys.
func benchForwarder(b *testing.B, endpoint fairway.Endpoint) *forwarder {
	b.Helper()
	service := &fairway.Service{Name: "readings", Divided: true, MaxConnections: 100}
	config, err := fairway.NewConfig(1, fairway.Limits{}, nil, []*fairway.Service{service})
	if err != nil {
		b.Fatal(err)
	}
	f := &forwarder{
		headers: fakeProtocol{}.Headers(), upstream: newUpstream(requestConnections, nil), drain: newDrain(), logs: quietLogs(), metrics: newMetrics(),
		clusterState: newClusterState(fairway.NewActiveConfig()), reach: alwaysReaching{},
		admissions: newAdmissionSet(admissionSetConfig{Host: "host-0", Budget: sluice.RetryBudgetConfig{Window: 10 * time.Second}}),
	}
	f.clusterState.activeConfig.SetIfNewer(config)
	f.clusterState.servers.Store(f.clusterState.catalog().Apply([]fairway.Endpoint{endpoint}, nil))
	f.admissions.ownersOf("readings").update(monotonicNow(), &mooring.Table{Service: "readings", NextToken: 2, Assignments: []mooring.Assignment{{
		KeyRange: mooring.KeyRange{From: 0, To: mooring.MaxKey}, Token: 1,
		Owner: mooring.ServerInstance{Server: endpoint.ID, Incarnation: endpoint.Incarnation, Address: endpoint.Address},
	}}}, 1)
	return f
}

// BenchmarkHop compares requests that a host sends itself with those that a carrier sends.
func BenchmarkHop(b *testing.B) {
	body := strings.Repeat("x", 5000)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Id", r.Header.Get("Id"))
		w.Header().Set("Signed", "y")
		_, _ = w.Write([]byte(body))
	}))
	defer server.Close()
	endpoint := fairway.Endpoint{ID: "s", Service: "readings", Address: strings.TrimPrefix(server.URL, "http://"), Incarnation: 1, Slots: 6}
	carrier := benchForwarder(b, endpoint)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	peers := grpc.NewServer(append((&recoverer{}).options(), grpc.ReadBufferSize(relayBufferBytes), grpc.InitialWindowSize(peerWindowBytes), grpc.InitialConnWindowSize(peerWindowBytes))...)
	signal.RegisterRelayServer(peers, &relayServer{forwarder: carrier, stopping: func() bool { return false }})
	go func() { _ = peers.Serve(listener) }()
	defer peers.Stop()
	carried := benchForwarder(b, endpoint)
	conns := newPeerConns()
	defer conns.close()
	carried.relay = &relayClient{host: "host-0", headers: carried.headers, conns: conns, reach: carried.reach}
	carried.carriers = newCarriers("host-0")
	carried.carriers.set(newCarrierTable(&signal.Carriers{Services: []string{"readings"}, Senders: 1, Carriers: []*signal.Carrier{
		{Host: "carrier", Address: listener.Addr().String(), Capacity: 1},
	}}, 1))
	for name, f := range map[string]*forwarder{"direct": benchForwarder(b, endpoint), "carried": carried} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			key := mooring.Key(7)
			for n := 0; b.Loop(); n++ {
				id := fmt.Sprint("r", n)
				now := time.Now()
				r := &request{
					id: id, route: &fairway.Route{Name: "list", Repeat: fairway.RepeatAllowed, MaxAttempts: 2, Objective: time.Second},
					service: f.clusterState.activeConfig.Current().Services["readings"], config: f.clusterState.activeConfig.Current(), key: &key,
					arrived: now, deadline: now.Add(2 * time.Second),
					outgoingRequest: outgoingRequest{Method: http.MethodGet, Target: "/x", Host: "h", Header: http.Header{"Id": {id}}},
				}
				if res, ok := f.forward(context.Background(), r).(backendResponse); !ok || len(res.body) != len(body) {
					b.Fatalf("result %#v", res)
				}
			}
		})
	}
}
