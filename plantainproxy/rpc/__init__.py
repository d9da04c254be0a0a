"""Calls between the system's processes over gRPC."""
