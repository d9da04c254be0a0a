"""Server-side QUIC and HTTP/3, on top of aioquic."""
