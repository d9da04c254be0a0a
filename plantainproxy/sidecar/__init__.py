"""Sidecar daemon: terminates callers' QUIC connections next to one upstream."""
