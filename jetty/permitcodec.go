package jetty

import (
	"math"
	"time"

	"hornbeamwinch.example/fairway"
	"hornbeamwinch.example/mooring"
	"hornbeamwinch.example/signal"
	"hornbeamwinch.example/sluice"
)

// encodeOutcome returns an outcome as it is told to a coordinator.
func encodeOutcome(outcome sluice.Outcome) signal.PermitOutcome {
	switch outcome {
	case sluice.OutcomeAnswered:
		return signal.PermitOutcome_PERMIT_OUTCOME_ANSWERED
	case sluice.OutcomeServerError:
		return signal.PermitOutcome_PERMIT_OUTCOME_SERVER_ERROR
	case sluice.OutcomeRejected:
		return signal.PermitOutcome_PERMIT_OUTCOME_REJECTED
	case sluice.OutcomeMisdirected:
		return signal.PermitOutcome_PERMIT_OUTCOME_MISDIRECTED
	case sluice.OutcomeReset:
		return signal.PermitOutcome_PERMIT_OUTCOME_RESET
	case sluice.OutcomeUnreachable:
		return signal.PermitOutcome_PERMIT_OUTCOME_UNREACHABLE
	case sluice.OutcomeTimeout:
		return signal.PermitOutcome_PERMIT_OUTCOME_TIMEOUT
	case sluice.OutcomeInvalidResponse:
		return signal.PermitOutcome_PERMIT_OUTCOME_INVALID_RESPONSE
	default:
		return signal.PermitOutcome_PERMIT_OUTCOME_CANCELED
	}
}

// decodeOutcome takes an unknown outcome, of a later build, for one that tells nothing.
func decodeOutcome(outcome signal.PermitOutcome) sluice.Outcome {
	switch outcome {
	case signal.PermitOutcome_PERMIT_OUTCOME_ANSWERED:
		return sluice.OutcomeAnswered
	case signal.PermitOutcome_PERMIT_OUTCOME_SERVER_ERROR:
		return sluice.OutcomeServerError
	case signal.PermitOutcome_PERMIT_OUTCOME_REJECTED:
		return sluice.OutcomeRejected
	case signal.PermitOutcome_PERMIT_OUTCOME_MISDIRECTED:
		return sluice.OutcomeMisdirected
	case signal.PermitOutcome_PERMIT_OUTCOME_RESET:
		return sluice.OutcomeReset
	case signal.PermitOutcome_PERMIT_OUTCOME_UNREACHABLE:
		return sluice.OutcomeUnreachable
	case signal.PermitOutcome_PERMIT_OUTCOME_TIMEOUT:
		return sluice.OutcomeTimeout
	case signal.PermitOutcome_PERMIT_OUTCOME_INVALID_RESPONSE:
		return sluice.OutcomeInvalidResponse
	default:
		return sluice.OutcomeCanceled
	}
}

// decodeMicros returns a time that another host states, within maxPermitTime.
func decodeMicros(micros uint64) time.Duration {
	return time.Duration(min(micros, uint64(maxPermitTime.Microseconds()))) * time.Microsecond
}

// decodeSignedMicros is decodeMicros for a time that may have passed.
func decodeSignedMicros(micros int64) time.Duration {
	limit := maxPermitTime.Microseconds()
	return time.Duration(min(max(micros, -limit), limit)) * time.Microsecond
}

// decodePermitRequest returns the request of another host, as of now.
func decodePermitRequest(m *signal.PermitRequest, now mooring.Instant) *sluice.Request {
	req := &sluice.Request{
		Priority:      int(m.GetPriority()),
		Objective:     decodeMicros(m.GetObjectiveMicros()),
		SoftDeadline:  now.Add(decodeSignedMicros(m.GetSoftLeftMicros())),
		Deadline:      now.Add(decodeMicros(m.GetLeftMicros())),
		ResponseBytes: max(m.GetResponseBytes(), 0),
		From:          m.GetSession(),
		Domain:        fairway.Domain(m.GetDomain()),
	}
	if math.IsNaN(req.ResponseBytes) {
		req.ResponseBytes = 0
	}
	if m.Key != nil {
		key := mooring.Key(m.GetKey())
		req.Key = &key
	}
	for _, id := range m.GetExcluded() {
		req.Excluded = append(req.Excluded, fairway.ServerID(id))
	}
	return req
}

// encodeDecision returns the reply with a decision.
func encodeDecision(decision sluice.Decision) *signal.PermitReply {
	switch decision := decision.(type) {
	case sluice.Dispatch:
		return &signal.PermitReply{Granted: &signal.PermitGrant{Server: string(decision.Server.ID), Incarnation: int64(decision.Server.Incarnation), Slot: decision.Slot}}
	case sluice.Refuse:
		return &signal.PermitReply{Refused: &signal.PermitRefusal{
			Reason: string(decision.Reason), RetryAfterMicros: uint64(max(decision.RetryAfter, 0).Microseconds()),
			Ahead: uint32(decision.Ahead), Server: string(decision.Server),
		}}
	default:
		return &signal.PermitReply{Waiting: true}
	}
}

// decodeGrant returns the decision of a coordinator that grants a permit. Of the server it has
// the instance only.
func decodeGrant(m *signal.PermitGrant) sluice.Dispatch {
	server := fairway.Endpoint{ID: fairway.ServerID(m.GetServer()), Incarnation: fairway.Incarnation(m.GetIncarnation())}
	return sluice.Dispatch{Server: server, Slot: m.GetSlot()}
}

// decodeRefusal returns the refusal of a coordinator.
func decodeRefusal(m *signal.PermitRefusal) sluice.Refuse {
	return sluice.Refuse{
		Reason: relayReason(m.GetReason()), RetryAfter: time.Duration(m.GetRetryAfterMicros()) * time.Microsecond,
		Ahead: int(m.GetAhead()), Server: fairway.ServerID(m.GetServer()),
	}
}

func encodePermitLoad(l sluice.ServerLoad) *signal.PermitServerLoad {
	return &signal.PermitServerLoad{Running: uint32(l.Running), Waiting: uint32(l.Waiting), Slots: uint32(l.Slots), Pace: uint32(l.Pace)}
}

func decodePermitLoad(m *signal.PermitServerLoad) sluice.ServerLoad {
	return sluice.ServerLoad{
		Running: int(m.GetRunning()), Waiting: int(m.GetWaiting()), Slots: int(m.GetSlots()), Pace: sluice.Pace(m.GetPace()),
	}
}
