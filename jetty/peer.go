package jetty

import (
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
)

const (
	// maxPeerMessageBytes bounds a message from another entry host.
	maxPeerMessageBytes = 16 << 20
	// peerWindowBytes is the flow control window of a connection between entry hosts and of
	// its streams. With a fixed one, gRPC does not measure the connection by a ping for
	// each response.
	peerWindowBytes = 256 << 10
)

// dialPeer returns a gRPC connection to another entry host. It connects when it
// is first used.
func dialPeer(address string, opts ...grpc.DialOption) (*grpc.ClientConn, error) {
	return grpc.NewClient("passthrough:///"+address, append([]grpc.DialOption{
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithInitialWindowSize(peerWindowBytes), grpc.WithInitialConnWindowSize(peerWindowBytes),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxPeerMessageBytes)),
	}, opts...)...)
}
