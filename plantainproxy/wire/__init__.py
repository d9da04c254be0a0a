"""Formats on the wire: PROXY headers, connection IDs and the tunnel."""
