package drydock

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"hornbeamwinch.example/berth"
)

// placerPlacement runs the [berth.Placer] of the router. A single entry host
// adopts each table in the next step of the experiment.
type placerPlacement struct {
	placer *berth.Placer
	// base is the placer's time at the start of the experiment.
	base     time.Time
	nonce    uint64
	revision berth.StoreRevision
	// pending holds the store calls that the placer has requested. One without
	// a table is a read.
	pending []berth.WriteTable
}

// hashPlacement is consistent hashing over the servers that are not detected as
// down. It moves keys as soon as this set changes, without proof that the former
// owner has released them.
type hashPlacement struct {
	points []ringPoint
	up     []bool
}

// ringPoint is a virtual node of a server on the hash ring.
type ringPoint struct {
	hash   uint64
	server int
}

// staticPlacement assigns each key to a fixed server.
type staticPlacement struct{}

func (*placerPlacement) placement() {}
func (*hashPlacement) placement()   {}
func (staticPlacement) placement()  {}

const experimentService = berth.ServiceID("service")

func (e *experiment) newPlacement(name string) placement {
	switch name {
	case PlacementHash:
		return e.newHashPlacement()
	case PlacementStatic:
		return staticPlacement{}
	default:
		return e.newPlacerPlacement()
	}
}

func (e *experiment) newPlacerPlacement() *placerPlacement {
	p := &placerPlacement{base: time.Unix(1_000_000, 0)}
	p.placer = berth.NewPlacer(berth.PlacerConfig{
		Domain: "domain", Host: "host", Address: "host", Incarnation: 1,
		Services: []berth.ServiceSpec{{ID: experimentService, HashShards: e.cfg.Shards, Policy: e.cfg.Policy}},
		Timing: berth.Timing{
			RouteLease: 900 * time.Millisecond, GrantTTL: 900 * time.Millisecond,
			DriftMargin: 50 * time.Millisecond, HostTimeout: time.Hour,
		},
		Nonce: func() uint64 { p.nonce++; return p.nonce },
	})
	return p
}

func (e *experiment) newHashPlacement() *hashPlacement {
	p := &hashPlacement{up: make([]bool, len(e.servers))}
	for i, id := range e.servers {
		p.up[i] = true
		for n := range virtualNodes {
			hash := xxhash.Sum64String(string(id) + "#" + time.Duration(n).String())
			p.points = append(p.points, ringPoint{hash: hash, server: i})
		}
	}
	slices.SortFunc(p.points, func(a, b ringPoint) int { return cmp.Compare(a.hash, b.hash) })
	return p
}

// advance updates a placement with the changes detected in this step.
func (e *experiment) advance(p placement) {
	switch p := p.(type) {
	case *placerPlacement:
		e.advancePlacer(p)
	case *hashPlacement:
		for i := range p.up {
			p.up[i] = !e.detectedDown(i)
		}
	case staticPlacement:
	}
}

func (e *experiment) advancePlacer(p *placerPlacement) {
	now := p.base.Add(e.now)
	step := func(event berth.Event) {
		for _, action := range p.placer.Step(now, event) {
			switch a := action.(type) {
			case berth.ReadTable:
				p.pending = append(p.pending, berth.WriteTable{})
			case berth.WriteTable:
				p.pending = append(p.pending, a)
			case berth.PublishTable, berth.Decision:
			}
		}
	}
	if e.now == 0 {
		step(berth.Elected{})
	}
	if !e.storeDown() {
		e.executeStoreCalls(p, step)
	}
	if table := p.placer.Table(); table != nil {
		step(berth.HostReported{
			Host: "host", Address: "host", Incarnation: 1, Epoch: table.Epoch, Followed: table.Version,
			Drained: table.Version,
		})
		e.reportServers(p, step, table.Version)
	}
	step(berth.Tick{})
}

// executeStoreCalls performs the store calls that the placer has requested and
// passes the results to it.
func (e *experiment) executeStoreCalls(p *placerPlacement, step func(berth.Event)) {
	pending := p.pending
	p.pending = nil
	for _, write := range pending {
		if write.Table == nil {
			step(berth.TableRead{Table: p.placer.Table(), Revision: p.revision})
			continue
		}
		p.revision++
		step(berth.TableWritten{Nonce: write.Table.Nonce, Revision: p.revision})
	}
}

// reportServers passes the conditions of the servers to the placer, and once a
// second the list of servers and the loads.
func (e *experiment) reportServers(p *placerPlacement, step func(berth.Event), version berth.Version) {
	const interval = time.Second
	if e.now%interval == 0 {
		var listed []berth.ListedServer
		for _, id := range e.servers {
			listed = append(listed, berth.ListedServer{
				ID: id, Address: string(id), Service: experimentService, ChecksGrants: true, Slots: 6,
			})
		}
		step(berth.ServersListed{Servers: listed})
		e.reportLoads(p, step)
	}
	for i, id := range e.servers {
		condition := berth.ConditionAlive
		if e.isDown(i) {
			if e.undetectedDown(i) {
				continue
			}
			condition = berth.ConditionConnectionRefused
		} else {
			step(berth.ServerReleased{Server: id, Version: version})
		}
		step(berth.ServerObserved{Server: id, Host: "host", Condition: condition})
	}
}

func (e *experiment) reportLoads(p *placerPlacement, step func(berth.Event)) {
	shards := p.placer.Table().Shards(experimentService)
	if shards == nil {
		return
	}
	loads := make(map[berth.ShardID]float64)
	var hot []berth.HotKeyLoad
	for i, key := range e.keys {
		loads[shards.ShardOf(key)] += e.rates[i]
		hot = append(hot, berth.HotKeyLoad{Key: key, Rate: e.rates[i]})
	}
	slices.SortFunc(hot, berth.CompareHotKeys)
	const reportedKeys = 64
	step(berth.LoadsObserved{Service: experimentService, Loads: loads})
	step(berth.HotKeysObserved{Service: experimentService, Keys: hot[:min(len(hot), reportedKeys)]})
}

// ownerOf returns the index of the server that a placement assigns a key to, or
// -1 if there is none.
func (e *experiment) ownerOf(p placement, key string) int {
	switch p := p.(type) {
	case *placerPlacement:
		shard, ok := p.shardOf(key)
		if !ok || shard.Owner == "" {
			return -1
		}
		return slices.Index(e.servers, shard.Owner)
	case *hashPlacement:
		return p.owner(key)
	default:
		return int(berth.HashShard(key, e.cfg.Shards)) % len(e.servers)
	}
}

// isMoving reports whether a key is being moved or is not placed yet.
func (e *experiment) isMoving(p placement, key string) bool {
	withPlacer, ok := p.(*placerPlacement)
	if !ok {
		return false
	}
	shard, found := withPlacer.shardOf(key)
	return !found || !shard.Placed()
}

func (p *placerPlacement) shardOf(key string) (berth.Shard, bool) {
	table := p.placer.Table()
	if table == nil || table.Shards(experimentService) == nil {
		return berth.Shard{}, false
	}
	shards := table.Shards(experimentService)
	return shards.Shards[shards.ShardOf(key)], true
}

func (p *hashPlacement) owner(key string) int {
	hash := xxhash.Sum64String(key)
	start, _ := slices.BinarySearchFunc(p.points, hash, func(point ringPoint, h uint64) int {
		return cmp.Compare(point.hash, h)
	})
	for i := range p.points {
		point := p.points[(start+i)%len(p.points)]
		if p.up[point.server] {
			return point.server
		}
	}
	return -1
}
