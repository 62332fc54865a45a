package berth

import (
	"errors"
	"fmt"

	"google.golang.org/protobuf/proto"

	"hornbeamwinch.example/signal"
)

// MaxTableBytes is the maximum size of a stored table. It is the size of the
// largest value that the platform's store accepts.
const MaxTableBytes = 1 << 20

var errOwnerIndex = errors.New("shard refers to a server that is not in the table")

// EncodeTable returns the stored form of t.
func EncodeTable(t *Table) ([]byte, error) {
	record := &signal.TableRecord{
		Domain:        string(t.Domain),
		Epoch:         uint64(t.Epoch),
		Version:       uint64(t.Version),
		Holder:        string(t.PlacerHost),
		HolderAddress: t.PlacerAddress,
		Nonce:         t.Nonce,
		Sequence:      uint64(t.Sequence),
		RulesClosing:  uint64(t.Rules.Closing),
		RulesClosed:   uint64(t.Rules.Closed),
		RulesOpened:   uint64(t.Rules.Opened),
		Hosts:         EncodeHosts(t.Hosts),
	}
	index := make(map[ServerID]uint32, len(t.Servers))
	for i, s := range t.Servers {
		index[s.ID] = uint32(i + 1)
		record.Servers = append(record.Servers, encodeServer(s))
	}
	for i := range t.Services {
		record.Services = append(record.Services, encodeShards(&t.Services[i], index))
	}
	value, err := proto.MarshalOptions{Deterministic: true}.Marshal(record)
	if err != nil {
		return nil, newError("encode table", KindInvalid, err)
	}
	if len(value) > MaxTableBytes {
		err := fmt.Errorf("table has %d bytes, which exceeds the limit of %d bytes", len(value), MaxTableBytes)
		return nil, newError("encode table", KindTooLarge, err)
	}
	return value, nil
}

// DecodeTable decodes the stored form written by [EncodeTable].
func DecodeTable(value []byte) (*Table, error) {
	var record signal.TableRecord
	if err := proto.Unmarshal(value, &record); err != nil {
		return nil, newError("decode table", KindInvalid, err)
	}
	t := &Table{
		Domain:        DomainID(record.GetDomain()),
		Epoch:         Epoch(record.GetEpoch()),
		Version:       Version(record.GetVersion()),
		PlacerHost:    HostID(record.GetHolder()),
		PlacerAddress: record.GetHolderAddress(),
		Nonce:         record.GetNonce(),
		Sequence:      Sequence(record.GetSequence()),
		Rules: RulesState{
			Closing: RulesRevision(record.GetRulesClosing()),
			Closed:  RulesRevision(record.GetRulesClosed()),
			Opened:  RulesRevision(record.GetRulesOpened()),
		},
		Hosts: DecodeHosts(record.GetHosts()),
	}
	for _, s := range record.GetServers() {
		t.Servers = append(t.Servers, decodeServer(s))
	}
	for _, s := range record.GetServices() {
		shards, err := decodeShards(s, t.Servers)
		if err != nil {
			return nil, err
		}
		t.Services = append(t.Services, shards)
	}
	return t, nil
}

// EncodeHosts returns the wire form of hosts.
func EncodeHosts(hosts []Host) []*signal.HostRecord {
	records := make([]*signal.HostRecord, 0, len(hosts))
	for _, h := range hosts {
		records = append(records, &signal.HostRecord{
			Id:          string(h.ID),
			Address:     h.Address,
			Incarnation: uint64(h.Incarnation),
			State:       uint32(h.State),
		})
	}
	return records
}

// DecodeHosts decodes the wire form written by [EncodeHosts].
func DecodeHosts(records []*signal.HostRecord) []Host {
	var hosts []Host
	for _, r := range records {
		hosts = append(hosts, Host{
			ID:          HostID(r.GetId()),
			Address:     r.GetAddress(),
			Incarnation: Incarnation(r.GetIncarnation()),
			State:       HostState(r.GetState()),
		})
	}
	return hosts
}

func encodeServer(s Server) *signal.ServerRecord {
	return &signal.ServerRecord{
		Id:           string(s.ID),
		Address:      s.Address,
		Service:      string(s.Service),
		State:        uint32(s.State),
		ChecksGrants: s.ChecksGrants,
		Slots:        s.Slots,
		Connections:  s.Connections,
	}
}

func decodeServer(r *signal.ServerRecord) Server {
	return Server{
		ID:           ServerID(r.GetId()),
		Address:      r.GetAddress(),
		Service:      ServiceID(r.GetService()),
		State:        ServerState(r.GetState()),
		ChecksGrants: r.GetChecksGrants(),
		Slots:        r.GetSlots(),
		Connections:  r.GetConnections(),
	}
}

func encodeShards(s *ServiceShards, index map[ServerID]uint32) *signal.ServiceRecord {
	record := &signal.ServiceRecord{Service: string(s.Service), HashShards: s.HashShards}
	for _, shard := range s.Shards {
		record.Owners = append(record.Owners, index[shard.Owner])
		record.NextOwners = append(record.NextOwners, index[shard.NextOwner])
		record.Epochs = append(record.Epochs, uint64(shard.Token.Epoch))
		record.Sequences = append(record.Sequences, uint64(shard.Token.Sequence))
	}
	for _, hot := range s.HotKeys {
		record.HotKeys = append(record.HotKeys, &signal.HotKeyRecord{Key: hot.Key, Shard: uint32(hot.Shard)})
	}
	return record
}

func decodeShards(r *signal.ServiceRecord, servers []Server) (ServiceShards, error) {
	s := ServiceShards{Service: ServiceID(r.GetService()), HashShards: r.GetHashShards()}
	n := len(r.GetOwners())
	if len(r.GetNextOwners()) != n || len(r.GetEpochs()) != n || len(r.GetSequences()) != n {
		return s, newError("decode table", KindInvalid, errors.New("shard columns have unequal lengths"))
	}
	if n < int(s.HashShards) {
		return s, newError("decode table", KindInvalid, errors.New("service has fewer shards than hash shards"))
	}
	for i := range n {
		owner, err := serverAt(servers, r.GetOwners()[i])
		if err != nil {
			return s, err
		}
		next, err := serverAt(servers, r.GetNextOwners()[i])
		if err != nil {
			return s, err
		}
		token := Token{Epoch: Epoch(r.GetEpochs()[i]), Sequence: Sequence(r.GetSequences()[i])}
		s.Shards = append(s.Shards, Shard{Owner: owner, NextOwner: next, Token: token})
	}
	for _, hot := range r.GetHotKeys() {
		if int(hot.GetShard()) >= n {
			return s, newError("decode table", KindInvalid, errors.New("hot key refers to a shard that does not exist"))
		}
		s.HotKeys = append(s.HotKeys, HotKey{Key: hot.GetKey(), Shard: ShardID(hot.GetShard())})
	}
	return s, nil
}

// serverAt returns the server that an entry of an owner column refers to. The
// entry is the index of the server plus one, or zero for no server.
func serverAt(servers []Server, entry uint32) (ServerID, error) {
	if entry == 0 {
		return "", nil
	}
	if int(entry) > len(servers) {
		return "", newError("decode table", KindInvalid, errOwnerIndex)
	}
	return servers[entry-1].ID, nil
}
