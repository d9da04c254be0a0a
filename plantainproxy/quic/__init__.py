"""The adapter to the QUIC and HTTP/3 library."""
