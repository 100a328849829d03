// Package api holds the messages between the project's programs, generated from the .proto files beside it.
package api

//go:generate protoc --go_out=.. --go_opt=module=cobaltpier --go-grpc_out=.. --go-grpc_opt=module=cobaltpier -I. capture.proto list.proto number.proto trace.proto
