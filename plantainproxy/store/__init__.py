"""The platform's key-value store: the port and its adapter."""
