package jetty

import (
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
)

// maxPeerMessageBytes bounds a message from another entry host.
const maxPeerMessageBytes = 16 << 20

// dialPeer returns a gRPC connection to another entry host. It connects when it
// is first used.
func dialPeer(address string, opts ...grpc.DialOption) (*grpc.ClientConn, error) {
	return grpc.NewClient("passthrough:///"+address, append([]grpc.DialOption{
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxPeerMessageBytes)),
	}, opts...)...)
}
