// Package signal holds the generated messages and stubs of the protocol
// between entry hosts, and the stored form of the assignment table.
//
// The source is signal.proto. The generated files are committed, so a build
// needs no generator.
//
// # Usage
//
//	client := signal.NewPeersClient(conn)
//	reply, err := client.Follow(ctx, &signal.FollowRequest{Host: "mvd_a_1"})
//
// To generate the files again after a change of signal.proto:
//
//	protoc --go_out=. --go_opt=paths=source_relative \
//		--go-grpc_out=. --go-grpc_opt=paths=source_relative signal.proto
package signal
