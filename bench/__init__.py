"""Benchmarks and simulations, kept apart from the tests."""
