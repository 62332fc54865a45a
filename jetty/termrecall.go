package jetty

import (
	"context"
	"time"

	"hornbeamwinch.example/fairway"
	"hornbeamwinch.example/ledger"
	"hornbeamwinch.example/mooring"
	"hornbeamwinch.example/signal"
)

const (
	// termRecallInterval is the time between two looks for hosts that have begun to report.
	termRecallInterval = 100 * time.Millisecond
	// maxAskedAtOnce bounds the hosts that are asked at the same time, and maxTellingHosts
	// those that may tell something: all hosts know about the same.
	maxAskedAtOnce  = 12
	maxTellingHosts = 6
)

// termRecall asks the hosts that report to the first placer of an era which servers, and which
// tables of owners, they know from earlier eras. A placer that has started since the store came
// back knows only what the copy has, which may be nothing.
type termRecall struct {
	loadCollector *loadCollector
	logs          *logs
	// address is the peer address of the placer, and era that of its term.
	address string
	era     ledger.Era
	// until is when the placer goes on with what it knows.
	until mooring.Instant
	// events receives what the hosts tell.
	events chan<- assignerEvent
}

// run asks each host until it answers, and until enough hosts have told something.
func (t *termRecall) run(ctx context.Context) {
	answered := map[string]bool{t.address: true}
	telling := 0
	for telling < maxTellingHosts && bootTimeNow() < t.until && ctx.Err() == nil {
		for _, call := range askPeers(ctx, t.loadCollector.addressesExcept(answered, maxAskedAtOnce)) {
			t.logs.recalled(call.peer, call.reply, call.err)
			if call.err != nil {
				continue
			}
			answered[call.peer] = true
			told := append(t.tables(call.reply), t.servers(call.reply)...)
			if len(told) > 0 {
				telling++
			}
			if !t.pass(ctx, told) {
				return
			}
		}
		pause(ctx, termRecallInterval)
	}
}

// tables returns the tables of earlier eras that a host has told.
func (t *termRecall) tables(reply *signal.RecallReply) []assignerEvent {
	var events []assignerEvent
	for _, told := range reply.GetTables() {
		table, ok, err := decodeKnownTable(told, t.era)
		if err != nil {
			t.logs.recordUnreadable(UnreadableRecord{Key: told.GetRecord().GetKey(), Err: err})
		}
		if ok {
			events = append(events, assignerEvent{service: table.service, event: mooring.TableRecalled{Table: table.table}})
		}
	}
	return events
}

// servers returns the servers of earlier eras that a host has told, by service.
func (t *termRecall) servers(reply *signal.RecallReply) []assignerEvent {
	byService := make(map[fairway.ServiceName][]mooring.ServerInstance)
	for _, told := range reply.GetServers() {
		if ledger.Era(told.GetEra()) >= t.era || told.GetServer() == "" {
			continue
		}
		service := fairway.ServiceName(told.GetService())
		byService[service] = append(byService[service], mooring.ServerInstance{
			Server: fairway.ServerID(told.GetServer()), Incarnation: fairway.Incarnation(told.GetIncarnation()), Address: told.GetAddress(),
		})
	}
	var events []assignerEvent
	for service, servers := range byService {
		events = append(events, assignerEvent{service: service, event: mooring.ServersRecalled{Servers: servers}})
	}
	return events
}

// pass passes events on, and returns false if the term has ended.
func (t *termRecall) pass(ctx context.Context, events []assignerEvent) bool {
	for _, e := range events {
		select {
		case t.events <- e:
		case <-ctx.Done():
			return false
		}
	}
	return true
}
