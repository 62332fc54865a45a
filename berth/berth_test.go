package berth_test

import (
	"flag"
	"strconv"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"hornbeamwinch.example/berth"
)

func TestBerth(t *testing.T) {
	if err := flag.Set("rapid.seed", "20261203"); err != nil {
		t.Fatal(err)
	}
	RegisterFailHandler(Fail)
	RunSpecs(t, "Berth Suite")
}

// drawTable draws a table with consistent references.
func drawTable(t *rapid.T) *berth.Table {
	number := rapid.Uint64Range(1, 1<<40)
	table := &berth.Table{
		Domain: "d", Epoch: berth.Epoch(number.Draw(t, "epoch")), Version: berth.Version(number.Draw(t, "version")),
		PlacerHost: "h0", PlacerAddress: "h0:1", Nonce: number.Draw(t, "nonce"), Sequence: berth.Sequence(number.Draw(t, "sequence")),
		Rules: berth.RulesState{Closing: 3, Closed: 2, Opened: 1},
	}
	for i := range rapid.IntRange(1, 9).Draw(t, "hosts") {
		table.Hosts = append(table.Hosts, berth.Host{
			ID: berth.HostID("h" + strconv.Itoa(i)), Address: "10.0.0.1:1", Incarnation: berth.Incarnation(number.Draw(t, "run")),
			State: rapid.SampledFrom([]berth.HostState{berth.HostJoining, berth.HostActive, berth.HostLeaving}).Draw(t, "state"),
		})
	}
	var servers []berth.ServerID
	for i := range rapid.IntRange(1, 5).Draw(t, "servers") {
		id := berth.ServerID("s" + strconv.Itoa(i))
		servers = append(servers, id)
		table.Servers = append(table.Servers, berth.Server{
			ID: id, Address: "10.0.0.2:1", Service: "v", State: berth.ServerLive, ChecksGrants: i%2 == 0,
			Slots: uint32(rapid.IntRange(0, 20).Draw(t, "slots")), Connections: uint32(rapid.IntRange(0, 200).Draw(t, "connections")),
		})
	}
	service := berth.ServiceShards{Service: "v", HashShards: uint32(rapid.IntRange(1, 20).Draw(t, "shards"))}
	owner := rapid.SampledFrom(append([]berth.ServerID{""}, servers...))
	for range service.HashShards + 1 {
		service.Shards = append(service.Shards, berth.Shard{
			Owner: owner.Draw(t, "owner"), NextOwner: owner.Draw(t, "next"),
			Token: berth.Token{Epoch: berth.Epoch(number.Draw(t, "e")), Sequence: berth.Sequence(number.Draw(t, "s"))},
		})
	}
	service.HotKeys = []berth.HotKey{{Key: "hot", Shard: berth.ShardID(service.HashShards)}}
	table.Services = []berth.ServiceShards{service}
	return table
}

var _ = Describe("A table", func() {
	It("is the same after it was stored and read", func() {
		rapid.Check(GinkgoTB(), func(t *rapid.T) {
			table := drawTable(t)
			value, err := berth.EncodeTable(table)
			if err != nil {
				t.Fatal(err)
			}
			decoded, err := berth.DecodeTable(value)
			if err != nil {
				t.Fatal(err)
			}
			NewWithT(t).Expect(decoded).To(Equal(table))
		})
	})

	It("divides each server's limits completely and exceeds none of them", func() {
		rapid.Check(GinkgoTB(), func(t *rapid.T) {
			table := drawTable(t)
			size := rapid.IntRange(0, 10).Draw(t, "front set")
			for _, server := range table.Servers {
				var slots, connections uint32
				for _, host := range table.Hosts {
					share := table.ShareOf(host.ID, server, size)
					slots += share.Slots
					connections += share.Connections
				}
				if slots != server.Slots || connections != server.Connections {
					t.Fatalf("shares add up to %d of %d slots and %d of %d connections",
						slots, server.Slots, connections, server.Connections)
				}
			}
		})
	})

	It("gives a hot key its own shard", func() {
		shards := berth.ServiceShards{HashShards: 4, HotKeys: []berth.HotKey{{Key: "hot", Shard: 4}}}
		Expect(shards.ShardOf("hot")).To(Equal(berth.ShardID(4)))
		Expect(shards.ShardOf("cold")).To(BeNumerically("<", 4))
	})

	It("is rejected when its stored form cannot be decoded", func() {
		_, err := berth.DecodeTable([]byte("not a table"))
		Expect(err).To(HaveOccurred())
	})
})

var _ = Describe("A token", func() {
	It("is ordered by epoch, then sequence, and can be parsed from its string form", func() {
		low, high := berth.Token{Epoch: 2, Sequence: 9}, berth.Token{Epoch: 3, Sequence: 1}
		Expect(low.Less(high)).To(BeTrue())
		Expect(high.Less(low)).To(BeFalse())
		Expect(berth.ParseToken(high.String())).To(Equal(high))
		for _, text := range []string{"", "3", "a.1", "1.b", "-1.2"} {
			_, err := berth.ParseToken(text)
			Expect(err).To(HaveOccurred(), text)
		}
	})
})

func FuzzDecode(f *testing.F) {
	value, err := berth.EncodeTable(&berth.Table{Domain: "d", Services: []berth.ServiceShards{{
		Service: "v", HashShards: 1, Shards: []berth.Shard{{Token: berth.Token{Epoch: 1, Sequence: 1}}},
	}}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(value)
	f.Fuzz(func(t *testing.T, value []byte) {
		table, err := berth.DecodeTable(value)
		if err != nil {
			return
		}
		if _, err := berth.EncodeTable(table); err != nil {
			t.Fatalf("encode a decoded table: %v", err)
		}
	})
}
