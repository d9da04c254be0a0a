"""Decisions as pure functions over explicit state; no sockets and no clock."""
