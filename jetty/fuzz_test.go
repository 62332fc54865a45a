package jetty

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"hornbeamwinch.example/fairway"
	"hornbeamwinch.example/ledger"
	"hornbeamwinch.example/mooring"
	"hornbeamwinch.example/signal"
	"hornbeamwinch.example/sluice"
)

// marshaled returns messages in their form on the wire, as seeds.
func marshaled(f *testing.F, messages ...proto.Message) {
	f.Helper()
	for _, m := range messages {
		data, err := proto.Marshal(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
}

// FuzzLoadReport has the placer handle any report of a host, and the host any reply.
func FuzzLoadReport(f *testing.F) {
	marshaled(f,
		&signal.LoadReport{Host: "a", Domain: "x", Address: "a:1", Direct: true, RelaysFeed: true, CarryingCapacity: 16, IntervalMillis: 500},
		&signal.LoadReport{
			Host: "b", Domain: "x", CarryingCapacity: 1 << 31, StoreAgeMillis: 1 << 31, KnowledgeAgeMillis: 1 << 31, IntervalMillis: 1 << 31, Leaving: true,
			Services: []*signal.KeyCounts{{Service: "readings", Keys: []uint32{1, 65535, 1 << 20}, Counts: []uint32{1 << 31}}},
			Servers:  []*signal.ServerPace{{Server: "s", Answers: 1 << 31, Slowness: -1, Requests: 1 << 31, Pressed: 1 << 31}}, Failing: []string{"s", ""},
		},
	)
	f.Fuzz(func(t *testing.T, data []byte) {
		var r signal.LoadReport
		if proto.Unmarshal(data, &r) != nil {
			return
		}
		l := newLoadCollector()
		l.isPlacer = func() bool { return true }
		l.continueCarriers(map[fairway.ServiceName]bool{"readings": true})
		l.continueCoordinators(3)
		for range 2 {
			if _, err := l.Report(t.Context(), &r); err != nil {
				t.Fatal(err)
			}
		}
		l.decideCarriers(map[fairway.ServiceName]serviceLoad{"readings": {requests: 1, servers: 1}}, time.Second)
	})
}

// FuzzLoadReply has a host apply any reply of a placer.
func FuzzLoadReply(f *testing.F) {
	marshaled(f,
		&signal.LoadReply{Placer: true, Hosts: 3, Reaching: 3, Feeder: "a:1", FallbackFeeders: []string{"", "b:1"}, Feeds: true, CarriersVersion: 7},
		&signal.LoadReply{Placer: true, Hosts: 1 << 31, Reaching: 1 << 31, Granted: []*signal.GrantedRange{{Service: "readings", FirstKey: 9, LastKey: 1 << 30}}},
		&signal.LoadReply{CarriersVersion: 1, Carriers: &signal.Carriers{Services: []string{"readings"}, Senders: 1 << 31, Carriers: []*signal.Carrier{{Host: "h", Capacity: 1 << 31}, {}}}},
	)
	f.Fuzz(func(_ *testing.T, data []byte) {
		var reply signal.LoadReply
		if proto.Unmarshal(data, &reply) != nil {
			return
		}
		table := newCarrierTable(reply.Carriers, reply.CarriersVersion)
		c := newCarriers("h")
		c.set(table)
		c.peersFor("readings", "s")
		coordinators := newCoordinators("h", quietLogs())
		coordinators.set(newCoordinatorTable(reply.Coordinators, reply.CoordinatorsVersion))
		coordinators.of(&fairway.Service{Name: "readings"}, "s", fairway.NewCatalog(nil))
		table.sharing("readings", 12)
		s := newFeedSources("h:1", noDelay)
		s.setPlan(decodeFeedPlan(&reply), int(reply.Hosts))
		s.next(at)
		s.storeFailed(at)
		s.next(at)
		owners := &ownerTable{}
		for _, granted := range decodeGranted(reply.Granted) {
			owners.addGranted(granted)
		}
	})
}

// FuzzChanges has a host read any changes that a feeder sends.
func FuzzChanges(f *testing.F) {
	marshaled(f,
		&signal.ChangesReply{Direct: true, Revision: 9, Changes: []*signal.StoreChange{{Key: "server/a", Revision: 8, Value: []byte("x")}}},
		&signal.ChangesReply{Direct: true, Revision: 1 << 63, Era: 1 << 31, Hops: 1 << 31, AgeMillis: 1 << 31, Snapshot: true, Changes: []*signal.StoreChange{{Compressed: true, Value: []byte{0x1f, 0x8b}}}},
	)
	f.Fuzz(func(_ *testing.T, data []byte) {
		var reply signal.ChangesReply
		if proto.Unmarshal(data, &reply) != nil {
			return
		}
		update, err := decodeChanges(&reply, ledger.Revision(1))
		if err != nil {
			return
		}
		w := &watcher{
			store: newFakeStore(), protocol: fakeProtocol{}, clusterState: newClusterState(fairway.NewActiveConfig()), admissions: newAdmissionSet(admissionSetConfig{}),
			logs: quietLogs(), changeLog: newChangeLog(), memory: &memory{}, onChange: func() {}, missing: make(map[fairway.ServerID]bool), sources: newFeedSources("own", noDelay),
		}
		w.applyUpdate(update)
	})
}

// FuzzRelayOffer has a host take any offer of another one.
func FuzzRelayOffer(f *testing.F) {
	key := uint32(1 << 20)
	marshaled(f,
		&signal.RelayOffer{RequestId: "r", Service: "readings", Method: "GET", Target: "/x", LeftMicros: 1000},
		&signal.RelayOffer{Service: "readings", Key: &key, LeftMicros: 1 << 63, SoftLeftMicros: -1 << 63, ObjectiveMicros: 1 << 63, BodyBytes: 1 << 63, Priority: -1 << 31, Carried: true, Headers: []*signal.RelayHeader{{}}},
	)
	config, err := fairway.NewConfig(1, fairway.Limits{}, nil, []*fairway.Service{{Name: "readings", Divided: true}, {Name: "invoices"}})
	if err != nil {
		f.Fatal(err)
	}
	active := fairway.NewActiveConfig()
	active.SetIfNewer(config)
	s := &relayServer{forwarder: &forwarder{clusterState: newClusterState(active)}}
	f.Fuzz(func(_ *testing.T, data []byte) {
		var offer signal.RelayOffer
		if proto.Unmarshal(data, &offer) != nil {
			return
		}
		if r, ok := s.request(&offer); ok {
			r.repeatable()
			r.outgoingRequest.head()
		}
	})
}

// FuzzPermitRequest has a coordinator decide on any request of another host.
func FuzzPermitRequest(f *testing.F) {
	marshaled(f,
		&signal.PermitRequest{Session: 1, Id: 2, Service: "readings", LeftMicros: 1 << 63, SoftLeftMicros: -1 << 63, ObjectiveMicros: 1 << 63, ResponseBytes: -1, Excluded: []string{"s"}},
		&signal.PermitRequest{Priority: -1 << 31, Released: []*signal.ReleasedPermit{{Id: 1 << 63, TookMicros: 1 << 63, Outcome: 99}}},
	)
	f.Fuzz(func(_ *testing.T, data []byte) {
		var m signal.PermitRequest
		if proto.Unmarshal(data, &m) != nil {
			return
		}
		m.Key = nil
		c := sluice.NewController(sluice.ControllerConfig{Service: "readings", Coordinated: true})
		now := mooring.Instant(time.Hour)
		c.SetServers(now, []fairway.Endpoint{{ID: "t", Service: "readings", Incarnation: 1}}, 1)
		req := decodePermitRequest(&m, now)
		encodeDecision(c.Admit(now, req))
		for _, r := range m.GetReleased() {
			c.Settle(now, req.ID, decodeOutcome(r.GetOutcome()), decodeMicros(r.GetTookMicros()))
		}
		c.Reevaluate(now.Add(time.Hour))
	})
}
