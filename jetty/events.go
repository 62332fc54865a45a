package jetty

import (
	"strconv"

	"hornbeamwinch.example/sluice"
)

// event is the kind of a log line, in its field "message".
type event string

// The kinds of log lines. docs/OPERATIONS.md explains them.
const (
	eventConfigurationInForce event = "configuration_in_force"
	eventCoordinating         event = "coordinating"
	eventCoordinatorsChanged  event = "coordinators_changed"
	eventDependencyLost       event = "dependency_lost"
	eventDependencyRegained   event = "dependency_regained"
	eventEarlierPlacersEnded  event = "earlier_placers_ended"
	eventEntryUnreadable      event = "entry_unreadable"
	eventEvacuationBegan      event = "evacuation_began"
	eventEvacuationEmpty      event = "evacuation_empty"
	eventEvacuationEnded      event = "evacuation_ended"
	eventFeedFailed           event = "feed_failed"
	eventHTTPServerMessage    event = "http_server_message"
	eventConnectionClosed     event = "connection_closed"
	eventHostStarted          event = "host_started"
	eventHostStopped          event = "host_stopped"
	eventHostStopping         event = "host_stopping"
	eventHostUsage            event = "host_usage"
	eventKeysMoved            event = "keys_moved"
	eventLimitChanged         event = "server_limit"
	eventOperationFailed      event = "operation_failed"
	eventOrderAnswered        event = "order_answered"
	eventPanicked             event = "panic_recovered"
	eventPlacerChanged        event = "placer_changed"
	eventPlacerTerm           event = "placer_term"
	eventRecalled             event = "recalled"
	eventRequestAnswered      event = "request_answered"
	eventRequestCleared       event = "request_cleared"
	eventRequestRefused       event = "request_refused"
	eventRequestRelayed       event = "request_relayed"
	eventRequestSuspected     event = "request_suspected"
	eventSendFailed           event = "send_failed"
	eventServerClosed         event = "server_closed"
	eventServerCold           event = "server_cold"
	eventServerSpeed          event = "server_speed"
	eventServerLeaving        event = "server_leaving"
	eventServerRemoved        event = "server_gone"
	eventServerRegistered     event = "server_sighted"
	eventServerRejected       event = "server_turned_away"
	eventSettingsReloaded     event = "settings_reloaded"
	eventStoreCompacted       event = "store_history_gone"
	eventStoreRestored        event = "store_restored"
)

// events has every kind of log line. A test compares it with the operations
// page.
var events = []event{
	eventConfigurationInForce,
	eventCoordinating,
	eventCoordinatorsChanged,
	eventDependencyLost,
	eventDependencyRegained,
	eventEarlierPlacersEnded,
	eventEntryUnreadable,
	eventEvacuationBegan,
	eventEvacuationEmpty,
	eventEvacuationEnded,
	eventFeedFailed,
	eventHTTPServerMessage, eventConnectionClosed,
	eventHostStarted,
	eventHostStopped,
	eventHostStopping,
	eventHostUsage,
	eventKeysMoved,
	eventLimitChanged,
	eventOperationFailed,
	eventOrderAnswered,
	eventPanicked,
	eventPlacerChanged,
	eventPlacerTerm,
	eventRecalled,
	eventRequestAnswered,
	eventRequestCleared,
	eventRequestRefused,
	eventRequestRelayed,
	eventRequestSuspected,
	eventSendFailed,
	eventServerClosed,
	eventServerCold,
	eventServerSpeed,
	eventServerLeaving,
	eventServerRemoved,
	eventServerRegistered,
	eventServerRejected,
	eventSettingsReloaded,
	eventStoreCompacted,
	eventStoreRestored,
}

// outcome is how a request ended for its caller.
type outcome string

// The outcomes, as they appear in the counter requests_total and in the log
// line request_answered.
const (
	// outcomeWhole is a complete response of a backend server.
	outcomeWhole outcome = "whole"
	// outcomeNotRun is a refusal, which promises that the request did not run.
	outcomeNotRun outcome = "not_run"
	// outcomeUnknown is a failure after which the request may have run.
	outcomeUnknown outcome = "unknown"
	// outcomeClientError is the response to an invalid request.
	outcomeClientError outcome = "rejected"
	// outcomeCallerLeft means that the caller left before the response.
	outcomeCallerLeft outcome = "caller_left"
)

var outcomes = []outcome{outcomeWhole, outcomeNotRun, outcomeUnknown, outcomeClientError, outcomeCallerLeft}

// reason is why a request ended as it did.
type reason string

// The reasons besides those of the admission controller, which are of type
// [sluice.Reason].
const (
	reasonNoConfiguration reason = "no_configuration"
	reasonNoRoute         reason = "no_route"
	reasonNoKey           reason = "no_key"
	reasonHeaderTooLarge  reason = "header_too_large"
	reasonBodyTooLarge    reason = "body_too_large"
	reasonServerRejected  reason = "turned_away"
	reasonRetryBudget     reason = "retry_budget"
	reasonDeadline        reason = "deadline"
	reasonServerFailed    reason = "server_failed"
	reasonHostStopping    reason = "host_stopping"
	reasonUnsigned        reason = "unsigned_answer"
	reasonCrashesServers  reason = "crashes_servers"
	reasonCrashSuspected  reason = "crash_suspected"
	// reasonCarrierFull is the refusal of a carrier with too many requests of other hosts.
	// They are sent directly.
	reasonCarrierFull reason = "carrier_full"
	reasonNoMemory    reason = "no_memory"
	reasonInternal    reason = "internal_error"
	// reasonStatus is a prefix, followed by the HTTP status of the server's
	// response.
	reasonStatus reason = "status_"
)

var reasons = []reason{
	reasonNoConfiguration, reasonNoRoute, reasonNoKey, reasonHeaderTooLarge, reasonBodyTooLarge, reasonServerRejected,
	reasonRetryBudget, reasonDeadline, reasonServerFailed, reasonHostStopping, reasonUnsigned, reasonCrashesServers, reasonCrashSuspected, reasonCarrierFull, reasonNoMemory, reasonInternal, reasonStatus,
	reason(sluice.ReasonOverload), reason(sluice.ReasonTooLate), reason(sluice.ReasonNoServer),
	reason(sluice.ReasonSuspected), reason(sluice.ReasonNoOwner), reason(sluice.ReasonClosed), reason(sluice.ReasonEvacuated),
}

// statusReason returns the reason for the status of a server's response.
func statusReason(status int) reason {
	return reasonStatus + reason(strconv.Itoa(status))
}
