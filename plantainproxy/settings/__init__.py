"""Settings files of the binaries."""
