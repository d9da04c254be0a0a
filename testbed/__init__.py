"""Test bed: starts real processes for tests, the demo and experiments."""
