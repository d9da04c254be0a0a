"""gRPC calls between balancers, sidecars and the operators' command line."""
