package jetty

import (
	"context"
	"net"
	"testing"
	"time"

	"google.golang.org/grpc"

	"hornbeamwinch.example/fairway"
	"hornbeamwinch.example/mooring"
	"hornbeamwinch.example/signal"
	"hornbeamwinch.example/sluice"
)

// BenchmarkPermit compares the admission of a request by its host with that by a coordinator
// over a loopback connection. It has the processor time of both hosts.
func BenchmarkPermit(b *testing.B) {
	service := &fairway.Service{Name: "readings", Divided: true}
	endpoint := fairway.Endpoint{ID: "s", Service: "readings", Address: "127.0.0.1:1", Incarnation: 1, Slots: 6}
	config, err := fairway.NewConfig(1, fairway.Limits{}, []*fairway.Route{
		{Name: "urgent", Destinations: []fairway.Destination{{Service: "readings", Weight: 1}}},
		{Name: "list", Priority: 2, Destinations: []fairway.Destination{{Service: "readings", Weight: 1}}},
	}, []*fairway.Service{service})
	if err != nil {
		b.Fatal(err)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	told := []*signal.Carrier{{Host: "host-0", Address: listener.Addr().String(), Capacity: 16}}
	host := func(name HostID) (*forwarder, *coordinatedAdmission) {
		f := benchForwarder(b, endpoint)
		f.clusterState.activeConfig = fairway.NewActiveConfig()
		f.clusterState.activeConfig.SetIfNewer(config)
		f.clusterState.setHostCounts(2, 2)
		conns := newPeerConns()
		b.Cleanup(conns.close)
		c := newCoordinatedAdmission(coordinatedConfig{
			Host: name, ClusterState: f.clusterState, Carriers: newCarriers(name), Admissions: f.admissions, Conns: conns,
			Logs: quietLogs(), Metrics: f.metrics, Stopping: func() bool { return false },
		})
		c.coordinators.set(newCoordinatorTable(told, 7))
		return f, c
	}
	_, coordinator := host("host-0")
	f, asking := host("host-1")
	peers := grpc.NewServer(append((&recoverer{}).options(), grpc.ReadBufferSize(relayBufferBytes))...)
	signal.RegisterPermitsServer(peers, coordinator.server)
	go func() { _ = peers.Serve(listener) }()
	b.Cleanup(peers.Stop)
	ctx, cancel := context.WithCancel(context.Background())
	b.Cleanup(cancel)
	go asking.permits.run(ctx)
	for _, by := range []string{"host", "coordinator"} {
		b.Run(by, func(b *testing.B) {
			if by == "coordinator" {
				f.permits = asking.permits
			}
			adm := f.admissions.get(service, f.clusterState.catalog())
			key := mooring.Key(7)
			b.ReportAllocs()
			for b.Loop() {
				now := time.Now()
				r := &request{route: &fairway.Route{Name: "list", Objective: time.Second}, service: service, key: &key, arrived: now, deadline: now.Add(2 * time.Second)}
				req := &sluice.Request{Key: r.key, Objective: time.Second, SoftDeadline: instantOf(now.Add(time.Second)), Deadline: instantOf(r.deadline)}
				decision, permit := f.admit(ctx, adm, r, req)
				if _, ok := decision.(sluice.Dispatch); !ok || (permit == nil) != (by == "host") {
					b.Fatalf("decision %#v, permit %v", decision, permit)
				}
				adm.finish(sluice.ServerInstanceOf(endpoint), "", sluice.OutcomeAnswered, time.Millisecond, time.Second)
				permit.release(sluice.OutcomeAnswered, time.Millisecond)
			}
		})
	}
}
