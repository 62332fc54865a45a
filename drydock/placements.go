package drydock

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"hornbeamwinch.example/berth"
)

// ownPlacement drives the real placer with one entry host that follows every
// table in the next step of the experiment.
type ownPlacement struct {
	placer   *berth.Placer
	base     time.Time
	nonce    uint64
	revision berth.StoreRevision
	pending  []berth.WriteTable
}

// hashPlacement is a hash ring of the servers that are believed to be up. It
// moves keys as soon as the belief changes, without proof of release.
type hashPlacement struct {
	points []ringPoint
	up     []bool
}

type ringPoint struct {
	hash   uint64
	server int
}

// staticPlacement never moves a key.
type staticPlacement struct{}

func (*ownPlacement) placement()   {}
func (*hashPlacement) placement()  {}
func (staticPlacement) placement() {}

const experimentService = berth.ServiceID("service")

func (e *experiment) newPlacement(name string) placement {
	switch name {
	case PlacementHash:
		return e.newHashPlacement()
	case PlacementStatic:
		return staticPlacement{}
	default:
		return e.newOwnPlacement()
	}
}

func (e *experiment) newOwnPlacement() *ownPlacement {
	p := &ownPlacement{base: time.Unix(1_000_000, 0)}
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

// advance lets a placement react to what it notices.
func (e *experiment) advance(p placement) {
	switch p := p.(type) {
	case *ownPlacement:
		e.advanceOwn(p)
	case *hashPlacement:
		for i := range p.up {
			p.up[i] = !e.noticedDown(i)
		}
	case staticPlacement:
	}
}

func (e *experiment) advanceOwn(p *ownPlacement) {
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
		e.carryOut(p, step)
	}
	if table := p.placer.Table(); table != nil {
		step(berth.HostReported{
			Host: "host", Address: "host", Incarnation: 1, Epoch: table.Epoch, Drained: table.Version,
		})
		e.observe(p, step, table.Version)
	}
	step(berth.Tick{})
}

// carryOut performs the calls of the store that the placer has asked for.
func (e *experiment) carryOut(p *ownPlacement, step func(berth.Event)) {
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

// observe tells the placer the servers' conditions and, at intervals, loads.
func (e *experiment) observe(p *ownPlacement, step func(berth.Event), version berth.Version) {
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
			if e.startsDown(i) {
				continue
			}
			condition = berth.ConditionConnectionRefused
		} else {
			step(berth.ServerReleased{Server: id, Version: version})
		}
		step(berth.ServerObserved{Server: id, Host: "host", Condition: condition})
	}
}

func (e *experiment) reportLoads(p *ownPlacement, step func(berth.Event)) {
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
	const reported = 64
	step(berth.LoadsObserved{Service: experimentService, Loads: loads})
	step(berth.HotKeysObserved{Service: experimentService, Keys: hot[:min(len(hot), reported)]})
}

// ownerOf returns the server that a placement gives a key, or -1.
func (e *experiment) ownerOf(p placement, key string) int {
	switch p := p.(type) {
	case *ownPlacement:
		row, ok := p.row(key)
		if !ok || row.Owner == "" {
			return -1
		}
		return slices.Index(e.servers, row.Owner)
	case *hashPlacement:
		return p.owner(key)
	default:
		return int(berth.HashShard(key, e.cfg.Shards)) % len(e.servers)
	}
}

// moving reports whether a key is between two owners.
func (e *experiment) moving(p placement, key string) bool {
	own, ok := p.(*ownPlacement)
	if !ok {
		return false
	}
	row, found := own.row(key)
	return !found || !row.Placed()
}

func (p *ownPlacement) row(key string) (berth.Shard, bool) {
	table := p.placer.Table()
	if table == nil || table.Shards(experimentService) == nil {
		return berth.Shard{}, false
	}
	shards := table.Shards(experimentService)
	return shards.Shards[shards.ShardOf(key)], true
}

func (p *hashPlacement) owner(key string) int {
	hash := xxhash.Sum64String(key)
	at, _ := slices.BinarySearchFunc(p.points, hash, func(point ringPoint, h uint64) int {
		return cmp.Compare(point.hash, h)
	})
	for i := range p.points {
		point := p.points[(at+i)%len(p.points)]
		if p.up[point.server] {
			return point.server
		}
	}
	return -1
}
