"""Protobuf messages and gRPC services between instances."""
