package berth

import (
	"errors"
	"fmt"
	"strconv"
	"strings"

	"hornbeamwinch.example/manifest"
)

// ServiceID names a service.
type ServiceID = manifest.ServiceID

// DomainID names a failure domain.
type DomainID = manifest.DomainID

// RulesRevision numbers the accepted rules files.
type RulesRevision = manifest.Revision

type (
	// HostID names an entry host.
	HostID string
	// ServerID names a backend server.
	ServerID string
	// ShardID numbers the shards of one service in one failure domain.
	ShardID uint32
	// Epoch counts the placers that have held a table.
	Epoch uint64
	// Version counts the changes of a table. It never goes down.
	Version uint64
	// Sequence orders the tokens issued under one epoch.
	Sequence uint64
	// Incarnation tells one run of an entry host's process from the next.
	Incarnation uint64
	// StoreRevision is the store's own number for one value of a record.
	StoreRevision uint64
)

// Token is a fencing token. Tokens of one shard are ordered: a backend server
// that has accepted one refuses every lower one.
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

var errTokenForm = errors.New("token is not of the form epoch.sequence")

// ParseToken reads the form that [Token.String] writes.
func ParseToken(s string) (Token, error) {
	epochText, sequenceText, ok := strings.Cut(s, ".")
	if !ok {
		return Token{}, newError("parse token", KindInvalid, errTokenForm)
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
