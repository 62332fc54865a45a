// Package signal contains the generated protobuf messages and gRPC stubs of the
// protocol between entry hosts, and the messages in which the assignment table
// is stored.
//
// The source is signal.proto. The generated files are committed, so that a
// build does not need protoc.
//
// # Usage
//
//	client := signal.NewPeersClient(conn)
//	reply, err := client.Follow(ctx, &signal.FollowRequest{Host: "mvd_a_1"})
//
// To regenerate the files after a change to signal.proto:
//
//	protoc --go_out=. --go_opt=paths=source_relative \
//		--go-grpc_out=. --go-grpc_opt=paths=source_relative signal.proto
package signal
