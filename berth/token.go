package berth

import (
	"errors"
	"fmt"
	"strconv"
	"strings"

	"hornbeamwinch.example/manifest"
)

// ServiceID identifies a service.
type ServiceID = manifest.ServiceID

// DomainID identifies a failure domain.
type DomainID = manifest.DomainID

// RulesRevision is the revision number of an accepted rules file.
type RulesRevision = manifest.Revision

type (
	// HostID identifies an entry host.
	HostID string
	// ServerID identifies a backend server.
	ServerID string
	// ShardID is the index of a shard among those of one service in one failure
	// domain.
	ShardID uint32
	// Epoch counts the times that a placer has claimed a table. It never
	// decreases.
	Epoch uint64
	// Version counts the changes of a table. It never decreases.
	Version uint64
	// Sequence orders the tokens issued under one epoch.
	Sequence uint64
	// Incarnation distinguishes the runs of an entry host's process.
	Incarnation uint64
	// StoreRevision is the revision that the store assigns to a value of a
	// record.
	StoreRevision uint64
)

// Token is a fencing token. Tokens of one shard are ordered: a backend server
// that has accepted a token rejects every lower one.
type Token struct {
	Epoch    Epoch
	Sequence Sequence
}

// Less reports whether t was issued before other.
func (t Token) Less(other Token) bool {
	if t.Epoch != other.Epoch {
		return t.Epoch < other.Epoch
	}
	return t.Sequence < other.Sequence
}

// String formats t as epoch.sequence.
func (t Token) String() string {
	return fmt.Sprintf("%d.%d", t.Epoch, t.Sequence)
}

var errTokenFormat = errors.New("token is not of the form epoch.sequence")

// ParseToken parses the form written by [Token.String].
func ParseToken(s string) (Token, error) {
	epochText, sequenceText, ok := strings.Cut(s, ".")
	if !ok {
		return Token{}, newError("parse token", KindInvalid, errTokenFormat)
	}
	epoch, err := strconv.ParseUint(epochText, 10, 64)
	if err != nil {
		return Token{}, newError("parse token", KindInvalid, err)
	}
	sequence, err := strconv.ParseUint(sequenceText, 10, 64)
	if err != nil {
		return Token{}, newError("parse token", KindInvalid, err)
	}
	return Token{Epoch: Epoch(epoch), Sequence: Sequence(sequence)}, nil
}
