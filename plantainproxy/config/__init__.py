"""The configuration that operators change, and its way into the store."""
