"""Messages between nodes over gRPC."""
