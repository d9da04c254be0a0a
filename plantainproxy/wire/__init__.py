"""Wire formats: PROXY headers, QUIC connection IDs and tunnel messages."""
