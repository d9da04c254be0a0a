"""Decisions about flows, free of I/O: the engines of balancer and sidecar."""
