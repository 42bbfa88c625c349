// Package peerpb holds the messages of the protocol between Pollenwheel
// processes, generated from peer.proto.
package peerpb

//go:generate protoc --go_out=. --go_opt=paths=source_relative --go-grpc_out=. --go-grpc_opt=paths=source_relative peer.proto
