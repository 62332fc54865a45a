package jetty

import "hornbeamwinch.example/fairway"

// peerAddress is where another entry host serves its peers.
type peerAddress string

// reachability tells which backend servers this host reaches, and which peers reach
// those that it does not. All methods are safe for concurrent use.
type reachability interface {
	// cut reports whether this host reaches no server while others do.
	cut() bool
	// relayPeers returns the peers to which a request may be passed on, best first:
	// none if no other host is known to have answers of the server, or of any server
	// if it is empty.
	relayPeers(server fairway.ServerID) []peerAddress
	// recordConnect records what the opening of a connection says about the path to a
	// server.
	recordConnect(server fairway.ServerID, err error)
	// recordExchange records what a send says about the path to a server. The error
	// is nil if the server has responded.
	recordExchange(server fairway.ServerID, err error)
	// usablePeer reports whether a peer has not failed to answer an offer a moment ago.
	usablePeer(peer peerAddress) bool
	// recordHop records whether a peer answered an offer in time.
	recordHop(peer peerAddress, err error)
}

// alwaysReaching is the [reachability] of a host that passes on no requests.
type alwaysReaching struct{}

func (alwaysReaching) cut() bool                                 { return false }
func (alwaysReaching) relayPeers(fairway.ServerID) []peerAddress { return nil }
func (alwaysReaching) recordConnect(fairway.ServerID, error)     {}
func (alwaysReaching) recordExchange(fairway.ServerID, error)    {}
func (alwaysReaching) usablePeer(peerAddress) bool               { return true }
func (alwaysReaching) recordHop(peerAddress, error)              {}
