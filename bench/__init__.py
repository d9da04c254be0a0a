"""Benchmarks and experiments; they stand apart from the tests."""
